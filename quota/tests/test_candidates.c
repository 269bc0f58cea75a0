#include <stdio.h>
#include <string.h>

#include "suite.h"
#include "task/candidates.h"

#define MEMBERS 12

static struct bg_member members[MEMBERS];
static struct bg_roster roster;

/* Nodes in three data centres, in turn. */
static void
setup(void)
{
	int i;

	memset(members, 0, sizeof(members));
	for (i = 0; i < MEMBERS; i++) {
		snprintf(members[i].address, BG_ADDRESS_BYTES, "10.0.0.%d:7000",
		    i + 1);
		snprintf(members[i].data_centre, BG_NAME_BYTES, "dc-%d", i % 3);
		members[i].state = BG_MEMBER_READY;
	}
	roster.members = members;
	roster.member_count = MEMBERS;
}

/* A data centre that is cut off has its own share. */
START_TEST(shares_are_placed_in_the_data_centres_in_turn)
{
	struct bg_candidates cands;
	uint32_t share;
	size_t i;

	for (share = 0; share < 3; share++) {
		bg_candidates_find(&cands, &roster, share, 0);
		ck_assert_uint_eq(cands.count, BG_CANDIDATES_MAX);
		for (i = 0; i < MEMBERS; i++) {
			if (bg_candidates_rank(&cands, members[i].address) >= 0)
				ck_assert_uint_eq(i % 3, share);
		}
	}
	ck_assert_uint_eq(bg_candidates_home_share(&roster, "dc-2", 3), 2);
	ck_assert_uint_eq(bg_candidates_home_share(&roster, "dc-2", 2), 0);
	ck_assert_uint_eq(bg_candidates_home_share(&roster, "none", 3), 0);
}
END_TEST

/* When a node leaves, the next one is the first, and no other place changes.
 */
START_TEST(node_that_leaves_is_no_candidate)
{
	struct bg_candidates before;
	struct bg_candidates after;
	size_t i;

	bg_candidates_find(&before, &roster, 1, 2);
	for (i = 0; i < MEMBERS; i++) {
		if (strcmp(members[i].address, before.addresses[0]) == 0)
			members[i].state = BG_MEMBER_LEAVING;
	}
	bg_candidates_find(&after, &roster, 1, 2);
	ck_assert_int_eq(bg_candidates_rank(&after, before.addresses[0]), -1);
	ck_assert_int_eq(bg_candidates_rank(&after, before.addresses[1]), 0);
	ck_assert_int_eq(bg_candidates_rank(&after, before.addresses[2]), 1);
}
END_TEST

/* A node that drains is in the rosters for seconds after it gave its slots up.
 */
START_TEST(node_that_gave_a_slot_up_does_not_delay_the_next_one)
{
	struct bg_candidates cands;
	const char *gone;

	bg_candidates_find(&cands, &roster, 1, 2);
	gone = cands.addresses[0];
	ck_assert_int_eq(
	    bg_candidates_rank_without(&cands, cands.addresses[1], gone), 0);
	ck_assert_int_eq(
	    bg_candidates_rank_without(&cands, cands.addresses[2], gone), 1);
	ck_assert_int_eq(
	    bg_candidates_rank_without(&cands, cands.addresses[0], ""), 0);
	ck_assert_int_eq(bg_candidates_rank_without(&cands, "none", gone), -1);
	/* It may have come back at its address. */
	ck_assert_int_eq(bg_candidates_rank_without(&cands, gone, gone), 0);
}
END_TEST

START_TEST(empty_roster_has_no_candidates)
{
	struct bg_candidates cands;

	roster.member_count = 0;
	bg_candidates_find(&cands, &roster, 0, 0);
	ck_assert_uint_eq(cands.count, 0);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("candidates");

	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_test(tc, shares_are_placed_in_the_data_centres_in_turn);
	tcase_add_test(tc, node_that_leaves_is_no_candidate);
	tcase_add_test(
	    tc, node_that_gave_a_slot_up_does_not_delay_the_next_one);
	tcase_add_test(tc, empty_roster_has_no_candidates);
	return run_suite("candidates", tc);
}
