#include <stdio.h>
#include <string.h>

#include "suite.h"
#include "version/version.h"

static struct bg_versions vs;
static struct bg_rule lookup;
static struct bg_move move;

static void
setup(void)
{
	bg_versions_init(&vs);
	memset(&lookup, 0, sizeof(lookup));
	memset(&move, 0, sizeof(move));
	lookup.name = "lookup";
	lookup.is_idempotent = 1;
	move.generation = 4;
	snprintf(move.from, sizeof(move.from), "v1");
	snprintf(move.to, sizeof(move.to), "v2");
}

static void
teardown(void)
{
	bg_versions_free(&vs);
}

static void
set_move(enum bg_move_state state, uint32_t permille)
{
	move.state = state;
	move.share_permille = permille;
	ck_assert_int_eq(bg_versions_set_move(&vs, "s", &move), 0);
}

/* Sends calls as the proxy does. @return number sent to the new version */
static int
send_calls(int count)
{
	struct bg_version_choice choice;
	int n = 0;

	while (count-- > 0) {
		bg_versions_choose(&choice, &vs, "s", &lookup);
		n += choice.is_new;
		bg_versions_sent(
		    &vs, "s", &lookup, choice.is_new ? "v2" : "v1");
	}
	return n;
}

/* A new version must not get more than its share of the calls (P4). */
START_TEST(share_holds_while_a_move_runs)
{
	set_move(BG_MOVE_IN_PROGRESS, 100);
	ck_assert_int_eq(send_calls(1000), 100);
}
END_TEST

START_TEST(service_without_a_move_uses_any_version)
{
	struct bg_version_choice choice;

	bg_versions_choose(&choice, &vs, "s", &lookup);
	ck_assert_ptr_null(choice.only);
	ck_assert_ptr_null(choice.except);
	ck_assert_int_eq(choice.is_new, 0);
	ck_assert_int_eq(
	    bg_versions_choose_fallback(&choice, &vs, "s", &choice),
	    BG_ENOTFOUND);
}
END_TEST

START_TEST(done_uses_the_new_version)
{
	struct bg_version_choice choice;

	set_move(BG_MOVE_DONE, 1000);
	bg_versions_choose(&choice, &vs, "s", &lookup);
	ck_assert_str_eq(choice.only, "v2");
}
END_TEST

/* A bad version must not get calls again, even if there is no other (P4). */
START_TEST(rolled_back_version_never_serves)
{
	struct bg_version_choice choice;
	struct bg_version_choice fallback;

	set_move(BG_MOVE_ROLLED_BACK, 0);
	bg_versions_choose(&choice, &vs, "s", &lookup);
	ck_assert_str_eq(choice.except, "v2");
	ck_assert_int_eq(
	    bg_versions_choose_fallback(&fallback, &vs, "s", &choice),
	    BG_ENOTFOUND);
}
END_TEST

START_TEST(banned_version_never_serves)
{
	struct bg_version_choice choice;
	struct bg_version_choice fallback;

	set_move(BG_MOVE_IN_PROGRESS, 500);
	bg_bans_add(&vs.bans, "s", "v2", 4);
	ck_assert_int_eq(send_calls(100), 0);
	bg_versions_choose(&choice, &vs, "s", &lookup);
	ck_assert_int_eq(
	    bg_versions_choose_fallback(&fallback, &vs, "s", &choice),
	    BG_ENOTFOUND);
}
END_TEST

/* A call must not be refused while servers of the other version are ready. */
START_TEST(fallback_version_serves_when_the_first_cannot)
{
	struct bg_version_choice choice;
	struct bg_version_choice fallback;

	set_move(BG_MOVE_IN_PROGRESS, 1);
	bg_versions_choose(&choice, &vs, "s", &lookup);
	ck_assert_str_eq(choice.except, "v2");
	ck_assert_int_eq(
	    bg_versions_choose_fallback(&fallback, &vs, "s", &choice), 0);
	ck_assert_str_eq(fallback.only, "v2");
	set_move(BG_MOVE_DONE, 1000);
	bg_versions_choose(&choice, &vs, "s", &lookup);
	ck_assert_int_eq(
	    bg_versions_choose_fallback(&fallback, &vs, "s", &choice), 0);
	ck_assert_str_eq(fallback.except, "v2");
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("version");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, share_holds_while_a_move_runs);
	tcase_add_test(tc, service_without_a_move_uses_any_version);
	tcase_add_test(tc, done_uses_the_new_version);
	tcase_add_test(tc, rolled_back_version_never_serves);
	tcase_add_test(tc, banned_version_never_serves);
	tcase_add_test(tc, fallback_version_serves_when_the_first_cannot);
	return run_suite("version", tc);
}
