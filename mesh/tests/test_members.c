#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/error.h"
#include "burdockgrade/members.h"

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
make(const char *address, const char *service, uint64_t seq, int is_dead)
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
	m.connections = 120;
	m.ready_since_ms = 1700000000000;
	m.is_dead = is_dead;
	return m;
}

static void
merge(const struct bg_member *m)
{
	struct bg_item item;
	int changed;

	ck_assert_int_eq(bg_member_encode(&item, m), 0);
	ck_assert_int_eq(bg_table_merge(&changed, tbl, &item, 0), 0);
	free((char *)item.value);
}

/* Guards against a field that does not survive the way to another node. */
START_TEST(member_survives_encoding)
{
	struct bg_member m = make("10.0.0.1:7000", "catalogue", 9, 1);
	struct bg_member back;
	struct bg_item item;

	ck_assert_int_eq(bg_member_encode(&item, &m), 0);
	ck_assert_uint_eq(item.major, 40);
	ck_assert_uint_eq(item.minor, 19);
	ck_assert_int_eq(bg_member_decode(&back, &item), 0);
	ck_assert_mem_eq(&m, &back, sizeof(m));
	free((char *)item.value);
}
END_TEST

/* Guards against a crash or a half-read member from foreign bytes. */
START_TEST(invalid_member_is_refused)
{
	static const char *const VALUES[] = {"", "{", "[]", "{}",
	    "{\"conns\":1,\"dc\":\"a\",\"ready\":0,\"region\":\"r\","
	    "\"service\":\"s\",\"slots\":-1,\"state\":1,\"version\":\"v\"}",
	    "{\"conns\":1,\"dc\":\"a\",\"ready\":0,\"region\":\"r\","
	    "\"service\":\"s\",\"slots\":1,\"state\":9,\"version\":\"v\"}"};
	struct bg_member m;
	size_t i;

	for (i = 0; i < sizeof(VALUES) / sizeof(VALUES[0]); i++) {
		struct bg_item item = {BG_ITEM_MEMBER, 1, 2,
		    (uint32_t)strlen(VALUES[i]), VALUES[i], "10.0.0.1:1"};

		ck_assert_int_eq(bg_member_decode(&m, &item), BG_EPROTO);
	}
}
END_TEST

/* Guards against calls to a server of another service. */
START_TEST(roster_groups_by_service)
{
	struct bg_member a = make("10.0.0.3:7000", "atelier", 1, 0);
	struct bg_member b = make("10.0.0.1:7000", "catalogue", 1, 0);
	struct bg_member c = make("10.0.0.2:7000", "atelier", 1, 0);
	const struct bg_member *first;

	merge(&a);
	merge(&b);
	merge(&c);
	ck_assert_int_eq(bg_roster_rebuild(&ros, tbl, 1), 0);
	ck_assert_uint_eq(bg_roster_service(&first, &ros, "atelier"), 2);
	ck_assert_str_eq(first[0].address, "10.0.0.2:7000");
	ck_assert_str_eq(first[1].address, "10.0.0.3:7000");
	ck_assert_uint_eq(bg_roster_service(&first, &ros, "expedition"), 0);
	ck_assert_ptr_nonnull(bg_roster_find(&ros, "10.0.0.1:7000"));
	ck_assert_ptr_null(bg_roster_find(&ros, "10.0.0.9:7000"));
}
END_TEST

/* Guards against a dead server that stays a candidate because each rebuild
 * starts its time anew. */
START_TEST(time_of_death_is_kept)
{
	struct bg_member a = make("10.0.0.1:7000", "atelier", 1, 1);
	struct bg_member other = make("10.0.0.2:7000", "atelier", 1, 0);
	const struct bg_member *m;

	merge(&a);
	bg_roster_rebuild(&ros, tbl, 1000);
	merge(&other);
	bg_roster_rebuild(&ros, tbl, 5000);
	m = bg_roster_find(&ros, a.address);
	ck_assert_uint_eq(m->dead_observed_ms, 1000);
	a.seq = 2;
	a.is_dead = 0;
	merge(&a);
	bg_roster_rebuild(&ros, tbl, 6000);
	a.is_dead = 1;
	merge(&a);
	bg_roster_rebuild(&ros, tbl, 7000);
	m = bg_roster_find(&ros, a.address);
	ck_assert_uint_eq(m->dead_observed_ms, 7000);
}
END_TEST

/* Guards against old knowledge that is used while enough servers live, or
 * after its time. */
START_TEST(last_resort_is_bounded)
{
	struct bg_member m[4];
	int below;
	int i;

	for (i = 0; i < 4; i++) {
		m[i] = make("10.0.0.1:7000", "atelier", 1, i >= 2);
		m[i].dead_observed_ms = 1000;
	}
	ck_assert_int_eq(bg_members_below_half(m, 4, 2000), 0);
	ck_assert_int_eq(bg_member_is_candidate(&m[3], 0, 2000), 0);
	m[1].is_dead = 1;
	m[1].dead_observed_ms = 1000;
	below = bg_members_below_half(m, 4, 2000);
	ck_assert_int_eq(below, 1);
	ck_assert_int_eq(bg_member_is_candidate(&m[3], below, 2000), 1);
	ck_assert_int_eq(bg_member_is_candidate(
			     &m[3], below, 1000 + BG_MEMBER_LAST_RESORT_MS),
	    0);
	m[3].state = BG_MEMBER_DRAINING;
	ck_assert_int_eq(bg_member_is_candidate(&m[3], below, 2000), 0);
	ck_assert_int_eq(bg_members_below_half(m, 0, 2000), 0);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("members");
	TCase *tc = tcase_create("members");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, member_survives_encoding);
	tcase_add_test(tc, invalid_member_is_refused);
	tcase_add_test(tc, roster_groups_by_service);
	tcase_add_test(tc, time_of_death_is_kept);
	tcase_add_test(tc, last_resort_is_bounded);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed != 0;
}
