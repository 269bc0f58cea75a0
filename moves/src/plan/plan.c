#include <stdio.h>
#include <string.h>

#include "plan.h"

/* Traffic shares of the steps after the first. Each step shows how the version
 * handles more calls before the next one raises its share. */
static const uint32_t LATER_SHARES_PERMILLE[] = {300, 600, 1000};

#define LATER_STEPS \
	(sizeof(LATER_SHARES_PERMILLE) / sizeof(LATER_SHARES_PERMILLE[0]))
/* Duration of the first step in percent of the time to the deadline: long
 * enough to detect a version that fails only some time after its start. */
#define FIRST_STEP_PERCENT 35
/* Duration of each later step. The steps take 65% of the time together; the
 * rest is for a slow store and for servers that become ready late. */
#define LATER_STEP_PERCENT 10
/* Limits of the duration of a step. Nodes learn of a step within 1 s and need
 * some answers after that. */
#define STEP_MIN_MS 1500
#define STEP_MAX_MS 300000
/* A version without a good verdict is rolled back this long before the
 * deadline, so that all nodes know of it by then. */
#define ROLLBACK_LEAD_MS 800
/* Bad servers that make the version bad; one alone may be at fault itself. */
#define BAD_SERVERS_MIN 2
/* Good servers for each bad one, before a share is raised. */
#define GOOD_TO_BAD_SERVERS 2

static void
finish(struct bg_move *out, enum bg_move_state state, uint64_t now_ms,
    const char *reason)
{
	out->state = state;
	out->step_since_ms = now_ms;
	out->share_permille = state == BG_MOVE_DONE ? 1000 : 0;
	snprintf(out->reason, sizeof(out->reason), "%s", reason);
}

uint64_t
bg_plan_step_duration_ms(
    const struct bg_move *move, const struct bg_move_policy *policy)
{
	uint32_t percent =
	    move->step == 0 ? FIRST_STEP_PERCENT : LATER_STEP_PERCENT;
	uint64_t ms = (uint64_t)policy->take_over_ms * percent / 100;

	if (ms < STEP_MIN_MS)
		return STEP_MIN_MS;
	return ms > STEP_MAX_MS ? STEP_MAX_MS : ms;
}

/* Shortest time in which the remaining steps can be taken. */
static uint64_t
min_remaining_ms(const struct bg_move *move)
{
	return (LATER_STEPS + 1 - move->step) * STEP_MIN_MS;
}

int
bg_plan_is_bad(const struct bg_move *move, const struct bg_plan_input *in)
{
	if (in->bad_new == 0)
		return 0;
	return in->bad_new >= BAD_SERVERS_MIN || in->bad_new >= in->ready_new ||
	    (move->step > 0 && in->bad_in_step > 0 && in->good_new == 0);
}

/* Good verdicts that a step needs: twice as many as bad ones, as far as that
 * many servers get calls. */
static uint32_t
good_needed(const struct bg_move *move, const struct bg_plan_input *in)
{
	uint32_t loaded = (in->ready_new * move->share_permille + 999) / 1000;
	uint32_t needed = GOOD_TO_BAD_SERVERS * in->bad_new;

	return needed < loaded ? needed : loaded;
}

/* A step ends with a good verdict on its share, or if no new server gets
 * enough calls to be judged. A service with few calls stays at the first share
 * and is rolled back at the deadline, since an unproven version must not get a
 * larger share. */
static int
may_advance(const struct bg_move *move, const struct bg_move_policy *policy,
    const struct bg_plan_input *in)
{
	if (in->ready_new == 0 || in->good_new < good_needed(move, in))
		return 0;
	if (in->good_new == 0 && in->idle_new < in->ready_new)
		return 0;
	return in->step_age_ms >= bg_plan_step_duration_ms(move, policy) ||
	    (in->step_age_ms >= STEP_MIN_MS &&
		in->left_ms < min_remaining_ms(move));
}

static void
advance(struct bg_move *out, const struct bg_move *move, uint64_t now_ms)
{
	if (move->step == LATER_STEPS) {
		finish(out, BG_MOVE_DONE, now_ms, "");
		return;
	}
	out->step = move->step + 1;
	out->share_permille = LATER_SHARES_PERMILLE[move->step];
	out->step_since_ms = now_ms;
}

static int
next_in_progress(struct bg_move *out, const struct bg_move *move,
    const struct bg_move_policy *policy, const struct bg_plan_input *in)
{
	int late;

	if (in->left_ms == 0 ||
	    (in->left_ms <= ROLLBACK_LEAD_MS && in->good_new == 0)) {
		finish(out, BG_MOVE_ROLLED_BACK, in->now_wall_ms,
		    "promised time passed");
		return 1;
	}
	if (may_advance(move, policy, in)) {
		advance(out, move, in->now_wall_ms);
		return 1;
	}
	late = move->is_late || in->left_ms < min_remaining_ms(move);
	out->is_late = late;
	return late != move->is_late;
}

int
bg_plan_is_monitored(const struct bg_move *move,
    const struct bg_move_policy *policy, uint64_t age_ms)
{
	if (move->state == BG_MOVE_IN_PROGRESS)
		return 1;
	return move->state == BG_MOVE_DONE && age_ms < policy->soak_ms;
}

int
bg_plan_next(struct bg_move *out, const struct bg_move *move,
    const struct bg_move_policy *policy, const struct bg_plan_input *in)
{
	*out = *move;
	if (!bg_plan_is_monitored(move, policy, in->step_age_ms))
		return 0;
	if (bg_plan_is_bad(move, in)) {
		/* A done move is only rolled back if servers of another
		 * version are still ready to take over. */
		if (move->state == BG_MOVE_DONE && in->ready_old == 0)
			return 0;
		finish(out, BG_MOVE_ROLLED_BACK, in->now_wall_ms,
		    in->reason != NULL ? in->reason : "bad");
		return 1;
	}
	if (move->state == BG_MOVE_IN_PROGRESS)
		return next_in_progress(out, move, policy, in);
	return 0;
}

void
bg_plan_begin(struct bg_move *out, const struct bg_move *last, const char *to,
    uint64_t generation, const struct bg_move_policy *policy,
    uint64_t now_wall_ms)
{
	memset(out, 0, sizeof(*out));
	if (last != NULL) {
		bg_move_retire_versions(out, last);
		snprintf(out->from, sizeof(out->from), "%s",
		    bg_move_serving_version(last));
	}
	out->generation = generation;
	snprintf(out->to, sizeof(out->to), "%s", to);
	out->state = BG_MOVE_IN_PROGRESS;
	out->share_permille = policy->first_share_permille;
	out->started_ms = now_wall_ms;
	out->step_since_ms = now_wall_ms;
	out->deadline_ms = now_wall_ms + policy->take_over_ms;
}
