#include <stdio.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"

#include "mesh/internal.h"

/* The root of the data centre with the lower name opens the link; the other
 * one does so only when none came for this long. One link carries both
 * directions, so two would double the bytes. */
#define CALLED_WAIT_MS 3000

static struct bg_counter peer_gauge =
    BG_GAUGE("burdock_mesh_peers", "Links opened to roots of data centres.");

static void
retry_later(struct bg_peer *peer, uint32_t retry_ms)
{
	if (retry_ms == 0)
		retry_ms =
		    bg_backoff_next_ms(&peer->backoff, &peer->mesh->rand);
	peer->not_before_ms = bg_clock_now_ms() + retry_ms;
}

static void
close_peer(struct bg_peer *peer)
{
	struct bg_uplink *upl = peer->uplink;

	peer->uplink = NULL;
	if (upl != NULL)
		bg_counter_add(&peer_gauge, -1);
	bg_uplink_free(upl);
}

static int
on_replied(void *arg, const struct bg_xsync_res *res)
{
	struct bg_peer *peer = arg;

	if (!bg_uplink_is_attached(peer->uplink))
		bg_log_info("mesh", "peer root=%s dc=%s", res->address,
		    peer->data_centre);
	bg_backoff_reset(&peer->backoff);
	return 0;
}

static void
on_merged(void *arg)
{
	struct bg_peer *peer = arg;

	bg_mesh_changed(peer->mesh);
}

static void
on_lost(void *arg, const char *reason, const char *redirect, uint32_t retry_ms,
    int is_link_fault)
{
	struct bg_peer *peer = arg;

	if (bg_uplink_is_attached(peer->uplink))
		bg_log_info("mesh", "lost peer root=%s dc=%s reason=%s",
		    bg_uplink_address(peer->uplink), peer->data_centre, reason);
	peer->address[0] = '\0';
	/* A root of the own data centre: without platform, the one with the
	 * higher address becomes a child of the other. */
	if (peer->data_centre[0] == '\0' &&
	    strcmp(redirect, bg_uplink_address(peer->uplink)) == 0 &&
	    peer->mesh->root == BG_ROOT_UNLEASED &&
	    strcmp(redirect, peer->mesh->me.address) < 0)
		bg_attach_redirected(
		    &peer->mesh->attach, redirect, bg_clock_now_ms());
	if (redirect[0] != '\0' &&
	    strcmp(redirect, peer->mesh->me.address) != 0)
		snprintf(peer->address, sizeof(peer->address), "%s", redirect);
	retry_later(peer, retry_ms);
	close_peer(peer);
}

static void
on_stale(void *arg, uint64_t known_incarnation)
{
	struct bg_peer *peer = arg;

	bg_mesh_raise_incarnation(peer->mesh, known_incarnation);
}

static enum bg_floor_want
wants_floor(void *arg)
{
	return BG_FLOOR_NO;
}

static void
open_peer(struct bg_peer *peer, const char *address)
{
	struct bg_mesh *mesh = peer->mesh;
	struct bg_uplink_options opts = {0};

	opts.base = mesh->base;
	opts.address = address;
	opts.local_ip = mesh->settings->node.address;
	opts.self = mesh->me.address;
	opts.data_centre = mesh->settings->node.data_centre;
	opts.role = BG_SYNC_PEER;
	opts.incarnation = mesh->me.incarnation;
	opts.table = mesh->table;
	opts.handler.replied = on_replied;
	opts.handler.merged = on_merged;
	opts.handler.lost = on_lost;
	opts.handler.stale = on_stale;
	opts.handler.wants_floor = wants_floor;
	opts.handler.arg = peer;
	if (bg_uplink_init(&peer->uplink, &opts) == 0)
		bg_counter_add(&peer_gauge, 1);
	else
		retry_later(peer, 0);
}

static struct bg_peer *
find_peer(struct bg_mesh *mesh, const char *data_centre)
{
	static const struct bg_backoff backoff = BG_BACKOFF_INIT;
	struct bg_peer *unused = NULL;
	size_t i;

	for (i = 0; i < BG_MESH_PEERS_MAX; i++) {
		struct bg_peer *peer = &mesh->peers[i];

		if (peer->is_used &&
		    strcmp(peer->data_centre, data_centre) == 0)
			return peer;
		if (!peer->is_used && unused == NULL)
			unused = peer;
	}
	if (unused == NULL)
		return NULL;
	memset(unused, 0, sizeof(*unused));
	unused->mesh = mesh;
	unused->is_used = 1;
	unused->backoff = backoff;
	unused->missing_since_ms = bg_clock_now_ms();
	snprintf(unused->data_centre, sizeof(unused->data_centre), "%s",
	    data_centre);
	return unused;
}

/* The root that the data centre's summary names, else its members in turn. */
static const char *
choose_address(struct bg_peer *peer, struct bg_summary *sum)
{
	const struct bg_roster *ros = &peer->mesh->roster;
	struct bg_item item;
	size_t i;

	if (peer->address[0] != '\0')
		return peer->address;
	if (peer->next_candidate++ % 2 == 0 &&
	    bg_table_get(&item, peer->mesh->table, BG_ITEM_SUMMARY,
		peer->data_centre) == 0 &&
	    bg_summary_decode(sum, &item) == 0 && sum->root[0] != '\0')
		return sum->root;
	for (i = 0; i < ros->member_count; i++) {
		const struct bg_member *m =
		    &ros->members[(peer->next_candidate + i) %
			ros->member_count];

		/* A member that this side marked dead may live behind a
		 * partition, so it is tried as well. */
		if (strcmp(m->data_centre, peer->data_centre) == 0)
			return m->address;
	}
	return NULL;
}

static void
step_peer(struct bg_peer *peer, uint64_t now_ms)
{
	struct bg_mesh *mesh = peer->mesh;
	struct bg_summary sum;
	const char *address;
	char chosen[BG_ADDRESS_BYTES];

	if (bg_children_has_peer(mesh->children, peer->data_centre)) {
		peer->missing_since_ms = now_ms;
		return;
	}
	if (peer->uplink != NULL || now_ms < peer->not_before_ms)
		return;
	if (strcmp(mesh->me.data_centre, peer->data_centre) > 0 &&
	    now_ms - peer->missing_since_ms < CALLED_WAIT_MS)
		return;
	if ((address = choose_address(peer, &sum)) == NULL)
		return;
	snprintf(chosen, sizeof(chosen), "%s", address);
	peer->address[0] = '\0';
	open_peer(peer, chosen);
}

/* 1 if the address belongs to a member that is known already. */
static int
is_known(const struct bg_mesh *mesh, const char *address)
{
	return strcmp(address, mesh->me.address) == 0 ||
	    bg_roster_find(&mesh->roster, address) != NULL;
}

/* Seeds that no member is known for may be in data centres that nothing is
 * known of yet: one probe at a time, under the empty name. */
static void
step_seeds(struct bg_mesh *mesh, uint64_t now_ms)
{
	struct bg_peer *probe = find_peer(mesh, "");
	size_t count = mesh->settings->mesh.seed_count;
	size_t i;

	if (probe == NULL || now_ms < probe->not_before_ms)
		return;
	if (probe->uplink != NULL) {
		if (bg_uplink_is_attached(probe->uplink)) {
			/* Its members are known now; the data centre's own
			 * entry takes over. */
			close_peer(probe);
			retry_later(probe, 0);
		}
		return;
	}
	if (probe->address[0] != '\0' && !is_known(mesh, probe->address)) {
		open_peer(probe, probe->address);
		return;
	}
	for (i = 0; i < count; i++) {
		const char *seed =
		    mesh->settings->mesh.seeds[probe->next_candidate++ % count];

		if (is_known(mesh, seed))
			continue;
		open_peer(probe, seed);
		return;
	}
}

void
bg_mesh_peers_tick(struct bg_mesh *mesh, uint64_t now_ms)
{
	const char *own = mesh->me.data_centre;
	size_t i;

	if (mesh->root == BG_ROOT_NONE)
		return;
	for (i = 0; i < mesh->roster.member_count; i++) {
		const char *dc = mesh->roster.members[i].data_centre;

		if (strcmp(dc, own) != 0)
			find_peer(mesh, dc);
	}
	for (i = 0; i < BG_MESH_PEERS_MAX; i++) {
		if (mesh->peers[i].is_used &&
		    mesh->peers[i].data_centre[0] != '\0')
			step_peer(&mesh->peers[i], now_ms);
	}
	step_seeds(mesh, now_ms);
}

void
bg_mesh_peers_flush(struct bg_mesh *mesh)
{
	size_t i;

	for (i = 0; i < BG_MESH_PEERS_MAX; i++) {
		if (mesh->peers[i].uplink != NULL)
			bg_uplink_flush(mesh->peers[i].uplink, 0);
	}
}

void
bg_mesh_peers_close(struct bg_mesh *mesh)
{
	size_t i;

	for (i = 0; i < BG_MESH_PEERS_MAX; i++) {
		close_peer(&mesh->peers[i]);
		mesh->peers[i].is_used = 0;
	}
}
