/* Which connections are closed when clients that nobody controls take the
 * memory or the connections of a node. */

#include <check.h>

#include "ingress/conn_policy.h"
#include "suite.h"

#define MIB (1024 * 1024)
#define NOW_MS 100000

static struct bg_conn_view
view(enum bg_conn_activity activity, uint64_t still_ms, int has_served)
{
	struct bg_conn_view v = {activity, NOW_MS - still_ms, has_served};

	return v;
}

static int
has_stalled(enum bg_conn_activity activity, uint64_t still_ms)
{
	struct bg_conn_view v = view(activity, still_ms, 0);

	return bg_conn_has_stalled(&v, NOW_MS);
}

static int
is_replaceable(enum bg_conn_activity activity, uint64_t still_ms)
{
	struct bg_conn_view v = view(activity, still_ms, 0);

	return bg_conn_is_replaceable(&v, NOW_MS);
}

/* Guards against connections whose overhead alone takes the memory, and against
 * a node with little memory that serves nobody. */
START_TEST(limit_follows_memory_and_settings)
{
	ck_assert_uint_eq(bg_conn_limit(64 * MIB, 0), 2048);
	ck_assert_uint_eq(bg_conn_limit(64 * MIB, 1950), 1950);
	ck_assert_uint_eq(bg_conn_limit(64 * MIB, 5000), 2048);
	ck_assert_uint_eq(bg_conn_limit(1 * MIB, 0), BG_CONN_LIMIT_MIN);
}
END_TEST

/* Load: bodies that stop short of their end, and responses that nobody reads.
 * Guards against such a connection that keeps its memory, and against the close
 * of one whose call runs for long. */
START_TEST(what_does_not_move_has_stalled)
{
	ck_assert(has_stalled(BG_CONN_RECEIVING, BG_CONN_STALL_MS));
	ck_assert(has_stalled(BG_CONN_SENDING, BG_CONN_STALL_MS));
	ck_assert(!has_stalled(BG_CONN_RECEIVING, BG_CONN_STALL_MS - 1));
	ck_assert(!has_stalled(BG_CONN_SERVING, 60000));
	ck_assert(!has_stalled(BG_CONN_IDLE, 60000));
}
END_TEST

/* Load: more idle connections than the node may have. Guards against a new
 * caller that is refused for their sake, and against a running call that is cut
 * off for a new one. */
START_TEST(idle_connection_gives_way)
{
	ck_assert(is_replaceable(BG_CONN_IDLE, BG_CONN_IDLE_MIN_MS));
	ck_assert(!is_replaceable(BG_CONN_IDLE, BG_CONN_IDLE_MIN_MS - 1));
	ck_assert(is_replaceable(BG_CONN_RECEIVING, BG_CONN_STALL_MS));
	ck_assert(!is_replaceable(BG_CONN_SERVING, 60000));
}
END_TEST

/* Guards against a kept connection that is closed before one that was never
 * used. */
START_TEST(unused_connection_gives_way_first)
{
	struct bg_conn_view kept = view(BG_CONN_IDLE, 5000, 1);
	struct bg_conn_view fresh = view(BG_CONN_IDLE, 1000, 0);
	struct bg_conn_view stalled = view(BG_CONN_RECEIVING, 3000, 1);

	ck_assert(bg_conn_is_replaced_before(&fresh, &kept));
	ck_assert(!bg_conn_is_replaced_before(&kept, &fresh));
	ck_assert(bg_conn_is_replaced_before(&stalled, &kept));
	ck_assert(bg_conn_is_replaced_before(&stalled, &fresh));
}
END_TEST

/* Load: callers that send many requests at once, on all connections. Guards
 * against connections that are busy for so long that no other caller gets one.
 */
START_TEST(pipelining_caller_gives_way_near_the_limit)
{
	struct bg_conn_crowd crowd = {88, 100, 1, 0};

	ck_assert(bg_conn_is_crowding(&crowd));
	crowd.count = 87;
	ck_assert(!bg_conn_is_crowding(&crowd));
	crowd.count = 100;
	crowd.pipelined_bytes = 0;
	ck_assert(!bg_conn_is_crowding(&crowd));
}
END_TEST

/* Pattern: some hundred callers send thousands of requests ahead, which are
 * refused at once and take each slot that becomes free. Guards against an
 * ordinary caller who is refused all the time. */
START_TEST(pipelining_caller_who_is_refused_gives_way)
{
	struct bg_conn_crowd crowd = {1, 100, 1, 1};

	ck_assert(bg_conn_is_crowding(&crowd));
	/* One who waits for the response keeps the connection. */
	crowd.pipelined_bytes = 0;
	ck_assert(!bg_conn_is_crowding(&crowd));
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("conn_policy");

	tcase_add_test(tc, limit_follows_memory_and_settings);
	tcase_add_test(tc, what_does_not_move_has_stalled);
	tcase_add_test(tc, idle_connection_gives_way);
	tcase_add_test(tc, unused_connection_gives_way_first);
	tcase_add_test(tc, pipelining_caller_gives_way_near_the_limit);
	tcase_add_test(tc, pipelining_caller_who_is_refused_gives_way);
	return run_suite("conn_policy", tc);
}
