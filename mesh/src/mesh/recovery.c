/* Recovery of what an earlier process of this node announced. A backend server
 * outlives the process of its node, and what that process acknowledged still
 * holds: a server that has left must not be used again. The announcement is in
 * the store and in the tables of peers; either may have an older one. */

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "burdockgrade/log.h"

#include "mesh/internal.h"

/* Time to compare the table with a peer after the nodes were listed. */
#define PEER_WAIT_MS 1000
/* Delay until another peer is asked. */
#define RETRY_MS 200

static void
notify(struct bg_mesh *mesh)
{
	const struct bg_member *earlier =
	    mesh->has_earlier ? &mesh->earlier : NULL;
	size_t i;

	for (i = 0; i < mesh->listener_count; i++) {
		if (mesh->listeners[i].recovered != NULL)
			mesh->listeners[i].recovered(
			    mesh->listeners[i].arg, earlier);
	}
}

static void
complete(struct bg_mesh *mesh)
{
	mesh->is_recovered = 1;
	event_del(mesh->recovery_timer);
	bg_log_info("mesh",
	    "recovered server=%s born=%" PRIu64 " left=%d listed=%d "
	    "compared=%d",
	    mesh->earlier.server_id, mesh->earlier.server_started_ms,
	    mesh->earlier.server_has_left,
	    mesh->nodes_watcher != NULL &&
		bg_watcher_has_listed(mesh->nodes_watcher),
	    mesh->has_compared);
	notify(mesh);
}

static int
is_newer(const struct bg_member *a, const struct bg_member *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	return a->seq > b->seq;
}

void
bg_mesh_recovery_handle_member(
    struct bg_mesh *mesh, const struct bg_member *member)
{
	if (member->incarnation == mesh->self.incarnation ||
	    (mesh->has_earlier && !is_newer(member, &mesh->earlier)))
		return;
	mesh->earlier = *member;
	mesh->has_earlier = 1;
	if (mesh->is_recovered)
		notify(mesh);
}

void
bg_mesh_recovery_handle_table(struct bg_mesh *mesh)
{
	struct bg_member member;
	struct bg_item item;

	if (bg_table_get(
		&item, mesh->table, BG_ITEM_MEMBER, mesh->self.address) == 0 &&
	    bg_member_decode(&member, &item) == 0)
		bg_mesh_recovery_handle_member(mesh, &member);
}

static int
has_peers(const struct bg_mesh *mesh)
{
	size_t own =
	    bg_roster_find(&mesh->roster, mesh->self.address) != NULL ? 1 : 0;

	return mesh->roster.member_count > own;
}

static void
schedule(struct bg_mesh *mesh, uint32_t ms)
{
	struct timeval tv = {0, (suseconds_t)ms * 1000};

	event_add(mesh->recovery_timer, &tv);
}

/* Asks one peer after the other, beginning when the nodes were listed. */
static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct bg_mesh *mesh = arg;

	if (!has_peers(mesh) ||
	    bg_clock_now_ms() >= mesh->recovery_deadline_ms) {
		complete(mesh);
		return;
	}
	bg_gossip_compare_members(mesh->gossip);
	schedule(mesh, RETRY_MS);
}

void
bg_mesh_recovery_handle_comparison(struct bg_mesh *mesh)
{
	mesh->has_compared = 1;
	bg_emptying_handle_comparison(mesh);
	bg_mesh_recovery_handle_store(mesh);
}

void
bg_mesh_recovery_handle_store(struct bg_mesh *mesh)
{
	struct bg_watcher *wat = mesh->nodes_watcher;

	if (mesh->is_recovered || !mesh->is_started)
		return;
	bg_mesh_recovery_handle_table(mesh);
	if (wat == NULL) {
		complete(mesh);
		return;
	}
	if (bg_watcher_has_listed(wat) && mesh->recovery_deadline_ms == 0) {
		mesh->recovery_deadline_ms = bg_clock_now_ms() + PEER_WAIT_MS;
		/* The roster does not have the listed nodes yet. */
		schedule(mesh, 0);
	}
	if (mesh->has_compared &&
	    (bg_watcher_has_listed(wat) || !bg_watcher_is_reachable(wat)))
		complete(mesh);
}

int
bg_mesh_recovery_init(struct bg_mesh *mesh)
{
	mesh->recovery_timer = evtimer_new(mesh->base, on_timer, mesh);
	return mesh->recovery_timer == NULL ? BG_ENOMEM : 0;
}

void
bg_mesh_recovery_free(struct bg_mesh *mesh)
{
	if (mesh->recovery_timer != NULL)
		event_free(mesh->recovery_timer);
}
