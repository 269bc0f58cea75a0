#ifndef BG_DAEMON_NODE_H
#define BG_DAEMON_NODE_H

/** @file
 * The tasks of one node and their wiring.
 */

#include <event2/event.h>

#include "burdockgrade/link.h"
#include "burdockgrade/mesh.h"
#include "burdockgrade/moves.h"
#include "burdockgrade/platform.h"
#include "burdockgrade/proxy.h"
#include "burdockgrade/record.h"
#include "burdockgrade/settings.h"

struct bg_node {
	struct event_base *base;
	struct bg_settings settings;
	struct bg_platform *platform; /**< NULL without platform.address */
	struct bg_link_server *server;
	struct bg_mesh *mesh;
	struct bg_records *records;
	struct bg_moves *moves;
	struct bg_proxy *proxy;
	struct event *stop_signals[2];
	struct event *exit_timer;
	uint64_t exit_by_ms; /**< monotonic; 0: not about to exit */
	int is_stopping;
};

int bg_node_init(struct bg_node *out, const struct bg_settings *settings,
    struct bg_error *err);
/** Runs until a stop is complete. @return 0 or BG_EIO */
int bg_node_run(struct bg_node *node);
void bg_node_free(struct bg_node *node);

#endif
