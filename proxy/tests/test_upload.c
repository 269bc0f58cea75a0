#include <check.h>
#include <signal.h>

#include "node.h"
#include "relay.h"
#include "suite.h"

/* Uploads enter at node1 and run at the server of node2, behind a relay that
 * stands in for the link of node2. */

#define BODY_BYTES 60000
/* 11 Mbit/s */
#define LINK_BYTES_PER_S 1375000
#define UPLOADS 12

static struct event_base *base;
static struct node node1;
static struct node node2;
static struct client clients[UPLOADS];
static struct client small;
static struct relay rly;
static char body[BODY_BYTES + 1];

static void
setup_with_rate(size_t bytes_per_s)
{
	struct node *other = &node2;

	memset(body, 'b', BODY_BYTES);
	base = event_base_new();
	build_snapshot();
	node_start(&node1, base);
	node_start(&node2, base);
	relay_start(&rly, base, bg_link_server_port(node2.server));
	if (bytes_per_s != 0)
		relay_set_rate(&rly, bytes_per_s);
	node_set_roster(&node1, &other, 1);
	snprintf(node1.mesh.roster.members[0].address, BG_ADDRESS_BYTES,
	    "127.0.0.1:%u", rly.port);
}

static void
setup(void)
{
	setup_with_rate(0);
}

static void
teardown(void)
{
	node_stop(&node1);
	node_stop(&node2);
	relay_stop(&rly);
	bg_snapshot_release(snapshot);
	event_base_free(base);
}

static void
open_client(struct client *cl)
{
	client_open(cl, base, bg_proxy_port(node1.proxy));
}

static void
send_upload(struct client *cl, size_t bytes)
{
	client_send(cl,
	    "POST /cut HTTP/1.1\r\nHost: x\r\nContent-Length: %zu\r\n\r\n",
	    bytes);
	bufferevent_write(cl->bev, body, bytes);
}

/* Guards against a body that is changed or cut where it is put together. */
START_TEST(body_arrives_whole)
{
	struct client *cl = &clients[0];
	size_t sizes[] = {8191, 8192, 8193, 27500, BODY_BYTES};
	size_t i;

	setup();
	node2.settings.limits.body_bytes = BODY_BYTES;
	open_client(cl);
	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		send_upload(cl, sizes[i]);
		WAIT(base, client_has_response(cl));
		ck_assert_int_eq(client_status(cl), 200);
		ck_assert_uint_eq(node2.backend.last_body_bytes, sizes[i]);
		ck_assert(node2.backend.is_body_uniform);
	}
	ck_assert_int_eq(node2.backend.requests, (int)i);
	client_close(cl);
	teardown();
}
END_TEST

/* Pattern: uploads over a link of 11 Mbit/s. Guards against small calls that
 * wait behind bodies: twelve bodies take half a second of the link. */
START_TEST(small_call_passes_bodies)
{
	uint64_t started_ms;
	int i;

	setup_with_rate(LINK_BYTES_PER_S);
	open_client(&small);
	client_send(&small, "GET /lookup HTTP/1.1\r\nHost: x\r\n\r\n");
	WAIT(base, client_has_response(&small));
	for (i = 0; i < UPLOADS; i++) {
		open_client(&clients[i]);
		send_upload(&clients[i], BODY_BYTES);
	}
	started_ms = bg_clock_now_ms() + 100;
	WAIT(base, bg_clock_now_ms() > started_ms);
	started_ms = bg_clock_now_ms();
	client_send(&small, "GET /lookup HTTP/1.1\r\nHost: x\r\n\r\n");
	WAIT(base, client_has_response(&small));
	ck_assert_int_eq(client_status(&small), 200);
	ck_assert_uint_le(bg_clock_now_ms() - started_ms, 150);
	for (i = 0; i < UPLOADS; i++) {
		WAIT(base, client_has_response(&clients[i]));
		client_close(&clients[i]);
	}
	client_close(&small);
	teardown();
}
END_TEST

/* Pattern: more uploads than the link carries in time. Guards against a body
 * that crosses the link for a call that is over, and against the outcome
 * unknown for a call whose body was not sent. */
START_TEST(upload_without_time_is_refused)
{
	int refused = 0;
	int served = 0;
	int i;

	setup_with_rate(LINK_BYTES_PER_S / 4);
	for (i = 0; i < UPLOADS; i++) {
		open_client(&clients[i]);
		send_upload(&clients[i], BODY_BYTES);
	}
	for (i = 0; i < UPLOADS; i++) {
		WAIT(base, client_has_response(&clients[i]));
		served += client_status(&clients[i]) == 200;
		refused += client_status(&clients[i]) == 503;
		client_close(&clients[i]);
	}
	ck_assert_int_ge(served, 2);
	ck_assert_int_ge(refused, 4);
	ck_assert_int_eq(served + refused, UPLOADS);
	ck_assert_int_eq(node2.backend.requests, served);
	teardown();
}
END_TEST

/* Guards against an answer 502 or 504 to a call that provably has not run: its
 * caller may not send it again. */
START_TEST(upload_on_a_silent_link_gives_not_run)
{
	struct client *cl = &clients[0];

	setup();
	open_client(cl);
	client_send(cl, "GET /lookup HTTP/1.1\r\nHost: x\r\n\r\n");
	WAIT(base, client_has_response(cl));
	relay_silence(&rly);
	bg_link_server_stop_listening(node2.server);
	send_upload(cl, BODY_BYTES);
	WAIT(base, client_has_response(cl));
	ck_assert_int_eq(client_status(cl), 503);
	ck_assert(client_has_header(cl, "Burdock-Outcome: not-run"));
	ck_assert_int_eq(node2.backend.requests, 1);
	client_close(cl);
	teardown();
}
END_TEST

/* Guards against a caller that leaves in the middle of its body and whose call
 * runs, or keeps the window of the link. */
START_TEST(caller_that_leaves_ends_its_upload)
{
	uint64_t end_ms;
	int i;

	setup_with_rate(LINK_BYTES_PER_S / 4);
	for (i = 0; i < 3; i++) {
		open_client(&clients[i]);
		send_upload(&clients[i], BODY_BYTES);
	}
	end_ms = bg_clock_now_ms() + 60;
	WAIT(base, bg_clock_now_ms() > end_ms);
	for (i = 0; i < 3; i++)
		client_close(&clients[i]);
	end_ms = bg_clock_now_ms() + 1000;
	WAIT(base, bg_clock_now_ms() > end_ms);
	ck_assert_int_eq(node2.backend.requests, 0);
	ck_assert(bg_proxy_is_idle(node2.proxy));
	open_client(&clients[0]);
	send_upload(&clients[0], BODY_BYTES);
	WAIT(base, client_has_response(&clients[0]));
	ck_assert_int_eq(client_status(&clients[0]), 200);
	client_close(&clients[0]);
	teardown();
}
END_TEST

/* Pattern: planned stop with bodies under way. Guards against an upload that
 * had begun to arrive and is cut off by the stop of its server's node. */
START_TEST(upload_under_way_survives_the_stop_of_a_node)
{
	struct client *cl = &clients[0];
	uint64_t end_ms;

	setup_with_rate(LINK_BYTES_PER_S / 4);
	node2.settings.limits.announce_ms = 0;
	open_client(cl);
	send_upload(cl, BODY_BYTES);
	end_ms = bg_clock_now_ms() + 60;
	WAIT(base, bg_clock_now_ms() > end_ms);
	node_drain(&node2);
	WAIT(base, client_has_response(cl));
	ck_assert_int_eq(client_status(cl), 200);
	WAIT(base, node2.is_drained);
	client_close(cl);
	teardown();
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("upload");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, body_arrives_whole);
	tcase_add_test(tc, small_call_passes_bodies);
	tcase_add_test(tc, upload_without_time_is_refused);
	tcase_add_test(tc, upload_on_a_silent_link_gives_not_run);
	tcase_add_test(tc, caller_that_leaves_ends_its_upload);
	tcase_add_test(tc, upload_under_way_survives_the_stop_of_a_node);
	return run_suite("upload", tc);
}
