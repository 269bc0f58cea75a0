#include <math.h>
#include <stdio.h>
#include <string.h>

#include "judge.h"

/* Failure ratio assumed for a bad version, whatever ratio is tolerated. */
#define BAD_FAILURE_RATIO 0.3
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
/* Answers needed for a good verdict; enough to detect a version that fails only
 * some of its calls. */
#define GOOD_CALLS_MIN 20

void
bg_judge_reset(struct bg_judge *jdg, uint64_t generation)
{
	memset(jdg, 0, sizeof(*jdg));
	jdg->generation = generation;
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

static void
add_sample(struct bg_judge_llr *llr, const struct bg_judge_sample *sample,
    double good_failure_ratio)
{
	add_outcome(&llr->failed, sample->is_failed, BAD_FAILURE_RATIO,
	    good_failure_ratio);
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

enum bg_verdict
bg_judge_add_sample(struct bg_judge *jdg, const struct bg_judge_sample *sample,
    uint32_t max_error_permille)
{
	struct bg_judge_llr *route = find_or_add_route(jdg, sample->route);
	double good_failure_ratio = max_error_permille / 1000.0;

	if (good_failure_ratio < GOOD_FAILURE_RATIO_MIN)
		good_failure_ratio = GOOD_FAILURE_RATIO_MIN;
	if (good_failure_ratio > BAD_FAILURE_RATIO / 2)
		good_failure_ratio = BAD_FAILURE_RATIO / 2;
	if (jdg->verdict == BG_VERDICT_BAD)
		return jdg->verdict;
	jdg->calls++;
	jdg->failed += sample->is_failed != 0;
	jdg->slow += sample->has_latency && sample->is_slow;
	add_sample(&jdg->all_routes, sample, good_failure_ratio);
	if (route != NULL)
		add_sample(route, sample, good_failure_ratio);
	if (is_bad(&jdg->all_routes) || (route != NULL && is_bad(route))) {
		jdg->verdict = BG_VERDICT_BAD;
		set_reason(jdg, sample);
	} else if (jdg->calls >= GOOD_CALLS_MIN &&
	    jdg->all_routes.failed <= -LLR_THRESHOLD &&
	    jdg->all_routes.slow < 0)
		jdg->verdict = BG_VERDICT_GOOD;
	return jdg->verdict;
}
