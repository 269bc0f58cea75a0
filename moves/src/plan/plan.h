#ifndef BG_PLAN_PLAN_H
#define BG_PLAN_PLAN_H

/** @file
 * The state machine of a move. Pure: the next state is a function of the state,
 * the verdict and the time, so that a step is never repeated or skipped by
 * another holder.
 */

#include <stdint.h>

#include "burdockgrade/contract.h"
#include "burdockgrade/snapshot.h"

#include "verdict/verdict.h"

/** What the holder knows when it decides. */
struct bg_plan_input {
	uint64_t now_ms; /**< wall clock */
	enum bg_verdict verdict;
	uint64_t new_calls;   /**< calls of the new version so far */
	uint32_t calls_per_s; /**< of both versions, smoothed */
	uint32_t ready_old;   /**< ready servers of `from` */
	uint32_t ready_new;   /**< ready servers of `to` */
	uint32_t slots_new;
	uint32_t
	    busy_millislots; /**< 1,000 is one slot in use, both versions */
	int is_doubtful;    /**< some evidence speaks against the new version */
	int is_marked;	    /**< a MARK of this generation exists */
	int is_confirmed;   /**< the last change is in force where reachable */
	const char *reason; /**< of the mark or the verdict */
};

/**
 * Computes the next state of a move.
 *
 * @param out equals move if there is nothing to change
 * @return 1 if out differs, 0 otherwise
 */
int bg_plan_next(struct bg_move *out, const struct bg_move *move,
    const struct bg_contract *ctr, const struct bg_plan_input *in);

/** Length of one step, so that the plan ends before the promised time. */
uint64_t bg_plan_step_ms(const struct bg_move *move);

/** 1 while the version is still watched: in progress, or done within the
 * soak. */
int bg_plan_is_watched(
    const struct bg_move *move, const struct bg_contract *ctr, uint64_t now_ms);

#endif
