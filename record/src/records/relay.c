#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/error.h"
#include "burdockgrade/log.h"

#include "records/internal.h"

/* Least time between two decisions: a decision over 970 nodes takes some
 * milliseconds, and one update covers all changes within this time. */
#define DECIDE_MS 250
/* Without news a decision is made this often, for waits that have passed. */
#define IDLE_MS 2000
/* The object is read again this often, in case another relay wrote it. */
#define REREAD_MS 30000
/* The first map and the first views are made once the roster has not changed
 * for this long: data centres that start together find each other within about
 * a second, and the first generation of the map is for ever. */
#define SETTLE_MS 2000

static struct bg_counter writes = BG_COUNTER(
    "burdock_record_view_writes_total", "Updates of records/DC attempted.");

static void
relay_reset(struct relay *rly)
{
	rly->has_views = 0;
	rly->has_map = 0;
	rly->is_dirty = 1;
	free(rly->body);
	rly->body = NULL;
	bg_records_sightings_free(&rly->absent);
}

void
bg_records_relay_free(struct bg_records *rcs)
{
	relay_reset(&rcs->relay);
	bg_records_sightings_free(&rcs->relay.suspects);
}

static void
object_key(char out[BG_KEY_BYTES], const char *name)
{
	snprintf(out, BG_KEY_BYTES, "records/%s", name);
}

/* Later with each failure, so that an outage ends without a rush. */
static void
back_off(struct bg_records *rcs)
{
	rcs->relay.next_ms = bg_clock_now_ms() +
	    bg_backoff_next_ms(&rcs->relay.backoff, &rcs->rand);
}

static void
publish(struct bg_records *rcs, const char *name, uint64_t version,
    const char *body, size_t body_bytes)
{
	struct bg_item item;

	memset(&item, 0, sizeof(item));
	item.kind = BG_ITEM_VIEW;
	item.key = name;
	item.major = version;
	item.value = body;
	item.value_bytes = (uint32_t)body_bytes;
	if (bg_mesh_publish(rcs->mesh, &item) != 0)
		bg_log_warn("record", "views not published version=%llu",
		    (unsigned long long)version);
	/* The mesh calls back only for changes that it sees itself. */
	bg_records_follow(rcs, &item);
}

static void
on_views_read(void *arg, const struct bg_platform_answer *ans)
{
	struct bg_records *rcs = arg;
	struct relay *rly = &rcs->relay;
	struct bg_error err;

	rly->is_busy = 0;
	if (ans->code == BG_ENOTFOUND) {
		memset(&rly->views, 0, sizeof(rly->views));
		rly->version = 0;
	} else if (ans->code != 0) {
		back_off(rcs);
		return;
	} else if (bg_views_decode(
		       &rly->views, ans->body, ans->body_bytes, &err) != 0) {
		/* Never overwritten: it may say which members hold records. */
		bg_log_error(
		    "record", "views not valid reason=%s", err.message);
		back_off(rcs);
		return;
	} else {
		rly->version = ans->object_version;
		publish(rcs, rcs->settings->node.data_centre, rly->version,
		    ans->body, ans->body_bytes);
	}
	rly->has_views = 1;
	rly->is_dirty = 1;
	rly->reread_ms = bg_clock_now_ms() + REREAD_MS;
	bg_backoff_reset(&rly->backoff);
}

static void
on_views_written(void *arg, const struct bg_platform_answer *ans)
{
	struct bg_records *rcs = arg;
	struct relay *rly = &rcs->relay;

	rly->is_busy = 0;
	if (ans->code == 0) {
		rly->version = ans->object_version;
		rly->views = rly->next;
		rly->is_dirty = 1;
		publish(rcs, rcs->settings->node.data_centre, rly->version,
		    rly->body, strlen(rly->body));
		bg_backoff_reset(&rly->backoff);
	} else {
		/* Lost, in conflict or refused: what is in force is read. */
		bg_log_info("record", "views not written code=%s unknown=%d",
		    bg_error_name(ans->code), ans->is_outcome_unknown);
		rly->has_views = 0;
		if (ans->code != BG_ECONFLICT)
			back_off(rcs);
	}
	free(rly->body);
	rly->body = NULL;
}

static void
on_map_written(void *arg, const struct bg_platform_answer *ans)
{
	struct bg_records *rcs = arg;

	rcs->relay.is_busy = 0;
	/* The map is read back in any case, which also publishes it. */
	if (ans->code != 0 && ans->code != BG_ECONFLICT)
		back_off(rcs);
}

static void
put(struct bg_records *rcs, const char *name, uint64_t version,
    const char *body, bg_platform_fn fn)
{
	char key[BG_KEY_BYTES];

	object_key(key, name);
	rcs->relay.is_busy = 1;
	if (bg_platform_put(rcs->platform, key, version, body, strlen(body), fn,
		rcs) != 0) {
		bg_log_error("record", "write refused key=%s", key);
		rcs->relay.is_busy = 0;
		rcs->relay.has_views = 0;
		back_off(rcs);
	}
}

static void
get(struct bg_records *rcs, const char *name, bg_platform_fn fn)
{
	char key[BG_KEY_BYTES];

	object_key(key, name);
	rcs->relay.is_busy = 1;
	if (bg_platform_get(rcs->platform, key, fn, rcs) != 0) {
		bg_log_error("record", "read refused key=%s", key);
		rcs->relay.is_busy = 0;
		back_off(rcs);
	}
}

/* 1 once the set of live nodes has not changed for SETTLE_MS. */
static int
is_settled(struct bg_records *rcs, uint64_t now_ms)
{
	const struct bg_roster *ros = bg_mesh_roster(rcs->mesh);
	uint64_t hash = 1;
	size_t i;

	for (i = 0; i < ros->member_count; i++) {
		if (!ros->members[i].is_dead)
			hash = hash * 31 + ros->members[i].incarnation;
	}
	if (hash != rcs->relay.roster_hash) {
		rcs->relay.roster_hash = hash;
		rcs->relay.settled_since_ms = now_ms;
	}
	return now_ms - rcs->relay.settled_since_ms >= SETTLE_MS;
}

static int
compare_names(const void *a, const void *b)
{
	return strcmp(a, b);
}

/* The first generation names the data centres of the roster. */
static int
make_map(struct bg_record_map *out, struct bg_records *rcs)
{
	const struct bg_roster *ros = bg_mesh_roster(rcs->mesh);
	char names[BG_MAP_DATA_CENTRES][BG_NAME_BYTES];
	size_t count = 1;
	size_t i;
	size_t j;

	memset(names, 0, sizeof(names));
	snprintf(
	    names[0], BG_NAME_BYTES, "%s", rcs->settings->node.data_centre);
	for (i = 0; i < ros->member_count; i++) {
		if (ros->members[i].is_dead)
			continue;
		for (j = 0; j < count; j++) {
			if (strcmp(names[j], ros->members[i].data_centre) == 0)
				break;
		}
		if (j == count && count < BG_MAP_DATA_CENTRES)
			snprintf(names[count++], BG_NAME_BYTES, "%s",
			    ros->members[i].data_centre);
	}
	qsort(names, count, BG_NAME_BYTES, compare_names);
	return bg_record_map_init(
	    out, (const char(*)[BG_NAME_BYTES])names, count);
}

static void
write_map(
    struct bg_records *rcs, const struct bg_record_map *map, uint64_t version)
{
	char *body;

	if (bg_record_map_encode(&body, map) != 0)
		return;
	bg_log_info("record", "record map written generations=%zu",
	    map->generation_count);
	put(rcs, BG_MAP_KEY, version, body, on_map_written);
	free(body);
}

/* Adds the own data centre to the map that was read, if it is missing. */
static void
use_map(struct bg_records *rcs, uint64_t version)
{
	const char *own = rcs->settings->node.data_centre;
	struct bg_record_map map = rcs->map;

	if (rcs->map_version == version && bg_record_map_has(&map, own)) {
		rcs->relay.has_map = 1;
		bg_backoff_reset(&rcs->relay.backoff);
	} else if (rcs->map_version == version && bg_mesh_is_relay(rcs->mesh) &&
	    bg_record_map_add(&map, own, bg_clock_wall_ms()) == 0)
		write_map(rcs, &map, version);
	else
		back_off(rcs);
}

static void
on_map_read(void *arg, const struct bg_platform_answer *ans)
{
	struct bg_records *rcs = arg;
	struct bg_record_map map;

	rcs->relay.is_busy = 0;
	if (ans->code == 0) {
		publish(rcs, BG_MAP_KEY, ans->object_version, ans->body,
		    ans->body_bytes);
		use_map(rcs, ans->object_version);
	} else if (ans->code != BG_ENOTFOUND)
		back_off(rcs);
	else if (bg_mesh_is_relay(rcs->mesh) &&
	    is_settled(rcs, bg_clock_now_ms()) && make_map(&map, rcs) == 0)
		write_map(rcs, &map, 0);
	else
		rcs->relay.next_ms = bg_clock_now_ms() + DECIDE_MS;
}

static void
decide(struct bg_records *rcs, uint64_t now_ms)
{
	struct relay *rly = &rcs->relay;
	struct bg_view_candidate *candidates;
	struct bg_view_input in;
	size_t changed = 0;

	rly->is_dirty = 0;
	rly->next_ms = now_ms + DECIDE_MS;
	rly->idle_ms = now_ms + IDLE_MS;
	memset(&in, 0, sizeof(in));
	if (bg_records_candidates(
		&candidates, &in.candidate_count, rcs, now_ms) != 0)
		return;
	in.candidates = candidates;
	in.reports = rly->reports;
	in.now_wall_ms = bg_clock_wall_ms();
	if (bg_view_decide(&rly->next, &changed, &rly->views, &in) == 0 &&
	    changed > 0 && bg_views_encode(&rly->body, &rly->next) == 0) {
		bg_counter_add(&writes, 1);
		bg_log_info("record", "views change groups=%zu version=%llu",
		    changed, (unsigned long long)rly->version);
		put(rcs, rcs->settings->node.data_centre, rly->version,
		    rly->body, on_views_written);
	}
	free(candidates);
}

void
bg_records_relay_tick(struct bg_records *rcs, uint64_t now_ms)
{
	struct relay *rly = &rcs->relay;
	int settled;

	if (!bg_mesh_is_relay(rcs->mesh)) {
		if (rly->is_active && !rly->is_busy) {
			rly->is_active = 0;
			relay_reset(rly);
		}
		return;
	}
	settled = is_settled(rcs, now_ms);
	if (rly->is_busy || now_ms < rly->next_ms)
		return;
	rly->is_active = 1;
	if (!rly->has_map)
		get(rcs, BG_MAP_KEY, on_map_read);
	else if (!rly->has_views)
		get(rcs, rcs->settings->node.data_centre, on_views_read);
	else if (now_ms >= rly->reread_ms)
		rly->has_views = 0;
	else if ((rly->version > 0 || settled) &&
	    (rly->is_dirty || now_ms >= rly->idle_ms))
		decide(rcs, now_ms);
}

void
bg_records_relay_report(struct bg_records *rcs, const struct bg_item *item)
{
	const char *own = rcs->settings->node.data_centre;
	size_t own_bytes = strlen(own);
	struct bg_view_report rep;
	unsigned long group;
	uint64_t now_ms = bg_clock_now_ms();
	size_t i;

	if (strncmp(item->key, own, own_bytes) != 0 ||
	    item->key[own_bytes] != '/')
		return;
	group = strtoul(item->key + own_bytes + 1, NULL, 10);
	if (group >= BG_RECORD_GROUPS ||
	    bg_view_report_decode(&rep, item->value, item->value_bytes) != 0 ||
	    rep.epoch < rcs->relay.reports[group].epoch)
		return;
	rcs->relay.reports[group] = rep;
	rcs->relay.is_dirty = 1;
	for (i = 0; i < rep.silent_count; i++)
		bg_records_suspect(rcs, rep.silent[i].address, now_ms);
}
