#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "plan/plan.h"
#include "suite.h"

#define START_MS 1000000
#define DEADLINE_MS 60000
#define FIRST_SHARE 50
#define TICK_MS 200

static struct bg_move_policy policy;
static struct bg_move move;
static struct bg_plan_input input;
static uint64_t now_ms;
static uint64_t step_start_ms; /* of the present step or state */

static void
setup(void)
{
	memset(&policy, 0, sizeof(policy));
	policy.take_over_ms = DEADLINE_MS;
	policy.soak_ms = 7200000;
	policy.first_share_permille = FIRST_SHARE;
	bg_plan_begin(&move, NULL, "2.0", 2, &policy, START_MS);
	memset(&input, 0, sizeof(input));
	input.ready_old = 5;
	input.ready_new = 5;
	input.good_new = 2;
	now_ms = START_MS;
	step_start_ms = START_MS;
}

static int
tick(struct bg_move *next)
{
	uint64_t age_ms = now_ms - START_MS;

	input.step_age_ms = now_ms - step_start_ms;
	input.left_ms =
	    age_ms < policy.take_over_ms ? policy.take_over_ms - age_ms : 0;
	input.now_wall_ms = now_ms;
	return bg_plan_next(next, &move, &policy, &input);
}

/* Advances the time until the move ends or until_ms is over. */
static void
run_plan(uint64_t until_ms)
{
	struct bg_move next;

	for (; now_ms <= until_ms && move.state == BG_MOVE_IN_PROGRESS;
	     now_ms += TICK_MS) {
		if (!tick(&next))
			continue;
		ck_assert_uint_le(next.step, move.step + 1);
		if (next.state == BG_MOVE_IN_PROGRESS)
			ck_assert_uint_ge(
			    next.share_permille, move.share_permille);
		if (next.step != move.step || next.state != move.state)
			step_start_ms = now_ms;
		move = next;
	}
}

/* Guards against a move to a good version that misses its deadline. */
START_TEST(good_version_is_done_before_deadline)
{
	run_plan(START_MS + DEADLINE_MS);
	ck_assert_int_eq(move.state, BG_MOVE_DONE);
	ck_assert_uint_lt(step_start_ms, START_MS + DEADLINE_MS);
	ck_assert_uint_eq(move.share_permille, 1000);
	ck_assert_int_eq(move.is_late, 0);
}
END_TEST

/* Guards against a good version that misses its deadline after a late verdict
 * or a store outage: the later steps are then shortened to the minimum. */
START_TEST(late_verdict_still_meets_deadline)
{
	input.good_new = 0;
	run_plan(START_MS + DEADLINE_MS - 9000);
	ck_assert_uint_eq(move.step, 0);
	input.good_new = 1;
	run_plan(START_MS + DEADLINE_MS);
	ck_assert_int_eq(move.state, BG_MOVE_DONE);
}
END_TEST

/* Guards against a share above the first one before a good verdict (invariant
 * P4), also for a service with few calls: an earlier rule let a step expose 20
 * calls without a verdict, and bad versions got up to 41% of the calls. */
START_TEST(share_stays_at_first_step_without_verdict)
{
	input.good_new = 0;
	run_plan(START_MS + DEADLINE_MS - 1000);
	ck_assert_int_eq(move.state, BG_MOVE_IN_PROGRESS);
	ck_assert_uint_eq(move.share_permille, FIRST_SHARE);
	ck_assert(move.is_late);
	run_plan(START_MS + DEADLINE_MS + 1000);
	ck_assert_int_eq(move.state, BG_MOVE_ROLLED_BACK);
}
END_TEST

/* Guards against a move that never completes if the service has no calls. */
START_TEST(service_without_calls_is_done)
{
	input.good_new = 0;
	input.idle_new = 5;
	run_plan(START_MS + DEADLINE_MS);
	ck_assert_int_eq(move.state, BG_MOVE_DONE);
}
END_TEST

/* Guards against advancing while one of the new servers gets calls but has no
 * verdict. */
START_TEST(server_with_calls_needs_good_verdict)
{
	input.good_new = 0;
	input.idle_new = 4;
	run_plan(START_MS + DEADLINE_MS - 1000);
	ck_assert_uint_eq(move.share_permille, FIRST_SHARE);
}
END_TEST

/* Guards against a bad version that stays in use at one of the steps (invariant
 * P4). */
START_TEST(bad_verdicts_roll_back_at_each_step)
{
	struct bg_move next;
	uint32_t step;

	for (step = 0; step < 4; step++) {
		setup();
		move.step = step;
		input.bad_new = 2;
		input.reason = "errors";
		ck_assert(tick(&next));
		ck_assert_int_eq(next.state, BG_MOVE_ROLLED_BACK);
		ck_assert_uint_eq(next.share_permille, 0);
		ck_assert_str_eq(next.reason, "errors");
	}
}
END_TEST

static int
is_bad(uint32_t ready_new, uint32_t bad_new)
{
	struct bg_plan_input in = {0};

	in.ready_new = ready_new;
	in.bad_new = bad_new;
	in.good_new = ready_new - bad_new;
	return bg_plan_is_bad(&move, &in);
}

/* Guards against a larger share without a verdict on the present one, when the
 * version was good under less load (review/2: EXPOSURE). */
START_TEST(each_share_needs_a_verdict)
{
	move.step = 1;
	input.good_new = 0;
	input.idle_new = 4;
	run_plan(START_MS + DEADLINE_MS - 1000);
	ck_assert_uint_eq(move.step, 1);
	run_plan(START_MS + DEADLINE_MS + 1000);
	ck_assert_int_eq(move.state, BG_MOVE_ROLLED_BACK);
}
END_TEST

/* Guards against a version that fails under load and is stopped only when two
 * of its servers have failed enough calls. */
START_TEST(bad_server_beyond_the_first_share_rolls_back)
{
	struct bg_move next;

	move.step = 1;
	input.good_new = 0;
	input.bad_new = 1;
	ck_assert(!bg_plan_is_bad(&move, &input)); /* bad at the first share */
	input.bad_in_step = 1;
	ck_assert(tick(&next));
	ck_assert_int_eq(next.state, BG_MOVE_ROLLED_BACK);
	input.good_new = 1;
	ck_assert(!bg_plan_is_bad(&move, &input));
	move.step = 0;
	input.good_new = 0;
	ck_assert(!bg_plan_is_bad(&move, &input));
}
END_TEST

/* Guards against a version without a verdict that is rolled back only when the
 * promised time is over. */
START_TEST(unproven_version_is_rolled_back_by_the_deadline)
{
	input.good_new = 0;
	run_plan(START_MS + DEADLINE_MS);
	ck_assert_int_eq(move.state, BG_MOVE_ROLLED_BACK);
	ck_assert_uint_lt(step_start_ms, START_MS + DEADLINE_MS);
}
END_TEST

/* Guards against a share that is raised after one server was found bad and as
 * many good, which may be by chance. */
START_TEST(bad_server_needs_more_good_ones)
{
	input.good_new = 1;
	input.bad_new = 1;
	move.step = 1;
	move.share_permille = 300;
	run_plan(START_MS + DEADLINE_MS - 1000);
	ck_assert_uint_eq(move.step, 1);
	input.good_new = 2;
	now_ms = START_MS + 30000;
	run_plan(START_MS + 40000);
	ck_assert_uint_gt(move.step, 1);
}
END_TEST

/* Guards against the rollback of a good version for one faulty server. */
START_TEST(one_bad_server_among_many_does_not_roll_back)
{
	input.bad_new = 1;
	run_plan(START_MS + DEADLINE_MS);
	ck_assert_int_eq(move.state, BG_MOVE_DONE);
	ck_assert_int_eq(is_bad(1, 1), 1);
	ck_assert_int_eq(is_bad(5, 1), 0);
	ck_assert_int_eq(is_bad(5, 2), 1);
	ck_assert_int_eq(is_bad(5, 0), 0);
}
END_TEST

/* Guards against a larger share for a version without ready servers. */
START_TEST(share_waits_for_ready_servers)
{
	input.ready_new = 0;
	input.good_new = 0;
	run_plan(START_MS + DEADLINE_MS - 1000);
	ck_assert_int_eq(move.state, BG_MOVE_IN_PROGRESS);
	ck_assert_uint_eq(move.step, 0);
}
END_TEST

/* Guards against a step that ends before its duration is over. */
START_TEST(step_lasts_its_full_duration)
{
	struct bg_move next;

	now_ms = START_MS + 1000;
	ck_assert(!tick(&next));
	now_ms = START_MS + bg_plan_step_duration_ms(&move, &policy);
	ck_assert(tick(&next));
	ck_assert_uint_eq(next.step, 1);
}
END_TEST

/* Guards against a version that degrades an hour after its move was done. A
 * rollback then needs servers of another version, and ends with the soak. */
START_TEST(bad_version_is_rolled_back_during_soak)
{
	struct bg_move next;

	run_plan(START_MS + DEADLINE_MS);
	ck_assert_int_eq(move.state, BG_MOVE_DONE);
	now_ms = step_start_ms + 3600000;
	input.bad_new = 5;
	ck_assert(tick(&next));
	ck_assert_int_eq(next.state, BG_MOVE_ROLLED_BACK);
	input.ready_old = 0;
	ck_assert(!tick(&next));
	input.ready_old = 5;
	now_ms = step_start_ms + policy.soak_ms;
	ck_assert(!tick(&next));
}
END_TEST

/* Guards against nodes that compute different steps from the same input. */
START_TEST(same_input_gives_same_step)
{
	struct bg_move first;
	struct bg_move second;

	now_ms = START_MS + 30000;
	ck_assert(tick(&first));
	ck_assert(tick(&second));
	ck_assert_mem_eq(&first, &second, sizeof(first));
	/* The new step is not followed by another one at once. */
	move = first;
	step_start_ms = now_ms;
	ck_assert(!tick(&second));
}
END_TEST

/* Guards against the automatic start of a version that was tried before. */
START_TEST(new_move_retires_last_version)
{
	struct bg_move next;

	move.state = BG_MOVE_DONE;
	bg_plan_begin(&next, &move, "3.0", 3, &policy, START_MS);
	ck_assert_str_eq(next.from, "2.0");
	ck_assert_str_eq(next.to, "3.0");
	ck_assert_uint_eq(next.share_permille, FIRST_SHARE);
	ck_assert_uint_eq(next.deadline_ms, START_MS + DEADLINE_MS);
	ck_assert(bg_move_is_retired(&next, "2.0"));
	ck_assert(!bg_move_is_retired(&next, "4.0"));
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("plan");

	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_test(tc, good_version_is_done_before_deadline);
	tcase_add_test(tc, late_verdict_still_meets_deadline);
	tcase_add_test(tc, share_stays_at_first_step_without_verdict);
	tcase_add_test(tc, service_without_calls_is_done);
	tcase_add_test(tc, server_with_calls_needs_good_verdict);
	tcase_add_test(tc, bad_verdicts_roll_back_at_each_step);
	tcase_add_test(tc, each_share_needs_a_verdict);
	tcase_add_test(tc, bad_server_beyond_the_first_share_rolls_back);
	tcase_add_test(tc, unproven_version_is_rolled_back_by_the_deadline);
	tcase_add_test(tc, bad_server_needs_more_good_ones);
	tcase_add_test(tc, one_bad_server_among_many_does_not_roll_back);
	tcase_add_test(tc, share_waits_for_ready_servers);
	tcase_add_test(tc, step_lasts_its_full_duration);
	tcase_add_test(tc, bad_version_is_rolled_back_during_soak);
	tcase_add_test(tc, same_input_gives_same_step);
	tcase_add_test(tc, new_move_retires_last_version);
	return run_suite("plan", tc);
}
