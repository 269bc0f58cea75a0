#include "burdockgrade/clock.h"

#include "call_cost.h"

/* Above and below these, the cost of a call is taken as that part of its
 * route's mean: a few calls of a path or an organisation prove no more. */
#define COST_MIN_PERMILLE 250
#define COST_MAX_PERMILLE 8000
#define PERMILLE 1000
/* A longer wait is that of a queue which callers do not wait out. */
#define ROOM_MAX_MS 2000
#define STATUS_ERROR_MIN 400
#define STATUS_TIMEOUT 504
/* A call that was ended at its deadline would have taken longer; it counts as
 * one that took this many times as long. */
#define TIMED_OUT_FACTOR 2

static struct bg_cost_query
cost_query(const struct bg_call *call)
{
	struct bg_cost_query q = {call->rule->name,
	    call->args.extension.organisation, call->args.path,
	    call->args.body.body_len};

	return q;
}

static uint32_t
cost_permille(const struct bg_cost_prediction *prd)
{
	uint64_t permille;

	if (prd->cost_us == 0 || prd->route_mean_us == 0)
		return 0;
	permille = (uint64_t)prd->cost_us * PERMILLE / prd->route_mean_us;
	if (permille < COST_MIN_PERMILLE)
		return COST_MIN_PERMILLE;
	return permille > COST_MAX_PERMILLE ? COST_MAX_PERMILLE
					    : (uint32_t)permille;
}

void
bg_call_predict_cost(struct bg_call *call)
{
	struct bg_cost_query q = cost_query(call);
	struct bg_cost_prediction prd;

	bg_predictor_predict(&prd, &call->proxy->predictor, &q);
	call->cost_permille = cost_permille(&prd);
	call->cost_trait = prd.trait;
	call->args.extension.cost_us = (u_int)((uint64_t)prd.route_mean_us *
	    call->cost_permille / PERMILLE);
}

void
bg_call_fill_cost(struct bg_pick_query *out, const struct bg_call *call)
{
	struct bg_cost_query q = cost_query(call);

	out->cost_permille = call->cost_permille;
	out->shape = bg_predictor_shape(&call->proxy->predictor, &q);
	if (out->shape != NULL)
		out->shape_mean = bg_shape_mean(out->shape);
}

/* Records the time of a call, of that which a mean one takes at its server with
 * the slowness of its machine. */
static void
learn_ratio(struct bg_call *call, const struct bg_cost_query *q,
    const struct bg_xcall_res *res)
{
	double own_us = (double)res->own_time_us;
	double mean_us =
	    (double)bg_endpoint_service_us(call->endpoint, call->rule->name) *
	    res->load_extension.slowness_permille / BG_SLOWNESS_USUAL_PERMILLE;

	if (res->http_status == STATUS_TIMEOUT)
		own_us *= TIMED_OUT_FACTOR;
	if (mean_us > 0)
		bg_predictor_record_ratio(
		    &call->proxy->predictor, q, own_us / mean_us);
}

/* The slowness of the machine is the server's and not the request's. Nothing is
 * learned from servers that do not report it. */
void
bg_call_learn_cost(struct bg_call *call, const struct bg_xcall_res *res)
{
	struct bg_cost_query q = cost_query(call);
	u_int slowness = res->load_extension.slowness_permille;

	call->is_server_uneven |= slowness != 0;
	if (res->outcome != BG_XOUTCOME_DONE || slowness == 0 ||
	    (res->http_status >= STATUS_ERROR_MIN &&
		res->http_status != STATUS_TIMEOUT))
		return;
	learn_ratio(call, &q, res);
	if (res->http_status == STATUS_TIMEOUT)
		return;
	bg_predictor_record(&call->proxy->predictor, &q,
	    (uint64_t)res->own_time_us * BG_SLOWNESS_USUAL_PERMILLE / slowness);
}

void
bg_call_record_crest(struct bg_call *call, enum bg_xoutcome outcome)
{
	if (call->service != NULL)
		bg_crest_record(&call->proxy->crest, call->service,
		    outcome == BG_XOUTCOME_NOT_RUN, bg_clock_now_ms());
}

uint32_t
bg_call_come_back_ms(struct bg_call *call, uint32_t room_ms)
{
	uint64_t now_us = bg_clock_now_us();
	uint64_t elapsed_ms = (now_us - call->start_us) / 1000;
	struct bg_come_back in = {room_ms, 0, call->rule->priority,
	    bg_crest_refused_share(
		&call->proxy->crest, call->service, now_us / 1000),
	    call->rule->timeout_ms};

	if (elapsed_ms < call->caller_deadline_ms)
		in.left_ms = call->caller_deadline_ms - (uint32_t)elapsed_ms;
	if (in.room_ms > ROOM_MAX_MS)
		in.room_ms = ROOM_MAX_MS;
	return bg_come_back_ms(&in, &call->proxy->router.rand);
}
