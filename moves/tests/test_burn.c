#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/burn.h"

#include "suite.h"

#define MINUTE 29000000

/* Guards against a window that counts calls of other minutes or versions. */
START_TEST(window_counts_matching_calls_only)
{
	struct bg_burn *brn;
	struct bg_burn_sum sum;
	int i;

	ck_assert_int_eq(bg_burn_init(&brn), 0);
	for (i = 0; i < 100; i++)
		bg_burn_count(
		    brn, "orders", "checkouts", "1.0", MINUTE, i < 10);
	bg_burn_count(brn, "orders", "checkouts", "2.0", MINUTE - 60, 1);
	bg_burn_window(&sum, brn, "orders", "", "", MINUTE - 4, MINUTE);
	ck_assert_uint_eq(sum.calls, 100);
	ck_assert_uint_eq(sum.bad, 10);
	bg_burn_window(&sum, brn, "orders", "", "2.0", MINUTE - 60, MINUTE);
	ck_assert_uint_eq(sum.calls, 1);
	bg_burn_free(brn);
}
END_TEST

/* Guards against a ring buffer that adds a call to a minute of 3 days ago. */
START_TEST(minute_is_dropped_after_three_days)
{
	struct bg_burn *brn;
	struct bg_burn_sum sum;

	ck_assert_int_eq(bg_burn_init(&brn), 0);
	bg_burn_count(brn, "orders", "checkouts", "1.0", MINUTE, 1);
	bg_burn_count(
	    brn, "orders", "checkouts", "1.0", MINUTE + BG_BURN_MINUTES, 0);
	bg_burn_window(&sum, brn, "orders", "", "", 0, 2 * MINUTE);
	ck_assert_uint_eq(sum.calls, 1);
	ck_assert_uint_eq(sum.bad, 0);
	bg_burn_free(brn);
}
END_TEST

/* Guards against a report that loses the calls of one of its nodes. */
START_TEST(reports_of_two_nodes_add_up)
{
	struct bg_burn *one;
	struct bg_burn *two;
	struct bg_burn_sum sum;
	char *json;

	ck_assert_int_eq(bg_burn_init(&one), 0);
	ck_assert_int_eq(bg_burn_init(&two), 0);
	bg_burn_count(one, "orders", "checkouts", "1.0", MINUTE, 1);
	bg_burn_count(two, "orders", "checkouts", "1.0", MINUTE, 0);
	ck_assert_int_eq(bg_burn_encode(&json, one), 0);
	ck_assert_int_eq(bg_burn_merge(two, json, strlen(json)), 0);
	bg_burn_window(&sum, two, "orders", "checkouts", "1.0", MINUTE, MINUTE);
	ck_assert_uint_eq(sum.calls, 2);
	ck_assert_uint_eq(sum.bad, 1);
	ck_assert_int_eq(bg_burn_merge(two, "[{}]", 4), BG_EPROTO);
	ck_assert_int_eq(bg_burn_merge(two, "x", 1), BG_EPROTO);
	free(json);
	bg_burn_free(one);
	bg_burn_free(two);
}
END_TEST

/* Guards against a malformed report that is counted in part. */
START_TEST(malformed_report_adds_nothing)
{
	static const char *const malformed[] = {
	    "[{\"service\":\"orders\",\"route\":\"r\",\"version\":\"1\","
	    "\"minutes\":[[29000000,5,1]]},{\"service\":\"orders\"}]",
	    "[{\"service\":\"orders\",\"route\":\"r\",\"version\":\"1\","
	    "\"minutes\":[[29000000,5,1],[29000000,5,6]]}]",
	    "[{\"service\":\"orders\",\"route\":\"r\",\"version\":\"1\","
	    "\"minutes\":[[29000000,5,1],[29000000,4294967296,1]]}]",
	};
	struct bg_burn *brn;
	struct bg_burn_sum sum;
	size_t i;

	ck_assert_int_eq(bg_burn_init(&brn), 0);
	for (i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++) {
		ck_assert_int_eq(
		    bg_burn_merge(brn, malformed[i], strlen(malformed[i])),
		    BG_EPROTO);
		bg_burn_window(&sum, brn, "orders", "", "", 0, 2 * MINUTE);
		ck_assert_uint_eq(sum.calls, 0);
	}
	bg_burn_free(brn);
}
END_TEST

/* Guards against a report of a whole mesh that is cut at the series limit of
 * one node, and against calls without a server version that are refused or
 * added to another version. */
START_TEST(report_exceeds_series_limit_of_a_node)
{
	struct bg_burn *brn;
	struct bg_burn_sum sum;
	char json[256];
	int i;

	ck_assert_int_eq(bg_burn_init(&brn), 0);
	for (i = 0; i < 600; i++) {
		snprintf(json, sizeof(json),
		    "[{\"service\":\"s%d\",\"route\":\"r\",\"version\":"
		    "\"1\",\"minutes\":[[%d,2,1]]}]",
		    i, MINUTE);
		ck_assert_int_eq(bg_burn_merge(brn, json, strlen(json)), 0);
	}
	snprintf(json, sizeof(json),
	    "[{\"service\":\"s599\",\"route\":\"r\",\"version\":\"\","
	    "\"minutes\":[[%d,5,0]]}]",
	    MINUTE);
	ck_assert_int_eq(bg_burn_merge(brn, json, strlen(json)), 0);
	bg_burn_window(&sum, brn, "s599", "", "", MINUTE, MINUTE);
	ck_assert_uint_eq(sum.calls, 7);
	bg_burn_window(&sum, brn, "s599", "", "1", MINUTE, MINUTE);
	ck_assert_uint_eq(sum.calls, 2);
	bg_burn_free(brn);
}
END_TEST

/* Guards against an alert that stays off while the budget burns, or stays on
 * after the failures stopped. */
START_TEST(alert_needs_both_windows)
{
	struct bg_burn_sum sum = {1000, 20};

	ck_assert_double_eq_tol(bg_burn_rate(&sum, 9990), 20.0, 0.001);
	ck_assert_int_eq(bg_burn_alert(20, 20, 20, 20), BG_BURN_PAGE);
	ck_assert_int_eq(bg_burn_alert(0, 20, 3, 0), BG_BURN_OK);
	ck_assert_int_eq(bg_burn_alert(0, 0, 2, 1.5), BG_BURN_TICKET);
	ck_assert_int_eq(bg_burn_alert(0, 0, 0, 0), BG_BURN_OK);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("burn");

	tcase_add_test(tc, window_counts_matching_calls_only);
	tcase_add_test(tc, minute_is_dropped_after_three_days);
	tcase_add_test(tc, reports_of_two_nodes_add_up);
	tcase_add_test(tc, malformed_report_adds_nothing);
	tcase_add_test(tc, report_exceeds_series_limit_of_a_node);
	tcase_add_test(tc, alert_needs_both_windows);
	return run_suite("burn", tc);
}
