#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/error.h"
#include "burdockgrade/log.h"

#include "records/internal.h"

struct home *
bg_records_home(struct bg_records *rcs, const char *name)
{
	struct home *home;

	HASH_FIND_STR(rcs->homes, name, home);
	return home;
}

static struct home *
get_home(struct bg_records *rcs, const char *name)
{
	struct home *home = bg_records_home(rcs, name);

	if (home != NULL)
		return home;
	if (strlen(name) >= sizeof(home->name) ||
	    (home = calloc(1, sizeof(*home))) == NULL)
		return NULL;
	snprintf(home->name, sizeof(home->name), "%s", name);
	HASH_ADD_STR(rcs->homes, name, home);
	return home;
}

struct bg_group *
bg_records_group(
    struct bg_records *rcs, const char *data_centre, uint32_t group)
{
	struct home *home = bg_records_home(rcs, data_centre);

	if (home == NULL || group >= BG_RECORD_GROUPS)
		return NULL;
	return home->groups[group];
}

static int
lists_self(const struct bg_records *rcs, const struct bg_view *view)
{
	return bg_view_has_member(view, &rcs->self) ||
	    bg_view_has_joining(view, &rcs->self);
}

/* Opens the group if its view lists this node; closes it if not any more. */
static void
follow_group(
    struct bg_records *rcs, struct home *home, uint32_t at, uint64_t now_ms)
{
	const struct bg_view *view = &home->views.groups[at];
	struct bg_group_options opts;

	if (home->groups[at] == NULL) {
		if (!lists_self(rcs, view))
			return;
		memset(&opts, 0, sizeof(opts));
		opts.data_centre = home->name;
		opts.group = at;
		opts.self = rcs->self;
		opts.store = rcs->store;
		opts.io = &rcs->io;
		if (bg_group_init(&home->groups[at], &opts) != 0) {
			bg_log_error("record",
			    "no memory for group data_centre=%s group=%u",
			    home->name, at);
			return;
		}
	}
	bg_group_adopt(home->groups[at], view, now_ms);
	if (lists_self(rcs, view))
		return;
	bg_group_close(home->groups[at], now_ms);
	home->groups[at] = NULL;
}

static void
follow_map(struct bg_records *rcs, const struct bg_item *item)
{
	struct bg_record_map map;
	struct bg_error err;

	if (item->major <= rcs->map_version)
		return;
	if (bg_record_map_decode(&map, item->value, item->value_bytes, &err) !=
	    0) {
		bg_log_error("record", "map ignored version=%llu reason=%s",
		    (unsigned long long)item->major, err.message);
		return;
	}
	rcs->map = map;
	rcs->map_version = item->major;
}

void
bg_records_follow(struct bg_records *rcs, const struct bg_item *item)
{
	struct bg_views *views;
	struct bg_error err;
	struct home *home;
	uint64_t now_ms = bg_clock_now_ms();
	uint32_t i;

	if (strcmp(item->key, BG_MAP_KEY) == 0) {
		follow_map(rcs, item);
		return;
	}
	if ((home = get_home(rcs, item->key)) == NULL ||
	    item->major <= home->version ||
	    (views = malloc(sizeof(*views))) == NULL)
		return;
	if (bg_views_decode(views, item->value, item->value_bytes, &err) != 0) {
		bg_log_error("record",
		    "views ignored data_centre=%s version=%llu reason=%s",
		    item->key, (unsigned long long)item->major, err.message);
		free(views);
		return;
	}
	home->version = item->major;
	for (i = 0; i < BG_RECORD_GROUPS; i++) {
		if (views->groups[i].epoch <= home->views.groups[i].epoch)
			continue;
		home->views.groups[i] = views->groups[i];
		home->changed_ms[i] = now_ms;
		follow_group(rcs, home, i, now_ms);
		bg_records_ask_hurry(rcs, home->name, i);
	}
	free(views);
}

void
bg_records_close_groups(struct bg_records *rcs)
{
	struct home *home;
	struct home *tmp;
	size_t i;

	HASH_ITER(hh, rcs->homes, home, tmp)
	{
		for (i = 0; i < BG_RECORD_GROUPS; i++) {
			bg_group_close(home->groups[i], bg_clock_now_ms());
			home->groups[i] = NULL;
		}
	}
}

int
bg_records_is_handed_over(const struct bg_records *rcs)
{
	const struct bg_view *view;
	struct home *home;
	struct home *tmp;
	size_t i;

	HASH_ITER(hh, rcs->homes, home, tmp)
	{
		for (i = 0; i < BG_RECORD_GROUPS; i++) {
			view = &home->views.groups[i];
			if (bg_view_has_member(view, &rcs->self) &&
			    (view->member_count < 2 ||
				bg_record_node_equal(
				    &view->holder, &rcs->self)))
				return 0;
		}
	}
	return 1;
}
