#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/error.h"
#include "burdockgrade/log.h"
#include "burdockgrade/record.h"

#include "mesh_stub.h"
#include "placement/placement.h"
#include "records/internal.h"

/* Upper bound of one wait; a lost event fails, not hangs. */
#define LOOP_MAX_MS 15000
#define KEY "orders/checkout/k1"
#define DIGEST 77

struct node {
	struct bg_settings settings;
	struct bg_link_server *server;
	struct bg_mesh *mesh;
	struct bg_records *records;
	char address[BG_ADDRESS_BYTES];
};

struct seen {
	int count;
	enum bg_xbegin_status status;
	uint64_t grant;
	uint32_t http_status;
	char body[32];
};

static struct event_base *base;
static struct node nodes[STUB_NODES];
static size_t node_count;
static int drained;

static void
node_start(const char *data_centre, uint64_t incarnation)
{
	struct bg_records_options opts = BG_RECORDS_OPTIONS_INIT;
	struct node *nd = &nodes[node_count++];

	memset(nd, 0, sizeof(*nd));
	ck_assert_int_eq(
	    bg_link_server_init(&nd->server, base, "127.0.0.1:0", NULL), 0);
	snprintf(nd->address, sizeof(nd->address), "127.0.0.1:%u",
	    bg_link_server_port(nd->server));
	snprintf(nd->settings.node.address, BG_SETTING_BYTES, "127.0.0.1");
	snprintf(
	    nd->settings.node.data_centre, BG_SETTING_BYTES, "%s", data_centre);
	nd->mesh = stub_mesh_add(nd->address, data_centre, incarnation);
	opts.base = base;
	opts.settings = &nd->settings;
	opts.mesh = nd->mesh;
	opts.server = nd->server;
	ck_assert_int_eq(bg_records_init(&nd->records, &opts, NULL), 0);
}

static void
node_stop(struct node *nd)
{
	if (nd->records == NULL)
		return;
	stub_mesh_stop(nd->mesh);
	bg_link_server_free(nd->server);
	bg_records_free(nd->records);
	nd->records = NULL;
}

static void
run_for(uint32_t ms)
{
	struct timeval step = {ms / 1000, (ms % 1000) * 1000};

	event_base_loopexit(base, &step);
	event_base_dispatch(base);
}

static int
all_have_views(void)
{
	struct home *home;
	size_t i;

	for (i = 0; i < node_count; i++) {
		if (nodes[i].records == NULL)
			continue;
		home = bg_records_home(nodes[i].records, "a");
		if (home == NULL || home->version == 0 ||
		    nodes[i].records->map_version == 0)
			return 0;
	}
	return 1;
}

#define run_until(condition)                                               \
	do {                                                               \
		uint64_t end_ms = bg_clock_now_ms() + LOOP_MAX_MS;         \
		while (!(condition) && bg_clock_now_ms() < end_ms)         \
			run_for(10);                                       \
		ck_assert_msg((condition), "not reached: %s", #condition); \
	} while (0)

/* Three nodes; the first is the relay. All keys are at home in "a". */
static void
setup(void)
{
	base = event_base_new();
	stub_reset(base);
	node_count = 0;
	drained = 0;
	node_start("a", 1);
	node_start("a", 2);
	node_start("a", 3);
	stub_mesh_set_relay(nodes[0].mesh, 1);
	run_until(all_have_views());
}

static void
teardown(void)
{
	size_t i;

	for (i = 0; i < node_count; i++)
		node_stop(&nodes[i]);
	run_for(1);
	event_base_free(base);
	stub_reset(NULL);
}

static void
on_begun(void *arg, const struct bg_begin_result *res)
{
	struct seen *seen = arg;

	seen->count++;
	seen->status = res->status;
	seen->grant = res->grant;
	if (res->answer == NULL)
		return;
	seen->http_status = res->answer->http_status;
	snprintf(seen->body, sizeof(seen->body), "%.*s",
	    (int)res->answer->body.body_len, res->answer->body.body_val);
}

static void
begin(struct seen *seen, size_t node, const char *key, uint64_t digest,
    uint32_t wait_ms)
{
	memset(seen, 0, sizeof(*seen));
	ck_assert_int_eq(bg_records_begin(nodes[node].records, key, digest,
			     wait_ms, on_begun, seen),
	    0);
	ck_assert_int_eq(seen->count, 0);
}

static void
begin_and_wait(
    struct seen *seen, size_t node, const char *key, uint32_t wait_ms)
{
	begin(seen, node, key, DIGEST, wait_ms);
	run_until(seen->count == 1);
}

static void
finish(size_t node, const char *key, uint64_t grant, enum bg_xoutcome outcome)
{
	char body[] = "cut 4 panels";
	struct bg_xanswer ans;

	memset(&ans, 0, sizeof(ans));
	ans.http_status = 201;
	ans.body.body_val = body;
	ans.body.body_len = sizeof(body) - 1;
	ck_assert_int_eq(
	    bg_records_finish(nodes[node].records, key, grant, outcome, &ans),
	    0);
	run_until(nodes[node].records->finishes == NULL);
}

/* Node that holds the group of a key. */
static size_t
holder_of(const char *key)
{
	struct bg_records *rcs;
	struct bg_place place;
	struct home *home;
	size_t n;
	size_t i;

	for (n = 0; nodes[n].records == NULL; n++)
		;
	rcs = nodes[n].records;
	ck_assert_int_eq(bg_place_key(&place, &rcs->map, key), 0);
	home = bg_records_home(rcs, place.data_centre);
	for (i = 0; i < node_count; i++) {
		if (strcmp(home->views.groups[place.group].holder.address,
			nodes[i].address) == 0)
			return i;
	}
	ck_abort_msg("no holder");
	return 0;
}

/* Guards against a second run of one key through another node, and against an
 * answer that is lost or is that of another key. */
START_TEST(second_call_gets_the_recorded_answer)
{
	struct seen seen;

	setup();
	begin_and_wait(&seen, 0, KEY, 3000);
	ck_assert_int_eq(seen.status, BG_XBEGIN_GRANTED);
	finish(0, KEY, seen.grant, BG_XOUTCOME_DONE);
	begin_and_wait(&seen, 1, KEY, 3000);
	ck_assert_int_eq(seen.status, BG_XBEGIN_DONE);
	ck_assert_uint_eq(seen.http_status, 201);
	ck_assert_str_eq(seen.body, "cut 4 panels");
	begin_and_wait(&seen, 2, "orders/checkout/k2", 3000);
	ck_assert_int_eq(seen.status, BG_XBEGIN_GRANTED);
	teardown();
}
END_TEST

/* Guards against a second run while the first one is under way, and against a
 * caller that waits without end. */
START_TEST(second_call_waits_for_the_running_one)
{
	struct seen first;
	struct seen second;

	setup();
	begin_and_wait(&first, 0, KEY, 3000);
	begin_and_wait(&second, 1, KEY, 300);
	ck_assert_int_eq(second.status, BG_XBEGIN_RUNNING);
	begin(&second, 1, KEY, DIGEST, 5000);
	run_for(200);
	ck_assert_int_eq(second.count, 0);
	finish(0, KEY, first.grant, BG_XOUTCOME_DONE);
	run_until(second.count == 1);
	ck_assert_int_eq(second.status, BG_XBEGIN_DONE);
	teardown();
}
END_TEST

/* Guards against a key that stays blocked after its call certainly did not
 * run. */
START_TEST(key_is_granted_again_after_not_run)
{
	struct seen seen;
	uint64_t grant;

	setup();
	begin_and_wait(&seen, 0, KEY, 3000);
	grant = seen.grant;
	finish(0, KEY, grant, BG_XOUTCOME_NOT_RUN);
	begin_and_wait(&seen, 1, KEY, 3000);
	ck_assert_int_eq(seen.status, BG_XBEGIN_GRANTED);
	ck_assert_uint_gt(seen.grant, grant);
	teardown();
}
END_TEST

/* Guards against the answer of one request being given to another one. */
START_TEST(other_request_under_the_key_is_refused)
{
	struct seen seen;

	setup();
	begin_and_wait(&seen, 0, KEY, 3000);
	begin(&seen, 1, KEY, DIGEST + 1, 3000);
	run_until(seen.count == 1);
	ck_assert_int_eq(seen.status, BG_XBEGIN_MISMATCH);
	teardown();
}
END_TEST

/* Guards against a second run after the death of the holder, and against a
 * group that serves no keys after it. */
START_TEST(records_survive_the_holder)
{
	struct seen seen;
	size_t holder;
	size_t other;

	setup();
	holder = holder_of(KEY);
	other = (holder + 1) % 3;
	begin_and_wait(&seen, other, KEY, 3000);
	ck_assert_int_eq(seen.status, BG_XBEGIN_GRANTED);
	finish(other, KEY, seen.grant, BG_XOUTCOME_DONE);
	stub_mesh_set_relay(nodes[holder].mesh, 0);
	stub_mesh_set_relay(nodes[other].mesh, 1);
	node_stop(&nodes[holder]);
	/* Sent before the view changes: must be tried again within the wait. */
	begin(&seen, other, KEY, DIGEST, 8000);
	run_for(100);
	ck_assert_int_eq(seen.count, 0);
	stub_member_dead(nodes[holder].address);
	run_until(seen.count == 1);
	ck_assert_int_eq(seen.status, BG_XBEGIN_DONE);
	ck_assert_str_eq(seen.body, "cut 4 panels");
	ck_assert_uint_ne(holder_of(KEY), holder);
	teardown();
}
END_TEST

/* Guards against "not-run" or a run while the state of a key is not known. */
START_TEST(unreachable_group_says_unknown)
{
	struct seen seen;
	size_t holder;

	setup();
	holder = holder_of(KEY);
	node_stop(&nodes[holder]);
	begin_and_wait(&seen, (holder + 1) % 3, KEY, 500);
	ck_assert_int_eq(seen.status, BG_XBEGIN_UNKNOWN);
	teardown();
}
END_TEST

/* Guards against a relay that takes a write for lost, or for done, without
 * reading back, and against views that never settle. */
START_TEST(lost_platform_answer_is_read_back)
{
	uint64_t writes;
	struct seen seen;

	base = event_base_new();
	stub_reset(base);
	node_count = 0;
	node_start("a", 1);
	node_start("a", 2);
	stub_platform_lose_answers(2);
	stub_mesh_set_relay(nodes[0].mesh, 1);
	run_until(all_have_views());
	begin_and_wait(&seen, 1, KEY, 3000);
	ck_assert_int_eq(seen.status, BG_XBEGIN_GRANTED);
	run_for(1000);
	writes = stub_platform_writes();
	run_for(1000);
	ck_assert_uint_eq(stub_platform_writes(), writes);
	teardown();
}
END_TEST

static void
on_drained(void *arg)
{
	drained++;
}

/* Guards against a planned stop that takes the only copy of records along. */
START_TEST(drain_hands_over_first)
{
	struct seen seen;
	size_t holder;
	size_t other;

	setup();
	holder = holder_of(KEY);
	other = (holder + 1) % 3;
	begin_and_wait(&seen, other, KEY, 3000);
	finish(other, KEY, seen.grant, BG_XOUTCOME_DONE);
	stub_member_state(nodes[holder].address, BG_MEMBER_DRAINING);
	bg_records_drain(nodes[holder].records, 10000, on_drained, NULL);
	run_until(drained == 1);
	ck_assert_uint_ne(holder_of(KEY), holder);
	stub_mesh_set_relay(nodes[other].mesh, 1);
	node_stop(&nodes[holder]);
	begin_and_wait(&seen, other, KEY, 3000);
	ck_assert_int_eq(seen.status, BG_XBEGIN_DONE);
	run_for(200);
	ck_assert_int_eq(drained, 1);
	teardown();
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("records_task");
	TCase *tc = tcase_create("records_task");
	SRunner *runner;
	int failed;

	bg_log_init(getenv("BG_LOG") ? getenv("BG_LOG") : "error", "test");
	tcase_add_test(tc, second_call_gets_the_recorded_answer);
	tcase_add_test(tc, second_call_waits_for_the_running_one);
	tcase_add_test(tc, key_is_granted_again_after_not_run);
	tcase_add_test(tc, other_request_under_the_key_is_refused);
	tcase_add_test(tc, records_survive_the_holder);
	tcase_add_test(tc, unreachable_group_says_unknown);
	tcase_add_test(tc, lost_platform_answer_is_read_back);
	tcase_add_test(tc, drain_hands_over_first);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_set_fork_status(runner, CK_NOFORK);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
