#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"

#include "body.h"
#include "emptying.h"
#include "gate_call.h"
#include "gate_status.h"
#include "gate_warmup.h"
#include "gate_work.h"

/* Limit of connections until a snapshot gives that of the server. */
#define DEFAULT_CONNECTIONS 32
/* Connections below the server's limit that stay unused, because the server
 * still counts a connection that it is closing. */
#define SPARE_CONNECTIONS 2
/* A server that sent bytes of a response within this time is alive. */
#define RECENT_RESPONSE_MS 1000

static uint32_t
usable_connections(uint32_t connections)
{
	return connections > SPARE_CONNECTIONS ? connections - SPARE_CONNECTIONS
					       : connections;
}

int
bg_gate_accepts_calls(const struct bg_gatekeeper *gk)
{
	return gk->backend != NULL &&
	    bg_mesh_admission(gk->mesh) == BG_ADMISSION_OPEN &&
	    bg_server_accepts_calls(
		&gk->server, BG_GATE_DRAIN_GRACE_MS, bg_clock_now_ms());
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
	    gk->server.version, gk->server.slots, gk->server.started_ms};

	if (!gk->is_draining || ann.state == BG_MEMBER_DRAINING)
		bg_mesh_announce_server(gk->mesh, &ann);
}

enum bg_xrefusal
bg_gate_find_refusal(
    const struct bg_gatekeeper *gk, const struct bg_xcall_args *args)
{
	enum bg_xrefusal why;

	if (!bg_buffers_can_admit(
		gk->buffers, bg_link_server_output_bytes(gk->link_server)))
		return BG_XREFUSAL_BUFFERS;
	if (strcmp(args->service, gk->settings->server.service) != 0)
		return BG_XREFUSAL_NO_SERVER;
	if ((why = bg_gate_emptying_refusal(gk)) != BG_XREFUSAL_NONE)
		return why;
	if (!bg_gate_accepts_calls(gk))
		return gk->server.leaving_since_ms != 0 ? BG_XREFUSAL_DRAINING
							: BG_XREFUSAL_NO_SERVER;
	if (gk->is_suspended)
		return BG_XREFUSAL_VERSION;
	if (args->server_version[0] != '\0' &&
	    strcmp(args->server_version, gk->server.version) != 0)
		return BG_XREFUSAL_VERSION;
	return BG_XREFUSAL_NONE;
}

void
bg_gate_refuse_infeasible(struct bg_gatekeeper *gk)
{
	struct bg_limiter_entry *entry;
	uint64_t now_us = bg_clock_now_us();

	while ((entry = bg_limiter_find_infeasible(&gk->limiter, now_us)) !=
	    NULL) {
		bg_limiter_release(
		    &gk->limiter, entry, now_us, BG_LIMITER_IGNORED);
		bg_gate_refuse((struct bg_gate_call *)entry, BG_XREFUSAL_BUSY);
	}
}

void
bg_gate_admit(struct bg_gate_call *call)
{
	struct bg_gatekeeper *gk = call->gatekeeper;
	enum bg_xrefusal why = bg_gate_find_refusal(gk, call->args);

	if (why != BG_XREFUSAL_NONE) {
		bg_gate_refuse(call, why);
		return;
	}
	if (bg_gate_work_hands_back(call)) {
		bg_gate_work_log_hand_back(call);
		bg_gate_refuse(call, BG_XREFUSAL_BUSY);
		return;
	}
	bg_gate_work_prepare(call);
	switch (
	    bg_limiter_acquire(&gk->limiter, &call->entry, bg_clock_now_us())) {
	case BG_LIMITER_STARTED:
		bg_gate_send(call, 0);
		break;
	case BG_LIMITER_QUEUED:
		bg_gate_set_timer(call, bg_queue_latest_start_us(&call->entry));
		bg_gate_refuse_infeasible(gk);
		bg_gate_warmup_schedule(gk);
		break;
	case BG_LIMITER_REJECTED:
		bg_gate_refuse(call, BG_XREFUSAL_BUSY);
		break;
	}
	bg_metrics_set_gatekeeper(gk->limiter.running, gk->limiter.queue.length,
	    (uint32_t)gk->limiter.limit);
}

/* Handles a new call. A stopping node takes none, but it still admits those
 * whose body was arriving when the stop began. */
static void
begin(struct bg_gate_call *call)
{
	if (call->gatekeeper->is_draining)
		bg_gate_refuse(call, BG_XREFUSAL_DRAINING);
	else if (call->args->body_bytes > 0)
		bg_gate_body_begin(call);
	else
		bg_gate_admit(call);
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
	begin(call);
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
	bg_limiter_release(
	    &gk->limiter, &call->entry, bg_clock_now_us(), BG_LIMITER_IGNORED);
	bg_metrics_count_canceled();
	bg_gate_call_free(call);
	bg_gate_start_queued(gk);
	bg_gate_body_pump(gk);
}

void
bg_gate_on_rpc_cancel(void *arg)
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
	bg_rpc_on_cancel(rpc, bg_gate_on_rpc_cancel, call);
	begin(call);
}

/* 1 if the call with this id is made by the request, by the convention that the
 * id of a call is that of its request, or extends it by a suffix. */
static int
is_made_by(const char *call_id, const char *request_id)
{
	size_t bytes = strlen(request_id);

	return strncmp(call_id, request_id, bytes) == 0 &&
	    (call_id[bytes] == '\0' || call_id[bytes] == '.');
}

/* A request that the id extends goes before one with the same id, which may be
 * an earlier attempt at this call that came back to this VM. */
static struct bg_gate_call *
find_parent(const struct bg_gatekeeper *gk, const char *request_id)
{
	struct bg_gate_call *same = NULL;
	struct bg_gate_call *call;

	for (call = gk->calls; call != NULL; call = call->next) {
		if (!call->entry.is_running ||
		    !is_made_by(request_id, call->args->request_id))
			continue;
		if (strcmp(request_id, call->args->request_id) != 0)
			return call;
		same = call;
	}
	return same;
}

int
bg_gatekeeper_find_parent(struct bg_gate_parent *out,
    const struct bg_gatekeeper *gk, const char *request_id)
{
	const struct bg_gate_call *call = find_parent(gk, request_id);

	if (call == NULL)
		return 0;
	out->is_repeat = call->args->is_repeat != 0;
	out->has_same_id = strcmp(call->args->request_id, request_id) == 0;
	return 1;
}

void
bg_gatekeeper_dependency_begin(struct bg_gatekeeper *gk, const char *request_id)
{
	struct bg_gate_call *call = find_parent(gk, request_id);

	if (call != NULL)
		bg_dependency_begin(&call->dependency, bg_clock_now_us());
}

void
bg_gatekeeper_dependency_end(
    struct bg_gatekeeper *gk, const char *request_id, int is_failed)
{
	struct bg_gate_call *call = find_parent(gk, request_id);

	if (call != NULL)
		bg_dependency_end(
		    &call->dependency, bg_clock_now_us(), is_failed);
}

void
bg_gate_refuse_queued(struct bg_gatekeeper *gk)
{
	struct bg_gate_call *call;

	for (call = gk->calls; call != NULL; call = call->next) {
		if (!call->entry.is_queued)
			continue;
		bg_limiter_release(&gk->limiter, &call->entry,
		    bg_clock_now_us(), BG_LIMITER_IGNORED);
		bg_gate_refuse(call, BG_XREFUSAL_DRAINING);
	}
}

/* The grace period in which a leaving server accepts calls has ended. */
static void
on_drain_timer(evutil_socket_t fd, short what, void *arg)
{
	struct bg_gatekeeper *gk = arg;

	if (!bg_gate_accepts_calls(gk))
		bg_gate_refuse_queued(gk);
}

int
bg_gatekeeper_server_is_leaving(const struct bg_gatekeeper *gk)
{
	return gk->server.leaving_since_ms != 0;
}

void
bg_gatekeeper_set_suspended(struct bg_gatekeeper *gk, int is_suspended)
{
	gk->is_suspended = is_suspended;
	bg_log_info("gatekeeper", "server id=%s suspended=%d", gk->server.id,
	    is_suspended);
}

void
bg_gatekeeper_drain(struct bg_gatekeeper *gk)
{
	gk->is_draining = 1;
}

void
bg_gatekeeper_apply_snapshot(
    struct bg_gatekeeper *gk, const struct bg_snapshot *snap)
{
	const struct bg_settings *set = gk->settings;
	const struct bg_service *svc =
	    bg_snapshot_service(snap, set->server.service);
	uint32_t connections;

	if (svc == NULL || gk->backend == NULL)
		return;
	bg_gate_warmup_configure(gk, svc);
	connections = svc->contract.connections;
	if (connections == 0 ||
	    (set->server.connections != 0 &&
		set->server.connections < connections))
		connections = set->server.connections;
	if (connections != 0)
		bg_backend_set_connections(
		    gk->backend, usable_connections(connections));
	if (!set->server.sends_heartbeats && svc->contract.slots != 0 &&
	    svc->contract.slots < set->server.slots)
		bg_limiter_set_slots(&gk->limiter, svc->contract.slots);
	bg_gate_start_queued(gk);
	bg_gate_status_configure(gk, svc);
}

void
bg_gatekeeper_doubt_warmth(struct bg_gatekeeper *gk, const char *reason)
{
	bg_gate_warmup_doubt(gk, reason);
}

uint32_t
bg_gatekeeper_in_flight(const struct bg_gatekeeper *gk)
{
	return gk->in_flight;
}

static void
on_probe_announce(void *arg, const struct bg_announcement *ann)
{
	bg_gatekeeper_announce(arg, ann);
}

static void
on_probe_lost(void *arg)
{
	struct bg_gatekeeper *gk = arg;

	bg_log_warn(
	    "gatekeeper", "server lost id=%s reason=probe", gk->server.id);
	bg_server_mark_lost(&gk->server);
	bg_gate_publish(gk);
}

static int
has_recent_response(void *arg)
{
	struct bg_gatekeeper *gk = arg;

	return bg_clock_now_ms() - bg_backend_last_received_ms(gk->backend) <
	    RECENT_RESPONSE_MS;
}

static int
init_backend(struct bg_gatekeeper *gk, struct bg_error *err)
{
	const struct bg_settings *set = gk->settings;
	struct bg_probe_handler handler = {
	    on_probe_announce, on_probe_lost, has_recent_response, gk};
	struct bg_backend_options opts = {gk->base, set->server.address,
	    &set->headers,
	    set->server.connections == 0
		? DEFAULT_CONNECTIONS
		: usable_connections(set->server.connections),
	    set->limits.body_bytes, gk->buffers};
	int error;

	if (set->server.address[0] == '\0')
		return 0;
	if ((error = bg_backend_init(&gk->backend, &opts, err)) != 0 ||
	    set->server.sends_heartbeats)
		return error;
	return bg_probe_init(&gk->probe, gk->base, set, &handler, err);
}

int
bg_gatekeeper_init(struct bg_gatekeeper **out,
    const struct bg_gatekeeper_options *opts, struct bg_error *err)
{
	struct bg_rpc_handler call_handler = {BG_PROC_CALL,
	    (xdrproc_t)xdr_bg_xcall_args, sizeof(struct bg_xcall_args),
	    handle_call, NULL};
	struct bg_rpc_handler body_handler = {BG_PROC_BODY,
	    (xdrproc_t)xdr_bg_xbody_args, sizeof(struct bg_xbody_args),
	    bg_gate_body_handle, NULL};
	struct bg_gatekeeper *gk;
	int error = BG_ENOMEM;

	if ((gk = calloc(1, sizeof(*gk))) == NULL)
		return BG_ENOMEM;
	gk->base = opts->base;
	gk->settings = opts->settings;
	gk->mesh = opts->mesh;
	gk->link_server = opts->link_server;
	gk->observer = opts->observer;
	gk->buffers = opts->buffers;
	gk->retry = opts->retry;
	gk->on_decided = opts->on_decided;
	gk->decided_arg = opts->decided_arg;
	bg_challenge_init(&gk->challenge, bg_clock_wall_ms());
	bg_limiter_init(&gk->limiter, opts->settings->server.slots);
	bg_intake_init(&gk->intake, opts->settings->limits.link_mbps);
	gk->drain_timer = evtimer_new(opts->base, on_drain_timer, gk);
	if (gk->drain_timer == NULL || bg_gate_warmup_init(gk) != 0 ||
	    bg_gate_status_init(gk) != 0)
		goto on_error;
	if ((error = init_backend(gk, err)) != 0)
		goto on_error;
	call_handler.arg = body_handler.arg = gk;
	if ((error = bg_link_server_add_handler(
		 opts->link_server, &call_handler)) != 0 ||
	    (error = bg_link_server_add_handler(
		 opts->link_server, &body_handler)) != 0)
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
	bg_gate_status_free(gk);
	bg_probe_free(gk->probe);
	bg_backend_free(gk->backend);
	bg_gate_warmup_free(gk);
	if (gk->drain_timer != NULL)
		event_free(gk->drain_timer);
	free(gk);
}
