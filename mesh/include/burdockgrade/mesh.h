#ifndef BURDOCKGRADE_MESH_H
#define BURDOCKGRADE_MESH_H

/** @file
 * The mesh task of a node: what this node knows of the configuration and of the
 * other nodes.
 *
 * Every node follows the store. Nodes also compare their tables with each
 * other, so that those that cannot reach the store hold what the others hold.
 */

#include <event2/event.h>

#include "burdockgrade/link.h"
#include "burdockgrade/members.h"
#include "burdockgrade/settings.h"
#include "burdockgrade/snapshot.h"
#include "burdockgrade/store.h"
#include "burdockgrade/table.h"

struct bg_mesh;

/** Where the configuration is kept and how it reads. First member of what
 * implements it. */
struct bg_config_source {
	const char *kind; /**< of the object in the store */
	const char *name;
	/**
	 * @param doc the object's spec
	 * @return 0, or a code with the reason in err; nothing is built then
	 */
	int (*decode)(struct bg_config_source *src, struct bg_snapshot **out,
	    const json_t *doc, struct bg_error *err);
	/** Version of a document that did not decode; 0: unknown. */
	uint64_t (*version)(struct bg_config_source *src, const json_t *doc);
};

/** What other tasks learn from the mesh. Called from the event loop. */
struct bg_mesh_listener {
	/** A newer snapshot is in force; acquire it to keep it. */
	void (*snapshot)(void *arg, struct bg_snapshot *snap);
	/** The roster was rebuilt. */
	void (*roster)(void *arg, const struct bg_roster *ros);
	/** An item changed, from this process or from a peer. */
	void (*item)(void *arg, const struct bg_item *item);
	void *arg;
};

struct bg_mesh_options {
	uint32_t version;
	struct event_base *base;
	const struct bg_settings *settings;
	struct bg_store *store; /**< NULL: none; peers only */
	struct bg_config_source *config;
	struct bg_link_server *server; /**< SYNC is registered here */
	struct bg_link_pool *links;
};

#define BG_MESH_OPTIONS_VERSION 2
#define BG_MESH_OPTIONS_INIT                                                \
	{                                                                   \
		BG_MESH_OPTIONS_VERSION, NULL, NULL, NULL, NULL, NULL, NULL \
	}

int bg_mesh_init(struct bg_mesh **out, const struct bg_mesh_options *opts,
    struct bg_error *err);
void bg_mesh_free(struct bg_mesh *mesh);
/** Adds a listener; the struct is copied. At most 8. */
int bg_mesh_add_listener(
    struct bg_mesh *mesh, const struct bg_mesh_listener *listener);
/** Begins to follow the store and to compare with peers. */
void bg_mesh_start(struct bg_mesh *mesh);

/** Merges an item that the store told, for peers that cannot reach it. */
int bg_mesh_merge_stored(struct bg_mesh *mesh, const struct bg_item *item);
/** Merges an item of this process and sends it to some peers at once. */
int bg_mesh_publish(struct bg_mesh *mesh, const struct bg_item *item);

/** What a node tells of the backend server beside it. */
struct bg_server_announcement {
	enum bg_member_state state;
	const char *server_id;
	const char *server_version;
	uint32_t slots;
};

/** Announces the backend server if anything about it changed. */
void bg_mesh_announce_server(
    struct bg_mesh *mesh, const struct bg_server_announcement *ann);
/** Announces what was found about the server's version in a move. */
void bg_mesh_announce_verdict(
    struct bg_mesh *mesh, enum bg_verdict verdict, uint64_t generation);
/** Announces that the node is stopping. The server beside it may go on. */
void bg_mesh_announce_leave(struct bg_mesh *mesh);
/** Takes the node out of the store; for a node whose server has left for good.
 * @param done runs once it is out, or could not be taken out */
void bg_mesh_withdraw(struct bg_mesh *mesh, void (*done)(void *arg), void *arg);

/** What the reachable nodes of one data centre hold. */
struct bg_state_summary {
	char data_centre[BG_NAME_BYTES];
	uint32_t member_count;	    /**< that answered */
	uint32_t synced_count;	    /**< of them, with a snapshot */
	uint64_t confirmed_version; /**< lowest in force on one of them */
	uint64_t refused_version;   /**< highest refused by one, or 0 */
	char refused_by[BG_ADDRESS_BYTES];
	char refused_reason[BG_REASON_BYTES];
	uint64_t written_ms; /**< wall clock of the answers */
};

/** Data centres of a census. */
#define BG_DATA_CENTRES_MAX 16

/**
 * Asks all nodes what they hold.
 *
 * @param done runs once, with one summary for each data centre that ever
 *     answered; those of one that cannot be reached now are old
 * @return 0 or BG_ENOMEM
 */
int bg_mesh_poll_state(struct bg_mesh *mesh,
    void (*done)(
	void *arg, const struct bg_state_summary *summaries, size_t count),
    void *arg);

/** 1 once a snapshot is in force that is not older than the store's, as far as
 * the store could be asked. */
int bg_mesh_is_synced(const struct bg_mesh *mesh);
const struct bg_table *bg_mesh_table(const struct bg_mesh *mesh);
const struct bg_roster *bg_mesh_roster(const struct bg_mesh *mesh);
/** Current snapshot, or NULL. */
struct bg_snapshot *bg_mesh_snapshot(const struct bg_mesh *mesh);
/** The node's own mesh address, as announced. */
const char *bg_mesh_address(const struct bg_mesh *mesh);
uint64_t bg_mesh_incarnation(const struct bg_mesh *mesh);

#endif
