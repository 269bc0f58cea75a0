#include <stdio.h>
#include <stdlib.h>

#include "../metrics/metrics.h"
#include "endpoint.h"

#define AVERAGE_WEIGHT 0.1

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
		/* The analyzer takes the table to be empty while it iterates
		 * over it. */
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

static void
eject(struct bg_endpoint *ep, uint64_t now_ms)
{
	uint64_t span_ms;

	ep->ejections++;
	span_ms = (uint64_t)BG_EJECT_MS * ep->ejections;
	if (span_ms > BG_EJECT_MAX_MS)
		span_ms = BG_EJECT_MAX_MS;
	ep->ejected_until_ms = now_ms + span_ms;
	/* One more failure after the ejection ends ejects again. */
	ep->failures = BG_EJECT_FAILURES - 1;
	bg_metrics_ejected();
}

void
bg_endpoint_answered(struct bg_endpoint *ep, const struct bg_load *load,
    int is_failed, uint64_t now_ms)
{
	if (ep->outstanding > 0)
		ep->outstanding--;
	if (load != NULL) {
		ep->reported = load->running + load->queued;
		ep->reported_outstanding = ep->outstanding;
		ep->reported_ms = now_ms;
		if (load->took_us != 0 && ep->service_us == 0)
			ep->service_us = (double)load->took_us;
		if (load->took_us != 0)
			ep->service_us +=
			    ((double)load->took_us - ep->service_us) *
			    AVERAGE_WEIGHT;
	}
	if (!is_failed) {
		ep->failures = 0;
		ep->ejections = 0;
		return;
	}
	if (++ep->failures >= BG_EJECT_FAILURES &&
	    now_ms >= ep->ejected_until_ms)
		eject(ep, now_ms);
}

void
bg_endpoint_canceled(struct bg_endpoint *ep)
{
	if (ep->outstanding > 0)
		ep->outstanding--;
}

int
bg_endpoint_is_ejected(const struct bg_endpoint *ep, uint64_t now_ms)
{
	return now_ms < ep->ejected_until_ms;
}

uint32_t
bg_endpoint_load(const struct bg_endpoint *ep, uint64_t now_ms)
{
	uint32_t load = ep->outstanding;
	uint32_t reported = ep->reported;

	if (ep->reported_ms == 0 || now_ms - ep->reported_ms > BG_LOAD_FRESH_MS)
		return load;
	/* Own calls sent since the report come on top of it. */
	if (ep->outstanding > ep->reported_outstanding)
		reported += ep->outstanding - ep->reported_outstanding;
	return reported > load ? reported : load;
}
