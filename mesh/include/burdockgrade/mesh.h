#ifndef BURDOCKGRADE_MESH_H
#define BURDOCKGRADE_MESH_H

/** @file
 * The mesh task of a node: distributes the configuration and tracks the other
 * nodes.
 *
 * Every node watches the store. Nodes also compare their replicated tables with
 * each other, so that a node that cannot reach the store gets updates from its
 * peers.
 */

#include <event2/event.h>

#include "burdockgrade/emptied.h"
#include "burdockgrade/link.h"
#include "burdockgrade/members.h"
#include "burdockgrade/settings.h"
#include "burdockgrade/snapshot.h"
#include "burdockgrade/store.h"
#include "burdockgrade/table.h"

struct bg_mesh;

/** Location and format of the configuration in the store. An implementation
 * embeds it as its first member. */
struct bg_config_source {
	const char *kind; /**< of the object in the store */
	const char *name; /**< of the object in the store */
	/**
	 * Decodes and validates a document.
	 *
	 * @param out set on success only
	 * @param doc the object's spec
	 * @return 0, or an error code with the reason in err
	 */
	int (*decode)(struct bg_config_source *src, struct bg_snapshot **out,
	    const json_t *doc, struct bg_error *err);
	/** Returns the version of a document without decoding the rest of it,
	 * or 0 if it is unknown. May be NULL. */
	uint64_t (*version)(struct bg_config_source *src, const json_t *doc);
};

/** Callbacks for changes in the mesh, run from the event loop. Each may be
 * NULL. */
struct bg_mesh_listener {
	/** A newer snapshot is in force. Acquire a reference to keep it after
	 * the call. */
	void (*snapshot)(void *arg, struct bg_snapshot *snap);
	/** The roster was rebuilt; ros is owned by the mesh. */
	void (*roster)(void *arg, const struct bg_roster *ros);
	/** An item of the table was added or replaced, whatever its source. It
	 * is valid during the call. */
	void (*item)(void *arg, const struct bg_item *item);
	/**
	 * The last announcement that an earlier process made at this node's
	 * address is known, as far as the store and a peer can tell. Runs at
	 * least once after bg_mesh_start, unless neither can be reached, and
	 * again if a newer one is found later.
	 *
	 * @param earlier NULL if there is none
	 */
	void (*recovered)(void *arg, const struct bg_member *earlier);
	/** This node begins (1) or ends (0) to read the store exactly for the
	 * others. Meanwhile bg_mesh_is_reading() is 1. */
	void (*reading)(void *arg, int is_reading);
	void *arg;
};

struct bg_mesh_options {
	uint32_t version;
	struct event_base *base;
	const struct bg_settings *settings;
	struct bg_store *store; /**< NULL: synchronize with peers only */
	struct bg_config_source *config;
	struct bg_link_server *server; /**< gets the SYNC and STATE handlers */
	struct bg_link_pool *links;    /**< to the peers */
	/** Kind of the objects in the store that are named after emptied data
	 * centres; NULL: none are followed. */
	const char *emptied_kind;
};

#define BG_MESH_OPTIONS_VERSION 3
#define BG_MESH_OPTIONS_INIT                                                 \
	{                                                                    \
		BG_MESH_OPTIONS_VERSION, NULL, NULL, NULL, NULL, NULL, NULL, \
		    NULL                                                     \
	}

/** Creates the mesh task. It does not take ownership of the objects in opts.
 * @return 0 or BG_ENOMEM */
int bg_mesh_init(struct bg_mesh **out, const struct bg_mesh_options *opts,
    struct bg_error *err);
/** Releases the task; its pending callbacks do not run. Free the store and the
 * link pool first, since their pending calls refer to the task. NULL is
 * ignored. */
void bg_mesh_free(struct bg_mesh *mesh);
/** Adds a listener; the struct is copied.
 * @return 0, or BG_ELIMIT above 8 listeners */
int bg_mesh_add_listener(
    struct bg_mesh *mesh, const struct bg_mesh_listener *listener);
/** Starts to watch the store and to compare tables with peers. A second call
 * has no effect. */
void bg_mesh_start(struct bg_mesh *mesh);

/**
 * Merges an item read from the store, for peers that cannot reach the store.
 * Peers get it in the periodic comparison.
 *
 * @return 0, BG_EINVAL or BG_ENOMEM
 */
int bg_mesh_merge_stored(struct bg_mesh *mesh, const struct bg_item *item);
/**
 * Merges an item that this process wrote to the store, or has read from it for
 * others. If it is new here, it is pushed to some peers immediately, which
 * forward it.
 *
 * @return 0, BG_EINVAL or BG_ENOMEM
 */
int bg_mesh_publish(struct bg_mesh *mesh, const struct bg_item *item);
/** 1 while this node reads the store exactly for the others. */
int bg_mesh_is_reading(const struct bg_mesh *mesh);

/** What this node knows of emptied data centres. Empty if they are not
 * followed. Valid until the mesh is freed; its contents change. */
const struct bg_emptied_set *bg_mesh_emptied(const struct bg_mesh *mesh);
/** Whether the backend server beside this node may get new calls. */
enum bg_admission {
	BG_ADMISSION_OPEN,
	BG_ADMISSION_EMPTIED, /**< its data centre is emptied */
	BG_ADMISSION_UNKNOWN, /**< whether that is so has to be learned first,
				   after a start or a pause of the process */
};
enum bg_admission bg_mesh_admission(const struct bg_mesh *mesh);

/** State of the local backend server, as announced to other nodes. */
struct bg_server_announcement {
	enum bg_member_state state;
	const char *server_id;
	const char *server_version;
	uint32_t slots;		    /**< concurrent calls */
	uint64_t server_started_ms; /**< start of the server; 0: unknown */
};

/** Announces the backend server if its state differs from the last
 * announcement. After bg_mesh_announce_leave, only that it leaves. */
void bg_mesh_announce_server(
    struct bg_mesh *mesh, const struct bg_server_announcement *ann);
/** @param code 0, BG_ETIMEOUT, BG_ENOMEM, or BG_ECANCELED if the mesh is freed
 */
typedef void (*bg_mesh_durable_fn)(void *arg, int code);
/**
 * Waits until the last announcement outlives this process: until the store has
 * it or, while the store cannot be reached, a peer.
 *
 * @param fn runs once, within 800 ms; within this function if that is so
 * already
 */
void bg_mesh_when_durable(
    struct bg_mesh *mesh, bg_mesh_durable_fn fn, void *arg);
/** Announces the verdict on the server's version during a move.
 * @param generation generation of the move
 * @param step step of the move; a bad verdict holds for all */
void bg_mesh_announce_verdict(struct bg_mesh *mesh, enum bg_verdict verdict,
    uint64_t generation, uint32_t step);
/** Announces that the node is stopping. Its backend server may keep running. */
void bg_mesh_announce_leave(struct bg_mesh *mesh);
/**
 * Removes the node's object from the store, for a node whose backend server is
 * gone permanently.
 *
 * @param done runs once the object is removed or the removal has failed; may be
 *     NULL
 */
void bg_mesh_withdraw(struct bg_mesh *mesh, void (*done)(void *arg), void *arg);

/** Sets what counts the calls that run at the backend server beside this node,
 * for the state polls of all nodes. Without it they count as none. */
void bg_mesh_set_running_calls(
    struct bg_mesh *mesh, uint32_t (*count)(void *arg), void *arg);

/** Configuration versions held by the reachable nodes of one data centre. */
struct bg_state_summary {
	char data_centre[BG_NAME_BYTES];
	uint32_t member_count;	    /**< nodes that responded */
	uint32_t synced_count;	    /**< of these, nodes with a snapshot */
	uint64_t confirmed_version; /**< lowest version in force on a node */
	uint64_t refused_version;   /**< highest version refused by a node, or
				       0 */
	char refused_by[BG_ADDRESS_BYTES]; /**< node that refused it */
	char refused_reason[BG_REASON_BYTES];
	uint64_t written_ms;	/**< wall clock of the first response */
	uint32_t running_calls; /**< at the backend servers of the nodes that
				   responded */
};

/** Maximum number of data centres in a state poll. */
#define BG_DATA_CENTRES_MAX 16

/**
 * Polls all nodes for the configuration version that they hold.
 *
 * @param done runs exactly once unless the mesh is freed before; it gets one
 *     summary for each data centre that has ever responded. A data centre that
 *     did not respond to this poll has a member_count of 0 and otherwise the
 *     values of an earlier poll.
 * @return 0 or BG_ENOMEM
 */
int bg_mesh_poll_state(struct bg_mesh *mesh,
    void (*done)(
	void *arg, const struct bg_state_summary *summaries, size_t count),
    void *arg);

/** Returns 1 once a snapshot is in force and the store was read; while the
 * store is unreachable, a snapshot from a peer is enough. */
int bg_mesh_is_synced(const struct bg_mesh *mesh);
const struct bg_table *bg_mesh_table(const struct bg_mesh *mesh);
const struct bg_roster *bg_mesh_roster(const struct bg_mesh *mesh);
/** Snapshot in force, or NULL; the mesh keeps its reference. */
struct bg_snapshot *bg_mesh_snapshot(const struct bg_mesh *mesh);
/** Announced mesh address of this node, "ip:port". */
const char *bg_mesh_address(const struct bg_mesh *mesh);
/** Incarnation of this node's process; see struct bg_member. */
uint64_t bg_mesh_incarnation(const struct bg_mesh *mesh);

#endif
