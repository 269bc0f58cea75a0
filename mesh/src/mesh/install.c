#include <inttypes.h>
#include <stdio.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"

#include "mesh/internal.h"

/* A node asks its parent for the floor first. It reads the head itself after
 * a delay from this range, so that a mass restart does not read it at once. */
#define OWN_READ_MIN_MS 500
#define OWN_READ_SPREAD_MS 1000

static struct bg_counter refusals = BG_COUNTER(
    "burdock_mesh_refused_snapshots_total", "Versions that did not validate.");
static struct bg_counter held_version =
    BG_GAUGE("burdock_config_version", "Version of the snapshot in force.");
static struct bg_counter synced = BG_GAUGE(
    "burdock_mesh_synced", "1 if the floor is known and a snapshot in force.");

static void
tell_snapshot(struct bg_mesh *mesh)
{
	size_t i;

	for (i = 0; i < mesh->listener_count; i++) {
		if (mesh->listeners[i].snapshot != NULL)
			mesh->listeners[i].snapshot(
			    mesh->listeners[i].arg, mesh->snapshot);
	}
}

static void
refuse(struct bg_mesh *mesh, uint64_t version, const struct bg_error *err)
{
	if (mesh->ack.refused_version == version)
		return;
	bg_counter_add(&refusals, 1);
	bg_log_error("mesh", "refused version=%" PRIu64 " reason=%s", version,
	    err->message);
	mesh->ack.refused_version = version;
	snprintf(mesh->ack.refused_reason, sizeof(mesh->ack.refused_reason),
	    "%.*s", (int)sizeof(mesh->ack.refused_reason) - 1, err->message);
	bg_mesh_confirm(mesh);
}

void
bg_mesh_install(struct bg_mesh *mesh)
{
	struct bg_snapshot *snap;
	struct bg_error err = {0};
	struct bg_item head;
	uint64_t held = mesh->snapshot == NULL ? 0 : mesh->snapshot->version;
	uint64_t version;

	bg_counter_set(&synced, bg_mesh_is_synced(mesh));
	if (bg_table_get(&head, mesh->table, BG_ITEM_HEAD, BG_HEAD_KEY) != 0 ||
	    head.major == mesh->ack.refused_version)
		return;
	switch (bg_content_build(&snap, &version, mesh->table, held, &err)) {
	case BG_BUILD_REFUSED:
		refuse(mesh, version, &err);
		return;
	case BG_BUILD_DONE:
		break;
	default:
		return;
	}
	/* Below the floor, the process that ran here before may have held a
	 * newer one. */
	if (!bg_floor_allows(&mesh->floor, version)) {
		bg_snapshot_release(snap);
		return;
	}
	bg_snapshot_release(mesh->snapshot);
	mesh->snapshot = snap;
	mesh->ack.version = version;
	mesh->ack.refused_version = 0;
	mesh->ack.refused_reason[0] = '\0';
	bg_counter_set(&held_version, (int64_t)version);
	bg_counter_set(&synced, bg_mesh_is_synced(mesh));
	bg_log_info("mesh", "in force version=%" PRIu64, version);
	bg_mesh_confirm(mesh);
	tell_snapshot(mesh);
}

static void
on_item(void *arg, const struct bg_item *item)
{
	bg_mesh_merge(arg, item);
}

static void
on_head_read(void *arg, int code, uint64_t version)
{
	struct bg_mesh *mesh = arg;
	int is_new = !mesh->floor.is_known;

	mesh->is_platform_down = code != 0;
	if (code == 0) {
		mesh->platform_ok_ms = bg_clock_now_ms();
		bg_floor_own_read(&mesh->floor, version);
	}
	if (mesh->root == BG_ROOT_LEASED) {
		bg_floor_read_done(&mesh->floor_reads, code == 0, version);
		bg_children_flush(mesh->children);
	}
	if (is_new && mesh->floor.is_known) {
		bg_log_info(
		    "mesh", "floor version=%" PRIu64 " from=platform", version);
		bg_mesh_install(mesh);
	}
}

int
bg_mesh_reader_init(struct bg_mesh *mesh)
{
	static const struct bg_backoff backoff = BG_BACKOFF_INIT;
	struct bg_reader_options opts = {0};

	mesh->own_read_backoff = backoff;
	mesh->own_read_ms = bg_clock_now_ms() + OWN_READ_MIN_MS +
	    bg_rand_below(&mesh->rand, OWN_READ_SPREAD_MS);
	if (mesh->platform == NULL)
		return 0;
	opts.base = mesh->base;
	opts.platform = mesh->platform;
	opts.table = mesh->table;
	opts.is_whole = mesh->settings->mesh.direct_watch;
	opts.item = on_item;
	opts.head = on_head_read;
	opts.arg = mesh;
	return bg_reader_init(&mesh->reader, &opts);
}

/* Reads on behalf of children: the relay reads the head, an inner node asks
 * its own parent. */
static void
read_for_children(struct bg_mesh *mesh)
{
	if (!bg_floor_read_is_due(&mesh->floor_reads))
		return;
	if (bg_mesh_is_relay(mesh)) {
		if (bg_reader_is_reading(mesh->reader))
			return;
		bg_floor_read_started(&mesh->floor_reads);
		bg_reader_read_head(mesh->reader);
	} else if (mesh->parent != NULL &&
	    bg_uplink_is_attached(mesh->parent)) {
		bg_floor_read_started(&mesh->floor_reads);
		mesh->floor_call = 0;
		bg_uplink_send(mesh->parent);
		mesh->floor_call = bg_uplink_call_number(mesh->parent);
	}
}

void
bg_mesh_floor_tick(struct bg_mesh *mesh, uint64_t now_ms)
{
	read_for_children(mesh);
	if (mesh->floor.is_known || mesh->reader == NULL ||
	    now_ms < mesh->own_read_ms || bg_reader_is_reading(mesh->reader))
		return;
	mesh->own_read_ms =
	    now_ms + bg_backoff_next_ms(&mesh->own_read_backoff, &mesh->rand);
	bg_reader_read_head(mesh->reader);
}

void
bg_mesh_floor_reply(struct bg_mesh *mesh, const struct bg_xsync_res *res)
{
	struct bg_floor_answer ans = {0};

	ans.wire = res->floor_version;
	ans.was_asked = bg_uplink_asked_floor(mesh->parent);
	ans.is_leased = res->lease_object_version != 0;
	ans.remaining_ms = res->lease_remaining_ms;
	ans.term = res->lease_term;
	ans.highest_term = mesh->highest_term;
	if (!bg_floor_answered(&mesh->floor, &ans))
		return;
	bg_log_info("mesh", "floor version=%" PRIu64 " from=%s", ans.wire - 1,
	    res->address);
	if (mesh->floor_reads.is_reading &&
	    bg_uplink_reply_number(mesh->parent) >= mesh->floor_call) {
		bg_floor_read_done(&mesh->floor_reads, 1, ans.wire - 1);
		bg_children_flush(mesh->children);
	}
	bg_mesh_changed(mesh);
}
