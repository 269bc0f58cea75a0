#include "progress.h"

void
bg_progress_handle_list(struct bg_progress *prg, uint64_t revision)
{
	prg->revision = revision;
	prg->proven_revision = revision;
	prg->has_taken = 0;
	prg->held_revision = 0;
}

static void
take_held(struct bg_progress *prg, uint64_t now_ms)
{
	if (prg->held_revision == 0 ||
	    now_ms - prg->held_ms < BG_PROGRESS_HOLD_MS)
		return;
	if (prg->held_revision > prg->revision) {
		prg->revision = prg->held_revision;
		prg->has_taken = 1;
	}
	prg->held_revision = 0;
}

void
bg_progress_handle_watch(
    struct bg_progress *prg, uint64_t reported, uint64_t told, uint64_t now_ms)
{
	uint64_t asked = prg->revision;

	take_held(prg, now_ms);
	if (!prg->has_taken && reported > prg->proven_revision)
		prg->proven_revision = reported;
	if (reported > prg->revision)
		prg->revision = reported;
	/* The next watch would report the same changes again, such as removals
	 * that bear the revision of the last write before them. */
	else if (reported != 0 && reported <= asked && told > prg->revision) {
		prg->revision = told;
		prg->has_taken = 1;
	}
	if (prg->held_revision != 0 || told <= prg->revision)
		return;
	prg->held_revision = told;
	prg->held_ms = now_ms;
}
