#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/emptied.h"
#include "burdockgrade/error.h"

#include "emptied/trust.h"
#include "suite.h"

#define SINCE_MS 1700000000000

static struct bg_emptied_set set;

static void
setup(void)
{
	memset(&set, 0, sizeof(set));
}

static struct bg_emptied
make(const char *data_centre, uint64_t revision, int is_emptied)
{
	struct bg_emptied report = {0};

	snprintf(
	    report.data_centre, sizeof(report.data_centre), "%s", data_centre);
	report.revision = revision;
	report.is_emptied = is_emptied;
	report.since_ms = is_emptied ? SINCE_MS : 0;
	return report;
}

static enum bg_emptied_change
apply(const char *data_centre, uint64_t revision, int is_emptied)
{
	struct bg_emptied report = make(data_centre, revision, is_emptied);
	enum bg_emptied_change change;

	ck_assert_int_eq(bg_emptied_set_apply(&change, &set, &report), 0);
	return change;
}

/* Guards against older news that undoes newer: an emptying that a node missed
 * the end of, or an end that comes after the data centre was emptied again. */
START_TEST(older_report_changes_nothing)
{
	ck_assert_int_eq(apply("a", 10, 1), BG_EMPTIED_STARTED);
	ck_assert_int_eq(apply("a", 20, 0), BG_EMPTIED_ENDED);
	ck_assert_int_eq(apply("a", 10, 1), BG_EMPTIED_UNCHANGED);
	ck_assert(!bg_emptied_set_contains(&set, "a"));
	ck_assert_int_eq(apply("a", 30, 1), BG_EMPTIED_STARTED);
	ck_assert_int_eq(apply("a", 20, 0), BG_EMPTIED_UNCHANGED);
	ck_assert(bg_emptied_set_contains(&set, "a"));
}
END_TEST

/* Guards against an emptying that ends because only its first end is known. */
START_TEST(emptied_again_while_the_end_was_missed)
{
	apply("a", 10, 1);
	ck_assert_int_eq(apply("a", 30, 1), BG_EMPTIED_REPEATED);
	ck_assert_int_eq(apply("a", 20, 0), BG_EMPTIED_UNCHANGED);
	ck_assert_uint_eq(bg_emptied_set_count(&set), 1);
}
END_TEST

/* Guards against a removal that is reported with the revision of the object
 * and taken for the emptying itself. */
START_TEST(end_wins_as_of_one_revision)
{
	apply("a", 10, 1);
	ck_assert_int_eq(apply("a", 10, 0), BG_EMPTIED_ENDED);
	ck_assert_int_eq(apply("a", 10, 1), BG_EMPTIED_UNCHANGED);
	ck_assert(!bg_emptied_set_contains(&set, "a"));
}
END_TEST

/* Guards against nodes that do not agree since when a data centre is emptied:
 * each one that reads the store reports its own time. */
START_TEST(earlier_time_wins)
{
	struct bg_emptied first = make("a", 10, 1);
	struct bg_emptied later = make("a", 10, 1);
	enum bg_emptied_change change;

	later.since_ms += 5000;
	bg_emptied_set_apply(&change, &set, &later);
	bg_emptied_set_apply(&change, &set, &first);
	ck_assert_int_eq(change, BG_EMPTIED_UNCHANGED);
	bg_emptied_set_apply(&change, &set, &later);
	ck_assert_uint_eq(bg_emptied_set_find(&set, "a")->since_ms, SINCE_MS);
}
END_TEST

START_TEST(item_keeps_the_report)
{
	struct bg_emptied report = make("a", 10, 1);
	struct bg_emptied back;
	struct bg_item item;

	bg_emptied_to_item(&item, &report);
	ck_assert_int_eq(bg_emptied_from_item(&back, &item), 0);
	ck_assert_mem_eq(&back, &report, sizeof(report));
	report = make("a", 11, 0);
	bg_emptied_to_item(&item, &report);
	ck_assert_int_eq(bg_emptied_from_item(&back, &item), 0);
	ck_assert_mem_eq(&back, &report, sizeof(report));
}
END_TEST

/* Guards against a key of another build that overruns the name. */
START_TEST(long_key_is_refused)
{
	char key[BG_KEY_BYTES + 1];
	struct bg_emptied report;
	struct bg_item item = {0};

	memset(key, 'a', sizeof(key) - 1);
	key[sizeof(key) - 1] = '\0';
	item.key = key;
	ck_assert_int_eq(bg_emptied_from_item(&report, &item), BG_EPROTO);
}
END_TEST

START_TEST(number_of_data_centres_is_limited)
{
	enum bg_emptied_change change;
	struct bg_emptied report;
	char name[16];
	int i;

	for (i = 0; i < BG_EMPTIED_MAX; i++) {
		snprintf(name, sizeof(name), "dc%d", i);
		apply(name, 10, 1);
	}
	report = make("other", 10, 1);
	ck_assert_int_eq(
	    bg_emptied_set_apply(&change, &set, &report), BG_ELIMIT);
	ck_assert_int_eq(change, BG_EMPTIED_UNCHANGED);
	ck_assert_int_eq(apply("dc3", 20, 0), BG_EMPTIED_ENDED);
}
END_TEST

/* Guards against a node that is started beside a server of an emptied data
 * centre and serves before it knows. A peer that may have started at the same
 * time does not confirm anything while the store can be read. */
START_TEST(start_is_in_doubt_until_the_store_was_read)
{
	struct bg_trust tr;

	bg_trust_init(&tr, 1000);
	ck_assert(!bg_trust_holds(&tr, 1500));
	bg_trust_confirm_by_peer(&tr, 1);
	ck_assert(!bg_trust_holds(&tr, 1500));
	bg_trust_confirm_by_store(&tr);
	ck_assert(bg_trust_holds(&tr, 1500));
}
END_TEST

START_TEST(peer_confirms_the_start_without_the_store)
{
	struct bg_trust tr;

	bg_trust_init(&tr, 1000);
	bg_trust_confirm_by_peer(&tr, 0);
	ck_assert(bg_trust_holds(&tr, 1500));
}
END_TEST

/* Guards against a node that acts on what it knew before a pause of 6 s. */
START_TEST(pause_is_in_doubt_until_a_peer_answers)
{
	struct bg_trust tr;

	bg_trust_init(&tr, 1000);
	bg_trust_confirm_by_store(&tr);
	ck_assert_int_eq(bg_trust_tick(&tr, 2200), 0);
	/* The calls that came meanwhile are handled before the next tick. */
	ck_assert(!bg_trust_holds(&tr, 8200));
	ck_assert_int_eq(bg_trust_tick(&tr, 8200), 1);
	ck_assert(!bg_trust_holds(&tr, 8201));
	bg_trust_confirm_by_peer(&tr, 1);
	ck_assert(bg_trust_holds(&tr, 8202));
}
END_TEST

/* Guards against a node that is cut off from everybody and serves nothing for
 * good. */
START_TEST(doubt_ends_without_an_answer)
{
	struct bg_trust tr;
	uint64_t now_ms;

	bg_trust_init(&tr, 1000);
	for (now_ms = 1000; now_ms < 1000 + BG_TRUST_START_DOUBT_MS;
	     now_ms += 1000) {
		bg_trust_tick(&tr, now_ms);
		ck_assert(!bg_trust_holds(&tr, now_ms));
	}
	bg_trust_tick(&tr, now_ms);
	ck_assert(bg_trust_holds(&tr, now_ms));
	now_ms += BG_TRUST_PAUSE_MS + 1;
	ck_assert_int_eq(bg_trust_tick(&tr, now_ms), 1);
	ck_assert(!bg_trust_holds(&tr, now_ms + 1000));
	bg_trust_tick(&tr, now_ms + 1000);
	bg_trust_tick(&tr, now_ms + BG_TRUST_PAUSE_DOUBT_MS);
	ck_assert(bg_trust_holds(&tr, now_ms + BG_TRUST_PAUSE_DOUBT_MS));
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("emptied");

	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_test(tc, older_report_changes_nothing);
	tcase_add_test(tc, emptied_again_while_the_end_was_missed);
	tcase_add_test(tc, end_wins_as_of_one_revision);
	tcase_add_test(tc, earlier_time_wins);
	tcase_add_test(tc, item_keeps_the_report);
	tcase_add_test(tc, long_key_is_refused);
	tcase_add_test(tc, number_of_data_centres_is_limited);
	tcase_add_test(tc, start_is_in_doubt_until_the_store_was_read);
	tcase_add_test(tc, peer_confirms_the_start_without_the_store);
	tcase_add_test(tc, pause_is_in_doubt_until_a_peer_answers);
	tcase_add_test(tc, doubt_ends_without_an_answer);
	return run_suite("emptied", tc);
}
