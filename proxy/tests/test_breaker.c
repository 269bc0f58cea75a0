#include <stdio.h>
#include <string.h>

#include "breaker/breaker.h"
#include "suite.h"

static struct bg_breaker breaker;
static struct bg_move move;

static void
setup(void)
{
	bg_breaker_init(&breaker);
	memset(&move, 0, sizeof(move));
	move.state = BG_MOVE_IN_PROGRESS;
	move.generation = 4;
	snprintf(move.from, sizeof(move.from), "v1");
	snprintf(move.to, sizeof(move.to), "v2");
}

static void
teardown(void)
{
	bg_breaker_free(&breaker);
}

/* Feeds results of a version: 'x' failed, '.' succeeded. */
static int
feed(const char *version, const char *results)
{
	int stops = 0;

	for (; *results != '\0'; results++)
		stops += bg_breaker_result(
		    &breaker, "s", &move, version, *results == 'x');
	return stops;
}

static int
is_banned(const char *version)
{
	return bg_breaker_is_banned(&breaker, "s", version, move.generation);
}

START_TEST(three_of_five_stop_the_new_version)
{
	feed("v1", "....");
	ck_assert_int_eq(feed("v2", "x.x."), 0);
	ck_assert(!is_banned("v2"));
	ck_assert_int_eq(feed("v2", "x"), 1);
	ck_assert(is_banned("v2"));
	ck_assert(!is_banned("v1"));
}
END_TEST

START_TEST(stop_is_reported_once)
{
	feed("v1", "....");
	ck_assert_int_eq(feed("v2", "xxxxxx"), 1);
}
END_TEST

START_TEST(scattered_failures_do_not_stop)
{
	feed("v1", "....");
	ck_assert_int_eq(feed("v2", "xx....xx....xx...."), 0);
}
END_TEST

/* Guards against a rollback for a fault that both versions have. */
START_TEST(common_fault_does_not_stop)
{
	feed("v1", "xx.x.");
	ck_assert_int_eq(feed("v2", "xxxxx"), 0);
	ck_assert(!is_banned("v2"));
	/* The old servers recover, the new ones do not. */
	ck_assert_int_eq(feed("v1", "....."), 1);
}
END_TEST

START_TEST(nothing_to_compare_does_not_stop)
{
	ck_assert_int_eq(feed("v2", "xxxxx"), 0);
}
END_TEST

/* Guards against a stop that outlives the move it was found in. */
START_TEST(next_generation_starts_clean)
{
	feed("v1", "....");
	feed("v2", "xxx");
	ck_assert(is_banned("v2"));
	move.generation = 5;
	ck_assert(!is_banned("v2"));
	ck_assert_int_eq(feed("v2", "x"), 0);
}
END_TEST

/* Guards against a mark of an older generation that replaces a newer one. */
START_TEST(mark_is_sticky)
{
	bg_breaker_ban(&breaker, "s", "v2", 4);
	bg_breaker_ban(&breaker, "s", "v2", 3);
	ck_assert(is_banned("v2"));
	ck_assert(!bg_breaker_is_banned(&breaker, "t", "v2", 1));
}
END_TEST

START_TEST(soak_after_done_is_watched)
{
	move.state = BG_MOVE_DONE;
	feed("v1", "....");
	ck_assert_int_eq(feed("v2", "xxx"), 1);
	move.state = BG_MOVE_ROLLED_BACK;
	move.generation = 6;
	ck_assert_int_eq(feed("v2", "xxx"), 0);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("breaker");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, three_of_five_stop_the_new_version);
	tcase_add_test(tc, stop_is_reported_once);
	tcase_add_test(tc, scattered_failures_do_not_stop);
	tcase_add_test(tc, common_fault_does_not_stop);
	tcase_add_test(tc, nothing_to_compare_does_not_stop);
	tcase_add_test(tc, next_generation_starts_clean);
	tcase_add_test(tc, mark_is_sticky);
	tcase_add_test(tc, soak_after_done_is_watched);
	return run_suite("breaker", tc);
}
