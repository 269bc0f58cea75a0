#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"

#include "node.h"
#include "pages.h"

/* Interval at which the progress of a stop is checked. */
#define STOP_TICK_MS 50
/* A stop does not wait longer than this for its announcement to be confirmed:
 * a parent that is lost is replaced within this time. */
#define ANNOUNCE_MAX_MS 6000

static const int STOP_SIGNALS[] = {SIGTERM, SIGINT};

/* Exits once the announcement of the stop is out and has had time to reach
 * the other nodes. */
static void
on_stop_tick(evutil_socket_t fd, short what, void *arg)
{
	struct bg_node *node = arg;
	uint64_t now_ms = bg_clock_now_ms();

	if (node->announced_ms == 0 &&
	    (bg_mesh_is_announced(node->mesh) ||
		now_ms - node->stop_started_ms >= ANNOUNCE_MAX_MS))
		node->announced_ms = now_ms;
	if (node->announced_ms == 0 ||
	    now_ms - node->announced_ms < node->settings.limits.announce_ms)
		return;
	if (!node->is_stopping) {
		node->is_stopping = 1;
		node->announced_ms = 0;
		node->stop_started_ms = now_ms;
		bg_mesh_set_state(node->mesh, BG_MEMBER_LEAVING);
		return;
	}
	bg_log_info("node", "stopped");
	event_base_loopbreak(node->base);
}

static void
on_stop(evutil_socket_t signo, short what, void *arg)
{
	static const struct timeval tick = {0, STOP_TICK_MS * 1000};
	struct bg_node *node = arg;

	if (node->stop_started_ms != 0)
		return;
	bg_log_info("node", "stopping signal=%d", (int)signo);
	node->stop_started_ms = bg_clock_now_ms();
	bg_mesh_set_state(node->mesh, BG_MEMBER_DRAINING);
	event_add(node->stop_timer, &tick);
}

static int
init_signals(struct bg_node *node)
{
	size_t i;

	for (i = 0; i < sizeof(STOP_SIGNALS) / sizeof(STOP_SIGNALS[0]); i++) {
		node->stop_signals[i] =
		    evsignal_new(node->base, STOP_SIGNALS[i], on_stop, node);
		if (node->stop_signals[i] == NULL ||
		    event_add(node->stop_signals[i], NULL) != 0)
			return BG_ENOMEM;
	}
	node->stop_timer =
	    event_new(node->base, -1, EV_PERSIST, on_stop_tick, node);
	return node->stop_timer == NULL ? BG_ENOMEM : 0;
}

static int
init_platform(struct bg_node *node, struct bg_error *err)
{
	struct bg_platform_options opts = BG_PLATFORM_OPTIONS_INIT;

	opts.address = node->settings.platform.address;
	opts.local_ip = node->settings.node.address;
	opts.timeout_ms = node->settings.platform.timeout_ms;
	if (opts.address[0] == '\0')
		return 0;
	return bg_platform_init(&node->platform, node->base, &opts, err);
}

static int
init_mesh(struct bg_node *node, struct bg_error *err)
{
	struct bg_mesh_options opts = BG_MESH_OPTIONS_INIT;
	char address[BG_SETTING_BYTES + 8];
	int error;

	snprintf(address, sizeof(address), "%s:%u", node->settings.node.address,
	    node->settings.node.mesh_port);
	error = bg_link_server_init(&node->server, node->base, address, err);
	if (error != 0)
		return error;
	opts.base = node->base;
	opts.settings = &node->settings;
	opts.platform = node->platform;
	opts.server = node->server;
	return bg_mesh_init(&node->mesh, &opts, err);
}

int
bg_node_init(struct bg_node *out, const struct bg_settings *settings,
    struct bg_error *err)
{
	int error;

	memset(out, 0, sizeof(*out));
	out->settings = *settings;
	if ((out->base = event_base_new()) == NULL)
		return bg_error_set(err, BG_ENOMEM, "start", NULL, "no loop");
	/* A peer that closed its connection must not end the process. */
	signal(SIGPIPE, SIG_IGN);
	if ((error = init_platform(out, err)) != 0 ||
	    (error = init_mesh(out, err)) != 0 ||
	    (error = bg_pages_init(&out->pages, out, err)) != 0)
		goto done;
	/* The tasks record, proxy and moves are added here, in this order. */
	error = init_signals(out);
done:
	if (error != 0)
		bg_node_free(out);
	return error;
}

int
bg_node_run(struct bg_node *node)
{
	bg_mesh_start(node->mesh);
	return event_base_dispatch(node->base) < 0 ? BG_EIO : 0;
}

void
bg_node_free(struct bg_node *node)
{
	size_t i;

	bg_pages_free(node->pages);
	/* The mesh owns the arguments of the platform's pending callbacks. */
	bg_platform_free(node->platform);
	bg_mesh_free(node->mesh);
	bg_link_server_free(node->server);
	for (i = 0; i < sizeof(STOP_SIGNALS) / sizeof(STOP_SIGNALS[0]); i++) {
		if (node->stop_signals[i] != NULL)
			event_free(node->stop_signals[i]);
	}
	if (node->stop_timer != NULL)
		event_free(node->stop_timer);
	if (node->base != NULL)
		event_base_free(node->base);
	memset(node, 0, sizeof(*node));
}
