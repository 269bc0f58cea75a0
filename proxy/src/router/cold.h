#ifndef BG_PROXY_COLD_H
#define BG_PROXY_COLD_H

/** @file
 * What a node expects of a cold server: how long it stays cold, and when it may
 * start the next call. The gatekeeper beside the server enforces the limit;
 * this estimate only keeps calls away that it would refuse. Pure.
 */

#include "burdockgrade/members.h"

#include "endpoint.h"

/** Warm-up of the servers of a service. */
struct bg_cold_service {
	uint32_t duration_ms;	   /**< 0: unknown */
	uint32_t rate_milli_per_s; /**< that a cold server bears, in thousandths
					of a call a second; 0: no limit */
};

struct bg_cold {
	uint32_t left_ms; /**< until the server is warm; 0: it is */
	uint64_t wait_us; /**< until it may start one more call */
};

/**
 * Estimates the state of a server. A report of its gatekeeper decides if the
 * server has not started since; otherwise the announced start does, which other
 * nodes learn before they have sent a call there.
 *
 * @param now_ms monotonic clock
 * @param wall_ms wall clock. A wrong one makes the estimate wrong, for no
 *     longer than the warm-up.
 */
void bg_cold_estimate(struct bg_cold *out, const struct bg_cold_service *svc,
    const struct bg_endpoint *ep, const struct bg_member *m, uint64_t now_ms,
    uint64_t wall_ms);

#endif
