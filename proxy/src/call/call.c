/* The steps of a call, in order: route, record, pick, send, result, conclude.
 * Each step ends by calling the next one or by waiting for a callback. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"

#include "../metrics/metrics.h"
#include "../proxy_internal.h"
#include "attempt.h"
#include "call.h"
#include "deadline.h"

/* Answers above this are not kept in a record. */
#define RECORD_BODY_BYTES 16384

struct bg_call {
	struct bg_proxy *proxy;
	struct bg_call *prev;
	struct bg_call *next;
	struct bg_snapshot *snapshot;
	const struct bg_service *service;
	const struct bg_route *route;
	struct bg_xcall_args args;
	struct event *timer; /* start, then the deadline */
	bg_call_fn fn;
	void *arg;
	struct bg_attempt *attempt;
	struct bg_endpoint *endpoint;
	char tried[BG_TRIED_MAX][BG_ADDRESS_BYTES];
	uint32_t attempts;
	uint64_t began_us;
	uint64_t attempt_us;
	uint64_t deadline_us;
	uint32_t caller_deadline_ms;
	int is_started;
	int is_dependency;
	int is_begin_pending;
	int is_gone; /* no one waits for the answer any more */
	enum bg_refusal refusal;
	char picked_version[BG_NAME_BYTES];
	char record_key[BG_KEY_BYTES + 1];
	char *idempotency_key;
};

static void step_record(struct bg_call *call);
static void step_pick(struct bg_call *call);
static void step_send(struct bg_call *call, const struct bg_pick *pick);
static void step_result(
    struct bg_call *call, int code, struct bg_xcall_res *res);
static void step_conclude(struct bg_call *call, enum bg_xoutcome outcome,
    const struct bg_call_answer *ans);

static void
call_free(struct bg_call *call)
{
	/* The callback of a begin still refers to the call. */
	if (call->is_begin_pending)
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

static void
reply(struct bg_call *call, const struct bg_call_answer *ans)
{
	bg_call_fn fn = call->fn;
	void *arg = call->arg;

	bg_metrics_call(ans->outcome, bg_clock_now_us() - call->began_us);
	leave(
	    call, ans->outcome != BG_XOUTCOME_DONE || ans->http_status >= 500);
	fn(arg, ans);
	call_free(call);
}

static void
reply_error(struct bg_call *call, enum bg_xoutcome outcome,
    uint32_t http_status, uint32_t retry_after_ms, const char *reason)
{
	struct bg_call_answer ans;

	memset(&ans, 0, sizeof(ans));
	ans.outcome = outcome;
	ans.http_status = http_status;
	ans.retry_after_ms = retry_after_ms;
	ans.reason = reason;
	reply(call, &ans);
}

static void
refuse(struct bg_call *call, enum bg_refusal why)
{
	bg_metrics_refused(why);
	reply_error(call, BG_XOUTCOME_NOT_RUN, 503, BG_RETRY_AFTER_MS,
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
		refuse(call, BG_REFUSAL_UNSYNCED);
		return;
	}
	call->snapshot = bg_snapshot_acquire(snap);
	error = bg_snapshot_route(&call->service, &call->route, snap,
	    call->args.method, call->args.path);
	if (error != 0) {
		reply_error(call, BG_XOUTCOME_NOT_RUN,
		    error == BG_EINVAL ? 405 : 404, 0,
		    error == BG_EINVAL ? "the route does not allow this method"
				       : "no route has this path");
		return;
	}
	if (call->args.depth >= BG_CALL_DEPTH_MAX) {
		refuse(call, BG_REFUSAL_DEPTH);
		return;
	}
	if (fill_args(call) != 0) {
		refuse(call, BG_REFUSAL_BUFFERS);
		return;
	}
	bg_retry_call(&prx->retry, bg_clock_now_ms());
	arm_deadline(call);
	if (call->route->is_idempotent)
		step_pick(call);
	else
		step_record(call);
}

static uint64_t
request_digest(const struct bg_xcall_args *args)
{
	XXH64_state_t *st = XXH64_createState();
	uint64_t digest;

	if (st == NULL)
		return 0;
	XXH64_reset(st, 0);
	XXH64_update(st, args->method, strlen(args->method) + 1);
	XXH64_update(st, args->path, strlen(args->path) + 1);
	XXH64_update(st, args->body.body_val, args->body.body_len);
	digest = XXH64_digest(st);
	XXH64_freeState(st);
	return digest;
}

static void
reply_recorded(struct bg_call *call, const struct bg_xanswer *kept)
{
	struct bg_call_answer ans;

	memset(&ans, 0, sizeof(ans));
	ans.outcome = BG_XOUTCOME_DONE;
	ans.http_status = 200;
	ans.reason = "the call was done before; its answer was not kept";
	if (kept != NULL) {
		ans.http_status = kept->http_status;
		ans.headers = kept->headers.headers_val;
		ans.header_count = kept->headers.headers_len;
		ans.body = kept->body.body_val;
		ans.body_bytes = kept->body.body_len;
		ans.reason = NULL;
	}
	reply(call, &ans);
}

/* The permission arrived after the caller left: gives it back. */
static void
return_grant(struct bg_call *call, const struct bg_begin_result *res)
{
	if (res->status == BG_XBEGIN_GRANTED)
		bg_records_finish(call->proxy->records, call->record_key,
		    res->grant, BG_XOUTCOME_NOT_RUN, NULL);
	call_free(call);
}

static void
on_begin(void *arg, const struct bg_begin_result *res)
{
	struct bg_call *call = arg;

	call->is_begin_pending = 0;
	if (call->is_gone) {
		return_grant(call, res);
		return;
	}
	switch (res->status) {
	case BG_XBEGIN_GRANTED:
		call->args.grant = res->grant;
		step_pick(call);
		break;
	case BG_XBEGIN_DONE:
		reply_recorded(call, res->answer);
		break;
	case BG_XBEGIN_RUNNING:
		reply_error(call, BG_XOUTCOME_UNKNOWN, 504, res->retry_after_ms,
		    "a call with this key is running");
		break;
	case BG_XBEGIN_UNKNOWN:
		reply_error(call, BG_XOUTCOME_UNKNOWN, 502, 0,
		    "the outcome of the call with this key is not known");
		break;
	case BG_XBEGIN_MISMATCH:
		reply_error(call, BG_XOUTCOME_NOT_RUN, 422, 0,
		    "the key was used for another request");
		break;
	case BG_XBEGIN_NOT_RUN:
		bg_metrics_refused(BG_REFUSAL_RECORD);
		reply_error(call, BG_XOUTCOME_NOT_RUN, 503,
		    res->retry_after_ms != 0 ? res->retry_after_ms
					     : BG_RETRY_AFTER_MS,
		    res->reason != NULL ? res->reason
					: bg_refusal_text(BG_REFUSAL_RECORD));
		break;
	}
}

/* Takes the permission to run a non-idempotent call once. */
static void
step_record(struct bg_call *call)
{
	int n;

	if (call->idempotency_key == NULL || call->idempotency_key[0] == 0) {
		reply_error(call, BG_XOUTCOME_NOT_RUN, 400, 0,
		    "this route needs the header Idempotency-Key");
		return;
	}
	n = snprintf(call->record_key, sizeof(call->record_key), "%s/%s/%s",
	    call->service->head.name, call->route->name, call->idempotency_key);
	if (n < 0 || (size_t)n >= sizeof(call->record_key)) {
		reply_error(call, BG_XOUTCOME_NOT_RUN, 400, 0,
		    "the Idempotency-Key is too long");
		return;
	}
	call->is_begin_pending = 1;
	if (bg_records_begin(call->proxy->records, call->record_key,
		request_digest(&call->args),
		bg_deadline_left_ms(call->deadline_us, bg_clock_now_us()),
		on_begin, call) != 0) {
		call->is_begin_pending = 0;
		refuse(call, BG_REFUSAL_RECORD);
	}
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

static int
pick_server(struct bg_pick *out, struct bg_call *call)
{
	struct bg_proxy *prx = call->proxy;
	struct bg_pick_query q;
	size_t i;

	memset(&q, 0, sizeof(q));
	q.member_count = bg_roster_service(
	    &q.members, bg_mesh_roster(prx->mesh), call->service->head.name);
	q.service = call->service;
	q.route = call->route;
	q.data_centre = prx->settings->node.data_centre;
	q.share = &prx->share;
	q.breaker = &prx->breaker;
	q.now_ms = bg_clock_now_ms();
	q.wall_ms = bg_clock_wall_ms();
	for (i = 0; i < call->attempts && i < BG_TRIED_MAX; i++)
		q.tried[q.tried_count++] = call->tried[i];
	return bg_router_pick(out, &prx->router, &q);
}

/* Chooses the server of the next attempt. */
static void
step_pick(struct bg_call *call)
{
	struct bg_pick pick;

	if (bg_deadline_left_ms(call->deadline_us, bg_clock_now_us()) <
	    BG_DEADLINE_MIN_MS)
		conclude_refused(call, BG_REFUSAL_DEADLINE);
	else if (pick_server(&pick, call) != 0)
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

/* Tells the breaker what the call says about its server version. */
static void
judge_version(struct bg_call *call, const struct bg_xcall_res *res)
{
	struct bg_proxy *prx = call->proxy;
	const struct bg_head_service *svc = &call->service->head;
	const char *version = call->picked_version;
	int is_failed;

	if (res->outcome == BG_XOUTCOME_NOT_RUN || res->dependency_failed ||
	    res->http_status == 503 || res->http_status == 429)
		return;
	is_failed =
	    res->outcome == BG_XOUTCOME_UNKNOWN || res->http_status >= 500;
	if (res->server_version != NULL && res->server_version[0] != '\0')
		version = res->server_version;
	if (!bg_breaker_result(
		&prx->breaker, svc->name, &svc->move, version, is_failed))
		return;
	bg_metrics_stopped();
	bg_log_warn("ingress", "stopped service=%s version=%s generation=%llu",
	    svc->name, svc->move.to, (unsigned long long)svc->move.generation);
	if (prx->observer != NULL)
		prx->observer->stopped(prx->observer, svc->name, svc->move.to,
		    svc->move.generation, "3 of the last 5 calls failed");
}

static void
judge_endpoint(struct bg_call *call, int code, const struct bg_xcall_res *res)
{
	uint64_t now_us = bg_clock_now_us();
	struct bg_load load;

	if (code != 0) {
		bg_endpoint_answered(call->endpoint, NULL, 1, now_us / 1000);
		return;
	}
	load.running = res->running;
	load.queued = res->queued;
	load.took_us =
	    res->outcome == BG_XOUTCOME_DONE ? now_us - call->attempt_us : 0;
	bg_endpoint_answered(call->endpoint, &load,
	    res->outcome == BG_XOUTCOME_UNKNOWN ||
		(res->http_status >= 500 && !res->dependency_failed &&
		    res->outcome == BG_XOUTCOME_DONE),
	    now_us / 1000);
}

static int
wants_retry(struct bg_call *call, int code, const struct bg_xcall_res *res)
{
	struct bg_retry_case rc;

	rc.attempt = call->attempts;
	rc.depth = call->args.depth;
	rc.is_idempotent = call->route->is_idempotent;
	rc.http_status = code == 0 ? res->http_status : 0;
	rc.outcome = BG_XOUTCOME_UNKNOWN;
	if (code == BG_EUNAVAILABLE)
		rc.outcome = BG_XOUTCOME_NOT_RUN;
	else if (code == 0)
		rc.outcome = res->outcome;
	return bg_retry_is_permitted(&rc) &&
	    bg_deadline_left_ms(call->deadline_us, bg_clock_now_us()) >=
	    BG_DEADLINE_MIN_MS;
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

	judge_endpoint(call, code, res);
	if (code == 0)
		judge_version(call, res);
	call->endpoint = NULL;
	/* Without another server the answer at hand is the best one. */
	if (wants_retry(call, code, res) && pick_server(&pick, call) == 0 &&
	    bg_retry_take(&prx->retry, bg_clock_now_ms())) {
		bg_metrics_retry();
		step_send(call, &pick);
		return;
	}
	conclude_result(call, code, res);
}

static const struct bg_xanswer *
record_answer(struct bg_xanswer *out, const struct bg_call_answer *ans)
{
	if (ans->outcome != BG_XOUTCOME_DONE ||
	    ans->body_bytes > RECORD_BODY_BYTES)
		return NULL;
	memset(out, 0, sizeof(*out));
	out->http_status = ans->http_status;
	out->headers.headers_len = ans->header_count;
	out->headers.headers_val = (struct bg_xheader *)ans->headers;
	out->body.body_len = ans->body_bytes;
	out->body.body_val = (char *)ans->body;
	return out;
}

static void
finish_record(struct bg_call *call, enum bg_xoutcome outcome,
    const struct bg_xanswer *kept)
{
	if (call->args.grant != 0)
		bg_records_finish(call->proxy->records, call->record_key,
		    call->args.grant, outcome, kept);
	call->args.grant = 0;
}

/* Stores the outcome under the key, then answers. */
static void
step_conclude(struct bg_call *call, enum bg_xoutcome outcome,
    const struct bg_call_answer *ans)
{
	struct bg_xanswer kept;

	finish_record(call, outcome, record_answer(&kept, ans));
	reply(call, ans);
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
		judge_endpoint(call, BG_ETIMEOUT, NULL);
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
	finish_record(call,
	    may_have_run ? BG_XOUTCOME_UNKNOWN : BG_XOUTCOME_NOT_RUN, NULL);
	leave(call, 1);
	call_free(call);
}

void
bg_call_free_all(struct bg_proxy *prx)
{
	while (prx->calls != NULL) {
		prx->calls->is_begin_pending = 0;
		call_free(prx->calls);
	}
}
