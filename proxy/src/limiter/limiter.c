#include <stdio.h>
#include <string.h>

#include "limiter.h"

/* The limit is cut by a fifth on a sign of overload and grows by one for each
 * `limit` good calls, as in additive increase, multiplicative decrease. */
#define CUT 0.8
/* One overload shows on many answers at once; it counts once. */
#define CUT_INTERVAL_US 100000
/* Calls that are on average this many times slower than unloaded ones are a
 * sign of overload. */
#define SLOW_FACTOR 4.0
/* Below this the ratio of two times is noise of the scheduler. */
#define SLOW_FLOOR_US 20000.0
#define AVERAGE_WEIGHT 0.1
/* Lets the unloaded time follow a server that became slower for good. */
#define BEST_WEIGHT 0.01

void
bg_limiter_init(struct bg_limiter *out, uint32_t slots)
{
	memset(out, 0, sizeof(*out));
	out->slots = slots == 0 ? 1 : slots;
	out->limit = out->slots;
	out->slowness = 1;
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

static uint32_t
allowed(const struct bg_limiter *lim)
{
	return lim->limit < 1 ? 1 : (uint32_t)lim->limit;
}

static void
unlink_entry(struct bg_limiter *lim, struct bg_limiter_entry *entry)
{
	if (entry->prev != NULL)
		entry->prev->next = entry->next;
	else
		lim->head = entry->next;
	if (entry->next != NULL)
		entry->next->prev = entry->prev;
	else
		lim->tail = entry->prev;
	entry->prev = entry->next = NULL;
	entry->is_queued = 0;
	lim->queued--;
}

/* Orders by criticality, then by arrival. */
static void
link_entry(struct bg_limiter *lim, struct bg_limiter_entry *entry)
{
	struct bg_limiter_entry *after = lim->tail;

	while (after != NULL && after->criticality < entry->criticality)
		after = after->prev;
	entry->prev = after;
	entry->next = after == NULL ? lim->head : after->next;
	if (entry->next != NULL)
		entry->next->prev = entry;
	else
		lim->tail = entry;
	if (after != NULL)
		after->next = entry;
	else
		lim->head = entry;
	entry->is_queued = 1;
	lim->queued++;
}

static void
start(struct bg_limiter *lim, struct bg_limiter_entry *entry, uint64_t now_us)
{
	entry->is_running = 1;
	entry->started_us = now_us;
	lim->running++;
}

static uint64_t
wait_behind_us(const struct bg_limiter *lim, uint32_t ahead)
{
	return (uint64_t)(lim->service_us * (ahead + 1) / allowed(lim));
}

uint64_t
bg_limiter_wait_us(const struct bg_limiter *lim)
{
	return wait_behind_us(lim, lim->queued);
}

static uint32_t
count_ahead(const struct bg_limiter *lim, enum bg_criticality criticality)
{
	const struct bg_limiter_entry *e;
	uint32_t n = 0;

	for (e = lim->head; e != NULL && e->criticality >= criticality;
	     e = e->next)
		n++;
	return n;
}

enum bg_limiter_verdict
bg_limiter_enter(struct bg_limiter *lim, struct bg_limiter_entry *entry,
    uint64_t now_us, struct bg_limiter_entry **out_refused)
{
	struct bg_limiter_entry *last = lim->tail;
	uint64_t wait_us;

	*out_refused = NULL;
	entry->prev = entry->next = NULL;
	entry->is_queued = entry->is_running = 0;
	if (entry->deadline_us <= now_us)
		return BG_LIMITER_TOO_LATE;
	if (lim->running < allowed(lim) && lim->queued == 0) {
		start(lim, entry, now_us);
		return BG_LIMITER_RUN;
	}
	wait_us = wait_behind_us(lim, count_ahead(lim, entry->criticality));
	if (now_us + wait_us + (uint64_t)lim->service_us > entry->deadline_us)
		return BG_LIMITER_TOO_LATE;
	if (lim->queued >= lim->slots * BG_LIMITER_QUEUE_FACTOR) {
		if (last == NULL || last->criticality >= entry->criticality)
			return BG_LIMITER_FULL;
		unlink_entry(lim, last);
		*out_refused = last;
	}
	link_entry(lim, entry);
	return BG_LIMITER_QUEUED;
}

static void
cut(struct bg_limiter *lim, uint64_t now_us, double floor)
{
	if (lim->limit <= floor ||
	    (lim->last_cut_us != 0 &&
		now_us - lim->last_cut_us < CUT_INTERVAL_US))
		return;
	lim->last_cut_us = now_us;
	lim->limit *= CUT;
	if (lim->limit < floor)
		lim->limit = floor;
}

static void
grow(struct bg_limiter *lim)
{
	lim->limit += 1 / lim->limit;
	if (lim->limit > lim->slots)
		lim->limit = lim->slots;
}

/* Slowness alone may have another cause than load, such as a bad version or a
 * large request; it never takes more than half of the slots. */
static double
slow_floor(const struct bg_limiter *lim)
{
	return lim->slots < 2 ? 1 : lim->slots / 2.0;
}

static struct bg_limiter_route *
find_route(struct bg_limiter *lim, const char *name)
{
	size_t i;

	for (i = 0; i < BG_ROUTES_MAX; i++) {
		if (lim->routes[i].name[0] == '\0')
			snprintf(
			    lim->routes[i].name, BG_NAME_BYTES, "%s", name);
		if (strcmp(lim->routes[i].name, name) == 0)
			return &lim->routes[i];
	}
	return NULL;
}

/* Routes differ in their normal time; each is compared with its own best. */
static void
sample_slowness(struct bg_limiter *lim, const char *name, double own_us)
{
	struct bg_limiter_route *route = find_route(lim, name);
	double ratio;

	if (route == NULL)
		return;
	if (route->best_us == 0 || own_us < route->best_us)
		route->best_us = own_us < 1 ? 1 : own_us;
	else
		route->best_us += (own_us - route->best_us) * BEST_WEIGHT;
	ratio = own_us < SLOW_FLOOR_US ? 1 : own_us / route->best_us;
	lim->slowness += (ratio - lim->slowness) * AVERAGE_WEIGHT;
}

static void
take_sample(struct bg_limiter *lim, const struct bg_limiter_entry *entry,
    uint64_t now_us, uint64_t own_us)
{
	double took_us = (double)(now_us - entry->started_us);

	if (lim->service_us == 0)
		lim->service_us = took_us;
	lim->service_us += (took_us - lim->service_us) * AVERAGE_WEIGHT;
	sample_slowness(lim, entry->route, (double)own_us);
	if (lim->slowness <= SLOW_FACTOR)
		grow(lim);
	else if (lim->running >= allowed(lim))
		cut(lim, now_us, slow_floor(lim));
}

void
bg_limiter_leave(struct bg_limiter *lim, struct bg_limiter_entry *entry,
    uint64_t now_us, uint64_t own_us, enum bg_limiter_sample sample)
{
	if (entry->is_queued)
		unlink_entry(lim, entry);
	if (!entry->is_running)
		return;
	if (sample == BG_LIMITER_OK)
		take_sample(lim, entry, now_us, own_us);
	else if (sample == BG_LIMITER_SHED)
		cut(lim, now_us, 1);
	else if (sample == BG_LIMITER_LATE)
		cut(lim, now_us, slow_floor(lim));
	entry->is_running = 0;
	lim->running--;
}

struct bg_limiter_entry *
bg_limiter_next(struct bg_limiter *lim, uint64_t now_us)
{
	struct bg_limiter_entry *entry = lim->head;

	if (entry == NULL || lim->running >= allowed(lim))
		return NULL;
	unlink_entry(lim, entry);
	start(lim, entry, now_us);
	return entry;
}
