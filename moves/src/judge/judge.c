#include <math.h>
#include <stdio.h>
#include <string.h>

#include "judge.h"

/* Share of failures from which a version is bad whatever is allowed. */
#define BAD_FAILED 0.3
/* Share of failures that a good version may have at least: some answers are
 * lost on their way, whatever the version. */
#define GOOD_FAILED_MIN 0.05
/* Shares of slow answers: servers differ in speed, so that some answers of a
 * good version are several times slower than usual. */
#define BAD_SLOW 0.4
#define GOOD_SLOW 0.15
/* Logarithm of 1 / 0.01: at most one verdict in a hundred is wrong. */
#define BOUND 4.6
/* A good verdict needs this many answers: a version that fails some of its
 * calls only is found with these. */
#define GOOD_CALLS_MIN 20

void
bg_judge_reset(struct bg_judge *jdg, uint64_t generation)
{
	memset(jdg, 0, sizeof(*jdg));
	jdg->generation = generation;
}

static struct bg_judge_score *
find_route(struct bg_judge *jdg, const char *route)
{
	size_t i;

	for (i = 0; i < BG_ROUTES_MAX; i++) {
		if (jdg->routes[i].name[0] == '\0')
			snprintf(jdg->routes[i].name,
			    sizeof(jdg->routes[i].name), "%s", route);
		if (strcmp(jdg->routes[i].name, route) == 0)
			return &jdg->routes[i].score;
	}
	return NULL;
}

static void
add(double *score, int outcome, double bad, double good)
{
	*score += outcome ? log(bad / good) : log((1 - bad) / (1 - good));
	if (*score < -BOUND)
		*score = -BOUND;
}

static void
update(struct bg_judge_score *score, const struct bg_judge_sample *sample,
    double good_failed)
{
	add(&score->failed, sample->is_failed, BAD_FAILED, good_failed);
	if (sample->has_time)
		add(&score->slow, sample->is_slow, BAD_SLOW, GOOD_SLOW);
}

static int
is_bad(const struct bg_judge_score *score)
{
	return score->failed >= BOUND || score->slow >= BOUND;
}

static void
explain(struct bg_judge *jdg, const struct bg_judge_sample *sample)
{
	snprintf(jdg->reason, sizeof(jdg->reason),
	    "%s on route %.40s: %u failed, %u slow of %u calls",
	    sample->is_failed ? "failures" : "slow answers", sample->route,
	    jdg->failed, jdg->slow, jdg->calls);
}

enum bg_verdict
bg_judge_count(struct bg_judge *jdg, const struct bg_judge_sample *sample,
    uint32_t max_error_permille)
{
	struct bg_judge_score *route = find_route(jdg, sample->route);
	double good_failed = max_error_permille / 1000.0;

	if (good_failed < GOOD_FAILED_MIN)
		good_failed = GOOD_FAILED_MIN;
	if (good_failed > BAD_FAILED / 2)
		good_failed = BAD_FAILED / 2;
	if (jdg->verdict == BG_VERDICT_BAD)
		return jdg->verdict;
	jdg->calls++;
	jdg->failed += sample->is_failed != 0;
	jdg->slow += sample->has_time && sample->is_slow;
	update(&jdg->all, sample, good_failed);
	if (route != NULL)
		update(route, sample, good_failed);
	if (is_bad(&jdg->all) || (route != NULL && is_bad(route))) {
		jdg->verdict = BG_VERDICT_BAD;
		explain(jdg, sample);
	} else if (jdg->calls >= GOOD_CALLS_MIN && jdg->all.failed <= -BOUND &&
	    jdg->all.slow < 0)
		jdg->verdict = BG_VERDICT_GOOD;
	return jdg->verdict;
}
