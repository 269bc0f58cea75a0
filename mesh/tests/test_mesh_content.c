#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mesh/content.h"

static struct bg_table *tbl;
static struct bg_roster ros;
static struct bg_head head;

static void
setup(void)
{
	ck_assert_int_eq(bg_table_init(&tbl), 0);
	bg_roster_init(&ros);
	bg_head_init(&head);
}

static void
teardown(void)
{
	bg_head_free(&head);
	bg_roster_free(&ros);
	bg_table_free(tbl);
}

static void
put(uint32_t kind, const char *key, uint64_t major, uint64_t minor,
    const char *value)
{
	struct bg_item item = {
	    kind, major, minor, (uint32_t)strlen(value), value, key};
	int changed;

	ck_assert_int_eq(bg_table_merge(&changed, tbl, &item, 0), 0);
}

/* Changes a service in the head and merges its item. */
static void
change(const char *service, const char *dependency)
{
	struct bg_head_service *svc = bg_head_add(&head, service);
	struct bg_contract ctr;
	char *contract;
	char *value;

	memset(&ctr, 0, sizeof(ctr));
	snprintf(ctr.name, sizeof(ctr.name), "%s", service);
	snprintf(ctr.routes[0].name, BG_NAME_BYTES, "browse");
	snprintf(ctr.routes[0].prefix, BG_PREFIX_BYTES, "/%s", service);
	ctr.routes[0].methods = BG_METHOD_GET;
	ctr.routes[0].is_idempotent = 1;
	ctr.routes[0].deadline_ms = 1000;
	ctr.routes[0].slow_ms = 200;
	ctr.route_count = 1;
	if (dependency != NULL) {
		snprintf(ctr.dependencies[0], BG_NAME_BYTES, "%s", dependency);
		ctr.dependency_count = 1;
	}
	ctr.slots = 6;
	ctr.connections = 120;
	ctr.take_over_ms = 60000;
	ctr.soak_ms = 600000;
	ctr.max_error_permille = 10;
	ctr.slo_permyriad = 9990;
	ctr.slo_window_days = 30;
	head.version++;
	svc->rev++;
	svc->changed = head.version;
	ck_assert_int_eq(bg_contract_digest(&svc->digest, &ctr), 0);
	ck_assert_int_eq(bg_contract_encode(&contract, &ctr), 0);
	ck_assert_int_eq(bg_head_service_encode(&value, svc, contract), 0);
	put(BG_ITEM_SERVICE, service, svc->changed, 0, value);
	free(contract);
	free(value);
}

static void
put_head(void)
{
	char *value;

	ck_assert_int_eq(bg_head_item_encode(&value, &head), 0);
	put(BG_ITEM_HEAD, BG_HEAD_KEY, head.version, 0, value);
	free(value);
}

static enum bg_build_result
build(uint64_t held, uint64_t *version)
{
	struct bg_snapshot *snap = NULL;
	struct bg_error err = {0};
	enum bg_build_result result;

	result = bg_content_build(&snap, version, tbl, held, &err);
	if (result == BG_BUILD_DONE)
		ck_assert_uint_eq(snap->version, *version);
	else
		ck_assert_ptr_null(snap);
	if (result == BG_BUILD_REFUSED)
		ck_assert_str_ne(err.message, "");
	bg_snapshot_release(snap);
	return result;
}

/* Guards against a version that is applied in part, or twice. */
START_TEST(snapshot_needs_every_service)
{
	uint64_t version;

	ck_assert_int_eq(build(0, &version), BG_BUILD_NONE);
	change("catalogue", NULL);
	ck_assert_int_eq(build(0, &version), BG_BUILD_NONE);
	put_head();
	ck_assert_int_eq(build(0, &version), BG_BUILD_DONE);
	ck_assert_uint_eq(version, 1);
	ck_assert_int_eq(build(1, &version), BG_BUILD_NONE);
	ck_assert_int_eq(build(2, &version), BG_BUILD_NONE);
	/* The head arrives before the service. */
	bg_head_add(&head, "atelier")->changed = 2;
	head.version = 2;
	put_head();
	ck_assert_int_eq(build(1, &version), BG_BUILD_INCOMPLETE);
	/* The service of the next version arrives before its head. */
	change("catalogue", NULL);
	ck_assert_int_eq(build(0, &version), BG_BUILD_INCOMPLETE);
}
END_TEST

/* Guards against a snapshot with a route or dependency that does not exist. */
START_TEST(invalid_content_is_refused)
{
	uint64_t version;

	change("catalogue", "absent");
	put_head();
	ck_assert_int_eq(build(0, &version), BG_BUILD_REFUSED);
	change("absent", NULL);
	put_head();
	ck_assert_int_eq(build(0, &version), BG_BUILD_DONE);
}
END_TEST

/* Guards against a service of another content under the same version. */
START_TEST(changed_bytes_are_refused)
{
	struct bg_item item;
	uint64_t version;
	char *copy;
	char *at;

	change("catalogue", NULL);
	ck_assert_int_eq(
	    bg_table_get(&item, tbl, BG_ITEM_SERVICE, "catalogue"), 0);
	ck_assert_ptr_nonnull(copy = strdup(item.value));
	ck_assert_ptr_nonnull(at = strstr(copy, "/catalogue"));
	at[1] = 'k';
	put(BG_ITEM_SERVICE, "catalogue", 1, 1, copy);
	put_head();
	ck_assert_int_eq(build(0, &version), BG_BUILD_REFUSED);
	put(BG_ITEM_HEAD, BG_HEAD_KEY, 2, 0, "{\"version\":3}");
	ck_assert_int_eq(build(0, &version), BG_BUILD_REFUSED);
	put(BG_ITEM_HEAD, BG_HEAD_KEY, 3, 0, "no json");
	ck_assert_int_eq(build(0, &version), BG_BUILD_REFUSED);
	free(copy);
}
END_TEST

static void
add_member(const char *address, int is_dead, uint64_t version, uint64_t refused)
{
	struct bg_member m;
	struct bg_item item;
	struct bg_ack ack;
	char *value;

	memset(&m, 0, sizeof(m));
	snprintf(m.address, sizeof(m.address), "%s", address);
	snprintf(m.data_centre, sizeof(m.data_centre), "dc");
	m.incarnation = 4;
	m.is_dead = is_dead;
	ck_assert_int_eq(bg_member_encode(&item, &m), 0);
	put(BG_ITEM_MEMBER, item.key, item.major, item.minor, item.value);
	free((char *)item.value);
	memset(&ack, 0, sizeof(ack));
	ack.version = version;
	ack.refused_version = refused;
	snprintf(ack.refused_reason, sizeof(ack.refused_reason),
	    refused != 0 ? "because" : "");
	ck_assert_int_eq(bg_ack_encode(&value, &ack), 0);
	put(BG_ITEM_ACK, address, 4, 1, value);
	free(value);
	bg_roster_rebuild(&ros, tbl, 1);
}

/* Guards against a status that says done while a member lacks the version, and
 * against one that waits for the dead. */
START_TEST(summary_names_the_lowest_version)
{
	struct bg_summary sum;

	bg_content_summarize(&sum, tbl, &ros, "dc");
	ck_assert_uint_eq(sum.confirmed_version, 0);
	add_member("10.0.0.1:1", 0, 7, 0);
	add_member("10.0.0.2:1", 0, 5, 8);
	add_member("10.0.0.3:1", 1, 2, 0);
	bg_content_summarize(&sum, tbl, &ros, "dc");
	ck_assert_uint_eq(sum.member_count, 2);
	ck_assert_uint_eq(sum.synced_count, 2);
	ck_assert_uint_eq(sum.confirmed_version, 5);
	ck_assert_uint_eq(sum.refused_version, 8);
	ck_assert_str_eq(sum.refused_by, "10.0.0.2:1");
	ck_assert_str_eq(sum.refused_reason, "because");
	ck_assert_uint_eq(bg_content_refused(tbl), 8);
	/* A replaced process has confirmed nothing yet; it serves no customer
	 * before it holds the confirmed version, so it does not lower it. */
	put(BG_ITEM_MEMBER, "10.0.0.1:1", 5, 2,
	    "{\"conns\":1,\"dc\":\"dc\",\"ready\":0,\"region\":\"r\","
	    "\"service\":\"s\",\"slots\":1,\"state\":1,\"version\":\"v\"}");
	bg_roster_rebuild(&ros, tbl, 2);
	bg_content_summarize(&sum, tbl, &ros, "dc");
	ck_assert_uint_eq(sum.confirmed_version, 5);
	ck_assert_uint_eq(sum.member_count, 2);
	ck_assert_uint_eq(sum.synced_count, 1);
	bg_content_summarize(&sum, tbl, &ros, "other");
	ck_assert_uint_eq(sum.member_count, 0);
}
END_TEST

/* Guards against a field that is lost on the way to the status. */
START_TEST(summary_survives_encoding)
{
	struct bg_summary sum;
	struct bg_summary back;
	struct bg_item item = {BG_ITEM_SUMMARY, 1, 1, 0, NULL, "dc"};
	char *value;

	memset(&sum, 0, sizeof(sum));
	snprintf(sum.data_centre, sizeof(sum.data_centre), "dc");
	sum.member_count = 162;
	sum.synced_count = 161;
	sum.confirmed_version = 1ull << 40;
	sum.refused_version = 9;
	snprintf(sum.refused_by, sizeof(sum.refused_by), "10.0.0.2:1");
	snprintf(sum.refused_reason, sizeof(sum.refused_reason), "a \"b\"");
	snprintf(sum.root, sizeof(sum.root), "10.0.0.1:1");
	sum.written_ms = 1800000000000;
	sum.is_leased = 1;
	ck_assert_int_eq(bg_summary_encode(&value, &sum), 0);
	item.value = value;
	item.value_bytes = (uint32_t)strlen(value);
	ck_assert_int_eq(bg_summary_decode(&back, &item), 0);
	ck_assert_mem_eq(&sum, &back, sizeof(sum));
	item.value_bytes--;
	ck_assert_int_ne(bg_summary_decode(&back, &item), 0);
	free(value);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("mesh content");
	TCase *tc = tcase_create("mesh content");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, snapshot_needs_every_service);
	tcase_add_test(tc, invalid_content_is_refused);
	tcase_add_test(tc, changed_bytes_are_refused);
	tcase_add_test(tc, summary_names_the_lowest_version);
	tcase_add_test(tc, summary_survives_encoding);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed != 0;
}
