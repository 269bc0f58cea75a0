#ifndef BG_MOVES_TASK_H
#define BG_MOVES_TASK_H

/** @file
 * State of the moves task, shared by its files: moves.c evaluates moves and
 * writes steps, members.c derives the inputs from the members, and verdict.c
 * judges the server beside this node.
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

/** @return NULL if the service has had no move */
struct bg_tracked_move *bg_moves_find_tracked(
    const struct bg_moves *mvs, const char *service);
/** Evaluates the moves soon. */
void bg_moves_arm_timer(struct bg_moves *mvs);
/** 1 if the move is in progress or still monitored after its end.
 * @param now_ms monotonic clock */
int bg_moves_is_monitored(const struct bg_tracked_move *trk, uint64_t now_ms);

/** Counts an answer and, during a move, judges the server beside this node by
 * it. Implements struct bg_observer. */
void bg_moves_observe(
    struct bg_observer *obs, const struct bg_observation *seen);
/** Stops or resumes calls to the server beside this node. */
void bg_moves_suspend(struct bg_moves *mvs, int is_suspended);

/** Fills the input of the next step from the members and their verdicts.
 * @param now_ms monotonic clock */
void bg_moves_plan_input(struct bg_plan_input *out, const struct bg_moves *mvs,
    const struct bg_tracked_move *trk, uint64_t now_ms);
/** Rank of this node in the order of nodes for a service. */
uint32_t bg_moves_node_rank(const struct bg_moves *mvs, const char *service);
/** Finds the version to move to without an operator: that of the latest ready
 * server whose version was not tried before.
 * @return NULL if there is none */
const char *bg_moves_find_candidate(const struct bg_tracked_move *trk);

#endif
