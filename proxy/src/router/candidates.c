#include <string.h>

#include "candidates.h"

/* Which servers of the service are usable at all: the ready ones; if none is
 * left of less than half of the known ones, those that were marked dead. */
static int
is_live(const struct bg_member *m)
{
	return m->state == BG_MEMBER_READY && !m->is_dead;
}

static int
is_last_resort(const struct bg_member *m, uint64_t now_ms)
{
	return m->is_dead && m->state == BG_MEMBER_READY &&
	    now_ms - m->dead_observed_ms <= BG_DEAD_USABLE_MS;
}

static int
is_below_half(const struct bg_pick_query *q)
{
	size_t known = 0;
	size_t live = 0;
	size_t i;

	for (i = 0; i < q->member_count; i++) {
		live += is_live(&q->members[i]) != 0;
		known += is_live(&q->members[i]) ||
		    is_last_resort(&q->members[i], q->now_ms);
	}
	return live * 2 < known;
}

static int
was_tried(const struct bg_pick_query *q, const char *address)
{
	size_t i;

	for (i = 0; i < q->tried_count; i++) {
		if (strcmp(q->tried[i], address) == 0)
			return 1;
	}
	return 0;
}

static int
is_banned(const struct bg_pick_query *q, const char *version)
{
	return bg_breaker_is_banned(q->breaker, q->service->head.name, version,
	    q->service->head.move.generation);
}

/* Usable servers of a version; NULL stands for any that is not banned. Servers
 * that the call tried before count: a retry does not widen the choice of
 * versions. */
static size_t
count_version(const struct bg_pick_query *q, const char *version, int with_dead)
{
	const struct bg_member *m;
	size_t n = 0;
	size_t i;

	for (i = 0; i < q->member_count; i++) {
		m = &q->members[i];
		if (!is_live(m) && !(with_dead && is_last_resort(m, q->now_ms)))
			continue;
		if (version == NULL ? !is_banned(q, m->server_version)
				    : strcmp(version, m->server_version) == 0)
			n++;
	}
	return n;
}

/* A new version gets calls only while one of its servers has a free slot. */
static int
has_free_slot(struct bg_router *rtr, const struct bg_pick_query *q)
{
	const struct bg_member *m;
	const struct bg_endpoint *ep;
	size_t i;

	for (i = 0; i < q->member_count; i++) {
		m = &q->members[i];
		if (!is_live(m) || was_tried(q, m->address) ||
		    strcmp(m->server_version, q->service->head.move.to) != 0)
			continue;
		ep = bg_endpoint_get(&rtr->endpoints, m->address);
		if (ep != NULL && !bg_endpoint_is_ejected(ep, q->now_ms) &&
		    bg_endpoint_load(ep, q->now_ms) < m->slots)
			return 1;
	}
	return 0;
}

/* The version that the move allows for this call; NULL: any not banned. */
static const char *
allowed_version(struct bg_router *rtr, const struct bg_pick_query *q)
{
	const struct bg_move *move = &q->service->head.move;

	switch (move->state) {
	case BG_MOVE_IN_PROGRESS:
		if (!is_banned(q, move->to) &&
		    bg_share_allows(
			q->share, q->service->head.name, q->route, move) &&
		    has_free_slot(rtr, q))
			return move->to;
		return move->from;
	case BG_MOVE_DONE:
		return is_banned(q, move->to) ? NULL : move->to;
	case BG_MOVE_ROLLED_BACK:
		return move->from;
	default:
		return NULL;
	}
}

/* Keeps ejected servers out, at most half of the candidates: if more are
 * ejected, the fault is probably not theirs. */
static size_t
drop_ejected(struct bg_candidate *cands, size_t count, uint64_t now_ms)
{
	size_t may_drop = count / 2;
	size_t kept = 0;
	size_t i;

	for (i = 0; i < count; i++) {
		if (may_drop > 0 &&
		    bg_endpoint_is_ejected(cands[i].endpoint, now_ms)) {
			may_drop--;
			continue;
		}
		cands[kept++] = cands[i];
	}
	return kept;
}

static size_t
collect(struct bg_candidate *out, struct bg_router *rtr,
    const struct bg_pick_query *q, const char *version, int with_dead)
{
	const struct bg_member *m;
	struct bg_endpoint *ep;
	size_t n = 0;
	size_t i;

	for (i = 0; i < q->member_count; i++) {
		m = &q->members[i];
		if (with_dead ? !is_last_resort(m, q->now_ms) : !is_live(m))
			continue;
		if (version == NULL ? is_banned(q, m->server_version)
				    : strcmp(version, m->server_version) != 0)
			continue;
		if (was_tried(q, m->address) ||
		    (ep = bg_endpoint_get(&rtr->endpoints, m->address)) == NULL)
			continue;
		out[n].member = m;
		out[n].endpoint = ep;
		out[n].is_local = strcmp(m->data_centre, q->data_centre) == 0;
		n++;
	}
	return n;
}

size_t
bg_candidates_select(struct bg_candidate *out, int *out_is_new,
    struct bg_router *rtr, const struct bg_pick_query *q)
{
	const struct bg_move *move = &q->service->head.move;
	const char *version = allowed_version(rtr, q);
	int with_dead = is_below_half(q);
	size_t n;

	if (version != NULL && count_version(q, version, with_dead) == 0)
		version = NULL;
	n = collect(out, rtr, q, version, 0);
	if (n == 0 && with_dead)
		n = collect(out, rtr, q, version, 1);
	*out_is_new = move->state == BG_MOVE_IN_PROGRESS && version != NULL &&
	    strcmp(version, move->to) == 0;
	return drop_ejected(out, n, q->now_ms);
}
