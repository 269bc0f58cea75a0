#include <math.h>
#include <string.h>

#include "finish.h"
#include "router.h"
#include "value.h"

/* Service time assumed before any was reported, as a share of the time left
 * until the deadline. */
#define SERVICE_DEFAULT_SHARE 0.25
/* Smaller differences in value are noise of the estimates. The pick among such
 * servers is random, so that nodes do not all pick the same one. */
#define VALUE_NOISE 0.01
/* Subtracted from the value of a server that is cold or has no free slot. It
 * exceeds the noise, so that a free slot of a warm server is preferred even to
 * a very short queue. */
#define VALUE_QUEUE_PENALTY (2 * VALUE_NOISE)
/* The weight of a reported service time halves in this time, so that a server
 * that was slow is tried again. */
#define SERVICE_HALF_LIFE_MS 3000.0

void
bg_router_init(struct bg_router *out, uint64_t seed)
{
	memset(out, 0, sizeof(*out));
	bg_rand_init(&out->rand, seed);
}

void
bg_router_free(struct bg_router *rtr)
{
	bg_endpoints_free(&rtr->endpoints);
}

static int
is_avoided(const struct bg_pick_query *q, const char *address)
{
	size_t i;

	for (i = 0; i < q->avoid_count; i++) {
		if (strcmp(q->avoid[i], address) == 0)
			return 1;
	}
	return 0;
}

static int
has_bad_verdict(const struct bg_pick_query *q, const struct bg_member *m)
{
	return q->verdict_version != NULL && m->verdict == BG_VERDICT_BAD &&
	    m->verdict_generation == q->verdict_generation &&
	    strcmp(q->verdict_version, m->server_version) == 0;
}

/* Why a server may not get the call, whatever its state. */
static enum bg_exclusion
exclusion_of(const struct bg_pick_query *q, const struct bg_member *m)
{
	if (m->state != BG_MEMBER_READY)
		return BG_EXCLUSION_NOT_READY;
	if (is_avoided(q, m->address))
		return BG_EXCLUSION_AVOIDED;
	if (q->emptied != NULL &&
	    bg_emptied_set_contains(q->emptied, m->data_centre))
		return BG_EXCLUSION_EMPTIED;
	if (q->only_version != NULL &&
	    strcmp(q->only_version, m->server_version) != 0)
		return BG_EXCLUSION_VERSION;
	if (q->except_version != NULL &&
	    strcmp(q->except_version, m->server_version) == 0)
		return BG_EXCLUSION_VERSION;
	return has_bad_verdict(q, m) ? BG_EXCLUSION_BAD_VERDICT
				     : BG_EXCLUSION_NONE;
}

static int
is_reachable(const struct bg_pick_query *q, const struct bg_member *m)
{
	return q->is_reachable == NULL || q->is_reachable(q->arg, m->address);
}

/* Mean service time of the route's calls over the servers that reported one; 0:
 * unknown. @param except version that is excluded, or NULL */
static uint32_t
average_service_us(
    struct bg_router *rtr, const struct bg_pick_query *q, const char *except)
{
	const struct bg_endpoint *ep;
	uint64_t sum = 0;
	uint32_t us;
	uint32_t n = 0;
	size_t i;

	for (i = 0; i < q->member_count; i++) {
		if (except != NULL &&
		    strcmp(except, q->members[i].server_version) == 0)
			continue;
		ep = bg_endpoint_get(&rtr->endpoints, q->members[i].address);
		us = ep == NULL ? 0 : bg_endpoint_service_us(ep, q->route);
		sum += us;
		n += us != 0;
	}
	return n == 0 ? 0 : (uint32_t)(sum / n) + 1;
}

static uint32_t
typical_service_us(struct bg_router *rtr, const struct bg_pick_query *q)
{
	uint32_t us = average_service_us(rtr, q, NULL);

	return us != 0
	    ? us
	    : (uint32_t)((double)q->left_us * SERVICE_DEFAULT_SHARE) + 1;
}

/* What is expected of a server of which nothing is known. */
struct usual {
	uint32_t service_us;
	int has_slowness; /* servers of the service report their slowness */
	double slowness_permille;
};

/* Finds the mean slowness of the machines whose servers report it. */
static void
find_usual_slowness(
    struct usual *out, struct bg_router *rtr, const struct bg_pick_query *q)
{
	const struct bg_endpoint *ep;
	double sum = 0;
	uint32_t n = 0;
	size_t i;

	for (i = 0; i < q->member_count; i++) {
		ep = bg_endpoint_get(&rtr->endpoints, q->members[i].address);
		if (ep == NULL || !bg_finish_is_known(ep))
			continue;
		sum += ep->slowness.usual_permille;
		n++;
	}
	out->has_slowness = n > 0;
	if (n > 0)
		out->slowness_permille = sum / n;
}

static uint32_t
expected_service_us(const struct bg_endpoint *ep, const struct bg_pick_query *q,
    uint32_t typical_us)
{
	uint32_t reported_us = bg_endpoint_service_us(ep, q->route);
	double weight;

	if (reported_us == 0)
		return typical_us;
	weight =
	    exp2(-(double)(q->now_ms - ep->reported_ms) / SERVICE_HALF_LIFE_MS);
	return (
	    uint32_t)(typical_us + ((double)reported_us - typical_us) * weight);
}

/* Estimates the queueing time from the last load report and the calls sent
 * since. */
static uint64_t
expected_wait_us(const struct bg_endpoint *ep, const struct bg_member *m,
    uint32_t service_us, uint64_t now_ms)
{
	uint32_t slots = ep->load.slots != 0 ? ep->load.slots : m->slots;
	uint32_t load = bg_endpoint_load(ep, now_ms);

	if (slots == 0 || load < slots)
		return 0;
	return (uint64_t)service_us * (load - slots + 1) / slots;
}

/* A body stays on this VM if its server is here. */
static uint64_t
body_delay_us(const struct bg_endpoint *ep, const struct bg_pick_query *q)
{
	if (q->own_address != NULL && strcmp(q->own_address, ep->address) == 0)
		return 0;
	return bg_endpoint_body_us(ep, q->body_bytes, q->now_ms);
}

/* Replaces the times by those that allow for the call's cost, the slowness of
 * the server's machine and the work left there. */
static void
evaluate_finish(struct bg_pick *out, const struct bg_member *m,
    const struct bg_pick_query *q, const struct usual *usual)
{
	const struct bg_endpoint *ep = out->endpoint;
	uint32_t slots = ep->load.slots != 0 ? ep->load.slots : m->slots;

	out->service_us = bg_finish_service_us(ep, out->service_us,
	    usual->slowness_permille, q->cost_permille, q->now_ms);
	out->wait_us = bg_finish_wait_us(ep, slots, out->service_us, q->now_ms);
	out->slowness_permille = (uint32_t)bg_slowness_permille_of(
	    &ep->slowness, usual->slowness_permille, q->now_ms);
	out->work_left_us =
	    bg_finish_work_left_us(ep, slots, out->service_us, q->now_ms);
}

static void
evaluate(struct bg_pick *out, struct bg_endpoint *ep, const struct bg_member *m,
    const struct bg_pick_query *q, const struct usual *usual)
{
	struct bg_value_input in = {0};
	struct bg_cold cold;
	uint64_t wait_us;

	memset(out, 0, sizeof(*out));
	bg_cold_estimate(&cold, &q->cold, ep, m, q->now_ms, q->wall_ms);
	out->cold_left_ms = cold.left_ms;
	out->member = m;
	out->endpoint = ep;
	out->service_us = expected_service_us(ep, q, usual->service_us);
	out->wait_us = expected_wait_us(ep, m, out->service_us, q->now_ms);
	wait_us = out->wait_us;
	/* A server that has not reported yet is taken for a usual one, and not
	 * for a better one than those that are known. */
	if (usual->has_slowness) {
		evaluate_finish(out, m, q, usual);
		/* The call still asks for a free slot there if the slots are
		 * not all taken: the limit may have risen since. */
		wait_us = bg_finish_reported_wait_us(ep, q->now_ms);
		if (wait_us < out->wait_us)
			wait_us = out->wait_us;
		in.shape = q->shape;
		in.shape_mean = q->shape_mean;
	}
	if (out->wait_us < cold.wait_us)
		out->wait_us = cold.wait_us;
	if (wait_us < cold.wait_us)
		wait_us = cold.wait_us;
	in.service_us = out->service_us;
	in.is_remote = strcmp(m->data_centre, q->data_centre) != 0;
	in.delay_us = wait_us + body_delay_us(ep, q) +
	    (in.is_remote ? BG_REMOTE_DELAY_US : 0);
	in.target_us = q->target_us;
	in.left_us = q->left_us;
	in.bad_permille = ep->load.bad_permille;
	out->value = bg_expected_value(&in);
	if (wait_us > 0 || out->cold_left_ms > 0)
		out->value -= VALUE_QUEUE_PENALTY;
}

struct search {
	struct bg_pick best;
	struct bg_pick other; /* a second random one of equal value, with
				 finish_ties */
	int finish_ties; /* servers of equal value whose work left is known */
	int is_found;
	int ties;
	int has_eligible;
};

/* Keeps a random one of the servers of equal value whose work left is known. */
static void
update_other(
    struct search *search, struct bg_router *rtr, const struct bg_pick *pick)
{
	if (pick->work_left_us == 0)
		return;
	search->finish_ties++;
	if (bg_rand_below(&rtr->rand, (uint64_t)search->finish_ties) == 0)
		search->other = *pick;
}

/* Of two random servers of equal value, prefers the one that will end the call
 * first and then have less work left. With more than two choices, all nodes
 * would send to the same server until they learn of its new load. */
static void
choose_of_two(struct search *search)
{
	const struct bg_pick *a = &search->best;
	const struct bg_pick *b = &search->other;

	if (search->finish_ties == 0 || a->work_left_us == 0)
		return;
	if (b->work_left_us + b->service_us < a->work_left_us + a->service_us)
		search->best = *b;
}

static void
update_best(struct search *search, struct bg_router *rtr,
    const struct bg_pick *pick, int is_unavailable)
{
	double gain = pick->value - search->best.value;

	/* Unavailable servers are picked only if there is no other one. */
	if (is_unavailable)
		return;
	if (!search->is_found || gain > VALUE_NOISE) {
		search->best = *pick;
		search->is_found = 1;
		search->ties = 1;
		search->finish_ties = 0;
		update_other(search, rtr, pick);
		return;
	}
	if (gain < -VALUE_NOISE)
		return;
	update_other(search, rtr, pick);
	search->ties++;
	if (bg_rand_below(&rtr->rand, (uint64_t)search->ties) == 0)
		search->best = *pick;
}

static void
search_members(struct search *search, struct bg_router *rtr,
    const struct bg_pick_query *q, int include_unavailable)
{
	struct usual usual = {typical_service_us(rtr, q), 0, 0};
	const struct bg_member *m;
	struct bg_endpoint *ep;
	struct bg_pick pick;
	uint32_t eligible = 0;
	size_t i;

	find_usual_slowness(&usual, rtr, q);
	for (i = 0; i < q->member_count; i++) {
		m = &q->members[i];
		if (exclusion_of(q, m) != BG_EXCLUSION_NONE ||
		    (ep = bg_endpoint_get(&rtr->endpoints, m->address)) == NULL)
			continue;
		search->has_eligible = 1;
		if (q->server_max != 0 && ++eligible > q->server_max)
			break;
		if (!is_reachable(q, m))
			continue;
		evaluate(&pick, ep, m, q, &usual);
		update_best(search, rtr, &pick,
		    !include_unavailable &&
			bg_endpoint_is_unavailable(ep, q->now_ms));
	}
}

int
bg_router_pick(
    struct bg_pick *out, struct bg_router *rtr, const struct bg_pick_query *q)
{
	struct search search = {0};

	search_members(&search, rtr, q, 0);
	if (!search.is_found)
		search_members(&search, rtr, q, 1);
	if (!search.is_found)
		return search.has_eligible ? BG_EUNAVAILABLE : BG_ENOTFOUND;
	choose_of_two(&search);
	*out = search.best;
	out->baseline_us =
	    average_service_us(rtr, q, out->member->server_version);
	return 0;
}

void
bg_router_evaluate(struct bg_candidate *out, struct bg_router *rtr,
    const struct bg_pick_query *q)
{
	struct usual usual = {typical_service_us(rtr, q), 0, 0};
	struct bg_endpoint *ep;
	uint32_t eligible = 0;
	size_t i;

	find_usual_slowness(&usual, rtr, q);
	for (i = 0; i < q->member_count; i++) {
		const struct bg_member *m = &q->members[i];

		memset(&out[i], 0, sizeof(out[i]));
		out[i].pick.member = m;
		out[i].exclusion = exclusion_of(q, m);
		if (out[i].exclusion != BG_EXCLUSION_NONE)
			continue;
		ep = bg_endpoint_get(&rtr->endpoints, m->address);
		if (q->server_max != 0 && ++eligible > q->server_max)
			out[i].exclusion = BG_EXCLUSION_SHARE;
		else if (ep == NULL || !is_reachable(q, m))
			out[i].exclusion = BG_EXCLUSION_UNREACHABLE;
		else {
			evaluate(&out[i].pick, ep, m, q, &usual);
			if (bg_endpoint_is_unavailable(ep, q->now_ms))
				out[i].exclusion = BG_EXCLUSION_UNAVAILABLE;
		}
	}
}

const char *
bg_exclusion_name(enum bg_exclusion exclusion)
{
	switch (exclusion) {
	case BG_EXCLUSION_NONE:
		return "none";
	case BG_EXCLUSION_NOT_READY:
		return "not ready";
	case BG_EXCLUSION_AVOIDED:
		return "tried before";
	case BG_EXCLUSION_EMPTIED:
		return "data centre emptied";
	case BG_EXCLUSION_VERSION:
		return "other version";
	case BG_EXCLUSION_BAD_VERDICT:
		return "bad version";
	case BG_EXCLUSION_SHARE:
		return "beyond the share of the new version";
	case BG_EXCLUSION_UNREACHABLE:
		return "no link";
	case BG_EXCLUSION_UNAVAILABLE:
		return "failed lately";
	}
	return "unknown";
}
