#ifndef BG_MOVES_JUDGE_H
#define BG_MOVES_JUDGE_H

/** @file
 * Canary analysis: the verdict of a node on the new version of the backend
 * server beside it, from that server's answers. No I/O.
 *
 * Two properties of an answer are tested, for each route and for all routes
 * together: whether it failed, and whether it was slow in comparison with the
 * servers of other versions. Each test is a sequential probability ratio test
 * (Wald): it sums the log-likelihood ratio (LLR) of "bad" against "good". The
 * sum has a lower limit, so that a version that degrades after a long good
 * period is detected as soon as a new one. Each step of a move needs a good
 * verdict of its own: what a version answered at a small share says little of
 * how it does under more load.
 */

#include "burdockgrade/contract.h"
#include "burdockgrade/members.h"
#include "burdockgrade/snapshot.h"

/** LLR sums of the two tests; positive: evidence of a bad version. */
struct bg_judge_llr {
	double failed;
	double slow;
};

struct bg_judge_route {
	char name[BG_NAME_BYTES];
	struct bg_judge_llr llr;
};

/** Answers needed for a good verdict; enough to detect a version that fails
 * only some of its calls. */
#define BG_JUDGE_GOOD_CALLS_MIN 20

struct bg_judge {
	uint64_t generation; /**< of the move that is judged; 0: none */
	uint32_t step;	     /**< of the move */
	uint32_t step_calls; /**< answers in this step */
	uint32_t step_failed;
	uint32_t calls;
	uint32_t failed;
	uint32_t slow;
	struct bg_judge_llr all_routes;
	struct bg_judge_route routes[BG_ROUTES_MAX]; /**< empty name: unused */
	enum bg_verdict verdict; /**< BG_VERDICT_BAD is final until the reset */
	char reason[BG_REASON_BYTES]; /**< of a bad verdict, or empty */
};

/** One answer of the server. */
struct bg_judge_sample {
	const char *route;
	int is_failed;
	int is_slow;
	int has_latency; /**< 0: is_slow is ignored, as during a cold start */
};

/** Discards all samples and starts to judge a move at its first step. */
void bg_judge_reset(struct bg_judge *jdg, uint64_t generation);
/** Starts to judge a step of the same move. Evidence against the version is
 * kept, and a bad verdict is; evidence for it is not. */
void bg_judge_begin_step(struct bg_judge *jdg, uint32_t step);
/** 1 if there were too few answers in this step for a verdict, and none of them
 * failed. At the first step that means no answers at all. */
int bg_judge_is_idle(const struct bg_judge *jdg);
/**
 * Adds an answer to the tests.
 *
 * @param max_error_permille tolerated failure ratio; clamped to 5..15%
 * @return the verdict after this answer
 */
enum bg_verdict bg_judge_add_sample(struct bg_judge *jdg,
    const struct bg_judge_sample *sample, uint32_t max_error_permille);

#endif
