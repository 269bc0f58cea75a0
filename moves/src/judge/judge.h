#ifndef BG_MOVES_JUDGE_H
#define BG_MOVES_JUDGE_H

/** @file
 * The verdict of a node on the new version of the server beside it, from that
 * server's own answers. Pure.
 *
 * For each route and for all routes together two outcomes are tested: failed,
 * and slow in comparison with the other versions' servers. Each test adds up
 * the log likelihood ratio of "bad" against "as good as allowed" (Wald's
 * sequential test). The sum is bounded below, so that a version that turns bad
 * after a long good time is found as soon as a new one.
 */

#include "burdockgrade/contract.h"
#include "burdockgrade/members.h"
#include "burdockgrade/snapshot.h"

struct bg_judge_llr {
	double failed;
	double slow;
};

struct bg_judge_route {
	char name[BG_NAME_BYTES];
	struct bg_judge_llr llr;
};

struct bg_judge {
	uint64_t generation; /**< move that is judged; 0: none */
	uint32_t calls;
	uint32_t failed;
	uint32_t slow;
	struct bg_judge_llr all_routes;
	struct bg_judge_route routes[BG_ROUTES_MAX];
	enum bg_verdict verdict; /**< BAD is final for a generation */
	char reason[BG_REASON_BYTES];
};

/** One answer of the server. */
struct bg_judge_sample {
	const char *route;
	int is_failed;
	int is_slow;
	int has_latency; /**< 0: the time says nothing, as in a cold start */
};

/** Starts with a move. */
void bg_judge_reset(struct bg_judge *jdg, uint64_t generation);
/**
 * Counts an answer.
 *
 * @param max_error_permille share of failures that is allowed
 * @return the verdict
 */
enum bg_verdict bg_judge_add_sample(struct bg_judge *jdg,
    const struct bg_judge_sample *sample, uint32_t max_error_permille);

#endif
