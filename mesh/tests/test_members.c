#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/error.h"
#include "burdockgrade/members.h"

#include "suite.h"

static struct bg_table *tbl;
static struct bg_roster ros;

static void
setup(void)
{
	ck_assert_int_eq(bg_table_init(&tbl), 0);
	ck_assert_int_eq(bg_roster_init(&ros), 0);
}

static void
teardown(void)
{
	bg_roster_free(&ros);
	bg_table_free(tbl);
}

static struct bg_member
make(const char *address, const char *service, uint64_t seq)
{
	struct bg_member m;

	memset(&m, 0, sizeof(m));
	snprintf(m.address, sizeof(m.address), "%s", address);
	snprintf(m.service, sizeof(m.service), "%s", service);
	snprintf(m.data_centre, sizeof(m.data_centre), "bureau");
	snprintf(m.region, sizeof(m.region), "monteregie");
	snprintf(m.server_version, sizeof(m.server_version), "v2");
	m.incarnation = 40;
	m.seq = seq;
	m.state = BG_MEMBER_READY;
	m.slots = 6;
	snprintf(m.server_id, sizeof(m.server_id), "i-7f3a");
	m.verdict = BG_VERDICT_GOOD;
	m.verdict_generation = 30;
	return m;
}

static void
merge(const struct bg_member *m)
{
	struct bg_item item;
	int changed;

	ck_assert_int_eq(bg_member_encode(&item, m), 0);
	ck_assert_int_eq(bg_table_merge(&changed, tbl, &item), 0);
	free((char *)item.value);
}

/* Guards against a field that is lost between encoding and decoding. */
START_TEST(member_survives_encoding)
{
	struct bg_member m = make("10.0.0.1:7000", "catalogue", 9);
	struct bg_member back;
	struct bg_item item;

	ck_assert_int_eq(bg_member_encode(&item, &m), 0);
	ck_assert_uint_eq(item.major, 40);
	ck_assert_uint_eq(item.minor, 9);
	ck_assert_int_eq(bg_member_decode(&back, &item), 0);
	ck_assert_mem_eq(&m, &back, sizeof(m));
	free((char *)item.value);
}
END_TEST

/* Guards against a crash or a partially decoded member on invalid input. */
START_TEST(invalid_member_is_refused)
{
	static const char *const VALUES[] = {"", "{", "[]", "{}", "7"};
	struct bg_member m;
	size_t i;

	for (i = 0; i < sizeof(VALUES) / sizeof(VALUES[0]); i++) {
		struct bg_item item = {BG_ITEM_MEMBER, 1, 2,
		    (uint32_t)strlen(VALUES[i]), VALUES[i], "10.0.0.1:1"};

		ck_assert_int_eq(bg_member_decode(&m, &item), BG_EPROTO);
	}
}
END_TEST

/* Guards against calls that are routed to a server of another service. */
START_TEST(roster_groups_by_service)
{
	struct bg_member a = make("10.0.0.3:7000", "atelier", 1);
	struct bg_member b = make("10.0.0.1:7000", "catalogue", 1);
	struct bg_member c = make("10.0.0.2:7000", "atelier", 1);
	const struct bg_member *first;

	merge(&a);
	merge(&b);
	merge(&c);
	ck_assert_int_eq(bg_roster_rebuild(&ros, tbl), 0);
	ck_assert_uint_eq(bg_roster_service(&first, &ros, "atelier"), 2);
	ck_assert_str_eq(first[0].address, "10.0.0.2:7000");
	ck_assert_str_eq(first[1].address, "10.0.0.3:7000");
	ck_assert_uint_eq(bg_roster_service(&first, &ros, "expedition"), 0);
	ck_assert_ptr_nonnull(bg_roster_find(&ros, "10.0.0.1:7000"));
	ck_assert_ptr_null(bg_roster_find(&ros, "10.0.0.9:7000"));
}
END_TEST

/* Values that no node announces, one field at a time. */
static const struct {
	const char *field;
	json_int_t value;
} INVALID_FIELDS[] = {
    {"state", 9},
    {"state", -1},
    {"slots", -1},
    {"verdict", 7},
    {"service", 1},
};

/* Guards against calls to a server whose object has invalid fields because it
 * was not written by a node. */
START_TEST(invalid_fields_are_refused)
{
	struct bg_member m = make("10.0.0.1:7000", "catalogue", 9);
	json_t *json = bg_member_to_json(&m);

	ck_assert_int_eq(bg_member_from_json(&m, json), 0);
	ck_assert_ptr_nonnull(json_object_get(json, INVALID_FIELDS[_i].field));
	json_object_set_new(json, INVALID_FIELDS[_i].field,
	    json_integer(INVALID_FIELDS[_i].value));
	ck_assert_int_eq(bg_member_from_json(&m, json), BG_EPROTO);
	json_decref(json);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("members");
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, member_survives_encoding);
	tcase_add_test(tc, invalid_member_is_refused);
	tcase_add_test(tc, roster_groups_by_service);
	tcase_add_loop_test(tc, invalid_fields_are_refused, 0,
	    (int)(sizeof(INVALID_FIELDS) / sizeof(INVALID_FIELDS[0])));
	failed = run_suite("members", tc);
	return failed != 0;
}
