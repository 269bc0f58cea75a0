#include <check.h>

#include "node.h"
#include "suite.h"

/* Broken responses of a backend server, through real nodes. The server keeps
 * the connection open after each of them, so a node that waits for more of it
 * would answer at the deadline only. */

#define BODY "secret-body"
#define OK_LINE "HTTP/1.1 200 OK\r\n"
#define LENGTH "Content-Length: 11\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

struct raw_response {
	const char *name;
	const char *text;
	size_t bytes;
};

#define RESPONSE(name, text)                 \
	{                                    \
		name, text, sizeof(text) - 1 \
	}

static const struct raw_response broken_responses[] = {
    RESPONSE("status 000", "HTTP/1.1 000 X\r\n" LENGTH "\r\n" BODY),
    RESPONSE("status 600", "HTTP/1.1 600 X\r\n" LENGTH "\r\n" BODY),
    RESPONSE("blank in a name", OK_LINE "X Na: secret\r\n" LENGTH "\r\n" BODY),
    RESPONSE(
	"blank after a name", OK_LINE "X-Na : secret\r\n" LENGTH "\r\n" BODY),
    RESPONSE("tab in a name", OK_LINE "X\tNa: secret\r\n" LENGTH "\r\n" BODY),
    RESPONSE("DEL in a name", OK_LINE "X\x7fNa: secret\r\n" LENGTH "\r\n" BODY),
    RESPONSE("control byte in a name",
	OK_LINE "X\x01Na: secret\r\n" LENGTH "\r\n" BODY),
    RESPONSE("NUL in a name", OK_LINE "X\0Na: secret\r\n" LENGTH "\r\n" BODY),
    RESPONSE("blank after Content-Length",
	OK_LINE "Content-Length : 11\r\n\r\n" BODY),
    RESPONSE("blank after Transfer-Encoding",
	OK_LINE "Transfer-Encoding : chunked\r\n\r\n"
		"b\r\n" BODY "\r\n0\r\n\r\n"),
    RESPONSE("blank in a name of a failure",
	"HTTP/1.1 500 X\r\nX Na: secret\r\n" LENGTH "\r\n" BODY),
    RESPONSE("blank in a name of a refusal",
	"HTTP/1.1 503 X\r\nX-Shed: 1\r\nX Na: secret\r\n" LENGTH "\r\n" BODY),
    RESPONSE(
	"another protocol version", "HTTP/2.0 200 OK\r\n" LENGTH "\r\n" BODY),
    RESPONSE("two blanks before the status",
	"HTTP/1.1  200 OK\r\n" LENGTH "\r\n" BODY),
    RESPONSE("control byte in the reason phrase",
	"HTTP/1.1 200 O\x01K\r\n" LENGTH "\r\n" BODY),
    RESPONSE("control byte in a value",
	OK_LINE "X-Na: secret\x01\r\n" LENGTH "\r\n" BODY),
    RESPONSE(
	"DEL in a value", OK_LINE "X-Na: secret\x7f\r\n" LENGTH "\r\n" BODY),
    RESPONSE(
	"NUL in a value", OK_LINE "X-Na: secret\0x\r\n" LENGTH "\r\n" BODY),
    RESPONSE("head that stops in a broken line", OK_LINE "X Na"),
    RESPONSE("empty length", OK_LINE "Content-Length:\r\n\r\n" BODY),
    RESPONSE("length with a sign", OK_LINE "Content-Length: +11\r\n\r\n" BODY),
    RESPONSE("two lengths in one value",
	OK_LINE "Content-Length: 11, 11\r\n\r\n" BODY),
    RESPONSE("two transfer codings",
	OK_LINE "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n\r\n"
		"b\r\n" BODY "\r\n0\r\n\r\n"),
    RESPONSE("transfer coding in HTTP/1.0",
	"HTTP/1.0 200 OK\r\n" CHUNKED "b\r\n" BODY "\r\n0\r\n\r\n"),
    RESPONSE("protocol that was not asked for",
	"HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n"),
    RESPONSE("interim response with a blank in a name",
	"HTTP/1.1 100 X\r\nX Na: secret\r\n\r\n" OK_LINE LENGTH "\r\n" BODY),
    RESPONSE("chunk size above 64 bits",
	OK_LINE CHUNKED "1000000000000000b\r\n" BODY "\r\n0\r\n\r\n"),
    RESPONSE("chunk size above the limit", OK_LINE CHUNKED "ffffffff\r\n" BODY),
    RESPONSE("blank in a name of a trailer",
	OK_LINE CHUNKED "b\r\n" BODY "\r\n0\r\nX Na: secret\r\n\r\n"),
};

static const struct raw_response sound_responses[] = {
    RESPONSE("interim responses",
	"HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\nX-Na: secret\r\n\r\n" OK_LINE
	"Content-Length: 5\r\n\r\nhello"),
    RESPONSE(
	"trailer", OK_LINE CHUNKED "5\r\nhello\r\n0\r\nX-Na: secret\r\n\r\n"),
    RESPONSE("trailer without a value",
	OK_LINE CHUNKED "5\r\nhello\r\n0\r\nX-Na:\r\n\r\n"),
    RESPONSE("chunk extension", OK_LINE CHUNKED "5;a=b\r\nhello\r\n0\r\n\r\n"),
};

/* How the call reaches the server. */
struct path {
	int is_remote; /* through another node */
	int is_order;  /* not idempotent */
};

static const struct path paths[] = {{0, 0}, {0, 1}, {1, 0}, {1, 1}};

/* The node picks one of two servers at random, until it picks the other one. */
#define LOOKUPS_MAX 200

#define COUNT(array) ((int)(sizeof(array) / sizeof((array)[0])))

static struct event_base *base;
static struct node node1; /* its ingress receives all calls */
static struct node node2;
static struct client cl;

static void
setup(void)
{
	base = event_base_new();
	build_snapshot();
	node_start(&node1, base);
	node_start(&node2, base);
	client_open(&cl, base, bg_proxy_port(node1.proxy));
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

static void
send_lookup(void)
{
	client_send(&cl, "GET /lookup HTTP/1.1\r\nHost: x\r\n\r\n");
	WAIT(base, client_has_response(&cl));
}

static void
send_order(void)
{
	client_send(&cl,
	    "POST /cut HTTP/1.1\r\nHost: x\r\n"
	    "Content-Length: 4\r\n\r\nbolt");
	WAIT(base, client_has_response(&cl));
}

static void
send_call(const struct path *path)
{
	if (path->is_order)
		send_order();
	else
		send_lookup();
}

static void
set_response(struct node *nd, const struct raw_response *rsp)
{
	nd->backend.mode = BACKEND_RAW;
	nd->backend.raw = rsp->text;
	nd->backend.raw_bytes = rsp->bytes;
}

/* Guards against a broken response that is forwarded, against a call that waits
 * for more of it until its deadline, and against reusing the connection. */
START_TEST(broken_response_gives_unknown)
{
	const struct raw_response *rsp = &broken_responses[_i / COUNT(paths)];
	const struct path *path = &paths[_i % COUNT(paths)];
	struct node *nd = path->is_remote ? &node2 : &node1;
	int accepted;

	node_set_roster(&node1, &nd, 1);
	set_response(nd, rsp);
	send_call(path);
	ck_assert_msg(client_status(&cl) == 502, "%s: %s", rsp->name, cl.text);
	ck_assert(client_has_header(&cl, "Burdock-Outcome: unknown"));
	ck_assert(!client_has_header(&cl, "Retry-After"));
	ck_assert_msg(
	    strstr(cl.text, "secret") == NULL, "%s: %s", rsp->name, cl.text);
	ck_assert_int_eq(nd->backend.requests, 1);
	ck_assert_int_eq(nd->observed.failed, 1);
	nd->backend.mode = BACKEND_OK;
	accepted = nd->backend.accepted;
	send_call(path);
	ck_assert_int_eq(client_status(&cl), 200);
	ck_assert_str_eq(client_body(&cl), "hello");
	ck_assert_int_gt(nd->backend.accepted, accepted);
}
END_TEST

/* Guards against an idempotent call that fails although another server could
 * run it. */
START_TEST(lookup_goes_to_another_server)
{
	struct node *both[] = {&node1, &node2};
	int i;

	node_set_roster(&node1, both, 2);
	set_response(&node1, &broken_responses[_i]);
	for (i = 0; i < LOOKUPS_MAX && node1.backend.requests == 0; i++) {
		send_lookup();
		ck_assert_int_eq(client_status(&cl), 200);
		ck_assert_str_eq(client_body(&cl), "hello");
	}
	ck_assert_int_eq(node1.backend.requests, 1);
}
END_TEST

/* Guards against a server that counts as healthy, or has its version taken
 * from such a head, since its answers to probes are broken but not with 5xx. */
START_TEST(broken_probe_is_a_failure)
{
	static const struct raw_response responses[] = {
	    RESPONSE("status 000",
		"HTTP/1.1 000 X\r\nX-Version: v2\r\n"
		"Content-Length: 0\r\n\r\n"),
	    RESPONSE("blank in a name",
		OK_LINE
		"X-Version: v2\r\nX Na: a\r\nContent-Length: 0\r\n\r\n"),
	};

	set_response(&node1, &responses[_i]);
	node1.backend.probe_mode = BACKEND_RAW;
	WAIT(base, node1.mesh.state != BG_MEMBER_READY);
	ck_assert_str_ne(node1.mesh.version, "v2");
	node1.backend.probe_mode = BACKEND_OK;
	WAIT(base, node1.mesh.state == BG_MEMBER_READY);
	ck_assert_str_eq(node1.mesh.version, "v1");
}
END_TEST

/* Guards against a sound response that is withheld or changed because it has
 * parts that few responses have. */
START_TEST(sound_response_is_forwarded)
{
	const struct raw_response *rsp = &sound_responses[_i / COUNT(paths)];
	const struct path *path = &paths[_i % COUNT(paths)];
	struct node *nd = path->is_remote ? &node2 : &node1;

	node_set_roster(&node1, &nd, 1);
	set_response(nd, rsp);
	send_call(path);
	ck_assert_msg(client_status(&cl) == 200, "%s: %s", rsp->name, cl.text);
	ck_assert_str_eq(client_body(&cl), "hello");
	ck_assert(client_has_header(&cl, "Burdock-Outcome: done"));
	ck_assert(!client_has_header(&cl, "X-Na"));
	ck_assert_int_eq(nd->observed.failed, 0);
}
END_TEST

/* Guards against a HEAD that waits for a body, since a response to another
 * request came before its own. */
START_TEST(head_is_answered_after_a_foreign_response)
{
	static const struct raw_response responses = RESPONSE("foreign and own",
	    OK_LINE "X-Request-Id: other\r\nContent-Length: 5\r\n\r\n" OK_LINE
		    "X-Request-Id: own\r\nContent-Length: 5\r\n\r\n");
	struct node *self = &node1;

	node_set_roster(&node1, &self, 1);
	set_response(&node1, &responses);
	client_send(&cl,
	    "HEAD /lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: own\r\n\r\n");
	WAIT(base, client_has_response(&cl));
	ck_assert_int_eq(client_status(&cl), 200);
	ck_assert(client_has_header(&cl, "X-Request-Id: own"));
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("broken responses");

	tcase_set_timeout(tc, 60);
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_loop_test(tc, broken_response_gives_unknown, 0,
	    COUNT(broken_responses) * COUNT(paths));
	tcase_add_loop_test(
	    tc, lookup_goes_to_another_server, 0, COUNT(broken_responses));
	tcase_add_loop_test(tc, broken_probe_is_a_failure, 0, 2);
	tcase_add_test(tc, head_is_answered_after_a_foreign_response);
	tcase_add_loop_test(tc, sound_response_is_forwarded, 0,
	    COUNT(sound_responses) * COUNT(paths));
	return run_suite("broken responses", tc);
}
