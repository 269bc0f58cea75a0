#ifndef BG_PROXY_LIMITER_H
#define BG_PROXY_LIMITER_H

/** @file
 * Limiter of the gatekeeper: the slots of one backend server and the calls that
 * wait for one. Pure.
 *
 * Calls of running requests go first, since the slots of their parents are
 * taken until they are answered; then the order is by priority. Within a
 * priority, calls that can still be answered within their target go before
 * those that cannot, and the earliest target goes first.
 *
 * Callers that were refused come back. In a burst they are served like new
 * ones, since they will be refused for good next time. While a queue stands,
 * demand is above what the server completes: whoever is served, as many are
 * refused, so that calls go first which can still be answered in time of their
 * first try.
 */

#include <stdint.h>

#include "burdockgrade/contract.h"

/** Routes whose times are kept apart. */
#define BG_LIMITER_ROUTES 16

/** A call at the limiter; embedded in the owner's struct. */
struct bg_limiter_entry {
	struct bg_limiter_entry *prev;
	struct bg_limiter_entry *next;
	const char *route;
	uint32_t priority;  /**< 0 is served first */
	int is_dependency;  /**< a running request waits for it */
	uint64_t target_us; /**< an answer by then is worth most; 0: none */
	uint64_t age_us;    /**< since the caller first sent the request */
	uint64_t latest_start_us; /**< a later start is of no use */
	uint64_t started_us;
	uint32_t running_at_start; /**< calls that ran then, with this one */
	int is_queued;
	int is_running;
};

/** Time of the calls of one route. */
struct bg_limiter_route {
	char name[BG_NAME_BYTES];
	double service_us;
};

struct bg_limiter {
	uint32_t slots;
	uint32_t running;
	uint32_t queued;
	uint64_t queued_since_us; /**< calls wait since then; 0: none waits */
	double limit;		  /**< calls that may run, up to slots */
	double service_us;	  /**< average time of a call; 0: unknown */
	double failure_ratio;	  /**< of recent answers, decays with time */
	uint64_t
	    failure_ratio_us; /**< when bad_share was last brought up to date */
	uint64_t last_decrease_us; /**< last decrease of the limit */
	uint64_t low_load_shed_us; /**< last call that the server shed though
				    it had slots free; 0: never */
	struct bg_limiter_route routes[BG_LIMITER_ROUTES];
	struct bg_limiter_entry *head; /**< in order of arrival */
	struct bg_limiter_entry *tail;
};

enum bg_limiter_admission {
	BG_LIMITER_STARTED,
	BG_LIMITER_QUEUED,
	BG_LIMITER_REJECTED, /**< no slot is expected in the time that is left
			      */
};

enum bg_limiter_sample {
	BG_LIMITER_OK,
	BG_LIMITER_FAILED,  /**< a failure that the server answers for */
	BG_LIMITER_SHED,    /**< the server refused for load */
	BG_LIMITER_IGNORED, /**< says nothing about the server */
};

void bg_limiter_init(struct bg_limiter *out, uint32_t slots);
void bg_limiter_set_slots(struct bg_limiter *lim, uint32_t slots);
/** Forgets the times of a server that another one replaced. */
void bg_limiter_reset(struct bg_limiter *lim);

/** Asks to run a call. */
enum bg_limiter_admission bg_limiter_acquire(
    struct bg_limiter *lim, struct bg_limiter_entry *entry, uint64_t now_us);
/** Removes an entry, running or queued, and counts its sample. */
void bg_limiter_release(struct bg_limiter *lim, struct bg_limiter_entry *entry,
    uint64_t now_us, enum bg_limiter_sample sample);
/** Starts the next queued entry if a slot is free. @return it, or NULL */
struct bg_limiter_entry *bg_limiter_start_next(
    struct bg_limiter *lim, uint64_t now_us);
/** Finds a queued entry that others have displaced so far that it will not
 * start in time, to be refused at once. @return it, or NULL */
struct bg_limiter_entry *bg_limiter_find_infeasible(
    const struct bg_limiter *lim, uint64_t now_us);
/** Expected wait of a call that would be queued last, in microseconds. */
uint64_t bg_limiter_wait_us(const struct bg_limiter *lim);
/** Expected time of a call of a route, in microseconds; 0: unknown. */
uint64_t bg_limiter_service_us(const struct bg_limiter *lim, const char *route);
/** Share of recent answers that were failures, in permille. */
uint32_t bg_limiter_failure_permille(
    const struct bg_limiter *lim, uint64_t now_us);

#endif
