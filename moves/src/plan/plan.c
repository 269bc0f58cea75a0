#include <stdio.h>
#include <string.h>

#include "plan.h"

static const uint32_t SHARES[] = {
    BG_MOVE_FIRST_SHARE_PERMILLE, 100, 250, 500, 1000};

#define STEP_COUNT (sizeof(SHARES) / sizeof(SHARES[0]))
/* The plan uses this part of the promised time; the rest is for news, a change
 * of holder and a slow platform. */
#define PLAN_PERCENT 50
/* Nodes learn of a step within a second; evidence needs some more. */
#define STEP_MIN_MS 2000
/* A step ends this much later than planned: the holder looks once a second, and
 * the step before has to be confirmed everywhere. */
#define STEP_OVERHEAD_MS 1500
#define STEP_MAX_MS 300000
/* Calls that let the first step end without a full verdict when time presses:
 * a version that fails every other call is found with these. */
#define PRESSED_CALLS 20
/* Part of the new version's slots that its share may keep busy. */
#define CAPACITY_PERCENT 80

uint64_t
bg_plan_step_ms(const struct bg_move *move)
{
	uint64_t promised_ms = move->deadline_ms > move->started_ms
	    ? move->deadline_ms - move->started_ms
	    : 0;
	uint64_t step_ms = promised_ms * PLAN_PERCENT / 100 / STEP_COUNT;

	if (step_ms < STEP_MIN_MS)
		return STEP_MIN_MS;
	return step_ms > STEP_MAX_MS ? STEP_MAX_MS : step_ms;
}

static void
finish(struct bg_move *out, enum bg_move_state state, uint64_t now_ms,
    const char *reason)
{
	out->state = state;
	out->step_since_ms = now_ms;
	out->share_permille = state == BG_MOVE_DONE ? 1000 : 0;
	snprintf(out->reason, sizeof(out->reason), "%s", reason);
}

/* The new version must be able to carry the share that it would get. */
static int
has_capacity(const struct bg_plan_input *in, uint32_t share_permille)
{
	uint64_t needed = (uint64_t)in->busy_millislots * share_permille / 1000;
	uint64_t offered =
	    (uint64_t)in->slots_new * 1000 * CAPACITY_PERCENT / 100;

	return in->ready_new > 0 && offered >= needed;
}

/* Time still needed if every step were as short as allowed. */
static uint64_t
shortest_rest_ms(const struct bg_move *move)
{
	return (STEP_COUNT - move->step) * STEP_MIN_MS;
}

static uint64_t
left_ms(const struct bg_move *move, uint64_t now_ms)
{
	return move->deadline_ms > now_ms ? move->deadline_ms - now_ms : 0;
}

static int
is_pressed(const struct bg_move *move, uint64_t now_ms)
{
	return left_ms(move, now_ms) < (STEP_COUNT - move->step) *
		(bg_plan_step_ms(move) + STEP_OVERHEAD_MS) +
	    STEP_MIN_MS;
}

/* Steps become shorter if the rest of the time asks for it. */
static uint64_t
dwell_ms(const struct bg_move *move, uint64_t now_ms)
{
	uint64_t step_ms = bg_plan_step_ms(move);
	uint64_t fair_ms =
	    left_ms(move, now_ms) / (STEP_COUNT - move->step + 1);

	if (fair_ms >= step_ms + STEP_OVERHEAD_MS)
		return step_ms;
	return fair_ms < STEP_MIN_MS + STEP_OVERHEAD_MS
	    ? STEP_MIN_MS
	    : fair_ms - STEP_OVERHEAD_MS;
}

/* The first step ends with a good verdict; without one, only if time presses
 * and enough calls look well, or if nothing is called at all. A service with
 * few calls stays at the first share: its move is late, and rolled back at the
 * promised time, rather than give an unproven version a larger share. */
static int
is_step_proven(const struct bg_move *move, const struct bg_plan_input *in)
{
	if (in->verdict == BG_VERDICT_GOOD || move->step > 0)
		return 1;
	if (!is_pressed(move, in->now_ms))
		return 0;
	return in->new_calls >= PRESSED_CALLS ||
	    (in->calls_per_s == 0 && in->new_calls == 0);
}

static int
advance(struct bg_move *out, const struct bg_move *move,
    const struct bg_plan_input *in)
{
	uint64_t age_ms = in->now_ms > move->step_since_ms
	    ? in->now_ms - move->step_since_ms
	    : 0;

	if (age_ms < dwell_ms(move, in->now_ms) || !in->is_confirmed ||
	    in->is_doubtful || !is_step_proven(move, in))
		return 0;
	if (move->step + 1 == STEP_COUNT) {
		finish(out, BG_MOVE_DONE, in->now_ms, "");
		return 1;
	}
	if (!has_capacity(in, SHARES[move->step + 1]))
		return 0;
	out->step = move->step + 1;
	out->share_permille = SHARES[out->step];
	out->step_since_ms = in->now_ms;
	return 1;
}

static int
next_in_progress(struct bg_move *out, const struct bg_move *move,
    const struct bg_plan_input *in)
{
	int late;

	if (in->now_ms >= move->deadline_ms) {
		finish(out, BG_MOVE_ROLLED_BACK, in->now_ms,
		    "promised time passed");
		return 1;
	}
	if (advance(out, move, in))
		return 1;
	late = move->is_late ||
	    in->now_ms + shortest_rest_ms(move) > move->deadline_ms;
	out->is_late = late;
	return late != move->is_late;
}

int
bg_plan_is_watched(
    const struct bg_move *move, const struct bg_contract *ctr, uint64_t now_ms)
{
	if (move->state == BG_MOVE_IN_PROGRESS)
		return 1;
	return move->state == BG_MOVE_DONE && move->from[0] != '\0' &&
	    strcmp(move->from, move->to) != 0 &&
	    now_ms < move->step_since_ms + ctr->soak_ms;
}

int
bg_plan_next(struct bg_move *out, const struct bg_move *move,
    const struct bg_contract *ctr, const struct bg_plan_input *in)
{
	*out = *move;
	if (!bg_plan_is_watched(move, ctr, in->now_ms))
		return 0;
	if (in->is_marked || in->verdict == BG_VERDICT_BAD) {
		/* After done, only a version that still runs can take over. */
		if (move->state == BG_MOVE_DONE && in->ready_old == 0)
			return 0;
		finish(out, BG_MOVE_ROLLED_BACK, in->now_ms,
		    in->reason != NULL ? in->reason : "bad");
		return 1;
	}
	if (move->state == BG_MOVE_IN_PROGRESS)
		return next_in_progress(out, move, in);
	return 0;
}
