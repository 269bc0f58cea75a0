#include <stdio.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/quota.h"

#include "memory_store.h"
#include "suite.h"
#include "task/internal.h"

/* Nodes with real links and a store in memory, on one event loop. */

#define NODES 4
#define WINDOW_MS 1000
#define RATE_PER_S 60
#define BURST 6
#define SLACK 20
/* (60 x 1 + 6) x 1.1 + 20 */
#define BOUND 92
#define ADMITTED_MAX 8192
/* An owner grants nothing in its first second; far above that, so that load on
 * the machine does not change the result. */
#define WAIT_MS 20000

struct node {
	struct bg_link_server *server;
	struct bg_link_pool *links;
	struct bg_quota *quota;
	char address[BG_ADDRESS_BYTES];
	struct bg_settings settings;
};

static struct event_base *base;
static struct memory_store store;
static struct node nodes[NODES];
static struct bg_member members[NODES];
static struct bg_roster roster;
static struct bg_organisation orgs[] = {
    {"decalhub", 0, 0, RATE_PER_S * 1000, BURST},
    {"unlimited", 0, 0, 0, 0},
};
static struct bg_snapshot snapshot;
static uint64_t admitted_ms[ADMITTED_MAX];
static size_t admitted;
static size_t over;
static size_t no_owner;

static void
count_verdict(void *arg, enum bg_quota_verdict verdict, uint32_t retry_after_ms)
{
	if (verdict == BG_QUOTA_ADMITTED)
		admitted_ms[admitted++ % ADMITTED_MAX] = bg_clock_now_ms();
	else if (verdict == BG_QUOTA_OVER) {
		ck_assert_uint_gt(retry_after_ms, 0);
		over++;
	} else
		no_owner++;
}

static void
admit(struct node *nd)
{
	struct bg_quota_ticket *ticket;
	enum bg_quota_verdict verdict;
	uint32_t retry_after_ms;

	verdict = bg_quota_admit(
	    &ticket, &retry_after_ms, nd->quota, &orgs[0], count_verdict, NULL);
	if (verdict != BG_QUOTA_PENDING)
		count_verdict(NULL, verdict, retry_after_ms);
}

static void
run_loop(uint32_t ms)
{
	struct timeval tv = {0, (suseconds_t)ms * 1000};

	event_base_loopexit(base, &tv);
	event_base_dispatch(base);
}

static void
start_node(int i, int has_quota)
{
	struct bg_link_options link = BG_LINK_OPTIONS_INIT;
	struct bg_quota_options opts = BG_QUOTA_OPTIONS_INIT;
	struct node *nd = &nodes[i];

	bg_settings_init(&nd->settings);
	snprintf(nd->settings.node.data_centre, BG_SETTING_BYTES, "%s",
	    members[i].data_centre);
	nd->settings.quota.window_ms = WINDOW_MS;
	nd->settings.quota.share_permille = 100;
	nd->settings.quota.slack = SLACK;
	nd->settings.quota.shares = 2;
	nd->settings.quota.groups = 1;
	ck_assert_int_eq(
	    bg_link_server_init(&nd->server, base,
		nd->address[0] == '\0' ? "127.0.0.1:0" : nd->address, NULL),
	    0);
	snprintf(nd->address, sizeof(nd->address), "127.0.0.1:%u",
	    bg_link_server_port(nd->server));
	ck_assert_int_eq(bg_link_pool_init(&nd->links, base, &link), 0);
	snprintf(
	    members[i].address, sizeof(members[i].address), "%s", nd->address);
	if (!has_quota)
		return;
	opts.base = base;
	opts.settings = &nd->settings;
	opts.store = &store.store;
	opts.server = nd->server;
	opts.links = nd->links;
	opts.address = nd->address;
	ck_assert_int_eq(bg_quota_init(&nd->quota, &opts), 0);
	bg_quota_set_snapshot(nd->quota, &snapshot);
	bg_quota_set_roster(nd->quota, &roster);
}

static void
stop_node(int i)
{
	struct node *nd = &nodes[i];
	size_t k;

	for (k = 0; nd->quota != NULL && k < nd->quota->slot_count; k++)
		memory_store_cancel(&store, &nd->quota->slots[k]);
	bg_link_pool_free(nd->links);
	bg_quota_free(nd->quota);
	bg_link_server_free(nd->server);
	nd->links = NULL;
	nd->quota = NULL;
	nd->server = NULL;
}

static void
setup(void)
{
	int i;

	base = event_base_new();
	memory_store_init(&store, base);
	memset(nodes, 0, sizeof(nodes));
	memset(members, 0, sizeof(members));
	admitted = over = no_owner = 0;
	snapshot.reference_count = 1;
	snapshot.organisations = orgs;
	snapshot.organisation_count = sizeof(orgs) / sizeof(orgs[0]);
	roster.members = members;
	roster.member_count = NODES;
	for (i = 0; i < NODES; i++) {
		snprintf(members[i].data_centre, sizeof(members[i].data_centre),
		    "%s", i < 2 ? "a" : "b");
		members[i].state = BG_MEMBER_READY;
	}
}

static void
teardown(void)
{
	int i;

	memory_store_clear(&store);
	for (i = 0; i < NODES; i++) {
		if (nodes[i].server != NULL)
			stop_node(i);
	}
	event_base_free(base);
}

static void
start_all(void)
{
	int i;

	for (i = 0; i < NODES; i++)
		start_node(i, 1);
}

static uint32_t
owned_slots(void)
{
	uint32_t sum = 0;
	int i;

	for (i = 0; i < NODES; i++) {
		if (nodes[i].quota != NULL)
			sum += bg_quota_owned_slots(nodes[i].quota);
	}
	return sum;
}

/* Sends calls to all nodes until a number more were admitted. */
static void
flood(size_t count)
{
	uint64_t end_ms = bg_clock_now_ms() + WAIT_MS;
	size_t goal = admitted + count;
	int i;

	while (admitted < goal && bg_clock_now_ms() < end_ms) {
		for (i = 0; i < NODES; i++) {
			if (nodes[i].quota != NULL)
				admit(&nodes[i]);
		}
		run_loop(5);
	}
	ck_assert_uint_ge(admitted, goal);
}

static void
assert_bound(void)
{
	size_t first = 0;
	size_t last;

	ck_assert_uint_le(admitted, ADMITTED_MAX);
	for (last = 0; last < admitted; last++) {
		while (admitted_ms[first] + WINDOW_MS < admitted_ms[last])
			first++;
		ck_assert_uint_le(last - first + 1, BOUND);
	}
}

/* More demand than the cap at all nodes: the sum stays under the bound, and the
 * cap is used. */
START_TEST(sum_of_all_nodes_stays_under_the_cap)
{
	start_all();
	flood(4 * RATE_PER_S);
	assert_bound();
	ck_assert_uint_gt(over, 0);
	ck_assert_uint_eq(owned_slots(), 2);
}
END_TEST

/* The nodes that own the slots die, with what they know. */
START_TEST(fleet_that_restarts_at_once_stays_under_the_cap)
{
	int i;

	start_all();
	flood(2 * RATE_PER_S);
	for (i = 0; i < NODES; i++)
		stop_node(i);
	for (i = 0; i < NODES; i++)
		start_node(i, 1);
	flood(2 * RATE_PER_S);
	assert_bound();
}
END_TEST

/* One data centre is gone: the other one's share goes on. */
START_TEST(other_data_centre_goes_on_with_its_share)
{
	start_all();
	flood(RATE_PER_S);
	stop_node(2);
	stop_node(3);
	flood(RATE_PER_S);
	assert_bound();
}
END_TEST

/* Nothing is admitted on credit: a node that reaches no owner admits none. */
START_TEST(node_that_reaches_no_owner_admits_nothing)
{
	size_t before;
	int i;

	start_all();
	flood(10);
	run_loop(900);
	before = admitted;
	for (i = 0; i < 10; i++) {
		admit(&nodes[3]);
		run_loop(200);
	}
	ck_assert_uint_eq(admitted, before + 10);
	for (i = 0; i < 3; i++)
		stop_node(i);
	bg_quota_leave(nodes[3].quota);
	run_loop(900);
	before = admitted;
	no_owner = 0;
	for (i = 0; i < 20; i++)
		admit(&nodes[3]);
	run_loop(900);
	run_loop(900);
	ck_assert_uint_eq(admitted, before);
	ck_assert_uint_eq(no_owner, 20);
}
END_TEST

/* The store is away: owners go on until their lease ends. */
START_TEST(store_that_is_away_does_not_stop_admission)
{
	start_all();
	flood(RATE_PER_S);
	store.fail_code = BG_EUNAVAILABLE;
	flood(2 * RATE_PER_S);
	assert_bound();
}
END_TEST

/* A node that stops gives its slots up, and another one takes them. */
START_TEST(slots_of_a_node_that_stops_are_taken_over)
{
	uint64_t end_ms = bg_clock_now_ms() + WAIT_MS;
	int i;

	start_all();
	flood(10);
	for (i = 0; i < 2; i++) {
		if (bg_quota_owned_slots(nodes[i].quota) != 0)
			break;
	}
	ck_assert_int_lt(i, 2);
	bg_quota_leave(nodes[i].quota);
	ck_assert_uint_eq(bg_quota_owned_slots(nodes[i].quota), 0);
	while (owned_slots() < 2 && bg_clock_now_ms() < end_ms)
		run_loop(50);
	ck_assert_uint_eq(owned_slots(), 2);
}
END_TEST

/* Nodes of an earlier build do not know the procedure. Calls of an organisation
 * with a cap are refused then, and others are not. */
START_TEST(nodes_of_an_earlier_build_are_understood)
{
	struct bg_quota_ticket *ticket;
	uint64_t end_ms = bg_clock_now_ms() + WAIT_MS;
	uint32_t retry_after_ms;
	int i;

	for (i = 0; i < NODES; i++)
		start_node(i, i == 0);
	/* Node 0 would own slots. */
	store.fail_code = BG_EUNAVAILABLE;
	while (no_owner == 0 && bg_clock_now_ms() < end_ms) {
		admit(&nodes[0]);
		run_loop(20);
	}
	ck_assert_uint_gt(no_owner, 0);
	ck_assert_uint_eq(admitted, 0);
	ck_assert_int_eq(bg_quota_admit(&ticket, &retry_after_ms,
			     nodes[0].quota, &orgs[1], count_verdict, NULL),
	    BG_QUOTA_ADMITTED);
}
END_TEST

/* A caller that disconnects while its call waits. */
START_TEST(waiting_call_can_be_withdrawn)
{
	struct bg_quota_ticket *ticket = NULL;
	uint64_t end_ms = bg_clock_now_ms() + WAIT_MS;
	enum bg_quota_verdict verdict = BG_QUOTA_ADMITTED;
	uint32_t retry_after_ms;
	size_t before;

	start_all();
	while (verdict != BG_QUOTA_PENDING && bg_clock_now_ms() < end_ms) {
		run_loop(20);
		verdict = bg_quota_admit(&ticket, &retry_after_ms,
		    nodes[3].quota, &orgs[0], count_verdict, NULL);
	}
	ck_assert_int_eq(verdict, BG_QUOTA_PENDING);
	before = admitted + over + no_owner;
	bg_quota_cancel(ticket);
	run_loop(700);
	ck_assert_uint_eq(admitted + over + no_owner, before);
}
END_TEST

/* Deployments without caps pay for nothing. */
START_TEST(nothing_runs_without_a_cap)
{
	struct bg_snapshot without = {0};
	struct bg_quota *quota;

	without.reference_count = 1;
	without.organisations = &orgs[1];
	without.organisation_count = 1;
	start_node(0, 1);
	quota = nodes[0].quota;
	bg_quota_set_snapshot(quota, &without);
	ck_assert(!event_pending(quota->timer, EV_TIMEOUT, NULL));
	bg_quota_set_snapshot(quota, &snapshot);
	ck_assert(event_pending(quota->timer, EV_TIMEOUT, NULL));
	bg_quota_set_snapshot(quota, &without);
	ck_assert(!event_pending(quota->timer, EV_TIMEOUT, NULL));
	bg_quota_set_snapshot(quota, &snapshot);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("quota");

	tcase_set_timeout(tc, 60);
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, sum_of_all_nodes_stays_under_the_cap);
	tcase_add_test(tc, fleet_that_restarts_at_once_stays_under_the_cap);
	tcase_add_test(tc, other_data_centre_goes_on_with_its_share);
	tcase_add_test(tc, node_that_reaches_no_owner_admits_nothing);
	tcase_add_test(tc, nothing_runs_without_a_cap);
	tcase_add_test(tc, store_that_is_away_does_not_stop_admission);
	tcase_add_test(tc, slots_of_a_node_that_stops_are_taken_over);
	tcase_add_test(tc, nodes_of_an_earlier_build_are_understood);
	tcase_add_test(tc, waiting_call_can_be_withdrawn);
	return run_suite("quota", tc);
}
