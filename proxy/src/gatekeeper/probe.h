#ifndef BG_PROXY_PROBE_H
#define BG_PROXY_PROBE_H

/** @file
 * Probes a backend server that sends no heartbeats, and reports what it finds
 * as the server's announcements.
 */

#include <event2/event.h>

#include "burdockgrade/announce.h"
#include "burdockgrade/error.h"
#include "burdockgrade/settings.h"

/** Interval of probes to a ready server. */
#define BG_PROBE_INTERVAL_MS 1000
/** Interval while it is not ready or a probe failed: a started server is used
 * soon, and one that drains or hangs is left within a second. */
#define BG_PROBE_UNREADY_INTERVAL_MS 200
/** Time allowed for the answer of a probe. */
#define BG_PROBE_TIMEOUT_MS 1000
/** Failed probes in a row that count, unless real calls are answered. */
#define BG_PROBE_FAILURES_MAX 3

struct bg_probe;

struct bg_probe_handler {
	/** A good answer. */
	void (*announce)(void *arg, const struct bg_announcement *ann);
	/** The server does not answer any more, or not well. */
	void (*lost)(void *arg);
	/** 1 if a real call was answered lately. */
	int (*has_recent_response)(void *arg);
	void *arg;
};

int bg_probe_init(struct bg_probe **out, struct event_base *base,
    const struct bg_settings *settings, const struct bg_probe_handler *handler,
    struct bg_error *err);
void bg_probe_free(struct bg_probe *prb);
/** A connection was refused: probes at once. */
void bg_probe_trigger(struct bg_probe *prb);

#endif
