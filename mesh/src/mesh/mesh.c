/* How a configuration reaches the nodes:
 *  1. An operator writes it to the store (store/src/change/operate.c, or the
 *     users' platform).
 *  2. The watch of each node returns the change (store/src/watcher/watcher.c).
 *     Where it is late, the node that reads the store exactly tells of it
 *     (reader.c).
 *  3. The node decodes and validates the whole document and installs the
 *     snapshot by a single pointer swap (config.c).
 *  4. A node that cannot reach the store gets the document from a peer when
 *     they compare their tables (gossip.c). */

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/log.h"

#include "mesh/internal.h"

static struct bg_counter member_gauge =
    BG_GAUGE("burdock_mesh_members", "Nodes known.");

void
bg_mesh_schedule_update(struct bg_mesh *mesh)
{
	event_active(mesh->change_event, EV_TIMEOUT, 0);
}

int
bg_mesh_merge(struct bg_mesh *mesh, const struct bg_item *item)
{
	int changed;
	int error;

	error = bg_table_merge(&changed, mesh->table, item);
	if (error == 0 && changed)
		bg_mesh_schedule_update(mesh);
	return error;
}

void
bg_mesh_rebuild_roster(struct bg_mesh *mesh)
{
	size_t i;

	if (bg_roster_rebuild(&mesh->roster, mesh->table) != 0) {
		bg_log_error("mesh", "roster not rebuilt reason=memory");
		return;
	}
	bg_counter_set(&member_gauge, (int64_t)mesh->roster.member_count);
	for (i = 0; i < mesh->listener_count; i++) {
		if (mesh->listeners[i].roster != NULL)
			mesh->listeners[i].roster(
			    mesh->listeners[i].arg, &mesh->roster);
	}
}

static void
notify_item(struct bg_mesh *mesh, const struct bg_item *item)
{
	size_t i;

	for (i = 0; i < mesh->listener_count; i++) {
		if (mesh->listeners[i].item != NULL)
			mesh->listeners[i].item(mesh->listeners[i].arg, item);
	}
}

static void
handle_item(struct bg_mesh *mesh, const struct bg_xitem *x)
{
	struct bg_item item;

	bg_item_view(&item, x);
	if (item.kind == BG_ITEM_CONFIG)
		bg_mesh_config_handle_item(mesh, &item);
	if (item.kind == BG_ITEM_EMPTIED)
		bg_emptying_handle_item(mesh, &item);
	notify_item(mesh, &item);
}

/* Processes the table changes since the last run. */
static void
on_change(evutil_socket_t fd, short what, void *arg)
{
	struct bg_mesh *mesh = arg;
	struct bg_table_select sel = {0};
	struct bg_xitems items;
	int has_member_items = 0;
	u_int i;

	sel.cursor = mesh->notified_cursor;
	if (bg_table_select(
		&items, &mesh->notified_cursor, mesh->table, &sel) != 0) {
		bg_log_error(
		    "mesh", "table changes not processed reason=memory");
		return;
	}
	for (i = 0; i < items.items.items_len; i++)
		has_member_items |=
		    items.items.items_val[i].kind == BG_ITEM_MEMBER;
	if (has_member_items) {
		bg_mesh_recovery_handle_table(mesh);
		bg_mesh_self_refute(mesh);
		bg_mesh_rebuild_roster(mesh);
	}
	for (i = 0; i < items.items.items_len; i++)
		handle_item(mesh, &items.items.items_val[i]);
	xdr_free((xdrproc_t)xdr_bg_xitems, (char *)&items);
}

int
bg_mesh_init(struct bg_mesh **out, const struct bg_mesh_options *opts,
    struct bg_error *err)
{
	struct bg_mesh *mesh;

	assert(opts->version == BG_MESH_OPTIONS_VERSION);
	if ((mesh = calloc(1, sizeof(*mesh))) == NULL)
		return BG_ENOMEM;
	mesh->base = opts->base;
	mesh->settings = opts->settings;
	mesh->store = opts->store;
	mesh->config = opts->config;
	mesh->server = opts->server;
	mesh->links = opts->links;
	bg_rand_init(&mesh->rand, 0);
	bg_roster_init(&mesh->roster);
	mesh->change_event = event_new(opts->base, -1, 0, on_change, mesh);
	if (mesh->change_event == NULL || bg_table_init(&mesh->table) != 0 ||
	    bg_mesh_self_init(mesh) != 0 || bg_mesh_recovery_init(mesh) != 0 ||
	    bg_gossip_init(&mesh->gossip, mesh) != 0 ||
	    bg_emptying_init(mesh, opts->emptied_kind) != 0 ||
	    bg_reader_init(&mesh->reader, mesh) != 0 ||
	    bg_state_poll_init(&mesh->state_poll, mesh) != 0) {
		bg_mesh_free(mesh);
		return bg_error_set(
		    err, BG_ENOMEM, "mesh", NULL, "out of memory");
	}
	*out = mesh;
	return 0;
}

void
bg_mesh_free(struct bg_mesh *mesh)
{
	if (mesh == NULL)
		return;
	bg_mesh_durable_free(mesh);
	bg_state_poll_free(mesh->state_poll);
	bg_reader_free(mesh->reader);
	bg_emptying_free(mesh->emptying);
	bg_gossip_free(mesh->gossip);
	bg_mesh_nodes_free(mesh);
	bg_mesh_config_free(mesh);
	bg_mesh_recovery_free(mesh);
	bg_mesh_self_free(mesh);
	bg_roster_free(&mesh->roster);
	bg_table_free(mesh->table);
	if (mesh->change_event != NULL)
		event_free(mesh->change_event);
	free(mesh);
}

int
bg_mesh_add_listener(
    struct bg_mesh *mesh, const struct bg_mesh_listener *listener)
{
	if (mesh->listener_count == BG_MESH_LISTENERS_MAX)
		return BG_ELIMIT;
	mesh->listeners[mesh->listener_count++] = *listener;
	return 0;
}

void
bg_mesh_start(struct bg_mesh *mesh)
{
	if (mesh->is_started)
		return;
	mesh->is_started = 1;
	if (mesh->store != NULL &&
	    (bg_mesh_config_init(mesh) != 0 || bg_mesh_nodes_init(mesh) != 0))
		bg_log_error("mesh", "store not watched reason=memory");
	bg_emptying_start(mesh);
	bg_gossip_start(mesh->gossip);
	bg_reader_start(mesh->reader);
	bg_mesh_recovery_handle_store(mesh);
	/* A node with a backend server announces itself when the state of the
	 * server is known. */
	if (mesh->settings->server.address[0] == '\0')
		bg_mesh_self_announce(mesh);
	bg_log_info("mesh", "started address=%s dc=%s", mesh->self.address,
	    mesh->self.data_centre);
}

int
bg_mesh_merge_stored(struct bg_mesh *mesh, const struct bg_item *item)
{
	return bg_mesh_merge(mesh, item);
}

int
bg_mesh_publish(struct bg_mesh *mesh, const struct bg_item *item)
{
	uint64_t cursor = bg_table_cursor(mesh->table);
	int error = bg_mesh_merge(mesh, item);

	if (error == 0 && bg_table_cursor(mesh->table) != cursor)
		bg_gossip_push(mesh->gossip, cursor, 0, BG_PUSH_FORWARD);
	return error;
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

const char *
bg_mesh_address(const struct bg_mesh *mesh)
{
	return mesh->self.address;
}

uint64_t
bg_mesh_incarnation(const struct bg_mesh *mesh)
{
	return mesh->self.incarnation;
}
