#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"

#include "gate_call.h"

/* A leaving server takes the calls that were on their way to it; no other ones
 * are sent there once its leaving is known. */
#define LEAVING_CALLS_MS 500
/* Connections that are used before a snapshot tells the server's limit. */
#define CONNECTIONS_DEFAULT 32
/* A connection is left free: the server counts one that it is closing. */
#define CONNECTIONS_SPARE 2
/* A real call was answered within this time: the server is alive. */
#define ANSWERED_MS 1000
/* Cold start of a probed backend server, which verdicts leave out. */
#define COLD_MS 10000

static uint32_t
without_spare(uint32_t connections)
{
	return connections > CONNECTIONS_SPARE ? connections - CONNECTIONS_SPARE
					       : connections;
}

int
bg_gate_is_open(const struct bg_gatekeeper *gk)
{
	return gk->backend != NULL &&
	    bg_server_takes_calls(
		&gk->server, LEAVING_CALLS_MS, bg_clock_now_ms());
}

static enum bg_member_state
member_state(const struct bg_gatekeeper *gk)
{
	switch (gk->server.state) {
	case BG_SERVER_READY:
		return BG_MEMBER_READY;
	case BG_SERVER_DRAINING:
	case BG_SERVER_GONE:
		return BG_MEMBER_DRAINING;
	default:
		return BG_MEMBER_STARTING;
	}
}

void
bg_gate_publish(struct bg_gatekeeper *gk)
{
	struct bg_server_announcement ann = {member_state(gk), gk->server.id,
	    gk->server.version, gk->server.slots};

	if (!gk->is_leaving)
		bg_mesh_announce_server(gk->mesh, &ann);
}

/* Why a call cannot be taken at all. */
static enum bg_xrefusal
find_refusal(const struct bg_gatekeeper *gk, const struct bg_xcall_args *args)
{
	if (gk->is_leaving)
		return BG_XREFUSAL_DRAINING;
	if (!bg_buffers_may_take(gk->buffers, 0))
		return BG_XREFUSAL_BUFFERS;
	if (strcmp(args->service, gk->settings->server.service) != 0)
		return BG_XREFUSAL_NO_SERVER;
	if (!bg_gate_is_open(gk))
		return gk->server.leaving_ms != 0 ? BG_XREFUSAL_DRAINING
						  : BG_XREFUSAL_NO_SERVER;
	if (gk->is_suspended)
		return BG_XREFUSAL_VERSION;
	if (args->server_version[0] != '\0' &&
	    strcmp(args->server_version, gk->server.version) != 0)
		return BG_XREFUSAL_VERSION;
	return BG_XREFUSAL_NONE;
}

static void
refuse_hopeless(struct bg_gatekeeper *gk)
{
	struct bg_limiter_entry *entry;
	uint64_t now_us = bg_clock_now_us();

	while ((entry = bg_limiter_hopeless(&gk->limiter, now_us)) != NULL) {
		bg_limiter_leave(
		    &gk->limiter, entry, now_us, BG_LIMITER_IGNORED);
		bg_gate_refuse((struct bg_gate_call *)entry, BG_XREFUSAL_BUSY);
	}
}

static void
admit(struct bg_gate_call *call)
{
	struct bg_gatekeeper *gk = call->gatekeeper;
	enum bg_xrefusal why = find_refusal(gk, call->args);

	if (why != BG_XREFUSAL_NONE) {
		bg_gate_refuse(call, why);
		return;
	}
	switch (
	    bg_limiter_enter(&gk->limiter, &call->entry, bg_clock_now_us())) {
	case BG_LIMITER_RUN:
		bg_gate_run(call, 0);
		break;
	case BG_LIMITER_QUEUED:
		bg_gate_arm(call, call->entry.latest_start_us);
		refuse_hopeless(gk);
		break;
	case BG_LIMITER_BUSY:
		bg_gate_refuse(call, BG_XREFUSAL_BUSY);
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

	bg_log_info("gatekeeper", "canceled request=%s was=%s",
	    call->args->request_id,
	    call->exchange != NULL ? "running" : "waiting");
	if (call->exchange != NULL)
		bg_backend_cancel(call->exchange);
	bg_limiter_leave(
	    &gk->limiter, &call->entry, bg_clock_now_us(), BG_LIMITER_IGNORED);
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

/* Calls that are still queued when the server stops taking any. */
static void
on_drain_timer(evutil_socket_t fd, short what, void *arg)
{
	struct bg_gatekeeper *gk = arg;
	struct bg_gate_call *call;

	if (bg_gate_is_open(gk))
		return;
	for (call = gk->calls; call != NULL; call = call->next) {
		if (!call->entry.is_queued)
			continue;
		bg_limiter_leave(&gk->limiter, &call->entry, bg_clock_now_us(),
		    BG_LIMITER_IGNORED);
		bg_gate_refuse(call, BG_XREFUSAL_DRAINING);
	}
}

static void
arm_drain(struct bg_gatekeeper *gk)
{
	static const struct timeval tv = {0, LEAVING_CALLS_MS * 1000};

	event_add(gk->drain_timer, &tv);
}

/* Another server took the place of the one before it. */
static void
take_new_server(struct bg_gatekeeper *gk, const struct bg_announcement *ann)
{
	bg_limiter_reset(&gk->limiter);
	bg_backend_drop_idle(gk->backend);
	gk->warm_ms = bg_clock_now_ms() + ann->warmup_left_ms;
}

enum bg_announce_result
bg_gatekeeper_announce(
    struct bg_gatekeeper *gk, const struct bg_announcement *ann)
{
	struct bg_server before = gk->server;
	struct bg_announcement known = *ann;
	enum bg_announce_result result;

	if (gk->backend == NULL ||
	    !bg_announcement_is_of(ann, gk->settings->server.service))
		return BG_ANNOUNCE_REFUSED;
	if (!known.has_born)
		known.born_ms = bg_clock_wall_ms();
	result = bg_server_announce(&gk->server, &known, bg_clock_now_ms());
	if (result != BG_ANNOUNCE_TAKEN)
		return result;
	bg_log_info("gatekeeper",
	    "server id=%s version=%s state=%d before=%d slots=%u born=%llu "
	    "seq=%llu",
	    gk->server.id, gk->server.version, (int)gk->server.state,
	    (int)before.state, gk->server.slots,
	    (unsigned long long)gk->server.born_ms,
	    (unsigned long long)gk->server.sequence);
	if (strcmp(before.id, gk->server.id) != 0 ||
	    before.born_ms != gk->server.born_ms)
		take_new_server(gk, ann);
	bg_limiter_set_slots(&gk->limiter, gk->server.slots);
	gk->refused_connections = 0;
	if (gk->server.leaving_ms != 0 && before.leaving_ms == 0)
		arm_drain(gk);
	bg_gate_publish(gk);
	bg_gate_start_next(gk);
	return result;
}

int
bg_gatekeeper_has_left(const struct bg_gatekeeper *gk)
{
	return gk->server.leaving_ms != 0;
}

void
bg_gatekeeper_suspend(struct bg_gatekeeper *gk, int is_suspended)
{
	gk->is_suspended = is_suspended;
	bg_log_info("gatekeeper", "server id=%s suspended=%d", gk->server.id,
	    is_suspended);
}

void
bg_gatekeeper_leave(struct bg_gatekeeper *gk)
{
	gk->is_leaving = 1;
}

void
bg_gatekeeper_snapshot(struct bg_gatekeeper *gk, const struct bg_snapshot *snap)
{
	const struct bg_settings *set = gk->settings;
	const struct bg_service *svc =
	    bg_snapshot_service(snap, set->server.service);
	uint32_t connections;

	if (svc == NULL || gk->backend == NULL)
		return;
	connections = svc->contract.connections;
	if (connections == 0 ||
	    (set->server.connections != 0 &&
		set->server.connections < connections))
		connections = set->server.connections;
	if (connections != 0)
		bg_backend_set_connections(
		    gk->backend, without_spare(connections));
	if (!set->server.is_announced && svc->contract.slots != 0 &&
	    svc->contract.slots < set->server.slots)
		bg_limiter_set_slots(&gk->limiter, svc->contract.slots);
	bg_gate_start_next(gk);
}

uint32_t
bg_gatekeeper_in_flight(const struct bg_gatekeeper *gk)
{
	return gk->in_flight;
}

static void
probe_announce(void *arg, const struct bg_announcement *ann)
{
	struct bg_gatekeeper *gk = arg;
	struct bg_announcement known = *ann;

	/* A version that changed under the same probe is a new server. */
	known.warmup_left_ms = COLD_MS;
	bg_gatekeeper_announce(gk, &known);
}

static void
probe_lost(void *arg)
{
	struct bg_gatekeeper *gk = arg;

	bg_log_warn(
	    "gatekeeper", "server lost id=%s reason=probe", gk->server.id);
	bg_server_lose(&gk->server);
	bg_gate_publish(gk);
}

static int
probe_answers_calls(void *arg)
{
	struct bg_gatekeeper *gk = arg;

	return bg_clock_now_ms() - bg_backend_heard_ms(gk->backend) <
	    ANSWERED_MS;
}

static int
init_server_side(struct bg_gatekeeper *gk, struct bg_error *err)
{
	const struct bg_settings *set = gk->settings;
	struct bg_probe_handler handler = {
	    probe_announce, probe_lost, probe_answers_calls, gk};
	struct bg_backend_options opts = {gk->base, set->server.address,
	    &set->headers,
	    set->server.connections == 0
		? CONNECTIONS_DEFAULT
		: without_spare(set->server.connections),
	    set->limits.body_bytes};
	int error;

	if (set->server.address[0] == '\0')
		return 0;
	if ((error = bg_backend_init(&gk->backend, &opts, err)) != 0 ||
	    set->server.is_announced)
		return error;
	return bg_probe_init(&gk->probe, gk->base, set, &handler, err);
}

int
bg_gatekeeper_init(struct bg_gatekeeper **out,
    const struct bg_gatekeeper_options *opts, struct bg_error *err)
{
	struct bg_rpc_handler handler = {BG_PROC_CALL,
	    (xdrproc_t)xdr_bg_xcall_args, sizeof(struct bg_xcall_args),
	    handle_call, NULL};
	struct bg_gatekeeper *gk;
	int error = BG_ENOMEM;

	if ((gk = calloc(1, sizeof(*gk))) == NULL)
		return BG_ENOMEM;
	gk->base = opts->base;
	gk->settings = opts->settings;
	gk->mesh = opts->mesh;
	gk->observer = opts->observer;
	gk->buffers = opts->buffers;
	bg_limiter_init(&gk->limiter, opts->settings->server.slots);
	gk->drain_timer = evtimer_new(opts->base, on_drain_timer, gk);
	if (gk->drain_timer == NULL)
		goto on_error;
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
	bg_probe_free(gk->probe);
	bg_backend_free(gk->backend);
	if (gk->drain_timer != NULL)
		event_free(gk->drain_timer);
	free(gk);
}
