#include <string.h>

#include "retry/retry.h"
#include "suite.h"

/* A fifth of the calls, plus 60 in each window of 10 s over all nodes. Nodes
 * use nine tenths of this: using all of it once broke the rule BUDGET (bench,
 * Bélanger scale-1, 628 retries where 621 were allowed). */
static const struct bg_retry_settings SETTINGS = {200, 60, 10000};

static struct bg_retry_budget bud;

static void
setup(void)
{
	bg_retry_init(&bud, &SETTINGS);
	bg_retry_set_nodes(&bud, 12);
}

static void
teardown(void)
{
	bg_retry_free(&bud);
}

static int
take_all(const char *service, uint64_t now_ms)
{
	int n = 0;

	while (n < 10000 && bg_retry_take(&bud, service, now_ms))
		n++;
	return n;
}

static void
count_calls(const char *service, int count, uint64_t now_ms)
{
	while (count-- > 0)
		bg_retry_count_call(&bud, service, now_ms);
}

/* Each node must not spend the slack of all nodes. */
START_TEST(slack_is_divided_among_the_nodes)
{
	ck_assert_int_eq(take_all("a", 50000), 5);
	bg_retry_set_nodes(&bud, 1);
	ck_assert_int_eq(take_all("b", 50000), 54);
}
END_TEST

START_TEST(budget_is_a_share_of_the_calls)
{
	count_calls("a", 1000, 50000);
	ck_assert_int_eq(take_all("a", 50500), 185);
	ck_assert_int_eq(take_all("a", 51000), 0);
}
END_TEST

/* Pattern: all servers of a service shed while demand is high. Guards against
 * repeats at a service that repeats of its callers' requests cause: both use
 * the budget of the service (bench: 3811 repeats where 2185 were allowed). */
START_TEST(calls_of_repeated_requests_use_the_budget)
{
	int i;

	count_calls("a", 1000, 50000);
	for (i = 0; i < 150; i++)
		bg_retry_count_repeat(&bud, "a", 50000);
	ck_assert_int_eq(take_all("a", 50500), 35);
	for (i = 0; i < 100; i++)
		bg_retry_count_repeat(&bud, "a", 50500);
	ck_assert_int_eq(take_all("a", 50500), 0);
}
END_TEST

/* Retries of a failing service must not spend the budget of healthy ones. */
START_TEST(budget_is_per_service)
{
	count_calls("a", 1000, 50000);
	ck_assert_int_eq(take_all("b", 50000), 5);
	ck_assert_int_eq(take_all("a", 50000), 185);
}
END_TEST

/* Unused budget must not accumulate during times without failures. */
START_TEST(calls_expire_from_the_window)
{
	count_calls("a", 1000, 50000);
	ck_assert_int_eq(take_all("a", 50000 + 10000), 5);
}
END_TEST

START_TEST(retries_expire_from_the_window)
{
	ck_assert_int_eq(take_all("a", 50000), 5);
	ck_assert_int_eq(take_all("a", 58999), 0);
	ck_assert_int_eq(take_all("a", 60000), 5);
}
END_TEST

/* Counts of earlier windows must be cleared even after a long pause. */
START_TEST(long_pause_clears_the_window)
{
	count_calls("a", 1000, 50000);
	ck_assert_int_eq(take_all("a", 1000000), 5);
}
END_TEST

struct retry_case {
	struct bg_retry_context rc; /* outcome, status, sent, attempts, idem. */
	int permitted;
};

static const struct retry_case retry_cases[] = {
    /* Certainly not run: retried on any route. */
    {{BG_XOUTCOME_NOT_RUN, 503, 1, 2, 0, 0}, 1},
    {{BG_XOUTCOME_NOT_RUN, 503, 1, 2, 1, 0}, 1},
    /* May have run: retried on idempotent routes only. */
    {{BG_XOUTCOME_UNKNOWN, 502, 1, 2, 0, 0}, 0},
    {{BG_XOUTCOME_UNKNOWN, 502, 1, 2, 1, 0}, 1},
    {{BG_XOUTCOME_UNKNOWN, 0, 1, 2, 0, 0}, 0},
    /* An answer with a server error counts as run. */
    {{BG_XOUTCOME_DONE, 500, 1, 2, 0, 0}, 0},
    {{BG_XOUTCOME_DONE, 500, 1, 2, 1, 0}, 1},
    {{BG_XOUTCOME_DONE, 504, 1, 2, 0, 0}, 0},
    /* Another server would make the calls that failed once more. */
    {{BG_XOUTCOME_DONE, 500, 1, 2, 1, 1}, 0},
    {{BG_XOUTCOME_NOT_RUN, 503, 1, 2, 1, 1}, 1},
    /* Any other answer is final. */
    {{BG_XOUTCOME_DONE, 200, 1, 2, 1, 0}, 0},
    {{BG_XOUTCOME_DONE, 404, 1, 2, 1, 0}, 0},
    /* No more servers than the route allows. */
    {{BG_XOUTCOME_NOT_RUN, 503, 2, 2, 1, 0}, 0},
    {{BG_XOUTCOME_UNKNOWN, 502, 1, 1, 1, 0}, 0},
};

/* A non-idempotent call that may have run must not run again (P7). */
START_TEST(only_safe_calls_are_retried)
{
	ck_assert_int_eq(bg_retry_is_permitted(&retry_cases[_i].rc),
	    retry_cases[_i].permitted);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("retry");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, slack_is_divided_among_the_nodes);
	tcase_add_test(tc, budget_is_a_share_of_the_calls);
	tcase_add_test(tc, calls_of_repeated_requests_use_the_budget);
	tcase_add_test(tc, budget_is_per_service);
	tcase_add_test(tc, calls_expire_from_the_window);
	tcase_add_test(tc, retries_expire_from_the_window);
	tcase_add_test(tc, long_pause_clears_the_window);
	tcase_add_loop_test(tc, only_safe_calls_are_retried, 0,
	    (int)(sizeof(retry_cases) / sizeof(retry_cases[0])));
	return run_suite("retry", tc);
}
