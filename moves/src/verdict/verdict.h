#ifndef BG_VERDICT_VERDICT_H
#define BG_VERDICT_VERDICT_H

/** @file
 * The verdict on a new backend server version: a sequential comparison with
 * the old version over the same time. Pure.
 *
 * For each cell (a route, or a whole service, in one data centre or in all)
 * three binary outcomes are tested: failed, slower than the contract allows,
 * and slower than twice the old version's p90. Each test accumulates the log
 * likelihood ratio of "worse by the allowed margin" against "like the old
 * version" (Wald). The ratio is bounded below, so that a version that turns
 * bad after a long good time is found as soon as a new one.
 */

#include <stddef.h>
#include <stdint.h>

#include "burdockgrade/snapshot.h"

#include "tally.h"

enum bg_verdict {
	BG_VERDICT_NONE, /**< too few calls */
	BG_VERDICT_GOOD,
	BG_VERDICT_BAD,
};

struct bg_verdict_options {
	uint32_t max_error_permille; /**< allowed above the old version */
	uint32_t comparisons;	     /**< cells tested together, at least 1 */
};

enum bg_verdict_test {
	BG_TEST_ERRORS,
	BG_TEST_BROKEN, /**< many more errors; found within a few calls */
	BG_TEST_SLOW,
	BG_TEST_SLOWER,
	BG_TEST_COUNT,
};

/** State of one cell. Zero-initialized at the start of a move generation. */
struct bg_cell {
	struct bg_tally old;	/**< baseline, older calls weigh less */
	struct bg_tally recent; /**< the last few hundred calls of it */
	uint64_t new_calls;
	uint64_t new_failed;
	double score[BG_TEST_COUNT];
	double gained[BG_TEST_COUNT]; /**< evidence of the last update */
	enum bg_verdict verdict;      /**< BAD is final */
	enum bg_verdict_test failed_test;
};

/**
 * Takes the calls since the last update into account.
 *
 * @return the verdict; BAD once reached stays
 */
enum bg_verdict bg_cell_update(struct bg_cell *cell,
    const struct bg_tally *old_delta, const struct bg_tally *new_delta,
    const struct bg_verdict_options *opts);

/**
 * Updates the cell of a whole service from those of its routes, each compared
 * with its own baseline, so that a different mix of routes is no evidence.
 *
 * @param routes cells that were just updated
 */
enum bg_verdict bg_cell_pool(struct bg_cell *service,
    const struct bg_cell *routes, size_t route_count,
    const struct bg_verdict_options *opts);

/** Says in words why a cell is bad, for the move's reason. */
void bg_cell_explain(
    char out[BG_REASON_BYTES], const struct bg_cell *cell, const char *where);

#endif
