#ifndef BG_TEST_SUITE_H
#define BG_TEST_SUITE_H

/** @file
 * Runs a test case of the check library as a program.
 */

#include <check.h>
#include <signal.h>

static inline int
run_suite_with(const char *name, TCase *tc, enum fork_status forks)
{
	Suite *suite = suite_create(name);
	SRunner *runner;
	int failed;

	signal(SIGPIPE, SIG_IGN);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_set_fork_status(runner, forks);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}

/* Runs all tests in this process. @return the exit status of the program */
static inline int
run_suite(const char *name, TCase *tc)
{
	return run_suite_with(name, tc, CK_NOFORK);
}

/* Runs each test in its own process, so that its timeout is enforced and the
 * processes that a failed test started are killed. */
static inline int
run_suite_forked(const char *name, TCase *tc)
{
	return run_suite_with(name, tc, CK_FORK);
}

#endif
