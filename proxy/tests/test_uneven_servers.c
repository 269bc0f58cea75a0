#include <check.h>

#include "node.h"
#include "suite.h"

/* Servers that report how slow their machine is at this moment, and that reset
 * connections when they are full. Time of a call at a usual one: */
#define CALL_MS 100
#define LEARNED_CALLS 10
#define CALLS 4
/* Of a backend server, and rounds of shed calls that would halve them. */
#define SLOTS 4
#define SHED_ROUNDS 8
/* The limit is decreased once in this time. */
#define DECREASE_INTERVAL_MS 110

static struct event_base *base;
static struct node node1; /* its machine turns slow */
static struct node node2;
static struct client cl1; /* at node1 */
static struct client cl2; /* at node2 */

static void
setup(void)
{
	struct node *first = &node1;
	struct node *both[] = {&node1, &node2};

	base = event_base_new();
	build_snapshot();
	node_start(&node1, base);
	node_start(&node2, base);
	node_set_roster(&node1, &first, 1);
	node_set_roster(&node2, both, 2);
	client_open(&cl1, base, bg_proxy_port(node1.proxy));
	client_open(&cl2, base, bg_proxy_port(node2.proxy));
	node1.backend.load = node2.backend.load = "1,0,4,100";
}

static void
teardown(void)
{
	client_close(&cl1);
	client_close(&cl2);
	node_stop(&node1);
	node_stop(&node2);
	bg_snapshot_release(snapshot);
	event_base_free(base);
}

static void
get(struct client *cl)
{
	client_send(cl, "GET /lookup HTTP/1.1\r\nHost: x\r\n\r\n");
	WAIT(base, client_has_response(cl));
}

/* Gets a response that one of the servers sends after CALL_MS. */
static void
get_held(struct client *cl)
{
	static const struct timeval tv = {0, CALL_MS * 1000};

	node1.backend.mode = node2.backend.mode = BACKEND_HOLD;
	client_send(cl, "GET /lookup HTTP/1.1\r\nHost: x\r\n\r\n");
	WAIT(base, node1.backend.held + node2.backend.held == 1);
	event_base_loopexit(base, &tv);
	event_base_dispatch(base);
	backend_release_held(&node1.backend, BACKEND_OK);
	backend_release_held(&node2.backend, BACKEND_OK);
	WAIT(base, client_has_response(cl));
	ck_assert_int_eq(client_status(cl), 200);
	node1.backend.mode = node2.backend.mode = BACKEND_OK;
}

/* Guards against calls that run on a machine which has just turned slow and
 * miss their target, though the caller has no news of it and another server is
 * free. */
START_TEST(call_is_handed_back_by_a_slow_machine)
{
	int i;

	for (i = 0; i < LEARNED_CALLS; i++)
		get_held(&cl1);
	node1.backend.load = "1,0,4,800";
	for (i = 0; i < CALLS; i++) {
		/* The gatekeeper's news of the slowness has to be fresh. */
		get_held(&cl1);
		get_held(&cl2);
	}
	ck_assert_int_eq(node2.backend.requests, CALLS);
}
END_TEST

/* Guards against a server that is slow by its own report and gets no calls
 * although it is the only one. */
START_TEST(slow_machine_serves_if_there_is_no_other)
{
	int i;

	for (i = 0; i < LEARNED_CALLS; i++)
		get_held(&cl1);
	node1.backend.load = "1,0,4,800";
	for (i = 0; i < CALLS; i++)
		get_held(&cl1);
}
END_TEST

/* Guards against a reset by a full server that counts against its version, and
 * against new connections that meet the same load. */
START_TEST(reset_by_a_full_server_counts_as_load)
{
	int accepted;

	node1.backend.load = "4,3,4,100";
	get(&cl1);
	accepted = node1.backend.accepted;
	node1.backend.mode = BACKEND_CLOSE;
	get(&cl1);
	ck_assert_int_eq(client_status(&cl1), 502);
	ck_assert(client_has_header(&cl1, "Burdock-Outcome: unknown"));
	ck_assert_int_eq(node1.backend.requests, 2);
	ck_assert_int_eq(node1.backend.accepted, accepted);
	ck_assert_int_eq(node1.observed.failed, 0);
}
END_TEST

/* Guards against a broken connection of a server with room that is excused. */
START_TEST(reset_by_a_server_with_room_counts_as_failure)
{
	get(&cl1);
	node1.backend.mode = BACKEND_CLOSE;
	get(&cl1);
	ck_assert_int_eq(client_status(&cl1), 502);
	ck_assert_int_eq(node1.observed.failed, 1);
}
END_TEST

static void
wait_ms(uint32_t ms)
{
	struct timeval tv = {0, (suseconds_t)ms * 1000};

	event_base_loopexit(base, &tv);
	event_base_dispatch(base);
}

/* Sends calls that the server holds. */
static void
hold(struct client *clients, int count)
{
	int i;

	node1.backend.mode = BACKEND_HOLD;
	for (i = 0; i < count; i++)
		client_send(
		    &clients[i], "GET /lookup HTTP/1.1\r\nHost: x\r\n\r\n");
	WAIT(base, node1.backend.held == count);
}

static void
release(struct client *clients, int count)
{
	int i;

	/* Failures do not raise the limit, as successes would. */
	backend_release_held(&node1.backend, BACKEND_500);
	for (i = 0; i < count; i++)
		WAIT(base, client_has_response(&clients[i]));
}

/* Guards against slots of a server that stay empty, because it sheds part of
 * its calls while it reports free slots. */
START_TEST(shedding_beside_free_slots_is_not_taken_for_load)
{
	struct client clients[SLOTS];
	int round;
	int i;

	for (i = 0; i < SLOTS; i++)
		client_open(&clients[i], base, bg_proxy_port(node1.proxy));
	node1.backend.load = "3,0,4,100";
	for (round = 0; round < SHED_ROUNDS; round++) {
		hold(clients, SLOTS - 1);
		node1.backend.mode = BACKEND_SHED;
		get(&clients[SLOTS - 1]);
		release(clients, SLOTS - 1);
		wait_ms(DECREASE_INTERVAL_MS);
	}
	hold(clients, SLOTS);
	release(clients, SLOTS);
	for (i = 0; i < SLOTS; i++)
		client_close(&clients[i]);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("uneven_servers");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_set_timeout(tc, 30);
	tcase_add_test(tc, call_is_handed_back_by_a_slow_machine);
	tcase_add_test(tc, slow_machine_serves_if_there_is_no_other);
	tcase_add_test(tc, reset_by_a_full_server_counts_as_load);
	tcase_add_test(tc, reset_by_a_server_with_room_counts_as_failure);
	tcase_add_test(tc, shedding_beside_free_slots_is_not_taken_for_load);
	return run_suite("uneven_servers", tc);
}
