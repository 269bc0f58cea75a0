/* A lookup whose kept connection closed, and which the gatekeeper may send
 * again on a new one. */

#include <check.h>

#include "node.h"
#include "proxy_internal.h"
#include "suite.h"

#include "gatekeeper/gate_call.h"

static struct event_base *base;
static struct node node1;
static struct client cl;

static void
setup(void)
{
	struct node *self = &node1;

	base = event_base_new();
	build_snapshot();
	node_start(&node1, base);
	node_set_roster(&node1, &self, 1);
	client_open(&cl, base, bg_proxy_port(node1.proxy));
}

static void
teardown(void)
{
	client_close(&cl);
	node_stop(&node1);
	bg_snapshot_release(snapshot);
	event_base_free(base);
}

/* Sends a lookup on a kept connection; the server receives it. */
static void
send_lookup(void)
{
	client_send(&cl, "GET /lookup HTTP/1.1\r\nHost: x\r\n\r\n");
	WAIT(base, client_has_response(&cl));
	node1.backend.mode = BACKEND_HOLD;
	client_send(&cl, "GET /lookup HTTP/1.1\r\nHost: x\r\n\r\n");
	WAIT(base, node1.backend.held == 1);
}

/* Guards against "has not run" for a lookup that the server received before it
 * left: it is not sent again, and may have run. */
START_TEST(lookup_that_a_leaving_server_received_may_have_run)
{
	send_lookup();
	node1.proxy->gatekeeper->server.state = BG_SERVER_GONE;
	node1.proxy->gatekeeper->server.is_drained = 1;
	backend_release_held(&node1.backend, BACKEND_CLOSE);
	WAIT(base, client_has_response(&cl));
	ck_assert_int_eq(client_status(&cl), 502);
	ck_assert(client_has_header(&cl, "Burdock-Outcome: unknown"));
	ck_assert_int_eq(node1.backend.requests, 2);
}
END_TEST

START_TEST(lookup_is_sent_again_to_a_ready_server)
{
	send_lookup();
	node1.backend.mode = BACKEND_OK;
	backend_release_held(&node1.backend, BACKEND_CLOSE);
	WAIT(base, client_has_response(&cl));
	ck_assert_int_eq(client_status(&cl), 200);
	ck_assert_int_eq(node1.backend.requests, 3);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("resend");

	tcase_set_timeout(tc, 60);
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, lookup_that_a_leaving_server_received_may_have_run);
	tcase_add_test(tc, lookup_is_sent_again_to_a_ready_server);
	return run_suite("resend", tc);
}
