/* The nodes that the store knows, as MEMBER items. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "burdockgrade/log.h"

#include "mesh/internal.h"

/* Announcements in quick succession are read together: peers pass each one on
 * at once, and the store is there for nodes that no peer knows yet. Every watch
 * that ends costs a call of every node. */
#define COALESCE_MS 800

/* A node that the store has, or had in its last list. */
struct bg_known_node {
	char address[BG_ADDRESS_BYTES];
	uint32_t listing; /* last list or event that showed it */
	UT_hash_handle hh;
};

void
bg_mesh_node_name(
    char out[BG_ADDRESS_BYTES], const char address[BG_ADDRESS_BYTES])
{
	char *colon;

	snprintf(out, BG_ADDRESS_BYTES, "%s", address);
	if ((colon = strrchr(out, ':')) != NULL)
		*colon = '-';
}

static int
address_of(char out[BG_ADDRESS_BYTES], const char *name)
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
mark_known(struct bg_mesh *mesh, const char *address)
{
	struct bg_known_node *node;

	HASH_FIND_STR(mesh->known_nodes, address, node);
	if (node == NULL) {
		if ((node = calloc(1, sizeof(*node))) == NULL)
			return;
		snprintf(node->address, sizeof(node->address), "%s", address);
		HASH_ADD_STR(mesh->known_nodes, address, node);
	}
	node->listing = mesh->listing;
}

static void
remove_member(struct bg_mesh *mesh, const char *address)
{
	if (strcmp(address, mesh->me.address) == 0) {
		bg_mesh_self_stored(mesh, 0, NULL);
		return;
	}
	bg_log_info("mesh", "member removed address=%s", address);
	bg_table_forget(mesh->table, BG_ITEM_MEMBER, address);
	bg_mesh_rebuild_roster(mesh);
}

static void
forget_node(struct bg_mesh *mesh, struct bg_known_node *node)
{
	HASH_DEL(mesh->known_nodes, node);
	remove_member(mesh, node->address);
	free(node);
}

static void
take_removal(struct bg_mesh *mesh, const char *address)
{
	struct bg_known_node *node;

	HASH_FIND_STR(mesh->known_nodes, address, node);
	if (node != NULL)
		forget_node(mesh, node);
	else
		remove_member(mesh, address);
}

static int
decode(struct bg_member *out, const struct bg_store_object *obj)
{
	json_int_t incarnation;
	json_int_t seq;

	memset(out, 0, sizeof(*out));
	if (obj->spec == NULL || address_of(out->address, obj->name) != 0 ||
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
		    "mesh", "member not kept address=%s", member->address);
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
		if (address_of(address, obj->name) == 0)
			take_removal(mesh, address);
		return;
	}
	if (decode(&member, obj) != 0) {
		bg_log_warn("mesh", "node object ignored name=%s reason=fields",
		    obj->name);
		return;
	}
	mark_known(mesh, member.address);
	if (strcmp(member.address, mesh->me.address) == 0)
		bg_mesh_self_stored(mesh, obj->revision, &member);
	else
		merge_member(mesh, &member);
}

static void
on_begin(void *arg)
{
	struct bg_mesh *mesh = arg;

	mesh->listing++;
}

/* Nodes that the store had and no longer has were removed while no watch was
 * open. Those that only peers told of may not be in the store yet. */
static void
on_listed(void *arg)
{
	struct bg_mesh *mesh = arg;
	struct bg_known_node *node;
	struct bg_known_node *tmp;

	HASH_ITER(hh, mesh->known_nodes, node, tmp)
	{
		if (node->listing != mesh->listing)
			forget_node(mesh, node);
	}
	bg_mesh_self_write(mesh);
}

static void
on_reachable(void *arg, int is_reachable)
{
	if (is_reachable)
		bg_mesh_self_write(arg);
}

int
bg_mesh_has_store(const struct bg_mesh *mesh)
{
	return mesh->nodes_follow != NULL &&
	    bg_watcher_has_listed(mesh->nodes_follow) &&
	    bg_watcher_is_reachable(mesh->nodes_follow);
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
	opts.handler.list_end = on_listed;
	opts.handler.list_begin = on_begin;
	opts.handler.reachable = on_reachable;
	opts.handler.arg = mesh;
	return bg_watcher_init(&mesh->nodes_follow, &opts);
}

void
bg_mesh_nodes_free(struct bg_mesh *mesh)
{
	struct bg_known_node *node;
	struct bg_known_node *tmp;

	bg_watcher_free(mesh->nodes_follow);
	HASH_ITER(hh, mesh->known_nodes, node, tmp)
	{
		HASH_DEL(mesh->known_nodes, node);
		free(node);
	}
}
