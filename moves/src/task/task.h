#ifndef BG_MOVES_TASK_H
#define BG_MOVES_TASK_H

/** @file
 * State of the moves task.
 */

#include <uthash.h>

#include "burdockgrade/burn.h"
#include "burdockgrade/moves.h"

#include "judge/judge.h"
#include "plan/plan.h"

/** The last move of a service and the progress of this node with it. */
struct bg_tracked_move {
	struct bg_moves *moves;
	char service[BG_NAME_BYTES]; /**< key of the hash */
	struct bg_move move;	     /**< as last read from the store */
	struct bg_move_policy policy;
	uint64_t first_seen_ms; /**< monotonic, of this move */
	uint64_t step_seen_ms;	/**< monotonic, of the present step and state */
	uint64_t initial_age_ms; /**< age of the move at first_seen_ms */
	uint64_t step_due_ms; /**< monotonic, next step is due since; 0: none */
	uint64_t retry_at_ms; /**< monotonic, earliest time of the next write */
	int is_writing;	      /**< a write has not completed */
	int is_bad_reported;  /**< on_bad_version was called for this move */
	UT_hash_handle hh;
};

struct bg_moves {
	struct bg_observer observer; /**< first member: the vtable */
	struct bg_moves_options options;
	struct event *timer; /**< pending while a move needs evaluation */
	struct bg_burn *burn;
	struct bg_judge judge; /**< of the server beside this node */
	char judged_version[BG_NAME_BYTES];
	int is_suspended;		 /**< last value given to on_suspend */
	struct bg_tracked_move *tracked; /**< hash by service */
};

#endif
