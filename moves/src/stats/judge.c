#include <stdio.h>
#include <string.h>

#include "stats.h"

/* "Bad" explains the calls e^3, about 20, times better than "good". */
#define DOUBT_SCORE 3.0

void
bg_judge_reset(struct bg_judge *jdg, uint64_t generation)
{
	memset(jdg, 0, sizeof(*jdg));
	jdg->generation = generation;
}

static void
explain(struct bg_judge *jdg, const struct bg_cell *cell, const char *where,
    const char *what)
{
	char place[BG_REASON_BYTES];

	if (jdg->reason[0] != '\0')
		return;
	snprintf(place, sizeof(place), "%.40s %.60s", where, what);
	bg_cell_explain(jdg->reason, cell, place);
}

enum bg_verdict
bg_judge_update(struct bg_judge *jdg, const struct bg_contract *ctr,
    struct bg_stat *old_delta, struct bg_stat *new_delta, uint32_t scopes,
    const char *where)
{
	struct bg_verdict_options opts = {
	    ctr->max_error_permille, (uint32_t)(ctr->route_count + 1) * scopes};
	struct bg_tally *before;
	struct bg_tally *after;
	enum bg_verdict verdict;
	int is_bad = 0;
	size_t i;

	for (i = 0; i < ctr->route_count; i++) {
		before = bg_stat_route(old_delta, ctr->routes[i].name);
		after = bg_stat_route(new_delta, ctr->routes[i].name);
		if (before == NULL || after == NULL)
			continue;
		verdict = bg_cell_update(&jdg->routes[i], before, after, &opts);
		if (verdict == BG_VERDICT_BAD) {
			is_bad = 1;
			explain(
			    jdg, &jdg->routes[i], where, ctr->routes[i].name);
		}
	}
	verdict =
	    bg_cell_pool(&jdg->service, jdg->routes, ctr->route_count, &opts);
	if (verdict == BG_VERDICT_BAD)
		explain(jdg, &jdg->service, where, "all routes");
	return is_bad ? BG_VERDICT_BAD : verdict;
}

static int
is_cell_doubtful(const struct bg_cell *cell)
{
	int test;

	for (test = 0; test < BG_TEST_COUNT; test++) {
		if (cell->score[test] > DOUBT_SCORE)
			return 1;
	}
	return 0;
}

int
bg_judge_is_doubtful(const struct bg_judge *jdg)
{
	size_t i;

	for (i = 0; i < BG_ROUTES_MAX; i++) {
		if (is_cell_doubtful(&jdg->routes[i]))
			return 1;
	}
	return is_cell_doubtful(&jdg->service);
}
