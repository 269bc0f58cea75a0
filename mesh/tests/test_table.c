#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/error.h"
#include "burdockgrade/table.h"

#include "suite.h"

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
    const char *value)
{
	struct bg_item item = {
	    kind, major, minor, (uint32_t)strlen(value), value, key};
	int changed;

	ck_assert_int_eq(bg_table_merge(&changed, tbl, &item), 0);
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

	ck_assert_int_eq(put(BG_ITEM_CONFIG, "main", 5, 0, "five"), 1);
	ck_assert_int_eq(put(BG_ITEM_CONFIG, "main", 4, 9, "four"), 0);
	ck_assert_int_eq(put(BG_ITEM_CONFIG, "main", 5, 0, "five"), 0);
	ck_assert_int_eq(put(BG_ITEM_CONFIG, "main", 5, 0, "fix"), 1);
	ck_assert_int_eq(bg_table_get(&item, tbl, BG_ITEM_CONFIG, "main"), 0);
	ck_assert_str_eq(item.value, "fix");
	ck_assert_int_eq(
	    bg_table_get(&item, tbl, BG_ITEM_MOVE, "main"), BG_ENOTFOUND);
}
END_TEST

/* Guards against a cursor that skips or repeats a change. */
START_TEST(cursor_selects_later_changes)
{
	struct bg_table_select sel = {0};
	uint64_t cursor;

	put(BG_ITEM_MEMBER, "a", 1, 0, "1");
	put(BG_ITEM_MEMBER, "b", 1, 0, "1");
	ck_assert_uint_eq(count_selected(&sel, &cursor), 2);
	sel.cursor = cursor;
	ck_assert_uint_eq(count_selected(&sel, &cursor), 0);
	put(BG_ITEM_MEMBER, "a", 2, 0, "2");
	put(BG_ITEM_MEMBER, "a", 3, 0, "3");
	ck_assert_uint_eq(count_selected(&sel, &cursor), 1);
	ck_assert_uint_eq(cursor, bg_table_cursor(tbl));
}
END_TEST

/* Guards against the large configuration document being sent again because it
 * makes the digest of a bucket differ. */
START_TEST(configuration_is_not_part_of_digests)
{
	uint64_t before[BG_DIGEST_BUCKETS];
	uint64_t after[BG_DIGEST_BUCKETS];
	struct bg_table_select sel = {0};
	uint64_t cursor;

	bg_table_digests(before, tbl);
	put(BG_ITEM_CONFIG, "main", 1, 0, "{}");
	bg_table_digests(after, tbl);
	ck_assert_mem_eq(before, after, sizeof(before));
	sel.bucket_mask = ~0ULL;
	ck_assert_uint_eq(count_selected(&sel, &cursor), 0);
	put(BG_ITEM_MOVE, "a", 1, 0, "{}");
	ck_assert_uint_eq(count_selected(&sel, &cursor), 1);
	/* Selection by cursor includes both. */
	sel.bucket_mask = 0;
	ck_assert_uint_eq(count_selected(&sel, &cursor), 2);
}
END_TEST

/* Guards against different tables with equal root digests. */
START_TEST(root_covers_every_bucket)
{
	uint64_t root = bg_table_root_digest(tbl);
	char key[16];
	int i;

	for (i = 0; i < 40; i++) {
		snprintf(key, sizeof(key), "k%d", i);
		put(BG_ITEM_MEMBER, key, 1, 0, "x");
		ck_assert_uint_ne(bg_table_root_digest(tbl), root);
		root = bg_table_root_digest(tbl);
	}
	put(BG_ITEM_MEMBER, "k7", 1, 1, "x");
	ck_assert_uint_ne(bg_table_root_digest(tbl), root);
}
END_TEST

/* Guards against a large table of which only the first message is sent. */
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
		put(BG_ITEM_MEMBER, key, 1, 0, "0123456789");
	}
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

/* Guards against an item above the size limit that blocks the log
 * permanently. */
START_TEST(large_item_is_sent_alone)
{
	struct bg_table_select sel = {0};
	uint64_t cursor;

	put(BG_ITEM_MEMBER, "a", 1, 0, "0123456789");
	put(BG_ITEM_MEMBER, "b", 1, 0, "0123456789");
	sel.max_bytes = 1;
	ck_assert_uint_eq(count_selected(&sel, &cursor), 1);
	ck_assert_uint_eq(cursor, 1);
}
END_TEST

/* Guards against a removed member that peers keep adding back. */
START_TEST(removed_item_is_not_merged_again)
{
	uint64_t before[BG_DIGEST_BUCKETS];
	uint64_t after[BG_DIGEST_BUCKETS];
	struct bg_item item;

	bg_table_digests(before, tbl);
	put(BG_ITEM_MEMBER, "n", 7, 5, "{}");
	bg_table_remove(tbl, BG_ITEM_MEMBER, "n");
	bg_table_digests(after, tbl);
	ck_assert_mem_eq(before, after, sizeof(before));
	ck_assert_int_eq(put(BG_ITEM_MEMBER, "n", 7, 5, "{}"), 0);
	ck_assert_int_eq(put(BG_ITEM_MEMBER, "n", 7, 4, "{}"), 0);
	ck_assert_int_eq(put(BG_ITEM_MEMBER, "n", 7, 6, "{}"), 1);
	ck_assert_int_eq(bg_table_get(&item, tbl, BG_ITEM_MEMBER, "n"), 0);
}
END_TEST

/* Guards against an item that does not fit the limits of a message. */
START_TEST(invalid_items_are_rejected)
{
	struct bg_item item = {BG_ITEM_MOVE, 1, 1, 1, "v", ""};
	char key[BG_KEY_BYTES + 2];
	int changed;

	ck_assert_int_eq(bg_table_merge(&changed, tbl, &item), BG_EINVAL);
	memset(key, 'k', sizeof(key) - 1);
	key[sizeof(key) - 1] = '\0';
	item.key = key;
	ck_assert_int_eq(bg_table_merge(&changed, tbl, &item), BG_EINVAL);
	item.key = "k";
	item.value_bytes = BG_BODY_BYTES + 1;
	ck_assert_int_eq(bg_table_merge(&changed, tbl, &item), BG_EINVAL);
}
END_TEST

static int
collect_keys(void *arg, const struct bg_item *item)
{
	strncat(arg, item->key, 1);
	return strcmp(item->key, "c") == 0;
}

/* Guards against an iteration order that depends on the hash table. */
START_TEST(foreach_runs_in_key_order)
{
	char keys[8] = "";

	put(BG_ITEM_MOVE, "c", 1, 1, "");
	put(BG_ITEM_MOVE, "a", 1, 1, "");
	put(BG_ITEM_MOVE, "d", 1, 1, "");
	put(BG_ITEM_MOVE, "b", 1, 1, "");
	put(BG_ITEM_MEMBER, "0", 1, 1, "");
	ck_assert_int_eq(
	    bg_table_foreach(tbl, BG_ITEM_MOVE, collect_keys, keys), 1);
	ck_assert_str_eq(keys, "abc");
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("table");
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, greater_item_wins);
	tcase_add_test(tc, cursor_selects_later_changes);
	tcase_add_test(tc, configuration_is_not_part_of_digests);
	tcase_add_test(tc, root_covers_every_bucket);
	tcase_add_test(tc, size_limit_continues_at_cursor);
	tcase_add_test(tc, large_item_is_sent_alone);
	tcase_add_test(tc, removed_item_is_not_merged_again);
	tcase_add_test(tc, invalid_items_are_rejected);
	tcase_add_test(tc, foreach_runs_in_key_order);
	failed = run_suite("table", tc);
	return failed != 0;
}
