#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/error.h"

#include "mesh/admission.h"
#include "mesh/attach.h"
#include "mesh/codec.h"
#include "mesh/floor.h"
#include "mesh/liveness.h"
#include "mesh/offer.h"

static struct bg_table *tbl;
static struct bg_roster ros;
static struct bg_settings settings;

static void
setup(void)
{
	ck_assert_int_eq(bg_table_init(&tbl), 0);
	bg_roster_init(&ros);
	bg_settings_init(&settings);
	snprintf(
	    settings.node.data_centre, sizeof(settings.node.data_centre), "dc");
}

static void
teardown(void)
{
	bg_roster_free(&ros);
	bg_table_free(tbl);
}

static void
put(uint32_t kind, const char *key, uint64_t major, uint64_t minor,
    const char *value, uint64_t origin)
{
	struct bg_item item = {
	    kind, major, minor, (uint32_t)strlen(value), value, key};
	int changed;

	ck_assert_int_eq(bg_table_merge(&changed, tbl, &item, origin), 0);
}

static void
add_member(const char *address, const char *data_centre, int is_dead)
{
	struct bg_member m;
	struct bg_item item;

	memset(&m, 0, sizeof(m));
	snprintf(m.address, sizeof(m.address), "%s", address);
	snprintf(m.data_centre, sizeof(m.data_centre), "%s", data_centre);
	m.incarnation = 1;
	m.seq = 1;
	m.is_dead = is_dead;
	ck_assert_int_eq(bg_member_encode(&item, &m), 0);
	put(BG_ITEM_MEMBER, item.key, item.major, item.minor, item.value, 0);
	free((char *)item.value);
	bg_roster_rebuild(&ros, tbl, 1);
}

static void
add_ack(const char *address, const char *parent, uint64_t incarnation)
{
	char value[160];

	snprintf(value, sizeof(value),
	    "{\"v\":1,\"r\":0,\"why\":\"\",\"p\":\"%s\"}", parent);
	put(BG_ITEM_ACK, address, incarnation, 1, value, 0);
}

/* Guards against a node that serves below what its data centre accepted. */
START_TEST(floor_needs_own_read_or_leased_answer)
{
	struct bg_floor flr = {0};
	struct bg_floor_answer ans = {8, 1, 1, 500, 4, 4};

	ck_assert_int_eq(bg_floor_allows(&flr, 100), 0);
	ans.was_asked = 0;
	ck_assert_int_eq(bg_floor_answered(&flr, &ans), 0);
	ans.was_asked = 1;
	ans.is_leased = 0;
	ck_assert_int_eq(bg_floor_answered(&flr, &ans), 0);
	ans.is_leased = 1;
	ans.remaining_ms = 0;
	ck_assert_int_eq(bg_floor_answered(&flr, &ans), 0);
	ans.remaining_ms = 500;
	ans.term = 3;
	ck_assert_int_eq(bg_floor_answered(&flr, &ans), 0);
	ans.term = 4;
	ans.wire = BG_FLOOR_WIRE_NONE;
	ck_assert_int_eq(bg_floor_answered(&flr, &ans), 0);
	ck_assert_int_eq(bg_floor_allows(&flr, 100), 0);
	ans.wire = 8;
	ck_assert_int_eq(bg_floor_answered(&flr, &ans), 1);
	ck_assert_int_eq(bg_floor_allows(&flr, 6), 0);
	ck_assert_int_eq(bg_floor_allows(&flr, 7), 1);
	bg_floor_own_read(&flr, 9);
	bg_floor_own_read(&flr, 5);
	ck_assert_int_eq(bg_floor_allows(&flr, 8), 0);
}
END_TEST

/* Guards against a read that began before the request and is older than what
 * the node's previous process held. */
START_TEST(floor_read_must_start_after_request)
{
	struct bg_floor_reads rds = {0};
	uint64_t first = bg_floor_request(&rds);
	uint64_t second;

	ck_assert_int_eq(bg_floor_read_is_due(&rds), 1);
	bg_floor_read_started(&rds);
	second = bg_floor_request(&rds);
	ck_assert_int_eq(bg_floor_read_is_due(&rds), 0);
	bg_floor_read_done(&rds, 1, 12);
	ck_assert_uint_eq(bg_floor_reply(&rds, first, 1), 13);
	ck_assert_uint_eq(bg_floor_reply(&rds, first, 0), BG_FLOOR_WIRE_NONE);
	ck_assert_uint_eq(bg_floor_reply(&rds, second, 1), BG_FLOOR_WIRE_NONE);
	ck_assert_int_eq(bg_floor_read_is_due(&rds), 1);
	bg_floor_read_started(&rds);
	bg_floor_read_done(&rds, 0, 0);
	ck_assert_uint_eq(bg_floor_reply(&rds, second, 1), BG_FLOOR_WIRE_NONE);
	bg_floor_read_started(&rds);
	bg_floor_read_done(&rds, 1, 0);
	ck_assert_uint_eq(bg_floor_reply(&rds, second, 1), 1);
}
END_TEST

/* Guards against a reconnect storm that keeps a parent from its work. */
START_TEST(admission_bounds_attaches)
{
	struct bg_admission adm = {0};
	uint32_t retry_ms;
	uint32_t last_ms = 0;
	uint64_t now_ms;
	int admitted = 0;
	int i;

	for (i = 0; i < 400; i++) {
		if (bg_admission_take(&retry_ms, &adm, 1000))
			admitted++;
		else {
			ck_assert_uint_gt(retry_ms, last_ms);
			last_ms = retry_ms;
		}
	}
	ck_assert_int_eq(admitted, BG_ATTACH_BURST);
	ck_assert_uint_le(last_ms, 2000);
	admitted = 0;
	for (now_ms = 1001; now_ms <= 3000; now_ms++) {
		for (i = 0; i < 5; i++)
			admitted += bg_admission_take(&retry_ms, &adm, now_ms);
	}
	ck_assert_int_le(admitted, 2 * BG_ATTACHES_PER_S + 1);
	ck_assert_int_ge(admitted, 2 * BG_ATTACHES_PER_S - 1);
}
END_TEST

/* Guards against retry times that grow without bound in a long storm. */
START_TEST(admission_retry_is_bounded)
{
	struct bg_admission adm = {0};
	uint32_t retry_ms;
	int i;

	for (i = 0; i < 5000; i++) {
		if (!bg_admission_take(&retry_ms, &adm, 1000))
			ck_assert_uint_le(retry_ms, 5000);
	}
}
END_TEST

static struct bg_attach_input
attach_input(const char *self, int is_platform_down, uint64_t now_ms)
{
	struct bg_attach_input in = {
	    &settings, &ros, self, is_platform_down, now_ms};

	return in;
}

/* Guards against a node that asks the platform or leads while a member of its
 * data centre lives. */
START_TEST(attach_prefers_members_then_seeds)
{
	struct bg_attach att;
	struct bg_attach_input in;
	char address[BG_ADDRESS_BYTES];

	settings.mesh.seed_count = 1;
	snprintf(settings.mesh.seeds[0], BG_SETTING_BYTES, "10.0.0.9:1");
	add_member("10.0.0.1:1", "dc", 0);
	add_member("10.0.0.2:1", "other", 0);
	add_member("10.0.0.3:1", "dc", 1);
	add_member("10.0.0.5:1", "dc", 0);
	bg_attach_init(&att, 1, 1000);
	in = attach_input("10.0.0.5:1", 0, 1000);
	ck_assert_int_eq(bg_attach_next(address, &att, &in), BG_ATTACH_TRY);
	ck_assert_str_eq(address, "10.0.0.1:1");
	bg_attach_failed(&att, address, 0, 1000);
	ck_assert_int_eq(bg_attach_next(address, &att, &in), BG_ATTACH_WAIT);
	in.now_ms = 1200;
	ck_assert_int_eq(bg_attach_next(address, &att, &in), BG_ATTACH_TRY);
	ck_assert_str_eq(address, "10.0.0.9:1");
	bg_attach_failed(&att, address, 0, 1200);
	in.now_ms = 1500;
	ck_assert_int_eq(bg_attach_next(address, &att, &in), BG_ATTACH_WAIT);
	in.now_ms = 1000 + BG_ATTACH_AVOID_MS;
	ck_assert_int_eq(bg_attach_next(address, &att, &in), BG_ATTACH_TRY);
	ck_assert_str_eq(address, "10.0.0.1:1");
}
END_TEST

/* Guards against a data centre without parent while the platform is down, and
 * against two that lead although they know each other. */
START_TEST(lowest_member_leads_without_platform)
{
	struct bg_attach att;
	struct bg_attach_input in;
	char address[BG_ADDRESS_BYTES];
	uint64_t late_ms = 1000 + BG_ATTACH_LEAD_MS;

	add_member("10.0.0.1:1", "dc", 0);
	add_member("10.0.0.2:1", "dc", 0);
	bg_attach_init(&att, 1, 1000);
	in = attach_input("10.0.0.1:1", 1, 1000);
	ck_assert_int_eq(bg_attach_next(address, &att, &in), BG_ATTACH_TRY);
	in.now_ms = late_ms;
	ck_assert_int_eq(bg_attach_next(address, &att, &in), BG_ATTACH_LEAD);
	in.is_platform_down = 0;
	ck_assert_int_eq(bg_attach_next(address, &att, &in), BG_ATTACH_TRY);
	in = attach_input("10.0.0.2:1", 1, late_ms);
	ck_assert_int_eq(bg_attach_next(address, &att, &in), BG_ATTACH_TRY);
	ck_assert_str_eq(address, "10.0.0.1:1");
	bg_attach_failed(&att, address, 0, late_ms);
	in.now_ms = late_ms + 200;
	ck_assert_int_eq(bg_attach_next(address, &att, &in), BG_ATTACH_LEAD);
}
END_TEST

/* Guards against a parent that asked for patience and is then passed over. */
START_TEST(busy_parent_is_asked_again)
{
	struct bg_attach att;
	struct bg_attach_input in;
	char address[BG_ADDRESS_BYTES];

	add_member("10.0.0.1:1", "dc", 0);
	bg_attach_init(&att, 1, 1000);
	in = attach_input("10.0.0.2:1", 0, 1000);
	ck_assert_int_eq(bg_attach_next(address, &att, &in), BG_ATTACH_TRY);
	bg_attach_failed(&att, address, 300, 1000);
	in.now_ms = 1299;
	ck_assert_int_eq(bg_attach_next(address, &att, &in), BG_ATTACH_WAIT);
	in.now_ms = 1600;
	ck_assert_int_eq(bg_attach_next(address, &att, &in), BG_ATTACH_TRY);
	ck_assert_str_eq(address, "10.0.0.1:1");
}
END_TEST

/* Guards against redirects that lead a node to itself or to a parent that does
 * not answer. */
START_TEST(redirect_is_followed_once)
{
	struct bg_attach att;
	struct bg_attach_input in;
	char address[BG_ADDRESS_BYTES];

	bg_attach_init(&att, 1, 1000);
	in = attach_input("10.0.0.2:1", 0, 1000);
	bg_attach_redirected(&att, "10.0.0.7:1", 1000);
	ck_assert_int_eq(bg_attach_next(address, &att, &in), BG_ATTACH_TRY);
	ck_assert_str_eq(address, "10.0.0.7:1");
	ck_assert_int_eq(bg_attach_next(address, &att, &in), BG_ATTACH_WAIT);
	bg_attach_failed(&att, "10.0.0.7:1", 0, 1000);
	in.now_ms = 1500;
	bg_attach_redirected(&att, "10.0.0.7:1", 1500);
	ck_assert_int_eq(bg_attach_next(address, &att, &in), BG_ATTACH_WAIT);
	bg_attach_redirected(&att, "10.0.0.2:1", 1500);
	ck_assert_int_eq(bg_attach_next(address, &att, &in), BG_ATTACH_WAIT);
}
END_TEST

static int
has_child(void *arg, const char *address)
{
	return strcmp(address, arg) == 0;
}

/* Guards against nodes that are gone and stay in every proxy's list: an inner
 * node and its children that died together, and entries without process. */
START_TEST(members_without_parent_die)
{
	const struct bg_member *dead[8];
	struct bg_liveness lvn;
	char child[] = "10.0.0.2:1";
	uint64_t start_ms = 1000;

	add_member("10.0.0.1:1", "dc", 0); /* root */
	add_member("10.0.0.2:1", "dc", 0); /* child with session */
	add_member("10.0.0.3:1", "dc", 0); /* below the child */
	add_ack("10.0.0.3:1", "10.0.0.2:1", 1);
	add_member("10.0.0.4:1", "dc", 0); /* without confirmation */
	add_member("10.0.0.5:1", "other", 0);
	add_member("10.0.0.6:1", "dc", 0); /* confirmed by an older process */
	add_ack("10.0.0.6:1", "10.0.0.2:1", 0);
	bg_liveness_init(&lvn);
	ck_assert_uint_eq(bg_liveness_check(dead, &lvn, tbl, &ros, "10.0.0.1:1",
			      "dc", has_child, child, start_ms),
	    0);
	ck_assert_uint_eq(
	    bg_liveness_check(dead, &lvn, tbl, &ros, "10.0.0.1:1", "dc",
		has_child, child, start_ms + BG_DEAD_AFTER_MS - 1),
	    0);
	ck_assert_uint_eq(
	    bg_liveness_check(dead, &lvn, tbl, &ros, "10.0.0.1:1", "dc",
		has_child, child, start_ms + BG_DEAD_AFTER_MS),
	    2);
	ck_assert_str_eq(dead[0]->address, "10.0.0.4:1");
	ck_assert_str_eq(dead[1]->address, "10.0.0.6:1");
	/* The inner node dies; its child follows unless it finds a parent. */
	add_member("10.0.0.2:1", "dc", 1);
	bg_liveness_reset(&lvn);
	child[0] = '\0';
	bg_liveness_check(
	    dead, &lvn, tbl, &ros, "10.0.0.1:1", "dc", has_child, child, 9000);
	ck_assert_uint_eq(bg_liveness_check(dead, &lvn, tbl, &ros, "10.0.0.1:1",
			      "dc", has_child, child, 9000 + BG_DEAD_AFTER_MS),
	    3);
	ck_assert_str_eq(dead[0]->address, "10.0.0.3:1");
	bg_liveness_free(&lvn);
}
END_TEST

static void
fill_items(int count, const char *value)
{
	char key[16];
	int i;

	for (i = 0; i < count; i++) {
		snprintf(key, sizeof(key), "k%04d", i);
		put(BG_ITEM_SERVICE, key, 1, 0, value, 0);
	}
}

static u_int
unpacked_count(const struct bg_offer *offer)
{
	struct bg_xitems items;
	u_int count;

	ck_assert_int_eq(bg_items_unpack(&items, &offer->packed), 0);
	count = items.items.items_len;
	xdr_free((xdrproc_t)xdr_bg_xitems, (char *)&items);
	return count;
}

/* Guards against control bytes that are sent without compression, and against
 * encoding the same list for each child. */
START_TEST(offers_are_compressed_and_shared)
{
	struct bg_table_select sel = {0};
	struct bg_offers ofs = {0};
	struct bg_offer first;
	struct bg_offer second;

	sel.scope_mask = 1u << BG_SCOPE_ALL;
	fill_items(1, "x");
	ck_assert_int_eq(bg_offers_get(&first, &ofs, tbl, &sel, 0), 0);
	ck_assert_uint_eq(first.packed.raw_bytes, 0);
	ck_assert_uint_eq(unpacked_count(&first), 1);
	fill_items(100, "the same text in each of the items");
	ck_assert_int_eq(bg_offers_get(&first, &ofs, tbl, &sel, 0), 0);
	ck_assert_uint_gt(first.packed.raw_bytes, 4 * first.packed.bytes);
	ck_assert_uint_eq(unpacked_count(&first), 100);
	ck_assert_int_eq(bg_offers_get(&second, &ofs, tbl, &sel, 0), 0);
	ck_assert_ptr_eq(first.packed.data, second.packed.data);
	ck_assert_uint_eq(ofs.hits, 1);
	put(BG_ITEM_SERVICE, "k0000", 2, 0, "y", 0);
	ck_assert_int_eq(bg_offers_get(&second, &ofs, tbl, &sel, 0), 0);
	ck_assert_uint_eq(ofs.hits, 1);
	bg_offers_free(&ofs);
}
END_TEST

/* Guards against a version that a node refused and that spreads further. */
START_TEST(refused_version_is_not_offered)
{
	struct bg_table_select sel = {0};
	struct bg_offers ofs = {0};
	struct bg_offer offer;

	sel.scope_mask = 1u << BG_SCOPE_ALL;
	put(BG_ITEM_HEAD, "head", 7, 0, "{}", 0);
	put(BG_ITEM_MARK, "m", 7, 0, "{}", 0);
	ck_assert_int_eq(bg_offers_get(&offer, &ofs, tbl, &sel, 7), 0);
	ck_assert_uint_eq(unpacked_count(&offer), 1);
	ck_assert_int_eq(bg_offers_get(&offer, &ofs, tbl, &sel, 6), 0);
	ck_assert_uint_eq(unpacked_count(&offer), 2);
	bg_offers_free(&ofs);
}
END_TEST

static void
expect_refused(struct bg_packed packed)
{
	struct bg_xitems items;

	ck_assert_int_eq(bg_items_unpack(&items, &packed), BG_EPROTO);
	xdr_free((xdrproc_t)xdr_bg_xitems, (char *)&items);
}

/* Guards against a truncated or corrupt list that is merged: a changed byte
 * may give an item that wins every merge. */
static void
check_corruption(const char *value)
{
	struct bg_table_select sel = {0};
	struct bg_offers ofs = {0};
	struct bg_offer offer;
	struct bg_packed packed;
	u_int i;

	sel.scope_mask = 1u << BG_SCOPE_ALL;
	fill_items(8, value);
	ck_assert_int_eq(bg_offers_get(&offer, &ofs, tbl, &sel, 0), 0);
	packed = offer.packed;
	for (i = 1; i < offer.packed.bytes; i++) {
		packed.bytes = i;
		expect_refused(packed);
		packed.bytes = offer.packed.bytes;
		packed.data[i] = (char)~packed.data[i];
		expect_refused(packed);
		packed.data[i] = (char)~packed.data[i];
	}
	packed.raw_bytes--;
	expect_refused(packed);
	packed.raw_bytes = UINT32_MAX;
	expect_refused(packed);
	bg_offers_free(&ofs);
}

START_TEST(corrupt_compressed_list_is_refused)
{
	check_corruption("a value long enough that the list is compressed: "
			 "it has to exceed 512 bytes with all eight items");
}
END_TEST

START_TEST(corrupt_plain_list_is_refused)
{
	check_corruption("short");
}
END_TEST

static void
add_tests(TCase *tc)
{
	tcase_add_test(tc, floor_needs_own_read_or_leased_answer);
	tcase_add_test(tc, floor_read_must_start_after_request);
	tcase_add_test(tc, admission_bounds_attaches);
	tcase_add_test(tc, admission_retry_is_bounded);
	tcase_add_test(tc, attach_prefers_members_then_seeds);
	tcase_add_test(tc, lowest_member_leads_without_platform);
	tcase_add_test(tc, busy_parent_is_asked_again);
	tcase_add_test(tc, redirect_is_followed_once);
	tcase_add_test(tc, members_without_parent_die);
	tcase_add_test(tc, offers_are_compressed_and_shared);
	tcase_add_test(tc, refused_version_is_not_offered);
	tcase_add_test(tc, corrupt_compressed_list_is_refused);
	tcase_add_test(tc, corrupt_plain_list_is_refused);
}

int
main(void)
{
	Suite *suite = suite_create("mesh rules");
	TCase *tc = tcase_create("mesh rules");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	add_tests(tc);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed != 0;
}
