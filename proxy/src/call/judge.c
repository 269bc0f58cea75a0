#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"

#include "../gatekeeper/answer.h"
#include "call_internal.h"

static int
pick(struct bg_pick *out, struct bg_call *call, int may_repeat)
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
	for (i = 0; !may_repeat && i < call->attempts; i++)
		q.tried[q.tried_count++] = call->tried[i];
	return bg_router_pick(out, &prx->router, &q);
}

int
bg_call_pick_server(struct bg_pick *out, struct bg_call *call)
{
	return pick(out, call, 0);
}

int
bg_call_pick_next(struct bg_pick *out, struct bg_call *call, int code)
{
	int error = pick(out, call, 0);

	/* If the link was lost, the only server may well answer on a new one.
	 */
	if (error == BG_ENOTFOUND && code != 0 && code != BG_EUNAVAILABLE)
		error = pick(out, call, 1);
	return error;
}

static int
is_shed(const struct bg_xcall_res *res)
{
	return bg_answer_is_shed(res->http_status, res->headers.headers_val,
	    res->headers.headers_len);
}

/* A gatekeeper that refuses although it has nothing to do lost its backend
 * server. Its load of 0 must not attract all calls until that is announced. */
static int
is_idle_refusal(const struct bg_xcall_res *res)
{
	return res->outcome == BG_XOUTCOME_NOT_RUN && res->running == 0 &&
	    res->queued == 0;
}

void
bg_call_judge_version(struct bg_call *call, const struct bg_xcall_res *res)
{
	struct bg_proxy *prx = call->proxy;
	const struct bg_head_service *svc = &call->service->head;
	const char *version = call->picked_version;
	int is_failed;

	if (res->outcome == BG_XOUTCOME_NOT_RUN || res->dependency_failed ||
	    is_shed(res))
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

void
bg_call_judge_endpoint(
    struct bg_call *call, int code, const struct bg_xcall_res *res)
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
	    res->outcome == BG_XOUTCOME_UNKNOWN || is_idle_refusal(res) ||
		(res->http_status >= 500 && !res->dependency_failed &&
		    res->outcome == BG_XOUTCOME_DONE),
	    now_us / 1000);
}

int
bg_call_wants_retry(
    struct bg_call *call, int code, const struct bg_xcall_res *res)
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
