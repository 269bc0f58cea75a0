#include <string.h>

#include "retry/retry.h"
#include "suite.h"

static struct bg_retry_budget bud;

static void
setup(void)
{
	bg_retry_init(&bud);
}

static int
take_all(uint64_t now_ms)
{
	int n = 0;

	while (n < 10000 && bg_retry_take(&bud, now_ms))
		n++;
	return n;
}

START_TEST(quiet_node_has_the_floor)
{
	ck_assert_int_eq(take_all(5000), BG_RETRY_FLOOR);
}
END_TEST

START_TEST(budget_is_a_tenth_of_the_calls)
{
	int i;

	for (i = 0; i < 1000; i++)
		bg_retry_call(&bud, 5000 + i);
	ck_assert_int_eq(take_all(6000), 100 + BG_RETRY_FLOOR);
	ck_assert_int_eq(take_all(6500), 0);
}
END_TEST

/* Guards against a budget that is saved up over quiet hours. */
START_TEST(calls_leave_the_window)
{
	int i;

	for (i = 0; i < 1000; i++)
		bg_retry_call(&bud, 1000);
	ck_assert_int_eq(take_all(1000 + 10000), BG_RETRY_FLOOR);
}
END_TEST

START_TEST(spent_retries_come_back)
{
	ck_assert_int_eq(take_all(1000), BG_RETRY_FLOOR);
	ck_assert_int_eq(take_all(10999), 0);
	ck_assert_int_eq(take_all(11000), BG_RETRY_FLOOR);
}
END_TEST

START_TEST(long_pause_clears_the_window)
{
	int i;

	for (i = 0; i < 100; i++)
		bg_retry_call(&bud, 1000);
	ck_assert_int_eq(take_all(1000000), BG_RETRY_FLOOR);
}
END_TEST

struct rule {
	struct bg_retry_case rc; /* outcome, status, attempt, depth, idem. */
	int permitted;
};

static const struct rule rules[] = {
    /* Certainly not run: any route, at the entry node. */
    {{BG_XOUTCOME_NOT_RUN, 503, 1, 0, 0}, 1},
    {{BG_XOUTCOME_NOT_RUN, 503, 1, 0, 1}, 1},
    /* May have run: idempotent routes only. */
    {{BG_XOUTCOME_UNKNOWN, 502, 1, 0, 0}, 0},
    {{BG_XOUTCOME_UNKNOWN, 502, 1, 0, 1}, 1},
    /* An answer that sheds or could not be had. */
    {{BG_XOUTCOME_DONE, 503, 1, 0, 1}, 1},
    {{BG_XOUTCOME_DONE, 503, 1, 0, 0}, 0},
    {{BG_XOUTCOME_DONE, 504, 1, 0, 1}, 1},
    /* The application's own answers. */
    {{BG_XOUTCOME_DONE, 500, 1, 0, 1}, 0},
    {{BG_XOUTCOME_DONE, 200, 1, 0, 1}, 0},
    {{BG_XOUTCOME_DONE, 404, 1, 0, 1}, 0},
    /* Downstream of a chain, even if nothing ran. */
    {{BG_XOUTCOME_NOT_RUN, 503, 1, 1, 1}, 0},
    {{BG_XOUTCOME_UNKNOWN, 502, 1, 7, 1}, 0},
    /* No end of attempts. */
    {{BG_XOUTCOME_NOT_RUN, 503, BG_RETRY_ATTEMPTS, 0, 1}, 0},
};

START_TEST(rule_decides)
{
	ck_assert_int_eq(
	    bg_retry_is_permitted(&rules[_i].rc), rules[_i].permitted);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("retry");

	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_test(tc, quiet_node_has_the_floor);
	tcase_add_test(tc, budget_is_a_tenth_of_the_calls);
	tcase_add_test(tc, calls_leave_the_window);
	tcase_add_test(tc, spent_retries_come_back);
	tcase_add_test(tc, long_pause_clears_the_window);
	tcase_add_loop_test(
	    tc, rule_decides, 0, (int)(sizeof(rules) / sizeof(rules[0])));
	return run_suite("retry", tc);
}
