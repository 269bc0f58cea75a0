#include "burdockgrade/counter.h"
#include "burdockgrade/log.h"

#include "emptying.h"

static struct bg_counter running_gauge = BG_GAUGE(
    "burdock_emptied_running_calls",
    "Calls that still run at the backend server of an emptied data centre.");

enum bg_xrefusal
bg_gate_emptying_refusal(const struct bg_gatekeeper *gk)
{
	switch (bg_mesh_admission(gk->mesh)) {
	case BG_ADMISSION_EMPTIED:
		return BG_XREFUSAL_DRAINING;
	case BG_ADMISSION_UNKNOWN:
		return BG_XREFUSAL_UNSYNCED;
	default:
		return BG_XREFUSAL_NONE;
	}
}

void
bg_gate_emptying_handle_end(struct bg_gatekeeper *gk)
{
	if (!gk->is_emptied)
		return;
	bg_counter_set(&running_gauge, gk->limiter.running);
	if (gk->limiter.running == 0)
		bg_log_info("gatekeeper",
		    "no call is left in emptied data centre server=%s",
		    gk->server.id);
}

void
bg_gatekeeper_handle_emptying(struct bg_gatekeeper *gk)
{
	int is_emptied = bg_mesh_admission(gk->mesh) == BG_ADMISSION_EMPTIED;

	if (gk->backend == NULL || is_emptied == gk->is_emptied)
		return;
	gk->is_emptied = is_emptied;
	bg_counter_set(&running_gauge, is_emptied ? gk->limiter.running : 0);
	bg_log_warn("gatekeeper",
	    "data centre emptied=%d server=%s running=%u queued=%u", is_emptied,
	    gk->server.id, gk->limiter.running, gk->limiter.queue.length);
	if (is_emptied)
		bg_gate_refuse_queued(gk);
	else
		/* The server may have been restarted meanwhile. */
		bg_gatekeeper_doubt_warmth(gk, "taken-back");
}

uint32_t
bg_gatekeeper_running(const struct bg_gatekeeper *gk)
{
	return gk->limiter.running;
}
