#include "probe.h"

/* A server that answered a real call within this time is alive, whatever its
 * own health page says. */
#define ANSWERED_MS 1000

void
bg_probe_answered(struct bg_probe *prb, uint64_t now_ms)
{
	prb->answered_ms = now_ms;
}

static int
answers_calls(const struct bg_probe *prb, uint64_t now_ms)
{
	return prb->answered_ms != 0 && now_ms - prb->answered_ms < ANSWERED_MS;
}

int
bg_probe_result(
    struct bg_probe *prb, enum bg_probe_result result, uint64_t now_ms)
{
	int was_ready = prb->is_ready;

	if (result == BG_PROBE_GOOD) {
		prb->failures = 0;
		prb->is_ready = 1;
		return !was_ready;
	}
	prb->failures++;
	if (result == BG_PROBE_REFUSED ||
	    (prb->failures >= BG_PROBE_FAILURES && !answers_calls(prb, now_ms)))
		prb->is_ready = 0;
	return was_ready != prb->is_ready;
}

uint32_t
bg_probe_interval_ms(const struct bg_probe *prb)
{
	return prb->is_ready && prb->failures == 0 ? BG_PROBE_MS
						   : BG_PROBE_CHANGING_MS;
}
