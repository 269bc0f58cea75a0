#ifndef BURDOCKGRADE_CHANGE_H
#define BURDOCKGRADE_CHANGE_H

/** @file
 * Changes of the head: accept, withdraw and move. The decision (the next head
 * from the current one) is pure; the writer applies it by conditional updates
 * and settles a lost answer by reading back.
 */

#include "burdockgrade/snapshot.h"
#include "burdockgrade/store.h"

/** Objects of section 3 of docs/design.md: the document in force and the
 * history of changes. */
#define BG_KIND_CONFIG "burdock-config"
#define BG_NAME_DOCUMENT "main"
#define BG_NAME_HISTORY "history"
/** Contracts, one object a revision, named SERVICE.REV. */
#define BG_KIND_CONTRACTS "burdock-contracts"

/** Revisions kept for each service, so that a withdraw finds its content. */
#define BG_REVISIONS_KEPT 5

/** Each of these counts as one change: the head's version rises by one.
 * Puts a new revision of a service into the head. */
int bg_change_accept(struct bg_head *head, const struct bg_contract *ctr,
    uint64_t rev, uint64_t now_wall_ms, struct bg_error *err);
/** Publishes an earlier revision's content under a newer version. */
int bg_change_withdraw(struct bg_head *head, const struct bg_contract *earlier,
    uint64_t earlier_rev, uint64_t now_wall_ms, struct bg_error *err);
/**
 * Starts a move.
 *
 * @param take_over_ms promised time from now
 * @return 0, BG_ENOTFOUND, or BG_ECONFLICT if another move is in progress
 */
int bg_change_move(struct bg_head *head, const char *service, const char *to,
    uint32_t take_over_ms, uint64_t now_wall_ms, struct bg_error *err);
/** Replaces the move state of a service; counts as a change of the head. */
int bg_change_move_state(struct bg_head *head, const char *service,
    const struct bg_move *move, uint64_t now_wall_ms, struct bg_error *err);

/** One entry of config/history. */
struct bg_history_entry {
	uint64_t version; /**< head version that holds the change */
	uint64_t time_ms; /**< wall clock */
	char service[BG_NAME_BYTES];
	char action[16]; /**< "accept", "withdraw" or "move" */
	char operator_name[BG_NAME_BYTES];
	uint64_t rev;		/**< in force since; of a move 0 */
	char to[BG_NAME_BYTES]; /**< server version of a move, else empty */
};

struct bg_history {
	struct bg_history_entry *entries; /**< by rising version */
	size_t entry_count;
};

/** Decodes {"changes":[{"version","time_ms","service","action","operator",
 * "rev","to"}]}. @return 0, BG_EPROTO or BG_ENOMEM */
int bg_history_decode(struct bg_history *out, const json_t *json);
void bg_history_free(struct bg_history *hist);

/** Reads the document in force and its contracts. @param out_revision of the
 * object, 0 if there is none yet
 * @return 0 (an empty head without an object), or a code with the reason */
int bg_read_document(json_t **out, uint64_t *out_revision,
    const struct bg_store_factory *factory, struct bg_error *err);
/** Reads the history. @return 0 or a code with the reason in err */
int bg_read_history(struct bg_history *out,
    const struct bg_store_factory *factory, struct bg_error *err);

/** Blocking operations of the operators' command. Each reads the head, decides,
 * writes the service object, updates the head and the history.
 *
 * @param expected_version head version the operator planned against; 0: any
 * @param out_version head version that holds the change
 * @return 0, also if the content is in force already; BG_EINVAL if a node would
 *     refuse the result; BG_ENOTFOUND; BG_ECONFLICT if another operator won;
 *     BG_EUNAVAILABLE; BG_ETIMEOUT if it stays open whether the update took
 *     effect
 */
int bg_operation_accept(uint64_t *out_version,
    const struct bg_store_factory *factory, const struct bg_contract *contracts,
    size_t contract_count, uint64_t expected_version, const char *operator_name,
    struct bg_error *err);
int bg_operation_withdraw(uint64_t *out_version,
    const struct bg_store_factory *factory, const char *service,
    uint64_t expected_version, const char *operator_name, struct bg_error *err);
int bg_operation_move(uint64_t *out_version,
    const struct bg_store_factory *factory, const char *service, const char *to,
    uint32_t take_over_ms, const char *operator_name, struct bg_error *err);

/** Asynchronous form for a node that writes a move: reads the document, applies
 * the decision to its head and writes it if the document is unchanged.
 *
 * @return 0 to write the head if its version rose, else the code for done */
typedef int (*bg_change_decide_fn)(
    void *arg, struct bg_head *head, struct bg_error *err);
/** Receives the result exactly once, or not at all if the client is freed
 * before. BG_ECONFLICT: a newer head is in force, decide again.
 *
 * @param version head version that holds the change; 0 if code is not 0 */
typedef void (*bg_change_done_fn)(void *arg, int code, uint64_t version);
int bg_change_start(struct bg_store *store, const char *writer,
    bg_change_decide_fn decide, bg_change_done_fn done, void *arg);

#endif
