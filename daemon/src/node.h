#ifndef BG_DAEMON_NODE_H
#define BG_DAEMON_NODE_H

/** @file
 * The node: creates all tasks of the process and runs them on one event loop.
 */

#include <event2/event.h>

#include "burdockgrade/link.h"
#include "burdockgrade/mesh.h"
#include "burdockgrade/moves.h"
#include "burdockgrade/platform.h"
#include "burdockgrade/proxy.h"
#include "burdockgrade/quota.h"
#include "burdockgrade/settings.h"

#include "contracts.h"

/** Number of signals that stop the node: SIGTERM and SIGINT. */
#define BG_STOP_SIGNAL_COUNT 2

struct bg_node {
	struct event_base *base;
	struct bg_settings settings;
	struct bg_platform_settings platform_settings;
	int is_platform_managed;
	struct bg_store *store;
	struct bg_link_server *link_server;
	struct bg_link_pool *link_pool;
	struct bg_mesh *mesh;
	struct bg_moves *moves;
	struct bg_quota *quota;
	struct bg_proxy *proxy;
	/** NULL unless the platform manages the node. */
	struct bg_platform_rollouts *rollouts;
	/** Used unless the platform manages the node. */
	struct bg_contracts_writer contracts;
	/** NULL unless the platform manages the node. */
	struct bg_platform_endpoints *endpoints;
	struct event *stop_signals[BG_STOP_SIGNAL_COUNT];
	struct event *reload_signal;
	int is_stopping;
};

struct bg_node_options {
	const struct bg_settings *settings;
	/** Copied; NULL: the platform does not manage the node. */
	const struct bg_platform_settings *platform;
	const char *settings_path;
};

/**
 * Creates all tasks. The struct must not be moved afterwards, because the tasks
 * point to it.
 *
 * @param opts the settings are copied
 * @return 0 or an error code; err has the reason where one is known
 */
int bg_node_init(struct bg_node *out, const struct bg_node_options *opts,
    struct bg_error *err);
/** Runs the event loop until a stop signal was handled. @return 0 or BG_EIO */
int bg_node_run(struct bg_node *node);
void bg_node_free(struct bg_node *node);

#endif
