/* A node beside a cold backend server, with real connections. */

#include <check.h>

#include "node.h"
#include "proxy_internal.h"
#include "suite.h"

#define RATE_MILLI 5000
#define WARMUP_MS 2000
#define LONG_WARMUP_MS 60000
#define LONG_TIMEOUT_MS 8000
#define SLOTS 6
#define CLIENTS 16
/* Time after which a caller's node offers calls again to a cold server that had
 * a few of them waiting. */
#define REPORTED_WAIT_MS 1000

static struct event_base *base;
static struct node node1;
static struct client clients[CLIENTS];
static uint64_t sequence;

static void
announce_done(void *arg, int code)
{
	*(int *)arg = code;
}

static void
announce(const char *id, uint64_t started_ms, uint32_t warmup_left_ms)
{
	struct bg_announcement ann;
	int code = -1;

	memset(&ann, 0, sizeof(ann));
	snprintf(ann.server_id, sizeof(ann.server_id), "%s", id);
	snprintf(ann.service, sizeof(ann.service), "atelier");
	snprintf(ann.server_version, sizeof(ann.server_version), "v1");
	ann.state = BG_ANNOUNCED_READY;
	ann.slots = SLOTS;
	ann.started_ms = started_ms;
	ann.has_started_ms = 1;
	ann.warmup_left_ms = warmup_left_ms;
	ann.has_warmup_left = 1;
	ann.sequence = ++sequence;
	bg_proxy_announce(node1.proxy, &ann, announce_done, &code);
	ck_assert_int_eq(code, 0);
}

static void
setup_with_rate(uint32_t rate_milli)
{
	struct node *self = &node1;
	int i;

	base = event_base_new();
	build_snapshot();
	snapshot->services[0].warmup_ms = WARMUP_MS;
	snapshot->services[0].warmup_milli_per_s = rate_milli;
	node_start(&node1, base);
	node_set_roster(&node1, &self, 1);
	node1.mesh.listener.snapshot(node1.mesh.listener.arg, snapshot);
	for (i = 0; i < CLIENTS; i++)
		client_open(&clients[i], base, bg_proxy_port(node1.proxy));
}

static void
setup(void)
{
	setup_with_rate(RATE_MILLI);
}

static void
teardown(void)
{
	int i;

	for (i = 0; i < CLIENTS; i++)
		client_close(&clients[i]);
	node_stop(&node1);
	bg_snapshot_release(snapshot);
	event_base_free(base);
}

static void
pass_time(uint32_t ms)
{
	uint64_t end_ms = bg_clock_now_ms() + ms;

	WAIT(base, bg_clock_now_ms() >= end_ms);
}

static int
count_status(int status)
{
	int n = 0;
	int i;

	for (i = 0; i < CLIENTS; i++)
		n += client_has_response(&clients[i]) &&
		    client_status(&clients[i]) == status;
	return n;
}

static void
get_with_all(void)
{
	int i;

	for (i = 0; i < CLIENTS; i++)
		client_send(
		    &clients[i], "GET /lookup HTTP/1.1\r\nHost: x\r\n\r\n");
}

/* Load: 16 calls at once for a server that has just started. Guards against
 * sending them all, and against refusals without a Retry-After. */
START_TEST(cold_server_gets_what_it_bears)
{
	int i;

	setup();
	announce("a", 1000, WARMUP_MS);
	get_with_all();
	WAIT(base, count_status(200) + count_status(503) == CLIENTS);
	/* Calls of a target of 500 ms wait for a start for less than that. */
	ck_assert_int_ge(node1.backend.requests, 1);
	ck_assert_int_le(node1.backend.requests, 1 + RATE_MILLI / 1000);
	ck_assert_int_eq(count_status(200), node1.backend.requests);
	for (i = 0; i < CLIENTS; i++) {
		if (client_status(&clients[i]) == 503)
			ck_assert(
			    client_has_header(&clients[i], "Retry-After: "));
	}
	teardown();
}
END_TEST

/* Guards against a limit that outlasts the warm-up. */
START_TEST(warm_server_gets_all)
{
	setup();
	announce("a", 1000, WARMUP_MS);
	announce("a", 1000, 0);
	get_with_all();
	WAIT(base, count_status(200) == CLIENTS);
	teardown();
}
END_TEST

/* Guards against a server that turns cold without a new start and is taken for
 * warm, because its announcement changes nothing else. */
START_TEST(server_turns_cold_without_a_start)
{
	setup();
	announce("a", 1000, 0);
	announce("a", 1000, WARMUP_MS);
	get_with_all();
	WAIT(base, count_status(200) + count_status(503) == CLIENTS);
	ck_assert_int_gt(count_status(503), 0);
	ck_assert_int_le(node1.backend.requests, 1 + RATE_MILLI / 1000);
	teardown();
}
END_TEST

/* Failure: the data centre is taken back after it was emptied, and the server
 * has turned cold since its last announcement. Guards against sending it all
 * calls until the next one, and against a doubt that lasts longer. */
START_TEST(doubted_server_is_cold_until_it_announces_itself)
{
	setup();
	announce("a", 1000, 0);
	bg_gatekeeper_doubt_warmth(node1.proxy->gatekeeper, "taken-back");
	get_with_all();
	WAIT(base, count_status(200) + count_status(503) == CLIENTS);
	ck_assert_int_gt(count_status(503), 0);
	ck_assert_int_le(node1.backend.requests, 1 + RATE_MILLI / 1000);
	announce("a", 1000, 0);
	/* The last load report still says that the server is cold. */
	pass_time(REPORTED_WAIT_MS);
	client_send(&clients[0], "GET /lookup HTTP/1.1\r\nHost: x\r\n\r\n");
	WAIT(base, client_has_response(&clients[0]));
	ck_assert_int_eq(client_status(&clients[0]), 200);
	get_with_all();
	WAIT(base, count_status(200) == CLIENTS);
	teardown();
}
END_TEST

/* Guards against calls that wait for a start and are never started, since no
 * other call ends at the server. */
START_TEST(waiting_call_starts_with_the_allowance)
{
	setup();
	announce("a", 1000, WARMUP_MS);
	client_send(&clients[0], "GET /lookup HTTP/1.1\r\nHost: x\r\n\r\n");
	WAIT(base, client_has_response(&clients[0]));
	client_send(&clients[0], "GET /lookup HTTP/1.1\r\nHost: x\r\n\r\n");
	WAIT(base, client_has_response(&clients[0]));
	ck_assert_int_eq(client_status(&clients[0]), 200);
	ck_assert_int_eq(node1.backend.requests, 2);
	teardown();
}
END_TEST

/* Sets the response to probes and waits until it was read. */
static void
wait_for_probe(const char *response, size_t bytes)
{
	int probes = node1.backend.probes;

	node1.backend.raw = response;
	node1.backend.raw_bytes = bytes;
	/* The second probe shows that the first response was read. */
	WAIT(base, node1.backend.probes >= probes + 2);
}

/* Guards against a probed server that turned cold and is taken for warm
 * although its responses to probes say so. */
START_TEST(probe_tells_that_the_server_is_cold)
{
	static const char warm[] = "HTTP/1.1 200 OK\r\n"
				   "X-Warmup-Ms: 0\r\n"
				   "Content-Length: 0\r\n\r\n";
	static const char cold[] = "HTTP/1.1 200 OK\r\n"
				   "X-Warmup-Ms: 1500\r\n"
				   "Content-Length: 0\r\n\r\n";

	setup();
	snprintf(node1.settings.headers.warmup_left, BG_HEADER_NAME_BYTES,
	    "X-Warmup-Ms");
	node1.backend.probe_mode = BACKEND_RAW;
	/* Without the header, a server that was just found counts as cold. */
	wait_for_probe(warm, sizeof(warm) - 1);
	get_with_all();
	WAIT(base, count_status(200) == CLIENTS);
	wait_for_probe(cold, sizeof(cold) - 1);
	get_with_all();
	WAIT(base, count_status(200) + count_status(503) == CLIENTS);
	ck_assert_int_gt(count_status(503), 0);
	teardown();
}
END_TEST

static void
apply_rate(uint32_t rate_milli)
{
	snapshot->services[0].warmup_milli_per_s = rate_milli;
	node1.mesh.listener.snapshot(node1.mesh.listener.arg, snapshot);
}

static void
set_timeout(uint32_t ms)
{
	size_t i;

	for (i = 0; i < snapshot->rule_count; i++) {
		snapshot->rules[i].timeout_ms = ms;
		snapshot->rules[i].target_ms = ms / 2;
	}
}

/* Makes the server cold with a number of starts left that does not rise, and
 * with an idle connection to it. */
static void
leave_starts(uint32_t starts)
{
	setup();
	snapshot->services[0].warmup_ms = LONG_WARMUP_MS;
	/* The burst is a half of the tolerated excess. */
	node1.settings.warmup.excess_starts = 2 * starts;
	apply_rate(RATE_MILLI);
	announce("a", 1000, 0);
	client_send(&clients[0], "GET /lookup HTTP/1.1\r\nHost: x\r\n\r\n");
	WAIT(base, client_has_response(&clients[0]));
	pass_time(1100 * 1000 * starts / RATE_MILLI);
	apply_rate(1);
	announce("a", 1000, LONG_WARMUP_MS);
}

static int
get(int i)
{
	client_send(&clients[i], "GET /lookup HTTP/1.1\r\nHost: x\r\n\r\n");
	WAIT(base, client_has_response(&clients[i]));
	return client_status(&clients[i]);
}

/* Failure: the server closes its connections. Guards against second writes that
 * are not counted as starts. */
START_TEST(resent_call_is_a_start)
{
	leave_starts(2);
	node1.backend.mode = BACKEND_CLOSE;
	ck_assert_int_eq(get(1), 502);
	ck_assert_int_eq(node1.backend.requests, 3);
	ck_assert_int_eq(get(2), 503);
	ck_assert_int_eq(node1.backend.requests, 3);
	teardown();
}
END_TEST

/* Failure: the server closes its connections. Guards against a second write
 * beyond the limit, and against a refusal of the call, which may have run. */
START_TEST(call_is_not_resent_without_an_allowance)
{
	leave_starts(1);
	node1.backend.mode = BACKEND_CLOSE;
	ck_assert_int_eq(get(1), 502);
	ck_assert_int_eq(node1.backend.requests, 2);
	teardown();
}
END_TEST

/* Failure: another server has the address. Guards against counting the call
 * that it did not take. */
START_TEST(misdirected_call_is_no_start)
{
	static const char response[] = "HTTP/1.1 421 X\r\n"
				       "Content-Length: 0\r\n\r\n";

	leave_starts(1);
	node1.backend.raw = response;
	node1.backend.raw_bytes = sizeof(response) - 1;
	node1.backend.mode = BACKEND_RAW;
	ck_assert_int_eq(get(1), 503);
	announce("b", 2000, LONG_WARMUP_MS);
	node1.backend.mode = BACKEND_OK;
	pass_time(REPORTED_WAIT_MS);
	ck_assert_int_eq(get(2), 200);
	ck_assert_int_eq(get(3), 503);
	teardown();
}
END_TEST

/* Failure: the server has ended, and a new one may start with its id. Guards
 * against taking it for warm, and against callers that are not told. */
START_TEST(refused_connection_makes_the_server_cold)
{
	const struct bg_load *load;

	setup();
	announce("a", 1000, 0);
	ck_assert_int_eq(get(0), 200);
	load =
	    &bg_endpoint_get(&node1.proxy->router.endpoints, node1.mesh.address)
		 ->load;
	ck_assert_uint_eq(load->cold_left_ms, 0);
	backend_stop(&node1.backend);
	ck_assert_int_ne(get(1), 200);
	ck_assert_uint_gt(load->cold_left_ms, 0);
	ck_assert_uint_eq(load->cold_starts_milli_per_s, RATE_MILLI);
	teardown();
}
END_TEST

/* Load: more calls than slots wait at a warm server that turns cold. Guards
 * against calls that wait until their time is up, though the cold server cannot
 * start them in time, and then have none left for another try. */
START_TEST(waiting_calls_are_refused_when_the_server_turns_cold)
{
	uint64_t start_ms;

	setup();
	snapshot->services[0].warmup_ms = LONG_WARMUP_MS;
	apply_rate(1);
	set_timeout(LONG_TIMEOUT_MS);
	announce("a", 1000, 0);
	node1.backend.mode = BACKEND_HOLD;
	get_with_all();
	WAIT(base, node1.backend.held == SLOTS);
	/* Calls queue after two picks without a free slot. */
	pass_time(200);
	ck_assert_int_eq(count_status(503), 0);
	start_ms = bg_clock_now_ms();
	announce("a", 1000, LONG_WARMUP_MS);
	WAIT(base, count_status(503) == CLIENTS - SLOTS);
	ck_assert_uint_lt(bg_clock_now_ms() - start_ms, LONG_TIMEOUT_MS / 4);
	ck_assert_int_eq(node1.backend.requests, SLOTS);
	teardown();
}
END_TEST

/* Guards against another judgment of slow responses for services without a
 * rate: only the time announced with the start of a server excuses them. */
START_TEST(later_reports_excuse_no_slowness_without_a_rate)
{
	setup_with_rate(0);
	announce("a", 1000, 0);
	announce("a", 1000, WARMUP_MS);
	client_send(&clients[0], "GET /lookup HTTP/1.1\r\nHost: x\r\n\r\n");
	WAIT(base, client_has_response(&clients[0]));
	ck_assert_int_eq(node1.observed.cold, 0);
	announce("b", 2000, WARMUP_MS);
	announce("b", 2000, 0);
	client_send(&clients[0], "GET /lookup HTTP/1.1\r\nHost: x\r\n\r\n");
	WAIT(base, client_has_response(&clients[0]));
	ck_assert_int_eq(node1.observed.cold, 1);
	teardown();
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("cold node");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, cold_server_gets_what_it_bears);
	tcase_add_test(tc, warm_server_gets_all);
	tcase_add_test(tc, server_turns_cold_without_a_start);
	tcase_add_test(tc, doubted_server_is_cold_until_it_announces_itself);
	tcase_add_test(tc, waiting_call_starts_with_the_allowance);
	tcase_add_test(tc, probe_tells_that_the_server_is_cold);
	tcase_add_test(tc, resent_call_is_a_start);
	tcase_add_test(tc, call_is_not_resent_without_an_allowance);
	tcase_add_test(tc, misdirected_call_is_no_start);
	tcase_add_test(tc, refused_connection_makes_the_server_cold);
	tcase_add_test(
	    tc, waiting_calls_are_refused_when_the_server_turns_cold);
	tcase_add_test(tc, later_reports_excuse_no_slowness_without_a_rate);
	return run_suite_forked("cold node", tc);
}
