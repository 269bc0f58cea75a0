#ifndef BG_MESH_INTERNAL_H
#define BG_MESH_INTERNAL_H

/** @file
 * The state of the mesh task and the functions its files share.
 */

#include "burdockgrade/counter.h"
#include "burdockgrade/lease.h"
#include "burdockgrade/mesh.h"

#include "mesh/attach.h"
#include "mesh/children.h"
#include "mesh/content.h"
#include "mesh/floor.h"
#include "mesh/liveness.h"
#include "mesh/reader.h"
#include "mesh/uplink.h"

#define BG_MESH_LISTENERS_MAX 8
#define BG_MESH_PEERS_MAX 16

enum bg_root_kind {
	BG_ROOT_NONE,	  /**< child of another node, or looking for one */
	BG_ROOT_LEASED,	  /**< relay */
	BG_ROOT_UNLEASED, /**< parent without lease, while there is no platform
			   */
};

/** A link to the root of another data centre. */
struct bg_peer {
	struct bg_mesh *mesh;
	struct bg_uplink *uplink;
	char data_centre[BG_NAME_BYTES]; /**< empty: a seed */
	char address[BG_ADDRESS_BYTES];	 /**< tried now or next */
	struct bg_backoff backoff;
	uint64_t not_before_ms;
	uint64_t missing_since_ms;
	size_t next_candidate;
	int is_used;
};

struct bg_mesh {
	struct event_base *base;
	const struct bg_settings *settings;
	struct bg_platform *platform;
	struct bg_link_server *server;
	struct event *turn;  /**< handles changes of the table */
	struct event *flush; /**< sends them */
	struct event *tick;
	struct bg_mesh_listener listeners[BG_MESH_LISTENERS_MAX];
	size_t listener_count;

	struct bg_table *table;
	struct bg_roster roster;
	uint64_t processed; /**< cursor up to which listeners were told */
	struct bg_snapshot *snapshot;
	struct bg_rand rand;
	int is_started;

	struct bg_member me;
	uint64_t me_cursor; /**< own log behind the last announcement */
	struct bg_ack ack;
	uint64_t refused_version; /**< highest that a member below refused */
	uint64_t ack_seq;

	struct bg_floor floor;
	struct bg_floor_reads floor_reads;
	uint64_t floor_call;  /**< call to the parent that asks for a read; 0
				 while it is made */
	uint64_t own_read_ms; /**< next own read of the head */
	struct bg_backoff own_read_backoff;
	struct bg_reader *reader;

	enum bg_root_kind root;
	struct bg_root_view view; /**< of the parent, if not root */
	uint64_t highest_term;
	uint64_t root_since_ms;
	struct bg_lease lease;
	int is_lease_pending;
	int was_relay;
	uint64_t platform_ok_ms;
	int is_platform_down;

	struct bg_attach attach;
	struct bg_uplink *parent;
	uint64_t parent_heard_ms;
	uint64_t parent_incarnation;
	uint64_t parent_fresh_ms; /**< when the view was last fresh */
	struct {
		char address[BG_ADDRESS_BYTES];
		uint64_t incarnation;
		uint64_t heard_ms;
	} lost_parent; /**< marked dead unless it is heard of again */
	struct bg_children *children;
	struct bg_liveness liveness;
	uint64_t next_check_ms;
	uint64_t last_tick_ms;

	struct bg_peer peers[BG_MESH_PEERS_MAX];

	struct bg_summary summary;
	uint64_t summary_written_ms;
	int is_summary_due;
	int is_confirm_due;
};

/* mesh.c */
/** Merges an item of this process and schedules its distribution. */
int bg_mesh_merge(struct bg_mesh *mesh, const struct bg_item *item);
/** Schedules the handling of changes. */
void bg_mesh_changed(struct bg_mesh *mesh);

/* self.c: the node's own entry and confirmation */
void bg_mesh_announce(struct bg_mesh *mesh);
void bg_mesh_refute(struct bg_mesh *mesh);
void bg_mesh_raise_incarnation(struct bg_mesh *mesh, uint64_t known);
void bg_mesh_confirm(struct bg_mesh *mesh);
/** Marks a member dead unless it announced itself anew. */
void bg_mesh_mark_dead(
    struct bg_mesh *mesh, const char *address, uint64_t incarnation);
void bg_mesh_forget_dead(struct bg_mesh *mesh, uint64_t now_ms);

/* install.c: snapshot and floor */
void bg_mesh_install(struct bg_mesh *mesh);
void bg_mesh_floor_tick(struct bg_mesh *mesh, uint64_t now_ms);
int bg_mesh_reader_init(struct bg_mesh *mesh);
/** Takes the floor from a parent's reply. */
void bg_mesh_floor_reply(struct bg_mesh *mesh, const struct bg_xsync_res *res);

/* role.c: lease and root */
void bg_mesh_role_init(struct bg_mesh *mesh);
void bg_mesh_role_tick(struct bg_mesh *mesh, uint64_t now_ms);
/** This process did not run for a while and could not hear anybody. */
void bg_mesh_role_resumed(struct bg_mesh *mesh, uint64_t now_ms);
void bg_mesh_role_free(struct bg_mesh *mesh);
void bg_mesh_view(struct bg_mesh *mesh, struct bg_root_view *out);
int bg_mesh_view_is_fresh(struct bg_mesh *mesh);

/** Changes what this node is in its data centre. */
void bg_mesh_set_root(struct bg_mesh *mesh, enum bg_root_kind kind);

/* parent.c: the link to the parent */
/** Looks for a parent, and leaves one that has no root. */
void bg_mesh_parent_tick(struct bg_mesh *mesh, uint64_t now_ms);
void bg_mesh_close_parent(struct bg_mesh *mesh);

/* peers.c: roots of other data centres */
void bg_mesh_peers_tick(struct bg_mesh *mesh, uint64_t now_ms);
void bg_mesh_peers_flush(struct bg_mesh *mesh);
void bg_mesh_peers_close(struct bg_mesh *mesh);

/* summary.c */
void bg_mesh_summary_tick(struct bg_mesh *mesh, uint64_t now_ms);

#endif
