#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/counter.h"
#include "burdockgrade/log.h"

#include "task.h"

static struct bg_counter bad_verdicts = BG_COUNTER(
    "burdock_moves_bad_total", "Times that this node found its server bad.");

void
bg_moves_suspend(struct bg_moves *mvs, int is_suspended)
{
	if (mvs->is_suspended == is_suspended)
		return;
	mvs->is_suspended = is_suspended;
	mvs->options.on_suspend(mvs->options.arg, is_suspended);
}

/* 1 if server_version is the new version of a monitored move. */
static int
is_judged(const struct bg_tracked_move *trk, const char *server_version)
{
	return trk != NULL && strcmp(trk->move.to, server_version) == 0 &&
	    bg_moves_is_monitored(trk, bg_clock_now_ms());
}

static void
announce_verdict(struct bg_moves *mvs, const char *service)
{
	const struct bg_judge *jdg = &mvs->judge;

	bg_log_info("moves",
	    "verdict changed service=%s version=%s generation=%" PRIu64
	    " step=%u verdict=%d calls=%u failed=%u slow=%u reason=\"%s\"",
	    service, mvs->judged_version, jdg->generation, jdg->step,
	    (int)jdg->verdict, jdg->calls, jdg->failed, jdg->slow, jdg->reason);
	if (jdg->verdict == BG_VERDICT_BAD) {
		bg_counter_add(&bad_verdicts, 1);
		bg_moves_suspend(mvs, 1);
	}
	bg_mesh_announce_verdict(
	    mvs->options.mesh, jdg->verdict, jdg->generation, jdg->step);
	bg_moves_arm_timer(mvs);
}

static void
judge_answer(struct bg_moves *mvs, const struct bg_tracked_move *trk,
    const struct bg_observation *seen)
{
	struct bg_judge_sample sample;
	enum bg_verdict before;

	if (mvs->judge.generation != trk->move.generation ||
	    strcmp(mvs->judged_version, seen->server_version) != 0) {
		bg_judge_reset(&mvs->judge, trk->move.generation);
		snprintf(mvs->judged_version, sizeof(mvs->judged_version), "%s",
		    seen->server_version);
		bg_moves_suspend(mvs, 0);
	}
	if (mvs->judge.step != trk->move.step)
		bg_judge_begin_step(&mvs->judge, trk->move.step);
	before = mvs->judge.verdict;
	sample.route = seen->route;
	sample.is_failed = seen->is_failed && !seen->is_dependency_fault;
	sample.is_slow = seen->is_slow && !seen->is_dependency_fault;
	sample.has_latency = !seen->is_cold;
	if (bg_judge_add_sample(
		&mvs->judge, &sample, trk->policy.max_error_permille) != before)
		announce_verdict(mvs, trk->service);
}

void
bg_moves_observe(struct bg_observer *obs, const struct bg_observation *seen)
{
	struct bg_moves *mvs = (struct bg_moves *)obs;
	const struct bg_tracked_move *trk =
	    bg_moves_find_tracked(mvs, seen->service);

	bg_burn_count(mvs->burn, seen->service, seen->route,
	    seen->server_version, bg_clock_wall_ms() / 60000, seen->is_failed);
	if (is_judged(trk, seen->server_version))
		judge_answer(mvs, trk, seen);
}
