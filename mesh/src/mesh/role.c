#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"

#include "mesh/internal.h"

/* An attached node whose parent has no root for this long looks for another
 * one: above the time in which a new relay takes the lease. */
#define ROOTLESS_MS 3000
/* Random delay before a node tries for the lease: a base and a part for each
 * member, so that few of many nodes read and write at once. A node that knows
 * nobody may be one of very many and asks its seeds first. */
#define LEASE_DELAY_BASE_MS 50
#define LEASE_DELAY_MEMBER_MS 2
#define LEASE_DELAY_ALONE_MS 1000
/* Time for which children rely on a root without lease. Equal to the lease, so
 * that cycles of parents without root break in the same time. */
#define UNLEASED_MS BG_LEASE_DURATION_MS
/* A node that left a parent without root may ask it again after this time. */
#define ROOTLESS_RETRY_MS 200

static struct bg_counter lease_changes = BG_COUNTER(
    "burdock_mesh_lease_changes_total", "Times the lease was taken or lost.");
static struct bg_counter parent_changes =
    BG_COUNTER("burdock_mesh_parent_changes_total", "Parents lost.");
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

static void
close_parent(struct bg_mesh *mesh)
{
	struct bg_uplink *upl = mesh->parent;

	mesh->parent = NULL;
	bg_uplink_free(upl);
	bg_floor_read_done(&mesh->floor_reads, 0, 0);
}

static void
set_root(struct bg_mesh *mesh, enum bg_root_kind kind)
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
			close_parent(mesh);
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
		set_root(mesh, BG_ROOT_LEASED);
	else if (mesh->root == BG_ROOT_LEASED)
		set_root(mesh, BG_ROOT_UNLEASED);
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

/* Takes the relay's lease from a reply. Once the time it stated has passed and
 * a read shows the same object version, the lease can be taken without waiting
 * for its whole duration again. */
static void
learn_lease(struct bg_mesh *mesh, const struct bg_xsync_res *res)
{
	struct bg_lease *lse = &mesh->lease;
	uint64_t expires_ms = mesh->view.expires_ms;

	if (lse->is_wanted || lse->is_reading || lse->write_started_ms != 0 ||
	    res->lease_object_version < lse->object_version ||
	    expires_ms < BG_LEASE_DURATION_MS)
		return;
	memset(&lse->record, 0, sizeof(lse->record));
	snprintf(lse->record.holder, sizeof(lse->record.holder), "%s",
	    res->lease_holder);
	lse->record.term = res->lease_term;
	lse->record.duration_ms = BG_LEASE_DURATION_MS;
	lse->object_version = res->lease_object_version;
	lse->observed_ms = expires_ms - BG_LEASE_DURATION_MS;
	lse->has_read = 1;
}

/* Handles a good reply of the parent. */
static int
on_replied(void *arg, const struct bg_xsync_res *res)
{
	struct bg_mesh *mesh = arg;
	uint64_t now_ms = bg_clock_now_ms();
	int is_leased = res->lease_object_version != 0;
	int is_first = !bg_uplink_is_attached(mesh->parent);

	if (strcmp(res->lease_holder, mesh->me.address) == 0)
		return BG_ECONFLICT;
	if (is_leased && res->lease_term < mesh->highest_term)
		return BG_ESTALE;
	if (mesh->root != BG_ROOT_NONE) {
		set_root(mesh, BG_ROOT_NONE);
		bg_children_redirect(mesh->children, res->lease_holder);
	}
	if (is_leased)
		mesh->highest_term = res->lease_term;
	if (res->lease_remaining_ms > 0) {
		snprintf(mesh->view.address, sizeof(mesh->view.address), "%s",
		    res->lease_holder);
		mesh->view.term = res->lease_term;
		mesh->view.object_version = res->lease_object_version;
		mesh->view.expires_ms = now_ms + res->lease_remaining_ms;
		mesh->parent_fresh_ms = now_ms;
		mesh->lease.hint_expires_ms =
		    is_leased ? mesh->view.expires_ms : 0;
		if (is_leased)
			learn_lease(mesh, res);
	}
	mesh->parent_heard_ms = now_ms;
	mesh->parent_incarnation = res->incarnation;
	bg_mesh_floor_reply(mesh, res);
	if (is_first) {
		mesh->parent_fresh_ms = now_ms;
		if (strcmp(mesh->lost_parent.address,
			bg_uplink_address(mesh->parent)) == 0)
			mesh->lost_parent.address[0] = '\0';
		bg_attach_succeeded(&mesh->attach);
		bg_log_info("mesh", "attached parent=%s root=%s term=%" PRIu64,
		    res->address, res->lease_holder, res->lease_term);
		mesh->is_confirm_due = 1;
		bg_mesh_changed(mesh);
	}
	return 0;
}

static void
on_merged(void *arg)
{
	bg_mesh_changed(arg);
}

/* A parent whose link broke may be dead; nobody else may be in a position to
 * see it, since it was the root or its own parent died as well. */
static void
suspect_parent(struct bg_mesh *mesh, const char *address)
{
	snprintf(mesh->lost_parent.address, sizeof(mesh->lost_parent.address),
	    "%s", address);
	mesh->lost_parent.incarnation = mesh->parent_incarnation;
	mesh->lost_parent.heard_ms = mesh->parent_heard_ms;
}

static void
check_lost_parent(struct bg_mesh *mesh, uint64_t now_ms)
{
	if (mesh->lost_parent.address[0] == '\0' ||
	    now_ms - mesh->lost_parent.heard_ms < BG_DEAD_AFTER_MS)
		return;
	if (!bg_children_has(mesh->children, mesh->lost_parent.address))
		bg_mesh_mark_dead(mesh, mesh->lost_parent.address,
		    mesh->lost_parent.incarnation);
	mesh->lost_parent.address[0] = '\0';
}

static void
on_lost(void *arg, const char *reason, const char *redirect, uint32_t retry_ms,
    int is_link_fault)
{
	struct bg_mesh *mesh = arg;
	char address[BG_ADDRESS_BYTES];
	uint64_t now_ms = bg_clock_now_ms();
	int was_attached = bg_uplink_is_attached(mesh->parent);

	snprintf(
	    address, sizeof(address), "%s", bg_uplink_address(mesh->parent));
	if (was_attached) {
		bg_counter_add(&parent_changes, 1);
		bg_log_info(
		    "mesh", "lost parent=%s reason=%s", address, reason);
		bg_attach_lost(&mesh->attach, now_ms);
		if (is_link_fault)
			suspect_parent(mesh, address);
	} else
		bg_log_debug("mesh", "no parent=%s reason=%s", address, reason);
	if (redirect[0] != '\0')
		bg_attach_redirected(&mesh->attach, redirect, now_ms);
	else
		bg_attach_failed(&mesh->attach, address, retry_ms, now_ms);
	close_parent(mesh);
	if (was_attached)
		bg_mesh_confirm(mesh);
}

static void
on_stale(void *arg, uint64_t known_incarnation)
{
	bg_mesh_raise_incarnation(arg, known_incarnation);
}

static enum bg_floor_want
wants_floor(void *arg)
{
	const struct bg_mesh *mesh = arg;

	if (mesh->floor_reads.is_reading)
		return mesh->floor_call == 0 ? BG_FLOOR_ANEW : BG_FLOOR_YES;
	return mesh->floor.is_known ? BG_FLOOR_NO : BG_FLOOR_YES;
}

static void
open_parent(struct bg_mesh *mesh, const char *address, uint64_t now_ms)
{
	struct bg_uplink_options opts = {0};

	opts.base = mesh->base;
	opts.address = address;
	opts.local_ip = mesh->settings->node.address;
	opts.self = mesh->me.address;
	opts.data_centre = mesh->settings->node.data_centre;
	opts.role = BG_SYNC_CHILD;
	opts.incarnation = mesh->me.incarnation;
	opts.table = mesh->table;
	opts.handler.replied = on_replied;
	opts.handler.merged = on_merged;
	opts.handler.lost = on_lost;
	opts.handler.stale = on_stale;
	opts.handler.wants_floor = wants_floor;
	opts.handler.arg = mesh;
	if (bg_uplink_init(&mesh->parent, &opts) != 0)
		bg_attach_failed(&mesh->attach, address, 0, now_ms);
}

static int
is_child(void *arg, const char *address)
{
	const struct bg_mesh *mesh = arg;

	return bg_children_has(mesh->children, address);
}

/* Roots without lease converge to the lowest live address that is not below
 * them already. */
static const char *
lower_root(struct bg_mesh *mesh, uint64_t now_ms)
{
	size_t i;

	for (i = 0; i < mesh->roster.member_count; i++) {
		const struct bg_member *m =
		    &mesh->roster.members[mesh->roster.by_address[i]];

		if (strcmp(m->address, mesh->me.address) >= 0)
			return NULL;
		if (!m->is_dead && m->state != BG_MEMBER_LEAVING &&
		    strcmp(m->data_centre, mesh->me.data_centre) == 0 &&
		    !bg_attach_is_avoided(&mesh->attach, m->address, now_ms) &&
		    !bg_liveness_is_attached(mesh->table, &mesh->roster,
			mesh->me.address, m, is_child, mesh))
			return m->address;
	}
	return NULL;
}

static void
find_parent(struct bg_mesh *mesh, uint64_t now_ms)
{
	struct bg_attach_input in = {mesh->settings, &mesh->roster,
	    mesh->me.address, mesh->is_platform_down, now_ms};
	char address[BG_ADDRESS_BYTES];
	const char *lower;

	if (mesh->parent != NULL || mesh->root == BG_ROOT_LEASED)
		return;
	if (mesh->root == BG_ROOT_UNLEASED) {
		if (bg_attach_hint(address, &mesh->attach, &in))
			open_parent(mesh, address, now_ms);
		else if ((lower = lower_root(mesh, now_ms)) != NULL) {
			snprintf(address, sizeof(address), "%s", lower);
			open_parent(mesh, address, now_ms);
		}
		return;
	}
	switch (bg_attach_next(address, &mesh->attach, &in)) {
	case BG_ATTACH_TRY:
		open_parent(mesh, address, now_ms);
		break;
	case BG_ATTACH_LEAD:
		set_root(mesh, BG_ROOT_UNLEASED);
		break;
	case BG_ATTACH_WAIT:
		break;
	}
}

static void
check_parent(struct bg_mesh *mesh, uint64_t now_ms)
{
	if (mesh->parent == NULL || !bg_uplink_is_attached(mesh->parent) ||
	    now_ms < mesh->view.expires_ms + ROOTLESS_MS ||
	    now_ms < mesh->parent_fresh_ms + ROOTLESS_MS)
		return;
	on_lost(mesh, "no root", "", ROOTLESS_RETRY_MS, 0);
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
	check_parent(mesh, now_ms);
	check_lost_parent(mesh, now_ms);
	find_parent(mesh, now_ms);
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
