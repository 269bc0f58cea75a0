#include <check.h>
#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"

#include "mesh/children.h"
#include "mesh/codec.h"
#include "mesh/uplink.h"

/* Upper bound of one wait; a lost event fails, not hangs. */
#define WAIT_MS 10000
#define PARENT_INCARNATION 50
#define CHILD "127.0.0.1:9"

struct fixture {
	struct event_base *base;
	struct bg_link_server *server;
	struct bg_table *up;   /* of the parent */
	struct bg_table *down; /* of the child */
	struct bg_children *children;
	struct bg_uplink *uplink;
	struct bg_root_view view;
	char parent[BG_ADDRESS_BYTES];
	uint64_t refused;
	uint64_t floor_version;
	int replies;
	int merged_up;
	int merged_down;
	int losses;
	int silent;
	int is_floor_wanted;
	uint64_t known_incarnation;
	char reason[64];
	char redirect[BG_ADDRESS_BYTES];
	uint32_t retry_ms;
	struct bg_xsync_res last;
	char last_holder[BG_ADDRESS_BYTES];
};

static struct fixture fx;

static void
on_view(void *arg, struct bg_root_view *out)
{
	*out = fx.view;
}

static int
on_is_root(void *arg)
{
	return 1;
}

static const char *
on_parent(void *arg)
{
	return NULL;
}

static uint64_t
on_floor_request(void *arg)
{
	return 1;
}

static uint64_t
on_floor_reply(void *arg, uint64_t number)
{
	return fx.floor_version;
}

static uint64_t
on_refused(void *arg)
{
	return fx.refused;
}

static void
on_merged_up(void *arg)
{
	fx.merged_up++;
}

static void
on_silent(void *arg, const char *address, uint64_t incarnation)
{
	fx.silent++;
}

static int
on_replied(void *arg, const struct bg_xsync_res *res)
{
	fx.replies++;
	fx.last = *res;
	snprintf(
	    fx.last_holder, sizeof(fx.last_holder), "%s", res->lease_holder);
	return 0;
}

static void
on_merged_down(void *arg)
{
	fx.merged_down++;
}

static void
on_lost(void *arg, const char *reason, const char *redirect, uint32_t retry_ms,
    int is_link_fault)
{
	fx.losses++;
	snprintf(fx.reason, sizeof(fx.reason), "%s", reason);
	snprintf(fx.redirect, sizeof(fx.redirect), "%s", redirect);
	fx.retry_ms = retry_ms;
}

static void
on_stale(void *arg, uint64_t known)
{
	fx.known_incarnation = known;
}

static enum bg_floor_want
on_wants_floor(void *arg)
{
	return fx.is_floor_wanted ? BG_FLOOR_YES : BG_FLOOR_NO;
}

static void
open_children(uint32_t fanout)
{
	struct bg_children_options opts = {0};

	opts.base = fx.base;
	opts.server = fx.server;
	opts.table = fx.up;
	opts.self = fx.parent;
	opts.data_centre = "dc";
	opts.incarnation = PARENT_INCARNATION;
	opts.fanout = fanout;
	opts.handler.view = on_view;
	opts.handler.is_root = on_is_root;
	opts.handler.parent = on_parent;
	opts.handler.floor_request = on_floor_request;
	opts.handler.floor_reply = on_floor_reply;
	opts.handler.refused_version = on_refused;
	opts.handler.merged = on_merged_up;
	opts.handler.silent = on_silent;
	ck_assert_int_eq(bg_children_init(&fx.children, &opts), 0);
}

static struct bg_uplink *
open_uplink(const char *self, uint64_t incarnation, uint32_t digests_ms)
{
	struct bg_uplink_options opts = {0};
	struct bg_uplink *upl;

	opts.base = fx.base;
	opts.address = fx.parent;
	opts.self = self;
	opts.data_centre = "dc";
	opts.incarnation = incarnation;
	opts.digests_ms = digests_ms;
	opts.table = fx.down;
	opts.handler.replied = on_replied;
	opts.handler.merged = on_merged_down;
	opts.handler.lost = on_lost;
	opts.handler.stale = on_stale;
	opts.handler.wants_floor = on_wants_floor;
	ck_assert_int_eq(bg_uplink_init(&upl, &opts), 0);
	return upl;
}

static void
setup(void)
{
	memset(&fx, 0, sizeof(fx));
	fx.base = event_base_new();
	bg_table_init(&fx.up);
	bg_table_init(&fx.down);
	ck_assert_int_eq(
	    bg_link_server_init(&fx.server, fx.base, "127.0.0.1:0", NULL), 0);
	snprintf(fx.parent, sizeof(fx.parent), "127.0.0.1:%u",
	    bg_link_server_port(fx.server));
	memcpy(fx.view.address, fx.parent, sizeof(fx.view.address));
	fx.view.term = 3;
	fx.view.object_version = 9;
	fx.view.expires_ms = bg_clock_now_ms() + 60000;
}

static void
teardown(void)
{
	bg_uplink_free(fx.uplink);
	bg_children_free(fx.children);
	bg_link_server_free(fx.server);
	bg_table_free(fx.up);
	bg_table_free(fx.down);
	event_base_free(fx.base);
}

static void
put(struct bg_table *tbl, uint32_t kind, const char *key, uint64_t major,
    uint64_t origin)
{
	struct bg_item item = {kind, major, 0, 2, "{}", key};
	int changed;

	ck_assert_int_eq(bg_table_merge(&changed, tbl, &item, origin), 0);
}

static int
has(const struct bg_table *tbl, uint32_t kind, const char *key, uint64_t major)
{
	struct bg_item item;

	return bg_table_get(&item, tbl, kind, key) == 0 && item.major == major;
}

/* Runs the loop in short steps until the condition holds. */
#define WAIT_FOR(condition)                                                \
	do {                                                               \
		uint64_t end_ms = bg_clock_now_ms() + WAIT_MS;             \
		struct timeval step = {0, 5000};                           \
		while (!(condition) && bg_clock_now_ms() < end_ms) {       \
			event_base_loopexit(fx.base, &step);               \
			event_base_dispatch(fx.base);                      \
			bg_children_tick(fx.children, bg_clock_now_ms());  \
		}                                                          \
		ck_assert_msg((condition), "not reached: %s", #condition); \
	} while (0)

/* Guards against an attach after which one side lacks items of the other. */
START_TEST(attach_exchanges_both_ways)
{
	open_children(16);
	put(fx.up, BG_ITEM_SERVICE, "a", 1, 0);
	put(fx.down, BG_ITEM_MARK, "b", 1, 0);
	put(fx.down, BG_ITEM_ACK, CHILD, 1, 0);
	fx.uplink = open_uplink(CHILD, 1, 0);
	WAIT_FOR(has(fx.down, BG_ITEM_SERVICE, "a", 1));
	WAIT_FOR(has(fx.up, BG_ITEM_MARK, "b", 1));
	WAIT_FOR(has(fx.up, BG_ITEM_ACK, CHILD, 1));
	ck_assert_int_eq(bg_children_has(fx.children, CHILD), 1);
	ck_assert_int_eq(fx.losses, 0);
}
END_TEST

/* Guards against news that wait for the next heartbeat, and against
 * confirmations that wait for news. */
START_TEST(news_are_sent_at_once)
{
	uint64_t start_ms;

	open_children(16);
	fx.uplink = open_uplink(CHILD, 1, 0);
	WAIT_FOR(bg_uplink_is_attached(fx.uplink));
	start_ms = bg_clock_now_ms();
	put(fx.up, BG_ITEM_HEAD, "head", 2, 0);
	bg_children_flush(fx.children);
	WAIT_FOR(has(fx.down, BG_ITEM_HEAD, "head", 2));
	put(fx.down, BG_ITEM_MEMBER, CHILD, 1, 0);
	bg_uplink_flush(fx.uplink, 1);
	WAIT_FOR(bg_uplink_confirmed(fx.uplink) >= bg_table_cursor(fx.down));
	ck_assert_int_eq(has(fx.up, BG_ITEM_MEMBER, CHILD, 1), 1);
	/* Both within one heartbeat of 1 s, or one of them waited for it. */
	ck_assert_uint_lt(bg_clock_now_ms() - start_ms, 900);
}
END_TEST

/* Guards against a gap that lasts: the parent believes that the child has an
 * item, as after a fault that nothing else shows. */
START_TEST(periodic_digests_close_a_gap)
{
	open_children(16);
	fx.uplink = open_uplink(CHILD, 1, 100);
	WAIT_FOR(bg_uplink_is_attached(fx.uplink));
	put(fx.up, BG_ITEM_MARK, "lost", 4, bg_origin_of(CHILD));
	put(fx.down, BG_ITEM_MARK, "also", 5, bg_origin_of(fx.parent));
	WAIT_FOR(has(fx.down, BG_ITEM_MARK, "lost", 4));
	WAIT_FOR(has(fx.up, BG_ITEM_MARK, "also", 5));
}
END_TEST

/* Guards against a replaced child that does not get what its predecessor had
 * sent. */
START_TEST(replaced_child_gets_its_old_items)
{
	open_children(16);
	put(fx.up, BG_ITEM_SERVICE, "a", 1, bg_origin_of(CHILD));
	fx.uplink = open_uplink(CHILD, 2, 0);
	WAIT_FOR(has(fx.down, BG_ITEM_SERVICE, "a", 1));
}
END_TEST

/* Guards against a parent with more children than its fan-out. */
START_TEST(full_parent_redirects)
{
	struct bg_uplink *second;

	open_children(1);
	fx.uplink = open_uplink(CHILD, 1, 0);
	WAIT_FOR(bg_uplink_is_attached(fx.uplink));
	second = open_uplink("127.0.0.1:8", 1, 0);
	WAIT_FOR(fx.losses == 1);
	ck_assert_str_eq(fx.reason, "redirect");
	ck_assert_str_eq(fx.redirect, CHILD);
	ck_assert_uint_eq(bg_children_count(fx.children), 1);
	bg_uplink_free(second);
}
END_TEST

/* Guards against a node that is shadowed by its predecessor's entry. */
START_TEST(stale_incarnation_is_reported)
{
	open_children(16);
	put(fx.up, BG_ITEM_MEMBER, CHILD, 7, 0);
	fx.uplink = open_uplink(CHILD, 6, 0);
	WAIT_FOR(fx.losses == 1);
	ck_assert_uint_eq(fx.known_incarnation, 7);
	ck_assert_int_eq(bg_children_has(fx.children, CHILD), 0);
}
END_TEST

/* Guards against a tree without root: a node that does not know a root that is
 * alive admits nobody. */
START_TEST(parent_without_root_refuses)
{
	open_children(16);
	fx.view.expires_ms = bg_clock_now_ms();
	fx.uplink = open_uplink(CHILD, 1, 0);
	WAIT_FOR(fx.losses == 1);
	ck_assert_str_eq(fx.reason, "busy");
	ck_assert_uint_gt(fx.retry_ms, 0);
}
END_TEST

/* Guards against a holder that was paused and still answers as holder. */
START_TEST(lapsed_lease_is_not_claimed)
{
	int replies;

	open_children(16);
	fx.uplink = open_uplink(CHILD, 1, 0);
	WAIT_FOR(bg_uplink_is_attached(fx.uplink));
	ck_assert_str_eq(fx.last_holder, fx.parent);
	ck_assert_uint_gt(fx.last.lease_remaining_ms, 0);
	fx.view.expires_ms = bg_clock_now_ms();
	replies = fx.replies;
	put(fx.up, BG_ITEM_MARK, "m", 1, 0);
	bg_children_flush(fx.children);
	WAIT_FOR(fx.replies > replies);
	ck_assert_str_eq(fx.last_holder, "");
	ck_assert_uint_eq(fx.last.lease_remaining_ms, 0);
}
END_TEST

/* Guards against a refused version that spreads to further nodes. */
START_TEST(refused_version_is_kept_back)
{
	open_children(16);
	fx.refused = 3;
	put(fx.up, BG_ITEM_HEAD, "head", 3, 0);
	put(fx.up, BG_ITEM_MARK, "m", 1, 0);
	fx.uplink = open_uplink(CHILD, 1, 0);
	WAIT_FOR(has(fx.down, BG_ITEM_MARK, "m", 1));
	ck_assert_int_eq(has(fx.down, BG_ITEM_HEAD, "head", 3), 0);
	put(fx.up, BG_ITEM_HEAD, "head", 4, 0);
	bg_children_flush(fx.children);
	WAIT_FOR(has(fx.down, BG_ITEM_HEAD, "head", 4));
}
END_TEST

/* Guards against a floor that is only sent with the next news. */
START_TEST(floor_is_sent_when_known)
{
	open_children(16);
	fx.is_floor_wanted = 1;
	fx.uplink = open_uplink(CHILD, 1, 0);
	WAIT_FOR(bg_uplink_is_attached(fx.uplink));
	ck_assert_uint_eq(fx.last.floor_version, 0);
	fx.floor_version = 12;
	bg_children_flush(fx.children);
	WAIT_FOR(fx.last.floor_version == 12);
	ck_assert_int_eq(bg_uplink_asked_floor(fx.uplink), 1);
}
END_TEST

/* Guards against a child that is gone and stays a member. */
START_TEST(silent_child_is_reported)
{
	open_children(16);
	fx.uplink = open_uplink(CHILD, 1, 0);
	WAIT_FOR(bg_uplink_is_attached(fx.uplink));
	bg_uplink_free(fx.uplink);
	fx.uplink = NULL;
	WAIT_FOR(fx.silent == 1);
	ck_assert_int_eq(bg_children_has(fx.children, CHILD), 0);
}
END_TEST

/* A parent whose items were changed on the way. */
static void
answer_corrupt(void *arg, struct bg_rpc *rpc, void *raw)
{
	struct bg_xitem one = {BG_ITEM_MARK, (char *)"m", 1, 0, {2, NULL}};
	struct bg_xitems list = {{1, &one}};
	struct bg_packed packed;
	struct bg_xsync_res res;
	char value[] = "{}";

	one.value.value_val = value;
	ck_assert_int_eq(bg_items_pack(&packed, &list), 0);
	memset(&res, 0, sizeof(res));
	res.redirect = (char *)"";
	res.lease_holder = (char *)"";
	res.address = fx.parent;
	res.incarnation = PARENT_INCARNATION;
	res.items.items_val = packed.data;
	res.items.items_len = packed.bytes;
	res.items_digest = packed.digest;
	packed.data[packed.bytes - 3] ^= 1;
	bg_rpc_reply(rpc, (xdrproc_t)xdr_bg_xsync_res, &res);
	free(packed.data);
}

/* Guards against a corrupt delta that is merged, and against a child that
 * stays with a link that delivers such. */
START_TEST(corrupt_delta_ends_the_link)
{
	struct bg_rpc_handler sync = {BG_PROC_SYNC,
	    (xdrproc_t)xdr_bg_xsync_args, sizeof(struct bg_xsync_args),
	    answer_corrupt, NULL};
	struct timeval step = {0, 5000};
	uint64_t end_ms = bg_clock_now_ms() + WAIT_MS;

	bg_link_server_handle(fx.server, &sync);
	fx.uplink = open_uplink(CHILD, 1, 0);
	while (fx.losses == 0 && bg_clock_now_ms() < end_ms) {
		event_base_loopexit(fx.base, &step);
		event_base_dispatch(fx.base);
	}
	ck_assert_str_eq(fx.reason, "invalid items");
	ck_assert_uint_eq(bg_table_cursor(fx.down), 0);
	ck_assert_int_eq(fx.merged_down, 0);
}
END_TEST

static void
add_tests(TCase *tc)
{
	tcase_add_test(tc, attach_exchanges_both_ways);
	tcase_add_test(tc, news_are_sent_at_once);
	tcase_add_test(tc, periodic_digests_close_a_gap);
	tcase_add_test(tc, replaced_child_gets_its_old_items);
	tcase_add_test(tc, full_parent_redirects);
	tcase_add_test(tc, stale_incarnation_is_reported);
	tcase_add_test(tc, parent_without_root_refuses);
	tcase_add_test(tc, lapsed_lease_is_not_claimed);
	tcase_add_test(tc, refused_version_is_kept_back);
	tcase_add_test(tc, floor_is_sent_when_known);
	tcase_add_test(tc, silent_child_is_reported);
	tcase_add_test(tc, corrupt_delta_ends_the_link);
}

int
main(void)
{
	Suite *suite = suite_create("mesh sync");
	TCase *tc = tcase_create("mesh sync");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tc, 30);
	tcase_add_checked_fixture(tc, setup, teardown);
	add_tests(tc);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed != 0;
}
