#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"

#include "../call/attempt.h"
#include "../call/deadline.h"
#include "../cost/cost_metrics.h"
#include "../cost/server_load.h"
#include "../router/value.h"
#include "gate_work.h"
#include "headers.h"

/* Loss of expected value from which a call is handed back. It exceeds the value
 * of a round trip to another server, and the noise of the estimates. */
#define HAND_BACK_LOSS 0.05
/* Calls that waited at the server when it last reported may have left since. */
#define REPORT_MAX_AGE_MS 500

/* Sums the work of all calls at the server. */
static struct bg_work_left
sum_work(const struct bg_gatekeeper *gk, uint64_t now_us)
{
	struct bg_work_left sum = {0, 0};
	const struct bg_gate_call *call;
	const struct bg_limiter_entry *e;
	uint32_t cost_us;

	for (call = gk->calls; call != NULL; call = call->next) {
		e = &call->entry;
		cost_us = call->args->extension.cost_us;
		if (e->is_running)
			bg_work_add_running(&sum, &gk->work, e->route, cost_us,
			    now_us - e->started_us, now_us / 1000);
		else if (e->is_queued)
			bg_work_add_queued(
			    &sum, &gk->work, e->route, cost_us, now_us / 1000);
	}
	return sum;
}

static uint64_t
expected_us(const struct bg_gate_call *call, uint64_t now_us)
{
	return bg_work_slot_us(&call->gatekeeper->work, call->entry.route,
	    call->args->extension.cost_us, now_us / 1000);
}

void
bg_gate_work_prepare(struct bg_gate_call *call)
{
	struct bg_gatekeeper *gk = call->gatekeeper;
	uint64_t now_us = bg_clock_now_us();
	struct bg_work_left sum;

	if (!bg_work_is_known(&gk->work))
		return;
	call->entry.own_service_us = expected_us(call, now_us);
	if (gk->limiter.running + 1 <= gk->limiter.limit) {
		gk->limiter.start_interval_us = 0;
		return;
	}
	sum = sum_work(gk, now_us);
	gk->limiter.start_interval_us = bg_work_start_interval_us(&sum);
}

void
bg_gate_work_started(struct bg_gate_call *call)
{
	const struct bg_work *work = &call->gatekeeper->work;

	if (bg_work_is_known(work))
		call->start_slowness_permille = (uint32_t)bg_slowness_permille(
		    &work->pace.slowness, bg_clock_now_ms());
}

void
bg_gate_work_response(
    struct bg_gate_call *call, const struct bg_exchange_result *rsp)
{
	struct bg_gatekeeper *gk = call->gatekeeper;
	const char *name = gk->settings->headers.server_load;
	struct bg_server_load load;
	const char *text;

	if (name[0] == '\0' ||
	    (text = bg_header_find(rsp->headers, rsp->header_count, name)) ==
		NULL)
		return;
	if (bg_server_load_parse(&load, text) != 0) {
		bg_cost_metrics_count_invalid_load();
		return;
	}
	call->has_server_room =
	    (uint64_t)load.running + load.waiting < load.slots;
	gk->work.waiting = load.waiting;
	gk->work.load_ms = bg_clock_now_ms();
	if (load.slowness_permille == 0)
		return;
	bg_slowness_report(
	    &gk->work.pace.slowness, load.slowness_permille, bg_clock_now_ms());
}

/* Mean slowness of the server's machine while the call ran; 0: unknown. */
static uint32_t
slowness_of(const struct bg_gate_call *call, uint64_t now_us)
{
	const struct bg_work *work = &call->gatekeeper->work;
	uint32_t start_permille = call->start_slowness_permille;
	uint32_t end_permille;

	if (!bg_work_is_known(work))
		return 0;
	end_permille =
	    (uint32_t)bg_slowness_permille(&work->pace.slowness, now_us / 1000);
	return start_permille == 0 ? end_permille
				   : (start_permille + end_permille) / 2;
}

uint64_t
bg_gate_work_own_us(
    const struct bg_gate_call *call, uint64_t own_us, uint64_t now_us)
{
	uint32_t permille = slowness_of(call, now_us);

	return permille == 0 ? own_us
			     : own_us * BG_SLOWNESS_USUAL_PERMILLE / permille;
}

void
bg_gate_work_ended(struct bg_gate_call *call, uint64_t own_us, uint64_t now_us)
{
	struct bg_gatekeeper *gk = call->gatekeeper;
	struct bg_work_sample smp = {call->entry.route,
	    call->args->extension.cost_us, own_us,
	    now_us - call->entry.started_us, slowness_of(call, now_us)};

	if (smp.slowness_permille == 0 || smp.cost_us == 0)
		return;
	bg_cost_metrics_observe_slot_time(
	    call->entry.own_service_us, smp.slot_us);
	bg_work_record(&gk->work, &smp);
}

void
bg_gate_work_fill_load(
    struct bg_xcall_res *out, const struct bg_gate_call *call)
{
	const struct bg_gatekeeper *gk = call->gatekeeper;
	const struct bg_slowness *slw = &gk->work.pace.slowness;
	bg_xload_extension *ext = &out->load_extension;
	uint64_t now_us = bg_clock_now_us();
	struct bg_work_left sum;
	double left_us;
	uint64_t base_us;

	if (!bg_work_is_known(&gk->work))
		return;
	sum = sum_work(gk, now_us);
	left_us = sum.total_us / gk->limiter.slots;
	ext->work_left_us =
	    left_us < UINT32_MAX ? (u_int)left_us + 1 : UINT32_MAX;
	ext->slowness_permille = slw->permille;
	ext->slowness_age_ms = (u_int)(now_us / 1000 - slw->reported_ms);
	base_us = bg_work_base_slot_us(&gk->work, call->entry.route);
	if (base_us != 0)
		out->load.service_us = (u_int)base_us;
	bg_cost_metrics_set_server(
	    ext->work_left_us, ext->slowness_permille, &gk->work.pace);
}

int
bg_gate_work_is_full(const struct bg_gatekeeper *gk)
{
	return gk->work.waiting > 0 &&
	    bg_clock_now_ms() - gk->work.load_ms < REPORT_MAX_AGE_MS;
}

static double
value_of(const struct bg_gate_call *call, uint64_t service_us, uint64_t now_us)
{
	struct bg_value_input in = {0};

	in.shape = bg_work_shape(&call->gatekeeper->work, call->entry.route);
	if (in.shape != NULL)
		in.shape_mean = bg_shape_mean(in.shape);

	in.service_us =
	    service_us < UINT32_MAX ? (uint32_t)service_us + 1 : UINT32_MAX;
	in.left_us =
	    call->deadline_us > now_us ? call->deadline_us - now_us : 0;
	in.target_us = in.left_us;
	if (call->entry.target_us != 0)
		in.target_us = call->entry.target_us > now_us
		    ? call->entry.target_us - now_us
		    : 0;
	return bg_expected_value(&in);
}

int
bg_gate_work_hands_back(const struct bg_gate_call *call)
{
	const struct bg_work *work = &call->gatekeeper->work;
	uint64_t now_us = bg_clock_now_us();
	uint64_t service_us = expected_us(call, now_us);
	double slowness;

	if (!bg_work_is_known(work) || service_us == 0 ||
	    call->args->wait_ms != BG_ATTEMPT_FREE_SLOT_WAIT_MS)
		return 0;
	slowness = bg_slowness_permille(&work->pace.slowness, now_us / 1000);
	if (slowness <= work->pace.slowness.usual_permille)
		return 0;
	return value_of(call,
		   (uint64_t)((double)service_us *
		       work->pace.slowness.usual_permille / slowness),
		   now_us) -
	    value_of(call, service_us, now_us) >
	    HAND_BACK_LOSS;
}

void
bg_gate_work_log_hand_back(const struct bg_gate_call *call)
{
	const struct bg_slowness *slw = &call->gatekeeper->work.pace.slowness;

	bg_cost_metrics_count_handed_back();
	bg_log_info("gatekeeper",
	    "handed back request=%s slowness=%u slowness_age_ms=%llu usual=%u "
	    "server=%s attempt=%u",
	    call->args->request_id, slw->permille,
	    (unsigned long long)(bg_clock_now_ms() - slw->reported_ms),
	    (unsigned)slw->usual_permille, call->gatekeeper->server.id,
	    call->args->attempt);
}
