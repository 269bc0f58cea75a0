/* The steps of a call, in order: route, record (record.c), pick, send, result,
 * conclude. Each step ends by calling the next one or by waiting for a
 * callback. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"

#include "call_internal.h"

static void step_send(struct bg_call *call, const struct bg_pick *pick);
static void step_result(
    struct bg_call *call, int code, struct bg_xcall_res *res);
static void step_conclude(struct bg_call *call, enum bg_xoutcome outcome,
    const struct bg_call_answer *ans);

void
bg_call_free(struct bg_call *call)
{
	/* A permission that arrives later must still be given back. */
	if (call->begin != NULL)
		return;
	if (call->prev != NULL)
		call->prev->next = call->next;
	else
		call->proxy->calls = call->next;
	if (call->next != NULL)
		call->next->prev = call->prev;
	if (call->timer != NULL)
		event_free(call->timer);
	if (call->snapshot != NULL)
		bg_snapshot_release(call->snapshot);
	xdr_free((xdrproc_t)xdr_bg_xcall_args, (char *)&call->args);
	free(call->idempotency_key);
	free(call);
}

/* Takes the call out of the count of calls in flight. */
static void
leave(struct bg_call *call, int is_failed)
{
	call->is_gone = 1;
	call->proxy->calls_in_flight--;
	event_del(call->timer);
	if (call->is_dependency)
		bg_gatekeeper_dependency_end(
		    call->proxy->gatekeeper, call->args.request_id, is_failed);
}

void
bg_call_reply(struct bg_call *call, const struct bg_call_answer *ans)
{
	bg_call_fn fn = call->fn;
	void *arg = call->arg;

	bg_metrics_call(ans->outcome, bg_clock_now_us() - call->began_us);
	leave(
	    call, ans->outcome != BG_XOUTCOME_DONE || ans->http_status >= 500);
	fn(arg, ans);
	bg_call_free(call);
}

void
bg_call_reply_error(struct bg_call *call, enum bg_xoutcome outcome,
    uint32_t http_status, uint32_t retry_after_ms, const char *reason)
{
	struct bg_call_answer ans;

	memset(&ans, 0, sizeof(ans));
	ans.outcome = outcome;
	ans.http_status = http_status;
	ans.retry_after_ms = retry_after_ms;
	ans.reason = reason;
	bg_call_reply(call, &ans);
}

void
bg_call_refuse(struct bg_call *call, enum bg_refusal why)
{
	bg_metrics_refused(why);
	bg_call_reply_error(call, BG_XOUTCOME_NOT_RUN, 503, BG_RETRY_AFTER_MS,
	    bg_refusal_text(why));
}

static int
set_string(char **out, const char *text)
{
	free(*out);
	return (*out = strdup(text)) == NULL ? BG_ENOMEM : 0;
}

static void
arm_deadline(struct bg_call *call)
{
	uint32_t ms = bg_deadline_first_ms(
	    call->route->deadline_ms, call->caller_deadline_ms);
	uint32_t wait_ms = ms + 2 * BG_ATTEMPT_GRACE_MS;
	struct timeval tv = {wait_ms / 1000, (wait_ms % 1000) * 1000};

	call->deadline_us = call->began_us + (uint64_t)ms * 1000;
	event_add(call->timer, &tv);
}

static int
fill_args(struct bg_call *call)
{
	struct bg_xcall_args *args = &call->args;
	const struct bg_route *route = call->route;

	args->slow_ms = route->slow_ms;
	args->criticality = (u_int)route->criticality;
	args->idempotent = route->is_idempotent != 0;
	args->config_version = call->snapshot->version;
	if (set_string(&args->service, call->service->head.name) != 0 ||
	    set_string(&args->route, route->name) != 0)
		return BG_ENOMEM;
	return 0;
}

/* Finds service and route in the snapshot that the call keeps to its end. */
static void
step_route(struct bg_call *call)
{
	struct bg_proxy *prx = call->proxy;
	struct bg_snapshot *snap = bg_mesh_snapshot(prx->mesh);
	int error;

	if (snap == NULL || !bg_mesh_is_synced(prx->mesh)) {
		bg_call_refuse(call, BG_REFUSAL_UNSYNCED);
		return;
	}
	call->snapshot = bg_snapshot_acquire(snap);
	error = bg_snapshot_route(&call->service, &call->route, snap,
	    call->args.method, call->args.path);
	if (error != 0) {
		bg_call_reply_error(call, BG_XOUTCOME_NOT_RUN,
		    error == BG_EINVAL ? 405 : 404, 0,
		    error == BG_EINVAL ? "the route does not allow this method"
				       : "no route has this path");
		return;
	}
	if (call->args.depth >= BG_CALL_DEPTH_MAX) {
		bg_call_refuse(call, BG_REFUSAL_DEPTH);
		return;
	}
	if (fill_args(call) != 0) {
		bg_call_refuse(call, BG_REFUSAL_BUFFERS);
		return;
	}
	bg_retry_call(&prx->retry, bg_clock_now_ms());
	arm_deadline(call);
	if (call->route->is_idempotent)
		bg_call_step_pick(call);
	else
		bg_call_step_record(call);
}

static void
conclude_error(struct bg_call *call, enum bg_xoutcome outcome,
    uint32_t http_status, uint32_t retry_after_ms, const char *reason)
{
	struct bg_call_answer ans;

	memset(&ans, 0, sizeof(ans));
	ans.outcome = outcome;
	ans.http_status = http_status;
	ans.retry_after_ms = retry_after_ms;
	ans.reason = reason;
	step_conclude(call, outcome, &ans);
}

static void
conclude_refused(struct bg_call *call, enum bg_refusal why)
{
	bg_metrics_refused(why);
	conclude_error(call, BG_XOUTCOME_NOT_RUN, 503, BG_RETRY_AFTER_MS,
	    bg_refusal_text(why));
}

void
bg_call_step_pick(struct bg_call *call)
{
	struct bg_pick pick;

	if (bg_deadline_left_ms(call->deadline_us, bg_clock_now_us()) <
	    BG_DEADLINE_MIN_MS)
		conclude_refused(call, BG_REFUSAL_DEADLINE);
	else if (bg_call_pick_server(&pick, call) != 0)
		conclude_refused(call, BG_REFUSAL_NO_SERVER);
	else
		step_send(call, &pick);
}

static void
on_attempt(void *arg, int code, struct bg_xcall_res *res)
{
	struct bg_call *call = arg;

	call->attempt = NULL;
	step_result(call, code, res);
}

/* Sends the call to the gatekeeper of the chosen server. */
static void
step_send(struct bg_call *call, const struct bg_pick *pick)
{
	struct bg_proxy *prx = call->proxy;
	const struct bg_move *move = &call->service->head.move;
	int error = BG_ENOMEM;

	call->endpoint = pick->endpoint;
	call->attempt_us = bg_clock_now_us();
	snprintf(call->tried[call->attempts], BG_ADDRESS_BYTES, "%s",
	    pick->member->address);
	snprintf(call->picked_version, sizeof(call->picked_version), "%s",
	    pick->member->server_version);
	call->args.attempt = ++call->attempts;
	call->args.deadline_ms =
	    bg_deadline_left_ms(call->deadline_us, call->attempt_us);
	bg_endpoint_sent(call->endpoint);
	if ((move->state != BG_MOVE_IN_PROGRESS ||
		bg_share_count(&prx->share, call->service->head.name,
		    call->route, move, pick->is_new) == 0) &&
	    set_string(&call->args.server_version, call->picked_version) == 0)
		error = bg_attempt_start(&call->attempt, prx,
		    call->tried[call->attempts - 1], &call->args, on_attempt,
		    call);
	if (error != 0)
		step_result(call, BG_EUNAVAILABLE, NULL);
}

/* Gives the result of the last attempt to the caller. */
static void
conclude_result(struct bg_call *call, int code, struct bg_xcall_res *res)
{
	struct bg_call_answer ans;

	if (code == BG_EUNAVAILABLE) {
		conclude_refused(call, BG_REFUSAL_NO_SERVER);
		return;
	}
	if (code != 0) {
		conclude_error(call, BG_XOUTCOME_UNKNOWN,
		    code == BG_ETIMEOUT ? 504 : 502, 0,
		    "no answer came from the node of the backend server");
		return;
	}
	memset(&ans, 0, sizeof(ans));
	ans.outcome = res->outcome;
	ans.http_status = res->http_status;
	ans.headers = res->headers.headers_val;
	ans.header_count = res->headers.headers_len;
	ans.body = res->body.body_val;
	ans.body_bytes = res->body.body_len;
	ans.reason = res->outcome == BG_XOUTCOME_DONE ? NULL : res->reason;
	ans.retry_after_ms = res->retry_after_ms;
	step_conclude(call, res->outcome, &ans);
}

/* Judges an attempt and decides on another one. */
static void
step_result(struct bg_call *call, int code, struct bg_xcall_res *res)
{
	struct bg_proxy *prx = call->proxy;
	struct bg_pick pick;

	bg_call_judge_endpoint(call, code, res);
	if (code == 0)
		bg_call_judge_version(call, res);
	call->endpoint = NULL;
	/* Without another server the answer at hand is the best one. */
	if (bg_call_wants_retry(call, code, res) &&
	    bg_call_pick_next(&pick, call, code) == 0 &&
	    bg_retry_take(&prx->retry, bg_clock_now_ms())) {
		bg_metrics_retry();
		step_send(call, &pick);
		return;
	}
	conclude_result(call, code, res);
}

/* Stores the outcome under the key, then answers. */
static void
step_conclude(struct bg_call *call, enum bg_xoutcome outcome,
    const struct bg_call_answer *ans)
{
	bg_call_finish_record(call, outcome, ans);
	bg_call_reply(call, ans);
}

/* Gives up the running attempt. @return 1 if it may have run */
static int
abandon_attempt(struct bg_call *call)
{
	int is_sent;

	if (call->attempt == NULL)
		return 0;
	is_sent = bg_attempt_is_sent(call->attempt);
	bg_attempt_cancel(call->attempt);
	call->attempt = NULL;
	if (call->endpoint != NULL)
		bg_endpoint_canceled(call->endpoint);
	call->endpoint = NULL;
	return is_sent;
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct bg_call *call = arg;

	if (!call->is_started) {
		call->is_started = 1;
		step_route(call);
		return;
	}
	if (call->endpoint != NULL)
		bg_call_judge_endpoint(call, BG_ETIMEOUT, NULL);
	call->endpoint = NULL;
	if (abandon_attempt(call))
		conclude_error(call, BG_XOUTCOME_UNKNOWN, 504, 0, "deadline");
	else
		conclude_refused(call, BG_REFUSAL_DEADLINE);
}

int
bg_call_start(struct bg_call **out, struct bg_proxy *prx,
    struct bg_xcall_args *args, const struct bg_call_options *opts,
    bg_call_fn fn, void *arg)
{
	struct bg_call *call = calloc(1, sizeof(*call));

	if (call == NULL ||
	    (call->timer = event_new(prx->base, -1, 0, on_timer, call)) ==
		NULL ||
	    (opts->idempotency_key != NULL &&
		set_string(&call->idempotency_key, opts->idempotency_key) !=
		    0)) {
		xdr_free((xdrproc_t)xdr_bg_xcall_args, (char *)args);
		if (call != NULL && call->timer != NULL)
			event_free(call->timer);
		free(call);
		return BG_ENOMEM;
	}
	call->proxy = prx;
	call->args = *args;
	call->fn = fn;
	call->arg = arg;
	call->began_us = bg_clock_now_us();
	call->caller_deadline_ms = opts->deadline_ms;
	call->next = prx->calls;
	if (call->next != NULL)
		call->next->prev = call;
	prx->calls = call;
	prx->calls_in_flight++;
	call->is_dependency = args->depth > 0;
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
	int may_have_run = abandon_attempt(call);

	bg_metrics_canceled();
	bg_call_finish_record(call,
	    may_have_run ? BG_XOUTCOME_UNKNOWN : BG_XOUTCOME_NOT_RUN, NULL);
	leave(call, 1);
	bg_call_free(call);
}

void
bg_call_free_all(struct bg_proxy *prx)
{
	while (prx->calls != NULL) {
		bg_call_forget_begin(prx->calls);
		bg_call_free(prx->calls);
	}
}
