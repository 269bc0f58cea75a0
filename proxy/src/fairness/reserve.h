#ifndef BG_PROXY_RESERVE_H
#define BG_PROXY_RESERVE_H

/** @file
 * Slots of a backend server that long work leaves free for short urgent work
 * that is likely to come soon. Pure; the caller passes the time.
 *
 * Load: a route with a tight target beside a route of the same or a lower
 * priority whose calls run for longer than the urgent ones can wait. Priority
 * and the order by target do not help then, since all slots hold long work when
 * an urgent call comes. The number of slots follows from the learned rate of
 * the urgent calls and their service time (Little's law), and a margin of one
 * standard deviation of a Poisson distribution.
 *
 * Nothing is reserved where the urgent calls can wait for as long as the others
 * run, or run for nearly as long.
 */

#include <stdint.h>

#include "burdockgrade/contract.h"

/** Pairs of route and priority whose arrivals are tracked; the least recent one
 * is replaced. */
#define BG_RESERVE_ROUTES 16

struct bg_reserve_route {
	char name[BG_NAME_BYTES];
	uint32_t priority;
	double rate_per_us;  /**< of arrivals, averaged */
	uint64_t arrived_us; /**< last arrival; 0: not in use */
	uint64_t service_us; /**< expected at the last arrival */
	double slack_us;     /**< longest useful wait, averaged over arrivals;
				below 1: no target */
	uint32_t running;
};

struct bg_reserve {
	struct bg_reserve_route routes[BG_RESERVE_ROUTES];
};

/** A call at the server. */
struct bg_reserve_call {
	const char *route;
	uint32_t priority;
	uint64_t service_us; /**< expected; 0: unknown */
	uint64_t target_us;  /**< time from now to the target; 0: none */
};

void bg_reserve_record_arrival(struct bg_reserve *rsv,
    const struct bg_reserve_call *call, uint64_t now_us);
void bg_reserve_record_start(
    struct bg_reserve *rsv, const char *route, uint32_t priority);
void bg_reserve_record_end(
    struct bg_reserve *rsv, const char *route, uint32_t priority);
/** 1 if calls of a route are among those for which another call leaves slots
 * free. */
int bg_reserve_is_for(const struct bg_reserve *rsv, const char *route,
    uint32_t priority, const struct bg_reserve_call *call);
/** Number of slots that a call has to leave free.
 * @param slots slots of the server, of which at most half are reserved */
uint32_t bg_reserve_slots(const struct bg_reserve *rsv,
    const struct bg_reserve_call *call, uint32_t slots, uint64_t now_us);

#endif
