/* A call goes through these steps: route, admit, pick, send, result, reply.
 * Each step ends by calling the next one or by waiting for a callback. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"

#include "call_cost.h"
#include "call_internal.h"

#define STATUS_NOT_FOUND 404
#define STATUS_BAD_METHOD 405
#define STATUS_TIMEOUT 504
/* Polling interval while a link is being established, and the time after which
 * a node that has not accepted is treated as unreachable. */
#define LINK_POLL_MS 10
#define LINK_WAIT_MAX_MS 400
/* The queueing time of a call is limited so that this multiple of its expected
 * service time is left for running it. */
#define SERVICE_TIME_MARGIN 1.2
/* From this pick on, a call may queue at the picked server, which is the one
 * expected to run it soonest. */
#define QUEUE_FROM_PICK 3

static void step_pick(struct bg_call *call);
static void step_send(struct bg_call *call, const struct bg_pick *pick);
static void step_result(
    struct bg_call *call, int code, struct bg_xcall_res *res);

static void
call_free(struct bg_call *call)
{
	if (call->prev != NULL)
		call->prev->next = call->next;
	else
		call->proxy->calls = call->next;
	if (call->next != NULL)
		call->next->prev = call->prev;
	if (call->timer != NULL)
		event_free(call->timer);
	bg_quota_cancel(call->ticket);
	bg_call_erase_key(call);
	bg_snapshot_release(call->snapshot);
	xdr_free((xdrproc_t)xdr_bg_xcall_args, (char *)&call->args);
	free(call);
}

/* Ends the time that the request which made this call spends waiting for it. */
static void
end_dependency(struct bg_call *call, int is_failed)
{
	if (call->is_dependency)
		bg_gatekeeper_dependency_end(
		    call->proxy->gatekeeper, call->args.request_id, is_failed);
}

void
bg_call_reply(struct bg_call *call, const struct bg_call_answer *ans)
{
	bg_call_fn fn = call->fn;
	void *arg = call->arg;
	uint64_t elapsed_us = bg_clock_now_us() - call->start_us;
	int is_failed =
	    ans->outcome != BG_XOUTCOME_DONE || ans->http_status >= 500;

	bg_metrics_count_call(ans->outcome, elapsed_us);
	bg_call_record_crest(call, ans->outcome);
	/* Refusals and failures are warnings: the log drops those last. */
	bg_log(is_failed ? BG_LOG_WARN : BG_LOG_INFO, "call",
	    "ended request=%s status=%u outcome=%d took_us=%llu picks=%u "
	    "sent=%u config=%llu reason=\"%s\"",
	    call->args.request_id, ans->http_status, (int)ans->outcome,
	    (unsigned long long)elapsed_us, call->picks, call->sent,
	    (unsigned long long)(call->snapshot == NULL
		    ? 0
		    : call->snapshot->version),
	    ans->reason == NULL ? "" : ans->reason);
	end_dependency(call, is_failed);
	fn(arg, ans);
	call_free(call);
}

uint64_t
bg_call_left_us(const struct bg_call *call)
{
	uint64_t now_us = bg_clock_now_us();

	return now_us >= call->deadline_us ? 0 : call->deadline_us - now_us;
}

static int
set_string(char **out, const char *text)
{
	free(*out);
	return (*out = strdup(text)) == NULL ? BG_ENOMEM : 0;
}

static void
arm_timer(struct bg_call *call, uint64_t us)
{
	struct timeval tv = {
	    (time_t)(us / 1000000), (suseconds_t)(us % 1000000)};

	event_add(call->timer, &tv);
}

/* The gatekeeper enforces the deadline; the timer adds a grace period for its
 * reply. */
void
bg_call_arm_deadline(struct bg_call *call)
{
	arm_timer(call, bg_call_left_us(call) + 2 * BG_ATTEMPT_GRACE_MS * 1000);
}

static int
fill_args(struct bg_call *call)
{
	struct bg_xcall_args *args = &call->args;
	const struct bg_rule *rule = call->rule;

	args->slow_ms = rule->target_ms;
	args->priority = bg_access_priority(call->organisation, rule);
	args->idempotent = rule->is_idempotent != 0;
	args->is_dependency = call->is_dependency != 0;
	args->config_version = call->snapshot->version;
	if (set_string(&args->extension.organisation,
		call->organisation == NULL ? "" : call->organisation->name) !=
		0 ||
	    set_string(&args->service, call->service) != 0 ||
	    set_string(&args->route, rule->name) != 0 ||
	    set_string(&args->caller_service,
		call->proxy->settings->server.service) != 0)
		return BG_ENOMEM;
	return 0;
}

static void
set_deadlines(struct bg_call *call)
{
	uint32_t ms = bg_deadline_effective_ms(
	    call->rule->timeout_ms, call->caller_deadline_ms);

	call->deadline_us = call->start_us + (uint64_t)ms * 1000;
	call->args.age_ms = bg_age_estimate(&call->proxy->age_estimator,
	    call->rule->name, call->caller_deadline_ms, bg_clock_now_ms());
	if (call->rule->target_ms != 0)
		call->target_us =
		    call->start_us + (uint64_t)call->rule->target_ms * 1000;
}

static void
step_admitted(struct bg_call *call)
{
	struct bg_proxy *prx = call->proxy;

	bg_retry_count_call(&prx->retry, call->service, bg_clock_now_ms());
	if (call->args.is_repeat)
		bg_retry_count_repeat(
		    &prx->retry, call->service, bg_clock_now_ms());
	step_pick(call);
}

/* Finds the rule of the call. The call holds the snapshot until it ends. */
static void
step_route(struct bg_call *call)
{
	struct bg_proxy *prx = call->proxy;
	struct bg_snapshot *snap = bg_mesh_snapshot(prx->mesh);
	int error;

	if (snap == NULL || !bg_mesh_is_synced(prx->mesh)) {
		bg_call_refuse(call, BG_XREFUSAL_UNSYNCED);
		return;
	}
	call->snapshot = bg_snapshot_acquire(snap);
	error = bg_snapshot_route(&call->rule, snap, call->args.host,
	    call->args.method, call->args.path);
	if (error != 0) {
		bg_call_reply_error(call, BG_XOUTCOME_NOT_RUN,
		    error == BG_EINVAL ? STATUS_BAD_METHOD : STATUS_NOT_FOUND,
		    0,
		    error == BG_EINVAL ? "the route does not allow this method"
				       : "no route has this path");
		return;
	}
	if (bg_call_check_access(call) != 0)
		return;
	if (call->args.depth >= BG_CALL_DEPTH_MAX) {
		bg_call_refuse(call, BG_XREFUSAL_DEPTH);
		return;
	}
	call->service = bg_split_next(&prx->split, call->rule);
	if (fill_args(call) != 0) {
		bg_call_refuse(call, BG_XREFUSAL_BUFFERS);
		return;
	}
	set_deadlines(call);
	bg_call_predict_cost(call);
	if (!bg_drain_accepts_call(&prx->drain,
		(uint32_t)(bg_call_left_us(call) / 1000), bg_clock_now_ms())) {
		bg_call_refuse(call, BG_XREFUSAL_DRAINING);
		return;
	}
	bg_call_admit(call, step_admitted);
}

/* Polls until a link to one of the servers is established. */
static void
wait_for_link(struct bg_call *call)
{
	uint64_t now_us = bg_clock_now_us();

	if (call->link_wait_start_us == 0)
		call->link_wait_start_us = now_us;
	if (now_us - call->link_wait_start_us > LINK_WAIT_MAX_MS * 1000) {
		bg_call_refuse(call, BG_XREFUSAL_UNREACHABLE);
		return;
	}
	arm_timer(call, LINK_POLL_MS * 1000);
}

static void
step_pick(struct bg_call *call)
{
	struct bg_pick pick;

	if (bg_call_left_us(call) < BG_DEADLINE_MIN_MS * 1000) {
		bg_call_refuse(call, BG_XREFUSAL_DEADLINE);
		return;
	}
	switch (bg_call_pick_server(&pick, call)) {
	case 0:
		call->link_wait_start_us = 0;
		if (bg_call_is_hopeless(call, &pick))
			bg_call_refuse(call, BG_XREFUSAL_BUSY);
		else
			step_send(call, &pick);
		break;
	case BG_EUNAVAILABLE:
		wait_for_link(call);
		break;
	default:
		bg_call_refuse_without_server(call);
		break;
	}
}

static void
on_attempt(void *arg, int code, struct bg_xcall_res *res)
{
	struct bg_call *call = arg;

	call->attempt = NULL;
	step_result(call, code, res);
}

/* 1 if the call may queue at the server, 0 if it needs a free slot. A cold
 * server is picked if no warm one is better, and starts calls one by one. */
static int
allows_queueing(const struct bg_call *call, const struct bg_pick *pick)
{
	return pick->wait_us != 0 || pick->cold_left_ms != 0 ||
	    call->picks >= QUEUE_FROM_PICK;
}

/* Longest time the call may queue at the picked server. */
static uint32_t
allowed_wait_ms(const struct bg_call *call, const struct bg_pick *pick)
{
	double margin_us = (double)pick->service_us * SERVICE_TIME_MARGIN;
	double left_us = (double)bg_call_left_us(call) - margin_us;

	if (!allows_queueing(call, pick))
		return BG_ATTEMPT_FREE_SLOT_WAIT_MS;
	return left_us <= 0 ? 0 : (uint32_t)(left_us / 1000);
}

static uint32_t
target_left_ms(const struct bg_call *call)
{
	uint64_t now_us = bg_clock_now_us();

	if (call->target_us == 0)
		return 0;
	/* 0 means no target, so a target that has passed is sent as 1. */
	if (now_us + 1000 >= call->target_us)
		return 1;
	return (uint32_t)((call->target_us - now_us) / 1000);
}

/* Age of the server's last load report; -1 without a report. */
static long long
load_age_ms(const struct bg_endpoint *ep)
{
	if (ep->reported_ms == 0)
		return -1;
	return (long long)(bg_clock_now_ms() - ep->reported_ms);
}

/* Sends the call to the gatekeeper of the picked server. */
static void
step_send(struct bg_call *call, const struct bg_pick *pick)
{
	struct bg_proxy *prx = call->proxy;
	int error;

	call->endpoint = pick->endpoint;
	snprintf(call->picked_version, sizeof(call->picked_version), "%s",
	    pick->member->server_version);
	call->is_queueing_allowed = allows_queueing(call, pick);
	call->args.wait_ms = allowed_wait_ms(call, pick);
	call->args.attempt = ++call->picks;
	call->args.deadline_ms =
	    bg_deadline_left_ms(call->deadline_us, bg_clock_now_us());
	call->args.target_ms = target_left_ms(call);
	call->args.usual_us = pick->baseline_us;
	bg_endpoint_sent(call->endpoint);
	bg_versions_sent(
	    &prx->versions, call->service, call->rule, call->picked_version);
	bg_log_info("call",
	    "sent request=%s route=%s service=%s config=%llu to=%s server=%s "
	    "version=%s pick=%u value=%.3f wait_us=%llu service_us=%u load=%u "
	    "load_age_ms=%lld wait_allowed_ms=%u left_ms=%u age_ms=%u "
	    "cost_us=%u cost_by=%s slowness=%u work_left_us=%llu",
	    call->args.request_id, call->rule->name, call->service,
	    (unsigned long long)call->snapshot->version, pick->member->address,
	    pick->member->server_id, call->picked_version, call->picks,
	    pick->value, (unsigned long long)pick->wait_us, pick->service_us,
	    bg_endpoint_load(pick->endpoint, bg_clock_now_ms()),
	    load_age_ms(pick->endpoint), call->args.wait_ms,
	    call->args.deadline_ms, call->args.age_ms,
	    call->args.extension.cost_us, bg_cost_trait_name(call->cost_trait),
	    pick->slowness_permille, (unsigned long long)pick->work_left_us);
	bg_call_arm_deadline(call);
	/* The gatekeeper checks the version only for services with a move.
	 * Without one, a server that was just replaced may have another
	 * version than this node knows. */
	error = set_string(&call->args.server_version,
	    bg_versions_get_move(&prx->versions, call->service) == NULL
		? ""
		: call->picked_version);
	if (error == 0)
		error = bg_attempt_start(&call->attempt, prx,
		    pick->member->address, &call->args, on_attempt, call);
	if (error != 0)
		step_result(call, BG_EUNAVAILABLE, NULL);
}

/* 1 if the call certainly did not reach a backend server. */
static int
is_gatekeeper_refusal(int code, const struct bg_xcall_res *res)
{
	if (code == BG_EUNAVAILABLE)
		return 1;
	return code == 0 && res->outcome == BG_XOUTCOME_NOT_RUN &&
	    res->refusal != BG_XREFUSAL_SHED;
}

/* 1 if the gatekeeper would refuse the call again. One that had no free slot
 * may still have room in its queue. Not used after a link failed: the link is
 * replaced, and the peer may be healthy. */
static int
would_refuse_again(const struct bg_call *call, const struct bg_xcall_res *res)
{
	return res->refusal != BG_XREFUSAL_BUSY || call->is_queueing_allowed;
}

/* Sends the call to another server. If none has a link, waits for one only
 * after the last attempt failed on its own link (code is not 0): a link that is
 * being replaced is up soon, one cut by a partition is not.
 * @return 0, or -1 if no server is left */
static int
try_next_server(struct bg_call *call, int code)
{
	struct bg_pick pick;

	switch (bg_call_pick_server(&pick, call)) {
	case 0:
		/* None of the servers left could run the call in time. */
		if (pick.wait_us != 0 && allowed_wait_ms(call, &pick) == 0)
			return -1;
		if (bg_call_is_hopeless(call, &pick))
			return -1;
		step_send(call, &pick);
		return 0;
	case BG_EUNAVAILABLE:
		if (code == 0)
			return -1;
		wait_for_link(call);
		return 0;
	default:
		return -1;
	}
}

/* Tries another gatekeeper for a call that did not reach a backend server.
 * @return 0, or -1 if no further attempt is made */
static int
try_next_gatekeeper(
    struct bg_call *call, int code, const struct bg_xcall_res *res)
{
	if (code == 0 && res->refusal == BG_XREFUSAL_BUSY &&
	    (call->busy_wait_us == 0 || res->load.wait_us < call->busy_wait_us))
		call->busy_wait_us = res->load.wait_us + 1;
	if (code == 0)
		call->cold_left_ms = res->load_extension.cold_left_ms;
	if (call->picks >= BG_CALL_PICKS_MAX ||
	    bg_call_left_us(call) < BG_DEADLINE_MIN_MS * 1000)
		return -1;
	return try_next_server(call, code);
}

/* Goes on with a repeat that waited for its admission. */
static void
step_repeat(struct bg_call *call)
{
	bg_metrics_count_retry();
	step_pick(call);
}

/* Retries the call at another server after one failed or shed it.
 * @return 0, or -1 if no further attempt is made */
static int
retry_call(struct bg_call *call, int code, const struct bg_xcall_res *res)
{
	struct bg_proxy *prx = call->proxy;
	struct bg_retry_context rc = {0};
	struct bg_pick pick;

	rc.outcome = code == 0 ? res->outcome : BG_XOUTCOME_UNKNOWN;
	rc.http_status = code == 0 ? res->http_status : 0;
	rc.sent = call->sent;
	rc.attempts = call->rule->attempts;
	rc.is_idempotent = call->rule->is_idempotent;
	rc.is_dependency_failure = code == 0 && res->dependency_failed != 0;
	if (!bg_retry_is_permitted(&rc) ||
	    bg_call_left_us(call) < BG_DEADLINE_MIN_MS * 1000 ||
	    bg_call_pick_server(&pick, call) == BG_ENOTFOUND)
		return -1;
	if (!bg_retry_take(&prx->retry, call->service, bg_clock_now_ms())) {
		bg_log_info("call", "not repeated request=%s reason=budget",
		    call->args.request_id);
		return -1;
	}
	switch (bg_call_admit_repeat(call, step_repeat)) {
	case BG_QUOTA_ADMITTED:
		bg_metrics_count_retry();
		return try_next_server(call, code);
	case BG_QUOTA_PENDING:
		return 0;
	default:
		return -1;
	}
}

static int
is_final(int code, const struct bg_xcall_res *res)
{
	return code == 0 && res->outcome == BG_XOUTCOME_DONE &&
	    res->http_status < 500;
}

/* Records the result of an attempt and decides whether to try again. */
static void
step_result(struct bg_call *call, int code, struct bg_xcall_res *res)
{
	char address[BG_ADDRESS_BYTES];

	snprintf(address, sizeof(address), "%s", call->endpoint->address);
	bg_call_record_attempt(call, code, res);
	call->endpoint = NULL;
	if (is_final(code, res)) {
		call->sent++;
		bg_call_reply_result(call, code, res);
		return;
	}
	if (is_gatekeeper_refusal(code, res)) {
		if (code == 0 && would_refuse_again(call, res))
			bg_call_avoid(call, address);
		if (try_next_gatekeeper(call, code, res) != 0)
			bg_call_reply_result(call, code, res);
		return;
	}
	call->sent++;
	call->args.is_repeat = 1;
	call->may_have_run |= code != 0 || res->outcome != BG_XOUTCOME_NOT_RUN;
	/* Another result of this node would be no better. A node whose link
	 * failed may be healthy, since the link is replaced. */
	if (code == 0 || code == BG_EPROTO)
		bg_call_avoid(call, address);
	if (retry_call(call, code, res) != 0)
		bg_call_reply_result(call, code, res);
}

/* Cancels the current attempt. @return 1 if it may have run */
static int
cancel_attempt(struct bg_call *call)
{
	int is_sent;

	if (call->attempt == NULL)
		return 0;
	is_sent = bg_attempt_is_sent(call->attempt);
	bg_attempt_cancel(call->attempt);
	call->attempt = NULL;
	return is_sent;
}

static void
on_deadline(struct bg_call *call)
{
	if (call->endpoint != NULL)
		bg_endpoint_failed(call->endpoint, bg_clock_now_ms());
	call->endpoint = NULL;
	call->may_have_run |= cancel_attempt(call);
	if (call->may_have_run)
		bg_call_reply_error(call, BG_XOUTCOME_UNKNOWN, STATUS_TIMEOUT,
		    0, "no answer came in time");
	else
		bg_call_refuse(call, BG_XREFUSAL_DEADLINE);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct bg_call *call = arg;

	if (!call->is_started) {
		call->is_started = 1;
		step_route(call);
	} else if (call->link_wait_start_us != 0)
		step_pick(call);
	else
		on_deadline(call);
}

int
bg_call_start(struct bg_call **out, struct bg_proxy *prx,
    struct bg_xcall_args *args, const struct bg_call_options *opts,
    bg_call_fn fn, void *arg)
{
	struct bg_call *call = calloc(1, sizeof(*call));

	if (call == NULL || bg_call_copy_caller(call, &opts->caller) != 0 ||
	    (call->timer = event_new(prx->base, -1, 0, on_timer, call)) ==
		NULL) {
		xdr_free((xdrproc_t)xdr_bg_xcall_args, (char *)args);
		if (call != NULL)
			bg_call_erase_key(call);
		free(call);
		return BG_ENOMEM;
	}
	call->proxy = prx;
	call->args = *args;
	call->fn = fn;
	call->arg = arg;
	call->start_us = bg_clock_now_us();
	call->caller_deadline_ms = opts->deadline_ms;
	call->is_dependency = opts->is_dependency;
	call->args.is_repeat = opts->is_repeat != 0;
	call->next = prx->calls;
	if (call->next != NULL)
		call->next->prev = call;
	prx->calls = call;
	if (call->is_dependency)
		bg_gatekeeper_dependency_begin(
		    prx->gatekeeper, call->args.request_id);
	event_active(call->timer, EV_TIMEOUT, 0);
	*out = call;
	return 0;
}

void
bg_call_cancel(struct bg_call *call)
{
	bg_log_info("call", "canceled request=%s picks=%u sent=%u",
	    call->args.request_id, call->picks, call->sent);
	if (call->endpoint != NULL)
		bg_endpoint_canceled(call->endpoint);
	cancel_attempt(call);
	bg_metrics_count_canceled();
	end_dependency(call, 1);
	call_free(call);
}

void
bg_call_free_all(struct bg_proxy *prx)
{
	while (prx->calls != NULL) {
		if (prx->calls->attempt != NULL)
			bg_attempt_cancel(prx->calls->attempt);
		call_free(prx->calls);
	}
}
