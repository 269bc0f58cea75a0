#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/contract.h"

#include "sample.h"

#include "suite.h"

/* xxh64 digest of the text in encoding_is_stable, computed by a separate
 * implementation. */
#define SAMPLE_DIGEST 2994077952517869229ULL

static struct bg_contract ctr;
static struct bg_contract got;
static struct bg_error err;

static void
setup(void)
{
	sample_contract(&ctr, "orders");
	sample_add_dependency(&ctr, "catalogue");
	memset(&err, 0, sizeof(err));
}

/* Guards against a field that is lost or changed by encoding and decoding. */
START_TEST(encode_and_decode_keep_every_field)
{
	char *json;

	ctr.routes[1].criticality = BG_CRITICALITY_HIGH;
	ctr.routes[0].methods |= BG_METHOD_HEAD | BG_METHOD_PATCH;
	ck_assert_int_eq(bg_contract_encode(&json, &ctr), 0);
	ck_assert_int_eq(bg_contract_decode(&got, json, strlen(json), &err), 0);
	ck_assert_mem_eq(&got, &ctr, sizeof(ctr));
	free(json);
}
END_TEST

/* Guards against an encoding that differs between builds. It would change the
 * digest of an unchanged contract, and every node would refuse the contract. */
START_TEST(encoding_is_stable)
{
	uint64_t digest;
	char *json;

	ck_assert_int_eq(bg_contract_encode(&json, &ctr), 0);
	ck_assert_str_eq(json,
	    "{\"connections\":120,\"dependencies\":[\"catalogue\"],"
	    "\"max_error_permille\":10,\"move_auto_start\":true,"
	    "\"name\":\"orders\",\"routes\":[{\"criticality\":\"normal\","
	    "\"deadline_ms\":1000,\"idempotent\":true,\"methods\":[\"GET\"],"
	    "\"name\":\"read\",\"prefix\":\"/orders\",\"slow_ms\":200},"
	    "{\"criticality\":\"normal\",\"deadline_ms\":1000,"
	    "\"idempotent\":false,\"methods\":[\"POST\"],\"name\":\"jobs\","
	    "\"prefix\":\"/orders/jobs\",\"slow_ms\":200}],"
	    "\"slo_permyriad\":9990,\"slo_window_days\":30,\"slots\":6,"
	    "\"soak_ms\":600000,\"take_over_ms\":60000}");
	free(json);
	ck_assert_int_eq(bg_contract_digest(&digest, &ctr), 0);
	ck_assert_uint_eq(digest, SAMPLE_DIGEST);
}
END_TEST

/* Guards against JSON that another build would read differently. Each entry
 * replaces the first text by the second in a valid encoding. */
static const char *const INVALID_EDITS[][2] = {
    {"\"slots\":6", "\"slots\":-6"},
    {"\"slots\":6", "\"slots\":6.0"},
    {"\"slots\":6", "\"slots\":\"6\""},
    {"\"slots\":6", "\"slots\":4294967296"},
    {"\"slots\":6", "\"slots\":6,\"slots\":6"},
    {"\"slots\":6", "\"slots\":6,\"extra\":1"},
    {"\"slots\":6,", ""},
    {"true,\"name\"", "1,\"name\""},
    {"\"GET\"", "\"get\""},
    {"[\"GET\"]", "[\"GET\",\"GET\"]"},
    {"[\"GET\"]", "\"GET\""},
    {"[\"GET\"]", "[1]"},
    {"\"normal\"", "\"urgent\""},
    {"[\"catalogue\"]", "[null]"},
    {"[\"catalogue\"]", "{}"},
    {"\"prefix\":", "\"path\":"},
    {"\"idempotent\":true,", ""},
    {"\"name\":\"orders\"", "\"name\":\"\\u0000\""},
    {"\"name\":\"orders\"", "\"name\":\"\xff\""},
    {"{\"connections\"", "[{\"connections\""},
    {"60000}", "60000}}"},
    {"60000}", "60000"},
    {"60000}", "60000}x"},
};
#define INVALID_EDIT_COUNT \
	((int)(sizeof(INVALID_EDITS) / sizeof(INVALID_EDITS[0])))

START_TEST(decode_is_strict)
{
	const char *from = INVALID_EDITS[_i][0];
	char edited[4096];
	char *json;
	char *at;

	ck_assert_int_eq(bg_contract_encode(&json, &ctr), 0);
	at = strstr(json, from);
	ck_assert_ptr_nonnull(at);
	snprintf(edited, sizeof(edited), "%.*s%s%s", (int)(at - json), json,
	    INVALID_EDITS[_i][1], at + strlen(from));
	ck_assert_int_eq(
	    bg_contract_decode(&got, edited, strlen(edited), &err), BG_EPROTO);
	ck_assert_str_ne(err.message, "");
	free(json);
}
END_TEST

/* Guards against long input that overflows arrays of fixed size. */
START_TEST(decode_bounds_arrays_and_names)
{
	char long_name[BG_NAME_BYTES + 1];
	char json[8192];
	size_t len;
	int i;

	len = (size_t)snprintf(json, sizeof(json), "{\"dependencies\":[");
	for (i = 0; i <= BG_DEPENDENCIES_MAX; i++)
		len += (size_t)snprintf(json + len, sizeof(json) - len,
		    "%s\"d%d\"", i == 0 ? "" : ",", i);
	snprintf(json + len, sizeof(json) - len,
	    "],\"name\":\"a\","
	    "\"routes\":[]}");
	ck_assert_int_eq(
	    bg_contract_decode(&got, json, strlen(json), &err), BG_EPROTO);
	ck_assert_ptr_nonnull(strstr(err.message, "dependencies"));

	memset(long_name, 'x', sizeof(long_name) - 1);
	long_name[sizeof(long_name) - 1] = '\0';
	snprintf(json, sizeof(json), "{\"name\":\"%s\"}", long_name);
	ck_assert_int_eq(
	    bg_contract_decode(&got, json, strlen(json), &err), BG_EPROTO);
	ck_assert_ptr_nonnull(strstr(err.message, "name"));
}
END_TEST

/* Guards against a crash or a leak when a part of the contract cannot be
 * encoded. */
START_TEST(encode_refuses_text_that_is_not_utf8)
{
	char *json;

	ctr.routes[1].name[0] = (char)0xff;
	ck_assert_int_eq(bg_contract_encode(&json, &ctr), BG_EINVAL);
	ck_assert_ptr_null(json);
	setup();
	ctr.dependencies[0][0] = (char)0xff;
	ck_assert_int_eq(bg_contract_encode(&json, &ctr), BG_EINVAL);
	setup();
	ctr.name[0] = (char)0xff;
	ck_assert_int_eq(bg_contract_encode(&json, &ctr), BG_EINVAL);
}
END_TEST

/* Guards against a sample that is itself refused, which would make the cases
 * below pass for the wrong reason. */
START_TEST(sample_is_valid)
{
	ck_assert_msg(bg_contract_validate(&ctr, &err) == 0, "%s", err.message);
}
END_TEST

/* Guards against an unusable contract that passes validation. Each case makes
 * one change to a valid contract; the message must contain the text. */
#define EXPECT_REFUSED(change, text)                                           \
	do {                                                                   \
		setup();                                                       \
		change;                                                        \
		ck_assert_int_eq(bg_contract_validate(&ctr, &err), BG_EINVAL); \
		ck_assert_msg(strstr(err.message, text) != NULL, "%s: %s",     \
		    #change, err.message);                                     \
	} while (0)

START_TEST(limits_are_checked)
{
	EXPECT_REFUSED(ctr.name[0] = '\0', "name");
	EXPECT_REFUSED(ctr.name[0] = '/', "name");
	EXPECT_REFUSED(ctr.route_count = 0, "routes");
	EXPECT_REFUSED(ctr.route_count = BG_ROUTES_MAX + 1, "routes");
	EXPECT_REFUSED(ctr.slots = 0, "slots");
	EXPECT_REFUSED(ctr.slots = 10001, "slots");
	EXPECT_REFUSED(ctr.connections = 5, "connections");
	EXPECT_REFUSED(ctr.connections = 10001, "connections");
	EXPECT_REFUSED(ctr.take_over_ms = 999, "take_over_ms");
	EXPECT_REFUSED(ctr.take_over_ms = 86400001, "take_over_ms");
	EXPECT_REFUSED(ctr.soak_ms = 86400001, "soak_ms");
	EXPECT_REFUSED(ctr.max_error_permille = 0, "max_error_permille");
	EXPECT_REFUSED(ctr.max_error_permille = 501, "max_error_permille");
	EXPECT_REFUSED(ctr.slo_permyriad = 4999, "slo_permyriad");
	EXPECT_REFUSED(ctr.slo_permyriad = 10000, "slo_permyriad");
	EXPECT_REFUSED(ctr.slo_window_days = 0, "slo_window_days");
	EXPECT_REFUSED(ctr.slo_window_days = 91, "slo_window_days");
	EXPECT_REFUSED(
	    ctr.dependency_count = BG_DEPENDENCIES_MAX + 1, "dependencies");
	EXPECT_REFUSED(sample_add_dependency(&ctr, "orders"), "other services");
	EXPECT_REFUSED(sample_add_dependency(&ctr, "catalogue"), "once");
	EXPECT_REFUSED(sample_add_dependency(&ctr, "a b"), "service names");
}
END_TEST

START_TEST(routes_are_checked)
{
	EXPECT_REFUSED(ctr.routes[0].methods = 0, "method");
	EXPECT_REFUSED(ctr.routes[0].methods = 1 << 6, "method");
	EXPECT_REFUSED(ctr.routes[0].deadline_ms = 0, "deadline_ms");
	EXPECT_REFUSED(ctr.routes[0].deadline_ms = 600001, "deadline_ms");
	EXPECT_REFUSED(ctr.routes[0].slow_ms = 0, "slow_ms");
	EXPECT_REFUSED(ctr.routes[0].slow_ms = 1001, "slow_ms");
	EXPECT_REFUSED(ctr.routes[0].is_idempotent = 0, "idempotent");
	EXPECT_REFUSED(
	    ctr.routes[0].criticality = (enum bg_criticality)3, "criticality");
	EXPECT_REFUSED(strcpy(ctr.routes[1].name, "read"), "name");
	EXPECT_REFUSED(strcpy(ctr.routes[1].name, ""), "name");
	EXPECT_REFUSED(sample_add_route(&ctr, "more", "/orders/jobs",
			   BG_METHOD_POST | BG_METHOD_PUT),
	    "second route");
	EXPECT_REFUSED(strcpy(ctr.routes[0].prefix, "orders"), "starts with");
	EXPECT_REFUSED(strcpy(ctr.routes[0].prefix, ""), "starts with");
	EXPECT_REFUSED(strcpy(ctr.routes[0].prefix, "/orders/"), "end with");
	EXPECT_REFUSED(strcpy(ctr.routes[0].prefix, "/a//b"), "segments");
	EXPECT_REFUSED(strcpy(ctr.routes[0].prefix, "/a/../b"), "segments");
	EXPECT_REFUSED(strcpy(ctr.routes[0].prefix, "/a/."), "segments");
	EXPECT_REFUSED(strcpy(ctr.routes[0].prefix, "/a%20b"), "letters");
	EXPECT_REFUSED(strcpy(ctr.routes[0].prefix, "/a?b"), "letters");
	EXPECT_REFUSED(strcpy(ctr.routes[0].prefix, "/status"), "node serves");
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("contract");

	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_test(tc, encode_and_decode_keep_every_field);
	tcase_add_test(tc, encoding_is_stable);
	tcase_add_loop_test(tc, decode_is_strict, 0, INVALID_EDIT_COUNT);
	tcase_add_test(tc, decode_bounds_arrays_and_names);
	tcase_add_test(tc, encode_refuses_text_that_is_not_utf8);
	tcase_add_test(tc, sample_is_valid);
	tcase_add_test(tc, limits_are_checked);
	tcase_add_test(tc, routes_are_checked);
	return run_suite("contract", tc);
}
