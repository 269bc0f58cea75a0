#ifndef BG_PROXY_LIMITER_H
#define BG_PROXY_LIMITER_H

/** @file
 * Concurrency limiter of the gatekeeper: the slots of one backend server and
 * the queue of calls that wait for a slot. No I/O; the caller passes the time.
 */

#include <stdint.h>

#include "burdockgrade/contract.h"

#include "../fairness/reserve.h"
#include "../warmup/warmup.h"
#include "queue.h"

/** Routes whose service times are tracked separately. */
#define BG_LIMITER_ROUTES 16

/** Average service time of the calls of one route. */
struct bg_limiter_route {
	char name[BG_NAME_BYTES];
	double service_us;
};

struct bg_limiter {
	uint32_t slots;
	uint32_t running;
	struct bg_queue queue;
	double limit;		   /**< adaptive limit of running calls, at most
					slots */
	double service_us;	   /**< average over all routes; 0: unknown */
	double failure_ratio;	   /**< of recent responses, 0 to 1; decays with
					time */
	uint64_t failure_ratio_us; /**< time of the last update of
					failure_ratio */
	uint64_t last_decrease_us; /**< last decrease of the limit; 0: never */
	uint64_t low_load_shed_us; /**< last call that the server shed with
					most of its slots free; 0: never */
	struct bg_limiter_route routes[BG_LIMITER_ROUTES];
	struct bg_reserve reserve;
	uint64_t held_back; /**< times that a free slot was left to urgent calls
			       that may come */
	struct bg_warmup warmup;    /**< limits the starts of a cold server */
	uint64_t start_interval_us; /**< time between two starts while all slots
					 are taken, if the owner knows it better
					 than from service_us; else 0 */
};

enum bg_limiter_admission {
	BG_LIMITER_STARTED,
	BG_LIMITER_QUEUED,
	BG_LIMITER_REJECTED, /**< not expected to get a slot in time */
};

/** Result of a call, as far as it concerns the limit. */
enum bg_limiter_sample {
	BG_LIMITER_OK,
	BG_LIMITER_FAILED, /**< failure caused by the server */
	BG_LIMITER_SHED,   /**< refused by the server because of its load */
	/** Refused by the server, although it reported a free slot. */
	BG_LIMITER_SHED_WITH_ROOM,
	BG_LIMITER_IGNORED, /**< no information about the server */
};

/** @param slots 0 counts as 1 */
void bg_limiter_init(struct bg_limiter *out, uint32_t slots);
/** Does nothing if slots is 0. */
void bg_limiter_set_slots(struct bg_limiter *lim, uint32_t slots);
/** Discards the measurements of a server that was replaced. */
void bg_limiter_reset(struct bg_limiter *lim);

/** 1 if a call that came now would be started or queued. */
int bg_limiter_is_feasible(
    struct bg_limiter *lim, struct bg_limiter_entry *entry, uint64_t now_us);
/** Latest useful start of a call, given the expected service time. */
uint64_t bg_limiter_useful_start_us(const struct bg_limiter *lim,
    struct bg_limiter_entry *entry, uint64_t now_us);
/** Starts or queues a call, or rejects it. A rejected entry is not kept. */
enum bg_limiter_admission bg_limiter_acquire(
    struct bg_limiter *lim, struct bg_limiter_entry *entry, uint64_t now_us);
/**
 * Removes an entry, running or queued. Does nothing for any other entry.
 *
 * @param sample counted if the entry was running
 */
void bg_limiter_release(struct bg_limiter *lim, struct bg_limiter_entry *entry,
    uint64_t now_us, enum bg_limiter_sample sample);
/**
 * Starts the next queued entry if a slot is free.
 *
 * @return the entry, or NULL
 */
struct bg_limiter_entry *bg_limiter_start_next(
    struct bg_limiter *lim, uint64_t now_us);
/**
 * Finds a queued entry that is no longer expected to start in time, since later
 * calls have overtaken it; in a standing queue, also one that is expected to
 * miss its target. The caller refuses it at once.
 *
 * @return the entry, or NULL
 */
struct bg_limiter_entry *bg_limiter_find_infeasible(
    const struct bg_limiter *lim, uint64_t now_us);
/** Time until the next queued call may start if slots are free and only the
 * warm-up of the server holds it back; 0: no queued call waits for that. */
uint64_t bg_limiter_warmup_wait_us(
    const struct bg_limiter *lim, uint64_t now_us);
/** Expected wait of a call at the end of the queue, in microseconds. */
uint64_t bg_limiter_wait_us(const struct bg_limiter *lim, uint64_t now_us);
/** Expected service time of a call of a route, in microseconds; 0: unknown. */
uint64_t bg_limiter_service_us(const struct bg_limiter *lim, const char *route);
/** Ratio of failures among recent responses, in permille. */
uint32_t bg_limiter_failure_permille(
    const struct bg_limiter *lim, uint64_t now_us);

#endif
