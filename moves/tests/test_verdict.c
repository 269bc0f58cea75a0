#include <check.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "stats/stats.h"
#include "verdict/verdict.h"

#define SEED 7
#define RUNS 400
/* The stated rates of false and missed alarms are 1 in 100. */
#define ALARMS_MAX (RUNS / 100)

/* How calls of one version turn out. */
struct model {
	double error_ratio;
	double mean_us;
	double slow_ratio; /* calls that take ten times as long */
};

static const struct model OLD = {0.002, 8000.0, 0.01};

static const struct bg_verdict_options OPTIONS = {50, 28};

static void
draw(
    struct bg_tally *out, gsl_rng *rng, const struct model *mdl, unsigned calls)
{
	double us;
	unsigned i;

	memset(out, 0, sizeof(*out));
	for (i = 0; i < calls; i++) {
		us = gsl_ran_gamma(rng, 4.0, mdl->mean_us / 4.0);
		if (gsl_rng_uniform(rng) < mdl->slow_ratio)
			us *= 10.0;
		bg_tally_count(out, (uint32_t)us,
		    gsl_rng_uniform(rng) < mdl->error_ratio, us > 100000.0);
	}
}

/* Feeds ticks of old and new calls; returns the new calls until the verdict
 * `stop`, or 0. */
static unsigned
simulate(struct bg_cell *cell, gsl_rng *rng, const struct model *before,
    const struct model *after, unsigned ticks, unsigned new_calls,
    enum bg_verdict stop)
{
	struct bg_tally old_delta;
	struct bg_tally new_delta;
	unsigned tick;

	for (tick = 0; tick < ticks; tick++) {
		draw(&old_delta, rng, before, new_calls * 19);
		draw(&new_delta, rng, after, new_calls);
		if (bg_cell_update(cell, &old_delta, &new_delta, &OPTIONS) ==
		    stop)
			return (tick + 1) * new_calls;
	}
	return 0;
}

static unsigned
count_alarms(const struct model *before, const struct model *after,
    unsigned ticks, unsigned new_calls)
{
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	struct bg_cell cell;
	unsigned alarms = 0;
	unsigned run;

	gsl_rng_set(rng, SEED);
	for (run = 0; run < RUNS; run++) {
		memset(&cell, 0, sizeof(cell));
		simulate(&cell, rng, before, after, ticks, new_calls,
		    BG_VERDICT_BAD);
		alarms += cell.verdict == BG_VERDICT_BAD;
	}
	gsl_rng_free(rng);
	return alarms;
}

/* Guards against good versions that are rolled back by chance. */
START_TEST(good_versions_raise_at_most_one_false_alarm_in_100)
{
	static const struct model NOISY = {0.004, 8800.0, 0.02};
	static const struct model FASTER = {0.001, 5000.0, 0.005};

	ck_assert_uint_le(count_alarms(&OLD, &OLD, 120, 5), ALARMS_MAX);
	ck_assert_uint_le(count_alarms(&OLD, &NOISY, 120, 5), ALARMS_MAX);
	ck_assert_uint_le(count_alarms(&OLD, &FASTER, 120, 5), ALARMS_MAX);
}
END_TEST

/* Guards against bad versions that pass. */
START_TEST(bad_versions_are_missed_at_most_once_in_100)
{
	static const struct model FAILING = {0.5, 8000.0, 0.01};
	static const struct model SOME_ERRORS = {0.12, 8000.0, 0.01};
	static const struct model SLOW = {0.002, 32000.0, 0.01};

	ck_assert_uint_ge(
	    count_alarms(&OLD, &FAILING, 60, 5), RUNS - ALARMS_MAX);
	ck_assert_uint_ge(
	    count_alarms(&OLD, &SOME_ERRORS, 120, 5), RUNS - ALARMS_MAX);
	ck_assert_uint_ge(count_alarms(&OLD, &SLOW, 60, 5), RUNS - ALARMS_MAX);
}
END_TEST

/* Guards against a baseline that fails itself and blames the new version. */
START_TEST(failing_baseline_does_not_condemn_an_equal_version)
{
	static const struct model HALF = {0.5, 8000.0, 0.01};

	ck_assert_uint_le(count_alarms(&HALF, &HALF, 120, 5), ALARMS_MAX);
}
END_TEST

/* Guards against a dependency that slows both versions at the same time. */
START_TEST(slow_dependency_hits_both_and_is_no_evidence)
{
	static const struct model SLOWED = {0.002, 80000.0, 0.01};
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	struct bg_cell cell;
	unsigned alarms = 0;
	unsigned run;

	gsl_rng_set(rng, SEED);
	for (run = 0; run < RUNS; run++) {
		memset(&cell, 0, sizeof(cell));
		simulate(&cell, rng, &OLD, &OLD, 30, 5, BG_VERDICT_BAD);
		simulate(&cell, rng, &SLOWED, &SLOWED, 60, 5, BG_VERDICT_BAD);
		alarms += cell.verdict == BG_VERDICT_BAD;
	}
	gsl_rng_free(rng);
	ck_assert_uint_le(alarms, ALARMS_MAX);
}
END_TEST

/* Guards against a long good time that hides a version which turns bad. */
START_TEST(version_that_turns_bad_late_is_found_in_30_calls)
{
	static const struct model FAILING = {0.9, 8000.0, 0.01};
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	struct bg_cell cell;
	unsigned calls;

	memset(&cell, 0, sizeof(cell));
	gsl_rng_set(rng, SEED);
	simulate(&cell, rng, &OLD, &OLD, 3600, 5, BG_VERDICT_BAD);
	ck_assert_int_eq(cell.verdict, BG_VERDICT_GOOD);
	calls = simulate(&cell, rng, &OLD, &FAILING, 60, 5, BG_VERDICT_BAD);
	ck_assert_uint_gt(calls, 0);
	ck_assert_uint_le(calls, 30);
	gsl_rng_free(rng);
}
END_TEST

/* Guards against a version that fails every call and yet needs 25 calls for a
 * verdict when the allowed error ratio is small. */
START_TEST(broken_version_is_found_within_ten_calls)
{
	static const struct bg_verdict_options strict = {10, 64};
	struct bg_tally old_delta;
	struct bg_tally new_delta;
	struct bg_cell cell;
	unsigned calls = 0;

	memset(&cell, 0, sizeof(cell));
	memset(&old_delta, 0, sizeof(old_delta));
	memset(&new_delta, 0, sizeof(new_delta));
	old_delta.calls = 200;
	old_delta.histogram[10] = 200;
	bg_tally_count(&new_delta, 8000, 1, 0);
	while (bg_cell_update(&cell, &old_delta, &new_delta, &strict) !=
		BG_VERDICT_BAD &&
	    calls < 100)
		calls++;
	ck_assert_uint_lt(calls, 10);
}
END_TEST

/* Guards against a verdict from too few calls. */
START_TEST(few_calls_give_no_verdict)
{
	struct bg_cell cell;
	struct bg_tally old_delta;
	struct bg_tally new_delta;

	memset(&cell, 0, sizeof(cell));
	memset(&old_delta, 0, sizeof(old_delta));
	memset(&new_delta, 0, sizeof(new_delta));
	bg_tally_count(&new_delta, 8000, 1, 0);
	ck_assert_int_eq(
	    bg_cell_update(&cell, &old_delta, &new_delta, &OPTIONS),
	    BG_VERDICT_NONE);
	old_delta.calls = 1000;
	old_delta.histogram[10] = 1000;
	ck_assert_int_eq(
	    bg_cell_update(&cell, &old_delta, &new_delta, &OPTIONS),
	    BG_VERDICT_NONE);
}
END_TEST

/* Guards against one bad route that hides among good ones. */
START_TEST(bad_route_is_named)
{
	struct bg_contract ctr;
	struct bg_judge jdg;
	struct bg_stat old_delta;
	struct bg_stat new_delta;
	unsigned i;

	memset(&ctr, 0, sizeof(ctr));
	ctr.route_count = 2;
	ctr.max_error_permille = 50;
	snprintf(ctr.routes[0].name, sizeof(ctr.routes[0].name), "%s", "stock");
	snprintf(
	    ctr.routes[1].name, sizeof(ctr.routes[1].name), "%s", "patterns");
	memset(&old_delta, 0, sizeof(old_delta));
	memset(&new_delta, 0, sizeof(new_delta));
	for (i = 0; i < 1000; i++) {
		bg_tally_count(bg_stat_route(&old_delta, "stock"), 5000, 0, 0);
		bg_tally_count(
		    bg_stat_route(&old_delta, "patterns"), 5000, 0, 0);
		bg_tally_count(bg_stat_route(&new_delta, "stock"), 5000, 0, 0);
	}
	for (i = 0; i < 30; i++)
		bg_tally_count(
		    bg_stat_route(&new_delta, "patterns"), 5000, 1, 0);
	bg_judge_reset(&jdg, 1);
	ck_assert_int_eq(
	    bg_judge_update(&jdg, &ctr, &old_delta, &new_delta, 4, "bureau"),
	    BG_VERDICT_BAD);
	ck_assert_ptr_nonnull(strstr(jdg.reason, "patterns"));
	ck_assert_int_eq(jdg.routes[0].verdict, BG_VERDICT_GOOD);
}
END_TEST

int
main(void)
{
	Suite *suite = suite_create("verdict");
	TCase *tc = tcase_create("verdict");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tc, 100);
	tcase_add_test(tc, good_versions_raise_at_most_one_false_alarm_in_100);
	tcase_add_test(tc, bad_versions_are_missed_at_most_once_in_100);
	tcase_add_test(tc, failing_baseline_does_not_condemn_an_equal_version);
	tcase_add_test(tc, slow_dependency_hits_both_and_is_no_evidence);
	tcase_add_test(tc, version_that_turns_bad_late_is_found_in_30_calls);
	tcase_add_test(tc, broken_version_is_found_within_ten_calls);
	tcase_add_test(tc, few_calls_give_no_verdict);
	tcase_add_test(tc, bad_route_is_named);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_set_fork_status(runner, CK_NOFORK);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed == 0 ? 0 : 1;
}
