#ifndef BG_TEST_SUITE_H
#define BG_TEST_SUITE_H

#include <check.h>
#include <signal.h>

/* Runs a test case as a program. */
static inline int
run_suite(const char *name, TCase *tc)
{
	Suite *suite = suite_create(name);
	SRunner *runner;
	int failed;

	signal(SIGPIPE, SIG_IGN);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_set_fork_status(runner, CK_NOFORK);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}

#endif
