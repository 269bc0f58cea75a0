#ifndef BG_STORE_PROGRESS_H
#define BG_STORE_PROGRESS_H

/** @file
 * The revision from which a watch continues. An answer may tell a later
 * revision than that of its data: a copy of the store that lags, or a store
 * that holds back events for a moment. If the next watch began there, the
 * changes in between would never be reported. So a watch continues from the
 * last change that was reported, and takes a told revision only some seconds
 * after it was told. Until then the watches report changes that were held back.
 * No I/O; the caller passes the time.
 */

#include <stdint.h>

/** Time until a told revision is taken. Longer than copies of the store
 * usually lag, and so short that the store still has the history that the
 * watches need: at most twice this and one watch. */
#define BG_PROGRESS_HOLD_MS 6000

struct bg_progress {
	uint64_t revision; /**< the next watch reports changes after it */
	uint64_t proven_revision; /**< the same as long as no told revision was
				       taken since the last list; then it
				       stays, since changes before a reported
				       one may have been left out */
	int has_taken;		  /**< a told revision was taken since then */
	uint64_t held_revision;	  /**< told, and not taken yet; 0: none */
	uint64_t held_ms;	  /**< time at which it was told */
};

/** Begins at the revision of a list, which is exact. */
void bg_progress_handle_list(struct bg_progress *prg, uint64_t revision);
/**
 * Handles an answer to a watch.
 *
 * @param reported highest revision of the objects in the answer; 0: none
 * @param told revision that the answer tells
 */
void bg_progress_handle_watch(
    struct bg_progress *prg, uint64_t reported, uint64_t told, uint64_t now_ms);

#endif
