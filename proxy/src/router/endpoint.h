#ifndef BG_PROXY_ENDPOINT_H
#define BG_PROXY_ENDPOINT_H

/** @file
 * State that this node keeps for each gatekeeper: its own calls in flight
 * there, the last load report, and the results of calls. Pure.
 */

#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "burdockgrade/contract.h"

#include "../cost/pace.h"

/** Consecutive calls without an answer after which an endpoint is ejected. */
#define BG_EJECT_FAILURES 3
/** Duration of the first ejection; each further one is longer by the same time,
 * up to BG_EJECT_MAX_MS. */
#define BG_EJECT_MS 1000
#define BG_EJECT_MAX_MS 5000
/** An older load report is ignored: by then, calls have changed the load. */
#define BG_LOAD_MAX_AGE_MS 1000
/** Number of routes whose service times are kept for each endpoint. */
#define BG_ENDPOINT_ROUTES 6

/** Load of a backend server, as its gatekeeper reported it. */
struct bg_load {
	uint32_t running;
	uint32_t queued;
	uint32_t slots;
	uint32_t wait_us;	 /**< queueing time of a call added now */
	uint32_t service_us;	 /**< mean service time of the route's calls; 0:
				      unknown */
	uint32_t bad_permille;	 /**< share of answers that were failures */
	uint32_t intake_wait_us; /**< until a request body begins to arrive */
	uint32_t intake_bytes_per_ms; /**< rate at which bodies arrive; 0:
					   unknown */
	uint32_t work_left_us;	    /**< of its running and queued calls, at the
					 server's present speed; 0: unknown */
	uint32_t slowness_permille; /**< time that work takes at present, of the
					 usual; 0: unknown */
	uint32_t slowness_age_ms;   /**< when the load was reported */
	uint32_t cold_left_ms;	    /**< until the server is warm; 0: it is */
	uint32_t cold_starts_milli_per_s; /**< rate that it bears until then */
	uint32_t cold_starts_left;	  /**< calls that may start now */
};

struct bg_endpoint_route {
	uint64_t route_hash;
	uint32_t service_us;
};

struct bg_endpoint {
	char address[BG_ADDRESS_BYTES];
	uint32_t outstanding;	       /**< calls in flight from this node */
	uint32_t reported_outstanding; /**< at the last load report */
	uint64_t reported_ms; /**< time of the last load report; 0: never */
	struct bg_load load;
	struct bg_slowness slowness; /**< of its server's machine */
	struct bg_endpoint_route routes[BG_ENDPOINT_ROUTES];
	uint32_t failures; /**< consecutive calls without an answer */
	uint32_t ejections;
	uint64_t ejected_until_ms;
	/** The gatekeeper reported that its server takes no calls; it is tried
	 * again after this time. */
	uint64_t not_ready_until_ms;
	UT_hash_handle hh;
};

struct bg_endpoints {
	struct bg_endpoint *by_address;
};

void bg_endpoints_free(struct bg_endpoints *eps);
/** Finds or adds an endpoint. @return NULL if out of memory */
struct bg_endpoint *bg_endpoint_get(
    struct bg_endpoints *eps, const char *address);
/** Removes endpoints without calls in flight for which keep returns 0. */
void bg_endpoints_sweep(struct bg_endpoints *eps,
    int (*keep)(void *arg, const char *address), void *arg);

/** Records a call that is being sent. */
void bg_endpoint_sent(struct bg_endpoint *ep);
/** Records an answer of the gatekeeper, whatever its outcome.
 * @param route of the call */
void bg_endpoint_answered(struct bg_endpoint *ep, const char *route,
    const struct bg_load *load, uint64_t now_ms);
/** Records a call that got no answer. */
void bg_endpoint_failed(struct bg_endpoint *ep, uint64_t now_ms);
/** Records a canceled call, which is neither an answer nor a failure. */
void bg_endpoint_canceled(struct bg_endpoint *ep);
/** Records that the backend server takes no calls for now. */
void bg_endpoint_set_not_ready(struct bg_endpoint *ep, uint64_t now_ms);
/** 1 if the endpoint is ejected or not ready. */
int bg_endpoint_is_unavailable(const struct bg_endpoint *ep, uint64_t now_ms);
/** Estimates the calls running and queued at the server, from the last load
 * report and this node's own calls. */
uint32_t bg_endpoint_load(const struct bg_endpoint *ep, uint64_t now_ms);
/** Estimates how long a request body takes to arrive there, in microseconds. */
uint64_t bg_endpoint_body_us(
    const struct bg_endpoint *ep, uint32_t body_bytes, uint64_t now_ms);
/** Mean service time of a route's calls, in microseconds; 0: unknown. */
uint32_t bg_endpoint_service_us(
    const struct bg_endpoint *ep, const char *route);

#endif
