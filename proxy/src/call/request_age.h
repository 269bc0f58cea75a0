#ifndef BG_PROXY_REQUEST_AGE_H
#define BG_PROXY_REQUEST_AGE_H

/** @file
 * Estimates the age of a request, to tell a new request from one that its
 * caller retries after a refusal. A caller that retries has spent part of its
 * time, so it gives a shorter deadline than is usual for the route; its target
 * still counts from its first attempt. Pure.
 */

#include <stdint.h>

/** Size of the route table. It is direct-mapped: a route replaces another one
 * whose hash has the same remainder. */
#define BG_AGE_ROUTES 64

struct bg_age_route {
	uint64_t route_hash;
	uint64_t window_start_ms;
	uint32_t longest_ms; /**< longest deadline in the current window */
	uint32_t previous_longest_ms; /**< in the window before it */
};

struct bg_age_estimator {
	struct bg_age_route routes[BG_AGE_ROUTES];
};

/**
 * Records the deadline of a request and estimates the request's age.
 *
 * @param deadline_ms given by the caller; 0: none
 * @return estimated time in milliseconds since the caller first sent the
 *     request; 0 for a new request or without a deadline
 */
uint32_t bg_age_estimate(struct bg_age_estimator *est, const char *route,
    uint32_t deadline_ms, uint64_t now_ms);

#endif
