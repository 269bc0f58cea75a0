#include <check.h>
#include <jansson.h>

#include "burdockgrade/organisations.h"

#include "node.h"
#include "proxy_internal.h"
#include "suite.h"

/* What operators are told of the way of a request, against what calls do. */

static const char *const KEY = "alpha-secret";

static struct event_base *base;
static struct node node1;
static struct client cl;
static json_t *doc;

static void
set_snapshot(struct bg_organisations *orgs)
{
	static struct bg_service services[1];
	struct bg_rule rules[] = {
	    make_rule("lookup", "/lookup", 1, 1000, 2),
	};
	struct bg_snapshot_draft draft = {0};

	memset(services, 0, sizeof(services));
	snprintf(services[0].head.name, BG_NAME_BYTES, "atelier");
	draft.version = 3;
	draft.services = services;
	draft.service_count = 1;
	draft.rules = rules;
	draft.rule_count = 1;
	draft.organisations = orgs;
	ck_assert_int_eq(bg_snapshot_assemble(&snapshot, &draft, NULL), 0);
}

static void
start(struct bg_organisations *orgs)
{
	struct node *only = &node1;

	base = event_base_new();
	set_snapshot(orgs);
	node_start(&node1, base);
	node_set_roster(&node1, &only, 1);
	client_open(&cl, base, bg_proxy_port(node1.proxy));
}

static void
teardown(void)
{
	json_decref(doc);
	doc = NULL;
	client_close(&cl);
	node_stop(&node1);
	bg_snapshot_release(snapshot);
	event_base_free(base);
}

static void
explain(const char *method, const char *path, const char *organisation)
{
	struct bg_explain_query query = {method, "x", path, organisation};
	char *text = NULL;

	ck_assert_int_eq(bg_proxy_explain(&text, node1.proxy, &query), 0);
	json_decref(doc);
	doc = json_loads(text, 0, NULL);
	free(text);
	ck_assert_ptr_nonnull(doc);
}

static const json_t *
service(void)
{
	return json_array_get(json_object_get(doc, "services"), 0);
}

static const json_t *
server(void)
{
	return json_array_get(json_object_get(service(), "servers"), 0);
}

static const char *
refusal_of(const json_t *object)
{
	const char *text =
	    json_string_value(json_object_get(object, "refused"));

	return text == NULL ? "" : text;
}

START_TEST(picked_server_is_named_and_gets_no_request)
{
	start(NULL);
	explain("GET", "/lookup", "");
	ck_assert_str_eq(refusal_of(doc), "");
	ck_assert(json_is_true(json_object_get(server(), "picked")));
	ck_assert_str_eq(json_string_value(json_object_get(server(), "node")),
	    node1.mesh.address);
	ck_assert_int_eq(node1.backend.requests, 0);
	ck_assert_uint_eq(
	    bg_endpoint_get(&node1.proxy->router.endpoints, node1.mesh.address)
		->outstanding,
	    0);
}
END_TEST

/* Guards against an explanation that shows an old state: the server's failures
 * make the router leave it out. */
START_TEST(server_that_calls_do_not_reach_is_told_with_its_reason)
{
	start(NULL);
	node1.mesh.roster.members[0].state = BG_MEMBER_LEAVING;
	explain("GET", "/lookup", "");
	ck_assert_str_eq(
	    refusal_of(service()), "no backend server is available");
	ck_assert_str_eq(
	    json_string_value(json_object_get(server(), "excluded")),
	    "not ready");
	ck_assert(json_is_false(json_object_get(server(), "picked")));
}
END_TEST

START_TEST(request_without_a_route_is_refused)
{
	start(NULL);
	explain("GET", "/other", "");
	ck_assert_str_eq(refusal_of(doc), "no route has this path");
	node1.mesh.is_synced = 0;
	explain("GET", "/lookup", "");
	ck_assert(json_is_false(json_object_get(doc, "synced")));
}
END_TEST

/* Guards against a way that is shown for callers who would get 401, and against
 * the rank of the route where that of the organisation decides. */
START_TEST(organisation_decides_as_for_a_call)
{
	struct bg_organisation_draft draft = {
	    {"alpha", 1, 7, 2500, 9}, &KEY, 1};
	struct bg_organisations *orgs;

	ck_assert_int_eq(bg_organisations_init(&orgs, &draft, 1, NULL), 0);
	start(orgs);
	bg_organisations_release(orgs);
	explain("GET", "/lookup", "");
	ck_assert_str_eq(refusal_of(doc),
	    "the route is not public, and no organisation was given");
	explain("GET", "/lookup", "beta");
	ck_assert_str_eq(
	    refusal_of(doc), "no organisation in force has this name");
	explain("GET", "/lookup", "alpha");
	ck_assert_str_eq(refusal_of(doc), "");
	ck_assert_int_eq(json_integer_value(json_object_get(
			     json_object_get(doc, "route"), "priority")),
	    7);
	ck_assert(json_is_true(json_object_get(server(), "picked")));
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("explain");

	tcase_add_checked_fixture(tc, NULL, teardown);
	tcase_set_timeout(tc, 30);
	tcase_add_test(tc, picked_server_is_named_and_gets_no_request);
	tcase_add_test(
	    tc, server_that_calls_do_not_reach_is_told_with_its_reason);
	tcase_add_test(tc, request_without_a_route_is_refused);
	tcase_add_test(tc, organisation_decides_as_for_a_call);
	return run_suite("explain", tc);
}
