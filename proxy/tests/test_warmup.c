#include <string.h>

#include "burdockgrade/clock.h"

#include "suite.h"
#include "warmup/warmup.h"

#define SECOND_US 1000000ULL
#define DURATION_MS 3000
#define RATE_MILLI 7200
#define BURST 5
#define STARTS_MAX 4096

static struct bg_warmup wu;
static uint64_t now_us;
static uint64_t starts[STARTS_MAX];
static size_t start_count;

static void
configure(struct bg_warmup *out)
{
	memset(out, 0, sizeof(*out));
	bg_warmup_configure(out, DURATION_MS, RATE_MILLI, BURST, now_us);
}

static void
setup(void)
{
	now_us = 100 * SECOND_US;
	start_count = 0;
	configure(&wu);
}

static int
try_start(void)
{
	if (!bg_warmup_may_start(&wu, now_us))
		return 0;
	bg_warmup_start(&wu, now_us);
	starts[start_count++] = now_us;
	return 1;
}

/* Tries a start each millisecond and reports the server as cold each second. */
static void
press(uint32_t ms)
{
	uint32_t i;

	for (i = 0; i < ms; i++, now_us += 1000) {
		if (i % 1000 == 0)
			bg_warmup_report(&wu, DURATION_MS, now_us);
		try_start();
	}
}

/* Most starts within any span of one second. */
static size_t
most_in_a_second(void)
{
	size_t most = 0;
	size_t i, j;

	for (i = 0, j = 0; j < start_count; j++) {
		while (starts[j] - starts[i] >= SECOND_US)
			i++;
		if (j - i + 1 > most)
			most = j - i + 1;
	}
	return most;
}

/* Load: constant pressure, then pauses of every length up to 2 s, which let the
 * allowance grow. Guards against a second in which a cold server gets more than
 * its rate and the burst. */
START_TEST(any_second_is_bounded)
{
	uint32_t pause_ms;

	for (pause_ms = 0; pause_ms < 2000; pause_ms += 50) {
		press(700);
		now_us += pause_ms * 1000;
	}
	ck_assert_uint_le(most_in_a_second(), RATE_MILLI / 1000 + BURST);
	ck_assert_uint_gt(most_in_a_second(), RATE_MILLI / 1000);
}
END_TEST

/* Load: the node is killed every 300 ms beside a cold server. Guards against a
 * new process that grants a second allowance within the same second. */
START_TEST(restart_grants_no_second_allowance)
{
	int i;

	press(3000);
	for (i = 0; i < 10; i++) {
		now_us += 5000;
		configure(&wu);
		press(300);
	}
	ck_assert_uint_le(most_in_a_second(), RATE_MILLI / 1000 + BURST);
}
END_TEST

/* Load: 25 calls a second at a warm server that turns cold without a new start.
 * Guards against a burst on top of the calls that it has just got. */
START_TEST(server_that_turns_cold_under_load_gets_no_burst)
{
	int i;

	bg_warmup_report(&wu, 0, now_us);
	for (i = 0; i < 25; i++, now_us += 40000)
		ck_assert_int_eq(try_start(), 1);
	bg_warmup_report(&wu, DURATION_MS, now_us);
	ck_assert_int_eq(try_start(), 0);
	ck_assert_uint_gt(bg_warmup_wait_us(&wu, now_us), 0);
	ck_assert_uint_le(bg_warmup_wait_us(&wu, now_us), 139000);
}
END_TEST

/* Guards against a restarted node that takes the server for warm before it
 * knows, and against a limit for services that have no rate. */
START_TEST(unknown_server_is_cold_only_with_a_rate)
{
	ck_assert_int_eq(bg_warmup_is_limited(&wu, now_us), 1);
	ck_assert_int_eq(bg_warmup_may_start(&wu, now_us), 0);
	bg_warmup_report(&wu, 0, now_us);
	ck_assert_int_eq(bg_warmup_is_limited(&wu, now_us), 0);
	bg_warmup_configure(&wu, DURATION_MS, 0, BURST, now_us);
	bg_warmup_report(&wu, DURATION_MS, now_us);
	ck_assert_int_eq(bg_warmup_is_cold(&wu, now_us), 1);
	ck_assert_int_eq(bg_warmup_is_limited(&wu, now_us), 0);
	ck_assert_uint_eq(bg_warmup_starts_left(&wu, now_us), UINT32_MAX);
	ck_assert_uint_eq(bg_warmup_interval_us(&wu, now_us), 0);
}
END_TEST

/* Failure: the process is paused for 6 s. Guards against sending at the full
 * rate on knowledge from before the pause, in which the server may have turned
 * cold. */
START_TEST(pause_makes_the_server_unknown)
{
	bg_warmup_report(&wu, 0, now_us);
	/* The change is due, so that it can be logged when it comes. */
	now_us += bg_warmup_next_change_us(&wu, now_us) - 1;
	ck_assert_int_eq(bg_warmup_is_limited(&wu, now_us), 0);
	now_us += 1;
	ck_assert_int_eq(bg_warmup_is_limited(&wu, now_us), 1);
	now_us += 2 * SECOND_US;
	ck_assert_int_eq(bg_warmup_is_limited(&wu, now_us), 1);
	ck_assert_uint_eq(bg_warmup_starts_left(&wu, now_us), BURST);
	bg_warmup_report(&wu, 0, now_us);
	ck_assert_int_eq(bg_warmup_is_limited(&wu, now_us), 0);
}
END_TEST

/* Failure: a data centre is taken back whose servers turned cold after their
 * last report. Guards against a doubt that outlasts the next report. */
START_TEST(doubt_lasts_until_the_next_report)
{
	bg_warmup_report(&wu, 0, now_us);
	bg_warmup_doubt(&wu, now_us);
	ck_assert_int_eq(bg_warmup_is_limited(&wu, now_us), 1);
	ck_assert_uint_eq(bg_warmup_left_ms(&wu, now_us), DURATION_MS);
	bg_warmup_report(&wu, 0, now_us + 1000);
	ck_assert_int_eq(bg_warmup_is_limited(&wu, now_us + 1000), 0);
}
END_TEST

/* Guards against a server that stays limited because it announced a time far
 * beyond its warm-up, and against a limit that outlasts the warm-up. */
START_TEST(warmup_ends)
{
	bg_warmup_report(&wu, UINT32_MAX, now_us);
	ck_assert_uint_eq(bg_warmup_left_ms(&wu, now_us), DURATION_MS);
	now_us += DURATION_MS * 1000 - 1;
	ck_assert_int_eq(bg_warmup_is_limited(&wu, now_us), 1);
	ck_assert_uint_eq(bg_warmup_interval_us(&wu, now_us), 1);
	now_us += 1;
	ck_assert_int_eq(bg_warmup_is_limited(&wu, now_us), 0);
	ck_assert_uint_eq(bg_warmup_wait_us(&wu, now_us), 0);
}
END_TEST

/* Guards against counting calls that another server at the address refused. */
START_TEST(refund_returns_one_start)
{
	bg_warmup_report(&wu, DURATION_MS, now_us);
	now_us += SECOND_US;
	while (try_start())
		;
	bg_warmup_refund(&wu, now_us);
	ck_assert_int_eq(try_start(), 1);
	ck_assert_int_eq(try_start(), 0);
}
END_TEST

/* Guards against a burst that a platform with a small tolerance does not
 * permit. */
START_TEST(burst_is_half_of_the_tolerated_excess)
{
	struct bg_warmup_settings set = {500, 8};

	ck_assert_uint_eq(bg_warmup_burst(&set, RATE_MILLI), 5);
	set.excess_starts = 0;
	ck_assert_uint_eq(bg_warmup_burst(&set, 2000), 1);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("warmup");

	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_test(tc, any_second_is_bounded);
	tcase_add_test(tc, restart_grants_no_second_allowance);
	tcase_add_test(tc, server_that_turns_cold_under_load_gets_no_burst);
	tcase_add_test(tc, unknown_server_is_cold_only_with_a_rate);
	tcase_add_test(tc, pause_makes_the_server_unknown);
	tcase_add_test(tc, doubt_lasts_until_the_next_report);
	tcase_add_test(tc, warmup_ends);
	tcase_add_test(tc, refund_returns_one_start);
	tcase_add_test(tc, burst_is_half_of_the_tolerated_excess);
	return run_suite("warmup", tc);
}
