#ifndef BG_PROXY_PATIENCE_H
#define BG_PROXY_PATIENCE_H

/** @file
 * How long callers give each request of a route, to tell a new request from one
 * that comes back after a refusal. A caller that returns has spent a part of
 * its time, so it gives less than usual; its target counts from its first try.
 * Pure.
 */

#include <stdint.h>

/** Routes that are told apart; a route takes the place of another one with the
 * same remainder of its hash. */
#define BG_PATIENCE_ROUTES 64

struct bg_patience_route {
	uint64_t route_hash;
	uint64_t span_ms;	 /**< start of the present span */
	uint32_t longest_ms;	 /**< deadline given in the present span */
	uint32_t longest_old_ms; /**< in the span before it */
};

struct bg_patience {
	struct bg_patience_route routes[BG_PATIENCE_ROUTES];
};

/**
 * Counts a request.
 *
 * @param deadline_ms that its caller gives it; 0: the caller named none
 * @return time in milliseconds since its caller first sent it, as far as its
 *     deadline tells; 0 for a new request
 */
uint32_t bg_patience_request(struct bg_patience *pat, const char *route,
    uint32_t deadline_ms, uint64_t now_ms);

#endif
