#include <stddef.h>
#include <string.h>
#include <xxhash.h>

#include "work.h"

/* Weight of a call in the mean cost of its route. */
#define COST_WEIGHT 0.05

static uint64_t
route_tag(const char *route)
{
	return XXH64(route, strlen(route), 0) | 1;
}

static const struct bg_work_route *
find_route(const struct bg_work *wrk, const char *route)
{
	uint64_t tag = route_tag(route);
	size_t i;

	for (i = 0; i < BG_WORK_ROUTES; i++) {
		if (wrk->routes[i].tag == tag)
			return &wrk->routes[i];
	}
	return NULL;
}

/* Finds a route, or replaces the one that was used least recently. */
static struct bg_work_route *
get_route(struct bg_work *wrk, const char *name)
{
	struct bg_work_route *route =
	    (struct bg_work_route *)find_route(wrk, name);
	size_t i;

	if (route == NULL) {
		route = &wrk->routes[0];
		for (i = 1; i < BG_WORK_ROUTES; i++) {
			if (wrk->routes[i].last_use < route->last_use)
				route = &wrk->routes[i];
		}
		memset(route, 0, sizeof(*route));
		route->tag = route_tag(name);
	}
	route->last_use = ++wrk->uses;
	return route;
}

int
bg_work_is_known(const struct bg_work *wrk)
{
	return wrk->pace.slowness.permille != 0;
}

/* Time of a unit of cost here, without the ratio of the route. */
static double
present_pace(const struct bg_work *wrk, uint64_t now_ms)
{
	return bg_pace_speed(&wrk->pace) *
	    bg_slowness_permille(&wrk->pace.slowness, now_ms) /
	    BG_SLOWNESS_USUAL_PERMILLE;
}

void
bg_work_record(struct bg_work *wrk, const struct bg_work_sample *smp)
{
	struct bg_work_route *route;
	double expected_us;

	if (smp->cost_us == 0 || smp->slowness_permille == 0)
		return;
	route = get_route(wrk, smp->route);
	if (route->cost_us == 0)
		route->cost_us = smp->cost_us;
	route->cost_us += (smp->cost_us - route->cost_us) * COST_WEIGHT;
	expected_us = smp->cost_us * bg_pace_speed(&wrk->pace) *
	    smp->slowness_permille / BG_SLOWNESS_USUAL_PERMILLE;
	bg_shape_record(&route->shape, (double)smp->slot_us / expected_us);
	bg_pace_record(&wrk->pace, smp->cost_us, smp->own_us,
	    (double)smp->slowness_permille);
}

/* Unit of the route's distribution for one call, in microseconds; 0: unknown.
 */
static double
unit_us(const struct bg_work *wrk, const struct bg_work_route *route,
    uint32_t cost_us, uint64_t now_ms)
{
	double mean_us = route == NULL ? 0 : route->cost_us;

	return (cost_us == 0 ? mean_us : cost_us) * present_pace(wrk, now_ms);
}

uint64_t
bg_work_slot_us(const struct bg_work *wrk, const char *name, uint32_t cost_us,
    uint64_t now_ms)
{
	const struct bg_work_route *route = find_route(wrk, name);
	double us = unit_us(wrk, route, cost_us, now_ms);

	return (
	    uint64_t)(route == NULL ? us : us * bg_shape_mean(&route->shape));
}

uint64_t
bg_work_base_slot_us(const struct bg_work *wrk, const char *name)
{
	const struct bg_work_route *route = find_route(wrk, name);

	if (route == NULL)
		return 0;
	return (uint64_t)(route->cost_us * bg_pace_speed(&wrk->pace) *
	    bg_shape_mean(&route->shape));
}

const struct bg_shape *
bg_work_shape(const struct bg_work *wrk, const char *name)
{
	const struct bg_work_route *route = find_route(wrk, name);

	return route != NULL && bg_shape_is_known(&route->shape) ? &route->shape
								 : NULL;
}

void
bg_work_add_running(struct bg_work_left *sum, const struct bg_work *wrk,
    const char *name, uint32_t cost_us, uint64_t elapsed_us, uint64_t now_ms)
{
	const struct bg_work_route *route = find_route(wrk, name);
	double unit = unit_us(wrk, route, cost_us, now_ms);
	double usual_us;
	double left_us;

	if (route == NULL || !(unit > 0))
		return;
	usual_us = unit * bg_shape_mean(&route->shape);
	left_us =
	    unit * bg_shape_residual(&route->shape, (double)elapsed_us / unit);
	sum->total_us += left_us;
	/* A slot is freed at its usual rate, whatever the age of its call,
	 * unless the call has run so long that more is left than at its start.
	 */
	sum->ends_per_us += 1 / (left_us > usual_us ? left_us : usual_us);
}

void
bg_work_add_queued(struct bg_work_left *sum, const struct bg_work *wrk,
    const char *name, uint32_t cost_us, uint64_t now_ms)
{
	sum->total_us += (double)bg_work_slot_us(wrk, name, cost_us, now_ms);
}

uint64_t
bg_work_start_interval_us(const struct bg_work_left *sum)
{
	return sum->ends_per_us > 0 ? (uint64_t)(1 / sum->ends_per_us) + 1 : 0;
}
