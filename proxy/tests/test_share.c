#include <stdio.h>
#include <string.h>

#include "share/share.h"
#include "suite.h"

static struct bg_share shr;
static struct bg_rule lookup;
static struct bg_rule order;
static struct bg_move move;

static void
setup(void)
{
	bg_share_init(&shr);
	memset(&lookup, 0, sizeof(lookup));
	memset(&order, 0, sizeof(order));
	memset(&move, 0, sizeof(move));
	lookup.name = "lookup";
	order.name = "order";
	lookup.is_idempotent = 1;
	move.state = BG_MOVE_IN_PROGRESS;
	move.generation = 1;
	move.share_permille = 50;
}

static void
teardown(void)
{
	bg_share_free(&shr);
}

/* Sends calls as the proxy does. @return number sent to the new version */
static int
send_calls(const struct bg_rule *route, int count)
{
	int sent_new = 0;
	int is_new;
	int i;

	for (i = 0; i < count; i++) {
		is_new = bg_share_allows(&shr, "s", route, &move);
		ck_assert_int_eq(
		    bg_share_count(&shr, "s", route, &move, is_new), 0);
		sent_new += is_new;
	}
	return sent_new;
}

/* The first call must not go to a new version that has no verdict yet. */
START_TEST(few_calls_stay_with_the_old_version)
{
	ck_assert_int_eq(send_calls(&lookup, 19), 0);
	ck_assert_int_eq(send_calls(&lookup, 1), 1);
}
END_TEST

START_TEST(share_is_used_up_to_the_cap)
{
	ck_assert_int_eq(send_calls(&lookup, 1000), 50);
}
END_TEST

/* Calls counted in earlier steps must not allow a burst at a new step. */
START_TEST(higher_step_does_not_burst)
{
	send_calls(&lookup, 1000);
	move.share_permille = 100;
	ck_assert_int_eq(send_calls(&lookup, 9), 0);
	ck_assert_int_eq(send_calls(&lookup, 1), 1);
}
END_TEST

START_TEST(generations_are_counted_separately)
{
	send_calls(&lookup, 39);
	move.generation = 2;
	ck_assert_int_eq(send_calls(&lookup, 19), 0);
}
END_TEST

/* A busy route must not use up the share of another route. */
START_TEST(routes_are_counted_separately)
{
	send_calls(&lookup, 1000);
	move.share_permille = 250;
	ck_assert_int_eq(send_calls(&order, 3), 0);
	ck_assert_int_eq(send_calls(&order, 1), 1);
}
END_TEST

/* A non-idempotent call must not be among the first that a version runs. */
START_TEST(non_idempotent_routes_go_last)
{
	move.share_permille = 249;
	ck_assert_int_eq(send_calls(&order, 1000), 0);
	move.share_permille = 250;
	ck_assert_int_eq(send_calls(&order, 1000), 250);
}
END_TEST

START_TEST(full_share_takes_all)
{
	move.share_permille = 1000;
	ck_assert_int_eq(send_calls(&order, 10), 10);
}
END_TEST

START_TEST(no_share_takes_none)
{
	move.share_permille = 0;
	ck_assert_int_eq(send_calls(&lookup, 5000), 0);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("share");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, few_calls_stay_with_the_old_version);
	tcase_add_test(tc, share_is_used_up_to_the_cap);
	tcase_add_test(tc, higher_step_does_not_burst);
	tcase_add_test(tc, generations_are_counted_separately);
	tcase_add_test(tc, routes_are_counted_separately);
	tcase_add_test(tc, non_idempotent_routes_go_last);
	tcase_add_test(tc, full_share_takes_all);
	tcase_add_test(tc, no_share_takes_none);
	return run_suite("share", tc);
}
