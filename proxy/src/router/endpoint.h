#ifndef BG_PROXY_ENDPOINT_H
#define BG_PROXY_ENDPOINT_H

/** @file
 * What this node knows of each gatekeeper: outstanding calls, the last load
 * report and ejection. Pure.
 */

#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "burdockgrade/contract.h"

/** Failures in a row that eject an endpoint. */
#define BG_EJECT_FAILURES 3
/** First ejection; each further one is as much longer. */
#define BG_EJECT_MS 2000
#define BG_EJECT_MAX_MS 20000
/** A load report counts for this long; calls change the load faster. */
#define BG_LOAD_FRESH_MS 1000

struct bg_endpoint {
	char address[BG_ADDRESS_BYTES];
	uint32_t outstanding; /**< calls from this node */
	uint32_t reported;    /**< running and queued, of the last answer */
	uint32_t reported_outstanding; /**< own calls in flight at that time */
	uint64_t reported_ms;
	uint32_t failures;
	uint32_t ejections;
	uint64_t ejected_until_ms;
	double service_us; /**< average time of an answer */
	UT_hash_handle hh;
};

/** Load of an answer, as the gatekeeper reported it. */
struct bg_load {
	uint32_t running;
	uint32_t queued;
	uint64_t took_us; /**< 0 if nothing ran */
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
/** @param load NULL if no answer came */
void bg_endpoint_answered(struct bg_endpoint *ep, const struct bg_load *load,
    int is_failed, uint64_t now_ms);
/** Gives up a call without judging the endpoint. */
void bg_endpoint_canceled(struct bg_endpoint *ep);
int bg_endpoint_is_ejected(const struct bg_endpoint *ep, uint64_t now_ms);
/** Calls that the endpoint has to serve, by the freshest knowledge. */
uint32_t bg_endpoint_load(const struct bg_endpoint *ep, uint64_t now_ms);

#endif
