#ifndef BG_PROXY_ENDPOINT_H
#define BG_PROXY_ENDPOINT_H

/** @file
 * What this node knows of each gatekeeper: its own calls in flight there, the
 * last load report, and how calls ended. Pure.
 */

#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "burdockgrade/contract.h"

/** Failures in a row, without any answer, that eject an endpoint. */
#define BG_EJECT_FAILURES 3
/** First ejection; each further one is as much longer. */
#define BG_EJECT_MS 1000
#define BG_EJECT_MAX_MS 5000
/** A load report counts for this long; calls change the load faster. */
#define BG_LOAD_MAX_AGE_MS 1000
/** Routes whose times are kept for each endpoint. */
#define BG_ENDPOINT_ROUTES 6

/** Load of a backend server, as its gatekeeper reported it. */
struct bg_load {
	uint32_t running;
	uint32_t queued;
	uint32_t slots;
	uint32_t wait_us;    /**< of a call that would be queued last */
	uint32_t service_us; /**< average time of a call of the route; 0:
				  unknown */
	uint32_t bad_permille;
};

struct bg_endpoint_route {
	uint64_t route_hash;
	uint32_t service_us;
};

struct bg_endpoint {
	char address[BG_ADDRESS_BYTES];
	uint32_t outstanding;	       /**< calls from this node */
	uint32_t reported_outstanding; /**< of them at the last report */
	uint64_t reported_ms;	       /**< 0: never */
	struct bg_load load;
	struct bg_endpoint_route routes[BG_ENDPOINT_ROUTES];
	uint32_t failures; /**< in a row, without an answer */
	uint32_t ejections;
	uint64_t ejected_until_ms;
	/** The gatekeeper said that its server takes no calls; it is asked
	 * again after this time. */
	uint64_t not_ready_until_ms;
	UT_hash_handle hh;
};

struct bg_endpoints {
	struct bg_endpoint *by_address;
};

void bg_endpoints_free(struct bg_endpoints *eps);
/** Finds or adds. @return NULL if out of memory */
struct bg_endpoint *bg_endpoint_get(
    struct bg_endpoints *eps, const char *address);
/** Removes endpoints without calls in flight for which keep returns 0. */
void bg_endpoints_sweep(struct bg_endpoints *eps,
    int (*keep)(void *arg, const char *address), void *arg);

void bg_endpoint_sent(struct bg_endpoint *ep);
/** The gatekeeper answered, whatever the outcome.
 * @param route of the call */
void bg_endpoint_answered(struct bg_endpoint *ep, const char *route,
    const struct bg_load *load, uint64_t now_ms);
/** No answer came. */
void bg_endpoint_failed(struct bg_endpoint *ep, uint64_t now_ms);
/** Gives up a call without judging the endpoint. */
void bg_endpoint_canceled(struct bg_endpoint *ep);
/** The server beside the gatekeeper takes no calls for now. */
void bg_endpoint_set_not_ready(struct bg_endpoint *ep, uint64_t now_ms);
/** 1 if calls should not be sent there for now. */
int bg_endpoint_is_unavailable(const struct bg_endpoint *ep, uint64_t now_ms);
/** Calls that the server has to serve, by the freshest knowledge. */
uint32_t bg_endpoint_load(const struct bg_endpoint *ep, uint64_t now_ms);
/** Time of a call of a route, in microseconds; 0: unknown. */
uint32_t bg_endpoint_service_us(
    const struct bg_endpoint *ep, const char *route);

#endif
