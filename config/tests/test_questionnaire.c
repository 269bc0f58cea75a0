#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/questionnaire.h"

#include "sample.h"

#include "suite.h"

static const char COMPLETE[] = "name = \"orders\"\n"
			       "dependencies = [\"catalogue\"]\n"
			       "[[route]]\n"
			       "name = \"checkouts\"\n"
			       "path = \"/orders/checkouts\"\n"
			       "methods = [\"POST\", \"PUT\"]\n"
			       "idempotent = false\n"
			       "deadline_ms = 5000\n"
			       "slow_ms = 1500\n"
			       "criticality = \"high\"\n"
			       "[servers]\n"
			       "slots = 18\n"
			       "connections = 110\n"
			       "[move]\n"
			       "start = \"auto\"\n"
			       "take_over_s = 600\n"
			       "soak_s = 900\n"
			       "max_error_percent = 0.5\n"
			       "[objective]\n"
			       "availability_percent = 99.95\n"
			       "window_days = 28\n";

static struct bg_questionnaire qn;
static struct bg_error err;
static char *report;

static int
parse(const char *text)
{
	free(report);
	return bg_questionnaire_parse(
	    &qn, &report, "q.toml", text, strlen(text), &err);
}

/* Parses COMPLETE with one text replaced by another. */
static int
parse_changed(const char *from, const char *to)
{
	const char *at = strstr(COMPLETE, from);
	char text[8192];

	ck_assert_ptr_nonnull(at);
	snprintf(text, sizeof(text), "%.*s%s%s", (int)(at - COMPLETE), COMPLETE,
	    to, at + strlen(from));
	return parse(text);
}

/* Guards against an answer that is lost or changed in the contract, and against
 * wrong line numbers. */
START_TEST(answers_give_the_contract)
{
	const struct bg_contract *ctr = &qn.contract;

	ck_assert_msg(parse(COMPLETE) == 0, "%s", err.message);
	ck_assert_ptr_null(report);
	ck_assert_str_eq(ctr->name, "orders");
	ck_assert_uint_eq(ctr->dependency_count, 1);
	ck_assert_str_eq(ctr->dependencies[0], "catalogue");
	ck_assert_uint_eq(ctr->route_count, 1);
	ck_assert_str_eq(ctr->routes[0].name, "checkouts");
	ck_assert_str_eq(ctr->routes[0].prefix, "/orders/checkouts");
	ck_assert_uint_eq(
	    ctr->routes[0].methods, BG_METHOD_POST | BG_METHOD_PUT);
	ck_assert_int_eq(ctr->routes[0].is_idempotent, 0);
	ck_assert_uint_eq(ctr->routes[0].deadline_ms, 5000);
	ck_assert_uint_eq(ctr->routes[0].slow_ms, 1500);
	ck_assert_int_eq(ctr->routes[0].criticality, BG_CRITICALITY_HIGH);
	ck_assert_uint_eq(ctr->slots, 18);
	ck_assert_uint_eq(ctr->connections, 110);
	ck_assert_int_eq(ctr->move_auto_start, 1);
	ck_assert_uint_eq(ctr->take_over_ms, 600000);
	ck_assert_uint_eq(ctr->soak_ms, 900000);
	ck_assert_uint_eq(ctr->max_error_permille, 5);
	ck_assert_uint_eq(ctr->slo_permyriad, 9995);
	ck_assert_uint_eq(ctr->slo_window_days, 28);
	ck_assert_uint_eq(qn.name_line, 1);
	ck_assert_uint_eq(qn.dependencies_line, 2);
	ck_assert_uint_eq(qn.route_lines[0], 5);
}
END_TEST

/* Guards against defaults that differ from those that the template states. */
START_TEST(optional_answers_have_defaults)
{
	ck_assert_int_eq(parse_changed("soak_s = 900\n", ""), 0);
	ck_assert_uint_eq(qn.contract.soak_ms, 600000);
	ck_assert_int_eq(parse_changed("window_days = 28\n", ""), 0);
	ck_assert_uint_eq(qn.contract.slo_window_days, 30);
	ck_assert_int_eq(
	    parse_changed("dependencies = [\"catalogue\"]\n", ""), 0);
	ck_assert_uint_eq(qn.contract.dependency_count, 0);
	ck_assert_int_eq(parse_changed("\"auto\"", "\"operator\""), 0);
	ck_assert_int_eq(qn.contract.move_auto_start, 0);
}
END_TEST

/* A change to a valid file, and the report of one line that it must give. */
static const struct {
	const char *from;
	const char *to;
	const char *line;
} INVALID_ANSWERS[] = {
    {"\"orders\"", "\"or ders\"",
	"q.toml:1: name: expected letters, digits, '-', '_' and '.', found "
	"\"or ders\"\n"},
    {"\"catalogue\"", "\"a\", \"b\", \"a\"",
	"q.toml:2: dependencies: expected each service once, found \"a\" "
	"again\n"},
    {"\"catalogue\"", "\"orders\"",
	"q.toml:2: dependencies: expected another service, found \"orders\" "
	"itself\n"},
    {"\"catalogue\"", "7",
	"q.toml:2: dependencies: expected a string of 1 to 63 bytes, found "
	"7\n"},
    {"\"/orders/checkouts\"", "\"orders\"",
	"q.toml:5: route.path: expected a path that starts with '/', found "
	"\"orders\"\n"},
    {"\"POST\", \"PUT\"", "",
	"q.toml:6: route.methods: expected at least one HTTP method\n"},
    {"\"PUT\"", "\"put\"",
	"q.toml:6: route.methods: expected GET, HEAD, POST, PUT, DELETE or "
	"PATCH, found \"put\"\n"},
    {"\"PUT\"", "\"POST\"",
	"q.toml:6: route.methods: expected each method once, found \"POST\" "
	"again\n"},
    {"\"PUT\"", "\"GET\"",
	"q.toml:7: route.idempotent: expected true, since GET and HEAD may be "
	"repeated by any client, found false\n"},
    {"idempotent = false\n", "",
	"q.toml:3: route.idempotent: expected true or false, found no such "
	"key\n"},
    {"5000", "0",
	"q.toml:8: route.deadline_ms: expected an integer from 1 to 600000, "
	"found 0\n"},
    {"1500", "5001",
	"q.toml:9: route.slow_ms: expected at most deadline_ms (5000), found "
	"5001\n"},
    {"\"high\"", "3",
	"q.toml:10: route.criticality: expected one of \"low\", \"normal\", "
	"\"high\", found 3\n"},
    {"\"high\"", "\"high\"\nretries = 3",
	"q.toml:11: route.retries: expected no such key\n"},
    {"110", "17",
	"q.toml:13: servers.connections: expected at least servers.slots "
	"(18), found 17\n"},
    {"slots = 18\n", "",
	"q.toml:11: servers.slots: expected an integer from 1 to 10000, found "
	"no such key\n"},
    {"\"auto\"", "true",
	"q.toml:15: move.start: expected one of \"operator\", \"auto\", found "
	"true\n"},
    {"0.5", "0.55",
	"q.toml:18: move.max_error_percent: expected a number from 0.1 to 50 "
	"in steps of 0.1, found 0.55\n"},
    {"99.95", "100",
	"q.toml:20: objective.availability_percent: expected a number from 50 "
	"to 99.99 in steps of 0.01, found 100\n"},
    {"[servers]\nslots = 18\nconnections = 110\n", "",
	"q.toml:1: servers: expected a table, found no such key\n"},
    {"[[route]]", "[route]",
	"q.toml:3: route: expected [[route]] tables, found a table\n"},
};

/* Guards against an invalid answer that is reported with the wrong line or key,
 * or not at all. */
START_TEST(invalid_answers_are_reported_with_line_and_key)
{
	ck_assert_int_eq(
	    parse_changed(INVALID_ANSWERS[_i].from, INVALID_ANSWERS[_i].to),
	    BG_EINVAL);
	ck_assert_str_eq(report, INVALID_ANSWERS[_i].line);
}
END_TEST

/* Guards against two routes of a service that match the same call or have the
 * same name. */
START_TEST(routes_of_a_service_are_distinct)
{
	static const char again[] =
	    "[[route]]\nname = \"checkouts\"\npath = \"/orders/checkouts\"\n"
	    "methods = [\"PUT\", \"PATCH\"]\nidempotent = true\n"
	    "deadline_ms = 9\nslow_ms = 9\ncriticality = \"low\"\n[servers]";

	ck_assert_int_eq(parse_changed("[servers]", again), BG_EINVAL);
	ck_assert_str_eq(report,
	    "q.toml:12: route.name: expected another name than the route "
	    "before, found \"checkouts\"\n"
	    "q.toml:13: route.path: expected another path or method than "
	    "route \"checkouts\", found \"/orders/checkouts\"\n");
}
END_TEST

/* Guards against more routes than a contract can hold. */
START_TEST(routes_are_limited)
{
	char text[4096] = "";
	size_t len = 0;
	int i;

	for (i = 0; i < BG_ROUTES_MAX; i++)
		len += (size_t)snprintf(text + len, sizeof(text) - len,
		    "[[route]]\nname = \"r%d\"\npath = \"/r%d\"\n"
		    "methods = [\"GET\"]\nidempotent = true\n"
		    "deadline_ms = 9\nslow_ms = 9\ncriticality = \"low\"\n",
		    i, i);
	snprintf(text + len, sizeof(text) - len, "[servers]");
	ck_assert_int_eq(parse_changed("[servers]", text), BG_EINVAL);
	ck_assert_ptr_nonnull(
	    strstr(report, "route: expected at most 16 routes, found 17"));
}
END_TEST

/* Guards against a template that passes the check without answers, and against
 * a question that the template lacks. */
START_TEST(template_asks_for_every_required_answer)
{
	static const char *const keys[] = {" route.name:", " route.path:",
	    " route.methods:", " route.deadline_ms:", " route.slow_ms:",
	    " route.criticality:", " servers.slots:", " servers.connections:",
	    " move.start:", " move.take_over_s:", " move.max_error_percent:",
	    " objective.availability_percent:"};
	char *text;
	size_t i;

	ck_assert_int_eq(bg_questionnaire_template(&text, "orders"), 0);
	ck_assert_int_eq(parse(text), BG_EINVAL);
	for (i = 0; i < sizeof(keys) / sizeof(keys[0]); i++)
		ck_assert_msg(strstr(report, keys[i]) != NULL, "%s", keys[i]);
	ck_assert_ptr_null(strstr(report, "no such key"));
	free(text);
	ck_assert_int_eq(bg_questionnaire_template(&text, "a/b"), BG_EINVAL);
	ck_assert_int_eq(bg_questionnaire_template(&text,
			     "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
			     "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"),
	    BG_EINVAL);
	ck_assert_ptr_null(text);
}
END_TEST

static void
make_questionnaire(
    struct bg_questionnaire *out, const char *name, const char *dependency)
{
	memset(out, 0, sizeof(*out));
	sample_contract(&out->contract, name);
	if (dependency != NULL)
		sample_add_dependency(&out->contract, dependency);
	snprintf(out->path, sizeof(out->path), "%s.toml", name);
	out->name_line = 1;
	out->dependencies_line = 2;
	out->route_lines[0] = 3;
	out->route_lines[1] = 4;
}

static int
validate(const struct bg_questionnaire *qns, size_t count,
    const struct bg_contract *accepted, size_t accepted_count)
{
	free(report);
	return bg_questionnaire_validate_set(
	    &report, qns, count, accepted, accepted_count, &err);
}

/* Guards against questionnaires that are accepted although they conflict with
 * each other or with contracts accepted earlier. */
START_TEST(set_is_checked_with_the_accepted_contracts)
{
	struct bg_questionnaire qns[2];
	struct bg_contract accepted[2];

	make_questionnaire(&qns[0], "orders", "catalogue");
	sample_contract(&accepted[0], "catalogue");
	sample_contract(&accepted[1], "printing");
	ck_assert_int_eq(validate(qns, 1, accepted, 2), 0);
	ck_assert_ptr_null(report);

	ck_assert_int_eq(validate(qns, 1, accepted + 1, 1), BG_EINVAL);
	ck_assert_str_eq(report,
	    "orders.toml:2: dependencies: expected a service that exists, "
	    "found \"catalogue\"\n");
	/* Without the accepted contracts a dependency cannot be checked. */
	free(report);
	ck_assert_int_eq(
	    bg_questionnaire_validate_partial_set(&report, qns, 1, &err), 0);
	ck_assert_ptr_null(report);
	/* Both services in one set. */
	make_questionnaire(&qns[1], "catalogue", NULL);
	ck_assert_int_eq(validate(qns, 2, NULL, 0), 0);

	strcpy(accepted[1].routes[0].prefix, "/orders/jobs");
	accepted[1].routes[0].methods |= BG_METHOD_POST;
	ck_assert_int_eq(validate(qns, 1, accepted, 2), BG_EINVAL);
	ck_assert_str_eq(report,
	    "orders.toml:4: route.path: expected a path and method that "
	    "service \"printing\" does not have, found \"/orders/jobs\"\n");
	/* A questionnaire replaces the accepted contract of its service. */
	make_questionnaire(&qns[1], "printing", NULL);
	ck_assert_int_eq(validate(qns, 2, accepted, 2), 0);

	make_questionnaire(&qns[1], "orders", "catalogue");
	ck_assert_int_eq(validate(qns, 2, accepted, 1), BG_EINVAL);
	ck_assert_str_eq(report,
	    "orders.toml:1: name: expected each service once, found "
	    "\"orders\" in orders.toml as well\n");
}
END_TEST

/* Guards against dependency cycles that are accepted: services of a cycle could
 * wait for each other without end. */
START_TEST(cycles_are_reported_for_each_questionnaire)
{
	struct bg_questionnaire qns[2];
	struct bg_contract accepted[2];

	make_questionnaire(&qns[0], "a", "b");
	make_questionnaire(&qns[1], "d", "a");
	sample_contract(&accepted[0], "b");
	sample_add_dependency(&accepted[0], "c");
	sample_contract(&accepted[1], "c");
	sample_add_dependency(&accepted[1], "a");
	ck_assert_int_eq(validate(qns, 2, accepted, 2), BG_EINVAL);
	/* d depends on the cycle but is not part of it. */
	ck_assert_str_eq(report,
	    "a.toml:2: dependencies: expected no cycle, found a -> b -> c -> "
	    "a\n");
	sample_contract(&accepted[1], "c");
	ck_assert_int_eq(validate(qns, 2, accepted, 2), 0);
	make_questionnaire(&qns[1], "b", "a");
	free(report);
	ck_assert_int_eq(
	    bg_questionnaire_validate_partial_set(&report, qns, 2, &err),
	    BG_EINVAL);
	ck_assert_ptr_nonnull(strstr(report, "found b -> a -> b\n"));
}
END_TEST

static const char *const EXAMPLES[][3] = {
    {"belanger/catalogue", "belanger/atelier", "belanger/expedition"},
    {"inzira/catalogue", "inzira/orders", "inzira/printing"},
};

/* Guards against examples that the check no longer accepts. */
START_TEST(examples_are_valid_sets)
{
	struct bg_questionnaire qns[3];
	char path[512];
	int root = (int)(strstr(__FILE__, "config/tests/test_") - __FILE__);
	size_t i;

	for (i = 0; i < 3; i++) {
		snprintf(path, sizeof(path), "%.*sexamples/%s.toml", root,
		    __FILE__, EXAMPLES[_i][i]);
		free(report);
		ck_assert_msg(
		    bg_questionnaire_load(&qns[i], &report, path, &err) == 0,
		    "%s", err.message);
	}
	ck_assert_msg(validate(qns, 3, NULL, 0) == 0, "%s", err.message);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("questionnaire");
	int failed;

	tcase_add_test(tc, answers_give_the_contract);
	tcase_add_test(tc, optional_answers_have_defaults);
	tcase_add_loop_test(tc, invalid_answers_are_reported_with_line_and_key,
	    0, (int)(sizeof(INVALID_ANSWERS) / sizeof(INVALID_ANSWERS[0])));
	tcase_add_test(tc, routes_of_a_service_are_distinct);
	tcase_add_test(tc, routes_are_limited);
	tcase_add_test(tc, template_asks_for_every_required_answer);
	tcase_add_test(tc, set_is_checked_with_the_accepted_contracts);
	tcase_add_test(tc, cycles_are_reported_for_each_questionnaire);
	tcase_add_loop_test(tc, examples_are_valid_sets, 0, 2);
	failed = run_suite("questionnaire", tc);
	free(report);
	return failed;
}
