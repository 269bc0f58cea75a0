#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "plan/plan.h"

#define START_MS 1000000
#define PROMISED_MS 60000

static struct bg_contract contract;
static struct bg_move move;
static struct bg_plan_input input;

static void
setup(void)
{
	memset(&contract, 0, sizeof(contract));
	contract.soak_ms = 7200000;
	memset(&move, 0, sizeof(move));
	move.generation = 2;
	move.state = BG_MOVE_IN_PROGRESS;
	snprintf(move.from, sizeof(move.from), "%s", "1.0");
	snprintf(move.to, sizeof(move.to), "%s", "2.0");
	move.share_permille = BG_MOVE_FIRST_SHARE_PERMILLE;
	move.started_ms = START_MS;
	move.step_since_ms = START_MS;
	move.deadline_ms = START_MS + PROMISED_MS;
	memset(&input, 0, sizeof(input));
	input.now_ms = START_MS;
	input.verdict = BG_VERDICT_GOOD;
	input.new_calls = 500;
	input.calls_per_s = 500;
	input.ready_old = 5;
	input.ready_new = 5;
	input.slots_new = 30;
	input.busy_millislots = 20000;
	input.is_confirmed = 1;
}

/* Runs the plan with a tick a second until it ends or the time is over. */
static uint64_t
run_plan(uint64_t until_ms)
{
	struct bg_move next;

	for (; input.now_ms <= until_ms && move.state == BG_MOVE_IN_PROGRESS;
	     input.now_ms += 1000) {
		if (!bg_plan_next(&next, &move, &contract, &input))
			continue;
		ck_assert_uint_le(next.step, move.step + 1);
		if (next.state == BG_MOVE_IN_PROGRESS)
			ck_assert_uint_ge(
			    next.share_permille, move.share_permille);
		move = next;
	}
	return input.now_ms;
}

/* Guards against a good version that misses the promised time. */
START_TEST(good_version_is_done_by_the_promised_time)
{
	setup();
	run_plan(START_MS + PROMISED_MS);
	ck_assert_int_eq(move.state, BG_MOVE_DONE);
	ck_assert_uint_lt(move.step_since_ms, START_MS + PROMISED_MS);
	ck_assert_uint_eq(move.share_permille, 1000);
}
END_TEST

/* Guards against more than 5% of calls before the first verdict. */
START_TEST(share_stays_at_first_cap_without_verdict)
{
	setup();
	input.verdict = BG_VERDICT_NONE;
	input.new_calls = 3;
	run_plan(START_MS + PROMISED_MS - 1000);
	ck_assert_int_eq(move.state, BG_MOVE_IN_PROGRESS);
	ck_assert_uint_eq(move.share_permille, BG_MOVE_FIRST_SHARE_PERMILLE);
	ck_assert(move.is_late);
	run_plan(START_MS + PROMISED_MS + 1000);
	ck_assert_int_eq(move.state, BG_MOVE_ROLLED_BACK);
}
END_TEST

/* Guards against a plan that has no room for the holder's interval and for the
 * confirmation of each step: such a move passed its promised time by 4 s. */
START_TEST(slow_confirmation_leaves_room_for_the_promised_time)
{
	struct bg_move next;

	setup();
	move.deadline_ms = START_MS + 30000;
	input.verdict = BG_VERDICT_NONE;
	input.new_calls = 40;
	for (; move.state == BG_MOVE_IN_PROGRESS; input.now_ms += 1000) {
		input.is_confirmed = input.now_ms >= move.step_since_ms + 1000;
		if (bg_plan_next(&next, &move, &contract, &input))
			move = next;
	}
	ck_assert_int_eq(move.state, BG_MOVE_DONE);
}
END_TEST

/* Guards against a service without callers that can never be moved. */
START_TEST(service_without_calls_is_moved)
{
	setup();
	input.verdict = BG_VERDICT_NONE;
	input.new_calls = 0;
	input.calls_per_s = 0;
	run_plan(START_MS + PROMISED_MS);
	ck_assert_int_eq(move.state, BG_MOVE_DONE);
}
END_TEST

/* Guards against a bad version that stays, at each step of the way. */
START_TEST(bad_verdict_rolls_back_at_each_step)
{
	struct bg_move next;
	uint32_t step;

	for (step = 0; step < 5; step++) {
		setup();
		move.step = step;
		input.verdict = BG_VERDICT_BAD;
		input.reason = "errors";
		ck_assert(bg_plan_next(&next, &move, &contract, &input));
		ck_assert_int_eq(next.state, BG_MOVE_ROLLED_BACK);
		ck_assert_uint_eq(next.share_permille, 0);
		ck_assert_str_eq(next.reason, "errors");
	}
}
END_TEST

START_TEST(mark_of_a_data_centre_rolls_back)
{
	struct bg_move next;

	setup();
	input.is_marked = 1;
	ck_assert(bg_plan_next(&next, &move, &contract, &input));
	ck_assert_int_eq(next.state, BG_MOVE_ROLLED_BACK);
}
END_TEST

/* Guards against a step on news that not every node has. */
START_TEST(unconfirmed_step_is_not_followed_by_another)
{
	struct bg_move next;

	setup();
	input.is_confirmed = 0;
	input.now_ms = START_MS + 30000;
	ck_assert(!bg_plan_next(&next, &move, &contract, &input));
}
END_TEST

/* Guards against a larger share for an unproven version of a service with few
 * calls: bad versions got up to 41% of such calls while a step was allowed to
 * expose 20 of them. */
START_TEST(service_with_few_calls_keeps_the_first_share)
{
	setup();
	input.verdict = BG_VERDICT_NONE;
	input.new_calls = 0;
	input.calls_per_s = 6;
	run_plan(START_MS + PROMISED_MS - 1000);
	ck_assert_uint_eq(move.share_permille, BG_MOVE_FIRST_SHARE_PERMILLE);
	ck_assert(move.is_late);
}
END_TEST

/* Guards against a step up while calls of the new version fail: a move went to
 * 10% with 33 of 33 calls failed because the time pressed. */
START_TEST(doubt_holds_the_share)
{
	setup();
	input.is_doubtful = 1;
	run_plan(START_MS + PROMISED_MS - 1000);
	ck_assert_uint_eq(move.share_permille, BG_MOVE_FIRST_SHARE_PERMILLE);
}
END_TEST

/* Guards against more traffic than the new servers can carry. */
START_TEST(share_waits_for_capacity)
{
	setup();
	input.slots_new = 6;
	input.ready_new = 1;
	run_plan(START_MS + PROMISED_MS - 1000);
	ck_assert_int_eq(move.state, BG_MOVE_IN_PROGRESS);
	/* 6 slots at 80% carry 4.8 of the 20 that are busy. */
	ck_assert_uint_le(move.share_permille, 240);
}
END_TEST

/* Guards against a version that turns bad an hour after done. */
START_TEST(version_is_taken_back_during_the_soak)
{
	struct bg_move next;

	setup();
	run_plan(START_MS + PROMISED_MS);
	ck_assert_int_eq(move.state, BG_MOVE_DONE);
	input.now_ms = move.step_since_ms + 3600000;
	input.verdict = BG_VERDICT_BAD;
	ck_assert(bg_plan_next(&next, &move, &contract, &input));
	ck_assert_int_eq(next.state, BG_MOVE_ROLLED_BACK);
	input.ready_old = 0;
	ck_assert(!bg_plan_next(&next, &move, &contract, &input));
	input.ready_old = 5;
	input.now_ms = move.step_since_ms + contract.soak_ms;
	ck_assert(!bg_plan_next(&next, &move, &contract, &input));
}
END_TEST

/* Guards against two holders that end in different states. */
START_TEST(same_input_gives_same_step)
{
	struct bg_move first;
	struct bg_move second;

	setup();
	input.now_ms = START_MS + 20000;
	ck_assert(bg_plan_next(&first, &move, &contract, &input));
	ck_assert(bg_plan_next(&second, &move, &contract, &input));
	ck_assert_mem_eq(&first, &second, sizeof(first));
	/* The step that was just written is not taken again. */
	ck_assert(!bg_plan_next(&second, &first, &contract, &input));
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("plan");
	TCase *tc = tcase_create("plan");
	SRunner *runner;
	int failed;

	tcase_add_test(tc, good_version_is_done_by_the_promised_time);
	tcase_add_test(tc, share_stays_at_first_cap_without_verdict);
	tcase_add_test(tc, slow_confirmation_leaves_room_for_the_promised_time);
	tcase_add_test(tc, service_without_calls_is_moved);
	tcase_add_test(tc, bad_verdict_rolls_back_at_each_step);
	tcase_add_test(tc, mark_of_a_data_centre_rolls_back);
	tcase_add_test(tc, unconfirmed_step_is_not_followed_by_another);
	tcase_add_test(tc, service_with_few_calls_keeps_the_first_share);
	tcase_add_test(tc, doubt_holds_the_share);
	tcase_add_test(tc, share_waits_for_capacity);
	tcase_add_test(tc, version_is_taken_back_during_the_soak);
	tcase_add_test(tc, same_input_gives_same_step);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_set_fork_status(runner, CK_NOFORK);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
