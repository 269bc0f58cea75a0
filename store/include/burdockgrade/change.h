#ifndef BURDOCKGRADE_CHANGE_H
#define BURDOCKGRADE_CHANGE_H

/** @file
 * Changes of the head: accept, withdraw and move. The bg_change_* functions
 * that compute the next head from the current one do no I/O. The writer applies
 * their result by a conditional update, and reads the head back if the response
 * to the update is lost.
 */

#include "burdockgrade/snapshot.h"
#include "burdockgrade/store.h"

/** Objects of section 3 of docs/design.md: the document in force and the
 * history of changes. */
#define BG_KIND_CONFIG "burdock-config"
#define BG_NAME_DOCUMENT "main"
#define BG_NAME_HISTORY "history"
/** Contracts, one object for each revision, named SERVICE.REV. */
#define BG_KIND_CONTRACTS "burdock-contracts"

/** Revisions kept for each service, so that an earlier one can be restored by a
 * withdrawal. */
#define BG_REVISIONS_KEPT 5

/**
 * Puts a new revision of a service into the head. Like each of the following
 * changes, it raises the version of the head by one.
 *
 * @return 0, BG_EINVAL (invalid contract, or rev is 0 or in force), or
 *     BG_ENOMEM
 */
int bg_change_accept(struct bg_head *head, const struct bg_contract *ctr,
    uint64_t rev, uint64_t now_wall_ms, struct bg_error *err);
/**
 * Puts an earlier revision of a service back into the head.
 *
 * @return 0, BG_ENOTFOUND, BG_EINVAL (invalid contract, or earlier_rev is not
 *     an earlier revision) or BG_ENOMEM
 */
int bg_change_withdraw(struct bg_head *head, const struct bg_contract *earlier,
    uint64_t earlier_rev, uint64_t now_wall_ms, struct bg_error *err);
/**
 * Starts a move.
 *
 * @param to server version: printable ASCII without spaces
 * @param take_over_ms promised duration of the move
 * @return 0, BG_ENOTFOUND, BG_EINVAL (invalid version, or it is serving), or
 *     BG_ECONFLICT if another move is in progress
 */
int bg_change_move(struct bg_head *head, const char *service, const char *to,
    uint32_t take_over_ms, uint64_t now_wall_ms, struct bg_error *err);
/**
 * Replaces the move state of a service.
 *
 * @return 0, BG_ENOTFOUND, or BG_ESTALE if the head has a later move
 */
int bg_change_move_state(struct bg_head *head, const char *service,
    const struct bg_move *move, uint64_t now_wall_ms, struct bg_error *err);

/** Entry of the history of changes. */
struct bg_history_entry {
	uint64_t version; /**< head version that contains the change */
	uint64_t time_ms; /**< wall clock */
	char service[BG_NAME_BYTES];
	char action[16]; /**< "accept", "withdraw" or "move" */
	char operator_name[BG_NAME_BYTES];
	uint64_t rev;		/**< revision put in force; 0 for a move */
	char to[BG_NAME_BYTES]; /**< server version of a move, else empty */
};

struct bg_history {
	struct bg_history_entry *entries; /**< in ascending order of version */
	size_t entry_count;
};

/**
 * Decodes {"changes":[{"version","time_ms","service","action","operator",
 * "rev","to"}]}.
 *
 * @param out release it with bg_history_free; empty after an error
 * @return 0, BG_EPROTO or BG_ENOMEM
 */
int bg_history_decode(struct bg_history *out, const json_t *json);
void bg_history_free(struct bg_history *hist);

/**
 * Reads the document in force.
 *
 * @param out new reference; NULL if there is no document yet
 * @param out_revision of the object; 0 if there is no document yet
 * @return 0, also without a document, or an error with the reason in err
 */
int bg_read_document(json_t **out, uint64_t *out_revision,
    const struct bg_store_factory *factory, struct bg_error *err);
/**
 * Reads the history.
 *
 * @param out empty if there is no history yet
 * @return 0 or an error with the reason in err
 */
int bg_read_history(struct bg_history *out,
    const struct bg_store_factory *factory, struct bg_error *err);

/**
 * Blocking operations of the operators' command. Each one reads the head,
 * computes the next one, and writes the contracts of new revisions, the
 * document and the history, in this order. If another service is changed in
 * between, it starts again, unless expected_version is set.
 *
 * @param out_version head version that contains the change
 * @param expected_version head version that the change was planned for; 0: any
 * @return 0, also if the content is in force already; BG_EINVAL if nodes would
 *     reject the configuration; BG_ENOTFOUND; BG_ECONFLICT if the head does not
 *     have the expected version, another operator changed the service, or a
 *     move is in progress; BG_EUNAVAILABLE; BG_ETIMEOUT if the store does not
 *     respond, in which case the update may have taken effect; or another error
 *     of the store
 */
int bg_operation_accept(uint64_t *out_version,
    const struct bg_store_factory *factory, const struct bg_contract *contracts,
    size_t contract_count, uint64_t expected_version, const char *operator_name,
    struct bg_error *err);
/** Withdraws the revision in force; see bg_operation_accept. */
int bg_operation_withdraw(uint64_t *out_version,
    const struct bg_store_factory *factory, const char *service,
    uint64_t expected_version, const char *operator_name, struct bg_error *err);
/** Starts a move; see bg_operation_accept and bg_change_move. */
int bg_operation_move(uint64_t *out_version,
    const struct bg_store_factory *factory, const char *service, const char *to,
    uint32_t take_over_ms, const char *operator_name, struct bg_error *err);

/**
 * Computes the next head in place.
 *
 * @return 0, or an error that ends the change and is passed to its
 *     bg_change_done_fn. If the version of the head has not risen, nothing is
 *     written.
 */
typedef int (*bg_change_decide_fn)(
    void *arg, struct bg_head *head, struct bg_error *err);
/**
 * Receives the result of a change exactly once, or never if the client is freed
 * first.
 *
 * @param code 0; BG_ECONFLICT if a newer head is in force, so that the decision
 *     has to be made again; or another error, after which the change may have
 *     taken effect
 * @param version head version that contains the change, or the version read if
 *     nothing was written; 0 after an error
 */
typedef void (*bg_change_done_fn)(void *arg, int code, uint64_t version);
/**
 * Starts a change without blocking, for a node that writes a step of a move:
 * reads the document, calls decide, and writes the new head if the document is
 * unchanged.
 *
 * @param writer name of the writer in the head
 * @return 0, or an error of bg_store_read, after which done is not called
 */
int bg_change_start(struct bg_store *store, const char *writer,
    bg_change_decide_fn decide, bg_change_done_fn done, void *arg);

#endif
