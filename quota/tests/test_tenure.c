#include <stdio.h>
#include <string.h>

#include "suite.h"
#include "tenure/tenure.h"

#define T0 100000
/* The roster is complete at T0. */
#define START (T0 - 5000)
#define SELF "10.0.0.1:7000"
#define PROCESS 11
/* Longest time after which a silent owner is replaced by the first candidate.
 */
#define REPLACED_MS (BG_TENURE_LEASE_MS + 3000)

static struct bg_tenure tnr;

static void
setup(void)
{
	bg_tenure_init(&tnr, SELF, PROCESS, START);
}

static void
observe(uint64_t revision, const char *owner, uint64_t process, int is_released,
    uint64_t now_ms)
{
	struct bg_tenure_record record = {0};

	record.revision = revision;
	record.process = process;
	record.is_released = is_released;
	snprintf(record.owner, sizeof(record.owner), "%s", owner);
	bg_tenure_observe(&tnr, &record, now_ms);
}

START_TEST(free_slot_is_taken_by_the_first_candidate_first)
{
	ck_assert_int_eq(bg_tenure_next(&tnr, -1, T0), BG_TENURE_WAIT);
	ck_assert_int_eq(bg_tenure_next(&tnr, 0, T0), BG_TENURE_READ);
	observe(0, "", 0, 0, T0);
	ck_assert_int_eq(bg_tenure_next(&tnr, 1, T0), BG_TENURE_WAIT);
	ck_assert_int_eq(bg_tenure_next(&tnr, 0, T0), BG_TENURE_WRITE);
	bg_tenure_written(&tnr, 5, T0, T0 + 10);
	ck_assert(bg_tenure_is_owner(&tnr, T0 + 10));
	ck_assert_uint_eq(tnr.tenure, 5);
	ck_assert_uint_eq(tnr.clean_ms, T0);
}
END_TEST

/* While the fleet starts, a node knows few others and is the first candidate
 * for slots that are not its own later. */
START_TEST(new_slot_is_not_taken_before_the_roster_is_complete)
{
	observe(0, "", 0, 0, START + 100);
	ck_assert_int_eq(bg_tenure_next(&tnr, 0, START + 1900), BG_TENURE_WAIT);
	ck_assert_int_eq(
	    bg_tenure_next(&tnr, 0, START + 2000), BG_TENURE_WRITE);
}
END_TEST

/* The lease counts from before the write was sent, so that no other node sees
 * it end earlier than its owner. */
START_TEST(ownership_ends_without_renewal)
{
	observe(0, "", 0, 0, T0);
	bg_tenure_written(&tnr, 5, T0, T0 + 1400);
	ck_assert(bg_tenure_is_owner(&tnr, T0 + BG_TENURE_LEASE_MS - 1));
	ck_assert(!bg_tenure_is_owner(&tnr, T0 + BG_TENURE_LEASE_MS));
}
END_TEST

START_TEST(renewal_keeps_the_tenure)
{
	uint64_t due_ms = T0 + BG_TENURE_RENEW_MS;

	observe(0, "", 0, 0, T0);
	bg_tenure_written(&tnr, 5, T0, T0 + 10);
	ck_assert_int_eq(bg_tenure_next(&tnr, 0, due_ms - 1), BG_TENURE_WAIT);
	/* Also by an owner that is no candidate any more. */
	ck_assert_int_eq(bg_tenure_next(&tnr, -1, due_ms), BG_TENURE_WRITE);
	bg_tenure_written(&tnr, 9, due_ms, due_ms + 10);
	ck_assert_uint_eq(tnr.tenure, 5);
	ck_assert_uint_eq(tnr.clean_ms, T0);
	ck_assert(bg_tenure_is_owner(&tnr, due_ms + BG_TENURE_LEASE_MS - 1));
}
END_TEST

/* An owner that is gone, or cut off from the store, is replaced after its
 * lease, counted from when this node first saw its last write. */
START_TEST(silent_owner_is_replaced_after_its_lease)
{
	observe(5, "10.0.0.2:7000", 22, 0, T0);
	observe(5, "10.0.0.2:7000", 22, 0, T0 + 9000);
	ck_assert_int_ne(
	    bg_tenure_next(&tnr, 0, T0 + BG_TENURE_LEASE_MS + 1000),
	    BG_TENURE_WRITE);
	ck_assert_int_eq(
	    bg_tenure_next(&tnr, 0, T0 + REPLACED_MS), BG_TENURE_WRITE);
	/* It renewed. */
	observe(6, "10.0.0.2:7000", 22, 0, T0 + REPLACED_MS);
	ck_assert_int_ne(
	    bg_tenure_next(&tnr, 0, T0 + REPLACED_MS + BG_TENURE_LEASE_MS),
	    BG_TENURE_WRITE);
}
END_TEST

/* The store is away while the record is polled: what was seen counts on. */
START_TEST(failed_calls_do_not_delay_the_takeover)
{
	observe(5, "10.0.0.2:7000", 22, 0, T0);
	bg_tenure_forget(&tnr, T0 + 15000);
	observe(5, "10.0.0.2:7000", 22, 0, T0 + REPLACED_MS);
	ck_assert_int_eq(
	    bg_tenure_next(&tnr, 0, T0 + REPLACED_MS), BG_TENURE_WRITE);
}
END_TEST

/* A process that is started again at its address takes its slot at once. What
 * the one before granted ended by a lease after the start. */
START_TEST(restarted_owner_takes_its_slot_at_once)
{
	observe(5, SELF, 99, 0, T0 + 300);
	ck_assert_int_eq(bg_tenure_next(&tnr, 2, T0 + 300), BG_TENURE_WRITE);
	bg_tenure_written(&tnr, 6, T0 + 300, T0 + 310);
	ck_assert_uint_eq(tnr.clean_ms, START);
	ck_assert_uint_eq(tnr.tenure, 6);
}
END_TEST

START_TEST(released_slot_is_taken_at_once)
{
	observe(5, "10.0.0.2:7000", 22, 1, T0);
	ck_assert_int_eq(bg_tenure_next(&tnr, 0, T0), BG_TENURE_WRITE);
	bg_tenure_written(&tnr, 6, T0 + 20, T0 + 30);
	ck_assert_uint_eq(tnr.clean_ms, T0 + 20);
}
END_TEST

/* The owner has given its slot up, and a node that needs tokens asks here: the
 * record is read before its next turn. */
START_TEST(record_is_read_soon_when_another_node_asks)
{
	observe(5, "10.0.0.2:7000", 22, 0, T0);
	ck_assert_int_eq(bg_tenure_next(&tnr, 0, T0 + 1000), BG_TENURE_WAIT);
	bg_tenure_asked(&tnr);
	ck_assert_int_eq(bg_tenure_next(&tnr, 0, T0 + 999), BG_TENURE_WAIT);
	ck_assert_int_eq(bg_tenure_next(&tnr, 0, T0 + 1000), BG_TENURE_READ);
	observe(6, "10.0.0.2:7000", 22, 1, T0 + 1010);
	ck_assert_int_eq(bg_tenure_next(&tnr, 0, T0 + 1010), BG_TENURE_WRITE);
}
END_TEST

/* The owner died, and its slot is asked for until its lease has ended: one read
 * a second. */
START_TEST(asks_for_the_slot_of_a_dead_owner_cost_few_reads)
{
	uint64_t now_ms;
	int reads = 0;

	observe(5, "10.0.0.2:7000", 22, 0, T0);
	for (now_ms = T0; now_ms < T0 + BG_TENURE_LEASE_MS; now_ms += 10) {
		bg_tenure_asked(&tnr);
		if (bg_tenure_next(&tnr, 0, now_ms) != BG_TENURE_READ)
			continue;
		reads++;
		observe(5, "10.0.0.2:7000", 22, 0, now_ms);
	}
	ck_assert_int_le(reads, BG_TENURE_LEASE_MS / 1000);
}
END_TEST

/* Each process of a fleet that starts looks at its slots: an exact read costs
 * ten times as much, and the condition of the write shows an old record. */
START_TEST(first_read_may_be_stale)
{
	ck_assert(!bg_tenure_needs_exact_read(&tnr));
	observe(5, "10.0.0.2:7000", 22, 0, T0);
	ck_assert(!bg_tenure_needs_exact_read(&tnr));
	bg_tenure_asked(&tnr);
	ck_assert(bg_tenure_needs_exact_read(&tnr));
	observe(5, "10.0.0.2:7000", 22, 0, T0 + 10);
	bg_tenure_forget(&tnr, T0 + 20);
	ck_assert(bg_tenure_needs_exact_read(&tnr));
}
END_TEST

/* The outcome of a write is unknown: the record is read again, and an owner
 * goes on until its last confirmed lease ends. */
START_TEST(unknown_outcome_is_read_back)
{
	observe(0, "", 0, 0, T0);
	bg_tenure_written(&tnr, 5, T0, T0 + 10);
	bg_tenure_forget(&tnr, T0 + 7000);
	ck_assert(bg_tenure_is_owner(&tnr, T0 + 7000));
	ck_assert_int_eq(bg_tenure_next(&tnr, 0, T0 + 8000), BG_TENURE_READ);
	observe(6, SELF, PROCESS, 0, T0 + 8000);
	/* The renewal that failed is made up for at once. */
	ck_assert_int_eq(bg_tenure_next(&tnr, 0, T0 + 8000), BG_TENURE_WRITE);
	ck_assert(bg_tenure_is_owner(&tnr, T0 + BG_TENURE_LEASE_MS - 1));
	ck_assert(!bg_tenure_is_owner(&tnr, T0 + BG_TENURE_LEASE_MS));
	/* A lease that has ended begins anew, with another tenure. */
	ck_assert_int_eq(bg_tenure_next(&tnr, 0, T0 + 30000), BG_TENURE_WRITE);
	bg_tenure_written(&tnr, 8, T0 + 30000, T0 + 30010);
	ck_assert_uint_eq(tnr.tenure, 8);
	ck_assert_uint_eq(tnr.clean_ms, T0 + 30000);
}
END_TEST

/* A renewal that was sent within the lease is answered after its end. The
 * process granted tokens until then, also after it sent the write. */
START_TEST(own_lapsed_tenure_is_clean_from_its_end)
{
	uint64_t end_ms = T0 + BG_TENURE_LEASE_MS;

	observe(0, "", 0, 0, T0);
	bg_tenure_written(&tnr, 5, T0, T0 + 10);
	bg_tenure_written(&tnr, 9, end_ms - 4000, end_ms + 500);
	ck_assert_uint_eq(tnr.tenure, 9);
	ck_assert_uint_eq(tnr.clean_ms, end_ms);
}
END_TEST

START_TEST(owner_that_was_replaced_stops)
{
	observe(0, "", 0, 0, T0);
	bg_tenure_written(&tnr, 5, T0, T0 + 10);
	observe(7, "10.0.0.2:7000", 22, 0, T0 + 100);
	ck_assert(!bg_tenure_is_owner(&tnr, T0 + 100));
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("tenure");

	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_test(tc, free_slot_is_taken_by_the_first_candidate_first);
	tcase_add_test(tc, new_slot_is_not_taken_before_the_roster_is_complete);
	tcase_add_test(tc, ownership_ends_without_renewal);
	tcase_add_test(tc, renewal_keeps_the_tenure);
	tcase_add_test(tc, silent_owner_is_replaced_after_its_lease);
	tcase_add_test(tc, failed_calls_do_not_delay_the_takeover);
	tcase_add_test(tc, restarted_owner_takes_its_slot_at_once);
	tcase_add_test(tc, released_slot_is_taken_at_once);
	tcase_add_test(tc, record_is_read_soon_when_another_node_asks);
	tcase_add_test(tc, asks_for_the_slot_of_a_dead_owner_cost_few_reads);
	tcase_add_test(tc, first_read_may_be_stale);
	tcase_add_test(tc, unknown_outcome_is_read_back);
	tcase_add_test(tc, own_lapsed_tenure_is_clean_from_its_end);
	tcase_add_test(tc, owner_that_was_replaced_stops);
	return run_suite("tenure", tc);
}
