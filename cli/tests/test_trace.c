#include <stdlib.h>
#include <string.h>

#include "trace.h"

#include "suite.h"

static struct bg_trace trace;

static void
setup(void)
{
	bg_trace_init(&trace, "abc");
}

static void
teardown(void)
{
	bg_trace_free(&trace);
}

static void
read_log(const char *text)
{
	FILE *fp = fmemopen((void *)text, strlen(text), "r");

	ck_assert_ptr_nonnull(fp);
	ck_assert_int_eq(bg_trace_read_log(&trace, fp), 0);
	fclose(fp);
}

/* Guards against sorting lines by their timestamps: the clock of the second
 * node is an hour behind. */
START_TEST(lines_are_in_causal_order)
{
	read_log("2026-12-04T10:00:00.000Z n1 INFO call sent request=abc "
		 "to=n2 pick=1\n"
		 "2026-12-04T10:00:00.020Z n1 INFO call sent request=abc "
		 "to=n3 pick=2\n"
		 "2026-12-04T10:00:00.030Z n1 INFO call sent request=abcd "
		 "to=n3 pick=1\n"
		 "2026-12-04T10:00:00.100Z n1 WARN call ended request=abc "
		 "status=503\n");
	read_log("noise\n   1.5 vm-2 2026-12-04T09:00:00.010Z n2 WARN "
		 "gatekeeper refused request=abc attempt=1\n");
	read_log("2026-12-04T10:00:00.050Z n3 WARN gatekeeper refused "
		 "request=abc reason=busy attempt=2\n");
	bg_trace_sort(&trace);
	ck_assert_uint_eq(trace.line_count, 5);
	ck_assert_str_eq(trace.lines[0].node, "n1");
	ck_assert_str_eq(trace.lines[1].node, "n2");
	ck_assert_str_eq(trace.lines[2].node, "n1");
	ck_assert_str_eq(trace.lines[3].node, "n3");
	ck_assert_ptr_nonnull(strstr(trace.lines[4].text, "status=503"));
}
END_TEST

/* Guards against missing coverage of the logs, without which a request without
 * lines may be one that never came or one whose lines were dropped. */
START_TEST(log_coverage_is_reported)
{
	read_log("2026-12-04T10:00:00.000Z n1 INFO mesh started\n"
		 "2026-12-04T10:00:09.000Z n1 WARN log dropped lines=12\n");
	read_log("2026-12-04T10:00:01.000Z n2 INFO mesh started\n");
	ck_assert_uint_eq(trace.line_count, 0);
	ck_assert_uint_eq(trace.node_count, 2);
	ck_assert_str_eq(trace.nodes[0].last_time, "2026-12-04T10:00:09.000Z");
	ck_assert_uint_eq(trace.nodes[0].dropped_lines, 12);
	ck_assert_uint_eq(trace.nodes[1].line_count, 1);
}
END_TEST

/* Guards against a failure or a crash caused by a file that is not a log. */
START_TEST(non_log_text_is_skipped)
{
	read_log("T\nTTTTTTTTTTTTTTTTTTTTTT\n-- : Z request=abc\n\n");
	ck_assert_uint_eq(trace.node_count, 0);
	bg_trace_sort(&trace);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("trace");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, lines_are_in_causal_order);
	tcase_add_test(tc, log_coverage_is_reported);
	tcase_add_test(tc, non_log_text_is_skipped);
	return run_suite("trace", tc);
}
