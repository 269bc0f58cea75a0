#ifndef BG_PROXY_WORK_H
#define BG_PROXY_WORK_H

/** @file
 * What a backend server still has to do, as its gatekeeper estimates it: the
 * time that a call will hold a slot, the further time of one that runs, and the
 * sum over all calls. Pure and of fixed size; the caller passes the time.
 *
 * The time that a call holds a slot is its cost x the server's speed x the
 * present slowness of its machine x a ratio, whose distribution is kept for
 * each route. The ratio also contains the calls that a request makes.
 */

#include <stdint.h>

#include "pace.h"
#include "shape.h"

/** Routes whose distributions are kept apart. */
#define BG_WORK_ROUTES 16

struct bg_work_route {
	uint64_t tag; /**< hash of the name; 0: free */
	uint64_t last_use;
	double cost_us; /**< mean expected cost of its calls */
	struct bg_shape shape;
};

/** Zeroed: nothing is known. */
struct bg_work {
	struct bg_pace pace;
	struct bg_work_route routes[BG_WORK_ROUTES];
	uint64_t uses;
	uint32_t waiting; /**< calls that waited at the server at load_ms */
	uint64_t load_ms; /**< time of its last load report; 0: never */
};

/** A call that was answered. */
struct bg_work_sample {
	const char *route;
	uint32_t cost_us; /**< expected own time at a usual server; ignored if
			       0 */
	uint64_t own_us;  /**< without the calls that the request made */
	uint64_t slot_us; /**< with them */
	uint32_t slowness_permille; /**< mean while it ran */
};

/** 1 if the server reports its slowness; nothing is estimated for others. */
int bg_work_is_known(const struct bg_work *wrk);
void bg_work_record(struct bg_work *wrk, const struct bg_work_sample *smp);
/** Time that a call which starts now will hold a slot, in microseconds.
 * @param name of the route, as in the functions below
 * @param cost_us 0: the mean of the route
 * @return 0 if unknown */
uint64_t bg_work_slot_us(const struct bg_work *wrk, const char *name,
    uint32_t cost_us, uint64_t now_ms);
/** The same for a mean call of the route, without the slowness. */
uint64_t bg_work_base_slot_us(const struct bg_work *wrk, const char *name);

/** Distribution of the ratio for a route; NULL while too little is known. */
const struct bg_shape *bg_work_shape(
    const struct bg_work *wrk, const char *name);

/** Sum over the calls of the server. */
struct bg_work_left {
	double total_us;
	double ends_per_us; /**< rate at which slots become free */
};

/** Adds a running call. @param elapsed_us since its start */
void bg_work_add_running(struct bg_work_left *sum, const struct bg_work *wrk,
    const char *name, uint32_t cost_us, uint64_t elapsed_us, uint64_t now_ms);
/** Adds a queued call. */
void bg_work_add_queued(struct bg_work_left *sum, const struct bg_work *wrk,
    const char *name, uint32_t cost_us, uint64_t now_ms);
/** Expected time between two starts while all slots are taken, in microseconds;
 * 0: unknown. */
uint64_t bg_work_start_interval_us(const struct bg_work_left *sum);

#endif
