#ifndef BG_DAEMON_NODE_H
#define BG_DAEMON_NODE_H

/** @file
 * The tasks of one node and their wiring.
 */

#include <event2/event.h>

#include "burdockgrade/link.h"
#include "burdockgrade/mesh.h"
#include "burdockgrade/platform.h"
#include "burdockgrade/settings.h"

struct bg_pages;

struct bg_node {
	struct event_base *base;
	struct bg_settings settings;
	struct bg_platform *platform;
	struct bg_link_server *server;
	struct bg_mesh *mesh;
	struct bg_pages *pages;
	struct event *stop_signals[2];
	struct event *stop_timer;
	uint64_t stop_started_ms;
	uint64_t announced_ms; /**< 0: the stop is not announced yet */
	int is_stopping;
};

int bg_node_init(struct bg_node *out, const struct bg_settings *settings,
    struct bg_error *err);
/** Runs until a stop is complete. @return 0 or BG_EIO */
int bg_node_run(struct bg_node *node);
void bg_node_free(struct bg_node *node);

#endif
