#include "queue.h"

/* A queue that has not emptied for this long is a standing queue. Bursts that
 * calls can wait out within their deadlines are shorter. */
#define STANDING_QUEUE_US 2000000
/* Multiple of its expected service time that a call with a target keeps for
 * running. Service times vary: with the mean alone, about four calls in ten
 * would be late. */
#define SERVICE_RESERVE 2.0

static int
is_standing(const struct bg_queue *q, uint64_t now_us)
{
	return q->since_us != 0 && now_us - q->since_us >= STANDING_QUEUE_US;
}

static uint64_t
effective_target_us(
    const struct bg_queue *q, const struct bg_limiter_entry *e, uint64_t now_us)
{
	uint64_t age_us = is_standing(q, now_us) ? e->age_us : 0;

	return age_us < e->target_us ? e->target_us - age_us : 1;
}

/* 1 if a call that starts at the given time is expected to meet its target. */
static int
meets_target(const struct bg_queue *q, const struct bg_limiter_entry *e,
    uint64_t start_us, uint64_t now_us)
{
	return e->target_us == 0 ||
	    start_us + e->service_us <= effective_target_us(q, e, now_us);
}

/* Longest wait of a call with a target that is this far away. Where the target
 * is tight, the wait takes up to half of the time that running leaves. */
static uint64_t
allowed_wait_us(uint64_t left_us, uint64_t service_us)
{
	uint64_t reserve_us = (uint64_t)((double)service_us * SERVICE_RESERVE);
	uint64_t wait_us = left_us > reserve_us ? left_us - reserve_us : 0;
	uint64_t half_us =
	    left_us > service_us ? (left_us - service_us) / 2 : 0;

	return wait_us > half_us ? wait_us : half_us;
}

static int
starts_in_time(const struct bg_queue *q, const struct bg_limiter_entry *e,
    uint64_t start_us, uint64_t now_us)
{
	uint64_t target_us;

	if (start_us > e->latest_start_us)
		return 0;
	if (e->is_dependency || e->target_us == 0)
		return 1;
	target_us = effective_target_us(q, e, now_us);
	return target_us > now_us &&
	    start_us - now_us <=
	    allowed_wait_us(target_us - now_us, e->service_us);
}

static int
is_same_level(
    const struct bg_limiter_entry *a, const struct bg_limiter_entry *b)
{
	return a->is_dependency == b->is_dependency &&
	    a->priority == b->priority;
}

/* 1 if a is linked before b. Equal entries stay in order of arrival. */
static int
is_before(const struct bg_limiter_entry *a, const struct bg_limiter_entry *b)
{
	if (a->is_dependency != b->is_dependency)
		return a->is_dependency;
	if (a->priority != b->priority)
		return a->priority < b->priority;
	return a->target_us < b->target_us;
}

static const char *
organisation_of(const struct bg_limiter_entry *e)
{
	return e->organisation == NULL ? "" : e->organisation;
}

static struct bg_fair_flow *
flow_of(struct bg_queue *q, const struct bg_limiter_entry *e)
{
	return bg_fair_share_flow(&q->fair, organisation_of(e), e->priority);
}

static uint64_t
cost_us(const struct bg_limiter_entry *e)
{
	return e->cost_us != 0 ? e->cost_us : e->service_us;
}

void
bg_queue_charge(struct bg_queue *q, struct bg_limiter_entry *entry)
{
	if (entry->is_dependency)
		return;
	entry->charged_us = cost_us(entry);
	bg_fair_share_charge(&q->fair, flow_of(q, entry), entry->charged_us);
}

void
bg_queue_settle(
    struct bg_queue *q, const struct bg_limiter_entry *entry, uint64_t took_us)
{
	if (!entry->is_dependency)
		bg_fair_share_settle(&q->fair, organisation_of(entry),
		    entry->priority, entry->charged_us, took_us);
}

void
bg_queue_insert(
    struct bg_queue *q, struct bg_limiter_entry *entry, uint64_t now_us)
{
	struct bg_limiter_entry *prev = q->tail;

	while (prev != NULL && is_before(entry, prev))
		prev = prev->prev;
	entry->prev = prev;
	entry->next = prev == NULL ? q->head : prev->next;
	if (entry->prev != NULL)
		entry->prev->next = entry;
	else
		q->head = entry;
	if (entry->next != NULL)
		entry->next->prev = entry;
	else
		q->tail = entry;
	entry->is_queued = 1;
	entry->flow = NULL;
	if (!entry->is_dependency) {
		entry->flow = flow_of(q, entry);
		entry->flow->queued++;
	}
	if (q->length++ == 0)
		q->since_us = now_us;
}

void
bg_queue_remove(struct bg_queue *q, struct bg_limiter_entry *entry)
{
	if (entry->prev != NULL)
		entry->prev->next = entry->next;
	else
		q->head = entry->next;
	if (entry->next != NULL)
		entry->next->prev = entry->prev;
	else
		q->tail = entry->prev;
	entry->prev = entry->next = NULL;
	entry->is_queued = 0;
	if (entry->flow != NULL)
		entry->flow->queued--;
	entry->flow = NULL;
	if (--q->length == 0)
		q->since_us = 0;
}

/* 1 if all entries of a level are of one organisation, or are dependencies:
 * their order is that of the list. */
static int
is_of_one_flow(const struct bg_limiter_entry *first)
{
	const struct bg_limiter_entry *e;

	for (e = first; e != NULL && is_same_level(e, first); e = e->next) {
		if (e->flow != first->flow)
			return 0;
	}
	return 1;
}

static void
assign_virtual_starts(struct bg_limiter_entry *first, int is_on_time)
{
	struct bg_limiter_entry *e;

	for (e = first; e != NULL && is_same_level(e, first); e = e->next) {
		if (e->is_on_time != is_on_time)
			continue;
		e->virtual_us = e->flow->next_us;
		e->flow->next_us += cost_us(e);
	}
}

/* Computes in which order the entries of a level would be served. */
static void
order_level(
    const struct bg_queue *q, struct bg_limiter_entry *first, uint64_t now_us)
{
	struct bg_limiter_entry *e;

	for (e = first; e != NULL && is_same_level(e, first); e = e->next) {
		e->is_on_time = meets_target(q, e, now_us, now_us);
		e->flow->next_us = bg_fair_share_start_us(&q->fair, e->flow);
	}
	assign_virtual_starts(first, 1);
	assign_virtual_starts(first, 0);
}

/* 1 if a is served before b, which follows it in the list. */
static int
is_served_before(
    const struct bg_limiter_entry *a, const struct bg_limiter_entry *b)
{
	if (a->is_on_time != b->is_on_time)
		return a->is_on_time;
	return a->virtual_us <= b->virtual_us;
}

/* Merges two lists linked by order_next, of which the entries of a precede
 * those of b in the queue. */
static struct bg_limiter_entry *
merge(struct bg_limiter_entry *a, struct bg_limiter_entry *b)
{
	struct bg_limiter_entry *first = NULL;
	struct bg_limiter_entry **end = &first;
	struct bg_limiter_entry **from;

	while (a != NULL && b != NULL) {
		from = is_served_before(a, b) ? &a : &b;
		*end = *from;
		end = &(*from)->order_next;
		*from = *end;
	}
	*end = a != NULL ? a : b;
	return first;
}

/* Sorts the first n entries of a part of the queue by their order of service.
 * @return the first one, linked by order_next */
static struct bg_limiter_entry *
sort(struct bg_limiter_entry *first, uint32_t n)
{
	struct bg_limiter_entry *half = first;
	uint32_t i;

	if (n == 1) {
		first->order_next = NULL;
		return first;
	}
	for (i = 0; i < n / 2; i++)
		half = half->next;
	return merge(sort(first, n / 2), sort(half, n - n / 2));
}

static void
rank_level(struct bg_limiter_entry *first)
{
	struct bg_limiter_entry *e;
	uint32_t n = 0;

	for (e = first; e != NULL && is_same_level(e, first); e = e->next)
		n++;
	e = sort(first, n);
	for (n = 0; e != NULL; e = e->order_next)
		e->rank = n++;
}

/* Filter that all entries pass. */
static int
is_any(const void *arg, const struct bg_limiter_entry *entry)
{
	return 1;
}

static struct bg_limiter_entry *
next_by_target(const struct bg_queue *q, bg_queue_filter filter,
    const void *arg, uint64_t now_us)
{
	struct bg_limiter_entry *first = NULL;
	struct bg_limiter_entry *e;

	for (e = q->head; e != NULL && is_same_level(e, q->head); e = e->next) {
		if (!filter(arg, e))
			continue;
		if (meets_target(q, e, now_us, now_us))
			return e;
		if (first == NULL)
			first = e;
	}
	return first;
}

struct bg_limiter_entry *
bg_queue_next_of(const struct bg_queue *q, bg_queue_filter filter,
    const void *arg, uint64_t now_us)
{
	struct bg_limiter_entry *best = NULL;
	struct bg_limiter_entry *e;

	if (q->head == NULL || is_of_one_flow(q->head))
		return next_by_target(q, filter, arg, now_us);
	order_level(q, q->head, now_us);
	for (e = q->head; e != NULL && is_same_level(e, q->head); e = e->next) {
		if (filter(arg, e) &&
		    (best == NULL || !is_served_before(best, e)))
			best = e;
	}
	return best;
}

struct bg_limiter_entry *
bg_queue_next(const struct bg_queue *q, uint64_t now_us)
{
	return bg_queue_next_of(q, is_any, NULL, now_us);
}

void
bg_queue_record_choice(
    struct bg_queue *q, const struct bg_limiter_entry *entry, uint64_t now_us)
{
	const struct bg_limiter_entry *by_target =
	    next_by_target(q, is_any, NULL, now_us);

	q->passed_over += entry->flow != by_target->flow;
}

/* Entries of one level, which are served before those of the next level. */
struct level {
	int is_of_one_flow;
	uint32_t preceding;    /* entries of earlier levels */
	uint32_t on_time;      /* entries that can meet their target */
	uint32_t on_time_seen; /* of these, before the current entry */
	uint32_t late_seen;    /* other entries before the current one */
};

static void
level_begin(struct level *lvl, const struct bg_queue *q,
    struct bg_limiter_entry *first, uint64_t now_us)
{
	const struct bg_limiter_entry *e;

	lvl->preceding += lvl->on_time_seen + lvl->late_seen;
	lvl->on_time = lvl->on_time_seen = lvl->late_seen = 0;
	for (e = first; e != NULL && is_same_level(e, first); e = e->next)
		lvl->on_time += meets_target(q, e, now_us, now_us);
	lvl->is_of_one_flow = is_of_one_flow(first);
	if (!lvl->is_of_one_flow) {
		order_level(q, first, now_us);
		rank_level(first);
	}
}

/* Number of entries that are served before the next one of the level. */
static uint32_t
level_next(
    struct level *lvl, const struct bg_limiter_entry *entry, int is_on_time)
{
	uint32_t in_list =
	    is_on_time ? lvl->on_time_seen++ : lvl->on_time + lvl->late_seen++;

	return lvl->preceding + (lvl->is_of_one_flow ? in_list : entry->rank);
}

/* Finds an infeasible entry in one pass over the queue.
 * @param only NULL: any entry */
static struct bg_limiter_entry *
find_infeasible(const struct bg_queue *q, const struct bg_limiter_entry *only,
    uint64_t interval_us, uint64_t now_us)
{
	struct level lvl = {0};
	struct bg_limiter_entry *e;
	uint64_t start_us;
	uint32_t before;

	for (e = q->head; e != NULL; e = e->next) {
		if (e->prev == NULL || !is_same_level(e, e->prev))
			level_begin(&lvl, q, e, now_us);
		before =
		    level_next(&lvl, e, meets_target(q, e, now_us, now_us));
		start_us = now_us + interval_us * (1 + before);
		if ((only == NULL || only == e) &&
		    !starts_in_time(q, e, start_us, now_us))
			return e;
	}
	return NULL;
}

struct bg_limiter_entry *
bg_queue_find_infeasible(
    const struct bg_queue *q, uint64_t interval_us, uint64_t now_us)
{
	return find_infeasible(q, NULL, interval_us, now_us);
}

int
bg_queue_is_infeasible(const struct bg_queue *q,
    const struct bg_limiter_entry *entry, uint64_t interval_us, uint64_t now_us)
{
	return find_infeasible(q, entry, interval_us, now_us) != NULL;
}

uint64_t
bg_queue_useful_start_us(const struct bg_limiter_entry *entry, uint64_t now_us)
{
	uint64_t start_us;

	if (entry->is_dependency || entry->target_us <= now_us)
		return entry->latest_start_us;
	start_us = now_us +
	    allowed_wait_us(entry->target_us - now_us, entry->service_us);
	return start_us < entry->latest_start_us ? start_us
						 : entry->latest_start_us;
}

uint64_t
bg_queue_latest_start_us(const struct bg_limiter_entry *entry)
{
	uint64_t start_us;

	if (entry->is_dependency || entry->target_us == 0)
		return entry->latest_start_us;
	start_us = entry->target_us > entry->service_us
	    ? entry->target_us - entry->service_us
	    : 0;
	return start_us < entry->latest_start_us ? start_us
						 : entry->latest_start_us;
}
