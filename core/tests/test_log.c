#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/counter.h"
#include "burdockgrade/log.h"

#include "suite.h"

#define LINES 20000

static int ends[2];
static char text[1 << 18];

static void
setup(void)
{
	ck_assert_int_eq(pipe(ends), 0);
	ck_assert_int_eq(fcntl(ends[0], F_SETFL, O_NONBLOCK), 0);
	ck_assert_int_eq(bg_log_init("info", "10.0.0.1"), 0);
	bg_log_set_descriptor(ends[1]);
}

static void
teardown(void)
{
	bg_log_free();
	close(ends[0]);
	close(ends[1]);
}

/* Reads what is in the pipe. */
static const char *
read_all(void)
{
	size_t used = 0;
	ssize_t n;

	while ((n = read(ends[0], text + used, sizeof(text) - 1 - used)) > 0)
		used += (size_t)n;
	text[used] = '\0';
	return text;
}

START_TEST(line_names_process_level_and_part)
{
	bg_log_warn("store", "lost peer=%s", "10.0.0.9:1");
	ck_assert_ptr_nonnull(
	    strstr(read_all(), "Z 10.0.0.1 WARN store lost peer=10.0.0.9:1\n"));
}
END_TEST

/* Guards against a reader that stops reading and holds the process up: the
 * test ends by its time limit if a line waits for the reader. */
START_TEST(slow_reader_costs_lines_not_time)
{
	uint64_t began_us = bg_clock_now_us();
	int i;

	for (i = 0; i < LINES; i++)
		bg_log_info("call", "ended request=%d", i);
	printf("log line without a reader: %.2f us\n",
	    (double)(bg_clock_now_us() - began_us) / LINES);
	ck_assert_uint_lt(bg_clock_now_us() - began_us, 5000000);
}
END_TEST

/* Guards against successes that take the room of the failures behind them. */
START_TEST(failures_are_kept_before_successes)
{
	int i;

	for (i = 0; i < LINES; i++)
		bg_log_info("call", "ended request=%d", i);
	bg_log_warn("call", "refused request=needle");
	read_all();
	bg_log_warn("call", "next");
	ck_assert_ptr_nonnull(strstr(read_all(), "refused request=needle\n"));
}
END_TEST

/* Guards against drops that nobody learns of. */
START_TEST(dropped_lines_are_told)
{
	char *metrics = NULL;
	size_t bytes;
	int i;

	for (i = 0; i < LINES; i++)
		bg_log_info("call", "ended request=%d", i);
	read_all();
	bg_log_warn("call", "next");
	ck_assert_ptr_nonnull(strstr(read_all(), "WARN log dropped lines="));
	ck_assert_int_eq(bg_counter_render(&metrics, &bytes), 0);
	ck_assert_ptr_nonnull(strstr(metrics, "burdock_log_dropped_total"));
	free(metrics);
}
END_TEST

/* Guards against a condition that lasts and fills the log with one line. */
START_TEST(repeated_lines_are_folded)
{
	int i;

	for (i = 0; i < 50; i++)
		bg_log_warn("control", "refused server=a");
	bg_log_warn("control", "refused server=b");
	read_all();
	ck_assert_ptr_nonnull(strstr(text, "control repeated count=49\n"));
	ck_assert_ptr_null(strstr(strstr(text, "server=a") + 1, "server=a"));
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("log");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, line_names_process_level_and_part);
	tcase_add_test(tc, slow_reader_costs_lines_not_time);
	tcase_add_test(tc, failures_are_kept_before_successes);
	tcase_add_test(tc, dropped_lines_are_told);
	tcase_add_test(tc, repeated_lines_are_folded);
	return run_suite_forked("log", tc);
}
