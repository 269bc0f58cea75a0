#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "../metrics/metrics.h"
#include "endpoint.h"

/* A gatekeeper without a ready server is tried again after this time. */
#define NOT_READY_MS 300

void
bg_endpoints_free(struct bg_endpoints *eps)
{
	struct bg_endpoint *ep;
	struct bg_endpoint *tmp;

	HASH_ITER(hh, eps->by_address, ep, tmp)
	{
		HASH_DEL(eps->by_address, ep);
		free(ep);
	}
}

struct bg_endpoint *
bg_endpoint_get(struct bg_endpoints *eps, const char *address)
{
	struct bg_endpoint *ep;

	HASH_FIND_STR(eps->by_address, address, ep);
	if (ep != NULL)
		return ep;
	if ((ep = calloc(1, sizeof(*ep))) == NULL)
		return NULL;
	snprintf(ep->address, sizeof(ep->address), "%s", address);
	HASH_ADD_STR(eps->by_address, address, ep);
	return ep;
}

void
bg_endpoints_sweep(struct bg_endpoints *eps,
    int (*keep)(void *arg, const char *address), void *arg)
{
	struct bg_endpoint *ep = eps->by_address;
	struct bg_endpoint *next;

	for (; ep != NULL; ep = next) {
		next = ep->hh.next;
		if (ep->outstanding > 0 || keep(arg, ep->address))
			continue;
		/* False positive: the analyzer assumes that the table is empty
		 * inside the loop. */
		/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
		HASH_DEL(eps->by_address, ep);
		free(ep);
	}
}

void
bg_endpoint_sent(struct bg_endpoint *ep)
{
	ep->outstanding++;
}

static uint64_t
route_hash(const char *route)
{
	return XXH64(route, strlen(route), 0);
}

static void
record_service_time(
    struct bg_endpoint *ep, const char *route, uint32_t service_us)
{
	uint64_t hash = route_hash(route);
	size_t i;

	for (i = 0; i + 1 < BG_ENDPOINT_ROUTES; i++) {
		if (ep->routes[i].route_hash == hash ||
		    ep->routes[i].route_hash == 0)
			break;
	}
	ep->routes[i].route_hash = hash;
	ep->routes[i].service_us = service_us;
}

uint32_t
bg_endpoint_service_us(const struct bg_endpoint *ep, const char *route)
{
	uint64_t hash = route_hash(route);
	size_t i;

	for (i = 0; i < BG_ENDPOINT_ROUTES; i++) {
		if (ep->routes[i].route_hash == hash)
			return ep->routes[i].service_us;
	}
	return 0;
}

static void
decrement_outstanding(struct bg_endpoint *ep)
{
	if (ep->outstanding > 0)
		ep->outstanding--;
}

void
bg_endpoint_answered(struct bg_endpoint *ep, const char *route,
    const struct bg_load *load, uint64_t now_ms)
{
	decrement_outstanding(ep);
	ep->load = *load;
	ep->reported_ms = now_ms;
	ep->reported_outstanding = ep->outstanding;
	ep->failures = 0;
	ep->ejections = 0;
	ep->not_ready_until_ms = 0;
	if (load->service_us != 0)
		record_service_time(ep, route, load->service_us);
	if (load->slowness_age_ms <= now_ms)
		bg_slowness_report(&ep->slowness, load->slowness_permille,
		    now_ms - load->slowness_age_ms);
}

static void
eject(struct bg_endpoint *ep, uint64_t now_ms)
{
	uint64_t duration_ms;

	ep->ejections++;
	duration_ms = (uint64_t)BG_EJECT_MS * ep->ejections;
	if (duration_ms > BG_EJECT_MAX_MS)
		duration_ms = BG_EJECT_MAX_MS;
	ep->ejected_until_ms = now_ms + duration_ms;
	/* After the ejection, a single failure ejects the endpoint again. */
	ep->failures = BG_EJECT_FAILURES - 1;
	bg_metrics_count_ejection();
}

void
bg_endpoint_failed(struct bg_endpoint *ep, uint64_t now_ms)
{
	decrement_outstanding(ep);
	if (++ep->failures >= BG_EJECT_FAILURES &&
	    now_ms >= ep->ejected_until_ms)
		eject(ep, now_ms);
}

void
bg_endpoint_canceled(struct bg_endpoint *ep)
{
	decrement_outstanding(ep);
}

void
bg_endpoint_set_not_ready(struct bg_endpoint *ep, uint64_t now_ms)
{
	ep->not_ready_until_ms = now_ms + NOT_READY_MS;
}

int
bg_endpoint_is_unavailable(const struct bg_endpoint *ep, uint64_t now_ms)
{
	return now_ms < ep->ejected_until_ms || now_ms < ep->not_ready_until_ms;
}

uint32_t
bg_endpoint_load(const struct bg_endpoint *ep, uint64_t now_ms)
{
	uint32_t load = ep->outstanding;
	uint32_t reported = ep->load.running + ep->load.queued;

	if (ep->reported_ms == 0 ||
	    now_ms - ep->reported_ms > BG_LOAD_MAX_AGE_MS)
		return load;
	/* Calls that this node sent since the report are added to it. */
	if (ep->outstanding > ep->reported_outstanding)
		reported += ep->outstanding - ep->reported_outstanding;
	return reported > load ? reported : load;
}

uint64_t
bg_endpoint_body_us(
    const struct bg_endpoint *ep, uint32_t body_bytes, uint64_t now_ms)
{
	const struct bg_load *load = &ep->load;
	uint64_t wait_us = 0;

	if (body_bytes == 0 || load->intake_bytes_per_ms == 0)
		return 0;
	if (now_ms - ep->reported_ms <= BG_LOAD_MAX_AGE_MS)
		wait_us = load->intake_wait_us;
	return wait_us +
	    (uint64_t)body_bytes * 1000 / load->intake_bytes_per_ms;
}
