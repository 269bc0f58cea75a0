#include "call/deadline.h"
#include "gatekeeper/dependency.h"
#include "gatekeeper/probe.h"
#include "ingress/request_head.h"
#include "suite.h"

#include <stdio.h>
#include <string.h>

START_TEST(effective_deadline_is_the_minimum)
{
	ck_assert_uint_eq(bg_deadline_effective_ms(1000, 0), 1000);
	ck_assert_uint_eq(bg_deadline_effective_ms(1000, 300), 300);
	ck_assert_uint_eq(bg_deadline_effective_ms(1000, 5000), 1000);
}
END_TEST

START_TEST(time_left_does_not_wrap)
{
	ck_assert_uint_eq(bg_deadline_left_ms(5000000, 4000000), 1000);
	ck_assert_uint_eq(bg_deadline_left_ms(5000000, 5000000), 0);
	ck_assert_uint_eq(bg_deadline_left_ms(5000000, 9000000), 0);
}
END_TEST

START_TEST(header_numbers_are_parsed_strictly)
{
	ck_assert_uint_eq(bg_header_u32("17", 3), 17);
	ck_assert_uint_eq(bg_header_u32(NULL, 3), 3);
	ck_assert_uint_eq(bg_header_u32("", 3), 3);
	ck_assert_uint_eq(bg_header_u32("-1", 3), 3);
	ck_assert_uint_eq(bg_header_u32("12x", 3), 3);
	ck_assert_uint_eq(bg_header_u32("99999999999", 3), 3);
}
END_TEST

START_TEST(idle_connection_takes_idempotent_calls_only)
{
	ck_assert(bg_connection_is_reusable(BG_CONNECTION_IDLE_MAX_MS, 0));
	ck_assert(!bg_connection_is_reusable(BG_CONNECTION_IDLE_MAX_MS + 1, 0));
	ck_assert(!bg_connection_is_reusable(UINT64_MAX, 0));
	ck_assert(bg_connection_is_reusable(UINT64_MAX, 1));
}
END_TEST

/* Time in which dependency calls overlap must be subtracted only once. */
START_TEST(parallel_dependencies_count_once)
{
	struct bg_dependency_time dep;

	memset(&dep, 0, sizeof(dep));
	bg_dependency_begin(&dep, 1000);
	bg_dependency_begin(&dep, 2000);
	bg_dependency_end(&dep, 3000, 0);
	bg_dependency_end(&dep, 5000, 1);
	ck_assert_uint_eq(bg_dependency_own_us(&dep, 0, 10000), 6000);
	ck_assert(dep.has_failed);
	bg_dependency_begin(&dep, 10000);
	ck_assert_uint_eq(bg_dependency_own_us(&dep, 0, 12000), 6000);
}
END_TEST

static int
check(const char *text, struct bg_request_head *out)
{
	const char *reason;

	return bg_request_head_check(out, &reason, text, strlen(text), 1000);
}

/* A head that has arrived in part must be neither accepted nor refused. */
START_TEST(partial_head_is_incomplete)
{
	const char *text = "PUT /a/b?c HTTP/1.1\r\nHost: x\r\n"
			   "Content-Length: 12\r\n\r\n";
	struct bg_request_head head;
	const char *reason;
	size_t i;

	for (i = 0; i < strlen(text); i++)
		ck_assert_int_eq(
		    bg_request_head_check(&head, &reason, text, i, 1000), 0);
	ck_assert_int_eq(check(text, &head), 200);
	ck_assert_str_eq(head.method, "PUT");
	ck_assert_str_eq(head.target, "/a/b?c");
	ck_assert_uint_eq(head.body_bytes, 12);
	ck_assert_uint_eq(head.head_bytes, strlen(text));
}
END_TEST

/* An empty line in place of the request line was once accepted as a request
 * without method and target (found by fuzz_request_head). */
START_TEST(missing_request_line_is_refused)
{
	struct bg_request_head head;

	ck_assert_int_eq(check("\r\n\r\n", &head), 400);
	ck_assert_int_eq(check("\r\n\r\nGET / HTTP/1.1\r\n\r\n", &head), 400);
}
END_TEST

START_TEST(head_limits_are_enforced)
{
	static char text[BG_REQUEST_HEAD_MAX_BYTES + 4096];
	struct bg_request_head head;
	const char *reason;
	size_t bytes;
	int i;

	memset(text, 'a', sizeof(text));
	ck_assert_int_eq(bg_request_head_check(&head, &reason, text,
			     BG_REQUEST_HEAD_MAX_BYTES + 1, 1000),
	    431);
	bytes = (size_t)sprintf(text, "GET / HTTP/1.1\r\n");
	for (i = 0; i <= BG_REQUEST_HEADERS_MAX; i++)
		bytes += (size_t)sprintf(text + bytes, "H%d: x\r\n", i);
	sprintf(text + bytes, "\r\n");
	ck_assert_int_eq(check(text, &head), 431);
	bytes = (size_t)sprintf(text, "GET /");
	memset(text + bytes, 'a', 5000);
	sprintf(text + bytes + 5000, " HTTP/1.1\r\n\r\n");
	ck_assert_int_eq(check(text, &head), 414);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("deadline");

	tcase_add_test(tc, effective_deadline_is_the_minimum);
	tcase_add_test(tc, time_left_does_not_wrap);
	tcase_add_test(tc, header_numbers_are_parsed_strictly);
	tcase_add_test(tc, idle_connection_takes_idempotent_calls_only);
	tcase_add_test(tc, parallel_dependencies_count_once);
	tcase_add_test(tc, partial_head_is_incomplete);
	tcase_add_test(tc, missing_request_line_is_refused);
	tcase_add_test(tc, head_limits_are_enforced);
	return run_suite("deadline", tc);
}
