#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/error.h"

#include "store/store.h"

#define HOUR_MS (3600ull * 1000)
/* A monotonic clock shortly after the start of a VM. */
#define NOW_MS 60000

static struct bg_store *store;
static struct bg_record_set *set;

static void
setup(size_t limit_bytes)
{
	ck_assert_int_eq(bg_store_init(&store, limit_bytes), 0);
	ck_assert_int_eq(bg_record_set_init(&set, store), 0);
}

static void
teardown(void)
{
	bg_record_set_free(set);
	ck_assert_uint_eq(bg_store_used_bytes(store), 0);
	bg_store_free(store);
}

static uint64_t
fingerprint(uint64_t i)
{
	return (i + 1) * 0x9e3779b97f4a7c15ull;
}

static int
merge(uint64_t i, uint64_t grant, enum bg_record_state state, size_t body_bytes,
    uint64_t now_ms)
{
	static char body[BG_ANSWER_BYTES + 1];
	struct bg_xanswer ans;
	struct bg_record rec;

	memset(&rec, 0, sizeof(rec));
	rec.fingerprint = fingerprint(i);
	rec.request_digest = i;
	rec.grant = grant;
	rec.state = (uint8_t)state;
	rec.born_s = bg_record_born_s(now_ms, 0);
	memset(&ans, 0, sizeof(ans));
	ans.http_status = 200 + (u_int)i;
	ans.body.body_val = body;
	ans.body.body_len = (u_int)body_bytes;
	return bg_record_set_merge(
	    set, &rec, body_bytes > 0 ? &ans : NULL, now_ms);
}

static const struct bg_record *
find(uint64_t i)
{
	return bg_record_set_find(set, fingerprint(i));
}

/* Guards against an older state that arrives late and replaces a newer one,
 * and against a key that may run again after its outcome is known. */
START_TEST(higher_grant_and_state_win)
{
	setup(BG_STORE_BYTES);
	merge(1, 5, BG_RECORD_STARTED, 0, NOW_MS);
	merge(1, 5, BG_RECORD_DONE, 10, NOW_MS);
	merge(1, 5, BG_RECORD_NOT_RUN, 0, NOW_MS);
	merge(1, 5, BG_RECORD_UNKNOWN, 0, NOW_MS);
	merge(1, 4, BG_RECORD_DONE, 0, NOW_MS);
	ck_assert_uint_eq(find(1)->state, BG_RECORD_DONE);
	ck_assert_ptr_nonnull(find(1)->answer);
	merge(1, 6, BG_RECORD_STARTED, 0, NOW_MS);
	ck_assert_uint_eq(find(1)->state, BG_RECORD_STARTED);
	ck_assert_ptr_null(find(1)->answer);
	ck_assert_uint_eq(bg_record_set_count(set), 1);
	teardown();
}
END_TEST

/* Guards against records that get lost when the set grows or when others are
 * removed, and against memory beyond what the design page states. */
START_TEST(records_survive_growth_and_removal)
{
	const uint64_t count = 20000;
	uint64_t old_ms = NOW_MS;
	uint64_t later_ms = NOW_MS + BG_RECORD_KEEP_MS / 2;
	uint64_t i;

	setup(BG_STORE_BYTES);
	for (i = 0; i < count; i++)
		ck_assert_int_eq(merge(i, 1, BG_RECORD_DONE, 0,
				     i % 3 == 0 ? old_ms : later_ms),
		    0);
	ck_assert_uint_eq(bg_record_set_count(set), count);
	ck_assert_uint_lt(bg_store_used_bytes(store), count * 60);
	/* A removed slot is looked at again, so that one round may end early.
	 */
	for (i = 0; i < 2; i++)
		bg_record_set_sweep(
		    set, old_ms + BG_RECORD_KEEP_MS + 2000, SIZE_MAX);
	for (i = 0; i < count; i++) {
		if (i % 3 == 0)
			ck_assert_ptr_null(find(i));
		else
			ck_assert_uint_eq(find(i)->request_digest, i);
	}
	teardown();
}
END_TEST

/* Guards against a fingerprint that goes before its 24 h, also for a record
 * that is older than the uptime of this VM. */
START_TEST(fingerprints_are_kept_for_24_hours)
{
	struct bg_record rec;

	setup(BG_STORE_BYTES);
	memset(&rec, 0, sizeof(rec));
	rec.fingerprint = fingerprint(1);
	rec.grant = 1;
	rec.state = BG_RECORD_DONE;
	rec.born_s = bg_record_born_s(NOW_MS, 20 * HOUR_MS);
	bg_record_set_merge(set, &rec, NULL, NOW_MS);
	ck_assert_uint_ge(bg_record_age_ms(find(1), NOW_MS), 20 * HOUR_MS);
	bg_record_set_sweep(set, NOW_MS + 4 * HOUR_MS - 1000, SIZE_MAX);
	ck_assert_ptr_nonnull(find(1));
	bg_record_set_sweep(set, NOW_MS + 4 * HOUR_MS + 3000, SIZE_MAX);
	ck_assert_ptr_null(find(1));
	teardown();
}
END_TEST

/* Guards against answers that are kept for longer than their hour, or that
 * take the fingerprint along. */
START_TEST(answers_expire_before_fingerprints)
{
	setup(BG_STORE_BYTES);
	merge(1, 1, BG_RECORD_DONE, 100, NOW_MS);
	bg_store_expire(store, NOW_MS + BG_ANSWER_KEEP_MS - 1);
	ck_assert_ptr_nonnull(find(1)->answer);
	bg_store_expire(store, NOW_MS + BG_ANSWER_KEEP_MS);
	ck_assert_ptr_null(find(1)->answer);
	ck_assert_uint_eq(find(1)->state, BG_RECORD_DONE);
	teardown();
}
END_TEST

/* Guards against memory without bound: oldest answers go first, fingerprints
 * never, and a new key is refused when fingerprints alone fill the memory. */
START_TEST(full_store_drops_answers_then_refuses_keys)
{
	uint64_t i;
	uint64_t accepted = 0;

	setup(64 << 10);
	merge(0, 1, BG_RECORD_DONE, 10000, NOW_MS);
	for (i = 1; i < 8; i++)
		ck_assert_int_eq(
		    merge(i, 1, BG_RECORD_DONE, 10000, NOW_MS + i), 0);
	ck_assert_ptr_null(find(0)->answer);
	ck_assert_ptr_nonnull(find(7)->answer);
	for (i = 100; merge(i, 1, BG_RECORD_STARTED, 0, NOW_MS) == 0; i++)
		accepted++;
	ck_assert_int_eq(merge(i, 1, BG_RECORD_STARTED, 0, NOW_MS), BG_ELIMIT);
	ck_assert_uint_gt(accepted, 1000);
	ck_assert_uint_le(bg_store_used_bytes(store), 64 << 10);
	ck_assert_ptr_null(find(7)->answer);
	for (i = 100; i < 100 + accepted; i++)
		ck_assert_ptr_nonnull(find(i));
	/* A known key can still get its outcome. */
	ck_assert_int_eq(merge(100, 1, BG_RECORD_DONE, 0, NOW_MS), 0);
	teardown();
}
END_TEST

/* Guards against an answer that is cut or given to another key. */
START_TEST(answer_is_returned_whole)
{
	struct bg_xanswer ans;

	setup(BG_STORE_BYTES);
	merge(1, 1, BG_RECORD_DONE, 16384, NOW_MS);
	merge(2, 1, BG_RECORD_DONE, 5, NOW_MS);
	ck_assert_int_eq(bg_kept_answer_decode(&ans, find(1)->answer), 0);
	ck_assert_uint_eq(ans.http_status, 201);
	ck_assert_uint_eq(ans.body.body_len, 16384);
	xdr_free((xdrproc_t)xdr_bg_xanswer, (char *)&ans);
	teardown();
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("store");
	TCase *tc = tcase_create("store");
	SRunner *runner;
	int failed;

	tcase_add_test(tc, higher_grant_and_state_win);
	tcase_add_test(tc, records_survive_growth_and_removal);
	tcase_add_test(tc, fingerprints_are_kept_for_24_hours);
	tcase_add_test(tc, answers_expire_before_fingerprints);
	tcase_add_test(tc, full_store_drops_answers_then_refuses_keys);
	tcase_add_test(tc, answer_is_returned_whole);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_set_fork_status(runner, CK_NOFORK);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
