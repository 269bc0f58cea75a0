#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"

#include "task.h"

/* Stats in one item: old, new and leftovers of earlier moves. */
#define STATS_MAX 4

struct bg_watch *
bg_watch_find(struct bg_moves *mvs, const char *service)
{
	struct bg_watch *wch;

	for (wch = mvs->watches; wch != NULL; wch = wch->next) {
		if (strcmp(wch->service, service) == 0)
			return wch;
	}
	if ((wch = calloc(1, sizeof(*wch))) == NULL)
		return NULL;
	snprintf(wch->service, sizeof(wch->service), "%s", service);
	if (bg_stat_sum_init(&wch->own, service) != 0 ||
	    bg_stat_sum_init(&wch->all, service) != 0) {
		bg_stat_sum_free(wch->own);
		free(wch);
		return NULL;
	}
	wch->next = mvs->watches;
	mvs->watches = wch;
	return wch;
}

void
bg_watch_free_all(struct bg_moves *mvs)
{
	struct bg_watch *wch;

	while ((wch = mvs->watches) != NULL) {
		mvs->watches = wch->next;
		bg_stat_sum_free(wch->own);
		bg_stat_sum_free(wch->all);
		free(wch);
	}
}

void
bg_watch_take(struct bg_moves *mvs, const struct bg_item *item,
    int is_data_centre, uint64_t role_since_ms)
{
	int is_settled =
	    bg_clock_now_ms() - role_since_ms > BG_MOVES_SETTLED_MS;
	struct bg_stat *stats = calloc(STATS_MAX, sizeof(*stats));
	struct bg_watch *wch;
	size_t count = 0;
	size_t i;

	if (stats == NULL)
		return;
	if (bg_stat_decode(
		stats, &count, STATS_MAX, item->value, item->value_bytes) != 0)
		count = 0;
	for (i = 0; i < count; i++) {
		if ((wch = bg_watch_find(mvs, stats[i].service)) != NULL)
			bg_stat_sum_take(is_data_centre ? wch->all : wch->own,
			    item->key, item->major, &stats[i], is_settled);
	}
	free(stats);
}
