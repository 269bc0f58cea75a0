#ifndef BURDOCKGRADE_WATCHER_H
#define BURDOCKGRADE_WATCHER_H

/** @file
 * Tracks all objects of one kind: lists them, then watches for changes. Lists
 * again if the store dropped the history that the watch needs.
 */

#include "burdockgrade/store.h"

/** Wait of an exact watch by which a node reads for others, and the time limit
 * of its answer besides. Their sum is the time until a silent connection is
 * noticed, and bounds the age of what the others know. */
#define BG_WATCHER_EXACT_WAIT_MS 700
#define BG_WATCHER_EXACT_TIMEOUT_MS 500

struct bg_watcher;

/** Callbacks of a watcher; they run in the event loop. */
struct bg_watcher_handler {
	/** Receives the current state of an object. A deleted object is
	 * reported only by a watch, not by a list. */
	void (*object)(void *arg, const struct bg_store_object *obj);
	/** A list is complete: objects not received since the last call of
	 * `list_begin` no longer exist. */
	void (*list_end)(void *arg);
	/** A list begins; may be NULL. */
	void (*list_begin)(void *arg);
	/** The store became reachable or unreachable; may be NULL. */
	void (*reachable)(void *arg, int is_reachable);
	/** All changes up to now were reported, as far as the store's answer is
	 * exact; may be NULL. Runs after `object` and `list_end`. */
	void (*contact)(void *arg);
	void *arg;
};

struct bg_watcher_options {
	struct event_base *base;
	struct bg_store *store;
	const char *kind; /**< not copied */
	/** Delay between a change and the next watch, in ms, so that several
	 * changes in quick succession cost one call. */
	uint32_t coalesce_ms;
	/** Begins with a watch of the changes since this revision, whose first
	 * answer comes at once, in place of a list; 0: with a list. */
	uint64_t since_revision;
	int is_exact;	     /**< watches are exact, not only lists; they cost
				  ten times as much */
	uint32_t wait_ms;    /**< of a watch; 0: 2 s */
	uint32_t timeout_ms; /**< of a call, besides wait_ms; 0: that of the
				  store's client */
	struct bg_watcher_handler handler;
};

/**
 * Creates a watcher, which starts to list from the event loop.
 *
 * @return 0 or BG_ENOMEM
 */
int bg_watcher_init(
    struct bg_watcher **out, const struct bg_watcher_options *opts);
/** Frees a watcher; its callbacks do not run any more. Must not be called in
 * one of them. NULL is ignored. */
void bg_watcher_free(struct bg_watcher *wat);
/** 0 from a failed call to the store until the next successful one, else 1. */
int bg_watcher_is_reachable(const struct bg_watcher *wat);
/** Revision from which another watcher may begin: that of the last list, or of
 * the last change that was reported, and never one that only an answer told; 0
 * before the first list. */
uint64_t bg_watcher_revision(const struct bg_watcher *wat);
/** Revision up to which changes were reported before the answer whose objects
 * are being passed on; 0 before the first list. */
uint64_t bg_watcher_passed_revision(const struct bg_watcher *wat);
/** Kind of the read whose objects are being passed on: "list", "exact-watch" or
 * "stale-watch". */
const char *bg_watcher_read_name(const struct bg_watcher *wat);
/** 1 once a list has been completed. */
int bg_watcher_has_listed(const struct bg_watcher *wat);

#endif
