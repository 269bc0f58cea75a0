#ifndef BG_TEST_STUB_MESH_H
#define BG_TEST_STUB_MESH_H

/* Mesh without a network: the test sets roster and snapshot, and reads what the
 * proxy announced. */

#include <stdlib.h>
#include <string.h>

#include "burdockgrade/mesh.h"

struct bg_mesh {
	struct bg_roster roster;
	struct bg_snapshot *snapshot;
	struct bg_mesh_listener listener;
	char address[BG_ADDRESS_BYTES];
	char version[BG_NAME_BYTES];
	char server_id[BG_NAME_BYTES];
	enum bg_member_state state;
	struct bg_emptied_set emptied;
	enum bg_admission admission;
	int is_leaving;
	int is_synced;
};

int
bg_mesh_add_listener(
    struct bg_mesh *mesh, const struct bg_mesh_listener *listener)
{
	mesh->listener = *listener;
	return 0;
}

void
bg_mesh_announce_server(
    struct bg_mesh *mesh, const struct bg_server_announcement *ann)
{
	mesh->state = ann->state;
	snprintf(
	    mesh->version, sizeof(mesh->version), "%s", ann->server_version);
	snprintf(
	    mesh->server_id, sizeof(mesh->server_id), "%s", ann->server_id);
}

void
bg_mesh_when_durable(struct bg_mesh *mesh, bg_mesh_durable_fn fn, void *arg)
{
	fn(arg, 0);
}

void
bg_mesh_announce_leave(struct bg_mesh *mesh)
{
	mesh->is_leaving = 1;
}

int
bg_mesh_is_synced(const struct bg_mesh *mesh)
{
	return mesh->is_synced;
}

const struct bg_emptied_set *
bg_mesh_emptied(const struct bg_mesh *mesh)
{
	return &mesh->emptied;
}

enum bg_admission
bg_mesh_admission(const struct bg_mesh *mesh)
{
	return mesh->admission;
}

void
bg_mesh_set_running_calls(
    struct bg_mesh *mesh, uint32_t (*count)(void *arg), void *arg)
{
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
	return mesh->address;
}

size_t
bg_roster_service(const struct bg_member **out, const struct bg_roster *ros,
    const char *service)
{
	size_t n = 0;
	size_t i;

	*out = ros->members;
	for (i = 0; i < ros->member_count; i++) {
		if (strcmp(ros->members[i].service, service) != 0)
			continue;
		if (n++ == 0)
			*out = &ros->members[i];
	}
	return n;
}

const struct bg_member *
bg_roster_find(const struct bg_roster *ros, const char *address)
{
	size_t i;

	for (i = 0; i < ros->member_count; i++) {
		if (strcmp(ros->members[i].address, address) == 0)
			return &ros->members[i];
	}
	return NULL;
}

#endif
