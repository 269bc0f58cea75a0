#ifndef BG_PROXY_PROBE_H
#define BG_PROXY_PROBE_H

/** @file
 * Decides on the state of the backend server from probes and real answers.
 * Pure.
 */

#include <stdint.h>

/** Interval of probes to a ready server. */
#define BG_PROBE_MS 1000
/** Interval while it is not ready or a probe failed: a started server is used
 * soon, and one that drains or hangs is left within a second. */
#define BG_PROBE_CHANGING_MS 200
/** Time allowed for the answer of a probe. */
#define BG_PROBE_TIMEOUT_MS 1000
/** Failed probes in a row that count, unless real calls are answered. */
#define BG_PROBE_FAILURES 3

enum bg_probe_result {
	BG_PROBE_GOOD,
	BG_PROBE_BAD,	  /**< answered, but not well; or no answer in time */
	BG_PROBE_REFUSED, /**< no connection */
};

struct bg_probe {
	int is_ready;
	uint32_t failures;
	uint64_t answered_ms; /**< last good answer of a real call */
};

/** A call was answered by the server. */
void bg_probe_answered(struct bg_probe *prb, uint64_t now_ms);
/** Counts a probe. @return 1 if is_ready changed */
int bg_probe_result(
    struct bg_probe *prb, enum bg_probe_result result, uint64_t now_ms);
uint32_t bg_probe_interval_ms(const struct bg_probe *prb);

#endif
