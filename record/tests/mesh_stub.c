#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/error.h"

#include "mesh_stub.h"

#define OBJECTS 8
#define ITEMS 512

struct bg_mesh {
	struct bg_mesh_listener listener;
	char address[BG_ADDRESS_BYTES];
	uint64_t incarnation;
	int is_relay;
	int is_stopped;
	int is_cut;
};

struct object {
	char key[BG_KEY_BYTES];
	char *body;
	uint64_t version;
};

struct delivery {
	struct bg_item item;
	size_t to;
};

struct answer {
	struct bg_platform_answer answer;
	bg_platform_fn fn;
	void *arg;
};

static struct event_base *base;
static struct bg_mesh nodes[STUB_NODES];
static size_t node_count;
static struct bg_member members[STUB_NODES];
static struct bg_roster roster;
static struct object objects[OBJECTS];
static uint64_t revision;
static uint64_t writes;
static int lose_answers;
static int is_down;

void
stub_reset(struct event_base *b)
{
	size_t i;

	base = b;
	node_count = 0;
	memset(&roster, 0, sizeof(roster));
	roster.members = members;
	for (i = 0; i < OBJECTS; i++)
		free(objects[i].body);
	memset(objects, 0, sizeof(objects));
	memset(nodes, 0, sizeof(nodes));
	revision = 0;
	writes = 0;
	lose_answers = 0;
	is_down = 0;
}

static void
tell_roster(void)
{
	size_t i;

	roster.generation++;
	for (i = 0; i < node_count; i++) {
		if (!nodes[i].is_stopped && nodes[i].listener.roster != NULL)
			nodes[i].listener.roster(
			    nodes[i].listener.arg, &roster);
	}
}

struct bg_mesh *
stub_mesh_add(
    const char *address, const char *data_centre, uint64_t incarnation)
{
	struct bg_mesh *mesh = &nodes[node_count];
	struct bg_member *mem = &members[node_count];

	node_count++;
	memset(mesh, 0, sizeof(*mesh));
	memset(mem, 0, sizeof(*mem));
	snprintf(mesh->address, sizeof(mesh->address), "%s", address);
	mesh->incarnation = incarnation;
	snprintf(mem->address, sizeof(mem->address), "%s", address);
	snprintf(mem->data_centre, sizeof(mem->data_centre), "%s", data_centre);
	mem->incarnation = incarnation;
	mem->state = BG_MEMBER_READY;
	roster.member_count = node_count;
	tell_roster();
	return mesh;
}

void
stub_mesh_stop(struct bg_mesh *mesh)
{
	mesh->is_stopped = 1;
	mesh->is_relay = 0;
}

void
stub_mesh_set_relay(struct bg_mesh *mesh, int is_relay)
{
	mesh->is_relay = is_relay;
}

void
stub_mesh_cut(struct bg_mesh *mesh, int is_cut)
{
	mesh->is_cut = is_cut;
}

static struct bg_member *
find(const char *address)
{
	size_t i;

	for (i = 0; i < node_count; i++) {
		if (strcmp(members[i].address, address) == 0)
			return &members[i];
	}
	return NULL;
}

void
stub_member_dead(const char *address)
{
	find(address)->is_dead = 1;
	tell_roster();
}

void
stub_member_state(const char *address, enum bg_member_state state)
{
	find(address)->state = state;
	tell_roster();
}

void
stub_platform_lose_answers(int count)
{
	lose_answers = count;
}

void
stub_platform_outage(int down)
{
	is_down = down;
}

uint64_t
stub_platform_writes(void)
{
	return writes;
}

static void
deliver_item(evutil_socket_t fd, short what, void *arg)
{
	struct delivery *d = arg;
	struct bg_mesh *mesh = &nodes[d->to];

	if (!mesh->is_stopped && !mesh->is_cut && mesh->listener.item != NULL)
		mesh->listener.item(mesh->listener.arg, &d->item);
	free((void *)(uintptr_t)d->item.key);
	free((void *)(uintptr_t)d->item.value);
	free(d);
}

int
bg_mesh_publish(struct bg_mesh *mesh, const struct bg_item *item)
{
	static const struct timeval now = {0, 0};
	struct delivery *d;
	size_t i;

	for (i = 0; i < node_count; i++) {
		d = calloc(1, sizeof(*d));
		d->item = *item;
		d->item.key = strdup(item->key);
		d->item.value = strndup(item->value, item->value_bytes);
		d->to = i;
		event_base_once(base, -1, EV_TIMEOUT, deliver_item, d, &now);
	}
	return 0;
}

int
bg_mesh_listen(struct bg_mesh *mesh, const struct bg_mesh_listener *listener)
{
	mesh->listener = *listener;
	return 0;
}

const struct bg_table *
bg_mesh_table(const struct bg_mesh *mesh)
{
	return NULL;
}

int
bg_table_each(const struct bg_table *tbl, uint32_t kind,
    int (*fn)(void *arg, const struct bg_item *item), void *arg)
{
	return 0;
}

const struct bg_roster *
bg_mesh_roster(const struct bg_mesh *mesh)
{
	return &roster;
}

const struct bg_member *
bg_roster_find(const struct bg_roster *ros, const char *address)
{
	return find(address);
}

const char *
bg_mesh_address(const struct bg_mesh *mesh)
{
	return mesh->address;
}

uint64_t
bg_mesh_incarnation(const struct bg_mesh *mesh)
{
	return mesh->incarnation;
}

int
bg_mesh_is_relay(const struct bg_mesh *mesh)
{
	return mesh->is_relay;
}

static void
deliver_answer(evutil_socket_t fd, short what, void *arg)
{
	struct answer *a = arg;

	a->fn(a->arg, &a->answer);
	free((void *)(uintptr_t)a->answer.body);
	free(a);
}

static struct answer *
new_answer(bg_platform_fn fn, void *arg)
{
	static const struct timeval now = {0, 0};
	struct answer *a = calloc(1, sizeof(*a));

	a->fn = fn;
	a->arg = arg;
	event_base_once(base, -1, EV_TIMEOUT, deliver_answer, a, &now);
	return a;
}

static struct object *
find_object(const char *key)
{
	size_t i;

	for (i = 0; i < OBJECTS - 1; i++) {
		if (objects[i].version == 0 || strcmp(objects[i].key, key) == 0)
			break;
	}
	return &objects[i];
}

/* The same characters as in the client of the platform. */
static int
is_valid_key(const char *key)
{
	return key[strspn(key,
		   "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
		   "0123456789-._~:/")] == '\0';
}

int
bg_platform_get(
    struct bg_platform *plt, const char *key, bg_platform_fn fn, void *arg)
{
	const struct object *obj = find_object(key);
	struct answer *a;

	if (!is_valid_key(key))
		return BG_EINVAL;
	a = new_answer(fn, arg);

	if (is_down)
		a->answer.code = BG_EUNAVAILABLE;
	else if (obj->version == 0)
		a->answer.code = BG_ENOTFOUND;
	else {
		a->answer.object_version = obj->version;
		a->answer.body = strdup(obj->body);
		a->answer.body_bytes = strlen(obj->body);
	}
	return 0;
}

int
bg_platform_put(struct bg_platform *plt, const char *key,
    uint64_t expected_version, const char *body, size_t body_bytes,
    bg_platform_fn fn, void *arg)
{
	struct object *obj = find_object(key);
	struct answer *a;

	if (!is_valid_key(key))
		return BG_EINVAL;
	a = new_answer(fn, arg);
	if (is_down) {
		a->answer.code = BG_EUNAVAILABLE;
		return 0;
	}
	if (obj->version != expected_version) {
		a->answer.code = BG_ECONFLICT;
		return 0;
	}
	snprintf(obj->key, sizeof(obj->key), "%s", key);
	free(obj->body);
	obj->body = strndup(body, body_bytes);
	obj->version = ++revision;
	writes++;
	a->answer.object_version = obj->version;
	if (lose_answers > 0) {
		lose_answers--;
		a->answer.code = BG_ETIMEOUT;
		a->answer.is_outcome_unknown = 1;
	}
	return 0;
}
