#include "drain.h"

void
bg_drain_begin(struct bg_drain *drn, uint32_t announce_ms, uint32_t timeout_ms,
    uint64_t now_ms)
{
	if (drn->state != BG_DRAIN_NONE)
		return;
	drn->state = BG_DRAIN_SERVING;
	drn->announce_ms = announce_ms;
	drn->timeout_ms = timeout_ms;
	drn->began_ms = now_ms;
	drn->left_running = 0;
}

int
bg_drain_step(struct bg_drain *drn, uint32_t in_flight, uint64_t now_ms)
{
	uint64_t age_ms = now_ms - drn->began_ms;

	switch (drn->state) {
	case BG_DRAIN_SERVING:
		if (age_ms < drn->announce_ms && age_ms < drn->timeout_ms)
			return 0;
		drn->state = BG_DRAIN_LEAVING;
		return 1;
	case BG_DRAIN_LEAVING:
		if (in_flight > 0 && age_ms < drn->timeout_ms)
			return 0;
		drn->left_running = in_flight;
		drn->state = BG_DRAIN_DONE;
		return 1;
	default:
		return 0;
	}
}

int
bg_drain_accepts_call(
    const struct bg_drain *drn, uint32_t deadline_ms, uint64_t now_ms)
{
	if (drn->state < BG_DRAIN_LEAVING)
		return 1;
	if (drn->state == BG_DRAIN_DONE)
		return 0;
	return now_ms + deadline_ms <= drn->began_ms + drn->timeout_ms;
}
