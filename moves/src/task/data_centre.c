#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/counter.h"
#include "burdockgrade/log.h"

#include "task.h"

static struct bg_counter marks = BG_COUNTER("burdock_moves_marks_total",
    "Server versions that this node marked as bad.");

static int
is_service_watched(const struct bg_moves *mvs, const char *service)
{
	struct bg_snapshot *snap = bg_mesh_snapshot(mvs->mesh);
	const struct bg_service *svc;

	if (snap == NULL || (svc = bg_snapshot_service(snap, service)) == NULL)
		return 0;
	return bg_plan_is_watched(
	    &svc->head.move, &svc->contract, bg_clock_wall_ms());
}

static void
publish(struct bg_moves *mvs, uint32_t kind, const char *owner,
    const char *service, uint64_t major, uint64_t minor, const char *value)
{
	char key[BG_KEY_BYTES];
	struct bg_item item;

	snprintf(key, sizeof(key), "%s/%s", owner, service);
	memset(&item, 0, sizeof(item));
	item.kind = kind;
	item.key = key;
	item.major = major;
	item.minor = minor;
	item.value = value;
	item.value_bytes = (uint32_t)strlen(value);
	if (bg_mesh_publish(mvs->mesh, &item) != 0)
		bg_log_error(
		    "moves", "item not published kind=%u key=%s", kind, key);
}

void
bg_moves_publish_stat(struct bg_moves *mvs)
{
	char *json;

	if (!mvs->is_stat_changed ||
	    !is_service_watched(mvs, mvs->stat.service) ||
	    bg_stat_encode(&json, &mvs->stat, 1) != 0)
		return;
	mvs->is_stat_changed = 0;
	publish(mvs, BG_ITEM_STAT, bg_mesh_address(mvs->mesh),
	    mvs->stat.service, bg_mesh_incarnation(mvs->mesh), ++mvs->stat_seq,
	    json);
	free(json);
}

static int
take_stat(void *arg, const struct bg_item *item)
{
	struct bg_moves *mvs = arg;

	bg_watch_take(mvs, item, 0, mvs->root_since_ms);
	return 0;
}

void
bg_moves_mark(struct bg_moves *mvs, const struct bg_move *move,
    const char *service, const char *reason)
{
	if (bg_mark_generation(bg_mesh_table(mvs->mesh), service, move->to) >=
	    move->generation)
		return;
	bg_counter_add(&marks, 1);
	bg_log_warn("moves",
	    "version marked bad service=%s version=%s generation=%llu "
	    "reason=\"%s\"",
	    service, move->to, (unsigned long long)move->generation, reason);
	publish(
	    mvs, BG_ITEM_MARK, service, move->to, move->generation, 1, reason);
}

static void
publish_totals(struct bg_moves *mvs, const struct bg_watch *wch)
{
	const struct bg_stat *totals;
	size_t count = bg_stat_sum_totals(&totals, wch->own);
	char *json;

	if (count == 0 || bg_stat_encode(&json, totals, count) != 0)
		return;
	publish(mvs, BG_ITEM_DCSTAT, mvs->settings->node.data_centre,
	    wch->service, bg_mesh_term(mvs->mesh), ++mvs->dcstat_seq, json);
	free(json);
}

static void
judge_service(struct bg_moves *mvs, const struct bg_service *svc,
    struct bg_stat *old_delta, struct bg_stat *new_delta)
{
	const struct bg_move *move = &svc->head.move;
	struct bg_watch *wch = bg_watch_find(mvs, svc->head.name);
	enum bg_verdict verdict;

	if (wch == NULL)
		return;
	if (wch->own_judge.generation != move->generation)
		bg_judge_reset(&wch->own_judge, move->generation);
	memset(old_delta, 0, sizeof(*old_delta));
	memset(new_delta, 0, sizeof(*new_delta));
	bg_stat_sum_drain(old_delta, wch->own, move->from);
	bg_stat_sum_drain(new_delta, wch->own, move->to);
	if (old_delta->route_count + new_delta->route_count == 0)
		return;
	publish_totals(mvs, wch);
	verdict = bg_judge_update(&wch->own_judge, &svc->contract, old_delta,
	    new_delta, BG_DATA_CENTRES_MAX, mvs->settings->node.data_centre);
	if (verdict == BG_VERDICT_BAD)
		bg_moves_mark(mvs, move, svc->head.name, wch->own_judge.reason);
}

void
bg_moves_judge_data_centre(struct bg_moves *mvs)
{
	struct bg_snapshot *snap = bg_mesh_snapshot(mvs->mesh);
	struct bg_stat *deltas;
	size_t i;

	if (snap == NULL || (deltas = calloc(2, sizeof(*deltas))) == NULL)
		return;
	bg_table_each(bg_mesh_table(mvs->mesh), BG_ITEM_STAT, take_stat, mvs);
	for (i = 0; i < snap->service_count; i++) {
		if (bg_plan_is_watched(&snap->services[i].head.move,
			&snap->services[i].contract, bg_clock_wall_ms()))
			judge_service(
			    mvs, &snap->services[i], &deltas[0], &deltas[1]);
	}
	free(deltas);
}
