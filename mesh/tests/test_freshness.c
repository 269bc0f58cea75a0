#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "freshness/freshness.h"

#include "suite.h"

#define MEMBERS 12

static struct bg_freshness fr;
static struct bg_member members[MEMBERS];
static struct bg_roster roster;
static uint64_t now_ms;

/* Members are in data centre "a"; the one with index i is the i-th candidate.
 */
static void
set_member(size_t i)
{
	struct bg_member *m = &members[i];

	memset(m, 0, sizeof(*m));
	snprintf(m->address, sizeof(m->address), "10.0.0.%zu:1", i + 1);
	snprintf(m->data_centre, sizeof(m->data_centre), "a");
	m->incarnation = 100 + i;
	m->state = BG_MEMBER_READY;
}

static int
by_rank(const void *a, const void *b)
{
	uint64_t x = bg_freshness_rank(((const struct bg_member *)a)->address);
	uint64_t y = bg_freshness_rank(((const struct bg_member *)b)->address);

	return (x > y) - (x < y);
}

static void
setup(void)
{
	size_t i;

	memset(&fr, 0, sizeof(fr));
	for (i = 0; i < MEMBERS; i++)
		set_member(i);
	qsort(members, MEMBERS, sizeof(members[0]), by_rank);
	roster.members = members;
	roster.member_count = MEMBERS;
	now_ms = 100000;
}

static void
begin(void)
{
	bg_freshness_set_candidates(&fr, &roster, "a", now_ms);
	bg_freshness_begin(&fr);
}

static void
assert_next(size_t i)
{
	const char *address = bg_freshness_next(&fr);

	ck_assert_ptr_nonnull(address);
	ck_assert_str_eq(address, members[i].address);
}

/* Guards against nodes that ask in different orders, so that all of them have
 * to read the store. */
START_TEST(nodes_are_asked_by_rank)
{
	size_t i;

	members[0].state = BG_MEMBER_LEAVING;
	begin();
	for (i = 1; i < 9; i++)
		assert_next(i);
	ck_assert_ptr_null(bg_freshness_next(&fr));
}
END_TEST

/* Guards against a data centre that is cut off from the others, and whose nodes
 * ask nobody of their own. */
START_TEST(most_candidates_are_of_the_own_data_centre)
{
	size_t i;

	for (i = 0; i < 6; i++)
		snprintf(members[i].data_centre, sizeof(members[i].data_centre),
		    "b");
	begin();
	assert_next(0);
	assert_next(1);
	for (i = 6; i < 12; i++)
		assert_next(i);
	ck_assert_ptr_null(bg_freshness_next(&fr));
}
END_TEST

/* Guards against an answer that is taken for the newest although the node that
 * gave it has lost the store. */
START_TEST(old_answer_does_not_confirm)
{
	begin();
	assert_next(0);
	ck_assert_int_eq(bg_freshness_handle_answer(
			     &fr, BG_FRESHNESS_AGE_MAX_MS + 1, now_ms),
	    0);
	ck_assert_uint_eq(fr.confirmed_ms, 0);
	assert_next(1);
	ck_assert_int_eq(
	    bg_freshness_handle_answer(&fr, BG_FRESHNESS_AGE_MAX_MS, now_ms),
	    1);
	ck_assert_uint_eq(fr.confirmed_ms, now_ms - BG_FRESHNESS_AGE_MAX_MS);
	/* The node that lost the store is asked again at the next check. */
	begin();
	assert_next(0);
}
END_TEST

/* Guards against a node that waits for a dead one at each check. */
START_TEST(node_that_did_not_answer_is_left_out)
{
	begin();
	assert_next(0);
	bg_freshness_handle_failure(&fr, members[0].address, now_ms);
	assert_next(1);
	now_ms += BG_FRESHNESS_RETRY_MS - 1;
	begin();
	assert_next(1);
	now_ms++;
	begin();
	assert_next(0);
	bg_freshness_handle_failure(&fr, members[0].address, now_ms);
	/* After a restart it has a new incarnation. */
	members[0].incarnation++;
	begin();
	assert_next(0);
}
END_TEST

/* Guards against nodes that all read the store because VMs that are gone for
 * good are the first ones in the order (trace: grown site, trouble-3, 33 nodes
 * of a data centre after a restart of all). */
START_TEST(others_take_the_place_of_dead_nodes)
{
	size_t i;

	begin();
	for (i = 0; i < 8; i++) {
		assert_next(i);
		bg_freshness_handle_failure(&fr, members[i].address, now_ms);
	}
	ck_assert_ptr_null(bg_freshness_next(&fr));
	begin();
	for (i = 8; i < MEMBERS; i++)
		assert_next(i);
}
END_TEST

/* Guards against a node without anybody to ask that never reads the store, and
 * against all nodes reading it at once when the first ones have lost it. */
START_TEST(node_reads_itself_after_failed_checks)
{
	roster.member_count = 1;
	begin();
	assert_next(0);
	ck_assert_ptr_null(bg_freshness_next(&fr));
	ck_assert_int_eq(bg_freshness_must_read(&fr), 0);
	begin();
	assert_next(0);
	ck_assert_ptr_null(bg_freshness_next(&fr));
	ck_assert_int_eq(bg_freshness_must_read(&fr), 1);
	ck_assert_int_eq(bg_freshness_handle_answer(&fr, 0, now_ms), 1);
	ck_assert_int_eq(bg_freshness_must_read(&fr), 0);
}
END_TEST

/* Guards against a burst of calls from all nodes of a data centre when none of
 * them reaches the store (trace: grown site, trouble-1, 31 of 32 nodes). */
START_TEST(node_does_not_read_if_others_have_lost_the_store)
{
	int round;

	for (round = 0; round < 4; round++) {
		begin();
		while (bg_freshness_next(&fr) != NULL)
			bg_freshness_handle_answer(&fr, UINT32_MAX, now_ms);
		ck_assert_int_eq(bg_freshness_must_read(&fr), 0);
	}
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("freshness");

	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_test(tc, nodes_are_asked_by_rank);
	tcase_add_test(tc, most_candidates_are_of_the_own_data_centre);
	tcase_add_test(tc, old_answer_does_not_confirm);
	tcase_add_test(tc, node_that_did_not_answer_is_left_out);
	tcase_add_test(tc, others_take_the_place_of_dead_nodes);
	tcase_add_test(tc, node_reads_itself_after_failed_checks);
	tcase_add_test(tc, node_does_not_read_if_others_have_lost_the_store);
	return run_suite("freshness", tc);
}
