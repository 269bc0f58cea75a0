#include <string.h>

#include "drain/drain.h"
#include "suite.h"

#define ANNOUNCE_MS 2000
#define TIMEOUT_MS 30000

static struct bg_drain drn;

static void
setup(void)
{
	memset(&drn, 0, sizeof(drn));
	bg_drain_begin(&drn, ANNOUNCE_MS, TIMEOUT_MS, 1000);
}

/* Guards against leaving before callers have noticed the stop. */
START_TEST(serves_until_callers_have_noticed)
{
	ck_assert(!bg_drain_step(&drn, 0, 1500));
	ck_assert(!bg_drain_step(&drn, 0, 2999));
	ck_assert(bg_drain_step(&drn, 0, 3000));
	ck_assert_int_eq(drn.state, BG_DRAIN_LEAVING);
	ck_assert(bg_drain_step(&drn, 0, 3000));
	ck_assert_int_eq(drn.state, BG_DRAIN_DONE);
}
END_TEST

/* Guards against a graceful stop that cuts off calls in flight (P9). */
START_TEST(waits_for_calls_in_flight)
{
	ck_assert(bg_drain_step(&drn, 5, 3000));
	ck_assert(!bg_drain_step(&drn, 1, 20000));
	ck_assert(bg_drain_step(&drn, 0, 20001));
	ck_assert_int_eq(drn.state, BG_DRAIN_DONE);
	ck_assert_uint_eq(drn.left_running, 0);
}
END_TEST

/* Guards against a stop that takes so long that the platform kills the node. */
START_TEST(timeout_ends_the_wait)
{
	bg_drain_step(&drn, 2, 3000);
	ck_assert(!bg_drain_step(&drn, 2, 30999));
	ck_assert(bg_drain_step(&drn, 2, 31000));
	ck_assert_uint_eq(drn.left_running, 2);
}
END_TEST

/* Guards against callers that keep using a leaving node: calls are always in
 * flight, so that the stop lasts until its timeout, which cuts off the last
 * ones (bench: LOST, trouble-3 seed 1058774679237). */
START_TEST(leaving_node_accepts_only_calls_that_end_in_time)
{
	ck_assert(bg_drain_accepts_call(&drn, 40000, 1000));
	ck_assert(bg_drain_step(&drn, 5, 3000));
	ck_assert(bg_drain_accepts_call(&drn, 28000, 3000));
	ck_assert(!bg_drain_accepts_call(&drn, 28001, 3000));
	ck_assert(bg_drain_accepts_call(&drn, 1500, 29500));
	ck_assert(!bg_drain_accepts_call(&drn, 1500, 29501));
	ck_assert(bg_drain_step(&drn, 0, 4000));
	ck_assert(!bg_drain_accepts_call(&drn, 1, 4000));
}
END_TEST

START_TEST(timeout_below_announce_time_applies)
{
	memset(&drn, 0, sizeof(drn));
	bg_drain_begin(&drn, ANNOUNCE_MS, 500, 1000);
	ck_assert(!bg_drain_step(&drn, 0, 1499));
	ck_assert(bg_drain_step(&drn, 0, 1500));
}
END_TEST

START_TEST(second_begin_does_not_restart)
{
	bg_drain_begin(&drn, ANNOUNCE_MS, TIMEOUT_MS, 20000);
	ck_assert_uint_eq(drn.began_ms, 1000);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("drain");

	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_test(tc, serves_until_callers_have_noticed);
	tcase_add_test(tc, waits_for_calls_in_flight);
	tcase_add_test(tc, timeout_ends_the_wait);
	tcase_add_test(tc, leaving_node_accepts_only_calls_that_end_in_time);
	tcase_add_test(tc, timeout_below_announce_time_applies);
	tcase_add_test(tc, second_begin_does_not_restart);
	return run_suite("drain", tc);
}
