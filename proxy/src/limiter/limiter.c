#include <math.h>
#include <stdio.h>
#include <string.h>

#include "limiter.h"

/* Additive increase, multiplicative decrease: the limit is multiplied by this
 * factor when the server sheds load, and grows by one for each `limit`
 * successful calls. */
#define DECREASE_FACTOR 0.8
/* One overload shows in many responses at once; it decreases the limit once. */
#define DECREASE_INTERVAL_US 100000
/* The limit never falls below this part of the slots. */
#define LIMIT_MIN_SHARE 0.5
/* A server that sheds calls while at most this part of its slots is in use does
 * so regardless of its load, and fewer calls would not help it: the limit is
 * restored and not decreased for LOW_LOAD_SHED_US. The part is below
 * LIMIT_MIN_SHARE, so that a server held at the lowest limit is not mistaken
 * for one at low load. */
#define LOW_LOAD_SHARE 0.34
#define LOW_LOAD_SHED_US 2000000
#define EWMA_WEIGHT 0.1
/* Assumed service time until one was measured. */
#define DEFAULT_SERVICE_US 50000.0
/* Half-life of the failure ratio. It decays, so that a server that gets no
 * calls because of its failures is tried again. */
#define FAILURE_HALF_LIFE_US 2000000.0

void
bg_limiter_init(struct bg_limiter *out, uint32_t slots)
{
	memset(out, 0, sizeof(*out));
	out->slots = slots == 0 ? 1 : slots;
	out->limit = out->slots;
}

void
bg_limiter_set_slots(struct bg_limiter *lim, uint32_t slots)
{
	if (slots == 0 || slots == lim->slots)
		return;
	if (lim->limit >= lim->slots || lim->limit > slots)
		lim->limit = slots;
	lim->slots = slots;
}

void
bg_limiter_reset(struct bg_limiter *lim)
{
	lim->limit = lim->slots;
	lim->service_us = 0;
	lim->failure_ratio = 0;
	lim->low_load_shed_us = 0;
	lim->start_interval_us = 0;
	memset(lim->routes, 0, sizeof(lim->routes));
}

static uint32_t
running_limit(const struct bg_limiter *lim)
{
	return lim->limit < 1 ? 1 : (uint32_t)lim->limit;
}

static int
is_within(uint64_t then_us, uint64_t span_us, uint64_t now_us)
{
	return then_us != 0 && now_us - then_us < span_us;
}

static const struct bg_limiter_route *
find_route(const struct bg_limiter *lim, const char *route)
{
	size_t i;

	for (i = 0; i < BG_LIMITER_ROUTES; i++) {
		if (strcmp(lim->routes[i].name, route) == 0)
			return &lim->routes[i];
	}
	return NULL;
}

uint64_t
bg_limiter_service_us(const struct bg_limiter *lim, const char *route)
{
	const struct bg_limiter_route *r = find_route(lim, route);

	return (uint64_t)(r == NULL ? lim->service_us : r->service_us);
}

static uint64_t
entry_service_us(
    const struct bg_limiter *lim, const struct bg_limiter_entry *entry)
{
	return entry->own_service_us != 0
	    ? entry->own_service_us
	    : bg_limiter_service_us(lim, entry->route);
}

/* Expected time between two starts while calls have to wait for them. */
static uint64_t
start_interval_us(const struct bg_limiter *lim, uint64_t now_us)
{
	double service_us =
	    lim->service_us == 0 ? DEFAULT_SERVICE_US : lim->service_us;
	uint64_t slot_us = (uint64_t)(service_us / running_limit(lim));
	uint64_t warmup_us = bg_warmup_interval_us(&lim->warmup, now_us);

	if (lim->start_interval_us != 0)
		slot_us = lim->start_interval_us;
	return slot_us > warmup_us ? slot_us : warmup_us;
}

/* 1 if a call that comes now may start at once. At a cold server, those that
 * wait precede it. */
static int
may_start(const struct bg_limiter *lim, uint64_t now_us)
{
	if (lim->running >= running_limit(lim))
		return 0;
	return !bg_warmup_is_limited(&lim->warmup, now_us) ||
	    (lim->queue.length == 0 &&
		bg_warmup_may_start(&lim->warmup, now_us));
}

uint64_t
bg_limiter_warmup_wait_us(const struct bg_limiter *lim, uint64_t now_us)
{
	if (lim->queue.length == 0 || lim->running >= running_limit(lim))
		return 0;
	return bg_warmup_wait_us(&lim->warmup, now_us);
}

uint64_t
bg_limiter_wait_us(const struct bg_limiter *lim, uint64_t now_us)
{
	if (may_start(lim, now_us))
		return 0;
	if (lim->running < running_limit(lim))
		return bg_warmup_wait_us(&lim->warmup, now_us) +
		    start_interval_us(lim, now_us) * lim->queue.length;
	return start_interval_us(lim, now_us) * (lim->queue.length + 1);
}

static struct bg_reserve_call
reserve_call(const struct bg_limiter *lim, const struct bg_limiter_entry *entry,
    uint64_t now_us)
{
	struct bg_reserve_call call = {entry->route, entry->priority,
	    bg_limiter_service_us(lim, entry->route),
	    entry->target_us > now_us ? entry->target_us - now_us : 0};

	return call;
}

/* 1 if there is a slot for the call, beside those that are reserved for more
 * urgent ones. */
static int
has_slot(const struct bg_limiter *lim, const struct bg_limiter_entry *entry,
    uint64_t now_us)
{
	struct bg_reserve_call call;
	uint32_t limit = running_limit(lim);

	if (lim->running >= limit)
		return 0;
	if (entry->is_dependency)
		return 1;
	call = reserve_call(lim, entry, now_us);
	return lim->running +
	    bg_reserve_slots(&lim->reserve, &call, limit, now_us) <
	    limit;
}

/* A queued call that must not take the free slots, since they are reserved. */
struct held_call {
	const struct bg_limiter *lim;
	struct bg_reserve_call call;
	uint64_t now_us;
};

static int
may_pass(const void *arg, const struct bg_limiter_entry *entry)
{
	const struct held_call *held = arg;

	return bg_reserve_is_for(&held->lim->reserve, entry->route,
		   entry->priority, &held->call) &&
	    has_slot(held->lim, entry, held->now_us);
}

/* 1 if there is a slot for a call that is not queued. While a queued call is
 * held back, the free slots are for calls that precede it by priority and for
 * those that they are reserved for. */
static int
can_start(const struct bg_limiter *lim, const struct bg_limiter_entry *entry,
    uint64_t now_us)
{
	const struct bg_limiter_entry *first;
	struct held_call held = {lim, {0}, now_us};

	if (!has_slot(lim, entry, now_us))
		return 0;
	if (lim->queue.length == 0 || entry->is_dependency)
		return 1;
	first = bg_queue_next(&lim->queue, now_us);
	if (entry->priority < first->priority || has_slot(lim, first, now_us))
		return 1;
	held.call = reserve_call(lim, first, now_us);
	return may_pass(&held, entry);
}

static void
start_entry(
    struct bg_limiter *lim, struct bg_limiter_entry *entry, uint64_t now_us)
{
	if (entry->service_us == 0)
		entry->service_us = bg_limiter_service_us(lim, entry->route);
	bg_queue_charge(&lim->queue, entry);
	bg_reserve_record_start(&lim->reserve, entry->route, entry->priority);
	entry->is_running = 1;
	entry->started_us = now_us;
	entry->running_at_start = ++lim->running;
	bg_warmup_start(&lim->warmup, now_us);
}

/* Queues a call unless it is not expected to start in time. */
static int
try_queue(
    struct bg_limiter *lim, struct bg_limiter_entry *entry, uint64_t now_us)
{
	entry->service_us = entry_service_us(lim, entry);
	bg_queue_insert(&lim->queue, entry, now_us);
	if (!bg_queue_is_infeasible(
		&lim->queue, entry, start_interval_us(lim, now_us), now_us))
		return 1;
	bg_queue_remove(&lim->queue, entry);
	return 0;
}

enum bg_limiter_admission
bg_limiter_acquire(
    struct bg_limiter *lim, struct bg_limiter_entry *entry, uint64_t now_us)
{
	struct bg_reserve_call call = reserve_call(lim, entry, now_us);

	if (!entry->is_dependency)
		bg_reserve_record_arrival(&lim->reserve, &call, now_us);
	if (may_start(lim, now_us) && can_start(lim, entry, now_us)) {
		start_entry(lim, entry, now_us);
		return BG_LIMITER_STARTED;
	}
	return try_queue(lim, entry, now_us) ? BG_LIMITER_QUEUED
					     : BG_LIMITER_REJECTED;
}

int
bg_limiter_is_feasible(
    struct bg_limiter *lim, struct bg_limiter_entry *entry, uint64_t now_us)
{
	if (may_start(lim, now_us) && can_start(lim, entry, now_us))
		return 1;
	if (!try_queue(lim, entry, now_us))
		return 0;
	bg_queue_remove(&lim->queue, entry);
	return 1;
}

uint64_t
bg_limiter_useful_start_us(const struct bg_limiter *lim,
    struct bg_limiter_entry *entry, uint64_t now_us)
{
	entry->service_us = entry_service_us(lim, entry);
	return bg_queue_useful_start_us(entry, now_us);
}

static void
update_ewma(double *mean, double sample)
{
	*mean = *mean == 0 ? sample : *mean + (sample - *mean) * EWMA_WEIGHT;
}

static void
record_service_time(struct bg_limiter *lim, const char *route, uint64_t took_us)
{
	struct bg_limiter_route *r =
	    (struct bg_limiter_route *)find_route(lim, route);

	if (r == NULL)
		r = (struct bg_limiter_route *)find_route(lim, "");
	/* The first route is evicted if the table is full. */
	if (r == NULL)
		r = &lim->routes[0];
	if (strcmp(r->name, route) != 0) {
		snprintf(r->name, sizeof(r->name), "%s", route);
		r->service_us = 0;
	}
	update_ewma(&r->service_us, (double)took_us);
	update_ewma(&lim->service_us, (double)took_us);
}

static double
decayed_failure_ratio(const struct bg_limiter *lim, uint64_t now_us)
{
	return lim->failure_ratio *
	    exp2(-(double)(now_us - lim->failure_ratio_us) /
		FAILURE_HALF_LIFE_US);
}

uint32_t
bg_limiter_failure_permille(const struct bg_limiter *lim, uint64_t now_us)
{
	return (uint32_t)(decayed_failure_ratio(lim, now_us) * 1000);
}

static void
record_result(struct bg_limiter *lim, uint64_t now_us, int is_failure)
{
	double share = decayed_failure_ratio(lim, now_us);

	lim->failure_ratio = share + ((is_failure != 0) - share) * EWMA_WEIGHT;
	lim->failure_ratio_us = now_us;
}

static void
decrease_limit(struct bg_limiter *lim, uint64_t now_us)
{
	if (is_within(lim->last_decrease_us, DECREASE_INTERVAL_US, now_us))
		return;
	lim->last_decrease_us = now_us;
	lim->limit *= DECREASE_FACTOR;
	if (lim->limit < lim->slots * LIMIT_MIN_SHARE)
		lim->limit = lim->slots * LIMIT_MIN_SHARE;
}

/* Decreases the limit unless the server sheds calls regardless of its load.
 * @param has_room the server reported a free slot */
static void
record_shed(struct bg_limiter *lim, const struct bg_limiter_entry *e,
    int has_room, uint64_t now_us)
{
	uint32_t running = lim->running + 1;

	if (running < e->running_at_start)
		running = e->running_at_start;
	record_result(lim, now_us, 1);
	if (has_room || running <= lim->slots * LOW_LOAD_SHARE) {
		lim->low_load_shed_us = now_us;
		lim->limit = lim->slots;
	}
	if (!is_within(lim->low_load_shed_us, LOW_LOAD_SHED_US, now_us))
		decrease_limit(lim, now_us);
}

static void
increase_limit(struct bg_limiter *lim)
{
	lim->limit += 1 / lim->limit;
	if (lim->limit > lim->slots)
		lim->limit = lim->slots;
}

void
bg_limiter_release(struct bg_limiter *lim, struct bg_limiter_entry *entry,
    uint64_t now_us, enum bg_limiter_sample sample)
{
	if (entry->is_queued) {
		bg_queue_remove(&lim->queue, entry);
		return;
	}
	if (!entry->is_running)
		return;
	entry->is_running = 0;
	lim->running--;
	bg_reserve_record_end(&lim->reserve, entry->route, entry->priority);
	bg_queue_settle(&lim->queue, entry, now_us - entry->started_us);
	switch (sample) {
	case BG_LIMITER_OK:
		record_service_time(
		    lim, entry->route, now_us - entry->started_us);
		record_result(lim, now_us, 0);
		increase_limit(lim);
		break;
	case BG_LIMITER_FAILED:
		record_result(lim, now_us, 1);
		break;
	case BG_LIMITER_SHED:
	case BG_LIMITER_SHED_WITH_ROOM:
		record_shed(
		    lim, entry, sample == BG_LIMITER_SHED_WITH_ROOM, now_us);
		break;
	case BG_LIMITER_IGNORED:
		break;
	}
}

/* The queued call to start next, if there is a slot for one. */
static struct bg_limiter_entry *
next_startable(struct bg_limiter *lim, uint64_t now_us)
{
	struct bg_limiter_entry *first = bg_queue_next(&lim->queue, now_us);
	struct held_call held = {lim, {0}, now_us};

	if (has_slot(lim, first, now_us))
		return first;
	lim->held_back++;
	held.call = reserve_call(lim, first, now_us);
	return bg_queue_next_of(&lim->queue, may_pass, &held, now_us);
}

struct bg_limiter_entry *
bg_limiter_start_next(struct bg_limiter *lim, uint64_t now_us)
{
	struct bg_limiter_entry *entry;

	if (lim->queue.length == 0 || lim->running >= running_limit(lim) ||
	    !bg_warmup_may_start(&lim->warmup, now_us) ||
	    (entry = next_startable(lim, now_us)) == NULL)
		return NULL;
	bg_queue_record_choice(&lim->queue, entry, now_us);
	bg_queue_remove(&lim->queue, entry);
	start_entry(lim, entry, now_us);
	return entry;
}

struct bg_limiter_entry *
bg_limiter_find_infeasible(const struct bg_limiter *lim, uint64_t now_us)
{
	return bg_queue_find_infeasible(
	    &lim->queue, start_interval_us(lim, now_us), now_us);
}
