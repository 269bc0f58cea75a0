#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/error.h"
#include "burdockgrade/table.h"

#define ALL_SCOPES ~0u

static struct bg_table *tbl;

static void
setup(void)
{
	ck_assert_int_eq(bg_table_init(&tbl), 0);
}

static void
teardown(void)
{
	bg_table_free(tbl);
}

static int
put(uint32_t kind, const char *key, uint64_t major, uint64_t minor,
    const char *value, uint64_t origin)
{
	struct bg_item item = {
	    kind, major, minor, (uint32_t)strlen(value), value, key};
	int changed;

	ck_assert_int_eq(bg_table_merge(&changed, tbl, &item, origin), 0);
	return changed;
}

static u_int
count_selected(const struct bg_table_select *sel, uint64_t *cursor)
{
	struct bg_xitems items;
	u_int count;

	ck_assert_int_eq(bg_table_select(&items, cursor, tbl, sel), 0);
	count = items.items.items_len;
	xdr_free((xdrproc_t)xdr_bg_xitems, (char *)&items);
	return count;
}

/* Guards against an older item that replaces a newer one. */
START_TEST(greater_item_wins)
{
	struct bg_item item;

	ck_assert_int_eq(put(BG_ITEM_HEAD, "head", 5, 0, "five", 0), 1);
	ck_assert_int_eq(put(BG_ITEM_HEAD, "head", 4, 9, "four", 0), 0);
	ck_assert_int_eq(put(BG_ITEM_HEAD, "head", 5, 0, "five", 0), 0);
	ck_assert_int_eq(put(BG_ITEM_HEAD, "head", 5, 0, "fix", 0), 1);
	ck_assert_int_eq(bg_table_get(&item, tbl, BG_ITEM_HEAD, "head"), 0);
	ck_assert_str_eq(item.value, "fix");
	ck_assert_int_eq(
	    bg_table_get(&item, tbl, BG_ITEM_MARK, "head"), BG_ENOTFOUND);
}
END_TEST

/* Guards against a cursor that leaves out a change or repeats one. */
START_TEST(cursor_selects_later_changes)
{
	struct bg_table_select sel = {0};
	uint64_t cursor;

	sel.scope_mask = ALL_SCOPES;
	put(BG_ITEM_SERVICE, "a", 1, 0, "1", 0);
	put(BG_ITEM_SERVICE, "b", 1, 0, "1", 0);
	ck_assert_uint_eq(count_selected(&sel, &cursor), 2);
	sel.cursor = cursor;
	ck_assert_uint_eq(count_selected(&sel, &cursor), 0);
	put(BG_ITEM_SERVICE, "a", 2, 0, "2", 0);
	put(BG_ITEM_SERVICE, "a", 3, 0, "3", 0);
	ck_assert_uint_eq(count_selected(&sel, &cursor), 1);
	ck_assert_uint_eq(cursor, bg_table_cursor(tbl));
}
END_TEST

/* Guards against items that are sent back to where they came from. */
START_TEST(origin_is_left_out)
{
	struct bg_table_select sel = {0};
	uint64_t cursor;

	sel.scope_mask = ALL_SCOPES;
	sel.not_origin = 7;
	put(BG_ITEM_SERVICE, "a", 1, 0, "1", 7);
	put(BG_ITEM_SERVICE, "b", 1, 0, "1", 8);
	ck_assert_uint_eq(count_selected(&sel, &cursor), 1);
	ck_assert_int_eq(bg_table_has_origin(tbl, 0, 7), 1);
	ck_assert_int_eq(bg_table_has_origin(tbl, 1, 7), 0);
	sel.cursor = 2;
	ck_assert_int_eq(bg_table_has_news(tbl, &sel), 0);
}
END_TEST

/* Guards against confirmations and statistics that reach every node. */
START_TEST(scope_limits_selection)
{
	struct bg_table_select sel = {0};
	uint64_t cursor;

	put(BG_ITEM_ACK, "n", 1, 1, "a", 0);
	put(BG_ITEM_STAT, "n", 1, 1, "s", 0);
	put(BG_ITEM_DCSTAT, "dc", 1, 1, "d", 0);
	put(BG_ITEM_MARK, "m", 1, 1, "m", 0);
	sel.scope_mask = 1u << BG_SCOPE_ALL;
	ck_assert_uint_eq(count_selected(&sel, &cursor), 1);
	sel.scope_mask |= 1u << BG_SCOPE_UP;
	ck_assert_uint_eq(count_selected(&sel, &cursor), 3);
	sel.scope_mask = 1u << BG_SCOPE_RELAYS;
	ck_assert_uint_eq(count_selected(&sel, &cursor), 1);
	put(BG_ITEM_GROUP, "dc/1", 1, 1, "g", 0);
	ck_assert_uint_eq(count_selected(&sel, &cursor), 1);
	sel.scope_mask = 1u << BG_SCOPE_UP_RELAYS;
	ck_assert_uint_eq(count_selected(&sel, &cursor), 1);
	/* Digests do not cover these, so buckets cannot leave them out. */
	sel.scope_mask = ALL_SCOPES;
	sel.bucket_mask = 0;
	ck_assert_uint_eq(count_selected(&sel, &cursor), 5);
	for (sel.bucket_mask = 1; sel.bucket_mask != 0; sel.bucket_mask <<= 1)
		ck_assert_uint_ge(count_selected(&sel, &cursor), 4);
}
END_TEST

/* Guards against a large table that is cut at a message and loses the rest. */
START_TEST(size_limit_continues_at_cursor)
{
	struct bg_table_select sel = {0};
	char key[16];
	uint64_t cursor;
	u_int total = 0;
	int rounds = 0;
	int i;

	for (i = 0; i < 100; i++) {
		snprintf(key, sizeof(key), "k%d", i);
		put(BG_ITEM_SERVICE, key, 1, 0, "0123456789", 0);
	}
	sel.scope_mask = ALL_SCOPES;
	sel.max_bytes = 500;
	do {
		total += count_selected(&sel, &cursor);
		sel.cursor = cursor;
		rounds++;
	} while (cursor != bg_table_cursor(tbl));
	ck_assert_uint_eq(total, 100);
	ck_assert_int_gt(rounds, 5);
}
END_TEST

/* Guards against one item above the limit that blocks the log for good. */
START_TEST(large_item_is_sent_alone)
{
	struct bg_table_select sel = {0};
	uint64_t cursor;

	put(BG_ITEM_SERVICE, "a", 1, 0, "0123456789", 0);
	put(BG_ITEM_SERVICE, "b", 1, 0, "0123456789", 0);
	sel.scope_mask = ALL_SCOPES;
	sel.max_bytes = 1;
	ck_assert_uint_eq(count_selected(&sel, &cursor), 1);
	ck_assert_uint_eq(cursor, 1);
}
END_TEST

/* Guards against a forgotten member that a peer brings back for ever. */
START_TEST(forgotten_item_stays_away)
{
	uint64_t before[BG_DIGEST_BUCKETS];
	uint64_t after[BG_DIGEST_BUCKETS];
	struct bg_item item;

	bg_table_digests(before, tbl);
	put(BG_ITEM_MEMBER, "n", 7, 5, "{}", 0);
	bg_table_forget(tbl, BG_ITEM_MEMBER, "n");
	bg_table_digests(after, tbl);
	ck_assert_mem_eq(before, after, sizeof(before));
	ck_assert_int_eq(put(BG_ITEM_MEMBER, "n", 7, 5, "{}", 3), 0);
	ck_assert_int_eq(put(BG_ITEM_MEMBER, "n", 7, 4, "{}", 3), 0);
	ck_assert_int_eq(put(BG_ITEM_MEMBER, "n", 7, 6, "{}", 3), 1);
	ck_assert_int_eq(bg_table_get(&item, tbl, BG_ITEM_MEMBER, "n"), 0);
}
END_TEST

/* Guards against an item that no message can carry. */
START_TEST(invalid_items_are_rejected)
{
	struct bg_item item = {BG_ITEM_MARK, 1, 1, 1, "v", ""};
	char key[BG_KEY_BYTES + 2];
	int changed;

	ck_assert_int_eq(bg_table_merge(&changed, tbl, &item, 0), BG_EINVAL);
	memset(key, 'k', sizeof(key) - 1);
	key[sizeof(key) - 1] = '\0';
	item.key = key;
	ck_assert_int_eq(bg_table_merge(&changed, tbl, &item, 0), BG_EINVAL);
	item.key = "k";
	item.value_bytes = BG_BODY_BYTES + 1;
	ck_assert_int_eq(bg_table_merge(&changed, tbl, &item, 0), BG_EINVAL);
}
END_TEST

static int
collect_keys(void *arg, const struct bg_item *item)
{
	strncat(arg, item->key, 1);
	return strcmp(item->key, "c") == 0;
}

/* Guards against an order that depends on the hash. */
START_TEST(each_runs_in_key_order)
{
	char keys[8] = "";

	put(BG_ITEM_MARK, "c", 1, 1, "", 0);
	put(BG_ITEM_MARK, "a", 1, 1, "", 0);
	put(BG_ITEM_MARK, "d", 1, 1, "", 0);
	put(BG_ITEM_MARK, "b", 1, 1, "", 0);
	put(BG_ITEM_VIEW, "0", 1, 1, "", 0);
	ck_assert_int_eq(
	    bg_table_each(tbl, BG_ITEM_MARK, collect_keys, keys), 1);
	ck_assert_str_eq(keys, "abc");
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("table");
	TCase *tc = tcase_create("table");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, greater_item_wins);
	tcase_add_test(tc, cursor_selects_later_changes);
	tcase_add_test(tc, origin_is_left_out);
	tcase_add_test(tc, scope_limits_selection);
	tcase_add_test(tc, size_limit_continues_at_cursor);
	tcase_add_test(tc, large_item_is_sent_alone);
	tcase_add_test(tc, forgotten_item_stays_away);
	tcase_add_test(tc, invalid_items_are_rejected);
	tcase_add_test(tc, each_runs_in_key_order);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed != 0;
}
