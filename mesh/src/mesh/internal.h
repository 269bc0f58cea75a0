#ifndef BG_MESH_INTERNAL_H
#define BG_MESH_INTERNAL_H

/** @file
 * The state of the mesh task and the functions its files share.
 */

#include "burdockgrade/clock.h"
#include "burdockgrade/counter.h"
#include "burdockgrade/mesh.h"
#include "burdockgrade/watcher.h"

#define BG_MESH_LISTENERS_MAX 8

/** Kind of the objects by which nodes find each other, one for each node. */
#define BG_KIND_NODES "burdock-nodes"

/** Key of the CONFIG item. */
#define BG_CONFIG_KEY "main"

struct bg_known_node;
struct bg_gossip;
struct bg_census;

struct bg_mesh {
	struct event_base *base;
	const struct bg_settings *settings;
	struct bg_store *store;
	struct bg_config_source *config;
	struct bg_link_server *server;
	struct bg_link_pool *links;
	struct event *turn; /**< handles changes of the table */
	struct bg_mesh_listener listeners[BG_MESH_LISTENERS_MAX];
	size_t listener_count;
	struct bg_rand rand;
	int is_started;

	struct bg_table *table;
	struct bg_roster roster;
	uint64_t processed; /**< cursor up to which listeners were told */

	/* config.c */
	struct bg_watcher *config_follow;
	struct bg_snapshot *snapshot;
	uint64_t installed_ms; /**< when it came in force */
	uint64_t refused_version;
	char refused_reason[BG_REASON_BYTES]; /**< of the latest document that
						 did not validate, or empty */

	/* nodes.c */
	struct bg_watcher *nodes_follow;
	struct bg_known_node *known_nodes; /**< seen in the store */
	uint32_t listing;		   /**< counts lists of the store */

	/* self.c */
	struct bg_member me;
	struct event *write_timer;
	uint64_t stored_revision; /**< of the own object; 0: there is none */
	int is_announced;	  /**< anything was announced so far */
	int is_write_due;
	int is_writing;
	int is_withdrawn;
	void (*withdraw_done)(void *arg);
	void *withdraw_arg;

	struct bg_gossip *gossip;
	struct bg_census *census;
};

/* mesh.c */
/** Merges an item and schedules the handling of changes. */
int bg_mesh_merge(struct bg_mesh *mesh, const struct bg_item *item);
/** Schedules the handling of changes. */
void bg_mesh_changed(struct bg_mesh *mesh);
/** Rebuilds the roster after a member was removed. */
void bg_mesh_rebuild_roster(struct bg_mesh *mesh);

/* config.c */
int bg_mesh_config_init(struct bg_mesh *mesh);
/** Puts a CONFIG item that came from a peer in force if it is newer. */
void bg_mesh_config_item(struct bg_mesh *mesh, const struct bg_item *item);
void bg_mesh_config_free(struct bg_mesh *mesh);
/** Version in force, or 0. */
uint64_t bg_mesh_config_version(const struct bg_mesh *mesh);

/* nodes.c */
int bg_mesh_nodes_init(struct bg_mesh *mesh);
void bg_mesh_nodes_free(struct bg_mesh *mesh);
/** 1 while the store answers this node. */
int bg_mesh_has_store(const struct bg_mesh *mesh);
/** Name of the store's object of a node. */
void bg_mesh_node_name(
    char out[BG_ADDRESS_BYTES], const char address[BG_ADDRESS_BYTES]);

/* self.c */
int bg_mesh_self_init(struct bg_mesh *mesh);
void bg_mesh_self_free(struct bg_mesh *mesh);
/** Announces the present state under the next sequence number. */
void bg_mesh_self_announce(struct bg_mesh *mesh);
/** The own object as the store has it; revision 0: it has none. */
void bg_mesh_self_stored(
    struct bg_mesh *mesh, uint64_t revision, const struct bg_member *member);
/** Announces again if a peer holds an announcement of an earlier process at
 * this address that would win over the own one. */
void bg_mesh_self_refute(struct bg_mesh *mesh);
/** The store answers (again): writes what it lacks. */
void bg_mesh_self_write(struct bg_mesh *mesh);

/* gossip.c */
int bg_gossip_init(struct bg_gossip **out, struct bg_mesh *mesh);
void bg_gossip_free(struct bg_gossip *gsp);
void bg_gossip_start(struct bg_gossip *gsp);
/** Sends the changes behind a cursor to some peers at once. */
void bg_gossip_push(struct bg_gossip *gsp, uint64_t cursor);

/* census.c */
int bg_census_init(struct bg_census **out, struct bg_mesh *mesh);
/** Rounds under way end without their callbacks. */
void bg_census_free(struct bg_census *cen);

#endif
