#ifndef BG_PROXY_INTERNAL_H
#define BG_PROXY_INTERNAL_H

/** @file
 * State of the proxy task, shared by its modules, which run on one thread.
 */

#include "burdockgrade/proxy.h"

#include "call/crest.h"
#include "call/request_age.h"
#include "cost/predictor.h"
#include "drain/drain.h"
#include "gatekeeper/gatekeeper.h"
#include "limiter/buffers.h"
#include "retry/retry.h"
#include "router/router.h"
#include "split/split.h"
#include "version/version.h"

struct bg_ingress;

struct bg_proxy {
	struct event_base *base;
	const struct bg_settings *settings;
	struct bg_mesh *mesh;
	struct bg_link_pool *links;
	struct bg_quota *quota; /**< NULL: caps are not enforced */
	struct bg_gatekeeper *gatekeeper;
	struct bg_ingress *ingress;
	struct bg_router router;
	struct bg_split split;
	struct bg_versions versions;
	struct bg_retry_budget retry;
	struct bg_age_estimator age_estimator;
	struct bg_crest crest;	       /**< share of refused calls */
	struct bg_predictor predictor; /**< of the cost of calls */
	struct bg_drain drain;
	struct bg_buffers buffers;
	struct event *drain_timer;
	void (*drain_done)(void *arg);
	void *drain_arg;
	struct bg_call *calls;
	/* Answers the announcement that the gatekeeper holds; NULL: none. */
	void (*held_fn)(void *arg, int code);
	void *held_arg;
	uint32_t requests_open; /**< requests at the ingress whose response is
				     not written yet */
};

#endif
