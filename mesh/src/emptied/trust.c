#include "emptied/trust.h"

static int
has_paused(const struct bg_trust *tr, uint64_t now_ms)
{
	return now_ms - tr->tick_ms > BG_TRUST_PAUSE_MS;
}

void
bg_trust_init(struct bg_trust *out, uint64_t now_ms)
{
	out->tick_ms = now_ms;
	out->doubt_end_ms = now_ms + BG_TRUST_START_DOUBT_MS;
	out->is_starting = 1;
	out->is_doubted = 1;
}

int
bg_trust_tick(struct bg_trust *tr, uint64_t now_ms)
{
	int is_pause = has_paused(tr, now_ms);

	tr->tick_ms = now_ms;
	if (now_ms >= tr->doubt_end_ms)
		tr->is_starting = 0;
	if (!is_pause)
		return 0;
	if (!tr->is_starting)
		tr->doubt_end_ms = now_ms + BG_TRUST_PAUSE_DOUBT_MS;
	tr->is_doubted = 1;
	return 1;
}

void
bg_trust_confirm_by_store(struct bg_trust *tr)
{
	tr->is_doubted = 0;
	tr->is_starting = 0;
}

void
bg_trust_confirm_by_peer(struct bg_trust *tr, int is_store_reachable)
{
	if (tr->is_starting && is_store_reachable)
		return;
	tr->is_doubted = 0;
	tr->is_starting = 0;
}

int
bg_trust_holds(const struct bg_trust *tr, uint64_t now_ms)
{
	if (has_paused(tr, now_ms))
		return 0;
	return !tr->is_doubted || now_ms >= tr->doubt_end_ms;
}
