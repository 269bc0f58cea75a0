#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "task.h"

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
