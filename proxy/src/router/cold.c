#include "cold.h"

#define MS_PER_S 1000
#define US_PER_MS 1000ULL
#define MILLI 1000

/* 1 if the last load report is about the present lifetime of the server. */
static int
is_report_current(const struct bg_endpoint *ep, const struct bg_member *m,
    uint64_t now_ms, uint64_t wall_ms)
{
	uint64_t age_ms = now_ms - ep->reported_ms;

	return ep->reported_ms != 0 && age_ms <= wall_ms &&
	    wall_ms - age_ms >= m->server_started_ms;
}

static uint32_t
left_since_start(const struct bg_cold_service *svc, const struct bg_member *m,
    uint64_t wall_ms)
{
	uint64_t age_ms;

	if (m->server_started_ms == 0 || wall_ms < m->server_started_ms)
		return 0;
	age_ms = wall_ms - m->server_started_ms;
	return age_ms < svc->duration_ms ? (uint32_t)(svc->duration_ms - age_ms)
					 : 0;
}

/* Calls that the server may start, in thousandths; below 0 if calls wait. What
 * other nodes have sent since the report is not known. */
static int64_t
allowance_milli(const struct bg_endpoint *ep, uint64_t now_ms)
{
	const struct bg_load *load = &ep->load;
	int64_t since_ms = (int64_t)(now_ms - ep->reported_ms);
	int64_t allowance =
	    ((int64_t)load->cold_starts_left - (int64_t)load->queued) * MILLI +
	    since_ms * load->cold_starts_milli_per_s / MS_PER_S;

	if (ep->outstanding > ep->reported_outstanding)
		allowance -=
		    (int64_t)(ep->outstanding - ep->reported_outstanding) *
		    MILLI;
	return allowance;
}

static uint64_t
wait_us(int64_t allowance, uint32_t rate_milli_per_s, uint32_t left_ms)
{
	uint64_t wait_ms;

	if (allowance >= MILLI)
		return 0;
	wait_ms =
	    (uint64_t)(MILLI - allowance) * MS_PER_S / rate_milli_per_s + 1;
	return (wait_ms < left_ms ? wait_ms : left_ms) * US_PER_MS;
}

void
bg_cold_estimate(struct bg_cold *out, const struct bg_cold_service *svc,
    const struct bg_endpoint *ep, const struct bg_member *m, uint64_t now_ms,
    uint64_t wall_ms)
{
	const struct bg_load *load = &ep->load;
	uint64_t age_ms = now_ms - ep->reported_ms;

	out->left_ms = 0;
	out->wait_us = 0;
	if (svc->rate_milli_per_s == 0)
		return;
	if (!is_report_current(ep, m, now_ms, wall_ms)) {
		out->left_ms = left_since_start(svc, m, wall_ms);
		return;
	}
	if (load->cold_starts_milli_per_s == 0 || load->cold_left_ms <= age_ms)
		return;
	out->left_ms = load->cold_left_ms - (uint32_t)age_ms;
	out->wait_us = wait_us(allowance_milli(ep, now_ms),
	    load->cold_starts_milli_per_s, out->left_ms);
}
