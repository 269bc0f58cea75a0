#ifndef BG_MESH_INTERNAL_H
#define BG_MESH_INTERNAL_H

/** @file
 * State of the mesh task and the functions shared between its files.
 */

#include "burdockgrade/clock.h"
#include "burdockgrade/counter.h"
#include "burdockgrade/mesh.h"
#include "burdockgrade/watcher.h"

#define BG_MESH_LISTENERS_MAX 8

/** Kind of the store objects for node discovery, one for each node. */
#define BG_KIND_NODES "burdock-nodes"

/** Key of the CONFIG item. */
#define BG_CONFIG_KEY "main"

struct bg_known_node;
struct bg_durable_wait;
struct bg_emptying;
struct bg_gossip;
struct bg_packed;
struct bg_reader;
struct bg_state_poll;

struct bg_mesh {
	struct event_base *base;
	const struct bg_settings *settings;
	struct bg_store *store;
	struct bg_config_source *config;
	struct bg_link_server *server;
	struct bg_link_pool *links;
	struct event *change_event; /**< processes changes of the table */
	struct bg_mesh_listener listeners[BG_MESH_LISTENERS_MAX];
	size_t listener_count;
	struct bg_rand rand;
	int is_started;

	struct bg_table *table;
	struct bg_roster roster;
	uint64_t notified_cursor; /**< listeners were notified up to here */

	/* config.c */
	struct bg_watcher *config_watcher;
	struct bg_snapshot *snapshot;
	uint64_t installed_ms;	  /**< monotonic time of its installation */
	uint64_t refused_version; /**< of the latest document that failed
				     validation; 0: none or unknown */
	char refused_reason[BG_REASON_BYTES]; /**< of that document, or empty */

	/* nodes.c */
	struct bg_watcher *nodes_watcher;
	struct bg_known_node *known_nodes; /**< nodes in the store */
	uint32_t list_generation;	   /**< number of lists read so far */

	/* self.c */
	struct bg_member self;
	struct event *write_timer;
	uint64_t stored_revision; /**< of the node's object; 0: none */
	uint64_t spread_seq;	  /**< last announcement that was spread */
	int is_announced;	  /**< at least one announcement was made */
	int is_write_due;	  /**< the object in the store is outdated */
	int is_writing;		  /**< a write or removal is in progress */
	int is_withdrawn;	  /**< the object is to be removed */
	void (*withdraw_done)(void *arg);
	void *withdraw_arg;

	/* durable.c */
	struct bg_durable_wait *durable_waits;
	uint64_t writing_seq; /**< of the announcement being written */
	uint64_t stored_seq;  /**< last announcement that the store has */
	uint64_t copied_seq;  /**< last announcement that a peer has */

	/* recovery.c */
	struct event *recovery_timer;
	struct bg_member earlier; /**< last announcement of an earlier
				       process at this address */
	int has_earlier;
	int has_compared;	       /**< the table with that of a peer */
	int is_recovered;	       /**< listeners were notified */
	uint64_t recovery_deadline_ms; /**< end of the wait for a peer; 0: it
					    has not begun */

	struct bg_gossip *gossip;
	struct bg_emptying *emptying; /**< NULL: emptied data centres are not
					   followed */
	struct bg_reader *reader;
	struct bg_state_poll *state_poll;
	uint32_t (*running_calls)(void *arg); /**< NULL: none */
	void *running_calls_arg;
};

/* mesh.c */
/** Merges an item and, if the table changed, schedules an update.
 * @return 0, BG_EINVAL or BG_ENOMEM */
int bg_mesh_merge(struct bg_mesh *mesh, const struct bg_item *item);
/** Schedules the processing of table changes on the event loop. */
void bg_mesh_schedule_update(struct bg_mesh *mesh);
/** Rebuilds the roster and notifies the listeners. */
void bg_mesh_rebuild_roster(struct bg_mesh *mesh);

/* config.c */
/** Starts to watch the configuration. @return 0 or BG_ENOMEM */
int bg_mesh_config_init(struct bg_mesh *mesh);
/** Installs the document of a CONFIG item received from a peer if it is newer
 * than the version in force. */
void bg_mesh_config_handle_item(
    struct bg_mesh *mesh, const struct bg_item *item);
/** Installs the document of an object read from the store if it is newer than
 * the version in force, and passes it on to peers.
 * @param source the watcher that is passing on the object */
void bg_mesh_config_handle_object(struct bg_mesh *mesh,
    const struct bg_store_object *obj, const struct bg_watcher *source);
void bg_mesh_config_free(struct bg_mesh *mesh);
/** Configuration version in force, or 0. */
uint64_t bg_mesh_config_version(const struct bg_mesh *mesh);

/* nodes.c */
/** Starts to watch the node objects. @return 0 or BG_ENOMEM */
int bg_mesh_nodes_init(struct bg_mesh *mesh);
void bg_mesh_nodes_free(struct bg_mesh *mesh);
/** Returns 1 if the nodes were listed and the store is reachable. */
int bg_mesh_is_store_reachable(const struct bg_mesh *mesh);
/** Converts a node's address "ip:port" to the name of its object,
 * "ip-port". */
void bg_mesh_node_name(
    char out[BG_ADDRESS_BYTES], const char address[BG_ADDRESS_BYTES]);

/* self.c */
/** @return 0 or BG_ENOMEM */
int bg_mesh_self_init(struct bg_mesh *mesh);
void bg_mesh_self_free(struct bg_mesh *mesh);
/** Announces the current state with the next sequence number. */
void bg_mesh_self_announce(struct bg_mesh *mesh);
/** Processes this node's object as read from the store.
 * @param revision 0 if the object does not exist; member is NULL then */
void bg_mesh_self_handle_stored(
    struct bg_mesh *mesh, uint64_t revision, const struct bg_member *member);
/** Announces again under a higher incarnation if the table holds a newer
 * announcement for this address, made by an earlier process. */
void bg_mesh_self_refute(struct bg_mesh *mesh);
/** Announces the current state once more, for peers to forward it, since the
 * store has not got it. Has an effect once for each announcement. */
void bg_mesh_self_spread(struct bg_mesh *mesh);
/** Writes or removes this node's object in the store if that is due. */
void bg_mesh_self_update_store(struct bg_mesh *mesh);

/* durable.c */
/** Ends the waits for announcements that stored_seq or copied_seq covers. */
void bg_mesh_durable_update(struct bg_mesh *mesh);
void bg_mesh_durable_free(struct bg_mesh *mesh);

/* recovery.c */
/** @return 0 or BG_ENOMEM */
int bg_mesh_recovery_init(struct bg_mesh *mesh);
void bg_mesh_recovery_free(struct bg_mesh *mesh);
/** Handles an announcement for this node's address from the store or a peer. */
void bg_mesh_recovery_handle_member(
    struct bg_mesh *mesh, const struct bg_member *member);
/** Handles the announcement for this node's address in the table. */
void bg_mesh_recovery_handle_table(struct bg_mesh *mesh);
/** The table was compared with that of a peer, in both directions. */
void bg_mesh_recovery_handle_comparison(struct bg_mesh *mesh);
/** The nodes were listed, or the store became reachable or unreachable. */
void bg_mesh_recovery_handle_store(struct bg_mesh *mesh);

/* gossip.c */
/** @return 0 or BG_ENOMEM */
int bg_gossip_init(struct bg_gossip **out, struct bg_mesh *mesh);
void bg_gossip_free(struct bg_gossip *gsp);
void bg_gossip_start(struct bg_gossip *gsp);
/** Compares the table, without the configuration, with a random peer now. */
void bg_gossip_compare_members(struct bg_gossip *gsp);
/** What the receiver of a push does; value of is_push in SYNC. */
enum bg_push {
	BG_PUSH_STORED = 1,  /**< all nodes are about to read the items from the
				store; the receiver forwards them only while it
				cannot reach the store */
	BG_PUSH_FORWARD = 2, /**< the receiver forwards them */
};
/** Pushes the changes after a cursor to some peers immediately.
 * @param own_seq of this node's announcement, if it is among the changes, or 0
 */
void bg_gossip_push(struct bg_gossip *gsp, uint64_t cursor, uint64_t own_seq,
    enum bg_push push);

/** Packs the configuration. @param out the caller frees out->data
 * @return 0, BG_ENOTFOUND if there is none, BG_ELIMIT or BG_ENOMEM */
int bg_gossip_pack_config(struct bg_packed *out, struct bg_gossip *gsp);
/** Merges a list from a peer.
 * @return number of changed items, or an error code < 0 */
int bg_gossip_merge(
    struct bg_gossip *gsp, const struct bg_packed *packed, const char *peer);

/* reader.c */
/** @return 0 or BG_ENOMEM */
int bg_reader_init(struct bg_reader **out, struct bg_mesh *mesh);
/** Starts the checks for a newer configuration. */
void bg_reader_start(struct bg_reader *rdr);
void bg_reader_free(struct bg_reader *rdr);

/* emptying.c; without effect where mesh->emptying is NULL */
/** @param kind of the objects in the store; NULL: mesh->emptying stays NULL
 * @return 0, BG_ELIMIT or BG_ENOMEM */
int bg_emptying_init(struct bg_mesh *mesh, const char *kind);
/** Starts to follow the objects in the store. */
void bg_emptying_start(struct bg_mesh *mesh);
void bg_emptying_free(struct bg_emptying *emp);
/** Handles an item of the table. */
void bg_emptying_handle_item(struct bg_mesh *mesh, const struct bg_item *item);
/** The process runs; called with each round of comparisons. */
void bg_emptying_tick(struct bg_mesh *mesh);
/** The table was compared with that of a peer, in both directions. */
void bg_emptying_handle_comparison(struct bg_mesh *mesh);

/* state_poll.c */
/** @return 0 or BG_ENOMEM */
int bg_state_poll_init(struct bg_state_poll **out, struct bg_mesh *mesh);
/** Callbacks of a poll in progress do not run. NULL is ignored. */
void bg_state_poll_free(struct bg_state_poll *poll);

#endif
