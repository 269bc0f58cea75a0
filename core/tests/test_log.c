#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/counter.h"
#include "burdockgrade/log.h"

#include "suite.h"

#define LINE_COUNT 20000

static int pipe_fds[2];
static char output[1 << 18];

static void
setup(void)
{
	ck_assert_int_eq(pipe(pipe_fds), 0);
	ck_assert_int_eq(fcntl(pipe_fds[0], F_SETFL, O_NONBLOCK), 0);
	ck_assert_int_eq(bg_log_init("info", "10.0.0.1"), 0);
	bg_log_set_descriptor(pipe_fds[1]);
}

static void
teardown(void)
{
	bg_log_free();
	close(pipe_fds[0]);
	close(pipe_fds[1]);
}

/* Reads into output until the pipe is empty. */
static const char *
read_pipe(void)
{
	size_t used = 0;
	ssize_t n;

	while ((n = read(
		    pipe_fds[0], output + used, sizeof(output) - 1 - used)) > 0)
		used += (size_t)n;
	output[used] = '\0';
	return output;
}

START_TEST(line_has_process_level_and_component)
{
	bg_log_warn("store", "lost peer=%s", "10.0.0.9:1");
	ck_assert_ptr_nonnull(strstr(
	    read_pipe(), "Z 10.0.0.1 WARN store lost peer=10.0.0.9:1\n"));
}
END_TEST

/* Guards against a reader that stops reading and thereby blocks the process. If
 * logging blocks, the test ends by its timeout. */
START_TEST(full_pipe_does_not_block_logging)
{
	uint64_t start_us = bg_clock_now_us();
	int i;

	for (i = 0; i < LINE_COUNT; i++)
		bg_log_info("call", "ended request=%d", i);
	printf("time per log line with a full pipe: %.2f us\n",
	    (double)(bg_clock_now_us() - start_us) / LINE_COUNT);
	ck_assert_uint_lt(bg_clock_now_us() - start_us, 5000000);
}
END_TEST

/* Guards against a queue that is filled by lines of low severity, so that
 * warnings logged later are dropped. */
START_TEST(warnings_have_reserved_queue_space)
{
	int i;

	for (i = 0; i < LINE_COUNT; i++)
		bg_log_info("call", "ended request=%d", i);
	bg_log_warn("call", "refused request=needle");
	read_pipe();
	bg_log_warn("call", "next");
	ck_assert_ptr_nonnull(strstr(read_pipe(), "refused request=needle\n"));
}
END_TEST

/* Guards against lines that are dropped without a trace. */
START_TEST(dropped_lines_are_logged_and_counted)
{
	char *metrics = NULL;
	size_t bytes;
	int i;

	for (i = 0; i < LINE_COUNT; i++)
		bg_log_info("call", "ended request=%d", i);
	read_pipe();
	bg_log_warn("call", "next");
	ck_assert_ptr_nonnull(strstr(read_pipe(), "WARN log dropped lines="));
	ck_assert_int_eq(bg_counter_render(&metrics, &bytes), 0);
	ck_assert_ptr_nonnull(strstr(metrics, "burdock_log_dropped_total"));
	free(metrics);
}
END_TEST

/* Guards against a lasting condition that fills the log with one line. */
START_TEST(repeated_lines_are_folded)
{
	int i;

	for (i = 0; i < 50; i++)
		bg_log_warn("control", "refused server=a");
	bg_log_warn("control", "refused server=b");
	read_pipe();
	ck_assert_ptr_nonnull(strstr(output, "control repeated count=49\n"));
	ck_assert_ptr_null(strstr(strstr(output, "server=a") + 1, "server=a"));
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("log");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, line_has_process_level_and_component);
	tcase_add_test(tc, full_pipe_does_not_block_logging);
	tcase_add_test(tc, warnings_have_reserved_queue_space);
	tcase_add_test(tc, dropped_lines_are_logged_and_counted);
	tcase_add_test(tc, repeated_lines_are_folded);
	return run_suite_forked("log", tc);
}
