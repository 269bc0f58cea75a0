#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/error.h"

#include "view/view.h"

#define NOW_MS 1700000000000ull
#define NODES_MAX 1000

static struct bg_view_candidate nodes[NODES_MAX];
static size_t node_count;
static struct bg_view_report reports[BG_RECORD_GROUPS];
static struct bg_views views;

static size_t
add_node(int is_home)
{
	struct bg_view_candidate *c = &nodes[node_count];

	memset(c, 0, sizeof(*c));
	snprintf(c->node.address, sizeof(c->node.address), "127.0.0.1:%zu",
	    node_count);
	c->node.incarnation = 1000 + node_count;
	c->is_home = is_home;
	c->is_alive = 1;
	return node_count++;
}

static void
setup(size_t home, size_t remote)
{
	size_t i;

	node_count = 0;
	memset(&views, 0, sizeof(views));
	memset(reports, 0, sizeof(reports));
	for (i = 0; i < home; i++)
		add_node(1);
	for (i = 0; i < remote; i++)
		add_node(0);
}

/* Decides once and checks what holds for every decision. */
static size_t
step(void)
{
	struct bg_view_input in = {nodes, node_count, reports, NOW_MS};
	struct bg_views next;
	const struct bg_view *now;
	const struct bg_view *was;
	size_t changed;
	size_t g;

	ck_assert_int_eq(bg_view_decide(&next, &changed, &views, &in), 0);
	for (g = 0; g < BG_RECORD_GROUPS; g++) {
		now = &next.groups[g];
		was = &views.groups[g];
		if (now->epoch == was->epoch)
			continue;
		ck_assert_uint_eq(now->epoch, was->epoch + 1);
		ck_assert(bg_view_has_member(now, &now->holder));
		if (was->epoch > 0 && now->lost_ms == was->lost_ms)
			ck_assert(bg_view_has_member(was, &now->holder));
	}
	views = next;
	return changed;
}

static void
report_all_complete(void)
{
	size_t g;

	for (g = 0; g < BG_RECORD_GROUPS; g++) {
		memset(&reports[g], 0, sizeof(reports[g]));
		reports[g].epoch = views.groups[g].epoch;
		reports[g].complete_count = views.groups[g].joining_count;
		memcpy(reports[g].complete, views.groups[g].joining,
		    sizeof(reports[g].complete));
	}
}

/* All joining nodes get filled, until nothing changes any more. */
static void
settle(void)
{
	int steps = 0;

	do {
		report_all_complete();
		ck_assert_int_lt(steps++, 200);
	} while (step() > 0);
}

static size_t
index_of(const struct bg_record_node *node)
{
	size_t i;

	for (i = 0; i < node_count; i++) {
		if (bg_record_node_equal(&nodes[i].node, node))
			return i;
	}
	return SIZE_MAX;
}

static size_t
held_by(size_t node)
{
	size_t count = 0;
	size_t g;

	for (g = 0; g < BG_RECORD_GROUPS; g++)
		count += bg_record_node_equal(
		    &views.groups[g].holder, &nodes[node].node);
	return count;
}

static void
check_complete(size_t home, size_t remote)
{
	const struct bg_view *view;
	size_t found[2];
	size_t g;
	size_t i;

	for (g = 0; g < BG_RECORD_GROUPS; g++) {
		view = &views.groups[g];
		found[0] = found[1] = 0;
		for (i = 0; i < view->member_count; i++)
			found[nodes[index_of(&view->members[i])].is_home]++;
		ck_assert_uint_eq(found[1], home);
		ck_assert_uint_eq(found[0], remote);
		ck_assert_uint_eq(view->joining_count, 0);
		ck_assert(nodes[index_of(&view->holder)].is_home);
	}
}

/* Guards against groups that crowd on a few nodes, at today's size. */
START_TEST(groups_spread_over_four_nodes)
{
	size_t i;

	setup(4, 8);
	ck_assert_uint_eq(step(), BG_RECORD_GROUPS);
	check_complete(2, 1);
	for (i = 0; i < 4; i++)
		ck_assert_uint_eq(held_by(i), BG_RECORD_GROUPS / 4);
	ck_assert_uint_eq(step(), 0);
}
END_TEST

/* Guards against more than one group for a node where there are enough. */
START_TEST(groups_spread_over_162_nodes)
{
	size_t i;

	setup(162, 808);
	step();
	check_complete(2, 1);
	for (i = 0; i < node_count; i++)
		ck_assert_uint_le(held_by(i), 1);
	ck_assert_uint_eq(step(), 0);
}
END_TEST

/* Guards against groups that stay at the first node when others arrive. */
START_TEST(new_nodes_take_over_groups)
{
	size_t i;

	setup(1, 0);
	step();
	check_complete(1, 0);
	for (i = 0; i < 3; i++)
		add_node(1);
	add_node(0);
	add_node(0);
	settle();
	check_complete(2, 1);
	for (i = 0; i < 4; i++) {
		ck_assert_uint_ge(held_by(i), 14);
		ck_assert_uint_le(held_by(i), 18);
	}
}
END_TEST

/* Guards against a holder without all records after the death of the old one,
 * against a group that stays short of members, and against one update for each
 * group instead of one for all. */
START_TEST(dead_node_is_replaced)
{
	setup(4, 4);
	step();
	nodes[0].is_alive = 0;
	ck_assert_uint_ge(step(), 16);
	ck_assert_uint_eq(held_by(0), 0);
	settle();
	check_complete(2, 1);
}
END_TEST

/* Guards against the promotion of a node that is not filled, or that was
 * filled in an earlier epoch only. */
START_TEST(joining_node_waits_for_the_report)
{
	size_t g;

	setup(2, 1);
	step();
	add_node(1);
	nodes[0].is_alive = 0;
	step();
	for (g = 0; g < BG_RECORD_GROUPS; g++) {
		ck_assert_uint_eq(views.groups[g].joining_count, 1);
		reports[g].epoch = views.groups[g].epoch - 1;
		reports[g].complete_count = 1;
		reports[g].complete[0] = views.groups[g].joining[0];
	}
	step();
	for (g = 0; g < BG_RECORD_GROUPS; g++)
		ck_assert(
		    !bg_view_has_member(&views.groups[g], &nodes[3].node));
	for (g = 0; g < BG_RECORD_GROUPS; g++)
		reports[g].epoch = views.groups[g].epoch;
	step();
	for (g = 0; g < BG_RECORD_GROUPS; g++)
		ck_assert(bg_view_has_member(&views.groups[g], &nodes[3].node));
}
END_TEST

/* Guards against a group declared lost while a member may still run. */
START_TEST(unreachable_members_are_not_lost)
{
	struct bg_views before;
	size_t i;

	setup(3, 3);
	step();
	before = views;
	for (i = 0; i < 6; i++)
		nodes[i].is_alive = 0;
	add_node(1);
	add_node(0);
	ck_assert_uint_eq(step(), 0);
	ck_assert_mem_eq(&before, &views, sizeof(views));
}
END_TEST

/* Guards against a group that stays closed for ever, and against one that
 * starts anew without saying that records were lost. */
START_TEST(lost_group_starts_anew)
{
	size_t g;
	size_t i;

	setup(3, 3);
	step();
	for (i = 0; i < 6; i++) {
		nodes[i].is_alive = 0;
		nodes[i].is_gone = 1;
	}
	add_node(1);
	add_node(0);
	ck_assert_uint_eq(step(), BG_RECORD_GROUPS);
	for (g = 0; g < BG_RECORD_GROUPS; g++)
		ck_assert_uint_eq(views.groups[g].lost_ms, NOW_MS);
	check_complete(1, 1);
	/* The mark stays when the members change later. */
	add_node(1);
	settle();
	for (g = 0; g < BG_RECORD_GROUPS; g++)
		ck_assert_uint_eq(views.groups[g].lost_ms, NOW_MS);
}
END_TEST

/* Guards against a planned stop that loses a copy: the stopping node leaves
 * once another one has all records. */
START_TEST(draining_node_hands_over_first)
{
	size_t g;

	setup(3, 1);
	step();
	nodes[0].is_draining = 1;
	step();
	ck_assert_uint_eq(held_by(0), 0);
	for (g = 0; g < BG_RECORD_GROUPS; g++)
		ck_assert_uint_ge(views.groups[g].member_count, 2);
	settle();
	for (g = 0; g < BG_RECORD_GROUPS; g++)
		ck_assert(
		    !bg_view_has_member(&views.groups[g], &nodes[0].node));
	check_complete(2, 1);
}
END_TEST

/* Guards against a last member that leaves before it was copied. */
START_TEST(draining_sole_member_stays_until_copied)
{
	setup(1, 0);
	step();
	nodes[0].is_draining = 1;
	ck_assert_uint_eq(step(), 0);
	add_node(1);
	step();
	ck_assert(bg_view_has_member(&views.groups[0], &nodes[0].node));
	settle();
	ck_assert_uint_eq(held_by(0), 0);
	ck_assert_uint_eq(held_by(1), BG_RECORD_GROUPS);
}
END_TEST

/* Guards against a group that waits for ever for a member that the relay
 * believes alive, and against its immediate return. */
START_TEST(silent_member_is_removed)
{
	struct bg_record_node silent;
	size_t remote = 0;
	size_t i;

	setup(2, 2);
	step();
	for (i = 0; i < views.groups[0].member_count; i++) {
		remote = index_of(&views.groups[0].members[i]);
		if (!nodes[remote].is_home)
			break;
	}
	silent = views.groups[0].members[i];
	reports[0].epoch = views.groups[0].epoch;
	reports[0].silent_count = 1;
	reports[0].silent[0] = silent;
	nodes[remote].is_suspect = 1;
	step();
	ck_assert(!bg_view_has_member(&views.groups[0], &silent));
	ck_assert(!bg_view_has_joining(&views.groups[0], &silent));
	ck_assert_uint_eq(views.groups[0].joining_count, 1);
}
END_TEST

/* Guards against a view that differs after it went through the platform, and
 * against an object that outgrows the platform's limit. */
START_TEST(views_round_trip)
{
	struct bg_views out;
	struct bg_error err;
	char *json;

	setup(162, 808);
	step();
	ck_assert_int_eq(bg_views_encode(&json, &views), 0);
	ck_assert_uint_lt(strlen(json), 16 << 10);
	ck_assert_int_eq(bg_views_decode(&out, json, strlen(json), &err), 0);
	ck_assert_mem_eq(&out, &views, sizeof(views));
	ck_assert_int_eq(
	    bg_views_decode(&out, json, strlen(json) - 1, &err), BG_EPROTO);
	ck_assert_int_eq(
	    bg_views_decode(&out, "{\"groups\":[],\"nodes\":[]}", 24, &err),
	    BG_EPROTO);
	free(json);
}
END_TEST

/* Guards against a report that is taken over in part. */
START_TEST(report_round_trip)
{
	struct bg_view_report in;
	struct bg_view_report out;
	char *json;

	setup(2, 2);
	memset(&in, 0, sizeof(in));
	in.epoch = 9;
	in.complete_count = 1;
	in.complete[0] = nodes[1].node;
	in.silent_count = 2;
	in.silent[0] = nodes[2].node;
	in.silent[1] = nodes[3].node;
	ck_assert_int_eq(bg_view_report_encode(&json, &in), 0);
	ck_assert_int_eq(bg_view_report_decode(&out, json, strlen(json)), 0);
	ck_assert_mem_eq(&in, &out, sizeof(in));
	ck_assert_int_eq(
	    bg_view_report_decode(&out, "{\"epoch\":1}", 11), BG_EPROTO);
	free(json);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("view");
	TCase *tc = tcase_create("view");
	SRunner *runner;
	int failed;

	tcase_add_test(tc, groups_spread_over_four_nodes);
	tcase_add_test(tc, groups_spread_over_162_nodes);
	tcase_add_test(tc, new_nodes_take_over_groups);
	tcase_add_test(tc, dead_node_is_replaced);
	tcase_add_test(tc, joining_node_waits_for_the_report);
	tcase_add_test(tc, unreachable_members_are_not_lost);
	tcase_add_test(tc, lost_group_starts_anew);
	tcase_add_test(tc, draining_node_hands_over_first);
	tcase_add_test(tc, draining_sole_member_stays_until_copied);
	tcase_add_test(tc, silent_member_is_removed);
	tcase_add_test(tc, views_round_trip);
	tcase_add_test(tc, report_round_trip);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_set_fork_status(runner, CK_NOFORK);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
