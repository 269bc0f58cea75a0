#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"
#include "burdockgrade/organisations.h"

#include "node.h"
#include "pages.h"

static const int STOP_SIGNALS[BG_STOP_SIGNAL_COUNT] = {SIGTERM, SIGINT};

/* Time to send responses to callers and peers that are still buffered. */
#define FLUSH_MS 50

static void
on_withdrawn(void *arg)
{
	static const struct timeval flush = {0, FLUSH_MS * 1000};
	struct bg_node *node = arg;

	bg_log_info("node", "stopped");
	event_base_loopexit(node->base, &flush);
}

/* A node whose backend server has ended will not be started again at this
 * address, so it is removed from the store. While a server that leaves still
 * runs, the node may be started again, and has to find that the server has
 * left. */
static void
on_server_checked(void *arg, int is_listening)
{
	struct bg_node *node = arg;

	if (is_listening)
		on_withdrawn(node);
	else
		bg_mesh_withdraw(node->mesh, on_withdrawn, node);
}

static void
on_drained(void *arg)
{
	struct bg_node *node = arg;

	if (bg_proxy_server_is_leaving(node->proxy))
		bg_proxy_check_server(node->proxy, on_server_checked, node);
	else
		on_withdrawn(node);
}

static void
on_stop(evutil_socket_t signo, short what, void *arg)
{
	struct bg_node *node = arg;

	if (node->is_stopping)
		return;
	node->is_stopping = 1;
	bg_log_info("node", "stopping signal=%d", (int)signo);
	bg_quota_leave(node->quota);
	bg_proxy_drain(node->proxy, on_drained, node);
}

/* Settings are read at the start only, so SIGHUP changes nothing. The node must
 * be restarted to change them. */
static void
on_reload(evutil_socket_t signo, short what, void *arg)
{
	bg_log_info("node", "reload ignored signal=%d", (int)signo);
}

static int
init_signals(struct bg_node *node)
{
	int i;

	/* A write to a connection that the peer has closed must fail with an
	 * error and not end the process. */
	signal(SIGPIPE, SIG_IGN);
	for (i = 0; i < BG_STOP_SIGNAL_COUNT; i++) {
		node->stop_signals[i] =
		    evsignal_new(node->base, STOP_SIGNALS[i], on_stop, node);
		if (node->stop_signals[i] == NULL ||
		    event_add(node->stop_signals[i], NULL) != 0)
			return BG_ENOMEM;
	}
	node->reload_signal = evsignal_new(node->base, SIGHUP, on_reload, node);
	return node->reload_signal == NULL ||
		event_add(node->reload_signal, NULL) != 0
	    ? BG_ENOMEM
	    : 0;
}

static int
init_store(struct bg_node *node, struct bg_error *err)
{
	struct bg_store_options opts = BG_STORE_OPTIONS_INIT;

	opts.address = node->settings.platform.address;
	opts.local_ip = node->settings.node.address;
	opts.timeout_ms = node->settings.platform.timeout_ms;
	return bg_platform_store_init(&node->store, node->base, &opts, err);
}

static int
init_links(struct bg_node *node, struct bg_error *err)
{
	struct bg_link_options opts = BG_LINK_OPTIONS_INIT;
	char address[BG_SETTING_BYTES + 8];
	int error;

	snprintf(address, sizeof(address), "%s:%u", node->settings.node.address,
	    node->settings.node.mesh_port);
	error =
	    bg_link_server_init(&node->link_server, node->base, address, err);
	if (error != 0)
		return error;
	opts.local_ip = node->settings.node.address;
	return bg_link_pool_init(&node->link_pool, node->base, &opts);
}

static int
init_mesh(struct bg_node *node, struct bg_error *err)
{
	struct bg_mesh_options opts = BG_MESH_OPTIONS_INIT;

	opts.base = node->base;
	opts.settings = &node->settings;
	opts.store = node->store;
	opts.config = node->is_platform_managed ? bg_platform_config_source()
						: bg_contracts_source();
	opts.server = node->link_server;
	opts.links = node->link_pool;
	if (node->settings.platform.follows_emptied)
		opts.emptied_kind = node->is_platform_managed
		    ? bg_platform_emptied_kind()
		    : BG_EMPTIED_KIND;
	return bg_mesh_init(&node->mesh, &opts, err);
}

static void
on_move(void *arg, const char *service, const struct bg_move *move)
{
	struct bg_node *node = arg;

	bg_proxy_set_move(node->proxy, service, move);
}

static void
on_bad_version(void *arg, const char *service, const char *server_version,
    uint64_t generation)
{
	struct bg_node *node = arg;

	bg_proxy_ban(node->proxy, service, server_version, generation);
}

static void
on_suspend(void *arg, int is_suspended)
{
	struct bg_node *node = arg;

	bg_proxy_set_suspended(node->proxy, is_suspended);
}

/* Unless the platform manages the node, moves are part of the configuration. */
static void
on_snapshot(void *arg, struct bg_snapshot *snap)
{
	struct bg_node *node = arg;

	bg_contracts_update_moves(node->moves, snap);
}

static int
init_rollouts(struct bg_node *node)
{
	struct bg_platform_rollouts_options opts = {
	    node->base, &node->settings, node->store, node->mesh, NULL};

	if (!node->is_platform_managed) {
		bg_contracts_writer_init(
		    &node->contracts, node->store, bg_mesh_address(node->mesh));
		return 0;
	}
	return bg_platform_rollouts_init(&node->rollouts, &opts);
}

static int
init_moves(struct bg_node *node, struct bg_error *err)
{
	struct bg_moves_options opts = {0};

	opts.version = BG_MOVES_OPTIONS_VERSION;
	opts.base = node->base;
	opts.settings = &node->settings;
	opts.mesh = node->mesh;
	opts.writer = node->rollouts != NULL
	    ? bg_platform_rollouts_writer(node->rollouts)
	    : &node->contracts.writer;
	opts.on_move = on_move;
	opts.on_bad_version = on_bad_version;
	opts.on_suspend = on_suspend;
	opts.arg = node;
	return bg_moves_init(&node->moves, &opts, err);
}

static int
init_quota(struct bg_node *node)
{
	struct bg_quota_options opts = BG_QUOTA_OPTIONS_INIT;
	int error;

	opts.base = node->base;
	opts.settings = &node->settings;
	opts.store = node->store;
	opts.server = node->link_server;
	opts.links = node->link_pool;
	opts.address = bg_mesh_address(node->mesh);
	if ((error = bg_quota_init(&node->quota, &opts)) != 0)
		return error;
	return bg_quota_follow(node->quota, node->mesh);
}

static int
init_proxy(struct bg_node *node, struct bg_error *err)
{
	struct bg_mesh_listener listener = {
	    on_snapshot, NULL, NULL, NULL, NULL, node};
	struct bg_proxy_options opts = BG_PROXY_OPTIONS_INIT;
	int error;

	opts.base = node->base;
	opts.settings = &node->settings;
	opts.mesh = node->mesh;
	opts.server = node->link_server;
	opts.links = node->link_pool;
	opts.observer = bg_moves_observer(node->moves);
	opts.quota = node->quota;
	if ((error = bg_proxy_init(&node->proxy, &opts, err)) != 0)
		return error;
	if (node->rollouts != NULL)
		return bg_platform_rollouts_start(node->rollouts, node->moves);
	return bg_mesh_add_listener(node->mesh, &listener);
}

static void
on_announcement(void *arg, const struct bg_announcement *ann,
    void (*fn)(void *fn_arg, int code), void *fn_arg)
{
	struct bg_node *node = arg;

	bg_proxy_announce(node->proxy, ann, fn, fn_arg);
}

static int
is_ready(void *arg)
{
	struct bg_node *node = arg;

	return !node->is_stopping && bg_proxy_is_ready(node->proxy);
}

static int
render_organisations(void *arg, char **out)
{
	struct bg_node *node = arg;

	return bg_organisations_render(out,
	    bg_mesh_is_synced(node->mesh) ? bg_mesh_snapshot(node->mesh)
					  : NULL);
}

static int
explain(void *arg, char **out, const struct bg_explain_query *query)
{
	struct bg_node *node = arg;

	return bg_proxy_explain(out, node->proxy, query);
}

static int
init_platform(struct bg_node *node, struct bg_error *err)
{
	struct bg_platform_handler handler = {
	    on_announcement, is_ready, render_organisations, explain, node};

	if (!node->is_platform_managed)
		return bg_pages_init(node);
	return bg_platform_endpoints_init(&node->endpoints, node->base,
	    &node->platform_settings, &handler, err);
}

int
bg_node_init(struct bg_node *out, const struct bg_node_options *opts,
    struct bg_error *err)
{
	int error;

	memset(out, 0, sizeof(*out));
	out->settings = *opts->settings;
	if (opts->platform != NULL) {
		out->platform_settings = *opts->platform;
		out->is_platform_managed = 1;
	}
	if ((out->base = event_base_new()) == NULL)
		return bg_error_set(err, BG_ENOMEM, "start", NULL,
		    "cannot create the event loop");
	if ((error = bg_log_attach(out->base)) != 0 ||
	    (error = init_signals(out)) != 0 ||
	    (error = init_store(out, err)) != 0 ||
	    (error = init_links(out, err)) != 0 ||
	    (error = init_mesh(out, err)) != 0 ||
	    (error = init_rollouts(out)) != 0 ||
	    (error = init_moves(out, err)) != 0 ||
	    (error = init_quota(out)) != 0 ||
	    (error = init_proxy(out, err)) != 0 ||
	    (error = init_platform(out, err)) != 0)
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
	int i;

	/* Pending callbacks are canceled first, while the tasks that own them
	 * exist. */
	bg_store_free(node->store);
	bg_link_pool_free(node->link_pool);
	bg_platform_endpoints_free(node->endpoints);
	bg_proxy_free(node->proxy);
	bg_quota_free(node->quota);
	bg_platform_rollouts_free(node->rollouts);
	bg_moves_free(node->moves);
	bg_mesh_free(node->mesh);
	bg_link_server_free(node->link_server);
	for (i = 0; i < BG_STOP_SIGNAL_COUNT; i++) {
		if (node->stop_signals[i] != NULL)
			event_free(node->stop_signals[i]);
	}
	if (node->reload_signal != NULL)
		event_free(node->reload_signal);
	bg_log_detach();
	if (node->base != NULL)
		event_base_free(node->base);
	memset(node, 0, sizeof(*node));
}
