#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"

#include "../cost/cost_metrics.h"
#include "emptying.h"
#include "gate_finish.h"
#include "gate_warmup.h"
#include "gate_work.h"
#include "headers.h"

#define STATUS_MISDIRECTED 421
#define STATUS_TIMEOUT 504
#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503
/* A response is slow if it takes this many times as long as usual. Healthy
 * servers differ in speed by less than this factor. */
#define SLOW_FACTOR 4

static void
fill_load(struct bg_xload *out, const struct bg_gate_call *call)
{
	const struct bg_limiter *lim = &call->gatekeeper->limiter;

	out->running = lim->running;
	out->queued = lim->queue.length;
	out->slots = lim->slots;
	out->wait_us = (u_int)bg_limiter_wait_us(lim, bg_clock_now_us());
	out->service_us = (u_int)bg_limiter_service_us(lim, call->args->route);
	out->bad_permille = bg_limiter_failure_permille(lim, bg_clock_now_us());
	out->intake_wait_us =
	    (u_int)bg_intake_backlog_us(&call->gatekeeper->intake);
	out->intake_bytes_per_ms =
	    bg_intake_bytes_per_ms(&call->gatekeeper->intake);
}

/* Replies to the caller and frees the call. */
static void
deliver(struct bg_gate_call *call, struct bg_xcall_res *res)
{
	struct bg_gatekeeper *gk = call->gatekeeper;
	struct bg_rpc *rpc = call->rpc;
	bg_gate_fn fn = call->fn;
	void *arg = call->arg;

	if (res->reason == NULL)
		res->reason = (char *)"";
	res->server_version = gk->server.version;
	res->server_id = gk->server.id;
	fill_load(&res->load, call);
	bg_gate_warmup_fill(&res->load_extension, gk);
	bg_gate_work_fill_load(res, call);
	bg_gate_call_free(call);
	if (rpc != NULL)
		bg_rpc_reply(rpc, (xdrproc_t)xdr_bg_xcall_res, res);
	else
		fn(arg, res);
}

void
bg_gate_finish_refused(struct bg_gate_call *call)
{
	struct bg_xcall_res res;

	memset(&res, 0, sizeof(res));
	res.outcome = BG_XOUTCOME_NOT_RUN;
	res.http_status = STATUS_UNAVAILABLE;
	res.refusal = call->refusal;
	res.reason = (char *)bg_refusal_text(call->refusal);
	bg_metrics_count_refused(call->refusal);
	bg_log_warn("gatekeeper",
	    "refused request=%s reason=%s running=%u queued=%u slots=%u "
	    "wait_allowed_ms=%u server=%s state=%d attempt=%u "
	    "cold_left_ms=%u",
	    call->args->request_id, bg_refusal_name(call->refusal),
	    call->gatekeeper->limiter.running,
	    call->gatekeeper->limiter.queue.length,
	    call->gatekeeper->limiter.slots, call->args->wait_ms,
	    call->gatekeeper->server.id, (int)call->gatekeeper->server.state,
	    call->args->attempt,
	    bg_gate_warmup_count_refusal(call->gatekeeper));
	deliver(call, &res);
}

/* What the result of a call says about the server. */
struct assessment {
	int is_failed; /* counts as a failure of the server version */
	enum bg_limiter_sample sample;
};

/* Compares with the usual time at servers of other versions or, if there are
 * none, with the route's slow limit. */
static int
is_slow(const struct bg_xcall_args *args, uint32_t own_us)
{
	if (args->usual_us != 0)
		return own_us / SLOW_FACTOR >= args->usual_us;
	return args->slow_ms != 0 && own_us / 1000 >= args->slow_ms;
}

static void
report_observation(
    struct bg_gate_call *call, const struct assessment *asmt, uint32_t own_us)
{
	struct bg_gatekeeper *gk = call->gatekeeper;
	const struct bg_xcall_args *args = call->args;
	struct bg_observation obs;

	if (gk->observer == NULL)
		return;
	memset(&obs, 0, sizeof(obs));
	obs.service = args->service;
	obs.route = args->route;
	obs.server_version = gk->server.version;
	obs.is_failed = asmt->is_failed;
	obs.is_slow = is_slow(args,
	    (uint32_t)bg_gate_work_own_us(call, own_us, bg_clock_now_us()));
	obs.is_dependency_fault =
	    call->dependency.has_failed && (obs.is_failed || obs.is_slow);
	obs.is_cold = bg_warmup_is_cold(&gk->limiter.warmup, bg_clock_now_us());
	obs.own_time_us = own_us;
	gk->observer->observe(gk->observer, &obs);
}

/* Ends a running call: frees its slot, reports the observation and replies. */
static void
finish(struct bg_gate_call *call, struct bg_xcall_res *res,
    const struct assessment *asmt)
{
	struct bg_gatekeeper *gk = call->gatekeeper;
	uint64_t now_us = bg_clock_now_us();
	uint64_t own_us = bg_dependency_own_us(
	    &call->dependency, call->entry.started_us, now_us);

	if (asmt->sample == BG_LIMITER_OK)
		bg_gate_work_ended(call, own_us, now_us);
	bg_metrics_observe_backend_time(now_us - call->entry.started_us);
	bg_limiter_release(&gk->limiter, &call->entry, now_us, asmt->sample);
	res->own_time_us = own_us > UINT32_MAX ? UINT32_MAX : (uint32_t)own_us;
	res->dependency_failed = (u_int)call->dependency.has_failed;
	bg_log(res->outcome == BG_XOUTCOME_DONE && res->http_status < 500
		? BG_LOG_INFO
		: BG_LOG_WARN,
	    "gatekeeper",
	    "ended request=%s server=%s version=%s status=%u outcome=%d "
	    "took_us=%u attempt=%u",
	    call->args->request_id, gk->server.id, gk->server.version,
	    res->http_status, (int)res->outcome, res->own_time_us,
	    call->args->attempt);
	report_observation(call, asmt, res->own_time_us);
	deliver(call, res);
	bg_gate_emptying_handle_end(gk);
	bg_gate_start_queued(gk);
}

void
bg_gate_finish_unknown(
    struct bg_gate_call *call, uint32_t http_status, const char *reason)
{
	/* A missed deadline is no failure of the server version, because load
	 * can make any version slow. A lost connection or an unusable response
	 * is one. */
	struct assessment asmt = {
	    http_status != STATUS_TIMEOUT, BG_LIMITER_FAILED};
	struct bg_xcall_res res;

	if (call->dependency.has_failed)
		asmt.sample = BG_LIMITER_IGNORED;
	memset(&res, 0, sizeof(res));
	res.outcome = BG_XOUTCOME_UNKNOWN;
	res.http_status = http_status;
	res.reason = (char *)reason;
	finish(call, &res, &asmt);
}

/* A server that has no room resets the connection, of an idle connection as of
 * a new one. This is load and no fault of the version; whether the call ran is
 * unknown, and a new connection would meet the same load. */
void
bg_gate_finish_reset(struct bg_gate_call *call)
{
	struct assessment asmt = {0, BG_LIMITER_SHED};
	struct bg_xcall_res res;

	bg_cost_metrics_count_full_reset();
	bg_log_warn("gatekeeper", "reset by a full server request=%s server=%s",
	    call->args->request_id, call->gatekeeper->server.id);
	memset(&res, 0, sizeof(res));
	res.outcome = BG_XOUTCOME_UNKNOWN;
	res.http_status = STATUS_BAD_GATEWAY;
	res.reason = (char *)"the backend server was full";
	finish(call, &res, &asmt);
}

/* Ends a call that was not sent to the backend server. */
void
bg_gate_finish_not_run(struct bg_gate_call *call, enum bg_xrefusal why)
{
	struct bg_gatekeeper *gk = call->gatekeeper;

	bg_limiter_release(
	    &gk->limiter, &call->entry, bg_clock_now_us(), BG_LIMITER_IGNORED);
	bg_gate_refuse(call, why);
	bg_gate_start_queued(gk);
}

/* Ends a call whose response states that the server did not run it. */
static void
finish_shed(struct bg_gate_call *call, uint32_t http_status)
{
	struct assessment asmt = {0,
	    call->has_server_room ? BG_LIMITER_SHED_WITH_ROOM
				  : BG_LIMITER_SHED};
	struct bg_gatekeeper *gk = call->gatekeeper;
	struct bg_xcall_res res;

	/* The server may have run the call when it was sent first, on the
	 * previous connection. */
	if (call->is_resent) {
		bg_gate_finish_unknown(call, STATUS_BAD_GATEWAY,
		    "the backend server closed the connection");
		return;
	}
	memset(&res, 0, sizeof(res));
	res.outcome = BG_XOUTCOME_NOT_RUN;
	res.http_status = STATUS_UNAVAILABLE;
	res.refusal = BG_XREFUSAL_SHED;
	res.reason = (char *)bg_refusal_text(BG_XREFUSAL_SHED);
	if (http_status == STATUS_MISDIRECTED) {
		bg_log_warn("gatekeeper",
		    "another server has the address request=%s expected=%s",
		    call->args->request_id, gk->server.id);
		bg_server_mark_lost(&gk->server);
		bg_gate_publish(gk);
		res.refusal = BG_XREFUSAL_NO_SERVER;
		bg_warmup_refund(&gk->limiter.warmup, bg_clock_now_us());
	}
	finish(call, &res, &asmt);
}

void
bg_gate_finish_done(
    struct bg_gate_call *call, const struct bg_exchange_result *rsp)
{
	/* A server that gives up at the deadline is slow, which load can cause
	 * with any version. */
	struct assessment asmt = {
	    rsp->http_status >= 500 && rsp->http_status != STATUS_TIMEOUT,
	    BG_LIMITER_OK};
	struct bg_xcall_res res;

	if (bg_response_is_not_run(rsp->http_status, rsp->headers,
		rsp->header_count, &call->gatekeeper->settings->headers)) {
		finish_shed(call, rsp->http_status);
		return;
	}
	memset(&res, 0, sizeof(res));
	res.outcome = BG_XOUTCOME_DONE;
	res.http_status = rsp->http_status;
	res.headers.headers_len = rsp->header_count;
	res.headers.headers_val = rsp->headers;
	res.body.body_len = rsp->body_bytes;
	res.body.body_val = rsp->body;
	if (rsp->http_status >= 500 && !call->dependency.has_failed)
		asmt.sample = BG_LIMITER_FAILED;
	finish(call, &res, &asmt);
}
