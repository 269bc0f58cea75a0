#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/change.h"
#include "burdockgrade/clock.h"
#include "burdockgrade/counter.h"
#include "burdockgrade/log.h"

#include "task.h"

#define LEASE_KEY "lease/moves"

static struct bg_counter steps = BG_COUNTER("burdock_moves_steps_total",
    "Changes of a move that this node wrote as move holder.");
static struct bg_counter conflicts = BG_COUNTER("burdock_moves_conflicts_total",
    "Changes of a move that lost to another writer.");

static void
lease_read(void *arg, const struct bg_platform_answer *answer)
{
	struct bg_moves *mvs = arg;
	struct bg_lease_record rec;
	int is_valid;

	mvs->is_lease_busy = 0;
	is_valid = answer->code == 0 &&
	    bg_lease_record_decode(&rec, answer->body, answer->body_bytes) == 0;
	bg_lease_read_done(&mvs->lease, answer->code, answer->object_version,
	    is_valid ? &rec : NULL, bg_clock_now_ms());
}

static void
lease_written(void *arg, const struct bg_platform_answer *answer)
{
	struct bg_moves *mvs = arg;

	mvs->is_lease_busy = 0;
	bg_lease_write_done(&mvs->lease, answer->code,
	    answer->is_outcome_unknown, answer->object_version,
	    bg_clock_now_ms());
}

static void
write_lease(struct bg_moves *mvs, const struct bg_lease_record *rec)
{
	char *json;

	if (bg_lease_record_encode(&json, rec) != 0)
		return;
	mvs->is_lease_busy =
	    bg_platform_put(mvs->platform, LEASE_KEY, mvs->lease.object_version,
		json, strlen(json), lease_written, mvs) == 0;
	free(json);
}

void
bg_moves_lease(struct bg_moves *mvs)
{
	struct bg_lease_record rec;
	uint64_t now_ms = bg_clock_now_ms();
	int wanted = bg_mesh_is_relay(mvs->mesh);

	if (wanted != mvs->lease.is_wanted)
		bg_lease_want(&mvs->lease, wanted, now_ms, 0);
	if (mvs->is_lease_busy)
		return;
	switch (bg_lease_next(&rec, &mvs->lease, now_ms)) {
	case BG_LEASE_READ:
		mvs->is_lease_busy = bg_platform_get(mvs->platform, LEASE_KEY,
					 lease_read, mvs) == 0;
		break;
	case BG_LEASE_WRITE:
		write_lease(mvs, &rec);
		break;
	case BG_LEASE_WAIT:
		break;
	}
}

/* The head must still be in the state that the decision started from. */
static int
apply_change(void *arg, struct bg_head *head, struct bg_error *err)
{
	struct bg_moves *mvs = arg;
	const struct bg_move *from = &mvs->change_from;
	struct bg_head_service *svc;

	svc = bg_head_find(head, mvs->change_service);
	if (svc == NULL || !bg_lease_is_held(&mvs->lease, bg_clock_now_ms()) ||
	    svc->move.generation != from->generation ||
	    svc->move.state != from->state || svc->move.step != from->step)
		return bg_error_set(err, BG_ECONFLICT, "move", NULL,
		    "the move went on meanwhile");
	return bg_change_move_state(head, mvs->change_service, &mvs->change_to,
	    bg_clock_wall_ms(), err);
}

static void
change_done(void *arg, int code, uint64_t version)
{
	struct bg_moves *mvs = arg;
	const struct bg_move *to = &mvs->change_to;

	mvs->is_change_busy = 0;
	if (code != 0) {
		bg_counter_add(&conflicts, code == BG_ECONFLICT);
		bg_log_info("moves", "step not written service=%s code=%s",
		    mvs->change_service, bg_error_name(code));
		return;
	}
	bg_counter_add(&steps, 1);
	bg_log_info("moves",
	    "step written service=%s version=%s state=%d step=%u share=%u "
	    "head=%llu reason=\"%s\"",
	    mvs->change_service, to->to, (int)to->state, to->step,
	    to->share_permille, (unsigned long long)version, to->reason);
}

static void
start_change(struct bg_moves *mvs, const struct bg_service *svc,
    const struct bg_move *to)
{
	if (mvs->is_change_busy)
		return;
	snprintf(mvs->change_service, sizeof(mvs->change_service), "%s",
	    svc->head.name);
	mvs->change_from = svc->head.move;
	mvs->change_to = *to;
	mvs->is_change_busy =
	    bg_change_start(mvs->platform, bg_mesh_address(mvs->mesh),
		apply_change, change_done, mvs) == 0;
}

struct version_count {
	char server_version[BG_NAME_BYTES];
	uint32_t ready;
	uint32_t slots;
	uint64_t newest; /* highest incarnation */
};

static void
count_ready(struct version_count *out, const struct bg_roster *ros,
    const char *service, const char *server_version)
{
	const struct bg_member *mbr;
	size_t count = bg_roster_service(&mbr, ros, service);
	size_t i;

	memset(out, 0, sizeof(*out));
	snprintf(out->server_version, sizeof(out->server_version), "%s",
	    server_version);
	for (i = 0; i < count; i++) {
		if (mbr[i].is_dead || mbr[i].state != BG_MEMBER_READY ||
		    strcmp(mbr[i].server_version, server_version) != 0)
			continue;
		out->ready++;
		out->slots += mbr[i].slots;
		if (mbr[i].incarnation > out->newest)
			out->newest = mbr[i].incarnation;
	}
}

/* A version may start by itself unless it served or was tried before, or is
 * marked; then only an operator starts it again. */
static int
is_candidate(const struct bg_moves *mvs, const struct bg_service *svc,
    const char *server_version)
{
	return !bg_move_is_retired(&svc->head.move, server_version) &&
	    bg_mark_generation(
		bg_mesh_table(mvs->mesh), svc->head.name, server_version) == 0;
}

/* Picks the ready version whose servers were started last. */
static int
find_candidate(struct version_count *out, const struct bg_moves *mvs,
    const struct bg_service *svc)
{
	const struct bg_roster *ros = bg_mesh_roster(mvs->mesh);
	const struct bg_member *mbr;
	struct version_count vc;
	size_t count = bg_roster_service(&mbr, ros, svc->head.name);
	size_t i;

	memset(out, 0, sizeof(*out));
	for (i = 0; i < count; i++) {
		if (!is_candidate(mvs, svc, mbr[i].server_version))
			continue;
		count_ready(&vc, ros, svc->head.name, mbr[i].server_version);
		if (vc.ready > 0 && vc.newest > out->newest)
			*out = vc;
	}
	return out->ready > 0;
}

static void
begin_move(struct bg_moves *mvs, const struct bg_service *svc)
{
	const struct bg_move *move = &svc->head.move;
	uint64_t now_ms = bg_clock_wall_ms();
	struct version_count vc;
	struct bg_move next;

	if (!find_candidate(&vc, mvs, svc))
		return;
	memset(&next, 0, sizeof(next));
	bg_move_retire(&next, move);
	next.generation = move->generation + 1;
	next.started_ms = now_ms;
	next.step_since_ms = now_ms;
	snprintf(next.to, sizeof(next.to), "%s", vc.server_version);
	if (move->state == BG_MOVE_NONE) {
		/* The first version of a service has nothing to move from. */
		next.state = BG_MOVE_DONE;
		next.share_permille = 1000;
		next.deadline_ms = now_ms;
	} else if (svc->contract.move_auto_start) {
		next.state = BG_MOVE_IN_PROGRESS;
		next.share_permille = BG_MOVE_FIRST_SHARE_PERMILLE;
		next.deadline_ms = now_ms + svc->contract.take_over_ms;
		snprintf(
		    next.from, sizeof(next.from), "%s", bg_move_serving(move));
	} else
		return;
	start_change(mvs, svc, &next);
}

static int
take_dcstat(void *arg, const struct bg_item *item)
{
	struct bg_moves *mvs = arg;

	bg_watch_take(mvs, item, 1, mvs->holder_since_ms);
	return 0;
}

static uint64_t
sum_calls(const struct bg_stat *stat)
{
	uint64_t calls = 0;
	size_t i;

	for (i = 0; i < stat->route_count; i++)
		calls += stat->routes[i].tally.calls;
	return calls;
}

/* Slots in use on average since the last tick, by the calls' own times. */
static uint32_t
busy_millislots(const struct bg_stat *deltas, uint32_t before)
{
	uint64_t total_us = 0;
	uint64_t now;
	size_t i;
	size_t j;

	for (i = 0; i < 2; i++) {
		for (j = 0; j < deltas[i].route_count; j++)
			total_us +=
			    bg_tally_total_us(&deltas[i].routes[j].tally);
	}
	now = total_us / BG_MOVES_TICK_MS;
	return (uint32_t)((before * 3ULL + now) / 4);
}

static enum bg_verdict
judge_all(struct bg_watch *wch, const struct bg_service *svc)
{
	const struct bg_move *move = &svc->head.move;
	struct bg_stat *deltas = calloc(2, sizeof(*deltas));
	enum bg_verdict verdict;

	if (deltas == NULL)
		return BG_VERDICT_NONE;
	if (wch->all_judge.generation != move->generation)
		bg_judge_reset(&wch->all_judge, move->generation);
	bg_stat_sum_drain(&deltas[0], wch->all, move->from);
	bg_stat_sum_drain(&deltas[1], wch->all, move->to);
	wch->calls_per_s =
	    (uint32_t)((wch->calls_per_s * 3ULL +
			   (sum_calls(&deltas[0]) + sum_calls(&deltas[1])) *
			       1000 / BG_MOVES_TICK_MS) /
		4);
	wch->busy_millislots = busy_millislots(deltas, wch->busy_millislots);
	verdict = bg_judge_update(&wch->all_judge, &svc->contract, &deltas[0],
	    &deltas[1], BG_DATA_CENTRES_MAX, "all data centres");
	free(deltas);
	return verdict;
}

/* The value of a MARK item says why. */
static void
read_mark(char out[BG_REASON_BYTES], const struct bg_table *tbl,
    const struct bg_service *svc)
{
	char key[BG_KEY_BYTES];
	struct bg_item item;

	out[0] = '\0';
	snprintf(key, sizeof(key), "%s/%s", svc->head.name, svc->head.move.to);
	if (bg_table_get(&item, tbl, BG_ITEM_MARK, key) == 0)
		snprintf(out, BG_REASON_BYTES, "%.*s", (int)item.value_bytes,
		    item.value);
}

static void
advance_move(struct bg_moves *mvs, const struct bg_service *svc)
{
	const struct bg_table *tbl = bg_mesh_table(mvs->mesh);
	const struct bg_roster *ros = bg_mesh_roster(mvs->mesh);
	const struct bg_move *move = &svc->head.move;
	struct bg_watch *wch = bg_watch_find(mvs, svc->head.name);
	struct bg_plan_input in;
	struct version_count before;
	struct version_count after;
	struct bg_status_view view;
	struct bg_move next;
	char reason[BG_REASON_BYTES];

	if (wch == NULL)
		return;
	memset(&in, 0, sizeof(in));
	in.now_ms = bg_clock_wall_ms();
	in.verdict = judge_all(wch, svc);
	if (in.verdict == BG_VERDICT_BAD)
		bg_moves_mark(mvs, move, svc->head.name, wch->all_judge.reason);
	in.is_doubtful = bg_judge_is_doubtful(&wch->all_judge);
	in.calls_per_s = wch->calls_per_s;
	in.new_calls = wch->all_judge.service.new_calls;
	count_ready(&before, ros, svc->head.name, move->from);
	count_ready(&after, ros, svc->head.name, move->to);
	in.ready_old = before.ready;
	in.busy_millislots = wch->busy_millislots;
	in.ready_new = after.ready;
	in.slots_new = after.slots;
	in.is_marked = bg_mark_generation(tbl, svc->head.name, move->to) >=
	    move->generation;
	bg_status_view_init(&view, tbl, in.now_ms);
	in.is_confirmed = bg_status_is_confirmed(&view, svc->head.changed);
	read_mark(reason, tbl, svc);
	in.reason =
	    in.verdict == BG_VERDICT_BAD ? wch->all_judge.reason : reason;
	if (bg_plan_next(&next, move, &svc->contract, &in))
		start_change(mvs, svc, &next);
}

void
bg_moves_hold(struct bg_moves *mvs)
{
	struct bg_snapshot *snap = bg_mesh_snapshot(mvs->mesh);
	const struct bg_service *svc;
	size_t i;

	if (snap == NULL)
		return;
	bg_table_each(
	    bg_mesh_table(mvs->mesh), BG_ITEM_DCSTAT, take_dcstat, mvs);
	for (i = 0; i < snap->service_count; i++) {
		svc = &snap->services[i];
		if (bg_plan_is_watched(
			&svc->head.move, &svc->contract, bg_clock_wall_ms()))
			advance_move(mvs, svc);
		if (svc->head.move.state != BG_MOVE_IN_PROGRESS)
			begin_move(mvs, svc);
	}
}
