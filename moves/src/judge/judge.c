#include <math.h>
#include <stdio.h>
#include <string.h>

#include "judge.h"

/* Failure ratio assumed for a bad version: this many times that of a good one,
 * and at most BAD_FAILURE_RATIO_MAX. Under load, a bad version may fail only
 * some of its calls. */
#define BAD_TO_GOOD_FAILURES 3
#define BAD_FAILURE_RATIO_MAX 0.3
/* Lower limit of the failure ratio assumed for a good version: the network
 * loses some answers, whatever the version. */
#define GOOD_FAILURE_RATIO_MIN 0.05
/* Ratios of slow answers assumed for a bad and a good version. Servers differ
 * in speed, so some answers of a good version are several times slower than
 * usual. */
#define BAD_SLOW_RATIO 0.4
#define GOOD_SLOW_RATIO 0.15
/* ln(1 / 0.01): at most 1 in 100 verdicts is wrong. */
#define LLR_THRESHOLD 4.6
/* ln(1 / 0.11): enough evidence that answers are not slow and, at the first
 * share, which exposes few calls, that they do not fail. */
#define WEAK_LLR_THRESHOLD 2.2
/* Answers in a later step after which a version that is not found good is found
 * bad: while it stays in doubt, it gets a large share. */
#define STEP_CALLS_MAX 80

void
bg_judge_reset(struct bg_judge *jdg, uint64_t generation)
{
	memset(jdg, 0, sizeof(*jdg));
	jdg->generation = generation;
}

static void
drop_evidence_for(struct bg_judge_llr *llr)
{
	if (llr->failed < 0)
		llr->failed = 0;
	if (llr->slow < 0)
		llr->slow = 0;
}

void
bg_judge_begin_step(struct bg_judge *jdg, uint32_t step)
{
	size_t i;

	jdg->step = step;
	jdg->step_calls = 0;
	jdg->step_failed = 0;
	if (jdg->verdict == BG_VERDICT_BAD)
		return;
	jdg->verdict = BG_VERDICT_NONE;
	drop_evidence_for(&jdg->all_routes);
	for (i = 0; i < BG_ROUTES_MAX; i++)
		drop_evidence_for(&jdg->routes[i].llr);
}

int
bg_judge_is_idle(const struct bg_judge *jdg)
{
	if (jdg->verdict != BG_VERDICT_NONE || jdg->step_failed > 0)
		return 0;
	/* The first share needs a verdict if there are calls at all. */
	return jdg->step_calls == 0 ||
	    (jdg->step > 0 && jdg->step_calls < BG_JUDGE_GOOD_CALLS_MIN);
}

static struct bg_judge_llr *
find_or_add_route(struct bg_judge *jdg, const char *route)
{
	size_t i;

	for (i = 0; i < BG_ROUTES_MAX; i++) {
		if (jdg->routes[i].name[0] == '\0')
			snprintf(jdg->routes[i].name,
			    sizeof(jdg->routes[i].name), "%s", route);
		if (strcmp(jdg->routes[i].name, route) == 0)
			return &jdg->routes[i].llr;
	}
	return NULL;
}

static void
add_outcome(double *llr, int is_adverse, double bad_ratio, double good_ratio)
{
	*llr += is_adverse ? log(bad_ratio / good_ratio)
			   : log((1 - bad_ratio) / (1 - good_ratio));
	if (*llr < -LLR_THRESHOLD)
		*llr = -LLR_THRESHOLD;
}

static double
bad_failure_ratio(double good_failure_ratio)
{
	return fmin(
	    BAD_TO_GOOD_FAILURES * good_failure_ratio, BAD_FAILURE_RATIO_MAX);
}

static void
add_sample(struct bg_judge_llr *llr, const struct bg_judge_sample *sample,
    double good_failure_ratio)
{
	add_outcome(&llr->failed, sample->is_failed,
	    bad_failure_ratio(good_failure_ratio), good_failure_ratio);
	if (sample->has_latency)
		add_outcome(&llr->slow, sample->is_slow, BAD_SLOW_RATIO,
		    GOOD_SLOW_RATIO);
}

static int
is_bad(const struct bg_judge_llr *llr)
{
	return llr->failed >= LLR_THRESHOLD || llr->slow >= LLR_THRESHOLD;
}

static void
set_reason(struct bg_judge *jdg, const struct bg_judge_sample *sample)
{
	snprintf(jdg->reason, sizeof(jdg->reason),
	    "%s on route %.40s: %u failed, %u slow of %u calls",
	    sample->is_failed ? "failures" : "slow answers", sample->route,
	    jdg->failed, jdg->slow, jdg->calls);
}

static int
is_in_doubt_for_long(const struct bg_judge *jdg)
{
	return jdg->verdict == BG_VERDICT_NONE && jdg->step > 0 &&
	    jdg->step_calls >= STEP_CALLS_MAX;
}

static int
is_good(const struct bg_judge *jdg)
{
	double failed_threshold =
	    jdg->step == 0 ? WEAK_LLR_THRESHOLD : LLR_THRESHOLD;

	return jdg->step_calls >= BG_JUDGE_GOOD_CALLS_MIN &&
	    jdg->all_routes.failed <= -failed_threshold &&
	    jdg->all_routes.slow <= -WEAK_LLR_THRESHOLD;
}

enum bg_verdict
bg_judge_add_sample(struct bg_judge *jdg, const struct bg_judge_sample *sample,
    uint32_t max_error_permille)
{
	struct bg_judge_llr *route = find_or_add_route(jdg, sample->route);
	double good_failure_ratio = max_error_permille / 1000.0;

	if (good_failure_ratio < GOOD_FAILURE_RATIO_MIN)
		good_failure_ratio = GOOD_FAILURE_RATIO_MIN;
	if (good_failure_ratio > BAD_FAILURE_RATIO_MAX / 2)
		good_failure_ratio = BAD_FAILURE_RATIO_MAX / 2;
	if (jdg->verdict == BG_VERDICT_BAD)
		return jdg->verdict;
	jdg->calls++;
	jdg->step_calls++;
	jdg->failed += sample->is_failed != 0;
	jdg->step_failed += sample->is_failed != 0;
	jdg->slow += sample->has_latency && sample->is_slow;
	add_sample(&jdg->all_routes, sample, good_failure_ratio);
	if (route != NULL)
		add_sample(route, sample, good_failure_ratio);
	if (is_bad(&jdg->all_routes) || (route != NULL && is_bad(route))) {
		jdg->verdict = BG_VERDICT_BAD;
		set_reason(jdg, sample);
	} else if (is_good(jdg)) {
		jdg->verdict = BG_VERDICT_GOOD;
	} else if (is_in_doubt_for_long(jdg)) {
		jdg->verdict = BG_VERDICT_BAD;
		snprintf(jdg->reason, sizeof(jdg->reason),
		    "not proven good: %u failed, %u slow of %u calls",
		    jdg->failed, jdg->slow, jdg->calls);
	}
	return jdg->verdict;
}
