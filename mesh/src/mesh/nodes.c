/* Node discovery: merges the node objects of the store into the replicated
 * table, as MEMBER items. */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "burdockgrade/log.h"

#include "mesh/internal.h"

/* Pause between an event and the next watch. An announcement changes the node's
 * object in the store. This ends the watch of every node, and each node calls
 * the store again; several announcements within the pause cost each node one
 * call. The delay is acceptable because announcements also spread through peers
 * (gossip.c); only a node that no peer knows yet is found through the store
 * alone. docs/decisions/0005-news-from-the-store.md has the store calls
 * measured with 100 ms and 800 ms. */
#define COALESCE_MS 800

/* A node with an object in the store, as of the last list or event. */
struct bg_known_node {
	char address[BG_ADDRESS_BYTES];
	uint64_t incarnation; /* of the announcement in the object */
	uint64_t seq;
	uint32_t list_generation; /* value of bg_mesh.list_generation when the
				     object was last listed or changed */
	UT_hash_handle hh;
};

/* The store does not allow ':' in names (platform/src/objects/request.c). Every
 * node address has a port, so its ':' becomes the last '-' of the name. */
void
bg_mesh_node_name(
    char out[BG_ADDRESS_BYTES], const char address[BG_ADDRESS_BYTES])
{
	char *colon;

	snprintf(out, BG_ADDRESS_BYTES, "%s", address);
	if ((colon = strrchr(out, ':')) != NULL)
		*colon = '-';
}

/* Reverses bg_mesh_node_name().
 * @return 0, or BG_EPROTO if the name is too long or has no '-' */
static int
address_from_name(char out[BG_ADDRESS_BYTES], const char *name)
{
	char *dash;

	if (strlen(name) >= BG_ADDRESS_BYTES)
		return BG_EPROTO;
	snprintf(out, BG_ADDRESS_BYTES, "%s", name);
	if ((dash = strrchr(out, '-')) == NULL)
		return BG_EPROTO;
	*dash = ':';
	return 0;
}

static void
mark_known(struct bg_mesh *mesh, const struct bg_member *member)
{
	struct bg_known_node *node;

	HASH_FIND_STR(mesh->known_nodes, member->address, node);
	if (node == NULL) {
		if ((node = calloc(1, sizeof(*node))) == NULL)
			return;
		snprintf(node->address, sizeof(node->address), "%s",
		    member->address);
		HASH_ADD_STR(mesh->known_nodes, address, node);
	}
	node->incarnation = member->incarnation;
	node->seq = member->seq;
	node->list_generation = mesh->list_generation;
}

/* 1 if a node announced itself again after the announcement in its removed
 * object, in which case it was not the node that removed it. A node that stops
 * announces that before it removes its object. */
static int
is_announced_since(
    const struct bg_mesh *mesh, const struct bg_known_node *removed)
{
	struct bg_member member;
	struct bg_item item;

	if (bg_table_get(
		&item, mesh->table, BG_ITEM_MEMBER, removed->address) != 0 ||
	    bg_member_decode(&member, &item) != 0)
		return 0;
	if (removed->incarnation != 0 && item.major != removed->incarnation)
		return item.major > removed->incarnation;
	return item.minor > removed->seq && member.state != BG_MEMBER_LEAVING;
}

static void
remove_member(struct bg_mesh *mesh, const struct bg_known_node *removed)
{
	const char *address = removed->address;

	if (strcmp(address, mesh->self.address) == 0) {
		/* Revision 0: the object does not exist any more. */
		bg_mesh_self_handle_stored(mesh, 0, NULL);
		return;
	}
	if (is_announced_since(mesh, removed)) {
		bg_log_info("mesh",
		    "removal is outdated address=%s incarnation=%" PRIu64
		    " seq=%" PRIu64,
		    address, removed->incarnation, removed->seq);
		return;
	}
	bg_log_info("mesh", "member removed address=%s", address);
	bg_table_remove(mesh->table, BG_ITEM_MEMBER, address);
	bg_mesh_rebuild_roster(mesh);
}

static void
remove_known_node(struct bg_mesh *mesh, struct bg_known_node *node)
{
	HASH_DEL(mesh->known_nodes, node);
	remove_member(mesh, node);
	free(node);
}

/* If the object was never seen, the incarnation of its announcement is unknown
 * and stays 0. */
static void
handle_removal(struct bg_mesh *mesh, const char *address)
{
	struct bg_known_node unseen = {0};
	struct bg_known_node *node;

	HASH_FIND_STR(mesh->known_nodes, address, node);
	if (node != NULL) {
		remove_known_node(mesh, node);
		return;
	}
	snprintf(unseen.address, sizeof(unseen.address), "%s", address);
	remove_member(mesh, &unseen);
}

static int
decode_member(struct bg_member *out, const struct bg_store_object *obj)
{
	json_int_t incarnation;
	json_int_t seq;

	memset(out, 0, sizeof(*out));
	if (obj->spec == NULL ||
	    address_from_name(out->address, obj->name) != 0 ||
	    bg_member_from_json(out, obj->spec) != 0 ||
	    json_unpack(obj->spec, "{s:I, s:I}", "incarnation", &incarnation,
		"seq", &seq) != 0 ||
	    incarnation <= 0 || seq < 0)
		return BG_EPROTO;
	out->incarnation = (uint64_t)incarnation;
	out->seq = (uint64_t)seq;
	return 0;
}

static void
merge_member(struct bg_mesh *mesh, const struct bg_member *member)
{
	struct bg_item item;

	if (bg_member_encode(&item, member) != 0) {
		bg_log_error(
		    "mesh", "member not encoded address=%s", member->address);
		return;
	}
	bg_mesh_merge(mesh, &item);
	free((char *)item.value);
}

static void
on_object(void *arg, const struct bg_store_object *obj)
{
	struct bg_mesh *mesh = arg;
	struct bg_member member;
	char address[BG_ADDRESS_BYTES];

	if (obj->is_deleted) {
		if (address_from_name(address, obj->name) == 0)
			handle_removal(mesh, address);
		return;
	}
	if (decode_member(&member, obj) != 0) {
		bg_log_warn("mesh", "node object ignored name=%s reason=fields",
		    obj->name);
		return;
	}
	mark_known(mesh, &member);
	if (strcmp(member.address, mesh->self.address) == 0)
		bg_mesh_self_handle_stored(mesh, obj->revision, &member);
	else
		merge_member(mesh, &member);
}

static void
on_list_begin(void *arg)
{
	struct bg_mesh *mesh = arg;

	mesh->list_generation++;
}

/* Removes known nodes that the new list lacks: their objects were deleted while
 * no watch was open. Nodes known only from peers are kept, as their objects may
 * not have been written yet. */
static void
on_list_end(void *arg)
{
	struct bg_mesh *mesh = arg;
	struct bg_known_node *node;
	struct bg_known_node *tmp;

	HASH_ITER(hh, mesh->known_nodes, node, tmp)
	{
		if (node->list_generation != mesh->list_generation)
			remove_known_node(mesh, node);
	}
	bg_mesh_self_update_store(mesh);
	bg_mesh_recovery_handle_store(mesh);
}

static void
on_reachable(void *arg, int is_reachable)
{
	if (is_reachable)
		bg_mesh_self_update_store(arg);
	bg_mesh_recovery_handle_store(arg);
}

int
bg_mesh_is_store_reachable(const struct bg_mesh *mesh)
{
	return mesh->nodes_watcher != NULL &&
	    bg_watcher_has_listed(mesh->nodes_watcher) &&
	    bg_watcher_is_reachable(mesh->nodes_watcher);
}

int
bg_mesh_nodes_init(struct bg_mesh *mesh)
{
	struct bg_watcher_options opts = {0};

	opts.base = mesh->base;
	opts.store = mesh->store;
	opts.kind = BG_KIND_NODES;
	opts.coalesce_ms = COALESCE_MS;
	opts.handler.object = on_object;
	opts.handler.list_end = on_list_end;
	opts.handler.list_begin = on_list_begin;
	opts.handler.reachable = on_reachable;
	opts.handler.arg = mesh;
	return bg_watcher_init(&mesh->nodes_watcher, &opts);
}

void
bg_mesh_nodes_free(struct bg_mesh *mesh)
{
	struct bg_known_node *node;
	struct bg_known_node *tmp;

	bg_watcher_free(mesh->nodes_watcher);
	HASH_ITER(hh, mesh->known_nodes, node, tmp)
	{
		HASH_DEL(mesh->known_nodes, node);
		free(node);
	}
}
