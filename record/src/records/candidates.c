#include <stdlib.h>
#include <string.h>

#include "burdockgrade/error.h"

#include "records/internal.h"

/* A node that a holder could not reach is not chosen again for this long. */
#define SUSPECT_MS 60000
/* With this many of them in one data centre all of its nodes count as out of
 * reach; otherwise a partition would be probed node by node, with a new epoch
 * of every group each time. */
#define SUSPECT_NODES 3
/* A new relay may learn its roster a little later than the views. */
#define ABSENT_GRACE_MS 5000
/* Nodes of the views that the roster does not know. */
#define EXTRA_MAX (BG_RECORD_GROUPS * (BG_RECORD_MEMBERS + BG_RECORD_JOINING))

static struct sighting *
sight(struct sighting **list, const char *address, uint64_t now_ms)
{
	struct sighting *s;

	HASH_FIND_STR(*list, address, s);
	if (s != NULL)
		return s;
	if ((s = calloc(1, sizeof(*s))) == NULL)
		return NULL;
	snprintf(s->address, sizeof(s->address), "%s", address);
	s->at_ms = now_ms;
	HASH_ADD_STR(*list, address, s);
	return s;
}

void
bg_records_sightings_free(struct sighting **list)
{
	struct sighting *s;
	struct sighting *tmp;

	HASH_ITER(hh, *list, s, tmp)
	{
		HASH_DEL(*list, s);
		free(s);
	}
}

void
bg_records_suspect(struct bg_records *rcs, const char *address, uint64_t now_ms)
{
	struct sighting *s = sight(&rcs->relay.suspects, address, now_ms);

	if (s != NULL)
		s->at_ms = now_ms;
}

static int
is_suspect(const struct bg_records *rcs, const char *address, uint64_t now_ms)
{
	struct sighting *s;

	HASH_FIND_STR(rcs->relay.suspects, address, s);
	return s != NULL && now_ms - s->at_ms < SUSPECT_MS;
}

/* 1 if a remote data centre counts as out of reach. */
static int
is_cut_off(
    const struct bg_records *rcs, const char *data_centre, uint64_t now_ms)
{
	const struct bg_roster *ros = bg_mesh_roster(rcs->mesh);
	size_t suspects = 0;
	size_t i;

	if (rcs->relay.suspects == NULL ||
	    strcmp(data_centre, rcs->settings->node.data_centre) == 0)
		return 0;
	for (i = 0; i < ros->member_count; i++)
		suspects +=
		    strcmp(ros->members[i].data_centre, data_centre) == 0 &&
		    is_suspect(rcs, ros->members[i].address, now_ms);
	return suspects >= SUSPECT_NODES;
}

static void
from_member(struct bg_view_candidate *out, struct bg_records *rcs,
    const struct bg_member *mem, uint64_t now_ms)
{
	memset(out, 0, sizeof(*out));
	snprintf(
	    out->node.address, sizeof(out->node.address), "%s", mem->address);
	out->node.incarnation = mem->incarnation;
	out->is_home =
	    strcmp(mem->data_centre, rcs->settings->node.data_centre) == 0;
	out->is_alive = !mem->is_dead;
	out->is_draining = mem->state >= BG_MEMBER_DRAINING;
	out->is_gone =
	    mem->is_dead && now_ms - mem->dead_observed_ms >= BG_VIEW_LOST_MS;
	out->is_suspect = is_suspect(rcs, mem->address, now_ms);
}

/* A node of a view that is not in the roster with this incarnation. */
static void
from_view(struct bg_view_candidate *out, struct bg_records *rcs,
    const struct bg_record_node *node, uint64_t now_ms)
{
	const struct bg_member *mem =
	    bg_roster_find(bg_mesh_roster(rcs->mesh), node->address);
	struct sighting *absent;

	memset(out, 0, sizeof(*out));
	out->node = *node;
	out->is_home = 1;
	if (mem != NULL) {
		/* A later process at the address: the memory is lost. An
		 * earlier one: the roster is behind the view. */
		out->is_gone = mem->incarnation > node->incarnation;
		out->is_alive = !out->is_gone;
		return;
	}
	absent = sight(&rcs->relay.absent, node->address, now_ms);
	out->is_alive =
	    absent != NULL && now_ms - absent->at_ms < ABSENT_GRACE_MS;
	out->is_gone =
	    absent != NULL && now_ms - absent->at_ms >= BG_VIEW_LOST_MS;
}

struct list {
	struct bg_view_candidate *all;
	size_t count;
	size_t max;
};

static void
add_extra(struct list *list, struct bg_records *rcs,
    const struct bg_record_node *node, uint64_t now_ms)
{
	size_t i;

	for (i = 0; i < list->count; i++) {
		if (bg_record_node_equal(&list->all[i].node, node))
			return;
	}
	if (list->count < list->max)
		from_view(&list->all[list->count++], rcs, node, now_ms);
}

static void
forget_present(struct bg_records *rcs)
{
	struct sighting *s;
	struct sighting *tmp;

	HASH_ITER(hh, rcs->relay.absent, s, tmp)
	{
		if (bg_roster_find(bg_mesh_roster(rcs->mesh), s->address) ==
		    NULL)
			continue;
		HASH_DEL(rcs->relay.absent, s);
		free(s);
	}
}

int
bg_records_candidates(struct bg_view_candidate **out, size_t *out_count,
    struct bg_records *rcs, uint64_t now_ms)
{
	const struct bg_roster *ros = bg_mesh_roster(rcs->mesh);
	const struct bg_view *view;
	const char *data_centre = "";
	struct list list = {NULL, 0, ros->member_count + EXTRA_MAX};
	size_t g;
	size_t i;
	int cut_off = 0;

	if ((list.all = calloc(list.max, sizeof(*list.all))) == NULL)
		return BG_ENOMEM;
	forget_present(rcs);
	for (i = 0; i < ros->member_count; i++) {
		if (strcmp(ros->members[i].data_centre, data_centre) != 0) {
			data_centre = ros->members[i].data_centre;
			cut_off = is_cut_off(rcs, data_centre, now_ms);
		}
		from_member(
		    &list.all[list.count], rcs, &ros->members[i], now_ms);
		list.all[list.count++].is_suspect |= cut_off;
	}
	for (g = 0; g < BG_RECORD_GROUPS; g++) {
		view = &rcs->relay.views.groups[g];
		for (i = 0; i < view->member_count; i++)
			add_extra(&list, rcs, &view->members[i], now_ms);
		for (i = 0; i < view->joining_count; i++)
			add_extra(&list, rcs, &view->joining[i], now_ms);
	}
	*out = list.all;
	*out_count = list.count;
	return 0;
}
