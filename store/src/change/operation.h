#ifndef BG_STORE_OPERATION_H
#define BG_STORE_OPERATION_H

/** @file
 * State of one operation of an operator, and the steps of an operation.
 */

#include "../session/session.h"
#include "history.h"

/** Largest number of contracts in one accept. */
#define BG_ACCEPT_MAX 256

struct bg_operation {
	/* Request. */
	const struct bg_contract *contracts; /**< accept */
	size_t contract_count;
	const char *service; /**< withdraw, move */
	const char *to;	     /**< server version of a move, else NULL */
	uint32_t take_over_ms;
	uint64_t expected_version; /**< 0: any */
	char operator_name[BG_NAME_BYTES];
	char nonce[BG_NONCE_BYTES];

	/* Progress. */
	struct bg_session session;
	struct bg_head base_head; /**< head that was read */
	json_t *base_document;	  /**< document that was read, or NULL */
	uint64_t base_revision;	  /**< of the document; 0 if there is none */
	struct bg_head next_head; /**< head to be written */
	struct bg_history history;
	uint64_t history_revision;	     /**< 0: no history yet */
	struct bg_contract earlier_contract; /**< contract that a withdrawal
						  restores */
	uint64_t now_wall_ms;
	uint64_t initial_fingerprint; /**< of the services concerned, at the
					   first attempt */
	uint64_t revs[BG_ACCEPT_MAX]; /**< revision of each contract; revs[0]
					   is that of a withdrawal */
	int is_unchanged;	      /**< the content is in force already */
	int has_conflict; /**< the document was changed since it was read */
};

/** 1 if the head shows the effect of the operation, also after later updates by
 * other writers. */
int bg_operation_has_effect(
    const struct bg_operation *op, const struct bg_head *head);
/** Reads an object, with retries after a limit error or a lost connection.
 * @return as bg_session_get */
int bg_operation_get(struct bg_session_response *out, struct bg_operation *op,
    const char *kind, const char *name, struct bg_error *err);

/** Revision of a service in the store. */
struct bg_revision {
	uint64_t rev;
	uint64_t object_revision; /**< store revision of the object */
};

/**
 * Lists the revisions of a service in ascending order.
 *
 * @param out free() it; NULL if there are none
 * @return 0 or an error with the reason in err
 */
int bg_revisions_list(struct bg_revision **out, size_t *out_count,
    struct bg_operation *op, const char *service, struct bg_error *err);
/** Stores a contract as a new revision, whose number is returned in out. */
int bg_revision_store(uint64_t *out, struct bg_operation *op,
    const struct bg_contract *ctr, struct bg_error *err);
int bg_revision_load(struct bg_contract *out, struct bg_operation *op,
    const char *service, uint64_t rev, struct bg_error *err);
/** Finds the revision that a withdrawal of rev restores: the one that was in
 * force before, or the latest earlier one if the history or the store lacks it.
 * @return 0, BG_ENOTFOUND or another error with the reason in err */
int bg_revision_previous(uint64_t *out, struct bg_operation *op,
    const char *service, uint64_t rev, struct bg_error *err);
/**
 * 1 if a revision is no longer needed: it lies between the previous and the
 * present one, and so was never accepted or was withdrawn, or at least
 * BG_REVISIONS_KEPT newer ones are kept. No I/O.
 *
 * @param revs all revisions of the service, in ascending order
 * @param index of the revision in revs
 * @param previous revision that was in force before the present one
 */
int bg_revision_is_garbage(const struct bg_revision *revs, size_t count,
    size_t index, uint64_t previous, uint64_t present);
/** Deletes the revisions of a service that are garbage. Errors are ignored. */
void bg_revisions_collect_garbage(struct bg_operation *op, const char *service,
    uint64_t previous, uint64_t present);

/** Reads the history, and adds and stores entries that it lacks.
 * @return 0 or an error with the reason in err */
int bg_operation_read_history(struct bg_operation *op, struct bg_error *err);
/** Adds the entries of the operation to the history. If that fails, the next
 * writer adds them. */
void bg_operation_write_history(struct bg_operation *op);

#endif
