#include <math.h>
#include <stdio.h>
#include <string.h>

#include "reserve.h"

/* Time over which the rate of arrivals is averaged. */
#define RATE_WINDOW_US 3000000.0
/* Work is long beside work that takes this part of its time or less. */
#define LONG_FACTOR 3
/* Part by which an arrival changes the slack of its route. Single attempts that
 * come late do not make a route urgent. */
#define SLACK_WEIGHT 0.1

static struct bg_reserve_route *
find(const struct bg_reserve *rsv, const char *name, uint32_t priority)
{
	size_t i;

	for (i = 0; i < BG_RESERVE_ROUTES; i++) {
		if (rsv->routes[i].arrived_us != 0 &&
		    rsv->routes[i].priority == priority &&
		    strcmp(rsv->routes[i].name, name) == 0)
			return (struct bg_reserve_route *)&rsv->routes[i];
	}
	return NULL;
}

static struct bg_reserve_route *
find_or_replace(struct bg_reserve *rsv, const char *name, uint32_t priority)
{
	struct bg_reserve_route *oldest = NULL;
	struct bg_reserve_route *r = find(rsv, name, priority);
	size_t i;

	if (r != NULL)
		return r;
	for (i = 0; i < BG_RESERVE_ROUTES; i++) {
		r = &rsv->routes[i];
		if (oldest == NULL || r->arrived_us < oldest->arrived_us)
			oldest = r;
	}
	memset(oldest, 0, sizeof(*oldest));
	snprintf(oldest->name, sizeof(oldest->name), "%s", name);
	oldest->priority = priority;
	return oldest;
}

static double
decayed_rate(const struct bg_reserve_route *r, uint64_t now_us)
{
	return r->rate_per_us *
	    exp(-(double)(now_us - r->arrived_us) / RATE_WINDOW_US);
}

static double
slack_of(const struct bg_reserve_call *call)
{
	return call->target_us > call->service_us
	    ? (double)(call->target_us - call->service_us)
	    : 0;
}

void
bg_reserve_record_arrival(
    struct bg_reserve *rsv, const struct bg_reserve_call *call, uint64_t now_us)
{
	struct bg_reserve_route *r =
	    find_or_replace(rsv, call->route, call->priority);

	if (r->arrived_us == 0)
		r->slack_us = slack_of(call);
	r->slack_us += (slack_of(call) - r->slack_us) * SLACK_WEIGHT;
	r->rate_per_us = decayed_rate(r, now_us) + 1 / RATE_WINDOW_US;
	r->arrived_us = now_us;
	r->service_us = call->service_us;
}

void
bg_reserve_record_start(
    struct bg_reserve *rsv, const char *route, uint32_t priority)
{
	struct bg_reserve_route *r = find(rsv, route, priority);

	if (r != NULL)
		r->running++;
}

void
bg_reserve_record_end(
    struct bg_reserve *rsv, const char *route, uint32_t priority)
{
	struct bg_reserve_route *r = find(rsv, route, priority);

	if (r != NULL && r->running > 0)
		r->running--;
}

/* 1 if calls of the route come too late when they wait for the call's end. */
static int
is_urgent_beside(
    const struct bg_reserve_route *r, const struct bg_reserve_call *call)
{
	return r->arrived_us != 0 && r->priority <= call->priority &&
	    r->slack_us >= 1 && r->slack_us < (double)call->service_us &&
	    r->service_us != 0 &&
	    r->service_us <= call->service_us / LONG_FACTOR;
}

int
bg_reserve_is_for(const struct bg_reserve *rsv, const char *route,
    uint32_t priority, const struct bg_reserve_call *call)
{
	const struct bg_reserve_route *r = find(rsv, route, priority);

	return r != NULL && is_urgent_beside(r, call);
}

uint32_t
bg_reserve_slots(const struct bg_reserve *rsv,
    const struct bg_reserve_call *call, uint32_t slots, uint64_t now_us)
{
	const struct bg_reserve_route *r;
	double expected = 0;
	uint32_t running = 0;
	uint32_t reserved;
	size_t i;

	for (i = 0; i < BG_RESERVE_ROUTES; i++) {
		r = &rsv->routes[i];
		if (!is_urgent_beside(r, call))
			continue;
		expected += decayed_rate(r, now_us) * (double)r->service_us;
		running += r->running;
	}
	/* Rounded down, since a slot that is kept in vain costs long work. */
	reserved = (uint32_t)(expected + sqrt(expected));
	if (reserved > slots / 2)
		reserved = slots / 2;
	return reserved > running ? reserved - running : 0;
}
