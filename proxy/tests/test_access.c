#include <check.h>

#include "access/access.h"
#include "suite.h"

static const char *const KEYS_A[] = {"alpha-key", "alpha-spare"};
static const char *const KEYS_B[] = {"beta-key"};

static struct bg_organisations *set;
static struct bg_snapshot snap;
static struct bg_rule rule;

static void
setup(void)
{
	struct bg_organisation_draft drafts[] = {
	    {{"alpha", 1, 5, 0, 0}, KEYS_A, 2},
	    {{"beta", 0, 0, 0, 0}, KEYS_B, 1},
	};

	memset(&snap, 0, sizeof(snap));
	memset(&rule, 0, sizeof(rule));
	rule.priority = 3;
	ck_assert_int_eq(bg_organisations_init(&set, drafts, 2, NULL), 0);
	snap.organisation_set = set;
}

static void
teardown(void)
{
	bg_organisations_release(set);
}

/* Up to two values of the key's header, and the decision. */
static const struct {
	const char *first;
	const char *second;
	enum bg_access access;
	const char *organisation;
} REQUESTS[] = {
    {NULL, NULL, BG_ACCESS_NO_KEY, NULL},
    {"", NULL, BG_ACCESS_NO_KEY, NULL},
    {"alpha-key", NULL, BG_ACCESS_GRANTED, "alpha"},
    {"alpha-spare", NULL, BG_ACCESS_GRANTED, "alpha"},
    {"alpha-ke", NULL, BG_ACCESS_UNKNOWN_KEY, NULL},
    {"Alpha-key", NULL, BG_ACCESS_UNKNOWN_KEY, NULL},
    {"alpha-key", "alpha-spare", BG_ACCESS_SEVERAL_KEYS, NULL},
    {"", "alpha-key", BG_ACCESS_SEVERAL_KEYS, NULL},
};

/* Guards against a key that is accepted by a part or by another spelling, and
 * against a request that chooses its organisation by a second key. */
START_TEST(key_decides_the_organisation)
{
	const struct bg_organisation *org;
	struct bg_caller caller = {0};

	setup();
	if (REQUESTS[_i].first != NULL)
		bg_caller_add_key(&caller, REQUESTS[_i].first);
	if (REQUESTS[_i].second != NULL)
		bg_caller_add_key(&caller, REQUESTS[_i].second);
	ck_assert_int_eq(
	    bg_access_decide(&org, &snap, &rule, &caller), REQUESTS[_i].access);
	ck_assert_pstr_eq(
	    org == NULL ? NULL : org->name, REQUESTS[_i].organisation);
	teardown();
}
END_TEST

/* Guards against calls that need no key and are refused, or are counted for an
 * organisation. */
START_TEST(calls_without_need_for_a_key_are_granted)
{
	struct bg_caller caller = {NULL, 0, BG_ORIGIN_SERVER};
	const struct bg_organisation *org;

	setup();
	ck_assert_int_eq(bg_access_decide(&org, &snap, &rule, &caller), 0);
	ck_assert_ptr_null(org);
	caller.origin = BG_ORIGIN_CUSTOMER;
	bg_caller_add_key(&caller, "alpha-key");
	rule.is_public = 1;
	ck_assert_int_eq(bg_access_decide(&org, &snap, &rule, &caller), 0);
	ck_assert_ptr_null(org);
	rule.is_public = 0;
	snap.organisation_set = NULL;
	ck_assert_int_eq(bg_access_decide(&org, &snap, &rule, &caller), 0);
	ck_assert_ptr_null(org);
	teardown();
}
END_TEST

/* Guards against a table that lost its last organisation and lets every caller
 * in. */
START_TEST(empty_table_needs_keys)
{
	const struct bg_organisation *org;
	struct bg_caller caller = {0};

	memset(&rule, 0, sizeof(rule));
	memset(&snap, 0, sizeof(snap));
	ck_assert_int_eq(
	    bg_organisations_init(&snap.organisation_set, NULL, 0, NULL), 0);
	ck_assert_int_eq(
	    bg_access_decide(&org, &snap, &rule, &caller), BG_ACCESS_NO_KEY);
	bg_caller_add_key(&caller, "alpha-key");
	ck_assert_int_eq(bg_access_decide(&org, &snap, &rule, &caller),
	    BG_ACCESS_UNKNOWN_KEY);
	bg_organisations_release(snap.organisation_set);
}
END_TEST

/* Guards against a customer that passes for a server by its id, and against a
 * call of a request that has ended and is taken for a forbidden one. */
START_TEST(only_a_running_request_needs_no_key)
{
	struct bg_caller caller = {0};
	const struct bg_organisation *org;

	setup();
	ck_assert_int_eq(bg_access_origin("id", 0), BG_ORIGIN_CUSTOMER);
	ck_assert_int_eq(bg_access_origin("id.1", 1), BG_ORIGIN_SERVER);
	caller.origin = bg_access_origin("id.1", 0);
	ck_assert_int_eq(
	    bg_access_decide(&org, &snap, &rule, &caller), BG_ACCESS_NO_PARENT);
	/* A key that is sent is checked, whatever the id. */
	caller.origin = BG_ORIGIN_SERVER;
	bg_caller_add_key(&caller, "wrong");
	ck_assert_int_eq(bg_access_decide(&org, &snap, &rule, &caller),
	    BG_ACCESS_UNKNOWN_KEY);
	teardown();
}
END_TEST

/* Guards against an organisation's rank that the rule's rank overrides, and
 * against one that is taken for 0 because it is not given. */
START_TEST(rank_of_the_organisation_goes_first)
{
	const struct bg_organisation *org;

	setup();
	org = bg_organisations_find(set, "alpha-key");
	ck_assert_uint_eq(bg_access_priority(org, &rule), 5);
	org = bg_organisations_find(set, "beta-key");
	ck_assert_uint_eq(bg_access_priority(org, &rule), 3);
	ck_assert_uint_eq(bg_access_priority(NULL, &rule), 3);
	teardown();
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("access");

	tcase_add_loop_test(tc, key_decides_the_organisation, 0,
	    sizeof(REQUESTS) / sizeof(REQUESTS[0]));
	tcase_add_test(tc, calls_without_need_for_a_key_are_granted);
	tcase_add_test(tc, empty_table_needs_keys);
	tcase_add_test(tc, only_a_running_request_needs_no_key);
	tcase_add_test(tc, rank_of_the_organisation_goes_first);
	return run_suite("access", tc);
}
