#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"

#include "node.h"
#include "pages.h"

/* Interval at which a node that is about to exit looks for calls in flight. */
#define EXIT_TICK_MS 50

static const int STOP_SIGNALS[] = {SIGTERM, SIGINT};

/* Calls that came on open connections while the records were handed over are
 * finished as well; the exit would cut them off. */
static void
on_exit_tick(evutil_socket_t fd, short what, void *arg)
{
	struct bg_node *node = arg;

	if (!bg_proxy_is_idle(node->proxy) &&
	    bg_clock_now_ms() < node->exit_by_ms)
		return;
	bg_log_info("node", "stopped");
	event_base_loopbreak(node->base);
}

static void
on_records_drained(void *arg)
{
	static const struct timeval tick = {0, EXIT_TICK_MS * 1000};
	struct bg_node *node = arg;

	node->exit_by_ms = bg_clock_now_ms() + node->settings.limits.drain_ms;
	event_add(node->exit_timer, &tick);
}

static void
on_proxy_drained(void *arg)
{
	struct bg_node *node = arg;

	bg_records_drain(node->records, node->settings.limits.drain_ms,
	    on_records_drained, node);
}

/* A graceful stop: calls in flight finish first, then the records of this
 * node are handed over. */
static void
on_stop(evutil_socket_t signo, short what, void *arg)
{
	struct bg_node *node = arg;

	if (node->is_stopping)
		return;
	node->is_stopping = 1;
	bg_log_info("node", "stopping signal=%d", (int)signo);
	bg_proxy_drain(node->proxy, on_proxy_drained, node);
}

/* A MARK item stops its version at this node at once. */
static void
on_item(void *arg, const struct bg_item *item)
{
	struct bg_node *node = arg;
	char service[BG_NAME_BYTES];
	const char *slash;

	if (item->kind != BG_ITEM_MARK ||
	    (slash = strchr(item->key, '/')) == NULL)
		return;
	snprintf(service, sizeof(service), "%.*s", (int)(slash - item->key),
	    item->key);
	bg_proxy_ban(node->proxy, service, slash + 1, item->major);
}

static int
init_signals(struct bg_node *node)
{
	size_t i;

	/* A peer that closed its connection must not end the process. */
	signal(SIGPIPE, SIG_IGN);
	for (i = 0; i < sizeof(STOP_SIGNALS) / sizeof(STOP_SIGNALS[0]); i++) {
		node->stop_signals[i] =
		    evsignal_new(node->base, STOP_SIGNALS[i], on_stop, node);
		if (node->stop_signals[i] == NULL ||
		    event_add(node->stop_signals[i], NULL) != 0)
			return BG_ENOMEM;
	}
	node->exit_timer =
	    event_new(node->base, -1, EV_PERSIST, on_exit_tick, node);
	return node->exit_timer == NULL ? BG_ENOMEM : 0;
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

static int
init_records(struct bg_node *node, struct bg_error *err)
{
	struct bg_records_options opts = BG_RECORDS_OPTIONS_INIT;

	opts.base = node->base;
	opts.settings = &node->settings;
	opts.mesh = node->mesh;
	opts.platform = node->platform;
	opts.server = node->server;
	return bg_records_init(&node->records, &opts, err);
}

static int
init_moves(struct bg_node *node, struct bg_error *err)
{
	struct bg_moves_options opts = BG_MOVES_OPTIONS_INIT;

	opts.base = node->base;
	opts.settings = &node->settings;
	opts.mesh = node->mesh;
	opts.platform = node->platform;
	return bg_moves_init(&node->moves, &opts, err);
}

static int
init_proxy(struct bg_node *node, struct bg_error *err)
{
	struct bg_mesh_listener listener = {NULL, NULL, on_item, NULL, node};
	struct bg_proxy_options opts = BG_PROXY_OPTIONS_INIT;
	int error;

	opts.base = node->base;
	opts.settings = &node->settings;
	opts.mesh = node->mesh;
	opts.server = node->server;
	opts.records = node->records;
	opts.observer = bg_moves_observer(node->moves);
	if ((error = bg_proxy_init(&node->proxy, &opts, err)) != 0)
		return error;
	if ((error = bg_pages_init(node)) != 0)
		return error;
	return bg_mesh_listen(node->mesh, &listener);
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
	if ((error = init_signals(out)) != 0 ||
	    (error = init_platform(out, err)) != 0 ||
	    (error = init_mesh(out, err)) != 0 ||
	    (error = init_records(out, err)) != 0 ||
	    (error = init_moves(out, err)) != 0 ||
	    (error = init_proxy(out, err)) != 0)
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

	/* Pending callbacks of the platform point into the tasks. */
	bg_platform_free(node->platform);
	bg_proxy_free(node->proxy);
	bg_moves_free(node->moves);
	bg_records_free(node->records);
	bg_mesh_free(node->mesh);
	bg_link_server_free(node->server);
	for (i = 0; i < sizeof(STOP_SIGNALS) / sizeof(STOP_SIGNALS[0]); i++) {
		if (node->stop_signals[i] != NULL)
			event_free(node->stop_signals[i]);
	}
	if (node->exit_timer != NULL)
		event_free(node->exit_timer);
	if (node->base != NULL)
		event_base_free(node->base);
	memset(node, 0, sizeof(*node));
}
