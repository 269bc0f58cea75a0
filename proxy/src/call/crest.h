#ifndef BG_PROXY_CREST_H
#define BG_PROXY_CREST_H

/** @file
 * When refused callers are asked back. While a service refuses a part of its
 * calls, an early repetition meets the same crest of demand and is refused
 * again, so repetitions are spread over the time in which callers still come
 * back. Pure; the caller passes the time.
 */

#include <stdint.h>

#include "burdockgrade/clock.h"

/** Services whose refusals are counted. */
#define BG_CREST_SERVICES 8

struct bg_crest_service {
	uint64_t tag; /**< hash of the name; 0: free */
	uint64_t updated_ms;
	double calls; /**< decayed counts */
	double refused;
};

/** Zeroed: nothing is known. */
struct bg_crest {
	struct bg_crest_service services[BG_CREST_SERVICES];
};

/** Counts a call that ended at this node. */
void bg_crest_record(
    struct bg_crest *crs, const char *service, int is_refused, uint64_t now_ms);
/** Share of the recent calls that were refused, 0 to 1. */
double bg_crest_refused_share(
    const struct bg_crest *crs, const char *service, uint64_t now_ms);

struct bg_come_back {
	uint32_t room_ms;  /**< when a slot is expected to be free */
	uint32_t left_ms;  /**< time that the caller has left */
	uint32_t priority; /**< of the call; 0 is the highest */
	double refused_share;
	uint32_t needs_ms; /**< time that the call may take when it comes back;
				it is left to it */
};

/** Chooses the delay after which a refused caller is to come back. Callers of a
 * higher priority come back first. */
uint32_t bg_come_back_ms(const struct bg_come_back *in, struct bg_rand *rnd);

#endif
