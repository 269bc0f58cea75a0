#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burn.h"

#include "suite.h"

#define MINUTE 29000000ULL
#define NOW_MS (MINUTE * 60000 + 30000)

static struct bg_burn *counts;
static struct bg_head head;
static struct bg_contract contract;
static struct bg_history history;
static struct bg_history_entry entries[4];
static struct bg_cli_node node_items[2];
static struct bg_cli_nodes nodes;
static struct bg_cli_burn_report report;

static void
setup(void)
{
	struct bg_head_service *svc;

	ck_assert_int_eq(bg_burn_init(&counts), 0);
	bg_head_init(&head);
	svc = bg_head_add(&head, "orders");
	ck_assert_ptr_nonnull(svc);
	memset(&contract, 0, sizeof(contract));
	snprintf(contract.name, sizeof(contract.name), "orders");
	snprintf(contract.routes[0].name, BG_NAME_BYTES, "checkouts");
	snprintf(contract.routes[1].name, BG_NAME_BYTES, "browse");
	contract.route_count = 2;
	contract.slo_permyriad = 9900;
	memset(entries, 0, sizeof(entries));
	history.entries = entries;
	history.entry_count = 0;
	memset(node_items, 0, sizeof(node_items));
	snprintf(node_items[0].address, 64, "127.0.0.1:1");
	snprintf(node_items[1].address, 64, "127.0.0.1:2");
	nodes.items = node_items;
	nodes.count = 2;
}

static void
teardown(void)
{
	bg_cli_burn_report_free(&report);
	bg_head_free(&head);
	bg_burn_free(counts);
}

static void
build_report(void)
{
	const struct bg_cli_burn_input in = {
	    counts, &head, &contract, &history, &nodes, NOW_MS};

	ck_assert_int_eq(bg_cli_burn_report_build(&report, &in), 0);
}

/* Counts calls of the service orders; the first of them fail. */
static void
count_calls(
    const char *route, const char *version, uint64_t minute, int calls, int bad)
{
	int i;

	for (i = 0; i < calls; i++)
		bg_burn_count(
		    counts, "orders", route, version, minute, i < bad);
}

static void
add_entry(const char *action, const char *to, uint64_t minute)
{
	struct bg_history_entry *e = &entries[history.entry_count++];

	snprintf(e->service, sizeof(e->service), "orders");
	snprintf(e->action, sizeof(e->action), "%s", action);
	snprintf(e->to, sizeof(e->to), "%s", to);
	e->time_ms = minute * 60000;
}

/* Guards against leaving the first minute of a window out of it, and against a
 * burn rate computed with the wrong objective. */
START_TEST(windows_include_their_first_minute)
{
	static const uint64_t calls[] = {1, 2, 3, 4};
	size_t i;

	count_calls("checkouts", "1", MINUTE - 4, 1, 1);
	count_calls("checkouts", "1", MINUTE - 59, 1, 0);
	count_calls("checkouts", "1", MINUTE - 359, 1, 0);
	count_calls("checkouts", "1", MINUTE - 4319, 1, 0);
	build_report();
	ck_assert_uint_eq(report.route_count, 2);
	ck_assert_str_eq(report.routes[1].route, "checkouts");
	for (i = 0; i < BG_CLI_WINDOW_COUNT; i++) {
		ck_assert_uint_eq(report.routes[1].sums[i].calls, calls[i]);
		ck_assert_uint_eq(report.routes[1].sums[i].bad, 1);
		ck_assert_double_eq_tol(
		    report.routes[1].rates[i], 100.0 / (double)calls[i], 0.001);
	}
	ck_assert_double_eq_tol(report.routes[1].hourly_rates[71], 50.0, 0.001);
	ck_assert_double_eq_tol(report.routes[1].hourly_rates[70], 0.0, 0.001);
}
END_TEST

/* Guards against an alert caused by another route of the service, a missing
 * route, and a service without an objective that is reported as ok. */
START_TEST(alert_is_evaluated_per_route)
{
	count_calls("checkouts", "1", MINUTE, 100, 50);
	count_calls("browse", "1", MINUTE - 100, 1000, 15);
	bg_burn_count(counts, "gone", "r", "1", MINUTE, 1);
	build_report();
	ck_assert_uint_eq(report.route_count, 3);
	ck_assert_str_eq(
	    bg_cli_burn_alert_name(&report.routes[0]), "no objective");
	ck_assert_str_eq(report.routes[1].route, "browse");
	ck_assert_str_eq(bg_cli_burn_alert_name(&report.routes[1]), "ticket");
	ck_assert_str_eq(bg_cli_burn_alert_name(&report.routes[2]), "page");
}
END_TEST

/* Guards against attributing to a move the failures of another version, of the
 * time before the move, or of the time after the next move to the same version.
 * Also guards against losing failures when a move to another version starts,
 * which happened when 3.0 was replaced while it still had most calls. */
START_TEST(failures_are_attributed_to_their_move)
{
	add_entry("accept", "", MINUTE - 70);
	add_entry("move", "2", MINUTE - 60);
	add_entry("move", "3", MINUTE - 22);
	add_entry("move", "2", MINUTE - 20);
	count_calls("checkouts", "1", MINUTE - 4315, 10, 0);
	count_calls("checkouts", "1", MINUTE - 50, 950, 7);
	count_calls("checkouts", "2", MINUTE - 61, 10, 5);
	count_calls("checkouts", "2", MINUTE - 60, 10, 4);
	count_calls("browse", "2", MINUTE - 21, 10, 1);
	count_calls("checkouts", "2", MINUTE - 20, 10, 3);
	build_report();
	ck_assert_uint_eq(report.move_count, 3);
	ck_assert_str_eq(report.moves[0].to, "2");
	ck_assert_str_eq(report.moves[0].state, "replaced");
	ck_assert_uint_eq(report.moves[0].sum.calls, 20);
	ck_assert_uint_eq(report.moves[0].sum.bad, 5);
	/* 1,000 calls with an objective of 99% have a budget of 10 failures. */
	ck_assert_int_eq(report.moves[0].has_budget_share, 1);
	ck_assert_double_eq_tol(report.moves[0].budget_share, 0.5, 0.001);
	ck_assert_uint_eq(report.moves[1].sum.calls, 0);
	ck_assert_uint_eq(report.moves[2].sum.calls, 10);
	ck_assert_uint_eq(report.moves[2].sum.bad, 3);
}
END_TEST

/* Guards against listing a move twice because it is in the history and the
 * head, and against not listing one that started automatically and is only in
 * the head. */
START_TEST(history_and_head_moves_are_merged)
{
	struct bg_move *move = &bg_head_find(&head, "orders")->move;

	add_entry("move", "2", MINUTE - 60);
	snprintf(move->from, sizeof(move->from), "1");
	snprintf(move->to, sizeof(move->to), "2");
	snprintf(move->reason, sizeof(move->reason), "errors");
	move->state = BG_MOVE_ROLLED_BACK;
	move->started_ms = (MINUTE - 60) * 60000 + 900;
	build_report();
	ck_assert_uint_eq(report.move_count, 1);
	ck_assert_str_eq(report.moves[0].state, "rolled back");
	ck_assert_str_eq(report.moves[0].from, "1");
	bg_cli_burn_report_free(&report);
	move->started_ms = (MINUTE - 30) * 60000;
	build_report();
	ck_assert_uint_eq(report.move_count, 2);
	ck_assert_str_eq(report.moves[0].state, "replaced");
	ck_assert_str_eq(report.moves[1].state, "rolled back");
}
END_TEST

/* Guards against not listing a bad move that started automatically because the
 * head already has the next move, which happened with 3.0 after the move back
 * to 1.0. Also guards against listing a version that was called from the start
 * of the window on, or that had no failures. */
START_TEST(unrecorded_move_is_inferred_from_calls)
{
	struct bg_move *move = &bg_head_find(&head, "orders")->move;

	snprintf(move->from, sizeof(move->from), "3.0");
	snprintf(move->to, sizeof(move->to), "1.0");
	move->state = BG_MOVE_IN_PROGRESS;
	move->started_ms = (MINUTE - 5) * 60000;
	count_calls("checkouts", "0.9", MINUTE - 4310, 10, 0);
	count_calls("checkouts", "0.9", MINUTE - 10, 10, 0);
	count_calls("checkouts", "3.0", MINUTE - 9, 10, 10);
	count_calls("browse", "3.0", MINUTE - 8, 10, 7);
	count_calls("browse", "0.95", MINUTE - 20, 10, 0);
	build_report();
	ck_assert_uint_eq(report.move_count, 2);
	ck_assert_str_eq(report.moves[0].to, "3.0");
	ck_assert_str_eq(report.moves[0].state, "not recorded");
	ck_assert_uint_eq(report.moves[0].started_ms, (MINUTE - 9) * 60000);
	ck_assert_uint_eq(report.moves[0].sum.bad, 17);
	ck_assert_str_eq(report.moves[1].to, "1.0");
}
END_TEST

/* Guards against a move that is reported without calls because the next move
 * started within the same minute, which happened with automatic moves. */
START_TEST(move_replaced_within_a_minute_keeps_its_calls)
{
	struct bg_move *move = &bg_head_find(&head, "orders")->move;

	add_entry("move", "2", MINUTE - 5);
	snprintf(move->to, sizeof(move->to), "3");
	move->state = BG_MOVE_DONE;
	move->started_ms = (MINUTE - 5) * 60000 + 40000;
	count_calls("checkouts", "2", MINUTE - 5, 10, 6);
	count_calls("checkouts", "2", MINUTE - 4, 10, 3);
	count_calls("checkouts", "3", MINUTE - 5, 10, 1);
	build_report();
	ck_assert_uint_eq(report.move_count, 2);
	ck_assert_str_eq(report.moves[0].to, "2");
	ck_assert_uint_eq(report.moves[0].sum.bad, 9);
	ck_assert_uint_eq(report.moves[1].sum.bad, 1);
}
END_TEST

/* Guards against listing moves that started before the window, and against not
 * listing one of them whose version still fails. */
START_TEST(old_moves_are_listed_only_with_failures)
{
	add_entry("move", "2", MINUTE - 3 * BG_BURN_MINUTES);
	add_entry("move", "3", MINUTE - 2 * BG_BURN_MINUTES);
	count_calls("checkouts", "3", MINUTE - 10, 5, 1);
	build_report();
	ck_assert_uint_eq(report.move_count, 1);
	ck_assert_str_eq(report.moves[0].to, "3");
}
END_TEST

/* Guards against an output format that does not name a missing node. */
START_TEST(missing_node_is_named_in_every_format)
{
	json_t *json;
	json_t *missing;
	char *text;

	snprintf(node_items[1].error_message, 96, "the node does not answer");
	build_report();
	ck_assert_uint_eq(bg_cli_burn_missing_nodes(&report), 1);
	ck_assert_int_eq(bg_cli_burn_report_text(&text, &report), 0);
	ck_assert_ptr_nonnull(strstr(text, "1 of 2 answered"));
	ck_assert_ptr_nonnull(strstr(text, "missing node 127.0.0.1:2"));
	free(text);
	ck_assert_int_eq(bg_cli_burn_report_html(&text, &report), 0);
	ck_assert_ptr_nonnull(strstr(text, "Missing node 127.0.0.1:2"));
	free(text);
	json = bg_cli_burn_report_json(&report);
	missing = json_object_get(json, "missing");
	ck_assert_uint_eq(json_array_size(missing), 1);
	ck_assert(json_is_false(json_object_get(json, "ok")));
	json_decref(json);
}
END_TEST

/* Guards against script injection through the reason of a move, external
 * resources in the page, and a plot without the moves. */
START_TEST(html_is_escaped_and_self_contained)
{
	struct bg_move *move = &bg_head_find(&head, "orders")->move;
	char *text;

	snprintf(move->to, sizeof(move->to), "2");
	snprintf(move->reason, sizeof(move->reason), "<script>\"&");
	move->state = BG_MOVE_ROLLED_BACK;
	move->started_ms = (MINUTE - 30) * 60000;
	count_calls("checkouts", "2", MINUTE, 10, 5);
	build_report();
	ck_assert_int_eq(bg_cli_burn_report_html(&text, &report), 0);
	ck_assert_ptr_nonnull(strstr(text, "&lt;script&gt;&quot;&amp;"));
	ck_assert_ptr_null(strstr(text, "<script"));
	ck_assert_ptr_null(strstr(text, "http"));
	ck_assert_ptr_null(strstr(text, "src="));
	ck_assert_ptr_nonnull(strstr(text, "<svg"));
	ck_assert_ptr_nonnull(strstr(text, "class=\"move\""));
	free(text);
}
END_TEST

/* Guards against columns that are misaligned because of a long service name. */
START_TEST(text_columns_are_aligned)
{
	const char *first;
	const char *second;
	char *text;

	bg_burn_count(
	    counts, "a-service-with-a-long-name", "r", "1", MINUTE, 0);
	build_report();
	ck_assert_int_eq(bg_cli_burn_report_text(&text, &report), 0);
	first = strstr(text, "\nSERVICE");
	ck_assert_ptr_nonnull(first);
	second = strchr(first + 1, '\n');
	ck_assert_ptr_nonnull(second);
	ck_assert_int_eq(strchr(second + 1, '\n') - second, second - first);
	free(text);
}
END_TEST

/* Guards against counting the calls of a node twice because its address is
 * given twice, and against skipping an invalid address. */
START_TEST(node_list_is_validated)
{
	struct bg_cli_nodes list;
	struct bg_error err = {0};

	ck_assert_int_eq(bg_cli_nodes_parse(&list,
			     "127.0.0.1:1,127.0.0.1:2,127.0.0.1:1", &err),
	    0);
	ck_assert_uint_eq(list.count, 2);
	bg_cli_nodes_free(&list);
	ck_assert_int_eq(
	    bg_cli_nodes_parse(&list, "127.0.0.1:1,host:2", &err), BG_EINVAL);
	ck_assert_int_eq(
	    bg_cli_nodes_parse(&list, "127.0.0.1:1,,", &err), BG_EINVAL);
	ck_assert_int_eq(bg_cli_nodes_parse(&list, NULL, &err), BG_EINVAL);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("report");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, windows_include_their_first_minute);
	tcase_add_test(tc, alert_is_evaluated_per_route);
	tcase_add_test(tc, failures_are_attributed_to_their_move);
	tcase_add_test(tc, history_and_head_moves_are_merged);
	tcase_add_test(tc, unrecorded_move_is_inferred_from_calls);
	tcase_add_test(tc, move_replaced_within_a_minute_keeps_its_calls);
	tcase_add_test(tc, old_moves_are_listed_only_with_failures);
	tcase_add_test(tc, missing_node_is_named_in_every_format);
	tcase_add_test(tc, html_is_escaped_and_self_contained);
	tcase_add_test(tc, text_columns_are_aligned);
	tcase_add_test(tc, node_list_is_validated);
	return run_suite("report", tc);
}
