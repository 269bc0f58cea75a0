#include "drain.h"

void
bg_drain_begin(struct bg_drain *drn, uint32_t announce_ms, uint32_t bound_ms,
    uint64_t now_ms)
{
	if (drn->state != BG_DRAIN_NONE)
		return;
	drn->state = BG_DRAIN_ANNOUNCING;
	drn->announce_ms = announce_ms;
	drn->bound_ms = bound_ms;
	drn->began_ms = now_ms;
	drn->announced_ms = 0;
	drn->left_running = 0;
}

static int
is_over_bound(const struct bg_drain *drn, uint64_t now_ms)
{
	return now_ms - drn->began_ms >= drn->bound_ms;
}

/* Without a parent the confirmation does not come; half of the bound is left
 * for the calls that run. */
static int
may_leave(struct bg_drain *drn, int is_announced, uint64_t now_ms)
{
	if (is_announced && drn->announced_ms == 0)
		drn->announced_ms = now_ms;
	if (drn->announced_ms != 0 &&
	    now_ms - drn->announced_ms >= drn->announce_ms)
		return 1;
	return now_ms - drn->began_ms >= drn->bound_ms / 2;
}

int
bg_drain_step(
    struct bg_drain *drn, int is_announced, uint32_t in_flight, uint64_t now_ms)
{
	switch (drn->state) {
	case BG_DRAIN_ANNOUNCING:
		if (!may_leave(drn, is_announced, now_ms))
			return 0;
		drn->state = BG_DRAIN_LEAVING;
		return 1;
	case BG_DRAIN_LEAVING:
		if (in_flight > 0 && !is_over_bound(drn, now_ms))
			return 0;
		drn->left_running = in_flight;
		drn->state = BG_DRAIN_DONE;
		return 1;
	default:
		return 0;
	}
}
