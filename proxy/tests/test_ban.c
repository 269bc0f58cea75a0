#include "ban/ban.h"
#include "suite.h"

static struct bg_bans bans;

static void
setup(void)
{
	bg_bans_init(&bans);
}

static void
teardown(void)
{
	bg_bans_free(&bans);
}

/* A ban must not outlive the move in which the version was found bad. */
START_TEST(ban_ends_with_the_next_generation)
{
	bg_bans_add(&bans, "s", "v2", 4);
	ck_assert(bg_bans_has(&bans, "s", "v2", 4));
	ck_assert(!bg_bans_has(&bans, "s", "v2", 5));
}
END_TEST

/* A ban of an older generation must not replace a newer one. */
START_TEST(newest_generation_wins)
{
	bg_bans_add(&bans, "s", "v2", 4);
	bg_bans_add(&bans, "s", "v2", 3);
	ck_assert(bg_bans_has(&bans, "s", "v2", 4));
}
END_TEST

START_TEST(services_and_versions_are_independent)
{
	bg_bans_add(&bans, "s", "v2", 4);
	ck_assert(!bg_bans_has(&bans, "t", "v2", 1));
	ck_assert(!bg_bans_has(&bans, "s", "v1", 1));
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("ban");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, ban_ends_with_the_next_generation);
	tcase_add_test(tc, newest_generation_wins);
	tcase_add_test(tc, services_and_versions_are_independent);
	return run_suite("ban", tc);
}
