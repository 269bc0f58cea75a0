#include <math.h>
#include <string.h>

#include "bucket/bucket.h"
#include "wallet.h"

/* Time over which the rate of arrivals is averaged. */
#define RATE_WINDOW_S 1.5
/* Calls for which tokens are held ahead, at the rate of arrivals. Within half
 * of it, the next ask is answered. */
#define AHEAD_S 0.5
/* Below this rate, tokens held ahead would mostly end unused. */
#define STEADY_PER_S 1.0
#define MS_PER_S 1000.0

static uint32_t
usable(const struct bg_wallet *wal, uint64_t now_ms)
{
	return now_ms < wal->valid_end_ms ? wal->held : 0;
}

static double
rate_now(const struct bg_wallet *wal, uint64_t now_ms)
{
	if (wal->arrived_ms == 0 || now_ms <= wal->arrived_ms)
		return wal->rate_per_s;
	return wal->rate_per_s *
	    exp(-(double)(now_ms - wal->arrived_ms) / MS_PER_S / RATE_WINDOW_S);
}

void
bg_wallet_count(struct bg_wallet *wal, uint64_t now_ms)
{
	wal->rate_per_s = rate_now(wal, now_ms) + 1 / RATE_WINDOW_S;
	wal->arrived_ms = now_ms;
}

int
bg_wallet_take(struct bg_wallet *wal, uint64_t now_ms)
{
	if (usable(wal, now_ms) == 0) {
		wal->held = 0;
		return 0;
	}
	wal->held--;
	return 1;
}

/* Tokens to hold ahead. */
static uint32_t
target(const struct bg_wallet *wal, uint64_t now_ms)
{
	double rate = rate_now(wal, now_ms);

	return rate < STEADY_PER_S ? 0 : (uint32_t)ceil(rate * AHEAD_S);
}

int
bg_wallet_is_low(const struct bg_wallet *wal, uint64_t now_ms)
{
	return !bg_wallet_is_dry(wal, now_ms) &&
	    2 * usable(wal, now_ms) < target(wal, now_ms);
}

int
bg_wallet_is_dry(const struct bg_wallet *wal, uint64_t now_ms)
{
	return now_ms < wal->dry_end_ms;
}

void
bg_wallet_fill_ask(struct bg_wallet_ask *out, struct bg_wallet *wal,
    uint32_t waiting, uint64_t now_ms)
{
	uint32_t ahead = target(wal, now_ms);

	memset(out, 0, sizeof(*out));
	out->held = usable(wal, now_ms);
	out->waiting = waiting;
	if (ahead > out->held)
		out->spare = ahead - out->held;
	else if (waiting != 0 && out->held == 0)
		/* For a repeat, or the next call soon after. */
		out->spare = 1;
	wal->held = out->held;
	wal->asked_held = out->held;
	wal->asked_waiting = waiting;
}

uint32_t
bg_wallet_settle(struct bg_wallet *wal, const struct bg_wallet_grant *grant,
    uint64_t sent_ms, uint64_t now_ms)
{
	uint32_t kept = grant->tenure == wal->tenure ? grant->kept : 0;
	uint32_t lost = kept < wal->asked_held ? wal->asked_held - kept : 0;
	uint32_t instant = grant->granted < wal->asked_waiting
	    ? grant->granted
	    : wal->asked_waiting;

	wal->held = wal->held > lost ? wal->held - lost : 0;
	wal->tenure = grant->tenure;
	wal->valid_end_ms = sent_ms + grant->valid_ms;
	wal->held += grant->granted - instant;
	wal->dry_end_ms =
	    grant->retry_after_ms == 0 ? 0 : now_ms + grant->retry_after_ms;
	if (now_ms >= wal->valid_end_ms)
		wal->held = 0;
	/* A node that was paused before it read the reply. */
	if (now_ms >= sent_ms + BG_QUOTA_ASK_TIMEOUT_MS)
		return 0;
	return instant;
}
