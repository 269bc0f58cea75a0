#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"

#include "mesh/internal.h"

/* Random delay before a node tries for the lease: a base and a part for each
 * member, so that few of many nodes read and write at once. A node that knows
 * nobody may be one of very many and asks its seeds first. */
#define LEASE_DELAY_BASE_MS 50
#define LEASE_DELAY_MEMBER_MS 2
#define LEASE_DELAY_ALONE_MS 1000
/* Time for which children rely on a root without lease. Equal to the lease, so
 * that cycles of parents without root break in the same time. */
#define UNLEASED_MS BG_LEASE_DURATION_MS

static struct bg_counter lease_changes = BG_COUNTER(
    "burdock_mesh_lease_changes_total", "Times the lease was taken or lost.");
static struct bg_counter relay_gauge =
    BG_GAUGE("burdock_mesh_relay", "1 while this node is the relay.");

static const char *const ROOT_NAMES[] = {"child", "relay", "unleased"};

static void
lease_key(char out[BG_NAME_BYTES + 16], const struct bg_mesh *mesh)
{
	snprintf(out, BG_NAME_BYTES + 16, "lease/relay/%s",
	    mesh->settings->node.data_centre);
}

static int
is_held(const struct bg_mesh *mesh)
{
	return bg_lease_is_held(&mesh->lease, bg_clock_now_ms());
}

void
bg_mesh_view(struct bg_mesh *mesh, struct bg_root_view *out)
{
	uint64_t now_ms = bg_clock_now_ms();

	memset(out, 0, sizeof(*out));
	if (mesh->root == BG_ROOT_NONE) {
		*out = mesh->view;
		return;
	}
	snprintf(out->address, sizeof(out->address), "%s", mesh->me.address);
	if (mesh->root == BG_ROOT_UNLEASED) {
		out->term = mesh->highest_term;
		out->expires_ms = now_ms + UNLEASED_MS;
		return;
	}
	out->term = mesh->lease.record.term;
	out->object_version = mesh->lease.object_version;
	out->expires_ms = now_ms + bg_lease_remaining_ms(&mesh->lease, now_ms);
}

int
bg_mesh_view_is_fresh(struct bg_mesh *mesh)
{
	struct bg_root_view view;

	bg_mesh_view(mesh, &view);
	return view.expires_ms > bg_clock_now_ms();
}

static void
tell_relay(struct bg_mesh *mesh)
{
	int is_relay = bg_mesh_is_relay(mesh);
	size_t i;

	if (is_relay == mesh->was_relay)
		return;
	mesh->was_relay = is_relay;
	bg_counter_add(&lease_changes, 1);
	bg_counter_set(&relay_gauge, is_relay);
	for (i = 0; i < mesh->listener_count; i++) {
		if (mesh->listeners[i].relay != NULL)
			mesh->listeners[i].relay(
			    mesh->listeners[i].arg, is_relay);
	}
}

void
bg_mesh_set_root(struct bg_mesh *mesh, enum bg_root_kind kind)
{
	if (mesh->root == kind)
		return;
	bg_log_info("mesh", "role from=%s to=%s term=%" PRIu64,
	    ROOT_NAMES[mesh->root], ROOT_NAMES[kind],
	    kind == BG_ROOT_LEASED ? mesh->lease.record.term
				   : mesh->highest_term);
	mesh->root = kind;
	mesh->root_since_ms = bg_clock_now_ms();
	mesh->is_summary_due = 1;
	bg_floor_read_done(&mesh->floor_reads, 0, 0);
	bg_liveness_reset(&mesh->liveness);
	memset(&mesh->view, 0, sizeof(mesh->view));
	if (kind == BG_ROOT_LEASED) {
		mesh->highest_term = mesh->lease.record.term;
		if (mesh->parent != NULL)
			bg_mesh_close_parent(mesh);
	}
	if (kind == BG_ROOT_NONE) {
		bg_mesh_peers_close(mesh);
		bg_attach_lost(&mesh->attach, mesh->root_since_ms);
	}
	if (mesh->reader != NULL && !mesh->settings->mesh.direct_watch)
		bg_reader_follow(mesh->reader, kind == BG_ROOT_LEASED);
	bg_mesh_confirm(mesh);
	tell_relay(mesh);
}

static void
note_platform(struct bg_mesh *mesh, int code)
{
	mesh->is_platform_down = code != 0 && code != BG_ENOTFOUND &&
	    code != BG_ECONFLICT && code != BG_ELIMIT;
	if (!mesh->is_platform_down)
		mesh->platform_ok_ms = bg_clock_now_ms();
}

static void
evaluate(struct bg_mesh *mesh)
{
	if (is_held(mesh))
		bg_mesh_set_root(mesh, BG_ROOT_LEASED);
	else if (mesh->root == BG_ROOT_LEASED)
		bg_mesh_set_root(mesh, BG_ROOT_UNLEASED);
	tell_relay(mesh);
}

/* Tries the holder that a read of the lease object showed. A root goes on as
 * such until the holder has accepted it as a child. */
static void
follow_holder(struct bg_mesh *mesh)
{
	const struct bg_lease *lse = &mesh->lease;
	uint64_t now_ms = bg_clock_now_ms();

	if (!lse->has_read || lse->object_version == 0 ||
	    now_ms >= lse->observed_ms + lse->record.duration_ms ||
	    strcmp(lse->record.holder, mesh->me.address) == 0)
		return;
	if (lse->record.term > mesh->highest_term)
		mesh->highest_term = lse->record.term;
	if (mesh->parent == NULL)
		bg_attach_redirected(&mesh->attach, lse->record.holder, now_ms);
}

static void
on_lease_read(void *arg, const struct bg_platform_answer *ans)
{
	struct bg_mesh *mesh = arg;
	struct bg_lease_record rec;
	int is_record = ans->code == 0 &&
	    bg_lease_record_decode(&rec, ans->body, ans->body_bytes) == 0;

	mesh->is_lease_pending = 0;
	note_platform(mesh, ans->code);
	bg_lease_read_done(&mesh->lease, ans->code, ans->object_version,
	    is_record ? &rec : NULL, bg_clock_now_ms());
	evaluate(mesh);
	follow_holder(mesh);
}

static void
on_lease_written(void *arg, const struct bg_platform_answer *ans)
{
	struct bg_mesh *mesh = arg;

	mesh->is_lease_pending = 0;
	note_platform(mesh, ans->code);
	bg_lease_write_done(&mesh->lease, ans->code, ans->is_outcome_unknown,
	    ans->object_version, bg_clock_now_ms());
	evaluate(mesh);
}

static void
write_lease(struct bg_mesh *mesh, const struct bg_lease_record *rec)
{
	char key[BG_NAME_BYTES + 16];
	char *body;

	if (bg_lease_record_encode(&body, rec) != 0)
		return;
	lease_key(key, mesh);
	if (bg_platform_put(mesh->platform, key, mesh->lease.object_version,
		body, strlen(body), on_lease_written, mesh) == 0)
		mesh->is_lease_pending = 1;
	else
		bg_lease_write_done(
		    &mesh->lease, BG_EUNAVAILABLE, 0, 0, bg_clock_now_ms());
	free(body);
}

static void
step_lease(struct bg_mesh *mesh, uint64_t now_ms)
{
	struct bg_lease_record rec;
	char key[BG_NAME_BYTES + 16];

	if (mesh->platform == NULL || mesh->is_lease_pending)
		return;
	switch (bg_lease_next(&rec, &mesh->lease, now_ms)) {
	case BG_LEASE_READ:
		lease_key(key, mesh);
		if (bg_platform_get(mesh->platform, key, on_lease_read, mesh) ==
		    0)
			mesh->is_lease_pending = 1;
		else
			bg_lease_read_done(
			    &mesh->lease, BG_EUNAVAILABLE, 0, NULL, now_ms);
		break;
	case BG_LEASE_WRITE:
		write_lease(mesh, &rec);
		break;
	case BG_LEASE_WAIT:
		break;
	}
}

static uint64_t
lease_delay_ms(struct bg_mesh *mesh)
{
	uint32_t spread_ms = LEASE_DELAY_BASE_MS +
	    LEASE_DELAY_MEMBER_MS * (uint32_t)mesh->roster.member_count;

	if (mesh->root != BG_ROOT_NONE)
		return 0;
	if (mesh->roster.member_count <= 1 &&
	    mesh->settings->mesh.seed_count > 1)
		spread_ms = LEASE_DELAY_ALONE_MS;
	return LEASE_DELAY_BASE_MS + bg_rand_below(&mesh->rand, spread_ms);
}

/* A node wants the lease while it has no root, or is one itself. */
static void
want_lease(struct bg_mesh *mesh, uint64_t now_ms)
{
	int is_wanted = mesh->me.state != BG_MEMBER_LEAVING &&
	    (mesh->root != BG_ROOT_NONE || !bg_mesh_view_is_fresh(mesh));

	if (is_wanted != mesh->lease.is_wanted)
		bg_lease_want(
		    &mesh->lease, is_wanted, now_ms, lease_delay_ms(mesh));
}

void
bg_mesh_role_init(struct bg_mesh *mesh)
{
	uint64_t now_ms = bg_clock_now_ms();

	bg_lease_init(&mesh->lease, mesh->me.address, mesh->me.incarnation);
	bg_attach_init(&mesh->attach, 0, now_ms);
	bg_liveness_init(&mesh->liveness);
	mesh->is_platform_down = mesh->platform == NULL;
}

void
bg_mesh_role_tick(struct bg_mesh *mesh, uint64_t now_ms)
{
	evaluate(mesh);
	want_lease(mesh, now_ms);
	step_lease(mesh, now_ms);
	bg_mesh_parent_tick(mesh, now_ms);
}

void
bg_mesh_role_resumed(struct bg_mesh *mesh, uint64_t now_ms)
{
	mesh->lost_parent.heard_ms = now_ms;
	mesh->parent_heard_ms = now_ms;
	bg_liveness_reset(&mesh->liveness);
}

void
bg_mesh_role_free(struct bg_mesh *mesh)
{
	bg_uplink_free(mesh->parent);
	bg_liveness_free(&mesh->liveness);
}

int
bg_mesh_is_relay(const struct bg_mesh *mesh)
{
	return mesh->root == BG_ROOT_LEASED &&
	    bg_lease_is_held(&mesh->lease, bg_clock_now_ms());
}

int
bg_mesh_is_root(const struct bg_mesh *mesh)
{
	return mesh->root != BG_ROOT_NONE;
}

uint64_t
bg_mesh_term(const struct bg_mesh *mesh)
{
	return mesh->root == BG_ROOT_LEASED ? mesh->lease.record.term
					    : mesh->highest_term;
}
