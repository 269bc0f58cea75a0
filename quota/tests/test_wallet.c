#include <string.h>

#include "bucket/bucket.h"
#include "suite.h"
#include "wallet/wallet.h"

#define T0 100000
#define TENURE 7

static struct bg_wallet wal;

static void
setup(void)
{
	memset(&wal, 0, sizeof(wal));
}

static uint32_t
settle(uint64_t tenure, uint32_t kept, uint32_t granted, uint64_t sent_ms,
    uint64_t now_ms)
{
	struct bg_wallet_grant grant = {
	    tenure, kept, granted, BG_QUOTA_LEASE_MS, 0};

	return bg_wallet_settle(&wal, &grant, sent_ms, now_ms);
}

static struct bg_wallet_ask
fill(uint32_t waiting, uint64_t now_ms)
{
	struct bg_wallet_ask out;

	bg_wallet_fill_ask(&out, &wal, waiting, now_ms);
	return out;
}

/* Gives the wallet tokens of TENURE. */
static void
hold(uint32_t tokens)
{
	(void)fill(0, T0);
	(void)settle(TENURE, 0, tokens, T0, T0 + 5);
}

START_TEST(token_is_used_once)
{
	hold(1);
	ck_assert(bg_wallet_take(&wal, T0 + 10));
	ck_assert(!bg_wallet_take(&wal, T0 + 10));
}
END_TEST

/* A node that was paused for 6 s holds nothing that has ended meanwhile. */
START_TEST(tokens_end_although_the_node_was_paused)
{
	hold(3);
	ck_assert(bg_wallet_take(&wal, T0 + BG_QUOTA_LEASE_MS - 1));
	ck_assert(!bg_wallet_take(&wal, T0 + 6000));
	ck_assert_uint_eq(fill(1, T0 + 6000).held, 0);
}
END_TEST

/* The time of a lease runs from when the ask was sent, whenever the reply
 * comes.
 */
START_TEST(late_reply_does_not_extend_the_lease)
{
	(void)fill(1, T0);
	ck_assert_uint_eq(
	    settle(TENURE, 0, 5, T0, T0 + BG_QUOTA_LEASE_MS - 100), 0);
	ck_assert_uint_eq(wal.held, 4);
	ck_assert(!bg_wallet_take(&wal, T0 + BG_QUOTA_LEASE_MS));
	(void)fill(1, T0);
	(void)settle(TENURE, 0, 5, T0, T0 + 6000);
	ck_assert_uint_eq(wal.held, 0);
}
END_TEST

/* The owner counts what it does not keep as given up. */
START_TEST(tokens_that_are_not_kept_are_dropped)
{
	hold(5);
	(void)fill(0, T0 + 100);
	ck_assert(bg_wallet_take(&wal, T0 + 101));
	(void)settle(TENURE, 3, 0, T0 + 100, T0 + 105);
	ck_assert_uint_eq(wal.held, 2);
}
END_TEST

/* A new owner knows nothing of the tokens of the one before. */
START_TEST(tokens_of_an_earlier_owner_are_dropped)
{
	hold(5);
	(void)fill(2, T0 + 100);
	ck_assert_uint_eq(settle(TENURE + 1, 5, 3, T0 + 100, T0 + 105), 2);
	ck_assert_uint_eq(wal.held, 1);
}
END_TEST

START_TEST(refusal_is_remembered_until_there_is_room)
{
	struct bg_wallet_grant grant = {TENURE, 0, 0, BG_QUOTA_LEASE_MS, 200};

	(void)fill(1, T0);
	ck_assert_uint_eq(bg_wallet_settle(&wal, &grant, T0, T0 + 5), 0);
	ck_assert(bg_wallet_is_dry(&wal, T0 + 204));
	ck_assert(!bg_wallet_is_dry(&wal, T0 + 205));
}
END_TEST

/* Steady demand is asked for ahead, so that calls do not wait; rare calls are
 * not, since their tokens would be missed elsewhere. */
START_TEST(tokens_are_asked_for_ahead_of_steady_demand)
{
	int i;

	bg_wallet_count(&wal, T0);
	ck_assert(!bg_wallet_is_low(&wal, T0));
	ck_assert_uint_eq(fill(1, T0).spare, 1);
	for (i = 1; i < 60; i++)
		bg_wallet_count(&wal, T0 + 100 * (uint64_t)i);
	ck_assert(bg_wallet_is_low(&wal, T0 + 6000));
	/* 10 calls a second for half a second. */
	ck_assert_uint_ge(fill(0, T0 + 6000).spare, 4);
	ck_assert_uint_le(fill(0, T0 + 6000).spare, 6);
	ck_assert(!bg_wallet_is_low(&wal, T0 + 16000));
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("wallet");

	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_test(tc, token_is_used_once);
	tcase_add_test(tc, tokens_end_although_the_node_was_paused);
	tcase_add_test(tc, late_reply_does_not_extend_the_lease);
	tcase_add_test(tc, tokens_that_are_not_kept_are_dropped);
	tcase_add_test(tc, tokens_of_an_earlier_owner_are_dropped);
	tcase_add_test(tc, refusal_is_remembered_until_there_is_room);
	tcase_add_test(tc, tokens_are_asked_for_ahead_of_steady_demand);
	return run_suite("wallet", tc);
}
