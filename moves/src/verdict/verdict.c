#include <math.h>
#include <stdio.h>
#include <string.h>

#include "verdict.h"

/* Probability of a false alarm over all cells of one move. The bound allows
 * for the many looks of a long soak, so it is far below the stated 1%. */
#define FALSE_ALARM 1e-4
/* Probability of a good first verdict on a version that is just bad enough.
 * Later steps look again, so that the move as a whole misses at most 1%. */
#define FIRST_MISS 0.05
/* The baseline is taken at its one-sided 95% upper bound. */
#define BASELINE_Z 1.645
/* A ratio of zero cannot be told from this one with the calls of a move. */
#define BASELINE_MIN 0.005
#define RATIO_MAX 0.98
/* This share of additional failures is found with a handful of calls. */
#define BROKEN_MARGIN 0.4
/* More than this share of additional slow calls is bad. */
#define SLOW_MARGIN 0.15
/* Two half-octave buckets above p90 is twice its latency. */
#define SLOWER_BUCKETS 2
/* Below this latency, scheduling noise alone doubles it. */
#define SLOWER_MIN_US 2000
/* Calls of the old version before it is a baseline. */
#define BASELINE_CALLS 20
/* The baseline is halved above this many calls. */
#define BASELINE_MAX_CALLS 2000
/* The recent baseline follows within seconds what hits both versions, such as
 * a slow dependency. The worse of both baselines counts. */
#define RECENT_MAX_CALLS 200

/* Upper bound of Wilson's interval for k of n. */
static double
wilson_upper(uint64_t k, uint64_t n)
{
	const double z2 = BASELINE_Z * BASELINE_Z;
	double p = (double)k / (double)n;
	double centre = p + z2 / (2.0 * (double)n);
	double spread = BASELINE_Z *
	    sqrt((p * (1.0 - p) + z2 / (4.0 * (double)n)) / (double)n);

	return (centre + spread) / (1.0 + z2 / (double)n);
}

static double
clamp(double x, double low, double high)
{
	return x < low ? low : x > high ? high : x;
}

/* Log likelihood ratio of k bad calls of n. */
static double
evidence(uint64_t k, uint64_t n, double expected, double margin)
{
	double p0 = clamp(expected, BASELINE_MIN, RATIO_MAX - 0.01);
	double p1 = clamp(p0 + margin, p0 + 0.005, RATIO_MAX);

	return (double)k * log(p1 / p0) +
	    (double)(n - k) * log((1.0 - p1) / (1.0 - p0));
}

static uint32_t
slower_bucket(const struct bg_cell *cell)
{
	uint32_t bucket = bg_tally_quantile(&cell->old, 900);
	uint32_t recent = bg_tally_quantile(&cell->recent, 900);
	uint32_t least = bg_tally_bucket(SLOWER_MIN_US);

	bucket = (recent > bucket ? recent : bucket) + SLOWER_BUCKETS;
	if (bucket < least)
		bucket = least;
	return bucket < BG_TALLY_BUCKETS ? bucket : BG_TALLY_BUCKETS - 1;
}

static double
expected_ratio(
    const struct bg_cell *cell, uint64_t old_bad, uint64_t recent_bad)
{
	double old = wilson_upper(old_bad, cell->old.calls);
	double recent = wilson_upper(recent_bad, cell->recent.calls);

	return recent > old ? recent : old;
}

static void
gain_evidence(struct bg_cell *cell, const struct bg_tally *new_delta,
    const struct bg_verdict_options *opts)
{
	uint32_t slower = slower_bucket(cell);
	uint64_t calls = new_delta->calls;

	cell->gained[BG_TEST_ERRORS] = evidence(new_delta->failed, calls,
	    expected_ratio(cell, cell->old.failed, cell->recent.failed),
	    opts->max_error_permille / 1000.0);
	cell->gained[BG_TEST_BROKEN] = evidence(new_delta->failed, calls,
	    expected_ratio(cell, cell->old.failed, cell->recent.failed),
	    BROKEN_MARGIN);
	cell->gained[BG_TEST_SLOW] = evidence(new_delta->slow, calls,
	    expected_ratio(cell, cell->old.slow, cell->recent.slow),
	    SLOW_MARGIN);
	cell->gained[BG_TEST_SLOWER] =
	    evidence(bg_tally_above(new_delta, slower), calls,
		expected_ratio(cell, bg_tally_above(&cell->old, slower),
		    bg_tally_above(&cell->recent, slower)),
		SLOW_MARGIN);
}

static void
add_baseline(
    struct bg_tally *baseline, const struct bg_tally *delta, uint64_t max_calls)
{
	bg_tally_add(baseline, delta);
	while (baseline->calls > max_calls)
		bg_tally_scale(baseline, 1, 2);
}

/* Adds what was gained and compares the scores with both bounds. */
static enum bg_verdict
decide(struct bg_cell *cell, const struct bg_verdict_options *opts)
{
	uint32_t comparisons = opts->comparisons > 0 ? opts->comparisons : 1;
	double alarm = log(comparisons * BG_TEST_COUNT / FALSE_ALARM);
	double accept = log(FIRST_MISS);
	int accepted = 0;
	int test;

	for (test = 0; test < BG_TEST_COUNT; test++) {
		cell->score[test] += cell->gained[test];
		if (cell->score[test] < accept)
			cell->score[test] = accept;
		if (cell->score[test] >= alarm) {
			cell->failed_test = (enum bg_verdict_test)test;
			return BG_VERDICT_BAD;
		}
		accepted += cell->score[test] <= accept;
	}
	return accepted == BG_TEST_COUNT ? BG_VERDICT_GOOD : cell->verdict;
}

enum bg_verdict
bg_cell_update(struct bg_cell *cell, const struct bg_tally *old_delta,
    const struct bg_tally *new_delta, const struct bg_verdict_options *opts)
{
	memset(cell->gained, 0, sizeof(cell->gained));
	add_baseline(&cell->old, old_delta, BASELINE_MAX_CALLS);
	add_baseline(&cell->recent, old_delta, RECENT_MAX_CALLS);
	if (cell->verdict == BG_VERDICT_BAD || new_delta->calls == 0 ||
	    cell->old.calls < BASELINE_CALLS)
		return cell->verdict;
	cell->new_calls += new_delta->calls;
	cell->new_failed += new_delta->failed;
	gain_evidence(cell, new_delta, opts);
	cell->verdict = decide(cell, opts);
	return cell->verdict;
}

enum bg_verdict
bg_cell_pool(struct bg_cell *service, const struct bg_cell *routes,
    size_t route_count, const struct bg_verdict_options *opts)
{
	size_t i;
	int test;

	if (service->verdict == BG_VERDICT_BAD)
		return service->verdict;
	memset(service->gained, 0, sizeof(service->gained));
	service->new_calls = 0;
	service->new_failed = 0;
	for (i = 0; i < route_count; i++) {
		service->new_calls += routes[i].new_calls;
		service->new_failed += routes[i].new_failed;
		for (test = 0; test < BG_TEST_COUNT; test++)
			service->gained[test] += routes[i].gained[test];
	}
	service->verdict = decide(service, opts);
	return service->verdict;
}

void
bg_cell_explain(
    char out[BG_REASON_BYTES], const struct bg_cell *cell, const char *where)
{
	static const char *const WHAT[] = {
	    "errors", "errors", "slow", "slower"};

	snprintf(out, BG_REASON_BYTES, "%s: %s, %llu of %llu calls failed",
	    where, WHAT[cell->failed_test],
	    (unsigned long long)cell->new_failed,
	    (unsigned long long)cell->new_calls);
}
