#ifndef BG_STORE_OPERATION_H
#define BG_STORE_OPERATION_H

/** @file
 * One operation of an operator: what it is and how far it came.
 */

#include "../session/session.h"
#include "history.h"

/** Contracts of one accept. */
#define BG_ACCEPT_MAX 256

struct bg_operation {
	/* What is asked for. */
	const struct bg_contract *contracts; /**< accept */
	size_t contract_count;
	const char *service; /**< withdraw, move */
	const char *to;	     /**< move, else NULL */
	uint32_t take_over_ms;
	uint64_t expected_version;
	char operator_name[BG_NAME_BYTES];
	char nonce[BG_NONCE_BYTES];

	struct bg_session session;
	struct bg_head base_head; /**< as read */
	json_t *base_document;	  /**< that holds it, or NULL */
	uint64_t base_revision;
	struct bg_head next_head; /**< to be written */
	struct bg_history history;
	uint64_t history_revision;
	struct bg_contract earlier_contract; /**< withdraw: what comes back */
	uint64_t now_wall_ms;
	uint64_t initial_fingerprint; /**< of the services in the first round */
	uint64_t revs[BG_ACCEPT_MAX]; /**< of each contract; revs[0] of a
					   withdrawal */
	int is_unchanged;	      /**< in force already */
	int has_conflict;	      /**< the head was changed in between */
};

/** Finds the effect of the update in a head that later updates replaced. */
int bg_operation_has_effect(
    const struct bg_operation *op, const struct bg_head *head);
/** Reads an object; repeated after a limit or a lost connection. */
int bg_operation_get(struct bg_session_response *out, struct bg_operation *op,
    const char *kind, const char *name, struct bg_error *err);

/** Revisions of a service in the store, by rising number. */
struct bg_revision {
	uint64_t rev;
	uint64_t object_revision;
};

int bg_revisions_list(struct bg_revision **out, size_t *out_count,
    struct bg_operation *op, const char *service, struct bg_error *err);
/** Stores a contract as a new revision. */
int bg_revision_store(uint64_t *out, struct bg_operation *op,
    const struct bg_contract *ctr, struct bg_error *err);
int bg_revision_load(struct bg_contract *out, struct bg_operation *op,
    const char *service, uint64_t rev, struct bg_error *err);
/** Finds the revision that a withdrawal brings back. */
int bg_revision_previous(uint64_t *out, struct bg_operation *op,
    const char *service, uint64_t rev, struct bg_error *err);
/** Deletes revisions that nobody can need any more. Pure choice: those between
 * previous and present were never accepted or were withdrawn. @return 1 for
 * those to delete */
int bg_revision_is_garbage(const struct bg_revision *revs, size_t count,
    size_t index, uint64_t previous, uint64_t present);
void bg_revisions_collect_garbage(struct bg_operation *op, const char *service,
    uint64_t previous, uint64_t present);

/** Reads the history and adds what is missing. */
int bg_operation_read_history(struct bg_operation *op, struct bg_error *err);
/** Adds the entries of the operation; a failure is repaired by the next one. */
void bg_operation_write_history(struct bg_operation *op);

#endif
