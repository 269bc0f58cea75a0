#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"

#include "gate_warmup.h"

/* Assumed warm-up time of a backend server that does not announce it, in which
 * its slow responses do not count against its version. */
#define UNANNOUNCED_WARMUP_MS 10000
/* The timer fires this much later than calculated, so that the allowance is
 * complete when it does. */
#define TIMER_MARGIN_US 500

static void
log_cold(struct bg_gatekeeper *gk, uint32_t left_ms, const char *reason)
{
	const struct bg_warmup *wu = &gk->limiter.warmup;

	bg_metrics_count_cold_period();
	bg_log_info("gatekeeper",
	    "server cold id=%s left_ms=%u milli_per_s=%u burst=%u reason=%s",
	    gk->server.id, left_ms, wu->rate_milli_per_s, wu->burst, reason);
}

static void
log_warm(struct bg_gatekeeper *gk, uint64_t now_us, const char *reason)
{
	bg_log_info("gatekeeper", "server warm id=%s cold_ms=%llu reason=%s",
	    gk->server.id,
	    (unsigned long long)(now_us - gk->limited_since_us) / 1000, reason);
}

/* Logs that the limit begins or ends, or that it holds for a server that has
 * just started, and sets the metrics. A server that was never heard of is not
 * reported.
 *
 * @param is_new_lifetime the server has just started */
static void
report_limit(struct bg_gatekeeper *gk, const char *reason, int is_new_lifetime)
{
	const struct bg_warmup *wu = &gk->limiter.warmup;
	uint64_t now_us = bg_clock_now_us();
	int is_limited =
	    gk->server.id[0] != '\0' && bg_warmup_is_limited(wu, now_us);
	uint32_t left_ms = is_limited ? bg_warmup_left_ms(wu, now_us) : 0;

	if (is_limited && (!gk->is_limited || is_new_lifetime)) {
		gk->limited_since_us = now_us;
		log_cold(gk, left_ms, reason);
	} else if (!is_limited && gk->is_limited)
		log_warm(gk, now_us, reason);
	gk->is_limited = is_limited;
	bg_metrics_set_cold_left(left_ms);
}

/* Refuses the queued calls for which the limit leaves no start in time, so that
 * their callers can try elsewhere. */
static void
refuse_beyond_limit(struct bg_gatekeeper *gk)
{
	if (bg_warmup_is_limited(&gk->limiter.warmup, bg_clock_now_us()))
		bg_gate_refuse_infeasible(gk);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct bg_gatekeeper *gk = arg;

	report_limit(gk, "time", 0);
	bg_gate_start_queued(gk);
	refuse_beyond_limit(gk);
}

int
bg_gate_warmup_init(struct bg_gatekeeper *gk)
{
	gk->warmup_timer = evtimer_new(gk->base, on_timer, gk);
	return gk->warmup_timer == NULL ? BG_ENOMEM : 0;
}

void
bg_gate_warmup_free(struct bg_gatekeeper *gk)
{
	if (gk->warmup_timer != NULL)
		event_free(gk->warmup_timer);
}

/* Time until a queued call may start or the limit changes; 0: neither is
 * awaited. */
static uint64_t
next_change_us(const struct bg_gatekeeper *gk, uint64_t now_us)
{
	const struct bg_limiter *lim = &gk->limiter;
	uint64_t wait_us = bg_limiter_warmup_wait_us(lim, now_us);
	uint64_t change_us = bg_warmup_next_change_us(&lim->warmup, now_us);

	if (change_us == 0)
		return 0;
	if (wait_us != 0 && wait_us < change_us)
		change_us = wait_us;
	return change_us + TIMER_MARGIN_US;
}

void
bg_gate_warmup_schedule(struct bg_gatekeeper *gk)
{
	uint64_t us = next_change_us(gk, bg_clock_now_us());
	struct timeval tv = {
	    (time_t)(us / 1000000), (suseconds_t)(us % 1000000)};

	if (us == 0)
		event_del(gk->warmup_timer);
	else
		event_add(gk->warmup_timer, &tv);
}

void
bg_gate_warmup_configure(struct bg_gatekeeper *gk, const struct bg_service *svc)
{
	bg_warmup_configure(&gk->limiter.warmup, svc->warmup_ms,
	    svc->warmup_milli_per_s,
	    bg_warmup_burst(&gk->settings->warmup, svc->warmup_milli_per_s),
	    bg_clock_now_us());
	report_limit(gk, "config", 0);
	bg_gate_warmup_schedule(gk);
}

/* 1 if the announcement decides how long the server is cold. Without a rate,
 * only that of a start excuses slow responses of its version. */
static int
states_warmup(const struct bg_warmup *wu, const struct bg_announcement *ann,
    int is_new_lifetime)
{
	return ann->has_warmup_left &&
	    (is_new_lifetime || wu->rate_milli_per_s != 0);
}

static void
apply_announcement(struct bg_warmup *wu, const struct bg_announcement *ann,
    int is_new_lifetime, uint64_t now_us)
{
	if (states_warmup(wu, ann, is_new_lifetime))
		bg_warmup_report(wu, ann->warmup_left_ms, now_us);
	else if (!is_new_lifetime)
		bg_warmup_heard(wu, now_us);
	else if (wu->duration_ms != 0)
		bg_warmup_report(wu, wu->duration_ms, now_us);
	else
		bg_warmup_report(wu, UNANNOUNCED_WARMUP_MS, now_us);
}

void
bg_gate_warmup_announced(struct bg_gatekeeper *gk,
    const struct bg_announcement *ann, int is_new_lifetime)
{
	apply_announcement(
	    &gk->limiter.warmup, ann, is_new_lifetime, bg_clock_now_us());
	report_limit(gk, is_new_lifetime ? "start" : "report", is_new_lifetime);
	bg_gate_start_queued(gk);
	refuse_beyond_limit(gk);
}

void
bg_gate_warmup_doubt(struct bg_gatekeeper *gk, const char *reason)
{
	if (gk->limiter.warmup.rate_milli_per_s == 0)
		return;
	bg_warmup_doubt(&gk->limiter.warmup, bg_clock_now_us());
	report_limit(gk, reason, 0);
	refuse_beyond_limit(gk);
	bg_gate_warmup_schedule(gk);
}

void
bg_gate_warmup_fill(
    struct bg_xload_extension *out, const struct bg_gatekeeper *gk)
{
	const struct bg_warmup *wu = &gk->limiter.warmup;
	uint64_t now_us = bg_clock_now_us();

	if (!bg_warmup_is_limited(wu, now_us))
		return;
	out->cold_left_ms = bg_warmup_left_ms(wu, now_us);
	out->cold_starts_milli_per_s = wu->rate_milli_per_s;
	out->cold_starts_left = bg_warmup_starts_left(wu, now_us);
}

uint32_t
bg_gate_warmup_count_refusal(const struct bg_gatekeeper *gk)
{
	const struct bg_warmup *wu = &gk->limiter.warmup;
	uint64_t now_us = bg_clock_now_us();

	if (!bg_warmup_is_limited(wu, now_us))
		return 0;
	bg_metrics_count_cold_refused();
	return bg_warmup_left_ms(wu, now_us);
}
