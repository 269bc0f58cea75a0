#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "candidates.h"

/* Part of the slots that a server gets at the start of the slow start. */
#define SLOW_START_FLOOR_PERMILLE 100
/* Time of a call before one was measured. */
#define SERVICE_DEFAULT_US 5000.0
#define DELAY_WEIGHT 0.2

struct bg_delay {
	char data_centre[BG_NAME_BYTES];
	double rtt_us;
	UT_hash_handle hh;
};

void
bg_router_init(struct bg_router *out, uint64_t seed)
{
	memset(out, 0, sizeof(*out));
	bg_rand_init(&out->rand, seed);
}

void
bg_router_free(struct bg_router *rtr)
{
	struct bg_delay *d;
	struct bg_delay *tmp;

	HASH_ITER(hh, rtr->delays, d, tmp)
	{
		HASH_DEL(rtr->delays, d);
		free(d);
	}
	bg_endpoints_free(&rtr->endpoints);
	free(rtr->scratch);
}

int
bg_router_delay(struct bg_router *rtr, const char *data_centre, uint64_t rtt_us)
{
	struct bg_delay *d;

	HASH_FIND_STR(rtr->delays, data_centre, d);
	if (d == NULL) {
		if ((d = calloc(1, sizeof(*d))) == NULL)
			return BG_ENOMEM;
		snprintf(
		    d->data_centre, sizeof(d->data_centre), "%s", data_centre);
		d->rtt_us = (double)rtt_us;
		HASH_ADD_STR(rtr->delays, data_centre, d);
	}
	d->rtt_us += ((double)rtt_us - d->rtt_us) * DELAY_WEIGHT;
	return 0;
}

static double
delay_us(const struct bg_router *rtr, const struct bg_candidate *cand)
{
	struct bg_delay *d;

	if (cand->is_local)
		return 0;
	HASH_FIND_STR(rtr->delays, cand->member->data_centre, d);
	return d == NULL ? BG_DELAY_DEFAULT_US : d->rtt_us;
}

/* Slots that may be used now, in permille of one slot. */
static double
usable_slots(const struct bg_member *m, uint64_t wall_ms)
{
	double slots = m->slots == 0 ? 1 : m->slots;
	uint64_t age_ms;
	uint64_t permille;

	if (m->ready_since_ms == 0 || m->ready_since_ms > wall_ms)
		return slots;
	age_ms = wall_ms - m->ready_since_ms;
	if (age_ms >= BG_SLOW_START_MS)
		return slots;
	permille = SLOW_START_FLOOR_PERMILLE +
	    (1000 - SLOW_START_FLOOR_PERMILLE) * age_ms / BG_SLOW_START_MS;
	return slots * (double)permille / 1000;
}

/* Load in relation to the usable slots, with the call to be placed. */
static double
load_ratio(const struct bg_candidate *cand, const struct bg_pick_query *q)
{
	return (bg_endpoint_load(cand->endpoint, q->now_ms) + 1) /
	    usable_slots(cand->member, q->wall_ms);
}

/* Expected time of the call beyond its own processing. */
static double
cost_us(const struct bg_router *rtr, const struct bg_candidate *cand,
    const struct bg_pick_query *q)
{
	double service_us = cand->endpoint->service_us;

	if (service_us == 0)
		service_us = SERVICE_DEFAULT_US;
	return delay_us(rtr, cand) + service_us * load_ratio(cand, q);
}

/* Better of two chosen at random: close to the least loaded one, without all
 * nodes choosing the same server on the same stale report. */
static const struct bg_candidate *
better_of_two(struct bg_router *rtr, const struct bg_candidate *cands,
    size_t count, const struct bg_pick_query *q)
{
	size_t a = bg_rand_below(&rtr->rand, count);
	size_t b = bg_rand_below(&rtr->rand, count - 1);

	if (count == 1)
		return &cands[0];
	if (b >= a)
		b++;
	return cost_us(rtr, &cands[a], q) <= cost_us(rtr, &cands[b], q)
	    ? &cands[a]
	    : &cands[b];
}

/* Moves the candidates of the own data centre to the front. */
static size_t
partition_local(struct bg_candidate *cands, size_t count)
{
	struct bg_candidate tmp;
	size_t local = 0;
	size_t i;

	for (i = 0; i < count; i++) {
		if (!cands[i].is_local)
			continue;
		tmp = cands[local];
		cands[local++] = cands[i];
		cands[i] = tmp;
	}
	return local;
}

static const struct bg_candidate *
choose(struct bg_router *rtr, struct bg_candidate *cands, size_t count,
    const struct bg_pick_query *q)
{
	size_t local = partition_local(cands, count);
	const struct bg_candidate *near = NULL;
	const struct bg_candidate *far;

	if (local > 0)
		near = better_of_two(rtr, cands, local, q);
	if (near != NULL &&
	    (local == count || load_ratio(near, q) * 1000 <= BG_SPILL_PERMILLE))
		return near;
	far = better_of_two(rtr, cands + local, count - local, q);
	if (near == NULL)
		return far;
	return cost_us(rtr, near, q) <= cost_us(rtr, far, q) ? near : far;
}

static int
reserve(struct bg_router *rtr, size_t count)
{
	struct bg_candidate *grown;

	if (rtr->scratch != NULL && count <= rtr->scratch_count)
		return 0;
	grown = realloc(rtr->scratch, count * sizeof(*grown));
	if (grown == NULL)
		return BG_ENOMEM;
	rtr->scratch = grown;
	rtr->scratch_count = count;
	return 0;
}

int
bg_router_pick(
    struct bg_pick *out, struct bg_router *rtr, const struct bg_pick_query *q)
{
	const struct bg_candidate *cand;
	struct bg_candidate *cands;
	size_t count;

	if (q->member_count == 0)
		return BG_ENOTFOUND;
	if (reserve(rtr, q->member_count) != 0)
		return BG_ENOMEM;
	cands = rtr->scratch;
	count = bg_candidates_select(cands, &out->is_new, rtr, q);
	if (count == 0)
		return BG_ENOTFOUND;
	cand = choose(rtr, cands, count, q);
	out->member = cand->member;
	out->endpoint = cand->endpoint;
	/* Without a server of the allowed version any other one serves; calls
	 * to the new version count against its share all the same. */
	if (q->service->head.move.state == BG_MOVE_IN_PROGRESS)
		out->is_new = strcmp(cand->member->server_version,
				  q->service->head.move.to) == 0;
	return 0;
}
