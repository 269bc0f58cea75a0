#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"

#include "call/call.h"
#include "gatekeeper/presence.h"
#include "ingress/ingress.h"
#include "metrics/metrics.h"
#include "proxy_internal.h"

/* Interval at which a graceful stop checks the calls in flight. */
#define DRAIN_POLL_MS 20

static void
on_snapshot(void *arg, struct bg_snapshot *snap)
{
	struct bg_proxy *prx = arg;

	bg_gatekeeper_apply_snapshot(prx->gatekeeper, snap);
}

static int
is_member(void *arg, const char *address)
{
	return bg_roster_find(arg, address) != NULL;
}

static void
on_roster(void *arg, const struct bg_roster *ros)
{
	struct bg_proxy *prx = arg;

	bg_endpoints_sweep(&prx->router.endpoints, is_member, (void *)ros);
	bg_retry_set_nodes(&prx->retry, (uint32_t)ros->member_count);
}

static void
on_item(void *arg, const struct bg_item *item)
{
	struct bg_proxy *prx = arg;

	if (item->kind == BG_ITEM_EMPTIED)
		bg_gatekeeper_handle_emptying(prx->gatekeeper);
}

static void
on_recovered(void *arg, const struct bg_member *earlier)
{
	struct bg_proxy *prx = arg;
	struct bg_server_record record;

	if (earlier == NULL) {
		bg_gatekeeper_restore(prx->gatekeeper, NULL);
		return;
	}
	record.id = earlier->server_id;
	record.version = earlier->server_version;
	record.started_ms = earlier->server_started_ms;
	record.has_left = earlier->server_has_left;
	bg_gatekeeper_restore(prx->gatekeeper, &record);
}

static void
answer_held(struct bg_proxy *prx, int code)
{
	void (*fn)(void *arg, int code) = prx->held_fn;

	prx->held_fn = NULL;
	if (fn != NULL)
		fn(prx->held_arg, code);
}

static int
heartbeat_code(enum bg_announce_result result)
{
	switch (result) {
	case BG_ANNOUNCE_REJECTED:
		return BG_EINVAL;
	case BG_ANNOUNCE_UNCONFIRMED:
		return BG_EAGAIN;
	default:
		return 0;
	}
}

static void
on_decided(void *arg, enum bg_announce_result result)
{
	answer_held(arg, heartbeat_code(result));
}

static uint32_t
count_running_calls(void *arg)
{
	const struct bg_proxy *prx = arg;

	return bg_gatekeeper_running(prx->gatekeeper);
}

static int
init_gatekeeper(struct bg_proxy *prx, const struct bg_proxy_options *opts,
    struct bg_error *err)
{
	struct bg_gatekeeper_options gk_opts;

	gk_opts.base = opts->base;
	gk_opts.settings = opts->settings;
	gk_opts.mesh = opts->mesh;
	gk_opts.link_server = opts->server;
	gk_opts.observer = opts->observer;
	gk_opts.buffers = &prx->buffers;
	gk_opts.retry = &prx->retry;
	gk_opts.on_decided = on_decided;
	gk_opts.decided_arg = prx;
	return bg_gatekeeper_init(&prx->gatekeeper, &gk_opts, err);
}

int
bg_proxy_init(struct bg_proxy **out, const struct bg_proxy_options *opts,
    struct bg_error *err)
{
	struct bg_mesh_listener listener = {
	    on_snapshot, on_roster, on_item, on_recovered, NULL, NULL};
	struct bg_proxy *prx;
	int error;

	assert(opts->version == BG_PROXY_OPTIONS_VERSION);
	if ((prx = calloc(1, sizeof(*prx))) == NULL)
		return BG_ENOMEM;
	prx->base = opts->base;
	prx->settings = opts->settings;
	prx->mesh = opts->mesh;
	prx->links = opts->links;
	prx->quota = opts->quota;
	prx->buffers.limit_bytes = opts->settings->limits.buffered_bytes;
	bg_router_init(&prx->router, 0);
	bg_split_init(&prx->split, 0);
	bg_versions_init(&prx->versions);
	bg_retry_init(&prx->retry, &opts->settings->retry);
	listener.arg = prx;
	if ((error = init_gatekeeper(prx, opts, err)) != 0 ||
	    (error = bg_ingress_init(&prx->ingress, prx, err)) != 0 ||
	    (error = bg_mesh_add_listener(opts->mesh, &listener)) != 0) {
		bg_proxy_free(prx);
		return error;
	}
	bg_mesh_set_running_calls(opts->mesh, count_running_calls, prx);
	*out = prx;
	return 0;
}

void
bg_proxy_free(struct bg_proxy *prx)
{
	if (prx == NULL)
		return;
	answer_held(prx, BG_ECANCELED);
	bg_ingress_free(prx->ingress);
	bg_call_free_all(prx);
	bg_gatekeeper_free(prx->gatekeeper);
	bg_router_free(&prx->router);
	bg_split_free(&prx->split);
	bg_versions_free(&prx->versions);
	bg_retry_free(&prx->retry);
	if (prx->drain_timer != NULL)
		event_free(prx->drain_timer);
	free(prx);
}

uint16_t
bg_proxy_port(const struct bg_proxy *prx)
{
	return bg_ingress_port(prx->ingress);
}

int
bg_proxy_add_page(
    struct bg_proxy *prx, const char *path, bg_page_fn fn, void *arg)
{
	return bg_ingress_add_page(prx->ingress, path, fn, arg);
}

void
bg_proxy_set_move(
    struct bg_proxy *prx, const char *service, const struct bg_move *move)
{
	if (bg_versions_set_move(&prx->versions, service, move) != 0)
		bg_log_error("proxy",
		    "move not stored service=%s reason=\"out of memory\"",
		    service);
}

void
bg_proxy_ban(struct bg_proxy *prx, const char *service,
    const char *server_version, uint64_t move_generation)
{
	bg_log_info("proxy",
	    "server version banned service=%s version=%s generation=%llu",
	    service, server_version, (unsigned long long)move_generation);
	if (bg_bans_add(&prx->versions.bans, service, server_version,
		move_generation) != 0)
		bg_log_error("proxy",
		    "ban not stored service=%s reason=\"out of memory\"",
		    service);
}

void
bg_proxy_set_suspended(struct bg_proxy *prx, int is_suspended)
{
	bg_gatekeeper_set_suspended(prx->gatekeeper, is_suspended);
}

void
bg_proxy_announce(struct bg_proxy *prx, const struct bg_announcement *ann,
    void (*fn)(void *arg, int code), void *arg)
{
	enum bg_announce_result result =
	    bg_gatekeeper_announce(prx->gatekeeper, ann);

	if (result == BG_ANNOUNCE_HELD) {
		/* Its sender has repeated the one that was held before. */
		answer_held(prx, BG_ECANCELED);
		prx->held_fn = fn;
		prx->held_arg = arg;
	} else if (ann->state == BG_ANNOUNCED_READY ||
	    result == BG_ANNOUNCE_REJECTED)
		fn(arg, heartbeat_code(result));
	else if (result == BG_ANNOUNCE_STALE)
		fn(arg, BG_ESTALE);
	else
		bg_mesh_when_durable(prx->mesh, fn, arg);
}

int
bg_proxy_is_ready(const struct bg_proxy *prx)
{
	return prx->drain.state == BG_DRAIN_NONE &&
	    bg_mesh_is_synced(prx->mesh);
}

int
bg_proxy_server_is_leaving(const struct bg_proxy *prx)
{
	return bg_gatekeeper_server_is_leaving(prx->gatekeeper);
}

void
bg_proxy_check_server(
    struct bg_proxy *prx, void (*fn)(void *arg, int is_listening), void *arg)
{
	bg_presence_check(prx->base, prx->settings->server.address, fn, arg);
}

static uint32_t
in_flight(const struct bg_proxy *prx)
{
	return prx->requests_open + bg_gatekeeper_in_flight(prx->gatekeeper);
}

int
bg_proxy_is_idle(const struct bg_proxy *prx)
{
	return in_flight(prx) == 0;
}

static void
on_drain_timer(evutil_socket_t fd, short what, void *arg)
{
	static const struct timeval poll_interval = {0, DRAIN_POLL_MS * 1000};
	struct bg_proxy *prx = arg;

	if (bg_drain_step(&prx->drain, in_flight(prx), bg_clock_now_ms())) {
		if (prx->drain.state == BG_DRAIN_LEAVING) {
			bg_log_info("proxy", "leave announced in_flight=%u",
			    in_flight(prx));
			bg_mesh_announce_leave(prx->mesh);
			bg_gatekeeper_drain(prx->gatekeeper);
		}
		if (prx->drain.state == BG_DRAIN_DONE) {
			bg_log_info("proxy", "drain finished left_running=%u",
			    prx->drain.left_running);
			bg_ingress_stop_listening(prx->ingress);
			prx->drain_done(prx->drain_arg);
			return;
		}
	}
	event_add(prx->drain_timer, &poll_interval);
}

void
bg_proxy_drain(struct bg_proxy *prx, void (*done)(void *arg), void *arg)
{
	if (prx->drain.state != BG_DRAIN_NONE)
		return;
	prx->drain_done = done;
	prx->drain_arg = arg;
	prx->drain_timer = evtimer_new(prx->base, on_drain_timer, prx);
	if (prx->drain_timer == NULL) {
		done(arg);
		return;
	}
	bg_log_info("proxy", "drain started in_flight=%u", in_flight(prx));
	bg_drain_begin(&prx->drain, prx->settings->limits.announce_ms,
	    prx->settings->limits.drain_ms, bg_clock_now_ms());
	event_active(prx->drain_timer, EV_TIMEOUT, 0);
}
