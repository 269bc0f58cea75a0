#ifndef BURDOCKGRADE_MESH_H
#define BURDOCKGRADE_MESH_H

/** @file
 * The mesh task of a node: owns the replicated table, the link to its parent,
 * its children, and the relay role when it holds the lease of its data centre.
 */

#include <event2/event.h>

#include "burdockgrade/link.h"
#include "burdockgrade/members.h"
#include "burdockgrade/platform.h"
#include "burdockgrade/settings.h"
#include "burdockgrade/snapshot.h"
#include "burdockgrade/table.h"

struct bg_mesh;

/** What other tasks learn from the mesh. Called from the event loop. */
struct bg_mesh_listener {
	/** A newer snapshot is in force; acquire it to keep it. */
	void (*snapshot)(void *arg, struct bg_snapshot *snap);
	/** The roster was rebuilt. */
	void (*roster)(void *arg, const struct bg_roster *ros);
	/** An item changed, from this process or from a peer. */
	void (*item)(void *arg, const struct bg_item *item);
	/** The node became or ceased to be the relay of its data centre. */
	void (*relay)(void *arg, int is_relay);
	void *arg;
};

struct bg_mesh_options {
	uint32_t version;
	struct event_base *base;
	const struct bg_settings *settings;
	struct bg_platform *platform;
	struct bg_link_server *server; /**< SYNC is registered here */
};

#define BG_MESH_OPTIONS_VERSION 1
#define BG_MESH_OPTIONS_INIT                                    \
	{                                                       \
		BG_MESH_OPTIONS_VERSION, NULL, NULL, NULL, NULL \
	}

int bg_mesh_init(struct bg_mesh **out, const struct bg_mesh_options *opts,
    struct bg_error *err);
void bg_mesh_free(struct bg_mesh *mesh);
/** Adds a listener; the struct is copied. At most 8. */
int bg_mesh_listen(
    struct bg_mesh *mesh, const struct bg_mesh_listener *listener);
/** Begins to attach. */
void bg_mesh_start(struct bg_mesh *mesh);

/** Merges an item of this process and distributes it by its scope. */
int bg_mesh_publish(struct bg_mesh *mesh, const struct bg_item *item);
/** Announces a new state of the backend server beside this node. */
void bg_mesh_set_state(struct bg_mesh *mesh, enum bg_member_state state);
/** Announces another version of the backend server (after a probe of it). */
void bg_mesh_set_server_version(struct bg_mesh *mesh, const char *version);
/** 1 once the parent confirmed the node's own latest announcement, so that the
 * news is out in the data centre; 1 as well without any other member. */
int bg_mesh_is_announced(const struct bg_mesh *mesh);

/** 1 once the floor is known and a snapshot at or above it is in force. */
int bg_mesh_is_synced(const struct bg_mesh *mesh);
const struct bg_table *bg_mesh_table(const struct bg_mesh *mesh);
const struct bg_roster *bg_mesh_roster(const struct bg_mesh *mesh);
/** Current snapshot, or NULL. */
struct bg_snapshot *bg_mesh_snapshot(const struct bg_mesh *mesh);
/** The node's own mesh address, as announced. */
const char *bg_mesh_address(const struct bg_mesh *mesh);
uint64_t bg_mesh_incarnation(const struct bg_mesh *mesh);

/** 1 while this node certainly holds the lease of its data centre. */
int bg_mesh_is_relay(const struct bg_mesh *mesh);
/** 1 while this node acts as the root of its data centre, with or without the
 * lease (no platform). */
int bg_mesh_is_root(const struct bg_mesh *mesh);
/** Term of the relay lease that this node knows. */
uint64_t bg_mesh_term(const struct bg_mesh *mesh);

/** The value of a SUMMARY item: what one data centre confirmed. */
struct bg_summary {
	char data_centre[BG_NAME_BYTES];
	uint32_t member_count;	    /**< live members */
	uint32_t synced_count;	    /**< members with a snapshot */
	uint64_t confirmed_version; /**< lowest in force on a live member */
	uint64_t refused_version;   /**< highest refused by a member, or 0 */
	char refused_by[BG_ADDRESS_BYTES];
	char refused_reason[BG_REASON_BYTES];
	uint64_t written_ms;	     /**< wall clock of the relay */
	int is_leased;		     /**< written under a valid lease */
	char root[BG_ADDRESS_BYTES]; /**< mesh address of the writer */
};

int bg_summary_encode(char **out, const struct bg_summary *sum);
int bg_summary_decode(struct bg_summary *out, const struct bg_item *item);

#endif
