#include <stdio.h>
#include <string.h>

#include "router/router.h"
#include "suite.h"

#define MEMBERS 12
#define PICKS 4000

static struct bg_router rtr;
static struct bg_share shr;
static struct bg_breaker breaker;
static struct bg_service svc;
static struct bg_member members[MEMBERS];
static struct bg_pick_query q;
static int picked[MEMBERS];

static void
setup(void)
{
	int i;

	bg_router_init(&rtr, 7);
	bg_share_init(&shr);
	bg_breaker_init(&breaker);
	memset(&svc, 0, sizeof(svc));
	memset(members, 0, sizeof(members));
	memset(&q, 0, sizeof(q));
	snprintf(svc.head.name, BG_NAME_BYTES, "s");
	snprintf(svc.contract.routes[0].name, BG_NAME_BYTES, "lookup");
	svc.contract.routes[0].is_idempotent = 1;
	svc.contract.route_count = 1;
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
	q.service = &svc;
	q.route = &svc.contract.routes[0];
	q.data_centre = "a";
	q.share = &shr;
	q.breaker = &breaker;
	q.now_ms = 1000000;
	q.wall_ms = 5000000;
}

static void
teardown(void)
{
	bg_router_free(&rtr);
	bg_share_free(&shr);
	bg_breaker_free(&breaker);
}

/* Picks many times and counts; each call ends before the next one. */
static void
pick_many(int count)
{
	struct bg_pick pick;
	int i;

	memset(picked, 0, sizeof(picked));
	for (i = 0; i < count; i++) {
		ck_assert_int_eq(bg_router_pick(&pick, &rtr, &q), 0);
		picked[pick.member - members]++;
		bg_share_count(&shr, "s", q.route, &svc.head.move, pick.is_new);
	}
}

static struct bg_endpoint *
endpoint(int i)
{
	return bg_endpoint_get(&rtr.endpoints, members[i].address);
}

static void
load(int i, uint32_t running)
{
	struct bg_load ld = {running, 0, 5000};

	bg_endpoint_sent(endpoint(i));
	bg_endpoint_answered(endpoint(i), &ld, 0, q.now_ms);
}

static void
fail_calls(int i, int times)
{
	while (times-- > 0) {
		bg_endpoint_sent(endpoint(i));
		bg_endpoint_answered(endpoint(i), NULL, 1, q.now_ms);
	}
}

static void
set_version(int i, const char *version)
{
	snprintf(members[i].server_version, BG_NAME_BYTES, "%s", version);
}

static void
set_move(enum bg_move_state state, uint32_t permille)
{
	struct bg_move *move = &svc.head.move;

	move->state = state;
	move->generation = 1;
	move->share_permille = permille;
	snprintf(move->from, BG_NAME_BYTES, "v1");
	snprintf(move->to, BG_NAME_BYTES, "v2");
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

START_TEST(no_member_is_no_server)
{
	struct bg_pick pick;

	q.member_count = 0;
	ck_assert_int_eq(bg_router_pick(&pick, &rtr, &q), BG_ENOTFOUND);
}
END_TEST

/* Guards against new work for a server that drains or is gone. */
START_TEST(only_ready_servers_are_used)
{
	members[0].state = BG_MEMBER_DRAINING;
	members[1].state = BG_MEMBER_LEAVING;
	members[2].state = BG_MEMBER_STARTING;
	pick_many(100);
	ck_assert_int_eq(picked[3], 100);
}
END_TEST

START_TEST(loaded_server_gets_fewer_calls)
{
	load(0, 9);
	pick_many(PICKS);
	ck_assert_int_lt(picked[0], PICKS / 20);
}
END_TEST

/* Guards against decisions on a load figure that no longer holds. */
START_TEST(old_load_report_is_forgotten)
{
	load(0, 9);
	q.now_ms += BG_LOAD_FRESH_MS + 1;
	pick_many(PICKS);
	ck_assert_int_gt(picked[0], PICKS / 8);
}
END_TEST

START_TEST(own_outstanding_calls_count)
{
	int i;

	for (i = 0; i < 8; i++)
		bg_endpoint_sent(endpoint(0));
	pick_many(PICKS);
	ck_assert_int_lt(picked[0], PICKS / 20);
}
END_TEST

START_TEST(own_data_centre_comes_first)
{
	snprintf(members[2].data_centre, BG_NAME_BYTES, "b");
	snprintf(members[3].data_centre, BG_NAME_BYTES, "c");
	pick_many(1000);
	ck_assert_int_eq(picked[2] + picked[3], 0);
}
END_TEST

START_TEST(loaded_data_centre_spills_over)
{
	snprintf(members[2].data_centre, BG_NAME_BYTES, "b");
	snprintf(members[3].data_centre, BG_NAME_BYTES, "b");
	bg_router_delay(&rtr, "b", 2000);
	load(0, 30);
	load(1, 30);
	load(2, 0);
	load(3, 0);
	pick_many(1000);
	ck_assert_int_eq(picked[0] + picked[1], 0);
}
END_TEST

/* Guards against calls that go far away to save less than the way costs. */
START_TEST(delay_is_weighed_against_load)
{
	snprintf(members[2].data_centre, BG_NAME_BYTES, "b");
	snprintf(members[3].data_centre, BG_NAME_BYTES, "b");
	bg_router_delay(&rtr, "b", 80000);
	load(0, 12);
	load(1, 12);
	load(2, 0);
	load(3, 0);
	pick_many(1000);
	ck_assert_int_eq(picked[2] + picked[3], 0);
}
END_TEST

START_TEST(empty_data_centre_uses_others)
{
	q.data_centre = "z";
	pick_many(100);
	ck_assert_int_eq(picked[0] + picked[1] + picked[2] + picked[3], 100);
}
END_TEST

START_TEST(failing_server_is_ejected_for_a_time)
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

/* Guards against a fault elsewhere that empties the list of servers. */
START_TEST(at_most_half_is_ejected)
{
	int used = 0;
	int i;

	for (i = 0; i < 4; i++)
		fail_calls(i, BG_EJECT_FAILURES);
	pick_many(1000);
	for (i = 0; i < 4; i++)
		used += picked[i] > 0;
	ck_assert_int_eq(used, 2);
}
END_TEST

/* Guards against a cold server that gets its full part at once. */
START_TEST(slow_start_ramps_up)
{
	int early;
	int later;

	load(1, 2);
	load(2, 2);
	load(3, 2);
	members[0].ready_since_ms = q.wall_ms - 100;
	load(0, 0);
	pick_many(PICKS);
	early = picked[0];
	members[0].ready_since_ms = q.wall_ms - BG_SLOW_START_MS;
	pick_many(PICKS);
	later = picked[0];
	ck_assert_int_lt(early, PICKS / 20);
	ck_assert_int_gt(later, PICKS / 4);
}
END_TEST

START_TEST(dead_members_are_not_used)
{
	members[0].is_dead = 1;
	pick_many(1000);
	ck_assert_int_eq(picked[0], 0);
}
END_TEST

/* Guards against no server at all when the members were lost to a partition
 * and not to a fault of theirs. */
START_TEST(recently_dead_members_are_the_last_resort)
{
	struct bg_pick pick;
	int i;

	for (i = 0; i < 4; i++) {
		members[i].is_dead = 1;
		members[i].dead_observed_ms = q.now_ms - 1000;
	}
	pick_many(100);
	for (i = 0; i < 4; i++)
		members[i].dead_observed_ms = q.now_ms - BG_DEAD_USABLE_MS - 1;
	ck_assert_int_eq(bg_router_pick(&pick, &rtr, &q), BG_ENOTFOUND);
}
END_TEST

START_TEST(live_members_come_before_dead_ones)
{
	int i;

	for (i = 1; i < 4; i++) {
		members[i].is_dead = 1;
		members[i].dead_observed_ms = q.now_ms - 1000;
	}
	pick_many(100);
	ck_assert_int_eq(picked[0], 100);
	q.tried[0] = members[0].address;
	q.tried_count = 1;
	pick_many(100);
	ck_assert_int_eq(picked[0], 0);
}
END_TEST

START_TEST(tried_server_is_not_used_again)
{
	q.tried[0] = members[0].address;
	q.tried[1] = members[1].address;
	q.tried_count = 2;
	pick_many(100);
	ck_assert_int_eq(picked[0] + picked[1], 0);
}
END_TEST

START_TEST(move_keeps_to_its_share)
{
	set_version(3, "v2");
	set_move(BG_MOVE_IN_PROGRESS, 50);
	pick_many(2000);
	ck_assert_int_eq(picked[3], 100);
}
END_TEST

/* Guards against a retry that goes to the new version over its share. */
START_TEST(retry_does_not_exceed_the_share)
{
	struct bg_pick pick;

	set_version(1, "v2");
	set_move(BG_MOVE_IN_PROGRESS, 50);
	q.member_count = 2;
	q.tried[0] = members[0].address;
	q.tried_count = 1;
	ck_assert_int_eq(bg_router_pick(&pick, &rtr, &q), BG_ENOTFOUND);
}
END_TEST

START_TEST(full_new_server_gets_no_more)
{
	set_version(3, "v2");
	set_move(BG_MOVE_IN_PROGRESS, 500);
	load(3, 10);
	pick_many(100);
	ck_assert_int_eq(picked[3], 0);
}
END_TEST

START_TEST(stopped_version_gets_no_call)
{
	set_version(3, "v2");
	set_move(BG_MOVE_IN_PROGRESS, 500);
	bg_breaker_ban(&breaker, "s", "v2", 1);
	pick_many(1000);
	ck_assert_int_eq(picked[3], 0);
}
END_TEST

START_TEST(done_uses_the_new_version_only)
{
	set_version(3, "v2");
	set_move(BG_MOVE_DONE, 1000);
	pick_many(100);
	ck_assert_int_eq(picked[3], 100);
}
END_TEST

START_TEST(stopped_after_done_uses_the_old_version)
{
	set_version(3, "v2");
	set_move(BG_MOVE_DONE, 1000);
	bg_breaker_ban(&breaker, "s", "v2", 1);
	pick_many(100);
	ck_assert_int_eq(picked[3], 0);
}
END_TEST

START_TEST(rolled_back_uses_the_old_version_only)
{
	set_version(3, "v2");
	set_move(BG_MOVE_ROLLED_BACK, 0);
	pick_many(100);
	ck_assert_int_eq(picked[3], 0);
}
END_TEST

/* Guards against an outage while a server that may be used is ready. */
START_TEST(other_version_serves_when_none_is_left)
{
	int i;

	for (i = 0; i < 4; i++)
		set_version(i, "v2");
	set_move(BG_MOVE_ROLLED_BACK, 0);
	pick_many(100);
}
END_TEST

START_TEST(banned_version_never_serves)
{
	struct bg_pick pick;
	int i;

	for (i = 0; i < 4; i++)
		set_version(i, "v2");
	set_move(BG_MOVE_ROLLED_BACK, 0);
	bg_breaker_ban(&breaker, "s", "v2", 1);
	ck_assert_int_eq(bg_router_pick(&pick, &rtr, &q), BG_ENOTFOUND);
}
END_TEST

START_TEST(service_without_a_move_uses_any_version)
{
	set_version(3, "v2");
	pick_many(1000);
	ck_assert_int_gt(picked[3], 0);
	ck_assert_int_gt(picked[0], 0);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("router");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, calls_spread_evenly);
	tcase_add_test(tc, no_member_is_no_server);
	tcase_add_test(tc, only_ready_servers_are_used);
	tcase_add_test(tc, loaded_server_gets_fewer_calls);
	tcase_add_test(tc, old_load_report_is_forgotten);
	tcase_add_test(tc, own_outstanding_calls_count);
	tcase_add_test(tc, own_data_centre_comes_first);
	tcase_add_test(tc, loaded_data_centre_spills_over);
	tcase_add_test(tc, delay_is_weighed_against_load);
	tcase_add_test(tc, empty_data_centre_uses_others);
	tcase_add_test(tc, failing_server_is_ejected_for_a_time);
	tcase_add_test(tc, at_most_half_is_ejected);
	tcase_add_test(tc, slow_start_ramps_up);
	tcase_add_test(tc, dead_members_are_not_used);
	tcase_add_test(tc, recently_dead_members_are_the_last_resort);
	tcase_add_test(tc, live_members_come_before_dead_ones);
	tcase_add_test(tc, tried_server_is_not_used_again);
	tcase_add_test(tc, move_keeps_to_its_share);
	tcase_add_test(tc, retry_does_not_exceed_the_share);
	tcase_add_test(tc, full_new_server_gets_no_more);
	tcase_add_test(tc, stopped_version_gets_no_call);
	tcase_add_test(tc, done_uses_the_new_version_only);
	tcase_add_test(tc, stopped_after_done_uses_the_old_version);
	tcase_add_test(tc, rolled_back_uses_the_old_version_only);
	tcase_add_test(tc, other_version_serves_when_none_is_left);
	tcase_add_test(tc, banned_version_never_serves);
	tcase_add_test(tc, service_without_a_move_uses_any_version);
	return run_suite("router", tc);
}
