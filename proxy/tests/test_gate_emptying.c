/* Calls while the data centre of a node is emptied. Node 1 is in data centre a,
 * node 2 in b; calls enter at node 1. */

#include <check.h>

#include "burdockgrade/counter.h"

#include "node.h"
#include "proxy_internal.h"
#include "suite.h"

#define SLOTS 4

static struct event_base *base;
static struct node node1;
static struct node node2;
static struct client cl;

static void
setup(void)
{
	struct node *both[] = {&node1, &node2};

	base = event_base_new();
	build_snapshot();
	node_start(&node1, base);
	node_start(&node2, base);
	snprintf(node2.settings.node.data_centre, BG_SETTING_BYTES, "b");
	node_set_roster(&node1, both, 2);
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

/* What the mesh of a node tells of a data centre. */
static void
learn(struct node *nd, const char *data_centre, int is_emptied)
{
	static uint64_t last_revision;
	uint64_t revision = ++last_revision;
	struct bg_emptied report = {.revision = revision,
	    .is_emptied = is_emptied,
	    .since_ms = is_emptied ? 1 : 0};
	enum bg_emptied_change change;
	struct bg_item item;

	snprintf(
	    report.data_centre, sizeof(report.data_centre), "%s", data_centre);
	bg_emptied_set_apply(&change, &nd->mesh.emptied, &report);
	nd->mesh.admission = bg_emptied_set_contains(&nd->mesh.emptied,
				 nd->settings.node.data_centre)
	    ? BG_ADMISSION_EMPTIED
	    : BG_ADMISSION_OPEN;
	bg_emptied_to_item(&item, &report);
	nd->mesh.listener.item(nd->mesh.listener.arg, &item);
}

static void
get(const char *path)
{
	client_send(&cl, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path);
	WAIT(base, client_has_response(&cl));
}

static void
get_many(int count)
{
	while (count-- > 0) {
		get("/lookup");
		ck_assert_int_eq(client_status(&cl), 200);
	}
}

/* Opens the link to node 2, and sends the following calls to node 1. */
static void
prefer_node1(void)
{
	learn(&node1, "a", 1);
	get_many(1);
	learn(&node1, "a", 0);
	learn(&node1, "b", 1);
	node2.backend.requests = 0;
}

/* Callers in an emptied data centre go on being served, by servers elsewhere,
 * and its own servers get calls again once it is taken back. */
START_TEST(calls_go_to_servers_elsewhere)
{
	learn(&node1, "a", 1);
	get_many(20);
	ck_assert_int_eq(node1.backend.requests, 0);
	ck_assert_int_eq(node2.backend.requests, 20);
	learn(&node1, "a", 0);
	get_many(20);
	ck_assert_int_gt(node1.backend.requests, 0);
}
END_TEST

/* Guards against calls of nodes that have not heard of the emptying yet. */
START_TEST(gatekeeper_refuses_calls_of_nodes_that_do_not_know)
{
	struct node *other = &node2;

	node_set_roster(&node1, &other, 1);
	get_many(1);
	learn(&node2, "b", 1);
	get("/lookup");
	ck_assert_int_eq(client_status(&cl), 503);
	ck_assert(client_has_header(&cl, "Burdock-Outcome: not-run"));
	ck_assert_int_eq(node2.backend.requests, 1);
}
END_TEST

/* Guards against calls that are silently lost, or sent to an emptied data
 * centre all the same, because no other is left. */
START_TEST(calls_are_refused_if_all_data_centres_are_emptied)
{
	const char *retry;

	node1.settings.limits.has_fractional_retry_after = 1;
	learn(&node1, "a", 1);
	learn(&node1, "b", 1);
	get("/lookup");
	ck_assert_int_eq(client_status(&cl), 503);
	ck_assert(client_has_header(&cl, "Burdock-Outcome: not-run"));
	ck_assert((retry = strstr(cl.text, "Retry-After: ")) != NULL);
	ck_assert(strtod(retry + 13, NULL) >= 1);
	ck_assert_int_eq(node1.backend.requests + node2.backend.requests, 0);
}
END_TEST

static long
count_refused(const char *reason)
{
	char name[64];
	char *text;
	const char *at;
	size_t bytes;
	long value = 0;

	snprintf(name, sizeof(name), "burdock_refused_total{reason=\"%s\"} ",
	    reason);
	ck_assert_int_eq(bg_counter_render(&text, &bytes), 0);
	if ((at = strstr(text, name)) != NULL)
		value = strtol(at + strlen(name), NULL, 10);
	free(text);
	return value;
}

/* Guards against a running call that is broken off, and a queued one that
 * waits on, and starts after its data centre was emptied. */
START_TEST(running_calls_are_finished_and_queued_ones_leave)
{
	struct client others[SLOTS];
	long draining = count_refused("draining");
	int i;

	prefer_node1();
	node1.backend.mode = BACKEND_HOLD;
	for (i = 0; i < SLOTS; i++) {
		client_open(&others[i], base, bg_proxy_port(node1.proxy));
		client_send(&others[i],
		    "GET /lookup/%d HTTP/1.1\r\nHost: x\r\n\r\n", i);
	}
	WAIT(base, node1.backend.held == SLOTS);
	client_send(
	    &cl, "POST /cut HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
	WAIT(base,
	    bg_gatekeeper_in_flight(node1.proxy->gatekeeper) == SLOTS + 1);
	learn(&node1, "b", 0);
	learn(&node1, "a", 1);
	WAIT(base, client_has_response(&cl));
	ck_assert_int_eq(client_status(&cl), 200);
	ck_assert_int_eq(node2.backend.requests, 1);
	ck_assert_int_eq(count_refused("draining"), draining + 1);
	backend_release_held(&node1.backend, BACKEND_OK);
	for (i = 0; i < SLOTS; i++) {
		WAIT(base, client_has_response(&others[i]));
		ck_assert_int_eq(client_status(&others[i]), 200);
		client_close(&others[i]);
	}
	ck_assert_int_eq(node1.backend.requests, SLOTS);
}
END_TEST

/* Guards against a lookup whose connection closed, and which is not sent again
 * to the emptied server, but reported as not run. */
START_TEST(lookup_is_not_resent_to_an_emptied_server)
{
	prefer_node1();
	get_many(1);
	node1.backend.mode = BACKEND_HOLD;
	client_send(&cl, "GET /lookup HTTP/1.1\r\nHost: x\r\n\r\n");
	WAIT(base, node1.backend.held == 1);
	learn(&node1, "a", 1);
	backend_release_held(&node1.backend, BACKEND_CLOSE);
	WAIT(base, client_has_response(&cl));
	ck_assert_int_eq(client_status(&cl), 502);
	ck_assert(client_has_header(&cl, "Burdock-Outcome: unknown"));
	ck_assert_int_eq(node1.backend.requests, 2);
	ck_assert_int_eq(node2.backend.requests, 0);
}
END_TEST

/* Guards against a node that admits calls after a start or a pause, before it
 * knows whether its data centre is emptied. */
START_TEST(gatekeeper_refuses_calls_while_it_does_not_know)
{
	node1.mesh.admission = node2.mesh.admission = BG_ADMISSION_UNKNOWN;
	get("/lookup");
	ck_assert_int_eq(client_status(&cl), 503);
	ck_assert(client_has_header(&cl, "Burdock-Outcome: not-run"));
	ck_assert_int_eq(node1.backend.requests + node2.backend.requests, 0);
	node1.mesh.admission = node2.mesh.admission = BG_ADMISSION_OPEN;
	get_many(1);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("gate emptying");

	tcase_set_timeout(tc, 60);
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, calls_go_to_servers_elsewhere);
	tcase_add_test(tc, gatekeeper_refuses_calls_of_nodes_that_do_not_know);
	tcase_add_test(tc, calls_are_refused_if_all_data_centres_are_emptied);
	tcase_add_test(tc, running_calls_are_finished_and_queued_ones_leave);
	tcase_add_test(tc, lookup_is_not_resent_to_an_emptied_server);
	tcase_add_test(tc, gatekeeper_refuses_calls_while_it_does_not_know);
	return run_suite("gate emptying", tc);
}
