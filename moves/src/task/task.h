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

/** A move that this node follows. */
struct bg_tracked_move {
	struct bg_moves *moves;
	char service[BG_NAME_BYTES];
	struct bg_move move; /**< as the store has it */
	struct bg_move_policy policy;
	uint64_t first_seen_ms; /**< monotonic: the move was first seen */
	uint64_t
	    step_seen_ms; /**< monotonic: the step or state was first seen */
	uint64_t initial_age_ms; /**< age of the move when it was first seen */
	uint64_t
	    step_due_ms; /**< monotonic: a next step is due since; 0: none */
	uint64_t retry_at_ms; /**< monotonic: not written before */
	int is_writing;
	int is_bad_reported;
	UT_hash_handle hh;
};

struct bg_moves {
	struct bg_observer observer; /**< first member: the vtable */
	struct bg_moves_options options;
	struct event *timer;
	struct bg_burn *burn;
	struct bg_judge judge; /**< of the server beside this node */
	char judged_version[BG_NAME_BYTES];
	int is_suspended;
	struct bg_tracked_move *tracked;
};

#endif
