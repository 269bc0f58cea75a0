#include "finish.h"

#define USUAL_COST_PERMILLE 1000

int
bg_finish_is_known(const struct bg_endpoint *ep)
{
	return ep->slowness.reports != 0;
}

uint32_t
bg_finish_service_us(const struct bg_endpoint *ep, uint32_t base_us,
    double usual_permille, uint32_t cost_permille, uint64_t now_ms)
{
	double us = (double)base_us *
	    bg_slowness_permille_of(&ep->slowness, usual_permille, now_ms) /
	    BG_SLOWNESS_USUAL_PERMILLE;

	if (cost_permille != 0)
		us = us * cost_permille / USUAL_COST_PERMILLE;
	return us < UINT32_MAX ? (uint32_t)us + 1 : UINT32_MAX;
}

static int
is_recent(const struct bg_endpoint *ep, uint64_t now_ms)
{
	return ep->reported_ms != 0 &&
	    now_ms - ep->reported_ms <= BG_LOAD_MAX_AGE_MS;
}

static uint32_t
sent_since_report(const struct bg_endpoint *ep)
{
	return ep->outstanding > ep->reported_outstanding
	    ? ep->outstanding - ep->reported_outstanding
	    : 0;
}

uint64_t
bg_finish_reported_wait_us(const struct bg_endpoint *ep, uint64_t now_ms)
{
	uint64_t interval_us = ep->load.wait_us / (ep->load.queued + 1) + 1;
	uint64_t wait_us =
	    ep->load.wait_us + interval_us * sent_since_report(ep);
	uint64_t age_us = (now_ms - ep->reported_ms) * 1000;

	if (!is_recent(ep, now_ms) || ep->load.wait_us == 0)
		return 0;
	return wait_us > age_us ? wait_us - age_us : 0;
}

uint64_t
bg_finish_wait_us(const struct bg_endpoint *ep, uint32_t slots,
    uint32_t service_us, uint64_t now_ms)
{
	uint32_t load = bg_endpoint_load(ep, now_ms);
	uint64_t interval_us;

	if (slots == 0 || load < slots)
		return 0;
	interval_us = service_us / slots + 1;
	/* The gatekeeper knows how long the running calls have run. */
	if (is_recent(ep, now_ms) && ep->load.wait_us != 0)
		interval_us = ep->load.wait_us / (ep->load.queued + 1) + 1;
	return interval_us * (load - slots + 1);
}

uint64_t
bg_finish_work_left_us(const struct bg_endpoint *ep, uint32_t slots,
    uint32_t service_us, uint64_t now_ms)
{
	uint64_t done_us;
	uint64_t left_us = ep->load.work_left_us;

	if (slots == 0 || !is_recent(ep, now_ms))
		return 0;
	done_us = (now_ms - ep->reported_ms) * 1000;
	left_us = left_us > done_us ? left_us - done_us : 0;
	left_us += (uint64_t)service_us * sent_since_report(ep) / slots;
	return left_us + 1;
}
