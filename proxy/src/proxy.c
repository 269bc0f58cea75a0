#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"

#include "call/call.h"
#include "ingress/ingress.h"
#include "proxy_internal.h"
#include "router/delays.h"

/* Interval at which a graceful stop looks at the calls in flight. */
#define DRAIN_STEP_MS 20

static void
on_snapshot(void *arg, struct bg_snapshot *snap)
{
	struct bg_proxy *prx = arg;

	bg_gatekeeper_snapshot(prx->gatekeeper, snap);
}

static int
keep_endpoint(void *arg, const char *address)
{
	return bg_roster_find(arg, address) != NULL;
}

static void
on_roster(void *arg, const struct bg_roster *ros)
{
	struct bg_proxy *prx = arg;

	bg_endpoints_sweep(&prx->router.endpoints, keep_endpoint, (void *)ros);
}

static int
init_parts(struct bg_proxy *prx, const struct bg_proxy_options *opts,
    struct bg_error *err)
{
	struct bg_link_options links = BG_LINK_OPTIONS_INIT;
	struct bg_gatekeeper_options gate;
	int error;

	links.local_ip = opts->settings->node.address;
	if ((error = bg_link_pool_init(&prx->links, prx->base, &links)) != 0)
		return error;
	gate.base = opts->base;
	gate.settings = opts->settings;
	gate.mesh = opts->mesh;
	gate.server = opts->server;
	gate.observer = opts->observer;
	gate.buffers = &prx->buffers;
	if ((error = bg_gatekeeper_init(&prx->gatekeeper, &gate, err)) != 0)
		return error;
	error = bg_delays_init(&prx->delays, prx->base, &prx->router, prx->mesh,
	    prx->links, opts->settings->node.data_centre);
	if (error != 0)
		return error;
	return bg_ingress_init(&prx->ingress, prx, err);
}

int
bg_proxy_init(struct bg_proxy **out, const struct bg_proxy_options *opts,
    struct bg_error *err)
{
	struct bg_mesh_listener listener = {
	    on_snapshot, on_roster, NULL, NULL, NULL};
	struct bg_proxy *prx;
	int error;

	assert(opts->version == BG_PROXY_OPTIONS_VERSION);
	if ((prx = calloc(1, sizeof(*prx))) == NULL)
		return BG_ENOMEM;
	prx->base = opts->base;
	prx->settings = opts->settings;
	prx->mesh = opts->mesh;
	prx->records = opts->records;
	prx->observer = opts->observer;
	prx->buffers.limit_bytes = opts->settings->limits.buffered_bytes;
	bg_router_init(&prx->router, 0);
	bg_share_init(&prx->share);
	bg_breaker_init(&prx->breaker);
	bg_retry_init(&prx->retry);
	if ((error = init_parts(prx, opts, err)) != 0) {
		bg_proxy_free(prx);
		return error;
	}
	listener.arg = prx;
	if ((error = bg_mesh_listen(opts->mesh, &listener)) != 0) {
		bg_proxy_free(prx);
		return error;
	}
	*out = prx;
	return 0;
}

void
bg_proxy_free(struct bg_proxy *prx)
{
	if (prx == NULL)
		return;
	bg_ingress_free(prx->ingress);
	bg_call_free_all(prx);
	bg_gatekeeper_free(prx->gatekeeper);
	bg_link_pool_free(prx->links);
	bg_delays_free(prx->delays);
	bg_router_free(&prx->router);
	bg_share_free(&prx->share);
	bg_breaker_free(&prx->breaker);
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
bg_proxy_page(struct bg_proxy *prx, const char *path, bg_page_fn fn, void *arg)
{
	return bg_ingress_page(prx->ingress, path, fn, arg);
}

void
bg_proxy_ban(struct bg_proxy *prx, const char *service,
    const char *server_version, uint64_t move_generation)
{
	bg_log_info("ingress", "marked service=%s version=%s generation=%llu",
	    service, server_version, (unsigned long long)move_generation);
	if (bg_breaker_ban(
		&prx->breaker, service, server_version, move_generation) != 0)
		bg_log_error("ingress", "mark not kept service=%s", service);
}

static uint32_t
in_flight(const struct bg_proxy *prx)
{
	return prx->calls_in_flight + bg_gatekeeper_in_flight(prx->gatekeeper);
}

int
bg_proxy_is_idle(const struct bg_proxy *prx)
{
	return in_flight(prx) == 0;
}

static void
on_drain(evutil_socket_t fd, short what, void *arg)
{
	static const struct timeval step = {0, DRAIN_STEP_MS * 1000};
	struct bg_proxy *prx = arg;

	if (bg_drain_step(&prx->drain, bg_mesh_is_announced(prx->mesh),
		in_flight(prx), bg_clock_now_ms())) {
		if (prx->drain.state == BG_DRAIN_LEAVING) {
			bg_log_info("proxy", "leaving");
			bg_mesh_set_state(prx->mesh, BG_MEMBER_LEAVING);
			bg_gatekeeper_leave(prx->gatekeeper);
			bg_ingress_stop_listening(prx->ingress);
		}
		if (prx->drain.state == BG_DRAIN_DONE) {
			bg_log_info("proxy", "drained left_running=%u",
			    prx->drain.left_running);
			prx->drain_done(prx->drain_arg);
			return;
		}
	}
	event_add(prx->drain_timer, &step);
}

void
bg_proxy_drain(struct bg_proxy *prx, void (*done)(void *arg), void *arg)
{
	if (prx->drain.state != BG_DRAIN_NONE)
		return;
	prx->drain_done = done;
	prx->drain_arg = arg;
	prx->drain_timer = event_new(prx->base, -1, 0, on_drain, prx);
	if (prx->drain_timer == NULL) {
		done(arg);
		return;
	}
	bg_log_info("proxy", "draining in_flight=%u", in_flight(prx));
	bg_gatekeeper_drain(prx->gatekeeper);
	bg_mesh_set_state(prx->mesh, BG_MEMBER_DRAINING);
	bg_drain_begin(&prx->drain, prx->settings->limits.announce_ms,
	    prx->settings->limits.drain_ms, bg_clock_now_ms());
	event_active(prx->drain_timer, EV_TIMEOUT, 0);
}
