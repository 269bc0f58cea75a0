#ifndef BG_DAEMON_NODE_H
#define BG_DAEMON_NODE_H

/** @file
 * The node: all tasks of the process on one event loop.
 */

#include <event2/event.h>

#include "burdockgrade/link.h"
#include "burdockgrade/mesh.h"
#include "burdockgrade/moves.h"
#include "burdockgrade/platform.h"
#include "burdockgrade/proxy.h"
#include "burdockgrade/settings.h"

#include "contracts.h"

/** SIGTERM and SIGINT. */
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
	struct bg_proxy *proxy;
	struct bg_platform_rollouts
	    *rollouts; /**< NULL outside of the platform */
	struct bg_contracts_writer contracts;
	struct bg_platform_endpoints *endpoints;
	struct event *stop_signals[BG_STOP_SIGNAL_COUNT];
	struct event *reload_signal;
	int is_stopping;
};

struct bg_node_options {
	const struct bg_settings *settings;
	/** NULL: the node is not on the users' platform */
	const struct bg_platform_settings *platform;
	const char *settings_path;
};

/** Builds all tasks. The struct must not move afterwards. */
int bg_node_init(struct bg_node *out, const struct bg_node_options *opts,
    struct bg_error *err);
/** Runs until a stop signal was handled. @return 0 or BG_EIO */
int bg_node_run(struct bg_node *node);
void bg_node_free(struct bg_node *node);

#endif
