#ifndef BG_PROXY_QUEUE_H
#define BG_PROXY_QUEUE_H

/** @file
 * Queue of the calls that wait for a slot of one backend server: their order,
 * and which of them would wait in vain. No I/O; the caller passes the time.
 *
 * Dependency calls of running requests are served first, because their parents
 * hold slots until they are answered. The remaining calls are ordered by
 * priority. Within a priority, calls that can still meet their target time
 * precede those that cannot, and among the former the earliest target comes
 * first.
 *
 * A call with a target waits only as long as its answer will probably be on
 * time. If demand exceeds the throughput of the server, the number of refused
 * calls does not depend on which ones are served, so the slots go to those that
 * can be on time; a longer queue would only make them late as well.
 *
 * Organisations share a priority fairly (fair_share.h): among the calls that
 * can meet their target, and then among the others, the organisation that has
 * got the least is served next. The order by target holds within an
 * organisation.
 *
 * Callers retry after a refusal. In a short burst, the target of a retried call
 * counts from its retry, because its next refusal will be final. In a standing
 * queue it counts from its first attempt.
 */

#include <stddef.h>
#include <stdint.h>

#include "../fairness/fair_share.h"

/** A call at the limiter; embedded in the owner's struct. */
struct bg_limiter_entry {
	struct bg_limiter_entry *prev;
	struct bg_limiter_entry *next;
	const char *route;
	const char *organisation; /**< NULL or "": none */
	uint64_t cost_us;   /**< expected work of this call; 0: service_us */
	uint32_t priority;  /**< 0 is served first */
	int is_dependency;  /**< a running request waits for this call */
	uint64_t target_us; /**< time by which a response has full value;
				 0: none */
	uint64_t age_us;    /**< since the caller's first attempt */
	uint64_t latest_start_us; /**< a later start is useless */
	uint64_t service_us;	  /**< expected service time */
	uint64_t own_service_us;  /**< the same if the owner knows it better
				       than the route's mean; else 0 */
	uint64_t started_us;
	uint32_t running_at_start; /**< running calls, including this one */
	int is_queued;
	int is_running;
	struct bg_fair_flow *flow; /**< while queued; NULL for a dependency */
	uint64_t virtual_us; /**< virtual start, while the order is computed */
	uint64_t charged_us; /**< charged to the organisation at the start */
	int is_on_time;	     /**< while the order is computed */
	struct bg_limiter_entry *order_next; /**< while the order is computed */
	uint32_t rank; /**< in its level, while the order is computed */
};

struct bg_queue {
	struct bg_limiter_entry *head; /**< by priority, then target */
	struct bg_limiter_entry *tail;
	uint32_t length;
	uint64_t since_us; /**< not empty since; 0: it is empty */
	struct bg_fair_share fair;
	uint64_t passed_over; /**< starts for which fairness has chosen another
				 call than the order by target */
};

/** Adds an entry. */
void bg_queue_insert(
    struct bg_queue *q, struct bg_limiter_entry *entry, uint64_t now_us);
void bg_queue_remove(struct bg_queue *q, struct bg_limiter_entry *entry);
/** 1 if the entry may be chosen. */
typedef int (*bg_queue_filter)(
    const void *arg, const struct bg_limiter_entry *entry);

/** Entry to start next; NULL if the queue is empty. */
struct bg_limiter_entry *bg_queue_next(
    const struct bg_queue *q, uint64_t now_us);
/** The first one, in the same order, of those entries of the most urgent level
 * that pass the filter.
 * @return NULL if there is none */
struct bg_limiter_entry *bg_queue_next_of(const struct bg_queue *q,
    bg_queue_filter filter, const void *arg, uint64_t now_us);
/** Counts the start of a queued entry if the order by target gives one of
 * another organisation. Called before the entry is removed. */
void bg_queue_record_choice(
    struct bg_queue *q, const struct bg_limiter_entry *entry, uint64_t now_us);
/** Charges the organisation of an entry that starts, queued or not. */
void bg_queue_charge(struct bg_queue *q, struct bg_limiter_entry *entry);
/** Corrects the charge of an entry that has ended. */
void bg_queue_settle(
    struct bg_queue *q, const struct bg_limiter_entry *entry, uint64_t took_us);

/** A call that is not expected to start in time, because more urgent ones
 * precede it or the server has become slower.
 * @param interval_us expected time between two starts
 * @return NULL if there is none */
struct bg_limiter_entry *bg_queue_find_infeasible(
    const struct bg_queue *q, uint64_t interval_us, uint64_t now_us);
/** 1 if a queued entry is not expected to start in time. */
int bg_queue_is_infeasible(const struct bg_queue *q,
    const struct bg_limiter_entry *entry, uint64_t interval_us,
    uint64_t now_us);
/** Latest start at which the answer of a call will probably be on time; for a
 * call whose target has passed, the latest at all. */
uint64_t bg_queue_useful_start_us(
    const struct bg_limiter_entry *entry, uint64_t now_us);
/** Time after which it is useless that a call still waits. */
uint64_t bg_queue_latest_start_us(const struct bg_limiter_entry *entry);

#endif
