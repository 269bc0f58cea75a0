#ifndef BG_PLAN_PLAN_H
#define BG_PLAN_PLAN_H

/** @file
 * The state machine of a move. Pure: the next state is a function of the state,
 * the verdicts and the time, so that any node computes the same step.
 */

#include <stdint.h>

#include "burdockgrade/moves.h"

/** What a node knows when it decides. */
struct bg_plan_input {
	uint32_t ready_old;   /**< ready servers of other versions */
	uint32_t ready_new;   /**< ready servers of `to`, judged or not */
	uint32_t good_new;    /**< of them, found good */
	uint32_t bad_new;     /**< of them, found bad */
	uint32_t idle_new;    /**< of them, without any call */
	uint64_t step_age_ms; /**< since the present step or state began */
	uint64_t left_ms;     /**< of the promised time */
	uint64_t now_wall_ms; /**< written into the next state */
	const char *reason;   /**< of a bad verdict, or NULL */
};

/** Time that the present step of a move takes. */
uint64_t bg_plan_step_duration_ms(
    const struct bg_move *move, const struct bg_move_policy *policy);

/** 1 if the verdicts show that the version is bad, and not one server. */
int bg_plan_is_bad(uint32_t ready_new, uint32_t bad_new);

/**
 * Computes the next state of a move.
 *
 * @param out equals move if there is nothing to change
 * @return 1 if out differs, 0 otherwise
 */
int bg_plan_next(struct bg_move *out, const struct bg_move *move,
    const struct bg_move_policy *policy, const struct bg_plan_input *in);

/** First state of a move to a version. */
void bg_plan_begin(struct bg_move *out, const struct bg_move *last,
    const char *to, uint64_t generation, const struct bg_move_policy *policy,
    uint64_t now_wall_ms);

/** 1 while the version is still judged: in progress, or done within the soak.
 * @param age_ms since the state began */
int bg_plan_is_monitored(const struct bg_move *move,
    const struct bg_move_policy *policy, uint64_t age_ms);

#endif
