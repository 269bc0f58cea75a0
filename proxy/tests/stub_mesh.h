#ifndef BG_TEST_STUB_MESH_H
#define BG_TEST_STUB_MESH_H

/* A mesh and records without a network: the test sets roster, snapshot and
 * the answers of the records. */

#include <stdlib.h>
#include <string.h>

#include "burdockgrade/mesh.h"
#include "burdockgrade/record.h"

struct bg_mesh {
	struct bg_roster roster;
	struct bg_snapshot *snapshot;
	struct bg_mesh_listener listener;
	char address[BG_ADDRESS_BYTES];
	char version[BG_NAME_BYTES];
	enum bg_member_state state;
	enum bg_member_state history[16];
	int history_count;
	int is_announced;
	int is_synced;
};

struct bg_records {
	enum bg_xbegin_status status;
	const struct bg_xanswer *answer;
	int begins;
	int finishes;
	enum bg_xoutcome last_outcome;
	uint32_t last_http_status;
	char last_key[256];
	/* A begin that the test answers later. */
	int is_held;
	bg_begin_fn held_fn;
	void *held_arg;
};

int
bg_mesh_listen(struct bg_mesh *mesh, const struct bg_mesh_listener *listener)
{
	mesh->listener = *listener;
	return 0;
}

void
bg_mesh_set_state(struct bg_mesh *mesh, enum bg_member_state state)
{
	mesh->state = state;
	if (mesh->history_count < 16)
		mesh->history[mesh->history_count++] = state;
}

void
bg_mesh_set_server_version(struct bg_mesh *mesh, const char *version)
{
	snprintf(mesh->version, sizeof(mesh->version), "%s", version);
}

int
bg_mesh_is_announced(const struct bg_mesh *mesh)
{
	return mesh->is_announced;
}

int
bg_mesh_is_synced(const struct bg_mesh *mesh)
{
	return mesh->is_synced;
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

int
bg_records_begin(struct bg_records *rcs, const char *key,
    uint64_t request_digest, uint32_t wait_ms, bg_begin_fn fn, void *arg)
{
	struct bg_begin_result res;

	rcs->begins++;
	snprintf(rcs->last_key, sizeof(rcs->last_key), "%s", key);
	if (rcs->is_held) {
		rcs->held_fn = fn;
		rcs->held_arg = arg;
		return 0;
	}
	memset(&res, 0, sizeof(res));
	res.status = rcs->status;
	res.grant = 77;
	res.answer = rcs->answer;
	fn(arg, &res);
	return 0;
}

int
bg_records_finish(struct bg_records *rcs, const char *key, uint64_t grant,
    enum bg_xoutcome outcome, const struct bg_xanswer *answer)
{
	rcs->finishes++;
	rcs->last_outcome = outcome;
	rcs->last_http_status = answer == NULL ? 0 : answer->http_status;
	return grant == 77 ? 0 : BG_EINVAL;
}

#endif
