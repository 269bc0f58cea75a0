#ifndef BG_PROXY_PROBE_H
#define BG_PROXY_PROBE_H

/** @file
 * Health probes of a backend server that sends no heartbeats. Results are
 * reported as announcements of the server.
 */

#include <event2/event.h>

#include "burdockgrade/announce.h"
#include "burdockgrade/error.h"
#include "burdockgrade/settings.h"

/** Probe interval of a ready server. */
#define BG_PROBE_INTERVAL_MS 1000
/** Probe interval while the server is not ready or after a failed probe. Short,
 * so that a started server is used soon and one that drains or hangs is out of
 * use within a second. */
#define BG_PROBE_UNREADY_INTERVAL_MS 200
/** A probe fails without a response within this time. */
#define BG_PROBE_TIMEOUT_MS 1000
/** Consecutive failed probes after which the server counts as lost, unless it
 * responds to calls. */
#define BG_PROBE_FAILURES_MAX 3

struct bg_probe;

struct bg_probe_handler {
	/** A probe succeeded. */
	void (*announce)(void *arg, const struct bg_announcement *ann);
	/** The server refuses connections, or its probes keep failing. */
	void (*lost)(void *arg);
	/** 1 if the server responded to a call recently. */
	int (*has_recent_response)(void *arg);
	void *arg;
};

/** @return 0, BG_ENOMEM, or BG_EINVAL if the address is not valid */
int bg_probe_init(struct bg_probe **out, struct event_base *base,
    const struct bg_settings *settings, const struct bg_probe_handler *handler,
    struct bg_error *err);
void bg_probe_free(struct bg_probe *prb);
/** Probes at once, after a call could not connect to the server. */
void bg_probe_trigger(struct bg_probe *prb);

#endif
