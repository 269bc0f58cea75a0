#include <string.h>

#include "call/crest.h"
#include "suite.h"

#define NOW_MS 100000

static struct bg_crest crs;
static struct bg_rand rnd;

static void
setup(void)
{
	memset(&crs, 0, sizeof(crs));
	bg_rand_init(&rnd, 3);
}

static void
longest_and_mean(uint32_t *longest, uint32_t *mean, struct bg_come_back in)
{
	uint64_t sum = 0;
	uint32_t ms;
	int i;

	*longest = 0;
	for (i = 0; i < 1000; i++) {
		ms = bg_come_back_ms(&in, &rnd);
		sum += ms;
		if (ms > *longest)
			*longest = ms;
	}
	*mean = (uint32_t)(sum / 1000);
}

/* Guards against callers that are asked back into the same crest at once, and
 * later than they would come back. */
START_TEST(crest_spreads_over_the_time_that_callers_allow)
{
	struct bg_come_back in = {50, 8000, 2, 0.5, 1000};
	uint32_t longest;
	uint32_t mean;

	longest_and_mean(&longest, &mean, in);
	ck_assert_uint_gt(mean, 1000);
	ck_assert_uint_le(longest, 8000 / 3);
	in.refused_share = 0.01;
	longest_and_mean(&longest, &mean, in);
	ck_assert_uint_le(longest, 100);
}
END_TEST

/* Guards against calls of a lower priority that come back before higher ones
 * and take their room. */
START_TEST(higher_priority_comes_back_first)
{
	struct bg_come_back in = {50, 6000, 0, 0.5, 1000};
	uint32_t longest;
	uint32_t high;
	uint32_t low;

	longest_and_mean(&longest, &high, in);
	in.priority = 2;
	longest_and_mean(&longest, &low, in);
	ck_assert_uint_lt(high * 2, low);
}
END_TEST

/* Guards against a delay shorter than 0 or a division by 0 for a caller that
 * has no time left. */
START_TEST(caller_without_time_is_asked_back_at_once)
{
	struct bg_come_back in = {50, 0, 2, 1, 1000};

	ck_assert_uint_ge(bg_come_back_ms(&in, &rnd), 50);
	ck_assert_uint_le(bg_come_back_ms(&in, &rnd), 100);
}
END_TEST

/* Guards against callers that come back so late that their call is cut off by
 * their own time limit. */
START_TEST(time_to_run_is_left)
{
	struct bg_come_back in = {50, 1500, 2, 0.5, 1200};
	uint32_t longest;
	uint32_t mean;

	longest_and_mean(&longest, &mean, in);
	ck_assert_uint_le(longest, 300);
}
END_TEST

/* Guards against a crest that is seen long after it ended, and in other
 * services. */
START_TEST(refusals_are_forgotten)
{
	uint64_t now_ms = NOW_MS;
	int i;

	for (i = 0; i < 100; i++)
		bg_crest_record(&crs, "desk", i % 2, now_ms += 10);
	ck_assert_double_gt(bg_crest_refused_share(&crs, "desk", now_ms), 0.4);
	ck_assert_double_eq(bg_crest_refused_share(&crs, "list", now_ms), 0);
	for (i = 0; i < 100; i++)
		bg_crest_record(&crs, "desk", 0, now_ms += 20);
	ck_assert_double_lt(bg_crest_refused_share(&crs, "desk", now_ms), 0.05);
	ck_assert_double_eq(
	    bg_crest_refused_share(&crs, "desk", now_ms + 60000), 0);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("crest");

	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_test(tc, crest_spreads_over_the_time_that_callers_allow);
	tcase_add_test(tc, higher_priority_comes_back_first);
	tcase_add_test(tc, caller_without_time_is_asked_back_at_once);
	tcase_add_test(tc, time_to_run_is_left);
	tcase_add_test(tc, refusals_are_forgotten);
	return run_suite("crest", tc);
}
