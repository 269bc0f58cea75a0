#ifndef BURDOCKGRADE_STORE_H
#define BURDOCKGRADE_STORE_H

/** @file
 * The store that keeps what must outlive every process: versioned objects with
 * conditional writes and watches. An adapter implements it.
 *
 * An object has a kind and a name. The store counts one revision for all
 * changes; an object carries the revision of its last one.
 */

#include <event2/event.h>
#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "burdockgrade/error.h"

/** Room for a kind or a name with its end. */
#define BG_STORE_NAME_BYTES 192

struct bg_store_object {
	const char *kind;
	const char *name;
	uint64_t revision;
	uint64_t
	    create_revision; /**< revision at which the object was created */
	json_t *spec;	     /**< borrowed; NULL if there is none */
	json_t *status;	     /**< borrowed; NULL if there is none */
	int is_deleted;
};

/** What to read. Pointers need to be valid during the call only. */
struct bg_store_query {
	const char *kind;
	const char *name; /**< NULL: all objects of the kind */
	const char
	    *after_name; /**< of a list: names behind this one, or NULL */
	uint64_t since_revision; /**< of a watch: changes after this revision */
	uint32_t wait_ms;	 /**< of a watch: longest wait; 0: no watch */
	int may_be_stale;	 /**< cheaper; may be seconds old */
};

enum bg_store_action {
	BG_STORE_CREATE, /**< the object must not exist */
	BG_STORE_REPLACE,
	BG_STORE_SET_STATUS,
	BG_STORE_REMOVE,
};

/** A write; it takes effect only if the object has the expected revision. */
struct bg_store_change {
	enum bg_store_action action;
	const char *kind;
	const char *name;
	uint64_t expected_revision; /**< not for BG_STORE_CREATE */
	json_t *value; /**< spec or status; borrowed; NULL for a removal */
};

/** An answer; everything in it lives until the callback returns. */
struct bg_store_response {
	int code; /**< 0, BG_ENOTFOUND, BG_ECONFLICT (objects[0] holds the
		     object as it is), BG_ESTALE (the history since the revision
		     is gone: list again), BG_ELIMIT (rate or size),
		     BG_EUNAVAILABLE, BG_ETIMEOUT, BG_EIO (connection lost),
		     BG_EPROTO, BG_ECANCELED (the client was freed) */
	int is_outcome_unknown; /**< a write may have taken effect, or may
				   still */
	int has_more;		/**< of a list: continue behind the last name */
	uint64_t revision;	/**< of the store; 0 if it was not told */
	const struct bg_store_object *objects;
	size_t object_count;
};

typedef void (*bg_store_fn)(
    void *arg, const struct bg_store_response *response);

/** A client of the store; first member of what implements it. */
struct bg_store {
	int (*read)(struct bg_store *store, const struct bg_store_query *query,
	    bg_store_fn fn, void *arg);
	int (*write)(struct bg_store *store,
	    const struct bg_store_change *change, bg_store_fn fn, void *arg);
	void (*free)(struct bg_store *store);
	const char *peer; /**< address, for errors and logs */
};

struct bg_store_options {
	uint32_t version;
	const char *address;  /**< "ip:port" */
	const char *local_ip; /**< source address, or NULL */
	uint32_t timeout_ms;  /**< of one call; a watch adds its wait */
};

#define BG_STORE_OPTIONS_VERSION 1
#define BG_STORE_OPTIONS_INIT                              \
	{                                                  \
		BG_STORE_OPTIONS_VERSION, NULL, NULL, 2000 \
	}

/** Opens a client of a store. @return 0, BG_EINVAL (address) or BG_ENOMEM */
typedef int (*bg_store_open_fn)(struct bg_store **out, struct event_base *base,
    const struct bg_store_options *opts, struct bg_error *err);

/** A store that can be opened. */
struct bg_store_factory {
	bg_store_open_fn open;
	struct bg_store_options options;
};

/**
 * Starts a read. The callback runs exactly once, never before the function
 * returns, and only if it returned 0.
 *
 * @return 0, BG_EINVAL (kind or name), BG_ELIMIT (too many calls at once),
 *     BG_EUNAVAILABLE, BG_ENOMEM, BG_ECANCELED
 */
int bg_store_read(struct bg_store *store, const struct bg_store_query *query,
    bg_store_fn fn, void *arg);
/** Starts a write, with the rules of bg_store_read. */
int bg_store_write(struct bg_store *store, const struct bg_store_change *change,
    bg_store_fn fn, void *arg);
/** Ends pending calls with BG_ECANCELED. Safe inside a callback; NULL is
 * ignored. */
void bg_store_free(struct bg_store *store);

#endif
