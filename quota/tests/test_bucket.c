#include <string.h>

#include "bucket/bucket.h"
#include "suite.h"

/* 10 calls a second, and room for 8. */
static const struct bg_bucket_limits LIMITS = {10000, 8 * BG_QUOTA_MICRO};
#define T0 100000

static struct bg_bucket bucket;

static void
setup(void)
{
	bg_bucket_init(&bucket, &LIMITS, LIMITS.capacity_micro, T0);
}

static void
teardown(void)
{
	bg_bucket_free(&bucket);
}

static struct bg_bucket_grant
ask(uint64_t holder, uint64_t seq, uint32_t held, uint32_t waiting,
    uint32_t spare, uint64_t now_ms)
{
	struct bg_bucket_ask entry = {holder, seq, held, waiting, spare};
	struct bg_bucket_grant out;

	ck_assert_int_eq(bg_bucket_ask(&out, &bucket, &entry, now_ms), 0);
	return out;
}

/* The buckets of all shares together stay within the rule in a window, and use
 * most of it; an organisation that is always over its cap gets it, and part of
 * the burst in each window. */
START_TEST(shares_stay_within_the_rule)
{
	struct bg_quota_rule rule = {5000, 100, 20, 3};
	/* (40 x 5 + 10) x 1.1 + 20 */
	const uint64_t allowed = 251 * BG_QUOTA_MICRO;
	struct bg_bucket_limits out;
	uint64_t sum;

	bg_bucket_limits_init(&out, &rule, 40000, 10);
	sum = 3 * (out.capacity_micro + out.rate_milli_per_s * 5000);
	ck_assert_uint_le(sum, allowed);
	ck_assert_uint_ge(sum, allowed * 97 / 100);
	ck_assert_uint_ge(3 * out.rate_milli_per_s, 44000);
}
END_TEST

START_TEST(waiting_calls_come_before_spare_tokens)
{
	struct bg_bucket_grant out = ask(1, 1, 0, 3, 8, T0);

	/* 3, and a quarter of the 5 that are left. */
	ck_assert_uint_eq(out.granted, 4);
	ck_assert_uint_eq(out.retry_after_ms, 0);
	out = ask(2, 2, 0, 9, 0, T0);
	ck_assert_uint_eq(out.granted, 4);
	ck_assert_uint_gt(out.retry_after_ms, 0);
}
END_TEST

/* The node that holds an allowance dies: its tokens are lost until the lease
 * ends, and the bucket is not refilled in their place before. */
START_TEST(tokens_of_a_dead_node_are_lost_until_the_lease_ends)
{
	(void)ask(1, 1, 0, 4, 4, T0);
	ck_assert_uint_eq(bg_bucket_usable_micro(&bucket), 8 * BG_QUOTA_MICRO);
	/* Tokens for waiting calls end first. */
	(void)ask(2, 2, 0, 0, 0, T0 + BG_QUOTA_ASK_TIMEOUT_MS);
	ck_assert_uint_eq(bg_bucket_usable_micro(&bucket), 4 * BG_QUOTA_MICRO);
	(void)ask(2, 3, 0, 0, 0, T0 + BG_QUOTA_LEASE_MS - 1);
	ck_assert_uint_eq(bg_bucket_usable_micro(&bucket) - bucket.level_micro,
	    BG_QUOTA_MICRO);
	ck_assert_uint_le(bucket.level_micro, 7 * BG_QUOTA_MICRO);
	(void)ask(2, 4, 0, 0, 0, T0 + BG_QUOTA_LEASE_MS);
	ck_assert_uint_le(bucket.level_micro, 7 * BG_QUOTA_MICRO);
	(void)ask(2, 5, 0, 0, 0, T0 + BG_QUOTA_LEASE_MS + 100);
	ck_assert_uint_eq(bucket.level_micro, 8 * BG_QUOTA_MICRO);
}
END_TEST

/* A doubled or late ask must not create tokens, nor hide those of a newer one.
 */
START_TEST(doubled_and_late_asks_get_nothing)
{
	struct bg_bucket_grant out;

	ck_assert_uint_eq(ask(1, 5, 0, 2, 0, T0).granted, 2);
	out = ask(1, 5, 0, 2, 0, T0);
	ck_assert_uint_eq(out.granted, 0);
	out = ask(1, 4, 7, 2, 0, T0);
	ck_assert_uint_eq(out.granted, 0);
	ck_assert_uint_eq(out.kept, 0);
	ck_assert_uint_eq(bg_bucket_usable_micro(&bucket), 8 * BG_QUOTA_MICRO);
}
END_TEST

/* A node keeps only what it was granted, and nothing after the end. */
START_TEST(held_tokens_are_kept_only_as_far_as_they_were_granted)
{
	uint32_t spare = ask(1, 1, 0, 0, 8, T0).granted;

	ck_assert_uint_eq(spare, 2);
	ck_assert_uint_eq(ask(1, 2, 6, 0, 0, T0 + 10).kept, 2);
	ck_assert_uint_eq(ask(1, 3, 1, 0, 0, T0 + 20).kept, 1);
	ck_assert_uint_eq(ask(1, 4, 2, 0, 0, T0 + 30).kept, 1);
	ck_assert_uint_eq(ask(2, 5, 2, 0, 0, T0 + 40).kept, 0);
	ck_assert_uint_eq(
	    ask(1, 6, 1, 0, 0, T0 + 30 + BG_QUOTA_LEASE_MS).kept, 0);
}
END_TEST

/* An organisation at its cap: tokens for calls to come would end unused with
 * one node while another one needs them. What a node was told to keep longer
 * counts until then, since it may not get the reply. */
START_TEST(bucket_that_is_nearly_empty_gives_short_leases)
{
	struct bg_bucket_grant out = ask(1, 1, 0, 0, 8, T0);

	ck_assert_uint_eq(out.granted, 2);
	ck_assert_uint_eq(out.valid_ms, BG_QUOTA_LEASE_MS);
	(void)ask(2, 2, 0, 6, 0, T0);
	out = ask(1, 3, 2, 0, 8, T0 + 10);
	ck_assert_uint_eq(out.granted, 0);
	ck_assert_uint_eq(out.kept, 2);
	ck_assert_uint_eq(out.valid_ms, BG_QUOTA_SHORT_LEASE_MS);
	(void)ask(2, 4, 0, 0, 0, T0 + BG_QUOTA_LEASE_MS - 1);
	ck_assert_uint_eq(bg_bucket_usable_micro(&bucket) - bucket.level_micro,
	    2 * BG_QUOTA_MICRO);
}
END_TEST

/* The owner was paused for 6 s: the bucket is full, and no more. */
START_TEST(pause_accrues_no_more_than_the_capacity)
{
	(void)ask(1, 1, 0, 8, 0, T0);
	(void)ask(1, 2, 0, 0, 0, T0 + 6000);
	ck_assert_uint_eq(bg_bucket_usable_micro(&bucket), 8 * BG_QUOTA_MICRO);
	/* A clock that goes back accrues nothing. */
	(void)ask(1, 3, 0, 2, 0, T0 + 5000);
	ck_assert_uint_eq(bucket.level_micro, 6 * BG_QUOTA_MICRO);
}
END_TEST

/* A cap that is raised is used at once. */
START_TEST(raised_cap_is_used_at_once)
{
	struct bg_bucket_limits high = {50000, 20 * BG_QUOTA_MICRO};

	(void)ask(1, 1, 0, 8, 0, T0);
	bg_bucket_set_limits(&bucket, &high, 5000, T0);
	ck_assert_uint_eq(ask(2, 2, 0, 9, 0, T0 + 100).granted, 5);
}
END_TEST

/* A cap that is lowered binds after one window: until then calls are owed by
 * the old one. A second change does not put it off, and a raise ends it. */
START_TEST(lowered_cap_binds_one_window_after)
{
	struct bg_bucket_limits low = {1000, 2 * BG_QUOTA_MICRO};
	struct bg_bucket_limits lower = {500, BG_QUOTA_MICRO};

	bg_bucket_set_limits(&bucket, &low, 5000, T0);
	ck_assert_uint_eq(ask(1, 1, 0, 8, 0, T0 + 10).granted, 8);
	ck_assert_uint_eq(ask(1, 2, 0, 8, 0, T0 + 4390).granted, 8);
	bg_bucket_set_limits(&bucket, &lower, 5000, T0 + 4390);
	ck_assert_uint_le(ask(1, 3, 0, 8, 0, T0 + 7000).granted, 1);
	ck_assert_uint_eq(ask(1, 4, 0, 8, 0, T0 + 20000).granted, 1);
	bg_bucket_set_limits(&bucket, &LIMITS, 5000, T0 + 20000);
	ck_assert_uint_eq(bucket.lower_due_ms, 0);
	ck_assert_uint_eq(ask(1, 5, 0, 8, 0, T0 + 20300).granted, 3);
}
END_TEST

/* Tokens that were leased under the old cap have ended one window after. */
START_TEST(leases_of_an_old_cap_end_within_the_window)
{
	struct bg_bucket_limits low = {1000, 2 * BG_QUOTA_MICRO};

	bg_bucket_set_limits(&bucket, &low, 5000, T0);
	(void)ask(1, 1, 0, 0, 8, T0 + 5000 - 300);
	(void)ask(2, 2, 0, 0, 8, T0 + 5000 - 1);
	(void)ask(3, 3, 0, 0, 0, T0 + 5000);
	ck_assert_uint_le(bg_bucket_usable_micro(&bucket), low.capacity_micro);
}
END_TEST

/* A new owner, also one that was only restarted: what the one before granted
 * may still be in use, and may have been a whole capacity. */
START_TEST(new_owner_starts_empty_after_the_leases_of_the_last)
{
	struct bg_bucket_limits limits = LIMITS;
	struct bg_bucket_limits bursty = {1000, 8 * BG_QUOTA_MICRO};
	uint64_t start_ms = T0 + BG_QUOTA_LEASE_MS;

	teardown();
	bg_bucket_start(&bucket, &limits, 5000, T0, T0 + 10);
	ck_assert_uint_eq(ask(1, 1, 0, 1, 0, T0 + 10).granted, 0);
	ck_assert_uint_eq(
	    ask(1, 2, 0, 1, 0, T0 + BG_QUOTA_LEASE_MS + 90).granted, 0);
	ck_assert_uint_eq(
	    ask(1, 3, 0, 9, 0, T0 + BG_QUOTA_LEASE_MS + 200).granted, 2);
	teardown();
	/* Full only once no window has calls of both owners. */
	bg_bucket_start(&bucket, &bursty, 5000, T0, start_ms + 4999);
	ck_assert_uint_eq(ask(1, 1, 0, 9, 0, start_ms + 4999).granted, 4);
	teardown();
	bg_bucket_start(&bucket, &limits, 5000, T0, T0 + 6000);
	ck_assert_uint_eq(bucket.level_micro, 8 * BG_QUOTA_MICRO);
}
END_TEST

/* Buckets of idle organisations are dropped, so that the state is bounded. */
START_TEST(full_bucket_without_leases_is_recognized)
{
	ck_assert(bg_bucket_is_full(&bucket, T0));
	(void)ask(1, 1, 0, 1, 0, T0);
	ck_assert(!bg_bucket_is_full(&bucket, T0 + BG_QUOTA_LEASE_MS - 100));
	ck_assert(bg_bucket_is_full(&bucket, T0 + BG_QUOTA_LEASE_MS + 100));
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("bucket");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, shares_stay_within_the_rule);
	tcase_add_test(tc, waiting_calls_come_before_spare_tokens);
	tcase_add_test(tc, tokens_of_a_dead_node_are_lost_until_the_lease_ends);
	tcase_add_test(tc, doubled_and_late_asks_get_nothing);
	tcase_add_test(
	    tc, held_tokens_are_kept_only_as_far_as_they_were_granted);
	tcase_add_test(tc, bucket_that_is_nearly_empty_gives_short_leases);
	tcase_add_test(tc, pause_accrues_no_more_than_the_capacity);
	tcase_add_test(tc, raised_cap_is_used_at_once);
	tcase_add_test(tc, lowered_cap_binds_one_window_after);
	tcase_add_test(tc, leases_of_an_old_cap_end_within_the_window);
	tcase_add_test(tc, new_owner_starts_empty_after_the_leases_of_the_last);
	tcase_add_test(tc, full_bucket_without_leases_is_recognized);
	return run_suite("bucket", tc);
}
