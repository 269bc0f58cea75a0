/* The node's own announcement: to peers at once, to the store for all others
 * and for those that start later. */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/log.h"

#include "mesh/internal.h"

/* Pause before a write that failed is repeated. */
#define REWRITE_MS 250

static struct bg_counter writes = BG_COUNTER(
    "burdock_mesh_announcements_total", "Own announcements written.");
static struct bg_counter refutations = BG_COUNTER(
    "burdock_mesh_refutations_total", "Own announcements that were replaced.");

static void on_written(void *arg, const struct bg_store_response *answer);

static void
publish(struct bg_mesh *mesh)
{
	struct bg_item item;

	if (bg_member_encode(&item, &mesh->me) != 0) {
		bg_log_error("mesh", "not announced reason=encoding");
		return;
	}
	bg_mesh_publish(mesh, &item);
	free((char *)item.value);
}

void
bg_mesh_self_announce(struct bg_mesh *mesh)
{
	mesh->me.seq++;
	mesh->is_announced = 1;
	mesh->is_write_due = 1;
	bg_log_info("mesh",
	    "announced state=%d server=%s version=%s seq=%" PRIu64,
	    (int)mesh->me.state, mesh->me.server_id, mesh->me.server_version,
	    mesh->me.seq);
	publish(mesh);
	bg_mesh_self_write(mesh);
}

static json_t *
build_spec(const struct bg_mesh *mesh)
{
	json_t *spec = bg_member_to_json(&mesh->me);

	if (spec == NULL)
		return NULL;
	json_object_set_new(spec, "incarnation",
	    json_integer((json_int_t)mesh->me.incarnation));
	json_object_set_new(
	    spec, "seq", json_integer((json_int_t)mesh->me.seq));
	return spec;
}

static void
retry_later(struct bg_mesh *mesh)
{
	struct timeval tv = {0,
	    (suseconds_t)(REWRITE_MS + bg_rand_below(&mesh->rand, REWRITE_MS)) *
		1000};

	event_add(mesh->write_timer, &tv);
}

static void
write_object(struct bg_mesh *mesh)
{
	struct bg_store_change change = {0};
	char name[BG_ADDRESS_BYTES];
	json_t *spec = build_spec(mesh);
	int error = BG_ENOMEM;

	bg_mesh_node_name(name, mesh->me.address);
	change.action =
	    mesh->stored_revision == 0 ? BG_STORE_CREATE : BG_STORE_REPLACE;
	change.kind = BG_KIND_NODES;
	change.name = name;
	change.expected_revision = mesh->stored_revision;
	change.value = spec;
	if (spec != NULL)
		error = bg_store_write(mesh->store, &change, on_written, mesh);
	json_decref(spec);
	mesh->is_writing = error == 0;
	if (error == 0)
		mesh->is_write_due = 0;
	else if (error != BG_ECANCELED)
		retry_later(mesh);
}

static void
finish_withdraw(struct bg_mesh *mesh)
{
	void (*done)(void *arg) = mesh->withdraw_done;

	mesh->withdraw_done = NULL;
	if (done != NULL)
		done(mesh->withdraw_arg);
}

static void
remove_object(struct bg_mesh *mesh)
{
	struct bg_store_change change = {0};
	char name[BG_ADDRESS_BYTES];

	bg_mesh_node_name(name, mesh->me.address);
	change.action = BG_STORE_REMOVE;
	change.kind = BG_KIND_NODES;
	change.name = name;
	change.expected_revision = mesh->stored_revision;
	mesh->is_writing =
	    bg_store_write(mesh->store, &change, on_written, mesh) == 0;
	if (!mesh->is_writing)
		finish_withdraw(mesh);
}

void
bg_mesh_self_write(struct bg_mesh *mesh)
{
	if (mesh->store == NULL || mesh->is_writing ||
	    mesh->nodes_follow == NULL ||
	    !bg_watcher_has_listed(mesh->nodes_follow))
		return;
	if (mesh->is_withdrawn) {
		if (mesh->stored_revision != 0)
			remove_object(mesh);
		else
			finish_withdraw(mesh);
	} else if (mesh->is_write_due)
		write_object(mesh);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	bg_mesh_self_write(arg);
}

/* After a conflict or an open outcome the object is written again on its
 * present revision; a late write of before then fails on its condition. */
static void
on_written(void *arg, const struct bg_store_response *answer)
{
	struct bg_mesh *mesh = arg;

	mesh->is_writing = 0;
	switch (answer->code) {
	case 0:
		bg_counter_add(&writes, 1);
		mesh->stored_revision =
		    mesh->is_withdrawn ? 0 : answer->revision;
		bg_mesh_self_write(mesh);
		return;
	case BG_ECANCELED:
		return;
	case BG_ECONFLICT:
		if (answer->object_count > 0)
			mesh->stored_revision = answer->objects[0].revision;
		break;
	case BG_ENOTFOUND:
		mesh->stored_revision = 0;
		/* Peers that saw the removal need a newer announcement. */
		mesh->me.seq++;
		break;
	default:
		break;
	}
	mesh->is_write_due = 1;
	bg_log_info("mesh", "announcement not stored reason=%s seq=%" PRIu64,
	    bg_error_name(answer->code), mesh->me.seq);
	if (mesh->is_withdrawn)
		finish_withdraw(mesh);
	else
		retry_later(mesh);
}

static int
is_newer_than_me(const struct bg_mesh *mesh, uint64_t incarnation, uint64_t seq)
{
	if (incarnation != mesh->me.incarnation)
		return incarnation > mesh->me.incarnation;
	return seq > mesh->me.seq;
}

/* The wall clock may have gone back since the process that ran here before
 * chose its incarnation. */
static void
raise_incarnation(struct bg_mesh *mesh, uint64_t known)
{
	bg_counter_add(&refutations, 1);
	bg_log_warn("mesh", "incarnation raised known=%" PRIu64 " own=%" PRIu64,
	    known, mesh->me.incarnation);
	mesh->me.incarnation = known + 1;
	if (mesh->is_announced && !mesh->is_withdrawn)
		bg_mesh_self_announce(mesh);
}

void
bg_mesh_self_stored(
    struct bg_mesh *mesh, uint64_t revision, const struct bg_member *member)
{
	if (revision != 0 && revision < mesh->stored_revision)
		return;
	mesh->stored_revision = revision;
	if (revision == 0) {
		/* Peers that saw the removal need a newer announcement. */
		if (mesh->is_announced && !mesh->is_withdrawn)
			bg_mesh_self_announce(mesh);
	} else if (is_newer_than_me(mesh, member->incarnation, member->seq))
		raise_incarnation(mesh, member->incarnation);
}

void
bg_mesh_self_refute(struct bg_mesh *mesh)
{
	struct bg_item item;

	if (bg_table_get(
		&item, mesh->table, BG_ITEM_MEMBER, mesh->me.address) == 0 &&
	    is_newer_than_me(mesh, item.major, item.minor))
		raise_incarnation(mesh, item.major);
}

void
bg_mesh_announce_server(
    struct bg_mesh *mesh, const struct bg_server_notice *notice)
{
	struct bg_member *me = &mesh->me;

	if (me->state == BG_MEMBER_LEAVING ||
	    (me->state == notice->state && me->slots == notice->slots &&
		strcmp(me->server_id, notice->server_id) == 0 &&
		strcmp(me->server_version, notice->server_version) == 0))
		return;
	if (strcmp(me->server_id, notice->server_id) != 0)
		me->verdict = BG_VERDICT_NONE;
	me->state = notice->state;
	me->slots = notice->slots;
	snprintf(me->server_id, sizeof(me->server_id), "%s", notice->server_id);
	snprintf(me->server_version, sizeof(me->server_version), "%s",
	    notice->server_version);
	bg_mesh_self_announce(mesh);
}

void
bg_mesh_announce_verdict(
    struct bg_mesh *mesh, enum bg_verdict verdict, uint64_t generation)
{
	struct bg_member *me = &mesh->me;

	if (me->verdict == verdict && me->verdict_generation == generation)
		return;
	me->verdict = verdict;
	me->verdict_generation = generation;
	if (mesh->is_announced)
		bg_mesh_self_announce(mesh);
}

void
bg_mesh_announce_leave(struct bg_mesh *mesh)
{
	if (mesh->me.state == BG_MEMBER_LEAVING)
		return;
	mesh->me.state = BG_MEMBER_LEAVING;
	if (mesh->is_announced)
		bg_mesh_self_announce(mesh);
}

void
bg_mesh_withdraw(struct bg_mesh *mesh, void (*done)(void *arg), void *arg)
{
	mesh->is_withdrawn = 1;
	mesh->withdraw_done = done;
	mesh->withdraw_arg = arg;
	if (mesh->is_writing)
		return;
	if (mesh->store == NULL || mesh->nodes_follow == NULL ||
	    !bg_watcher_has_listed(mesh->nodes_follow) ||
	    mesh->stored_revision == 0)
		finish_withdraw(mesh);
	else
		remove_object(mesh);
}

int
bg_mesh_self_init(struct bg_mesh *mesh)
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
	/* A process that replaces another one at the same address starts
	 * above it unless the wall clock went back. */
	me->incarnation = bg_clock_wall_ms();
	me->state = BG_MEMBER_STARTING;
	mesh->write_timer = evtimer_new(mesh->base, on_timer, mesh);
	return mesh->write_timer == NULL ? BG_ENOMEM : 0;
}

void
bg_mesh_self_free(struct bg_mesh *mesh)
{
	if (mesh->write_timer != NULL)
		event_free(mesh->write_timer);
}
