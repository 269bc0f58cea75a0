#include "warmup.h"

#define US_PER_MS 1000ULL
#define PERMILLE 1000ULL
#define MILLI 1000ULL
/* Assumed duration where the configuration gives none. */
#define DURATION_DEFAULT_MS 10000

uint32_t
bg_warmup_burst(
    const struct bg_warmup_settings *settings, uint32_t rate_milli_per_s)
{
	uint64_t excess_milli = settings->excess_starts * MILLI +
	    (uint64_t)rate_milli_per_s * settings->excess_permille / PERMILLE;
	uint32_t burst = (uint32_t)(excess_milli / 2 / MILLI);

	return burst == 0 ? 1 : burst;
}

static uint64_t
duration_us(const struct bg_warmup *wu)
{
	uint64_t ms =
	    wu->duration_ms == 0 ? DURATION_DEFAULT_MS : wu->duration_ms;

	return ms * US_PER_MS;
}

/* Allowance at a time, without the limit that other calls set. */
static uint64_t
allowance_at(const struct bg_warmup *wu, uint64_t now_us)
{
	uint64_t most = wu->burst * BG_WARMUP_START_PARTS;
	uint64_t span_us =
	    now_us > wu->counted_us ? now_us - wu->counted_us : 0;
	uint64_t left = most > wu->allowance ? most - wu->allowance : 0;

	if (wu->rate_milli_per_s == 0)
		return wu->allowance;
	/* Compared by division, since the product may overflow. */
	if (span_us >= left / wu->rate_milli_per_s + 1)
		return most;
	return wu->allowance + span_us * wu->rate_milli_per_s;
}

static void
count(struct bg_warmup *wu, uint64_t now_us)
{
	wu->allowance = allowance_at(wu, now_us);
	if (now_us > wu->counted_us)
		wu->counted_us = now_us;
}

void
bg_warmup_configure(struct bg_warmup *wu, uint32_t new_duration_ms,
    uint32_t rate_milli_per_s, uint32_t burst, uint64_t now_us)
{
	count(wu, now_us);
	wu->duration_ms = new_duration_ms;
	wu->rate_milli_per_s = rate_milli_per_s;
	wu->burst = burst;
	if (wu->allowance > burst * BG_WARMUP_START_PARTS)
		wu->allowance = burst * BG_WARMUP_START_PARTS;
}

void
bg_warmup_report(struct bg_warmup *wu, uint32_t left_ms, uint64_t now_us)
{
	uint64_t left_us = left_ms * US_PER_MS;

	if (wu->duration_ms != 0 && left_us > duration_us(wu))
		left_us = duration_us(wu);
	wu->cold_until_us = left_us == 0 ? 0 : now_us + left_us;
	wu->reported_us = now_us;
}

void
bg_warmup_heard(struct bg_warmup *wu, uint64_t now_us)
{
	wu->reported_us = now_us;
}

void
bg_warmup_doubt(struct bg_warmup *wu, uint64_t now_us)
{
	wu->cold_until_us = now_us + duration_us(wu);
}

/* 1 if a report of the server is due for so long that it may have turned cold
 * since. */
static int
is_report_missing(const struct bg_warmup *wu, uint64_t now_us)
{
	return wu->rate_milli_per_s != 0 &&
	    (wu->reported_us == 0 ||
		now_us - wu->reported_us >
		    BG_WARMUP_REPORT_MAX_AGE_MS * US_PER_MS);
}

int
bg_warmup_is_cold(const struct bg_warmup *wu, uint64_t now_us)
{
	return now_us < wu->cold_until_us || is_report_missing(wu, now_us);
}

int
bg_warmup_is_limited(const struct bg_warmup *wu, uint64_t now_us)
{
	return wu->rate_milli_per_s != 0 && bg_warmup_is_cold(wu, now_us);
}

static uint64_t
left_us(const struct bg_warmup *wu, uint64_t now_us)
{
	if (is_report_missing(wu, now_us))
		return duration_us(wu);
	return now_us < wu->cold_until_us ? wu->cold_until_us - now_us : 0;
}

uint32_t
bg_warmup_left_ms(const struct bg_warmup *wu, uint64_t now_us)
{
	return (uint32_t)((left_us(wu, now_us) + US_PER_MS - 1) / US_PER_MS);
}

uint64_t
bg_warmup_next_change_us(const struct bg_warmup *wu, uint64_t now_us)
{
	if (wu->rate_milli_per_s == 0)
		return 0;
	if (bg_warmup_is_limited(wu, now_us))
		return left_us(wu, now_us);
	return wu->reported_us + BG_WARMUP_REPORT_MAX_AGE_MS * US_PER_MS + 1 -
	    now_us;
}

int
bg_warmup_may_start(const struct bg_warmup *wu, uint64_t now_us)
{
	return bg_warmup_starts_left(wu, now_us) > 0;
}

uint32_t
bg_warmup_starts_left(const struct bg_warmup *wu, uint64_t now_us)
{
	if (!bg_warmup_is_limited(wu, now_us))
		return UINT32_MAX;
	return (uint32_t)(allowance_at(wu, now_us) / BG_WARMUP_START_PARTS);
}

uint64_t
bg_warmup_wait_us(const struct bg_warmup *wu, uint64_t now_us)
{
	uint64_t missing;
	uint64_t wait_us;

	if (bg_warmup_may_start(wu, now_us))
		return 0;
	missing = BG_WARMUP_START_PARTS - allowance_at(wu, now_us);
	wait_us = (missing + wu->rate_milli_per_s - 1) / wu->rate_milli_per_s;
	return wait_us < left_us(wu, now_us) ? wait_us : left_us(wu, now_us);
}

uint64_t
bg_warmup_interval_us(const struct bg_warmup *wu, uint64_t now_us)
{
	uint64_t interval_us;

	if (!bg_warmup_is_limited(wu, now_us))
		return 0;
	interval_us = BG_WARMUP_START_PARTS / wu->rate_milli_per_s;
	return interval_us < left_us(wu, now_us) ? interval_us
						 : left_us(wu, now_us);
}

void
bg_warmup_start(struct bg_warmup *wu, uint64_t now_us)
{
	count(wu, now_us);
	wu->allowance = wu->allowance > BG_WARMUP_START_PARTS
	    ? wu->allowance - BG_WARMUP_START_PARTS
	    : 0;
}

void
bg_warmup_refund(struct bg_warmup *wu, uint64_t now_us)
{
	uint64_t most = wu->burst * BG_WARMUP_START_PARTS;

	count(wu, now_us);
	wu->allowance += BG_WARMUP_START_PARTS;
	if (wu->allowance > most)
		wu->allowance = most;
}
