#ifndef BG_PROXY_LIMITER_H
#define BG_PROXY_LIMITER_H

/** @file
 * Limiter of the gatekeeper: running calls, the bounded queue and the adaptive
 * limit of one backend server. Pure.
 */

#include <stdint.h>

#include "burdockgrade/contract.h"

/** Queued calls for each slot; a longer queue only adds waiting. */
#define BG_LIMITER_QUEUE_FACTOR 2

/** A call at the limiter; embedded in the owner's struct. */
struct bg_limiter_entry {
	struct bg_limiter_entry *prev;
	struct bg_limiter_entry *next;
	enum bg_criticality criticality;
	const char *route;
	uint64_t deadline_us;
	uint64_t started_us;
	int is_queued;
	int is_running;
};

/** Time of the calls of one route. */
struct bg_limiter_route {
	char name[BG_NAME_BYTES];
	double best_us; /**< when the server is not loaded */
};

struct bg_limiter {
	uint32_t slots;
	uint32_t running;
	uint32_t queued;
	double limit;	   /**< adaptive, 1 to slots */
	double service_us; /**< average time of a call */
	double slowness;   /**< average of time / best time of the route */
	struct bg_limiter_route routes[BG_ROUTES_MAX];
	uint64_t last_cut_us;	       /**< last decrease of the limit */
	struct bg_limiter_entry *head; /**< next to run */
	struct bg_limiter_entry *tail;
};

enum bg_limiter_verdict {
	BG_LIMITER_RUN,
	BG_LIMITER_QUEUED,
	BG_LIMITER_FULL,
	BG_LIMITER_TOO_LATE, /**< the deadline cannot be met */
};

enum bg_limiter_sample {
	BG_LIMITER_OK,
	BG_LIMITER_SHED,    /**< the server refused for load */
	BG_LIMITER_LATE,    /**< no answer within the deadline */
	BG_LIMITER_IGNORED, /**< says nothing of the load */
};

void bg_limiter_init(struct bg_limiter *out, uint32_t slots);
void bg_limiter_set_slots(struct bg_limiter *lim, uint32_t slots);

/**
 * Asks to run a call. The entry's criticality, route and deadline_us are set.
 *
 * @param out_refused a queued entry of lower criticality that lost its place
 *     and must be refused, or NULL
 */
enum bg_limiter_verdict bg_limiter_enter(struct bg_limiter *lim,
    struct bg_limiter_entry *entry, uint64_t now_us,
    struct bg_limiter_entry **out_refused);
/**
 * Removes an entry, running or queued, and counts its sample.
 *
 * @param own_us time of the call without its dependency calls
 */
void bg_limiter_leave(struct bg_limiter *lim, struct bg_limiter_entry *entry,
    uint64_t now_us, uint64_t own_us, enum bg_limiter_sample sample);
/** Starts the next queued entry if a slot is free. @return it, or NULL */
struct bg_limiter_entry *bg_limiter_next(
    struct bg_limiter *lim, uint64_t now_us);
/** Expected wait of a call that would be queued last, in microseconds. */
uint64_t bg_limiter_wait_us(const struct bg_limiter *lim);

#endif
