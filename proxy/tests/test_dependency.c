#include <check.h>

#include "proxy_internal.h"

#include "node.h"
#include "suite.h"

/* Calls that a backend server makes while it runs a request. They enter at the
 * node beside it. */

static struct event_base *base;
static struct node node1;
static struct node node2;
static struct client cl;

/* Calls that enter at node1 are served by node2 only. */
static void
setup(void)
{
	struct node *other = &node2;

	base = event_base_new();
	build_snapshot();
	node_start(&node1, base);
	node_start(&node2, base);
	node_set_roster(&node1, &other, 1);
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

/* Guards against counting the time or the failure of a dependency against the
 * server version that called it. */
START_TEST(dependency_time_is_excluded_from_own_time)
{
	struct client dep;
	uint64_t end_ms;

	setup();
	node2.backend.mode = BACKEND_HOLD;
	client_send(
	    &cl, "GET /lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: r1\r\n\r\n");
	WAIT(base, node2.backend.held == 1);
	/* The backend server of node2 calls a dependency through node2, and
	 * node1 serves it. */
	node_set_roster(&node2, (struct node *[]){&node1}, 1);
	node1.backend.mode = BACKEND_HOLD;
	client_open(&dep, base, bg_proxy_port(node2.proxy));
	client_send(&dep,
	    "GET /lookup/dep HTTP/1.1\r\nHost: x\r\nX-Request-Id: r1\r\n"
	    "X-Call-Depth: 1\r\n\r\n");
	WAIT(base, node1.backend.held == 1);
	end_ms = bg_clock_now_ms() + 200;
	WAIT(base, bg_clock_now_ms() > end_ms);
	backend_release_held(&node1.backend, BACKEND_500);
	WAIT(base, client_has_response(&dep));
	backend_release_held(&node2.backend, BACKEND_500);
	WAIT(base, client_has_response(&cl));
	ck_assert_int_eq(node2.observed.count, 1);
	ck_assert_uint_lt(node2.observed.last_own_us, 150000);
	ck_assert_int_eq(node2.observed.dependency_faults, 1);
	client_close(&dep);
	teardown();
}
END_TEST

/* Guards against calls of a server that are taken for new work, and against a
 * server version that is judged by failures of others, where the id of a call
 * extends that of its request. */
START_TEST(call_with_an_extended_id_belongs_to_its_request)
{
	struct client dep;

	setup();
	node2.backend.mode = BACKEND_HOLD;
	client_send(
	    &cl, "GET /lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: r1\r\n\r\n");
	WAIT(base, node2.backend.held == 1);
	node_set_roster(&node2, (struct node *[]){&node1}, 1);
	node1.backend.mode = BACKEND_500;
	client_open(&dep, base, bg_proxy_port(node2.proxy));
	client_send(&dep,
	    "GET /lookup/dep HTTP/1.1\r\nHost: x\r\n"
	    "X-Request-Id: r1.7\r\n\r\n");
	WAIT(base, client_has_response(&dep));
	backend_release_held(&node2.backend, BACKEND_500);
	WAIT(base, client_has_response(&cl));
	ck_assert_int_eq(client_status(&cl), 500);
	ck_assert_int_eq(node2.observed.dependency_faults, 1);
	client_close(&dep);
	teardown();
}
END_TEST

/* Pattern: a service sheds while its callers' requests are repeated. Guards
 * against calls of a repeated request that are not counted as repeats at the
 * service that is called. */
START_TEST(call_of_a_repeated_request_uses_the_budget)
{
	struct node *both[] = {&node1, &node2};
	struct bg_retry_budget *budget;
	struct client dep;

	setup();
	budget = &node2.proxy->retry;
	node_set_roster(&node1, both, 2);
	node1.backend.mode = BACKEND_CLOSE;
	node2.backend.mode = BACKEND_HOLD;
	/* The server of either node may be tried first. */
	do {
		client_close(&cl);
		WAIT(base, node2.backend.held == 0);
		client_open(&cl, base, bg_proxy_port(node1.proxy));
		client_send(&cl,
		    "GET /lookup HTTP/1.1\r\nHost: x\r\n"
		    "X-Request-Id: r1\r\n\r\n");
		WAIT(base, node2.backend.held == 1);
	} while (node1.backend.requests == 0);
	client_open(&dep, base, bg_proxy_port(node2.proxy));
	client_send(&dep,
	    "GET /quick HTTP/1.1\r\nHost: x\r\nX-Request-Id: r1.7\r\n\r\n");
	WAIT(base, client_has_response(&dep));
	ck_assert_ptr_nonnull(budget->services);
	ck_assert_uint_eq(
	    budget->services
		->retries[budget->services->bucket % BG_RETRY_BUCKETS],
	    1);
	client_close(&dep);
	teardown();
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("dependency");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, dependency_time_is_excluded_from_own_time);
	tcase_add_test(tc, call_with_an_extended_id_belongs_to_its_request);
	tcase_add_test(tc, call_of_a_repeated_request_uses_the_budget);
	return run_suite("dependency", tc);
}
