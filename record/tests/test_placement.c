#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/error.h"
#include "burdockgrade/record.h"

#include "placement/placement.h"

#define NOW_MS 1700000000000ull

static struct bg_record_map map;

static void
setup(void)
{
	static const char names[3][BG_NAME_BYTES] = {"a", "b", "c"};

	ck_assert_int_eq(bg_record_map_init(&map, names, 3), 0);
}

/* Guards against two homes for one key when it names its home, and against
 * the name of a route being taken for a data centre. */
START_TEST(prefix_names_the_home)
{
	struct bg_place place;

	setup();
	ck_assert_int_eq(bg_place_key(&place, &map, "orders/checkout/b/k1"), 0);
	ck_assert_str_eq(place.data_centre, "b");
	ck_assert_int_eq(
	    bg_place_key(&place, &map, "orders/checkout/x/k1"), BG_EINVAL);
	ck_assert_int_eq(
	    bg_place_key(&place, &map, "orders/checkout/"), BG_EINVAL);
	ck_assert_int_eq(bg_place_key(&place, &map, "orders"), BG_EINVAL);
}
END_TEST

/* Guards against a home chosen before the map is known. */
START_TEST(no_map_no_home)
{
	struct bg_place place;

	memset(&map, 0, sizeof(map));
	ck_assert_int_eq(
	    bg_place_key(&place, &map, "orders/checkout/k1"), BG_ENOTFOUND);
	ck_assert_int_eq(
	    bg_place_key(&place, &map, "orders/checkout/a/k1"), BG_ENOTFOUND);
}
END_TEST

/* Guards against keys that crowd into a few groups or data centres. */
START_TEST(keys_spread_evenly)
{
	uint32_t groups[BG_RECORD_GROUPS] = {0};
	uint32_t homes[3] = {0};
	struct bg_place place;
	char key[64];
	int i;

	setup();
	for (i = 0; i < 64000; i++) {
		snprintf(key, sizeof(key), "orders/checkout/k%d", i);
		ck_assert_int_eq(bg_place_key(&place, &map, key), 0);
		groups[place.group]++;
		homes[place.data_centre[0] - 'a']++;
	}
	for (i = 0; i < BG_RECORD_GROUPS; i++) {
		ck_assert_uint_gt(groups[i], 800);
		ck_assert_uint_lt(groups[i], 1200);
	}
	for (i = 0; i < 3; i++)
		ck_assert_uint_gt(homes[i], 20000);
}
END_TEST

/* Guards against a wrong creation time, which could let a lost key run. */
START_TEST(only_version_7_carries_a_time)
{
	struct bg_place place;

	setup();
	bg_place_key(&place, &map, "s/r/018bcfe5-6800-7abc-8def-0123456789ab");
	ck_assert_uint_eq(place.created_ms, 0x018bcfe56800ull);
	bg_place_key(
	    &place, &map, "s/r/a/018bcfe5-6800-7abc-8def-0123456789ab");
	ck_assert_uint_eq(place.created_ms, 0x018bcfe56800ull);
	bg_place_key(&place, &map, "s/r/018bcfe5-6800-4abc-8def-0123456789ab");
	ck_assert_uint_eq(place.created_ms, 0);
	bg_place_key(&place, &map, "s/r/018bcfe5-6800-7abc-cdef-0123456789ab");
	ck_assert_uint_eq(place.created_ms, 0);
	bg_place_key(&place, &map, "s/r/018bcfe5-6800-7abc-8def-0123456789a");
	ck_assert_uint_eq(place.created_ms, 0);
}
END_TEST

/* Guards against a key that gets another home when a data centre is added:
 * neither keys without a time nor keys created before may move. */
START_TEST(added_data_centre_moves_no_old_key)
{
	struct bg_place before;
	struct bg_place after;
	struct bg_record_map old;
	uint64_t in_force_ms = NOW_MS + BG_MAP_LEAD_MS;
	char key[96];
	int moved = 0;
	uint32_t i;

	setup();
	old = map;
	ck_assert_int_eq(bg_record_map_add(&map, "d", NOW_MS), 0);
	ck_assert_int_eq(bg_record_map_add(&map, "d", NOW_MS), BG_ECONFLICT);
	for (i = 0; i < 1000; i++) {
		snprintf(key, sizeof(key), "s/r/k%u", i);
		bg_place_key(&before, &old, key);
		bg_place_key(&after, &map, key);
		ck_assert_str_eq(before.data_centre, after.data_centre);
		snprintf(key, sizeof(key), "s/r/%08x-%04x-7000-8000-%012x",
		    (uint32_t)((in_force_ms - 1) >> 16),
		    (uint32_t)((in_force_ms - 1) & 0xffff), i);
		bg_place_key(&before, &old, key);
		bg_place_key(&after, &map, key);
		ck_assert_str_eq(before.data_centre, after.data_centre);
		snprintf(key, sizeof(key), "s/r/%08x-%04x-7000-8000-%012x",
		    (uint32_t)(in_force_ms >> 16),
		    (uint32_t)(in_force_ms & 0xffff), i);
		bg_place_key(&after, &map, key);
		moved += strcmp(after.data_centre, "d") == 0;
	}
	ck_assert_int_gt(moved, 100);
}
END_TEST

/* Guards against a map that differs after it went through the platform, and
 * against bytes that are not a map. */
START_TEST(map_round_trip)
{
	struct bg_record_map out;
	struct bg_error err;
	char *json;

	setup();
	bg_record_map_add(&map, "d", NOW_MS);
	ck_assert_int_eq(bg_record_map_encode(&json, &map), 0);
	ck_assert_int_eq(
	    bg_record_map_decode(&out, json, strlen(json), &err), 0);
	ck_assert_mem_eq(&out, &map, sizeof(map));
	ck_assert_int_eq(
	    bg_record_map_decode(&out, json, strlen(json) - 1, &err),
	    BG_EPROTO);
	ck_assert_int_eq(
	    bg_record_map_decode(&out, "{\"generations\":[]}", 18, &err),
	    BG_EPROTO);
	free(json);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("placement");
	TCase *tc = tcase_create("placement");
	SRunner *runner;
	int failed;

	tcase_add_test(tc, prefix_names_the_home);
	tcase_add_test(tc, no_map_no_home);
	tcase_add_test(tc, keys_spread_evenly);
	tcase_add_test(tc, only_version_7_carries_a_time);
	tcase_add_test(tc, added_data_centre_moves_no_old_key);
	tcase_add_test(tc, map_round_trip);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_set_fork_status(runner, CK_NOFORK);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
