#include "cold_call.h"

int
bg_cold_call_is_hopeless(
    const struct bg_pick *pick, uint32_t picks, uint64_t useful_us)
{
	if (pick->cold_left_ms == 0)
		return 0;
	return picks >= BG_COLD_PICKS_MAX ||
	    (pick->wait_us > 0 && pick->wait_us + pick->service_us > useful_us);
}

uint32_t
bg_cold_call_retry_ms(struct bg_rand *rnd, uint64_t earliest_ms,
    uint32_t cold_left_ms, uint32_t latest_ms)
{
	uint64_t span_ms =
	    cold_left_ms > earliest_ms ? cold_left_ms : earliest_ms;

	if (earliest_ms >= latest_ms)
		return latest_ms;
	if (span_ms > latest_ms - earliest_ms)
		span_ms = latest_ms - earliest_ms;
	return (uint32_t)(earliest_ms + bg_rand_below(rnd, span_ms + 1));
}
