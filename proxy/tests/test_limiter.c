#include <string.h>

#include "limiter/buffers.h"
#include "limiter/limiter.h"
#include "suite.h"

#define SLOTS 4
#define ENTRIES 64
#define LONG_US 60000000

static struct bg_limiter lim;
static struct bg_limiter_entry entries[ENTRIES];
static struct bg_limiter_entry *refused;
static uint64_t now_us;

static void
setup(void)
{
	memset(entries, 0, sizeof(entries));
	bg_limiter_init(&lim, SLOTS);
	now_us = 1000000;
}

static enum bg_limiter_verdict
enter_with(int i, enum bg_criticality criticality, uint64_t within_us)
{
	entries[i].criticality = criticality;
	entries[i].route = "r";
	entries[i].deadline_us = now_us + within_us;
	return bg_limiter_enter(&lim, &entries[i], now_us, &refused);
}

static enum bg_limiter_verdict
enter(int i)
{
	return enter_with(i, BG_CRITICALITY_NORMAL, LONG_US);
}

static void
leave_ok(int i, uint64_t took_us)
{
	now_us += took_us;
	bg_limiter_leave(&lim, &entries[i], now_us, took_us, BG_LIMITER_OK);
}

/* Runs calls one after the other, so that the limiter knows their time. */
static void
learn(uint64_t took_us)
{
	int i;

	for (i = 0; i < 50; i++) {
		ck_assert_int_eq(enter(0), BG_LIMITER_RUN);
		leave_ok(0, took_us);
	}
}

static void
fill(int count)
{
	int i;

	for (i = 1; i <= count; i++)
		enter(i);
}

START_TEST(running_is_bounded_by_slots)
{
	fill(SLOTS);
	ck_assert_uint_eq(lim.running, SLOTS);
	ck_assert_int_eq(enter(10), BG_LIMITER_QUEUED);
	ck_assert_ptr_null(bg_limiter_next(&lim, now_us));
	leave_ok(1, 100);
	ck_assert_ptr_eq(bg_limiter_next(&lim, now_us), &entries[10]);
	ck_assert_uint_eq(lim.running, SLOTS);
}
END_TEST

START_TEST(queue_is_bounded)
{
	fill(3 * SLOTS);
	ck_assert_uint_eq(lim.queued, 2 * SLOTS);
	ck_assert_int_eq(enter(20), BG_LIMITER_FULL);
	ck_assert_ptr_null(refused);
}
END_TEST

/* Guards against checkouts that wait behind browsing. */
START_TEST(queue_orders_by_criticality_then_arrival)
{
	fill(SLOTS);
	enter_with(10, BG_CRITICALITY_LOW, LONG_US);
	enter_with(11, BG_CRITICALITY_HIGH, LONG_US);
	enter_with(12, BG_CRITICALITY_LOW, LONG_US);
	enter_with(13, BG_CRITICALITY_HIGH, LONG_US);
	leave_ok(1, 10);
	ck_assert_ptr_eq(bg_limiter_next(&lim, now_us), &entries[11]);
	leave_ok(2, 10);
	ck_assert_ptr_eq(bg_limiter_next(&lim, now_us), &entries[13]);
	leave_ok(3, 10);
	ck_assert_ptr_eq(bg_limiter_next(&lim, now_us), &entries[10]);
}
END_TEST

START_TEST(last_call_of_lowest_criticality_loses_its_place)
{
	int i;

	fill(SLOTS);
	for (i = 10; i < 10 + 2 * SLOTS; i++)
		enter_with(i, BG_CRITICALITY_LOW, LONG_US);
	ck_assert_int_eq(
	    enter_with(30, BG_CRITICALITY_HIGH, LONG_US), BG_LIMITER_QUEUED);
	ck_assert_ptr_eq(refused, &entries[10 + 2 * SLOTS - 1]);
	ck_assert_uint_eq(lim.queued, 2 * SLOTS);
	ck_assert_int_eq(
	    enter_with(31, BG_CRITICALITY_LOW, LONG_US), BG_LIMITER_FULL);
}
END_TEST

/* Guards against work that is done for a caller who will have left. */
START_TEST(call_that_cannot_be_in_time_is_refused)
{
	learn(10000);
	fill(SLOTS);
	ck_assert_int_eq(
	    enter_with(20, BG_CRITICALITY_NORMAL, 5000), BG_LIMITER_TOO_LATE);
	ck_assert_int_eq(
	    enter_with(21, BG_CRITICALITY_NORMAL, 20000), BG_LIMITER_QUEUED);
	ck_assert_int_eq(
	    enter_with(22, BG_CRITICALITY_NORMAL, 0), BG_LIMITER_TOO_LATE);
}
END_TEST

START_TEST(queued_call_can_leave)
{
	fill(SLOTS + 2);
	bg_limiter_leave(
	    &lim, &entries[SLOTS + 1], now_us, 0, BG_LIMITER_IGNORED);
	ck_assert_uint_eq(lim.queued, 1);
	ck_assert_uint_eq(lim.running, SLOTS);
	leave_ok(1, 10);
	ck_assert_ptr_eq(bg_limiter_next(&lim, now_us), &entries[SLOTS + 2]);
}
END_TEST

START_TEST(shedding_cuts_the_limit_and_success_restores_it)
{
	int i;

	for (i = 0; i < 20; i++) {
		enter(1);
		now_us += 200000;
		bg_limiter_leave(
		    &lim, &entries[1], now_us, 1000, BG_LIMITER_SHED);
	}
	ck_assert_double_eq(lim.limit, 1);
	for (i = 0; i < 50; i++) {
		enter(1);
		leave_ok(1, 1000);
	}
	ck_assert_double_eq(lim.limit, SLOTS);
}
END_TEST

/* Guards against one moment of overload that counts many times. */
START_TEST(simultaneous_signs_cut_once)
{
	int i;

	fill(SLOTS);
	for (i = 1; i <= SLOTS; i++)
		bg_limiter_leave(
		    &lim, &entries[i], now_us, 1000, BG_LIMITER_SHED);
	ck_assert_double_eq_tol(lim.limit, SLOTS * 0.8, 0.001);
}
END_TEST

/* Guards against a slow route or a bad version that takes the slots away from
 * everybody. */
START_TEST(slowness_takes_at_most_half)
{
	int round;
	int i;

	learn(5000);
	for (round = 0; round < 100; round++) {
		for (i = 1; i <= SLOTS; i++)
			enter(i);
		now_us += 500000;
		for (i = 1; i <= SLOTS; i++)
			bg_limiter_leave(
			    &lim, &entries[i], now_us, 500000, BG_LIMITER_LATE);
		while (bg_limiter_next(&lim, now_us) != NULL)
			;
		for (i = 1; i <= SLOTS; i++)
			bg_limiter_leave(&lim, &entries[i], now_us, 500000,
			    BG_LIMITER_IGNORED);
	}
	ck_assert_double_eq(lim.limit, SLOTS / 2.0);
}
END_TEST

/* Guards against routes of different normal times that look like overload. */
START_TEST(routes_are_compared_with_themselves)
{
	int i;

	for (i = 0; i < 200; i++) {
		enter(1);
		entries[1].route = i % 2 == 0 ? "quick" : "slow";
		leave_ok(1, i % 2 == 0 ? 1000 : 80000);
	}
	ck_assert_double_eq(lim.limit, SLOTS);
}
END_TEST

/* Guards against a slow dependency that is taken for an overloaded server. */
START_TEST(dependency_time_does_not_cut)
{
	int round;
	int i;

	learn(5000);
	for (round = 0; round < 50; round++) {
		for (i = 1; i <= SLOTS; i++)
			enter(i);
		now_us += 500000;
		for (i = 1; i <= SLOTS; i++)
			bg_limiter_leave(
			    &lim, &entries[i], now_us, 5000, BG_LIMITER_OK);
	}
	ck_assert_double_eq(lim.limit, SLOTS);
}
END_TEST

START_TEST(slots_follow_the_configuration)
{
	bg_limiter_set_slots(&lim, 8);
	fill(8);
	ck_assert_uint_eq(lim.running, 8);
	bg_limiter_set_slots(&lim, 2);
	leave_ok(1, 10);
	enter(20);
	ck_assert_ptr_null(bg_limiter_next(&lim, now_us));
}
END_TEST

START_TEST(buffers_keep_room_for_answers)
{
	struct bg_buffers buf = {0, 1000000};

	ck_assert(bg_buffers_may_take(&buf, 750000));
	ck_assert(!bg_buffers_may_take(&buf, 750001));
	bg_buffers_add(&buf, 700000);
	ck_assert(!bg_buffers_may_take(&buf, 60000));
	bg_buffers_remove(&buf, 700000);
	ck_assert_uint_eq(buf.bytes, 0);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("limiter");

	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_test(tc, running_is_bounded_by_slots);
	tcase_add_test(tc, queue_is_bounded);
	tcase_add_test(tc, queue_orders_by_criticality_then_arrival);
	tcase_add_test(tc, last_call_of_lowest_criticality_loses_its_place);
	tcase_add_test(tc, call_that_cannot_be_in_time_is_refused);
	tcase_add_test(tc, queued_call_can_leave);
	tcase_add_test(tc, shedding_cuts_the_limit_and_success_restores_it);
	tcase_add_test(tc, simultaneous_signs_cut_once);
	tcase_add_test(tc, slowness_takes_at_most_half);
	tcase_add_test(tc, routes_are_compared_with_themselves);
	tcase_add_test(tc, dependency_time_does_not_cut);
	tcase_add_test(tc, slots_follow_the_configuration);
	tcase_add_test(tc, buffers_keep_room_for_answers);
	return run_suite("limiter", tc);
}
