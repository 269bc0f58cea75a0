#include <string.h>

#include "call/request_age.h"
#include "suite.h"

#define LONGEST_DEADLINE_MS 1500

static struct bg_age_estimator est;

static void
setup(void)
{
	memset(&est, 0, sizeof(est));
	ck_assert_uint_eq(
	    bg_age_estimate(&est, "r", LONGEST_DEADLINE_MS, 1000), 0);
}

/* New requests must not be taken for retried ones if their deadlines are up to
 * 20% shorter than the longest one. Without a deadline (0), no age can be
 * estimated. */
START_TEST(new_request_has_no_age)
{
	ck_assert_uint_eq(bg_age_estimate(&est, "r", 1275, 1001), 0);
	ck_assert_uint_eq(bg_age_estimate(&est, "r", 1400, 1002), 0);
	ck_assert_uint_eq(bg_age_estimate(&est, "r", 0, 1003), 0);
}
END_TEST

/* Under overload, retried requests that can no longer meet their target latency
 * must not be served before new ones that can. On the bench (Bélanger
 * trouble-1), four in ten calls of the catalogue were retries 0.4 to 0.9 s
 * after the first attempt, past the target of 0.4 s; they took the slots of new
 * requests. The limiter recognizes them by the estimated age.
 *
 * A retried request gives the rest of its first deadline. That was 1200 to 1500
 * ms, as for any new request, so a request with 900 ms left is 300 to 600 ms
 * old. */
START_TEST(retried_request_has_an_age)
{
	uint32_t age_ms = bg_age_estimate(&est, "r", 900, 1001);

	ck_assert_uint_ge(age_ms, 300);
	ck_assert_uint_le(age_ms, 600);
}
END_TEST

START_TEST(routes_are_independent)
{
	ck_assert_uint_eq(bg_age_estimate(&est, "other", 400, 1001), 0);
}
END_TEST

/* If callers change to shorter deadlines, their new requests must not be taken
 * for retried ones indefinitely. The longest deadline, recorded at 1 s, is
 * forgotten after at most two windows of 10 s. */
START_TEST(longest_deadline_is_forgotten)
{
	uint64_t now_ms;

	for (now_ms = 2000; now_ms < 25000; now_ms += 100)
		bg_age_estimate(&est, "r", 500, now_ms);
	ck_assert_uint_eq(bg_age_estimate(&est, "r", 500, now_ms), 0);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("request_age");

	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_test(tc, new_request_has_no_age);
	tcase_add_test(tc, retried_request_has_an_age);
	tcase_add_test(tc, routes_are_independent);
	tcase_add_test(tc, longest_deadline_is_forgotten);
	return run_suite("request_age", tc);
}
