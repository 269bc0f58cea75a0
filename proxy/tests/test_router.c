#include <stdio.h>
#include <string.h>

#include "router/router.h"
#include "router/value.h"
#include "suite.h"

#define MEMBERS 12
#define PICKS 4000
#define SERVICE_US 100000

static struct bg_router rtr;
static struct bg_member members[MEMBERS];
static struct bg_pick_query q;
static int picked[MEMBERS];

static void
setup(void)
{
	int i;

	bg_router_init(&rtr, 7);
	memset(members, 0, sizeof(members));
	memset(&q, 0, sizeof(q));
	for (i = 0; i < MEMBERS; i++) {
		snprintf(members[i].address, BG_ADDRESS_BYTES, "127.0.0.%d:1",
		    i + 1);
		snprintf(members[i].data_centre, BG_NAME_BYTES, "a");
		snprintf(members[i].service, BG_NAME_BYTES, "s");
		snprintf(members[i].server_version, BG_NAME_BYTES, "v1");
		members[i].state = BG_MEMBER_READY;
		members[i].slots = 10;
	}
	q.members = members;
	q.member_count = 4;
	q.route = "lookup";
	q.data_centre = "a";
	q.now_ms = 1000000;
	q.target_us = 400000;
	q.left_us = 1500000;
}

static void
teardown(void)
{
	bg_router_free(&rtr);
}

/* Picks servers and counts how often each one is picked; no call is sent. */
static void
pick_many(int count)
{
	struct bg_pick pick;
	int i;

	memset(picked, 0, sizeof(picked));
	for (i = 0; i < count; i++) {
		ck_assert_int_eq(bg_router_pick(&pick, &rtr, &q), 0);
		picked[pick.member - members]++;
	}
}

static struct bg_endpoint *
endpoint(int i)
{
	return bg_endpoint_get(&rtr.endpoints, members[i].address);
}

static void
report_with(int i, uint32_t running, uint32_t service_us, uint32_t bad_permille)
{
	struct bg_load ld = {.running = running,
	    .slots = 10,
	    .service_us = service_us,
	    .bad_permille = bad_permille};

	bg_endpoint_sent(endpoint(i));
	bg_endpoint_answered(endpoint(i), "lookup", &ld, q.now_ms);
}

static void
report(int i, uint32_t running)
{
	report_with(i, running, SERVICE_US, 0);
}

static void
fail_calls(int i, int times)
{
	while (times-- > 0) {
		bg_endpoint_sent(endpoint(i));
		bg_endpoint_failed(endpoint(i), q.now_ms);
	}
}

static void
set_version(int i, const char *version)
{
	snprintf(members[i].server_version, BG_NAME_BYTES, "%s", version);
}

static void
set_data_centre(int i, const char *name)
{
	snprintf(members[i].data_centre, BG_NAME_BYTES, "%s", name);
}

START_TEST(calls_spread_evenly)
{
	int i;

	pick_many(PICKS);
	for (i = 0; i < 4; i++) {
		ck_assert_int_gt(picked[i], PICKS / 4 * 8 / 10);
		ck_assert_int_lt(picked[i], PICKS / 4 * 12 / 10);
	}
}
END_TEST

START_TEST(empty_member_list_is_not_found)
{
	struct bg_pick pick;

	q.member_count = 0;
	ck_assert_int_eq(bg_router_pick(&pick, &rtr, &q), BG_ENOTFOUND);
}
END_TEST

/* Guards against a new call to a server of an emptied data centre. */
START_TEST(emptied_data_centres_are_left_out)
{
	struct bg_emptied_set emptied = {0};
	struct bg_pick pick;

	set_data_centre(0, "b");
	set_data_centre(1, "b");
	emptied.count = 1;
	emptied.reports[0].is_emptied = 1;
	snprintf(emptied.reports[0].data_centre, BG_NAME_BYTES, "a");
	q.emptied = &emptied;
	pick_many(PICKS);
	ck_assert_int_eq(picked[0] + picked[1], PICKS);
	set_data_centre(0, "a");
	set_data_centre(1, "a");
	ck_assert_int_eq(bg_router_pick(&pick, &rtr, &q), BG_ENOTFOUND);
	emptied.reports[0].is_emptied = 0;
	pick_many(PICKS);
}
END_TEST

/* A server that drains, leaves or starts must not get new calls (P8). */
START_TEST(only_ready_servers_are_used)
{
	members[0].state = BG_MEMBER_DRAINING;
	members[1].state = BG_MEMBER_LEAVING;
	members[2].state = BG_MEMBER_STARTING;
	pick_many(100);
	ck_assert_int_eq(picked[3], 100);
}
END_TEST

/* Calls must not queue at a full server while others have free slots. */
START_TEST(full_server_gets_no_calls)
{
	report(0, 12);
	pick_many(1000);
	ck_assert_int_eq(picked[0], 0);
}
END_TEST

/* A load report that is too old must not affect the choice. */
START_TEST(stale_load_report_is_ignored)
{
	report(0, 12);
	q.now_ms += BG_LOAD_MAX_AGE_MS + 1;
	pick_many(PICKS);
	ck_assert_int_gt(picked[0], PICKS / 8);
}
END_TEST

/* A burst that this node sends before any answer arrives must not go to one
 * server only. */
START_TEST(own_outstanding_calls_count)
{
	int i;

	for (i = 0; i < 12; i++)
		bg_endpoint_sent(endpoint(0));
	pick_many(1000);
	ck_assert_int_eq(picked[0], 0);
}
END_TEST

/* Calls must not cause traffic between data centres without a benefit. */
START_TEST(local_data_centre_is_preferred)
{
	set_data_centre(2, "b");
	set_data_centre(3, "c");
	pick_many(1000);
	ck_assert_int_eq(picked[2] + picked[3], 0);
}
END_TEST

/* If the local data centre is overloaded, calls must not become late there
 * while another one has free slots. */
START_TEST(overloaded_data_centre_spills_over)
{
	set_data_centre(2, "b");
	set_data_centre(3, "b");
	report(0, 40);
	report(1, 40);
	report(2, 0);
	report(3, 0);
	pick_many(1000);
	ck_assert_int_eq(picked[0] + picked[1], 0);
}
END_TEST

START_TEST(empty_data_centre_uses_others)
{
	q.data_centre = "z";
	pick_many(100);
	ck_assert_int_eq(picked[0] + picked[1] + picked[2] + picked[3], 100);
}
END_TEST

/* A server that becomes slow must not get calls while others are fast, but must
 * not be excluded for good either. */
START_TEST(slow_server_is_avoided_then_tried_again)
{
	int i;

	for (i = 0; i < 4; i++)
		report(i, 0);
	report_with(2, 0, 6 * SERVICE_US, 0);
	pick_many(1000);
	ck_assert_int_eq(picked[2], 0);
	q.now_ms += 30000;
	pick_many(1000);
	ck_assert_int_gt(picked[2], 50);
}
END_TEST

/* A server that fails some of its calls must not get calls while others are
 * healthy. */
START_TEST(failing_server_is_avoided)
{
	int i;

	for (i = 0; i < 4; i++)
		report(i, 0);
	report_with(1, 0, SERVICE_US, 300);
	pick_many(1000);
	ck_assert_int_eq(picked[1], 0);
}
END_TEST

/* If all servers fail calls and are slow, calls must still get a server. */
START_TEST(bad_servers_serve_if_there_is_no_other)
{
	int i;

	for (i = 0; i < 4; i++)
		report_with(i, 0, 9 * SERVICE_US, 900);
	pick_many(100);
}
END_TEST

START_TEST(unreachable_server_is_ejected_for_a_time)
{
	fail_calls(0, BG_EJECT_FAILURES);
	pick_many(1000);
	ck_assert_int_eq(picked[0], 0);
	q.now_ms += BG_EJECT_MS;
	pick_many(1000);
	ck_assert_int_gt(picked[0], 0);
	/* One more failure ejects it again, for longer. */
	fail_calls(0, 1);
	q.now_ms += BG_EJECT_MS;
	pick_many(1000);
	ck_assert_int_eq(picked[0], 0);
}
END_TEST

/* A fault outside the servers, which ejects all of them, must not leave calls
 * without a server. */
START_TEST(ejected_servers_are_the_last_resort)
{
	int i;

	for (i = 0; i < 4; i++)
		fail_calls(i, BG_EJECT_FAILURES);
	pick_many(100);
}
END_TEST

static int
is_reachable(void *arg, const char *address)
{
	return strcmp(arg, address) == 0;
}

/* Calls must not be sent on a link that is known not to respond, and a missing
 * link must not be reported as a missing server. */
START_TEST(servers_without_a_link_are_excluded)
{
	struct bg_pick pick;
	char address[] = "127.0.0.3:1";

	q.is_reachable = is_reachable;
	q.arg = address;
	pick_many(100);
	ck_assert_int_eq(picked[2], 100);
	address[0] = 'x';
	ck_assert_int_eq(bg_router_pick(&pick, &rtr, &q), BG_EUNAVAILABLE);
}
END_TEST

START_TEST(avoided_servers_are_not_picked)
{
	const char *avoid[] = {members[0].address, members[1].address};

	q.avoid = avoid;
	q.avoid_count = 2;
	pick_many(100);
	ck_assert_int_eq(picked[0] + picked[1], 0);
}
END_TEST

START_TEST(version_filters_are_applied)
{
	set_version(3, "v2");
	q.only_version = "v2";
	pick_many(100);
	ck_assert_int_eq(picked[3], 100);
	q.only_version = NULL;
	q.except_version = "v2";
	pick_many(100);
	ck_assert_int_eq(picked[3], 0);
}
END_TEST

/* Without the limit, the share of a new version is spread over all its servers,
 * and the version is judged on idle servers although they will be busy. */
START_TEST(server_max_limits_the_candidates)
{
	int i;

	for (i = 0; i < 4; i++)
		set_version(i, "v2");
	q.only_version = "v2";
	q.server_max = 1;
	pick_many(100);
	ck_assert_int_eq(picked[0], 100);
	q.server_max = 2;
	pick_many(1000);
	ck_assert_int_eq(picked[2] + picked[3], 0);
	ck_assert_int_gt(picked[1], 300);
}
END_TEST

/* A server that its own node found bad must not get calls. */
START_TEST(server_with_bad_verdict_is_excluded)
{
	set_version(2, "v2");
	set_version(3, "v2");
	q.only_version = "v2";
	q.verdict_version = "v2";
	q.verdict_generation = 5;
	members[2].verdict = BG_VERDICT_BAD;
	members[2].verdict_generation = 5;
	/* A verdict of an earlier move does not count. */
	members[3].verdict = BG_VERDICT_BAD;
	members[3].verdict_generation = 4;
	pick_many(100);
	ck_assert_int_eq(picked[3], 100);
}
END_TEST

static double
value_of(uint32_t service_us, uint64_t delay_us, uint32_t bad, int is_remote)
{
	struct bg_value_input in = {
	    service_us, delay_us, 400000, 1500000, bad, is_remote, NULL, 0};

	return bg_expected_value(&in);
}

/* A choice that is worse for callers must not have a higher value. */
START_TEST(value_falls_with_each_penalty)
{
	double best = value_of(SERVICE_US, 0, 0, 0);

	ck_assert_double_gt(best, 0.9);
	ck_assert_double_le(best, 1.0);
	ck_assert_double_lt(value_of(3 * SERVICE_US, 0, 0, 0), best);
	ck_assert_double_lt(value_of(SERVICE_US, 200000, 0, 0), best);
	ck_assert_double_lt(value_of(SERVICE_US, 0, 200, 0), best);
	ck_assert_double_lt(value_of(SERVICE_US, 0, 0, 1), best);
	/* An answer that can only be late has less than half the value. */
	ck_assert_double_lt(value_of(SERVICE_US, 500000, 0, 0), 0.5);
	/* The caller no longer waits for the answer. */
	ck_assert_double_lt(value_of(SERVICE_US, 1500000, 0, 0), 0.01);
}
END_TEST

/* A call must not go to another data centre for a free slot if the local queue
 * is shorter than the delay and the traffic are worth. */
START_TEST(short_local_queue_beats_remote_slot)
{
	ck_assert_double_gt(
	    value_of(SERVICE_US, 20000, 0, 0), value_of(SERVICE_US, 0, 0, 1));
	ck_assert_double_lt(
	    value_of(SERVICE_US, 250000, 0, 0), value_of(SERVICE_US, 0, 0, 1));
}
END_TEST

/* Guards against cold servers that get calls while warm ones have free slots,
 * and against warm ones that queue calls which a cold one could start. */
START_TEST(cold_server_is_used_when_warm_ones_are_busy)
{
	int i;

	q.cold.duration_ms = 3000;
	q.cold.rate_milli_per_s = 7200;
	q.wall_ms = 1790000000000;
	members[2].server_started_ms = q.wall_ms - 500;
	for (i = 0; i < 4; i++)
		if (i != 2)
			report(i, 5);
	pick_many(PICKS);
	ck_assert_int_eq(picked[2], 0);
	for (i = 0; i < 4; i++)
		if (i != 2)
			report(i, 25);
	pick_many(PICKS);
	ck_assert_int_eq(picked[2], PICKS);
}
END_TEST

/* Load: all servers are cold. Guards against calls for those that have no start
 * left while another one has. */
START_TEST(cold_server_with_a_start_left_is_preferred)
{
	int i;

	q.cold.duration_ms = 3000;
	q.cold.rate_milli_per_s = 7200;
	q.wall_ms = 1790000000000;
	for (i = 0; i < 4; i++) {
		report(i, 1);
		endpoint(i)->load.cold_left_ms = 2000;
		endpoint(i)->load.cold_starts_milli_per_s = 7200;
		endpoint(i)->load.cold_starts_left = i == 2;
	}
	pick_many(PICKS);
	ck_assert_int_eq(picked[2], PICKS);
}
END_TEST

/* Reports a server with free slots whose machine is as slow as given. */
static void
report_slowness(int i, uint32_t permille, uint32_t work_left_us)
{
	struct bg_load ld = {.running = 2,
	    .slots = 10,
	    .service_us = SERVICE_US,
	    .work_left_us = work_left_us,
	    .slowness_permille = permille};

	bg_endpoint_sent(endpoint(i));
	bg_endpoint_answered(endpoint(i), "lookup", &ld, q.now_ms);
}

/* Guards against calls to a machine that is slow now, and against keeping away
 * from it on news of the past. */
START_TEST(slow_machine_is_avoided_while_the_news_is_fresh)
{
	int i;

	for (i = 0; i < 4; i++)
		report_slowness(i, i == 0 ? 4000 : 1000, 20000);
	pick_many(100);
	ck_assert_int_eq(picked[0], 0);
	q.now_ms += 2500;
	pick_many(PICKS);
	ck_assert_int_gt(picked[0], PICKS / 8);
}
END_TEST

/* Guards against calls that prefer servers which have not reported yet, such as
 * those that have just died, to known ones. */
START_TEST(unknown_server_is_a_usual_one)
{
	struct bg_shape shape;
	int i;

	memset(&shape, 0, sizeof(shape));
	for (i = 0; i < 400; i++)
		bg_shape_record(&shape, i % 10 == 0 ? 7 : 0.7);
	q.shape = &shape;
	q.shape_mean = bg_shape_mean(&shape);
	q.left_us = 500000;
	for (i = 1; i < 4; i++)
		report_slowness(i, 1000, 20000);
	pick_many(PICKS);
	ck_assert_int_lt(picked[0], PICKS / 2);
	ck_assert_int_gt(picked[0], PICKS / 8);
}
END_TEST

/* Guards against a herd: the server with the least work left must be preferred,
 * but not by every call. */
START_TEST(least_work_is_preferred_of_two)
{
	int i;

	for (i = 0; i < 4; i++)
		report_slowness(i, 1000, i == 0 ? 1000 : 90000);
	pick_many(PICKS);
	ck_assert_int_gt(picked[0], PICKS * 3 / 8);
	ck_assert_int_lt(picked[0], PICKS / 2);
}
END_TEST

/* Guards against calls that a gatekeeper refuses again and again: it sends its
 * server less than the slots, because the server sheds calls. */
START_TEST(reached_limit_is_full_below_the_slots)
{
	struct bg_load ld = {.running = 5,
	    .slots = 10,
	    .wait_us = 50000,
	    .service_us = SERVICE_US,
	    .slowness_permille = 600};
	int i;

	for (i = 1; i < 4; i++)
		report_slowness(i, 1000, 20000);
	bg_endpoint_sent(endpoint(0));
	bg_endpoint_answered(endpoint(0), "lookup", &ld, q.now_ms);
	pick_many(100);
	ck_assert_int_eq(picked[0], 0);
	q.now_ms += 60;
	pick_many(100);
	ck_assert_int_gt(picked[0], 0);
}
END_TEST

static double
value_by_shape(const struct bg_shape *shape, uint64_t left_us)
{
	struct bg_value_input in = {
	    SERVICE_US, 0, 400000, left_us, 0, 0, shape, 0};

	if (shape != NULL)
		in.shape_mean = bg_shape_mean(shape);
	return bg_expected_value(&in);
}

/* Guards against calls to a server on which the few expensive ones would miss
 * the deadline, although its mean time is well within the target. */
START_TEST(expensive_calls_count_by_their_distribution)
{
	struct bg_shape shape;
	int i;

	memset(&shape, 0, sizeof(shape));
	for (i = 0; i < 400; i++)
		bg_shape_record(&shape, i % 20 == 0 ? 7 : 0.7);
	ck_assert_double_lt(value_by_shape(&shape, 600000),
	    value_by_shape(&shape, 1000000) - 0.02);
	ck_assert_double_gt(
	    value_by_shape(NULL, 600000), value_by_shape(NULL, 1000000) - 0.01);
}
END_TEST

/* Guards against an explanation that differs from what the router does. */
START_TEST(evaluation_names_why_servers_are_not_picked)
{
	struct bg_candidate cand[MEMBERS];
	struct bg_emptied_set emptied = {0};
	struct bg_pick pick;

	emptied.count = 1;
	emptied.reports[0].is_emptied = 1;
	snprintf(emptied.reports[0].data_centre, BG_NAME_BYTES, "b");
	q.emptied = &emptied;
	q.except_version = "v2";
	set_data_centre(0, "b");
	set_version(1, "v2");
	report(2, 1);
	fail_calls(3, BG_EJECT_FAILURES);
	members[4].state = BG_MEMBER_LEAVING;
	q.member_count = 5;
	bg_router_evaluate(cand, &rtr, &q);
	ck_assert_int_eq(cand[0].exclusion, BG_EXCLUSION_EMPTIED);
	ck_assert_int_eq(cand[1].exclusion, BG_EXCLUSION_VERSION);
	ck_assert_int_eq(cand[2].exclusion, BG_EXCLUSION_NONE);
	ck_assert_int_eq(cand[3].exclusion, BG_EXCLUSION_UNAVAILABLE);
	ck_assert_int_eq(cand[4].exclusion, BG_EXCLUSION_NOT_READY);
	ck_assert_int_eq(bg_router_pick(&pick, &rtr, &q), 0);
	ck_assert_ptr_eq(pick.member, cand[2].pick.member);
	ck_assert_double_eq(pick.value, cand[2].pick.value);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("router");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, cold_server_is_used_when_warm_ones_are_busy);
	tcase_add_test(tc, cold_server_with_a_start_left_is_preferred);
	tcase_add_test(tc, calls_spread_evenly);
	tcase_add_test(tc, empty_member_list_is_not_found);
	tcase_add_test(tc, emptied_data_centres_are_left_out);
	tcase_add_test(tc, only_ready_servers_are_used);
	tcase_add_test(tc, full_server_gets_no_calls);
	tcase_add_test(tc, stale_load_report_is_ignored);
	tcase_add_test(tc, own_outstanding_calls_count);
	tcase_add_test(tc, local_data_centre_is_preferred);
	tcase_add_test(tc, overloaded_data_centre_spills_over);
	tcase_add_test(tc, empty_data_centre_uses_others);
	tcase_add_test(tc, slow_server_is_avoided_then_tried_again);
	tcase_add_test(tc, failing_server_is_avoided);
	tcase_add_test(tc, bad_servers_serve_if_there_is_no_other);
	tcase_add_test(tc, unreachable_server_is_ejected_for_a_time);
	tcase_add_test(tc, ejected_servers_are_the_last_resort);
	tcase_add_test(tc, servers_without_a_link_are_excluded);
	tcase_add_test(tc, avoided_servers_are_not_picked);
	tcase_add_test(tc, version_filters_are_applied);
	tcase_add_test(tc, server_max_limits_the_candidates);
	tcase_add_test(tc, server_with_bad_verdict_is_excluded);
	tcase_add_test(tc, value_falls_with_each_penalty);
	tcase_add_test(tc, short_local_queue_beats_remote_slot);
	tcase_add_test(tc, slow_machine_is_avoided_while_the_news_is_fresh);
	tcase_add_test(tc, reached_limit_is_full_below_the_slots);
	tcase_add_test(tc, unknown_server_is_a_usual_one);
	tcase_add_test(tc, least_work_is_preferred_of_two);
	tcase_add_test(tc, expensive_calls_count_by_their_distribution);
	tcase_add_test(tc, evaluation_names_why_servers_are_not_picked);
	return run_suite("router", tc);
}
