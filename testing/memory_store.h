#ifndef BG_TESTING_MEMORY_STORE_H
#define BG_TESTING_MEMORY_STORE_H

/** @file
 * A store in the memory of a test: it answers from the loop, and a test makes
 * it fail, stay silent, lose answers, forget its history or delay a write.
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
	int is_deleted;
};

/** A call that waits for its answer. */
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
	int is_watching;
};

struct memory_store {
	struct bg_store store; /**< first member: the vtable */
	struct event_base *base;
	struct event *wakeup;
	struct memory_object objects[MEMORY_STORE_OBJECTS];
	size_t object_count;
	struct memory_call calls[MEMORY_STORE_CALLS];
	uint64_t revision;
	uint64_t history_start; /**< watches from before it get BG_ESTALE */
	size_t page_size;	/**< objects of one answer to a list */

	/* What a test sets. */
	int fail_code;		  /**< answer of each call; 0: none */
	int is_silent;		  /**< calls wait */
	int lose_write_responses; /**< writes that take effect and fail BG_EIO
				   */
	int is_write_silent;	  /**< writes wait, reads are answered */

	/* What a test reads. */
	int reads;
	int stale_reads;
	int writes;
};

void memory_store_init(struct memory_store *out, struct event_base *base);
/** Ends all calls with BG_ECANCELED and releases what the store holds. */
void memory_store_clear(struct memory_store *mem);

/** Writes as the operator or another node would; answers watches.
 * @param spec reference is taken */
void memory_store_set(
    struct memory_store *mem, const char *kind, const char *name, json_t *spec);
void memory_store_remove(
    struct memory_store *mem, const char *kind, const char *name);
struct memory_object *memory_store_find(
    struct memory_store *mem, const char *kind, const char *name);
/** Watches that wait are cut off; older revisions are gone. */
void memory_store_drop_history(struct memory_store *mem);
/** Answers the calls that waited while the store was silent. */
void memory_store_resume(struct memory_store *mem);
/** Runs the loop until nothing is left to do at once. */
void memory_store_run(struct memory_store *mem);

#endif
