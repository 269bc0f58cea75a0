#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "conditions.h"
#include "diff.h"
#include "node.h"

#include "suite.h"

static struct bg_cli_status_lines lines;

/* Guards against cutting a state of two words at the space, and against finding
 * a line by a prefix of its service name. */
START_TEST(two_word_states_are_parsed)
{
	static const char text[] =
	    "# a comment\n"
	    "done catalogue version=1.0 config=4 since=T age=0s serving=1.0\n"
	    "in progress orders version=2 config=7 since=T age=3s serving=1 "
	    "late\n"
	    "rolled back print version=3 config=12 since=T age=1s serving=2 "
	    "reason=errors\n";

	ck_assert_int_eq(bg_cli_status_lines_parse(&lines, text, 0), 0);
	ck_assert_int_eq(lines.is_synced, 1);
	ck_assert_uint_eq(lines.count, 3);
	ck_assert_str_eq(lines.items[0].state, "done");
	ck_assert_str_eq(lines.items[1].state, "in progress");
	ck_assert_str_eq(lines.items[2].state, "rolled back");
	ck_assert_uint_eq(lines.items[2].config_version, 12);
	ck_assert_ptr_eq(
	    bg_cli_status_lines_find(&lines, "orders"), &lines.items[1]);
	ck_assert_ptr_null(bg_cli_status_lines_find(&lines, "order"));
	ck_assert_str_eq(lines.items[1].text_without_age,
	    "in progress orders version=2 config=7 since=T serving=1 late");
	bg_cli_status_lines_free(&lines);
}
END_TEST

/* Guards against comments on emptied data centres and cold backend servers that
 * are lost, or hide that the node is not synced. */
START_TEST(conditions_are_kept)
{
	static const char text[] =
	    "# not synced: this node knows no version yet\n"
	    "# emptied data_centre=bureau since=T running=3 nodes=2\n"
	    "# cold atelier node=10.0.0.1:1 dc=entrepot left=2000ms\n";
	static const char json[] =
	    "{\"synced\":true,\"services\":[],\"emptied\":["
	    "{\"data_centre\":\"bureau\",\"since_ms\":0,\"running\":3}],"
	    "\"cold\":[{\"service\":\"atelier\",\"node\":\"10.0.0.1:1\","
	    "\"data_centre\":\"entrepot\",\"left_ms\":2000}]}";
	struct bg_cli_conditions cond;
	char *printed = NULL;
	size_t bytes;
	FILE *fp;

	ck_assert_int_eq(bg_cli_status_lines_parse(&lines, text, 0), 0);
	ck_assert_int_eq(lines.is_synced, 0);
	ck_assert_uint_eq(json_array_size(lines.emptied), 1);
	ck_assert_uint_eq(json_array_size(lines.cold), 1);
	bg_cli_status_lines_free(&lines);
	ck_assert_int_eq(bg_cli_status_lines_parse(&lines, json, 1), 0);
	cond.emptied = lines.emptied;
	cond.cold = lines.cold;
	fp = open_memstream(&printed, &bytes);
	bg_cli_conditions_print(fp, &cond, "<", ">");
	fclose(fp);
	ck_assert_str_eq(printed,
	    "<data centre bureau is emptied since 1970-01-01T00:00:00Z, "
	    "3 calls run>"
	    "<backend server of atelier at node 10.0.0.1:1 in data centre "
	    "entrepot is cold for another 2000 ms>");
	free(printed);
	bg_cli_status_lines_free(&lines);
}
END_TEST

/* Guards against treating a node without a configuration like one without
 * services, and an empty page like one of an unsynced node. */
START_TEST(unsynced_node_is_detected)
{
	ck_assert_int_eq(
	    bg_cli_status_lines_parse(
		&lines, "# not synced: this node knows no version yet\n", 0),
	    0);
	ck_assert_int_eq(lines.is_synced, 0);
	bg_cli_status_lines_free(&lines);
	ck_assert_int_eq(bg_cli_status_lines_parse(
			     &lines, "{\"synced\":false,\"services\":[]}", 1),
	    0);
	ck_assert_int_eq(lines.is_synced, 0);
	bg_cli_status_lines_free(&lines);
	ck_assert_int_eq(bg_cli_status_lines_parse(&lines, "", 0), 0);
	ck_assert_int_eq(lines.is_synced, 1);
	ck_assert_uint_eq(lines.count, 0);
	bg_cli_status_lines_free(&lines);
}
END_TEST

/* Guards against reporting a change if only the age differs. */
START_TEST(json_comparison_ignores_age)
{
	static const char json[] =
	    "{\"synced\":true,\"services\":[{\"state\":\"rolled back\","
	    "\"service\":\"a\",\"config\":9,\"age_ms\":17}]}";

	ck_assert_int_eq(bg_cli_status_lines_parse(&lines, json, 1), 0);
	ck_assert_uint_eq(lines.count, 1);
	ck_assert_str_eq(lines.items[0].state, "rolled back");
	ck_assert_uint_eq(lines.items[0].config_version, 9);
	ck_assert_ptr_nonnull(strstr(lines.items[0].text, "age_ms"));
	ck_assert_ptr_null(strstr(lines.items[0].text_without_age, "age_ms"));
	bg_cli_status_lines_free(&lines);
}
END_TEST

static const struct {
	const char *body;
	int is_json;
} MALFORMED[] = {
    {"finished a version=1 config=1\n", 0},
    {"done\n", 0},
    {"done a version=1\n", 0},
    {"doner a version=1 config=1\n", 0},
    {"<html>", 0},
    {"", 1},
    {"[]", 1},
    {"{\"services\":{}}", 1},
    {"{\"services\":[1]}", 1},
    {"{\"services\":[{\"state\":\"done\",\"service\":\"a\"}]}", 1},
    {"{\"services\":[{\"state\":\"x\",\"service\":\"a\",\"config\":1}]}", 1},
};

/* Guards against accepting a page that is not a valid status. */
START_TEST(malformed_status_is_rejected)
{
	ck_assert_int_eq(bg_cli_status_lines_parse(
			     &lines, MALFORMED[_i].body, MALFORMED[_i].is_json),
	    BG_EPROTO);
	ck_assert_uint_eq(lines.count, 0);
}
END_TEST

static void
fill_contract(struct bg_contract *ctr)
{
	struct bg_route *rt = &ctr->routes[0];

	memset(ctr, 0, sizeof(*ctr));
	strcpy(ctr->name, "orders");
	ctr->route_count = 1;
	strcpy(rt->name, "checkouts");
	strcpy(rt->prefix, "/orders/checkouts");
	rt->methods = BG_METHOD_POST | BG_METHOD_PUT;
	rt->deadline_ms = 5000;
	rt->slow_ms = 1500;
	rt->criticality = BG_CRITICALITY_HIGH;
	ctr->dependency_count = 1;
	strcpy(ctr->dependencies[0], "catalogue");
	ctr->slots = 18;
	ctr->connections = 110;
	ctr->take_over_ms = 600000;
	ctr->soak_ms = 600000;
	ctr->max_error_permille = 5;
	ctr->slo_permyriad = 9995;
	ctr->slo_window_days = 30;
}

static void
assert_lines(json_t *details, const char *const *expected, size_t count)
{
	size_t i;

	ck_assert_uint_eq(json_array_size(details), count);
	for (i = 0; i < count; i++)
		ck_assert_str_eq(
		    json_string_value(json_array_get(details, i)), expected[i]);
	json_decref(details);
}

/* Guards against a plan that does not show the change of a field; each field of
 * the contract is changed. */
START_TEST(diff_shows_every_field)
{
	static const char *const expected[] = {
	    "route checkouts path: /orders/checkouts -> /orders/buy",
	    "route checkouts methods: POST,PUT -> PATCH",
	    "route checkouts runs: at most once -> idempotent",
	    "route checkouts deadline: 5000 ms -> 4000 ms",
	    "route checkouts slow above: 1500 ms -> 1000 ms",
	    "route checkouts criticality: high -> low",
	    "- dependency catalogue",
	    "+ dependency printing",
	    "slots a server: 18 -> 19",
	    "connections a server: 110 -> 111",
	    "moves start: auto",
	    "promised time of a move: 600 s -> 601 s",
	    "soak after a move: 600 s -> 602 s",
	    "worst error ratio: 0.5% -> 1%",
	    "availability objective: 99.95% -> 99.9%",
	    "objective window: 30 days -> 7 days",
	};
	struct bg_contract from;
	struct bg_contract to;

	fill_contract(&from);
	fill_contract(&to);
	assert_lines(bg_cli_diff_contracts(&from, &to), NULL, 0);
	strcpy(to.routes[0].prefix, "/orders/buy");
	to.routes[0].methods = BG_METHOD_PATCH;
	to.routes[0].is_idempotent = 1;
	to.routes[0].deadline_ms = 4000;
	to.routes[0].slow_ms = 1000;
	to.routes[0].criticality = BG_CRITICALITY_LOW;
	strcpy(to.dependencies[0], "printing");
	to.slots = 19;
	to.connections = 111;
	to.move_auto_start = 1;
	to.take_over_ms = 601000;
	to.soak_ms = 602000;
	to.max_error_permille = 10;
	to.slo_permyriad = 9990;
	to.slo_window_days = 7;
	assert_lines(bg_cli_diff_contracts(&from, &to), expected,
	    sizeof(expected) / sizeof(expected[0]));
}
END_TEST

/* Guards against a renamed route that is not shown, or is shown as a change of
 * the old route. */
START_TEST(diff_shows_added_and_removed_routes)
{
	static const char *const expected[] = {
	    "- route checkouts: POST,PUT /orders/checkouts, at most once, "
	    "deadline 5000 ms, slow above 1500 ms, criticality high",
	    "+ route buy: POST,PUT /orders/checkouts, at most once, deadline "
	    "5000 ms, slow above 1500 ms, criticality high",
	};
	struct bg_contract from;
	struct bg_contract to;
	json_t *details;

	fill_contract(&from);
	fill_contract(&to);
	strcpy(to.routes[0].name, "buy");
	assert_lines(bg_cli_diff_contracts(&from, &to), expected, 2);
	details = bg_cli_diff_contracts(NULL, &to);
	ck_assert_uint_eq(json_array_size(details), 10);
	ck_assert_str_eq(json_string_value(json_array_get(details, 2)),
	    "slots a server: 18");
	json_decref(details);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("lines");

	tcase_add_test(tc, two_word_states_are_parsed);
	tcase_add_test(tc, conditions_are_kept);
	tcase_add_test(tc, unsynced_node_is_detected);
	tcase_add_test(tc, json_comparison_ignores_age);
	tcase_add_loop_test(tc, malformed_status_is_rejected, 0,
	    (int)(sizeof(MALFORMED) / sizeof(MALFORMED[0])));
	tcase_add_test(tc, diff_shows_every_field);
	tcase_add_test(tc, diff_shows_added_and_removed_routes);
	return run_suite("lines", tc);
}
