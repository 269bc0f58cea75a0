#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"

#include "mesh/internal.h"

/* An attached node whose parent has no root for this long looks for another
 * one: above the time in which a new relay takes the lease. */
#define ROOTLESS_MS 3000
/* A node that left a parent without root may ask it again after this time. */
#define ROOTLESS_RETRY_MS 200

static struct bg_counter parent_changes =
    BG_COUNTER("burdock_mesh_parent_changes_total", "Parents lost.");

void
bg_mesh_close_parent(struct bg_mesh *mesh)
{
	struct bg_uplink *upl = mesh->parent;

	mesh->parent = NULL;
	bg_uplink_free(upl);
	bg_floor_read_done(&mesh->floor_reads, 0, 0);
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
		bg_mesh_set_root(mesh, BG_ROOT_NONE);
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
	bg_mesh_close_parent(mesh);
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
		bg_mesh_set_root(mesh, BG_ROOT_UNLEASED);
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
bg_mesh_parent_tick(struct bg_mesh *mesh, uint64_t now_ms)
{
	check_parent(mesh, now_ms);
	check_lost_parent(mesh, now_ms);
	find_parent(mesh, now_ms);
}
