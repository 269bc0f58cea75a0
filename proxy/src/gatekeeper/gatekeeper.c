#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"

#include "gate_call.h"

/* A connection is kept free for the probe of the backend server. */
#define PROBE_CONNECTIONS 1

static uint32_t
without_probe(uint32_t connections)
{
	return connections > PROBE_CONNECTIONS ? connections - PROBE_CONNECTIONS
					       : connections;
}

static void
admit(struct bg_gate_call *call)
{
	struct bg_gatekeeper *gk = call->gatekeeper;
	struct bg_limiter_entry *refused;
	enum bg_limiter_verdict verdict;

	if (gk->is_leaving) {
		bg_gate_refuse(call, BG_REFUSAL_DRAINING);
		return;
	}
	if (!bg_buffers_may_take(gk->buffers, 0)) {
		bg_gate_refuse(call, BG_REFUSAL_BUFFERS);
		return;
	}
	if (gk->backend == NULL || !bg_health_is_ready(gk->health)) {
		bg_gate_refuse(call, BG_REFUSAL_NO_BACKEND);
		return;
	}
	verdict = bg_limiter_enter(
	    &gk->limiter, &call->entry, bg_clock_now_us(), &refused);
	if (refused != NULL)
		bg_gate_refuse(
		    (struct bg_gate_call *)refused, BG_REFUSAL_EVICTED);
	switch (verdict) {
	case BG_LIMITER_RUN:
		bg_gate_run(call, 0);
		break;
	case BG_LIMITER_QUEUED:
		bg_gate_arm(call, call->deadline_us);
		break;
	case BG_LIMITER_FULL:
		bg_gate_refuse(call, BG_REFUSAL_QUEUE_FULL);
		break;
	case BG_LIMITER_TOO_LATE:
		bg_gate_refuse(call, BG_REFUSAL_DEADLINE);
		break;
	}
	bg_metrics_gate(gk->limiter.running, gk->limiter.queued,
	    (uint32_t)gk->limiter.limit);
}

int
bg_gatekeeper_call(struct bg_gate_call **out, struct bg_gatekeeper *gk,
    const struct bg_xcall_args *args, bg_gate_fn fn, void *arg)
{
	struct bg_gate_call *call;
	int error;

	if ((error = bg_gate_call_new(&call, gk, args)) != 0)
		return error;
	call->fn = fn;
	call->arg = arg;
	*out = call;
	admit(call);
	return 0;
}

void
bg_gatekeeper_cancel(struct bg_gate_call *call)
{
	struct bg_gatekeeper *gk = call->gatekeeper;

	if (call->exchange != NULL)
		bg_backend_cancel(call->exchange);
	bg_limiter_leave(&gk->limiter, &call->entry, bg_clock_now_us(), 0,
	    BG_LIMITER_IGNORED);
	bg_metrics_canceled();
	bg_gate_call_free(call);
	bg_gate_start_next(gk);
}

static void
on_rpc_cancel(void *arg)
{
	struct bg_gate_call *call = arg;
	struct bg_rpc *rpc = call->rpc;

	bg_gatekeeper_cancel(call);
	bg_rpc_drop(rpc);
}

static void
handle_call(void *arg, struct bg_rpc *rpc, void *args)
{
	struct bg_gatekeeper *gk = arg;
	struct bg_gate_call *call;

	if (bg_gate_call_new(&call, gk, args) != 0) {
		bg_rpc_drop(rpc);
		return;
	}
	call->rpc = rpc;
	call->buffered_bytes = call->args->body.body_len;
	bg_buffers_add(gk->buffers, call->buffered_bytes);
	bg_rpc_on_cancel(rpc, on_rpc_cancel, call);
	admit(call);
}

static struct bg_gate_call *
find_running(struct bg_gatekeeper *gk, const char *request_id)
{
	struct bg_gate_call *call;

	for (call = gk->calls; call != NULL; call = call->next) {
		if (call->entry.is_running &&
		    strcmp(call->args->request_id, request_id) == 0)
			return call;
	}
	return NULL;
}

void
bg_gatekeeper_dependency_begin(struct bg_gatekeeper *gk, const char *request_id)
{
	struct bg_gate_call *call = find_running(gk, request_id);

	if (call != NULL)
		bg_dependency_begin(&call->dependency, bg_clock_now_us());
}

void
bg_gatekeeper_dependency_end(
    struct bg_gatekeeper *gk, const char *request_id, int is_failed)
{
	struct bg_gate_call *call = find_running(gk, request_id);

	if (call != NULL)
		bg_dependency_end(
		    &call->dependency, bg_clock_now_us(), is_failed);
}

void
bg_gatekeeper_drain(struct bg_gatekeeper *gk)
{
	if (gk->health != NULL)
		bg_health_stop(gk->health);
}

void
bg_gatekeeper_leave(struct bg_gatekeeper *gk)
{
	gk->is_leaving = 1;
}

/* The smaller of two limits of which either may be absent. */
static uint32_t
smaller(uint32_t a, uint32_t b)
{
	if (a == 0 || b == 0)
		return a + b;
	return a < b ? a : b;
}

void
bg_gatekeeper_snapshot(struct bg_gatekeeper *gk, const struct bg_snapshot *snap)
{
	const struct bg_settings *set = gk->settings;
	const struct bg_service *svc =
	    bg_snapshot_service(snap, set->server.service);

	if (svc == NULL || gk->backend == NULL)
		return;
	bg_limiter_set_slots(
	    &gk->limiter, smaller(set->server.slots, svc->contract.slots));
	bg_backend_set_connections(gk->backend,
	    without_probe(
		smaller(set->server.connections, svc->contract.connections)));
	bg_gate_start_next(gk);
}

uint32_t
bg_gatekeeper_in_flight(const struct bg_gatekeeper *gk)
{
	return gk->in_flight;
}

static int
init_server_side(struct bg_gatekeeper *gk, struct bg_error *err)
{
	const struct bg_settings *set = gk->settings;
	int error;

	if (set->server.address[0] == '\0')
		return 0;
	error = bg_backend_init(&gk->backend, gk->base, set->server.address,
	    without_probe(set->server.connections), set->limits.body_bytes,
	    err);
	if (error != 0)
		return error;
	return bg_health_init(&gk->health, gk->base, set, gk->mesh, err);
}

int
bg_gatekeeper_init(struct bg_gatekeeper **out,
    const struct bg_gatekeeper_options *opts, struct bg_error *err)
{
	struct bg_rpc_handler handler = {BG_PROC_CALL,
	    (xdrproc_t)xdr_bg_xcall_args, sizeof(struct bg_xcall_args),
	    handle_call, NULL};
	struct bg_gatekeeper *gk;
	int error;

	if ((gk = calloc(1, sizeof(*gk))) == NULL)
		return BG_ENOMEM;
	gk->base = opts->base;
	gk->settings = opts->settings;
	gk->mesh = opts->mesh;
	gk->observer = opts->observer;
	gk->buffers = opts->buffers;
	bg_limiter_init(&gk->limiter, opts->settings->server.slots);
	if ((error = init_server_side(gk, err)) != 0)
		goto on_error;
	handler.arg = gk;
	if ((error = bg_link_server_handle(opts->server, &handler)) != 0)
		goto on_error;
	*out = gk;
	return 0;
on_error:
	bg_gatekeeper_free(gk);
	return error;
}

void
bg_gatekeeper_free(struct bg_gatekeeper *gk)
{
	struct bg_rpc *rpc;

	if (gk == NULL)
		return;
	while (gk->calls != NULL) {
		rpc = gk->calls->rpc;
		if (gk->calls->exchange != NULL)
			bg_backend_cancel(gk->calls->exchange);
		bg_gate_call_free(gk->calls);
		if (rpc != NULL)
			bg_rpc_drop(rpc);
	}
	bg_health_free(gk->health);
	bg_backend_free(gk->backend);
	free(gk);
}
