#include <string.h>

#include "call/cold_call.h"
#include "router/cold.h"
#include "suite.h"

#define WALL_MS 1790000000000ULL
#define NOW_MS 1000000ULL

static const struct bg_cold_service service = {3000, 7200};
static struct bg_endpoint ep;
static struct bg_member member;
static struct bg_cold cold;

static void
setup(void)
{
	memset(&ep, 0, sizeof(ep));
	memset(&member, 0, sizeof(member));
	member.server_started_ms = WALL_MS - 60000;
}

static void
report_cold(uint32_t left_ms, uint32_t starts_left, uint32_t queued)
{
	ep.reported_ms = NOW_MS;
	ep.load.cold_left_ms = left_ms;
	ep.load.cold_starts_milli_per_s = service.rate_milli_per_s;
	ep.load.cold_starts_left = starts_left;
	ep.load.queued = queued;
}

static void
estimate(uint64_t after_ms)
{
	bg_cold_estimate(&cold, &service, &ep, &member, NOW_MS + after_ms,
	    WALL_MS + after_ms);
}

/* Guards against calls for a server that just started and that this node has
 * not heard of since. */
START_TEST(announced_start_makes_a_server_cold)
{
	member.server_started_ms = WALL_MS - 1000;
	estimate(0);
	ck_assert_uint_eq(cold.left_ms, 2000);
	ck_assert_uint_eq(cold.wait_us, 0);
	estimate(2000);
	ck_assert_uint_eq(cold.left_ms, 0);
}
END_TEST

/* Guards against taking a report of the earlier lifetime for one of the server
 * that has started since. */
START_TEST(report_of_an_earlier_start_is_ignored)
{
	report_cold(0, 0, 0);
	member.server_started_ms = WALL_MS + 500;
	estimate(1000);
	ck_assert_uint_eq(cold.left_ms, 2500);
}
END_TEST

/* Guards against sending to a cold server that has just refused a call, and
 * against leaving it out for the whole warm-up. */
START_TEST(used_up_allowance_returns_at_the_rate)
{
	report_cold(2000, 0, 1);
	estimate(0);
	ck_assert_uint_eq(cold.left_ms, 2000);
	/* Two starts at 7.2 a second. */
	ck_assert_uint_ge(cold.wait_us, 270000);
	ck_assert_uint_le(cold.wait_us, 280000);
	estimate(280);
	ck_assert_uint_eq(cold.wait_us, 0);
	ck_assert_uint_eq(cold.left_ms, 1720);
}
END_TEST

/* Guards against more calls of this node than the reported allowance. */
START_TEST(calls_in_flight_use_the_allowance)
{
	report_cold(2000, 1, 0);
	estimate(0);
	ck_assert_uint_eq(cold.wait_us, 0);
	ep.outstanding = 1;
	estimate(0);
	ck_assert_uint_gt(cold.wait_us, 0);
}
END_TEST

/* Failure: a gatekeeper of an old build, which does not report the warm-up.
 * Guards against a division by its rate of zero, and checks that it is treated
 * as before. */
START_TEST(old_build_is_treated_as_warm)
{
	report_cold(0, 0, 0);
	ep.load.cold_starts_milli_per_s = 0;
	ep.load.queued = 4;
	estimate(10);
	ck_assert_uint_eq(cold.left_ms, 0);
	ck_assert_uint_eq(cold.wait_us, 0);
	ep.load.cold_left_ms = 1000;
	estimate(10);
	ck_assert_uint_eq(cold.left_ms, 0);
}
END_TEST

/* Guards against any effect on services without a rate. */
START_TEST(service_without_rate_is_never_cold)
{
	static const struct bg_cold_service unlimited = {3000, 0};

	member.server_started_ms = WALL_MS - 10;
	bg_cold_estimate(&cold, &unlimited, &ep, &member, NOW_MS, WALL_MS);
	ck_assert_uint_eq(cold.left_ms, 0);
}
END_TEST

/* Guards against calls that go from one cold server to the next, and against
 * the refusal of calls that a cold server can still serve in time. */
START_TEST(hopeless_calls_are_not_sent)
{
	struct bg_pick pick = {0};

	pick.service_us = 200000;
	pick.wait_us = 400000;
	ck_assert_int_eq(bg_cold_call_is_hopeless(&pick, 9, 1), 0);
	pick.cold_left_ms = 2000;
	ck_assert_int_eq(bg_cold_call_is_hopeless(&pick, 0, 500000), 1);
	ck_assert_int_eq(bg_cold_call_is_hopeless(&pick, 0, 700000), 0);
	pick.wait_us = 0;
	ck_assert_int_eq(bg_cold_call_is_hopeless(&pick, 0, 100000), 0);
	ck_assert_int_eq(
	    bg_cold_call_is_hopeless(&pick, BG_COLD_PICKS_MAX, 700000), 1);
}
END_TEST

/* Guards against refused callers that come back together. */
START_TEST(refused_callers_return_over_the_warmup)
{
	struct bg_rand rnd;
	uint32_t early = 0;
	uint32_t ms;
	int i;

	bg_rand_init(&rnd, 7);
	for (i = 0; i < 1000; i++) {
		ms = bg_cold_call_retry_ms(&rnd, 100, 2000, 5000);
		ck_assert_uint_ge(ms, 100);
		ck_assert_uint_le(ms, 2100);
		early += ms < 1100;
	}
	ck_assert_uint_gt(early, 400);
	ck_assert_uint_lt(early, 600);
}
END_TEST

/* Guards against callers that all come back at the latest time, because most of
 * a long warm-up lies after it. */
START_TEST(refused_callers_do_not_meet_at_the_latest_time)
{
	struct bg_rand rnd;
	uint32_t late = 0;
	uint32_t ms;
	int i;

	bg_rand_init(&rnd, 7);
	for (i = 0; i < 1000; i++) {
		ms = bg_cold_call_retry_ms(&rnd, 100, 30000, 2000);
		ck_assert_uint_ge(ms, 100);
		ck_assert_uint_le(ms, 2000);
		late += ms > 1900;
	}
	ck_assert_uint_lt(late, 100);
	ck_assert_uint_eq(bg_cold_call_retry_ms(&rnd, 5000, 30000, 2000), 2000);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("cold");

	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_test(tc, announced_start_makes_a_server_cold);
	tcase_add_test(tc, report_of_an_earlier_start_is_ignored);
	tcase_add_test(tc, used_up_allowance_returns_at_the_rate);
	tcase_add_test(tc, calls_in_flight_use_the_allowance);
	tcase_add_test(tc, old_build_is_treated_as_warm);
	tcase_add_test(tc, service_without_rate_is_never_cold);
	tcase_add_test(tc, hopeless_calls_are_not_sent);
	tcase_add_test(tc, refused_callers_return_over_the_warmup);
	tcase_add_test(tc, refused_callers_do_not_meet_at_the_latest_time);
	return run_suite("cold", tc);
}
