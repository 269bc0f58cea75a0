/* The way of a configuration, in order:
 *  1. `burdockgrade accept` writes the contract and updates the head
 *     (platform/src/change/operate.c).
 *  2. The relay's watch ends; it reads the head and the changed contracts into
 *     HEAD and SERVICE items (reader.c, role.c).
 *  3. The table logs the change (table.c); SYNCs that children hold are
 *     answered with it (children.c), and peers of other data centres ask for it
 *     (peers.c).
 *  4. A child merges the items (uplink.c) and answers its own children.
 *  5. Each node builds and validates the snapshot and installs it by one
 *     pointer (install.c, content.c).
 *  6. Its ACK goes up to the root, which reduces ACKs to the SUMMARY of the
 *     data centre (summary.c).
 *  7. The status text says done once all summaries confirm the version
 *     (moves/src/status/status.c). */

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"

#include "mesh/internal.h"

/* Interval of the checks; below the shortest time limit of the mesh. */
#define TICK_MS 100
/* Changes are put together for this long before they are sent. A version is
 * sent at once. */
#define FLUSH_MS 20
/* A gap between two checks that shows a pause of this process: it must not
 * hold the silence against others. */
#define PAUSE_MS 1000
/* Interval of the root's check for members that died. */
#define LIVENESS_MS 500

static struct bg_counter member_gauge =
    BG_GAUGE("burdock_mesh_members", "Live members known.");

void
bg_mesh_changed(struct bg_mesh *mesh)
{
	event_active(mesh->turn, EV_TIMEOUT, 0);
}

int
bg_mesh_merge(struct bg_mesh *mesh, const struct bg_item *item)
{
	int changed;
	int error;

	error = bg_table_merge(&changed, mesh->table, item, 0);
	if (error == 0 && changed)
		bg_mesh_changed(mesh);
	return error;
}

static void
rebuild_roster(struct bg_mesh *mesh)
{
	size_t live = 0;
	size_t i;

	if (bg_roster_rebuild(&mesh->roster, mesh->table, bg_clock_now_ms()) !=
	    0)
		return;
	for (i = 0; i < mesh->roster.member_count; i++)
		live += !mesh->roster.members[i].is_dead;
	bg_counter_set(&member_gauge, (int64_t)live);
	for (i = 0; i < mesh->listener_count; i++) {
		if (mesh->listeners[i].roster != NULL)
			mesh->listeners[i].roster(
			    mesh->listeners[i].arg, &mesh->roster);
	}
}

static void
tell_item(struct bg_mesh *mesh, const struct bg_xitem *x)
{
	struct bg_item item;
	size_t i;

	item.kind = x->kind;
	item.key = x->key;
	item.major = x->major;
	item.minor = x->minor;
	item.value = x->value.value_val;
	item.value_bytes = x->value.value_len;
	for (i = 0; i < mesh->listener_count; i++) {
		if (mesh->listeners[i].item != NULL)
			mesh->listeners[i].item(mesh->listeners[i].arg, &item);
	}
}

static void
schedule_flush(struct bg_mesh *mesh, int is_urgent)
{
	struct timeval tv = {0, is_urgent ? 0 : FLUSH_MS * 1000};

	if (is_urgent || !evtimer_pending(mesh->flush, NULL))
		evtimer_add(mesh->flush, &tv);
}

/* Handles the changes since the last turn. */
static void
on_turn(evutil_socket_t fd, short what, void *arg)
{
	struct bg_mesh *mesh = arg;
	struct bg_table_select sel = {0};
	struct bg_xitems items;
	uint32_t kinds = 0;
	u_int i;

	sel.cursor = mesh->processed;
	sel.scope_mask = ~0u;
	if (bg_table_select(&items, &mesh->processed, mesh->table, &sel) != 0)
		return;
	for (i = 0; i < items.items.items_len; i++)
		kinds |= 1u << (items.items.items_val[i].kind & 31);
	if (kinds & 1u << BG_ITEM_MEMBER) {
		bg_mesh_refute(mesh);
		rebuild_roster(mesh);
	}
	if (kinds & (1u << BG_ITEM_MEMBER | 1u << BG_ITEM_ACK))
		mesh->is_summary_due = 1;
	if (kinds & 1u << BG_ITEM_ACK)
		mesh->refused_version = bg_content_refused(mesh->table);
	for (i = 0; i < items.items.items_len; i++)
		tell_item(mesh, &items.items.items_val[i]);
	bg_mesh_install(mesh);
	if (mesh->is_confirm_due) {
		mesh->is_confirm_due = 0;
		bg_mesh_confirm(mesh);
	}
	if (kinds != 0)
		schedule_flush(mesh,
		    (kinds & (1u << BG_ITEM_HEAD | 1u << BG_ITEM_MARK)) != 0);
	xdr_free((xdrproc_t)xdr_bg_xitems, (char *)&items);
}

static void
on_flush(evutil_socket_t fd, short what, void *arg)
{
	struct bg_mesh *mesh = arg;

	bg_mesh_floor_tick(mesh, bg_clock_now_ms());
	bg_children_flush(mesh->children);
	if (mesh->parent != NULL)
		bg_uplink_flush(mesh->parent, !bg_mesh_is_announced(mesh));
	bg_mesh_peers_flush(mesh);
}

static int
is_child(void *arg, const char *address)
{
	const struct bg_mesh *mesh = arg;

	return bg_children_has(mesh->children, address);
}

static void
check_members(struct bg_mesh *mesh, uint64_t now_ms)
{
	const struct bg_member **dead;
	size_t count;
	size_t i;

	if (now_ms < mesh->next_check_ms)
		return;
	mesh->next_check_ms = now_ms + LIVENESS_MS;
	bg_mesh_forget_dead(mesh, now_ms);
	if (!bg_mesh_is_root(mesh))
		return;
	dead = calloc(
	    mesh->roster.member_count + 1, sizeof(const struct bg_member *));
	if (dead == NULL)
		return;
	count =
	    bg_liveness_check(dead, &mesh->liveness, mesh->table, &mesh->roster,
		mesh->me.address, mesh->me.data_centre, is_child, mesh, now_ms);
	for (i = 0; i < count; i++)
		bg_mesh_mark_dead(mesh, dead[i]->address, dead[i]->incarnation);
	free(dead);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct bg_mesh *mesh = arg;
	uint64_t now_ms = bg_clock_now_ms();
	uint64_t gap_ms = now_ms - mesh->last_tick_ms;

	if (mesh->last_tick_ms != 0 && gap_ms >= PAUSE_MS) {
		bg_log_warn("mesh", "resumed after_ms=%" PRIu64, gap_ms);
		bg_children_resumed(mesh->children, now_ms);
		bg_mesh_role_resumed(mesh, now_ms);
	}
	mesh->last_tick_ms = now_ms;
	bg_mesh_role_tick(mesh, now_ms);
	bg_children_tick(mesh->children, now_ms);
	bg_mesh_floor_tick(mesh, now_ms);
	bg_mesh_peers_tick(mesh, now_ms);
	check_members(mesh, now_ms);
	bg_mesh_summary_tick(mesh, now_ms);
}

static void
child_view(void *arg, struct bg_root_view *out)
{
	bg_mesh_view(arg, out);
}

static int
child_is_root(void *arg)
{
	return bg_mesh_is_root(arg);
}

static const char *
child_parent(void *arg)
{
	const struct bg_mesh *mesh = arg;

	if (mesh->parent == NULL || !bg_uplink_is_attached(mesh->parent))
		return NULL;
	return bg_uplink_address(mesh->parent);
}

static uint64_t
child_floor_request(void *arg)
{
	struct bg_mesh *mesh = arg;

	/* Requests of many children are settled by one read. */
	schedule_flush(mesh, 0);
	return bg_floor_request(&mesh->floor_reads);
}

static uint64_t
child_floor_reply(void *arg, uint64_t number)
{
	struct bg_mesh *mesh = arg;
	struct bg_root_view view;

	bg_mesh_view(mesh, &view);
	return bg_floor_reply(&mesh->floor_reads, number,
	    view.object_version != 0 && view.expires_ms > bg_clock_now_ms());
}

static uint64_t
child_refused_version(void *arg)
{
	const struct bg_mesh *mesh = arg;

	return mesh->refused_version;
}

static void
child_merged(void *arg)
{
	bg_mesh_changed(arg);
}

static void
child_silent(void *arg, const char *address, uint64_t incarnation)
{
	bg_mesh_mark_dead(arg, address, incarnation);
}

static int
init_children(struct bg_mesh *mesh)
{
	struct bg_children_options opts = {0};

	opts.base = mesh->base;
	opts.server = mesh->server;
	opts.table = mesh->table;
	opts.self = mesh->me.address;
	opts.data_centre = mesh->me.data_centre;
	opts.incarnation = mesh->me.incarnation;
	opts.fanout = mesh->settings->mesh.fanout;
	opts.handler.view = child_view;
	opts.handler.is_root = child_is_root;
	opts.handler.parent = child_parent;
	opts.handler.floor_request = child_floor_request;
	opts.handler.floor_reply = child_floor_reply;
	opts.handler.refused_version = child_refused_version;
	opts.handler.merged = child_merged;
	opts.handler.silent = child_silent;
	opts.handler.arg = mesh;
	return bg_children_init(&mesh->children, &opts);
}

static void
init_member(struct bg_mesh *mesh)
{
	const struct bg_settings *set = mesh->settings;
	struct bg_member *me = &mesh->me;

	if (set->node.advertise[0] != '\0')
		snprintf(me->address, sizeof(me->address), "%.*s",
		    (int)sizeof(me->address) - 1, set->node.advertise);
	else
		snprintf(me->address, sizeof(me->address), "%.48s:%u",
		    set->node.address, bg_link_server_port(mesh->server));
	snprintf(me->data_centre, sizeof(me->data_centre), "%.*s",
	    BG_NAME_BYTES - 1, set->node.data_centre);
	snprintf(me->region, sizeof(me->region), "%.*s", BG_NAME_BYTES - 1,
	    set->node.region);
	snprintf(me->service, sizeof(me->service), "%.*s", BG_NAME_BYTES - 1,
	    set->server.service);
	snprintf(me->server_version, sizeof(me->server_version), "%.*s",
	    BG_NAME_BYTES - 1, set->server.version);
	/* A process that replaces another one at the same address starts
	 * above it unless the wall clock went back. */
	me->incarnation = bg_clock_wall_ms();
	me->slots = set->server.slots;
	me->connections = set->server.connections;
	me->state = BG_MEMBER_STARTING;
}

int
bg_mesh_init(struct bg_mesh **out, const struct bg_mesh_options *opts,
    struct bg_error *err)
{
	struct bg_mesh *mesh;
	int error = BG_ENOMEM;

	assert(opts->version == BG_MESH_OPTIONS_VERSION);
	if ((mesh = calloc(1, sizeof(*mesh))) == NULL)
		return BG_ENOMEM;
	mesh->base = opts->base;
	mesh->settings = opts->settings;
	mesh->platform = opts->platform;
	mesh->server = opts->server;
	bg_rand_init(&mesh->rand, 0);
	mesh->turn = event_new(opts->base, -1, 0, on_turn, mesh);
	mesh->flush = evtimer_new(opts->base, on_flush, mesh);
	mesh->tick = event_new(opts->base, -1, EV_PERSIST, on_tick, mesh);
	if (mesh->turn == NULL || mesh->flush == NULL || mesh->tick == NULL ||
	    bg_table_init(&mesh->table) != 0)
		goto done;
	bg_roster_init(&mesh->roster);
	init_member(mesh);
	bg_mesh_role_init(mesh);
	if ((error = bg_mesh_reader_init(mesh)) == 0)
		error = init_children(mesh);
done:
	if (error != 0) {
		bg_mesh_free(mesh);
		return bg_error_set(err, error, "mesh", NULL, "not started");
	}
	*out = mesh;
	return 0;
}

void
bg_mesh_free(struct bg_mesh *mesh)
{
	if (mesh == NULL)
		return;
	bg_mesh_peers_close(mesh);
	bg_mesh_role_free(mesh);
	bg_children_free(mesh->children);
	bg_reader_free(mesh->reader);
	bg_snapshot_release(mesh->snapshot);
	bg_roster_free(&mesh->roster);
	bg_table_free(mesh->table);
	if (mesh->turn != NULL)
		event_free(mesh->turn);
	if (mesh->flush != NULL)
		event_free(mesh->flush);
	if (mesh->tick != NULL)
		event_free(mesh->tick);
	free(mesh);
}

int
bg_mesh_listen(struct bg_mesh *mesh, const struct bg_mesh_listener *listener)
{
	if (mesh->listener_count == BG_MESH_LISTENERS_MAX)
		return BG_ELIMIT;
	mesh->listeners[mesh->listener_count++] = *listener;
	return 0;
}

void
bg_mesh_start(struct bg_mesh *mesh)
{
	static const struct timeval tick = {0, TICK_MS * 1000};

	if (mesh->is_started)
		return;
	mesh->is_started = 1;
	bg_mesh_announce(mesh);
	bg_mesh_confirm(mesh);
	if (mesh->reader != NULL && mesh->settings->mesh.direct_watch)
		bg_reader_follow(mesh->reader, 1);
	event_add(mesh->tick, &tick);
	bg_log_info("mesh", "started address=%s dc=%s direct_watch=%d",
	    mesh->me.address, mesh->me.data_centre,
	    mesh->settings->mesh.direct_watch);
}

int
bg_mesh_publish(struct bg_mesh *mesh, const struct bg_item *item)
{
	return bg_mesh_merge(mesh, item);
}

void
bg_mesh_set_state(struct bg_mesh *mesh, enum bg_member_state state)
{
	if (mesh->me.state == state)
		return;
	if (state == BG_MEMBER_READY)
		mesh->me.ready_since_ms = bg_clock_wall_ms();
	mesh->me.state = state;
	if (mesh->is_started)
		bg_mesh_announce(mesh);
}

void
bg_mesh_set_server_version(struct bg_mesh *mesh, const char *version)
{
	if (strcmp(mesh->me.server_version, version) == 0)
		return;
	snprintf(mesh->me.server_version, sizeof(mesh->me.server_version), "%s",
	    version);
	if (mesh->is_started)
		bg_mesh_announce(mesh);
}

int
bg_mesh_is_announced(const struct bg_mesh *mesh)
{
	if (mesh->parent != NULL && bg_uplink_is_attached(mesh->parent))
		return bg_uplink_confirmed(mesh->parent) >= mesh->me_cursor;
	if (mesh->root != BG_ROOT_NONE)
		return bg_children_confirmed(mesh->children, mesh->me_cursor);
	return mesh->roster.member_count <= 1;
}

int
bg_mesh_is_synced(const struct bg_mesh *mesh)
{
	return mesh->snapshot != NULL &&
	    bg_floor_allows(&mesh->floor, mesh->snapshot->version);
}

const struct bg_table *
bg_mesh_table(const struct bg_mesh *mesh)
{
	return mesh->table;
}

const struct bg_roster *
bg_mesh_roster(const struct bg_mesh *mesh)
{
	return &mesh->roster;
}

struct bg_snapshot *
bg_mesh_snapshot(const struct bg_mesh *mesh)
{
	return mesh->snapshot;
}

const char *
bg_mesh_address(const struct bg_mesh *mesh)
{
	return mesh->me.address;
}

uint64_t
bg_mesh_incarnation(const struct bg_mesh *mesh)
{
	return mesh->me.incarnation;
}
