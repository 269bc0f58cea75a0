#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "burdockgrade/clock.h"

#include "standin.h"

#include "suite.h"

#define WAIT_MS 5000

static void
wait_until_running(const struct standin *sti, long count)
{
	uint64_t end_ms = bg_clock_now_ms() + WAIT_MS;

	while (
	    standin_stat(sti, "running") < count && bg_clock_now_ms() < end_ms)
		usleep(2000);
	ck_assert_int_eq(standin_stat(sti, "running"), count);
}

/* Guards against a backend server that ends before the answers of its last runs
 * are written: a graceful stop of it would be told as a cut-off request. */
START_TEST(drain_writes_the_last_answers)
{
	static const char call[] = "GET /x HTTP/1.1\r\nHost: x\r\n"
				   "X-Request-Id: last\r\n\r\n";
	struct standin sti;
	char answer[512] = "";
	ssize_t n = 0;
	size_t used = 0;
	int fd;

	standin_start(&sti, "bg-backend", "127.0.0.1:0");
	standin_control(&sti, "{\"faults\":[\"slow:60\"]}");
	fd = standin_connect(&sti);
	ck_assert_int_eq(
	    send(fd, call, strlen(call), 0), (ssize_t)strlen(call));
	wait_until_running(&sti, 1);
	standin_stop(&sti);
	while (used + 1 < sizeof(answer) &&
	    (n = recv(fd, answer + used, sizeof(answer) - used - 1, 0)) > 0)
		used += (size_t)n;
	answer[used] = '\0';
	close(fd);
	ck_assert_int_eq(n, 0);
	ck_assert_ptr_nonnull(strstr(answer, " 200 "));
	ck_assert_ptr_nonnull(strstr(answer, "\"request_id\":\"last\""));
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("backend");

	tcase_set_timeout(tc, 30);
	tcase_add_test(tc, drain_writes_the_last_answers);
	return run_suite_forked("backend", tc);
}
