#ifndef BURDOCKGRADE_FOLLOW_H
#define BURDOCKGRADE_FOLLOW_H

/** @file
 * Follows all objects of one kind: lists them, then watches for changes, and
 * lists again whenever the store dropped the history in between.
 */

#include "burdockgrade/store.h"

struct bg_follow;

/** Receives what the store holds. Called from the loop. */
struct bg_follow_handler {
	/** An object as it is now; also a deleted one, while watching. */
	void (*object)(void *arg, const struct bg_store_object *obj);
	/** All objects of the kind have been handed out since the last call of
	 * `begin`; those that were not are gone. */
	void (*listed)(void *arg);
	/** A list begins; may be NULL. */
	void (*begin)(void *arg);
	/** The store answers again, or no longer. May be NULL. */
	void (*reachable)(void *arg, int is_reachable);
	void *arg;
};

struct bg_follow_options {
	struct event_base *base;
	struct bg_store *store;
	const char *kind; /**< not copied */
	/** Pause between an event and the next watch, so that changes in quick
	 * succession cost one call. */
	uint32_t coalesce_ms;
	struct bg_follow_handler handler;
};

/** Starts to follow. @return 0 or BG_ENOMEM */
int bg_follow_init(
    struct bg_follow **out, const struct bg_follow_options *opts);
/** Ends it; the handler is not called any more. Must not be called by the
 * handler. NULL is ignored. */
void bg_follow_free(struct bg_follow *fol);
/** 1 while the last call was answered. */
int bg_follow_is_reachable(const struct bg_follow *fol);
/** 1 once all objects were listed. */
int bg_follow_has_listed(const struct bg_follow *fol);

#endif
