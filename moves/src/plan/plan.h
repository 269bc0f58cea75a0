#ifndef BG_PLAN_PLAN_H
#define BG_PLAN_PLAN_H

/** @file
 * The state machine of a move. The next state is a pure function of the state,
 * the verdicts and the time, so that every node computes the same step.
 */

#include <stdint.h>

#include "burdockgrade/moves.h"

/** Observations that the next state depends on. */
struct bg_plan_input {
	uint32_t ready_old;   /**< ready servers of other versions */
	uint32_t ready_new;   /**< ready servers of `to`, judged or not */
	uint32_t good_new;    /**< of ready_new, found good in this step */
	uint32_t bad_new;     /**< of ready_new, found bad in any step */
	uint32_t bad_in_step; /**< of bad_new, found bad in this step */
	uint32_t idle_new;    /**< of ready_new, with too few calls in this step
				   to be judged */
	uint64_t step_age_ms; /**< since the present step or state began */
	uint64_t left_ms;     /**< until the deadline; 0 once it passed */
	uint64_t now_wall_ms; /**< wall clock, stored with the next state */
	const char *reason;   /**< of a bad verdict, or NULL */
};

/** Duration of the present step, in ms. */
uint64_t bg_plan_step_duration_ms(
    const struct bg_move *move, const struct bg_move_policy *policy);

/** 1 if the version is at fault: all of its ready servers are bad, or too many
 * for a fault of a single server, or, beyond the first share, one is and none
 * is good. */
int bg_plan_is_bad(const struct bg_move *move, const struct bg_plan_input *in);

/**
 * Computes the next state of a move.
 *
 * @param out a copy of move if nothing changes
 * @return 1 if out differs from move, else 0
 */
int bg_plan_next(struct bg_move *out, const struct bg_move *move,
    const struct bg_move_policy *policy, const struct bg_plan_input *in);

/** Computes the first state of a move.
 * @param last previous move of the service, or NULL */
void bg_plan_begin(struct bg_move *out, const struct bg_move *last,
    const char *to, uint64_t generation, const struct bg_move_policy *policy,
    uint64_t now_wall_ms);

/** 1 while the version is judged: in progress, or done within the soak period.
 * @param age_ms time since the present step or state began */
int bg_plan_is_monitored(const struct bg_move *move,
    const struct bg_move_policy *policy, uint64_t age_ms);

#endif
