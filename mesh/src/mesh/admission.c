#include "mesh/admission.h"

/* Retry times beyond this would keep nodes away after the storm is over. */
#define RETRY_MAX_MS 5000
#define RETRY_STEP_MS (1000 / BG_ATTACHES_PER_S)
#define BURST_MILLI (BG_ATTACH_BURST * 1000u)

static void
refill(struct bg_admission *adm, uint64_t now_ms)
{
	uint64_t gained;

	if (!adm->is_started) {
		adm->is_started = 1;
		adm->tokens_milli = BURST_MILLI;
		adm->refilled_ms = now_ms;
		return;
	}
	gained = (now_ms - adm->refilled_ms) * BG_ATTACHES_PER_S;
	adm->refilled_ms = now_ms;
	if (gained > BURST_MILLI - adm->tokens_milli)
		adm->tokens_milli = BURST_MILLI;
	else
		adm->tokens_milli += (uint32_t)gained;
}

int
bg_admission_take(
    uint32_t *out_retry_ms, struct bg_admission *adm, uint64_t now_ms)
{
	*out_retry_ms = 0;
	refill(adm, now_ms);
	if (adm->tokens_milli >= 1000) {
		adm->tokens_milli -= 1000;
		return 1;
	}
	/* One retry time for each refused node, one step apart. */
	if (adm->next_retry_ms < now_ms)
		adm->next_retry_ms = now_ms;
	adm->next_retry_ms += RETRY_STEP_MS;
	if (adm->next_retry_ms > now_ms + RETRY_MAX_MS)
		adm->next_retry_ms = now_ms + RETRY_STEP_MS;
	*out_retry_ms = (uint32_t)(adm->next_retry_ms - now_ms);
	return 0;
}
