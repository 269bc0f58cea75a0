#ifndef BG_TESTING_MEMORY_STORE_H
#define BG_TESTING_MEMORY_STORE_H

/** @file
 * In-memory store for tests. It responds from the event loop. A test can make
 * calls fail or hang, lose responses to writes, and drop the watch history. A
 * watch covers all objects of its kind. It ends with a change, an error, or
 * after its wait.
 */

#include "burdockgrade/store.h"

#define MEMORY_STORE_OBJECTS 64
#define MEMORY_STORE_CALLS 64

struct memory_object {
	char kind[BG_STORE_NAME_BYTES];
	char name[BG_STORE_NAME_BYTES];
	json_t *spec;
	json_t *status;
	uint64_t revision;
	uint64_t create_revision;
	uint64_t changed_ms;
	int is_deleted;
};

/** A call without a response so far. */
struct memory_call {
	int is_used;
	int is_write;
	struct bg_store_query query;
	struct bg_store_change change;
	char kind[BG_STORE_NAME_BYTES];
	char name[BG_STORE_NAME_BYTES];
	char after_name[BG_STORE_NAME_BYTES];
	bg_store_fn fn;
	void *arg;
	uint64_t watch_end_ms; /**< end of a watch that has found no change
				    yet; 0: none */
};

struct memory_store {
	struct bg_store store; /**< first member: the vtable */
	struct event_base *base;
	struct event *wakeup;
	struct event *timer; /**< re-examines pending watches */
	struct memory_object objects[MEMORY_STORE_OBJECTS];
	size_t object_count;
	struct memory_call calls[MEMORY_STORE_CALLS];
	uint64_t revision;
	uint64_t history_start; /**< watches since an earlier revision fail
				     with BG_ESTALE */
	size_t page_size;	/**< largest number of objects in a list */

	/* Set by tests. */
	int fail_code; /**< error code that calls end with; 0: none is forced */
	int is_silent; /**< calls stay pending; writes are not applied */
	int lose_write_responses; /**< number of writes that are applied but
				       end with BG_EIO and is_outcome_unknown,
				       as after a lost connection */
	int is_write_silent;	  /**< only writes stay pending, and are not
				       applied */
	uint32_t stale_lag_ms;	  /**< a watch with may_be_stale does not see
				       changes made within this time */
	int is_stale_ahead;  /**< a watch with may_be_stale tells the revision
				  of the store, and not that of its data */
	int skips_changes;   /**< watches end with a change that they do not
				  report, as one that could not be decoded */
	int is_watch_silent; /**< watches are not answered, and end with
				  BG_ETIMEOUT after their wait and their
				  timeout */
	int is_deaf;	     /**< watches report no changes, and end after their
				  wait with the revision of the store */

	/* Read by tests: calls so far. */
	int reads;	 /**< without may_be_stale */
	int stale_reads; /**< with may_be_stale */
	int writes;
};

void memory_store_init(struct memory_store *out, struct event_base *base);
/** Ends all calls with BG_ECANCELED and releases the store's resources. */
void memory_store_clear(struct memory_store *mem);

/**
 * Creates an object or replaces the spec of an existing one, on behalf of
 * another client. Makes a new revision, even if the spec is equal to the old
 * one.
 *
 * @param spec the reference is stolen
 */
void memory_store_set(
    struct memory_store *mem, const char *kind, const char *name, json_t *spec);
/** Deletes an object, which must exist. */
void memory_store_remove(
    struct memory_store *mem, const char *kind, const char *name);
/** @return NULL if the object does not exist */
struct memory_object *memory_store_find(
    struct memory_store *mem, const char *kind, const char *name);
/** Makes a new revision and drops the history before it, so that watches since
 * an earlier revision, also pending ones, fail with BG_ESTALE. */
void memory_store_drop_history(struct memory_store *mem);
/** Clears is_silent and is_write_silent, so that the event loop handles the
 * pending calls. */
void memory_store_resume(struct memory_store *mem);
/** Ends the pending calls with this argument with BG_ECANCELED, as the client
 * of a process that ends does. */
void memory_store_cancel(struct memory_store *mem, const void *arg);
/** Runs a fixed number of iterations of the event loop, without blocking and
 * without a check that no event is left. */
void memory_store_run(struct memory_store *mem);

#endif
