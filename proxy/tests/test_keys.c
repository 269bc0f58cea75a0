/* Keys of callers, from the ingress to the backend server. */

#include <check.h>
#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include "burdockgrade/counter.h"
#include "burdockgrade/log.h"
#include "burdockgrade/organisations.h"

#include "node.h"
#include "suite.h"

#define KEY "alpha-secret"
#define OTHER_KEY "beta-secret"

static struct event_base *base;
static struct node node1;
static struct node node2;
static struct client cl;
static int log_fds[2];

/* Builds the next version, in which each organisation has the key, or none for
 * NULL. */
static void
build_version(uint64_t version, const char *alpha_key, const char *beta_key)
{
	static struct bg_service services[1];
	struct bg_organisation_draft orgs[] = {
	    {{"alpha", 0, 0, 0, 0}, &alpha_key, alpha_key != NULL},
	    {{"beta", 0, 0, 0, 0}, &beta_key, beta_key != NULL},
	};
	struct bg_rule rules[] = {
	    make_rule("lookup", "/lookup", 1, 1000, 2),
	    make_rule("cut", "/cut", 0, 1000, 0),
	    make_rule("open", "/open", 1, 1000, 2),
	};
	struct bg_snapshot_draft draft = {0};

	rules[2].is_public = 1;
	snprintf(services[0].head.name, BG_NAME_BYTES, "atelier");
	draft.version = version;
	draft.services = services;
	draft.service_count = 1;
	draft.rules = rules;
	draft.rule_count = sizeof(rules) / sizeof(rules[0]);
	ck_assert_int_eq(
	    bg_organisations_init(&draft.organisations, orgs, 2, NULL), 0);
	ck_assert_int_eq(bg_snapshot_assemble(&snapshot, &draft, NULL), 0);
	bg_organisations_release(draft.organisations);
}

/* Replaces the version in force. */
static void
apply_version(uint64_t version, const char *alpha_key, const char *beta_key)
{
	struct bg_snapshot *before = snapshot;

	build_version(version, alpha_key, beta_key);
	node1.mesh.snapshot = snapshot;
	node2.mesh.snapshot = snapshot;
	bg_snapshot_release(before);
}

static void
start_node(struct node *nd)
{
	node_start(nd, base);
	snprintf(nd->settings.headers.key, BG_HEADER_NAME_BYTES, "X-Key");
	snprintf(nd->settings.headers.organisation, BG_HEADER_NAME_BYTES,
	    "X-Organisation");
}

/* Calls enter at node1 and run at the server of node2, or of node1. */
static void
setup_nodes(int is_remote)
{
	struct node *server = is_remote ? &node2 : &node1;

	base = event_base_new();
	build_version(1, KEY, OTHER_KEY);
	start_node(&node1);
	start_node(&node2);
	node_set_roster(&node1, &server, 1);
	client_open(&cl, base, bg_proxy_port(node1.proxy));
}

static void
setup(void)
{
	setup_nodes(1);
}

static void
teardown(void)
{
	client_close(&cl);
	node_stop(&node1);
	node_stop(&node2);
	bg_snapshot_release(snapshot);
	event_base_free(base);
}

static int
get(const char *path, const char *headers)
{
	client_send(&cl, "GET %s HTTP/1.1\r\nHost: x\r\n%s\r\n", path, headers);
	WAIT(base, client_has_response(&cl));
	return client_status(&cl);
}

static size_t
count_in_head(const char *text)
{
	const char *pos = node2.backend.last_head;
	size_t n = 0;

	while ((pos = strcasestr(pos, text)) != NULL) {
		pos += strlen(text);
		n++;
	}
	return n;
}

/* 1 if the lines since the last use of this function have the text. */
static int
is_logged(const char *text)
{
	static char output[1 << 18];
	ssize_t n = read(log_fds[0], output, sizeof(output) - 1);

	output[n > 0 ? n : 0] = '\0';
	return strstr(output, text) != NULL;
}

/* Requests with the key of alpha, and attempts to be another organisation. */
static const char *const GRANTED[] = {
    "X-Key: " KEY "\r\n",
    "x-KEY:\t" KEY " \r\n",
    "X-Key: " KEY "\r\nX-Key: " KEY "\r\n",
    "X-Organisation: beta\r\nX-Key: " KEY "\r\n",
    "x-organisation: beta\r\nX-ORGANISATION: gamma\r\nX-Key: " KEY "\r\n",
    "X-Key: " KEY "\r\nConnection: X-Organisation\r\nX-Organisation: b\r\n",
};

/* Guards against a key that reaches the server, and against an organisation
 * that the caller chooses. */
START_TEST(server_gets_the_organisation_and_no_key)
{
	setup();
	ck_assert_int_eq(get("/lookup/1", GRANTED[_i]), 200);
	ck_assert_uint_eq(count_in_head("secret"), 0);
	ck_assert_uint_eq(count_in_head("X-Key"), 0);
	ck_assert_uint_eq(count_in_head("X-Organisation"), 1);
	ck_assert_uint_eq(count_in_head("X-Organisation: alpha\r\n"), 1);
	teardown();
}
END_TEST

static const char *const REFUSED[] = {
    "",
    "X-Key:\r\n",
    "X-Key: wrong-secret\r\n",
    "X-Key: " KEY "x\r\n",
    "X-Key: " KEY "\r\nx-key: " OTHER_KEY "\r\n",
    "X-Key: " KEY ", " OTHER_KEY "\r\n",
    "X-Organisation: alpha\r\n",
    "Authorization: " KEY "\r\n",
    /* The depth of a call does not prove that a server makes it. */
    "X-Call-Depth: 1\r\n",
};

/* Guards against a request that runs without a valid key, and against an error
 * page, a metric or a log line that shows a key. */
START_TEST(request_without_a_valid_key_is_refused)
{
	char *metrics;
	size_t bytes;

	setup();
	ck_assert_int_eq(get("/lookup/1", REFUSED[_i]), 401);
	ck_assert(client_has_header(&cl, "Burdock-Outcome: not-run"));
	ck_assert(client_has_header(&cl, "WWW-Authenticate: "));
	ck_assert_ptr_nonnull(strstr(client_body(&cl), "key"));
	ck_assert_ptr_null(strstr(cl.text, "secret"));
	ck_assert_int_eq(node2.backend.requests, 0);
	ck_assert_int_eq(bg_counter_render(&metrics, &bytes), 0);
	ck_assert_ptr_nonnull(strstr(metrics, "burdock_access_refused_total{"));
	ck_assert_ptr_null(strstr(metrics, "secret"));
	free(metrics);
	ck_assert(!is_logged("secret"));
	teardown();
}
END_TEST

/* Guards against a 401 whose cause cannot be found by the id of the request. */
START_TEST(refusal_is_logged_with_its_reason)
{
	setup();
	get("/lookup/1", "X-Request-Id: r-17\r\nX-Key: wrong-secret\r\n");
	ck_assert(is_logged("ended request=r-17 status=401 outcome=1 "));
	get("/lookup/1", "X-Request-Id: r-18\r\n");
	ck_assert(is_logged(
	    "reason=\"the route needs a key, and the request has none\""));
	teardown();
}
END_TEST

/* Guards against a trailer that stands in for a header: as the key, or as the
 * organisation at the server. */
START_TEST(trailers_are_ignored)
{
	setup();
	client_send(&cl,
	    "POST /cut HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
	    "X-Key: " KEY "\r\n\r\n2\r\nab\r\n0\r\nX-Organisation: beta\r\n"
	    "X-Key: " OTHER_KEY "\r\n\r\n");
	WAIT(base, client_has_response(&cl) || cl.is_closed);
	if (client_status(&cl) == 200) {
		ck_assert_uint_eq(count_in_head("secret"), 0);
		ck_assert_uint_eq(count_in_head("X-Organisation"), 1);
		ck_assert_uint_eq(count_in_head("X-Organisation: alpha"), 1);
	} else
		ck_assert_int_eq(node2.backend.requests, 0);
	teardown();
}
END_TEST

/* Guards against a key that is taken from a trailer. */
START_TEST(key_in_a_trailer_does_not_count)
{
	setup();
	client_send(&cl,
	    "POST /cut HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
	    "\r\n2\r\nab\r\n0\r\nX-Key: " KEY "\r\n\r\n");
	WAIT(base, client_has_response(&cl) || cl.is_closed);
	ck_assert_int_ne(client_status(&cl), 200);
	ck_assert_int_eq(node2.backend.requests, 0);
	teardown();
}
END_TEST

/* Guards against a public route that needs a key, or passes on what a caller
 * claims to be. */
START_TEST(public_route_needs_no_key)
{
	setup();
	ck_assert_int_eq(get("/open/1", ""), 200);
	ck_assert_int_eq(
	    get("/open/1", "X-Organisation: beta\r\nX-Key: x-secret\r\n"), 200);
	ck_assert_uint_eq(count_in_head("X-Organisation"), 0);
	ck_assert_uint_eq(count_in_head("secret"), 0);
	teardown();
}
END_TEST

/* Guards against a connection on which a key counts for later requests, or
 * after a version took it away, and against the last key of an organisation,
 * without which any key would count. */
START_TEST(each_request_on_a_connection_is_checked)
{
	setup();
	ck_assert_int_eq(get("/lookup/1", "X-Key: " KEY "\r\n"), 200);
	ck_assert_int_eq(get("/lookup/1", ""), 401);
	apply_version(2, NULL, OTHER_KEY);
	ck_assert_int_eq(get("/lookup/1", "X-Key: " KEY "\r\n"), 401);
	ck_assert_int_eq(get("/lookup/1", "X-Key: " OTHER_KEY "\r\n"), 200);
	apply_version(3, NULL, NULL);
	ck_assert_int_eq(get("/lookup/1", "X-Key: " OTHER_KEY "\r\n"), 401);
	apply_version(4, OTHER_KEY, KEY);
	ck_assert_int_eq(get("/lookup/1", "X-Key: " OTHER_KEY "\r\n"), 200);
	ck_assert_uint_eq(count_in_head("X-Organisation: alpha\r\n"), 1);
	ck_assert_int_eq(cl.is_closed, 0);
	teardown();
}
END_TEST

/* Guards against a 401 of a node that knows no configuration, and so cannot
 * tell whether the key is valid. */
START_TEST(node_without_a_configuration_answers_503)
{
	setup();
	node1.mesh.is_synced = 0;
	ck_assert_int_eq(get("/lookup/1", "X-Key: " KEY "\r\n"), 503);
	ck_assert_int_eq(get("/lookup/1", ""), 503);
	teardown();
}
END_TEST

/* Guards against calls of a running request that are refused for lack of a key,
 * and against a call that claims to be one after the request has ended. */
START_TEST(calls_of_servers_carry_no_key)
{
	struct client parent;

	setup_nodes(0);
	client_open(&parent, base, bg_proxy_port(node1.proxy));
	node1.backend.mode = BACKEND_HOLD;
	client_send(&parent,
	    "GET /lookup/1 HTTP/1.1\r\nHost: x\r\nX-Request-Id: p1\r\n"
	    "X-Key: " KEY "\r\n\r\n");
	WAIT(base, node1.backend.held == 1);
	node1.backend.mode = BACKEND_OK;
	ck_assert_int_eq(get("/lookup/2", "X-Request-Id: p1.1\r\n"), 200);
	ck_assert_ptr_null(
	    strcasestr(node1.backend.last_head, "X-Organisation"));
	ck_assert_int_eq(get("/lookup/2", "X-Request-Id: p1\r\n"), 401);
	ck_assert_int_eq(get("/lookup/2", "X-Request-Id: p10.1\r\n"), 503);
	backend_release_held(&node1.backend, BACKEND_OK);
	WAIT(base, client_has_response(&parent));
	ck_assert_int_eq(get("/lookup/2", "X-Request-Id: p1.1\r\n"), 503);
	client_close(&parent);
	teardown();
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("keys");

	if (pipe(log_fds) != 0 || fcntl(log_fds[0], F_SETFL, O_NONBLOCK) != 0 ||
	    bg_log_init("debug", "node") != 0)
		return 1;
	bg_log_set_descriptor(log_fds[1]);
	tcase_set_timeout(tc, 20);
	tcase_add_loop_test(tc, server_gets_the_organisation_and_no_key, 0,
	    sizeof(GRANTED) / sizeof(GRANTED[0]));
	tcase_add_loop_test(tc, request_without_a_valid_key_is_refused, 0,
	    sizeof(REFUSED) / sizeof(REFUSED[0]));
	tcase_add_test(tc, refusal_is_logged_with_its_reason);
	tcase_add_test(tc, trailers_are_ignored);
	tcase_add_test(tc, key_in_a_trailer_does_not_count);
	tcase_add_test(tc, public_route_needs_no_key);
	tcase_add_test(tc, each_request_on_a_connection_is_checked);
	tcase_add_test(tc, node_without_a_configuration_answers_503);
	tcase_add_test(tc, calls_of_servers_carry_no_key);
	return run_suite("keys", tc);
}
