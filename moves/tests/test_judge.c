#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <string.h>

#include "judge/judge.h"
#include "suite.h"

#define SEED 7
#define RUNS 400
/* Calls of one server during a move. */
#define CALLS 400
/* The sequential test allows 1 wrong verdict in 100. A rollback needs the
 * verdicts of two servers, so wrong rollbacks are rarer. */
#define WRONG_MAX (RUNS / 100)
/* Failed or slow answers that a bad version may give until its verdict. */
#define BAD_ANSWERS_MAX 50
#define MAX_ERROR_PERMILLE 10

/* Probabilities of a failed and of a slow answer of a version. */
struct model {
	double failed;
	double slow;
};

static const struct model HEALTHY = {0.005, 0.02};

/* Result of a simulated move. */
struct run {
	enum bg_verdict verdict;
	int calls; /* until the verdict */
	int bad;   /* of them, failed or slow */
};

static void
feed(struct run *out, struct bg_judge *jdg, gsl_rng *rng,
    const struct model *mdl, const char *route, int calls)
{
	struct bg_judge_sample sample = {route, 0, 0, 1};
	int i;

	for (i = 0; i < calls && jdg->verdict != BG_VERDICT_BAD; i++) {
		sample.is_failed = gsl_rng_uniform(rng) < mdl->failed;
		sample.is_slow = gsl_rng_uniform(rng) < mdl->slow;
		out->bad += sample.is_failed || sample.is_slow;
		out->calls++;
		out->verdict =
		    bg_judge_add_sample(jdg, &sample, MAX_ERROR_PERMILLE);
	}
}

/* Counts the runs that end with the verdict `wanted`. */
static int
count_verdicts(
    const struct model *mdl, enum bg_verdict wanted, int calls, int *max_bad)
{
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	struct bg_judge jdg;
	int count = 0;
	int i;

	gsl_rng_set(rng, SEED);
	*max_bad = 0;
	for (i = 0; i < RUNS; i++) {
		struct run run = {BG_VERDICT_NONE, 0, 0};

		bg_judge_reset(&jdg, 3);
		feed(&run, &jdg, rng, mdl, "lookup", calls);
		count += run.verdict == wanted;
		if (run.bad > *max_bad)
			*max_bad = run.bad;
	}
	gsl_rng_free(rng);
	return count;
}

/* Guards against the rollback of a healthy version. */
START_TEST(healthy_version_gets_good_verdict)
{
	int max_bad;

	ck_assert_int_le(
	    count_verdicts(&HEALTHY, BG_VERDICT_BAD, CALLS, &max_bad),
	    WRONG_MAX);
	ck_assert_int_ge(
	    count_verdicts(&HEALTHY, BG_VERDICT_GOOD, CALLS, &max_bad),
	    RUNS - WRONG_MAX);
}
END_TEST

/* Guards against the rollback of a healthy version because the network loses
 * answers. */
START_TEST(version_with_a_few_failures_is_not_bad)
{
	static const struct model lossy = {0.03, 0.05};
	int max_bad;

	ck_assert_int_le(
	    count_verdicts(&lossy, BG_VERDICT_BAD, CALLS, &max_bad), WRONG_MAX);
}
END_TEST

static const struct model BAD_MODELS[] = {
    {1.0, 0}, {0.5, 0}, {0.35, 0}, {0.15, 0}, {0.005, 1.0}, {0.005, 0.5}};

/* Guards against a bad version that stays in use (invariant P4). */
START_TEST(bad_version_is_detected_soon)
{
	int max_bad;

	ck_assert_int_ge(
	    count_verdicts(&BAD_MODELS[_i], BG_VERDICT_BAD, CALLS, &max_bad),
	    RUNS - WRONG_MAX);
	ck_assert_int_le(max_bad, BAD_ANSWERS_MAX);
}
END_TEST

/* Guards against a long good period that delays the detection of a version that
 * degrades later. */
START_TEST(late_degradation_is_detected_soon)
{
	static const struct model bad = {0.5, 0};
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	struct run run = {BG_VERDICT_NONE, 0, 0};
	struct bg_judge jdg;

	gsl_rng_set(rng, SEED);
	bg_judge_reset(&jdg, 3);
	feed(&run, &jdg, rng, &HEALTHY, "lookup", 5000);
	ck_assert_int_eq(run.verdict, BG_VERDICT_GOOD);
	run.calls = 0;
	feed(&run, &jdg, rng, &bad, "lookup", CALLS);
	ck_assert_int_eq(run.verdict, BG_VERDICT_BAD);
	ck_assert_int_le(run.calls, 30);
	gsl_rng_free(rng);
}
END_TEST

/* Guards against failures on one route that are hidden by the calls of a busier
 * route. */
START_TEST(failures_on_one_route_are_detected)
{
	static const struct model bad = {0.6, 0};
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	struct run run = {BG_VERDICT_NONE, 0, 0};
	struct bg_judge jdg;
	int i;

	gsl_rng_set(rng, SEED);
	bg_judge_reset(&jdg, 3);
	for (i = 0; i < 60 && run.verdict != BG_VERDICT_BAD; i++) {
		feed(&run, &jdg, rng, &HEALTHY, "lookup", 20);
		feed(&run, &jdg, rng, &bad, "orders", 1);
	}
	ck_assert_int_eq(run.verdict, BG_VERDICT_BAD);
	ck_assert_ptr_nonnull(strstr(jdg.reason, "orders"));
	gsl_rng_free(rng);
}
END_TEST

/* Guards against a bad verdict for slow answers during a cold start. */
START_TEST(cold_start_latency_is_ignored)
{
	struct bg_judge_sample sample = {"lookup", 0, 1, 0};
	struct bg_judge jdg;
	int i;

	bg_judge_reset(&jdg, 3);
	for (i = 0; i < 500; i++)
		ck_assert_int_ne(
		    bg_judge_add_sample(&jdg, &sample, MAX_ERROR_PERMILLE),
		    BG_VERDICT_BAD);
}
END_TEST

/* Guards against a good verdict from too few calls. */
START_TEST(few_calls_give_no_verdict)
{
	struct bg_judge_sample sample = {"lookup", 0, 0, 1};
	struct bg_judge jdg;
	int i;

	bg_judge_reset(&jdg, 3);
	for (i = 0; i < 10; i++)
		ck_assert_int_eq(
		    bg_judge_add_sample(&jdg, &sample, MAX_ERROR_PERMILLE),
		    BG_VERDICT_NONE);
}
END_TEST

/* Guards against a larger share for a version that was found good under less
 * load (review/2: EXPOSURE). */
START_TEST(good_verdict_ends_with_its_step)
{
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	struct run run = {BG_VERDICT_NONE, 0, 0};
	struct bg_judge jdg;

	gsl_rng_set(rng, SEED);
	bg_judge_reset(&jdg, 3);
	feed(&run, &jdg, rng, &HEALTHY, "lookup", CALLS);
	ck_assert_int_eq(run.verdict, BG_VERDICT_GOOD);
	bg_judge_begin_step(&jdg, 1);
	feed(&run, &jdg, rng, &HEALTHY, "lookup", BG_JUDGE_GOOD_CALLS_MIN - 1);
	ck_assert_int_eq(run.verdict, BG_VERDICT_NONE);
	feed(&run, &jdg, rng, &HEALTHY, "lookup", CALLS);
	ck_assert_int_eq(run.verdict, BG_VERDICT_GOOD);
	gsl_rng_free(rng);
}
END_TEST

/* Guards against failures at a larger share that count less because there were
 * none at a smaller one. */
START_TEST(failures_of_a_step_are_not_outweighed)
{
	struct bg_judge_sample healthy = {"lookup", 0, 0, 1};
	struct bg_judge_sample failed = {"lookup", 1, 0, 1};
	struct bg_judge jdg;
	int i;

	bg_judge_reset(&jdg, 3);
	for (i = 0; i < CALLS; i++)
		bg_judge_add_sample(&jdg, &healthy, MAX_ERROR_PERMILLE);
	bg_judge_begin_step(&jdg, 1);
	for (i = 0; jdg.verdict != BG_VERDICT_BAD; i++)
		bg_judge_add_sample(&jdg, &failed, MAX_ERROR_PERMILLE);
	ck_assert_int_le(i, 5);
	bg_judge_begin_step(&jdg, 2);
	ck_assert_int_eq(jdg.verdict, BG_VERDICT_BAD);
}
END_TEST

/* Guards against a good verdict on a version that may be slow, since a quarter
 * of its answers are. */
START_TEST(slow_answers_prevent_a_good_verdict)
{
	struct bg_judge_sample sample = {"lookup", 0, 0, 1};
	struct bg_judge jdg;
	int i;

	bg_judge_reset(&jdg, 3);
	for (i = 0; i < 2 * BG_JUDGE_GOOD_CALLS_MIN; i++) {
		sample.is_slow = i % 4 == 0;
		bg_judge_add_sample(&jdg, &sample, MAX_ERROR_PERMILLE);
		ck_assert_int_ne(jdg.verdict, BG_VERDICT_GOOD);
	}
}
END_TEST

/* Guards against a version that stays at a large share while it is in doubt. */
START_TEST(version_in_doubt_is_bad_beyond_the_first_share)
{
	struct bg_judge_sample sample = {"lookup", 0, 0, 1};
	struct bg_judge jdg;
	int i;

	bg_judge_reset(&jdg, 3);
	bg_judge_begin_step(&jdg, 1);
	for (i = 0; i < 100 && jdg.verdict != BG_VERDICT_BAD; i++) {
		sample.is_failed = i % 12 == 0;
		bg_judge_add_sample(&jdg, &sample, MAX_ERROR_PERMILLE);
	}
	ck_assert_int_eq(jdg.verdict, BG_VERDICT_BAD);
}
END_TEST

/* Guards against the rollback of a healthy version at one of the steps. */
START_TEST(healthy_version_passes_each_step)
{
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	int passed = 0;
	int i;

	gsl_rng_set(rng, SEED);
	for (i = 0; i < RUNS; i++) {
		struct run run = {BG_VERDICT_NONE, 0, 0};
		struct bg_judge jdg;
		uint32_t step;

		bg_judge_reset(&jdg, 3);
		for (step = 0; step < 4; step++) {
			bg_judge_begin_step(&jdg, step);
			feed(&run, &jdg, rng, &HEALTHY, "lookup", 100);
			if (run.verdict != BG_VERDICT_GOOD)
				break;
		}
		passed += step == 4;
	}
	ck_assert_int_ge(passed, RUNS - 4 * WRONG_MAX);
	gsl_rng_free(rng);
}
END_TEST

/* Guards against a service with few calls that never completes a move, and
 * against one that leaves the first share unproven. */
START_TEST(few_calls_are_idle_beyond_the_first_share)
{
	struct bg_judge_sample healthy = {"lookup", 0, 0, 1};
	struct bg_judge_sample failed = {"lookup", 1, 0, 1};
	struct bg_judge jdg;

	bg_judge_reset(&jdg, 3);
	ck_assert(bg_judge_is_idle(&jdg));
	bg_judge_add_sample(&jdg, &healthy, MAX_ERROR_PERMILLE);
	ck_assert(!bg_judge_is_idle(&jdg));
	bg_judge_begin_step(&jdg, 1);
	bg_judge_add_sample(&jdg, &healthy, MAX_ERROR_PERMILLE);
	ck_assert(bg_judge_is_idle(&jdg));
	bg_judge_add_sample(&jdg, &failed, MAX_ERROR_PERMILLE);
	ck_assert(!bg_judge_is_idle(&jdg));
}
END_TEST

/* Guards against a bad version that gets a good verdict later, once it has
 * fewer calls. */
START_TEST(bad_verdict_is_final_in_a_generation)
{
	struct bg_judge_sample failed = {"lookup", 1, 0, 1};
	struct bg_judge_sample healthy = {"lookup", 0, 0, 1};
	struct bg_judge jdg;
	int i;

	bg_judge_reset(&jdg, 3);
	for (i = 0; i < 20; i++)
		bg_judge_add_sample(&jdg, &failed, MAX_ERROR_PERMILLE);
	ck_assert_int_eq(jdg.verdict, BG_VERDICT_BAD);
	for (i = 0; i < 2000; i++)
		bg_judge_add_sample(&jdg, &healthy, MAX_ERROR_PERMILLE);
	ck_assert_int_eq(jdg.verdict, BG_VERDICT_BAD);
	bg_judge_reset(&jdg, 4);
	ck_assert_int_eq(jdg.verdict, BG_VERDICT_NONE);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("judge");

	tcase_add_test(tc, healthy_version_gets_good_verdict);
	tcase_add_test(tc, version_with_a_few_failures_is_not_bad);
	tcase_add_loop_test(tc, bad_version_is_detected_soon, 0,
	    (int)(sizeof(BAD_MODELS) / sizeof(BAD_MODELS[0])));
	tcase_add_test(tc, late_degradation_is_detected_soon);
	tcase_add_test(tc, failures_on_one_route_are_detected);
	tcase_add_test(tc, cold_start_latency_is_ignored);
	tcase_add_test(tc, good_verdict_ends_with_its_step);
	tcase_add_test(tc, failures_of_a_step_are_not_outweighed);
	tcase_add_test(tc, slow_answers_prevent_a_good_verdict);
	tcase_add_test(tc, version_in_doubt_is_bad_beyond_the_first_share);
	tcase_add_test(tc, healthy_version_passes_each_step);
	tcase_add_test(tc, few_calls_are_idle_beyond_the_first_share);
	tcase_add_test(tc, few_calls_give_no_verdict);
	tcase_add_test(tc, bad_verdict_is_final_in_a_generation);
	return run_suite("judge", tc);
}
