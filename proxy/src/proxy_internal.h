#ifndef BG_PROXY_INTERNAL_H
#define BG_PROXY_INTERNAL_H

/** @file
 * State of the proxy task, shared by its parts on one thread.
 */

#include "burdockgrade/proxy.h"

#include "breaker/breaker.h"
#include "drain/drain.h"
#include "gatekeeper/gatekeeper.h"
#include "limiter/buffers.h"
#include "retry/retry.h"
#include "router/router.h"
#include "share/share.h"

struct bg_delays;
struct bg_ingress;

struct bg_proxy {
	struct event_base *base;
	const struct bg_settings *settings;
	struct bg_mesh *mesh;
	struct bg_records *records;
	struct bg_observer *observer;
	struct bg_link_pool *links;
	struct bg_gatekeeper *gatekeeper;
	struct bg_ingress *ingress;
	struct bg_router router;
	struct bg_share share;
	struct bg_breaker breaker;
	struct bg_retry_budget retry;
	struct bg_drain drain;
	struct bg_buffers buffers;
	struct bg_delays *delays;
	struct event *drain_timer;
	void (*drain_done)(void *arg);
	void *drain_arg;
	struct bg_call *calls;
	uint32_t calls_in_flight; /**< with an ingress that waits */
};

#endif
