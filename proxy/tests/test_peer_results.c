#include <check.h>

#include "node.h"
#include "suite.h"

/* Results of calls that a node gets from another one, whose build may be older
 * or newer. The other node is a link server that replies with a set result. */

/* The node picks one of two servers at random, until it picks the other one. */
#define LOOKUPS_MAX 200

#define COUNT(array) ((int)(sizeof(array) / sizeof((array)[0])))

struct peer {
	struct bg_link_server *server;
	struct bg_xcall_res res;
	int calls;
	char address[BG_ADDRESS_BYTES];
};

static struct event_base *base;
static struct node node1; /* its ingress receives all calls */
static struct peer peer;
static struct client cl;

static void
reply_with_result(void *arg, struct bg_rpc *rpc, void *args)
{
	struct peer *pr = arg;

	pr->calls++;
	bg_rpc_reply(rpc, (xdrproc_t)xdr_bg_xcall_res, &pr->res);
}

static void
peer_start(struct peer *pr)
{
	struct bg_rpc_handler handler = {BG_PROC_CALL,
	    (xdrproc_t)xdr_bg_xcall_args, sizeof(struct bg_xcall_args),
	    reply_with_result, pr};

	memset(pr, 0, sizeof(*pr));
	ck_assert_int_eq(
	    bg_link_server_init(&pr->server, base, "127.0.0.1:0", NULL), 0);
	bg_link_server_add_handler(pr->server, &handler);
	snprintf(pr->address, sizeof(pr->address), "127.0.0.1:%u",
	    bg_link_server_port(pr->server));
	pr->res.reason = (char *)"";
	pr->res.server_version = (char *)"v1";
	pr->res.server_id = (char *)"peer";
	pr->res.body.body_val = (char *)"secret";
	pr->res.body.body_len = 6;
}

static void
setup(void)
{
	struct node *self = &node1;

	base = event_base_new();
	build_snapshot();
	node_start(&node1, base);
	peer_start(&peer);
	node_set_roster(&node1, &self, 1);
	snprintf(node1.mesh.roster.members[0].address, BG_ADDRESS_BYTES, "%s",
	    peer.address);
	client_open(&cl, base, bg_proxy_port(node1.proxy));
}

static void
teardown(void)
{
	client_close(&cl);
	node_stop(&node1);
	bg_link_server_free(peer.server);
	bg_snapshot_release(snapshot);
	event_base_free(base);
}

static void
send_call(int is_order)
{
	if (is_order)
		client_send(&cl,
		    "POST /cut HTTP/1.1\r\nHost: x\r\n"
		    "Content-Length: 4\r\n\r\nbolt");
	else
		client_send(&cl, "GET /lookup HTTP/1.1\r\nHost: x\r\n\r\n");
	WAIT(base, client_has_response(&cl));
}

static void
expect_unknown(void)
{
	ck_assert_msg(client_status(&cl) == 502, "%s", cl.text);
	ck_assert(client_has_header(&cl, "Burdock-Outcome: unknown"));
	ck_assert_msg(strstr(cl.text, "secret") == NULL, "%s", cl.text);
}

static const struct bg_xheader HEADERS[] = {
    {(char *)"X Name", (char *)"secret"},
    {(char *)"X-Name ", (char *)"secret"},
    {(char *)"", (char *)"secret"},
    {(char *)"X\x01", (char *)"secret"},
    {(char *)"X-Name", (char *)"secret\x01"},
    {(char *)"X-Name", (char *)"secret\r\nX-Other: a"},
    {(char *)"X-Name", (char *)"secret\n"},
};

/* Guards against a header that HTTP forbids and that another node lets pass. */
START_TEST(result_with_an_invalid_header_gives_unknown)
{
	struct bg_xheader header = HEADERS[_i / 2];

	peer.res.http_status = 200;
	peer.res.headers.headers_val = &header;
	peer.res.headers.headers_len = 1;
	send_call(_i % 2);
	expect_unknown();
}
END_TEST

static const uint32_t STATUSES[] = {0, 1, 99, 100, 101, 199, 600, 999, 65536};

/* Guards against a status that HTTP does not define or that is not final. */
START_TEST(result_with_an_invalid_status_gives_unknown)
{
	peer.res.outcome = _i % 4 < 2 ? BG_XOUTCOME_DONE : BG_XOUTCOME_UNKNOWN;
	peer.res.http_status = STATUSES[_i / 4];
	send_call(_i % 2);
	expect_unknown();
}
END_TEST

/* Guards against a result whose outcome or refusal this build does not know. */
START_TEST(result_with_an_unknown_number_gives_unknown)
{
	peer.res.http_status = 200;
	if (_i < 2)
		peer.res.outcome = (enum bg_xoutcome)77;
	else {
		peer.res.outcome = BG_XOUTCOME_NOT_RUN;
		peer.res.refusal = (enum bg_xrefusal)(_i < 4 ? 77 : -1);
	}
	send_call(_i % 2);
	expect_unknown();
}
END_TEST

/* Guards against "has not run" for a call that the other node has as a whole
 * and asks for more of (P6). */
START_TEST(request_for_more_of_a_whole_call_gives_unknown)
{
	peer.res.outcome = BG_XOUTCOME_CONTINUE;
	peer.res.piece_bytes = 100;
	if (_i < 2)
		send_call(_i);
	else
		client_send(&cl,
		    "POST /cut HTTP/1.1\r\nHost: x\r\n"
		    "Content-Length: 0\r\n\r\n");
	WAIT(base, client_has_response(&cl));
	expect_unknown();
	ck_assert_int_eq(peer.calls, 1);
}
END_TEST

/* Guards against an idempotent call that fails although another node could
 * serve it. */
START_TEST(lookup_goes_to_another_node)
{
	struct node *twice[] = {&node1, &node1};
	int i;

	node_set_roster(&node1, twice, 2);
	snprintf(node1.mesh.roster.members[1].address, BG_ADDRESS_BYTES, "%s",
	    peer.address);
	for (i = 0; i < LOOKUPS_MAX && peer.calls == 0; i++) {
		send_call(0);
		ck_assert_int_eq(client_status(&cl), 200);
		ck_assert_str_eq(client_body(&cl), "hello");
	}
	ck_assert_int_eq(peer.calls, 1);
}
END_TEST

/* Guards against rejecting the results of a sound node. */
START_TEST(valid_result_is_forwarded)
{
	struct bg_xheader header = {(char *)"X-Name", (char *)"a\tb \xc3\xa9"};

	peer.res.http_status = 200;
	peer.res.headers.headers_val = &header;
	peer.res.headers.headers_len = 1;
	send_call(_i);
	ck_assert_int_eq(client_status(&cl), 200);
	ck_assert(client_has_header(&cl, "X-Name: a\tb \xc3\xa9"));
	ck_assert_str_eq(client_body(&cl), "secret");
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("peer results");

	tcase_set_timeout(tc, 60);
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_loop_test(tc, result_with_an_invalid_header_gives_unknown, 0,
	    COUNT(HEADERS) * 2);
	tcase_add_loop_test(tc, result_with_an_invalid_status_gives_unknown, 0,
	    COUNT(STATUSES) * 4);
	tcase_add_loop_test(
	    tc, result_with_an_unknown_number_gives_unknown, 0, 6);
	tcase_add_loop_test(
	    tc, request_for_more_of_a_whole_call_gives_unknown, 0, 3);
	tcase_add_test(tc, lookup_goes_to_another_node);
	tcase_add_loop_test(tc, valid_result_is_forwarded, 0, 2);
	return run_suite("peer results", tc);
}
