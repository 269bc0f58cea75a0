/* Announcements of this node. Each is pushed to some peers immediately. It is
 * also written to the store, for nodes that do not get it from a peer: those
 * that start later, and all nodes as long as no peer knows this one. */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/log.h"

#include "mesh/internal.h"

/* Minimum delay before a failed write is repeated; a random time of up to the
 * same length is added. At most 500, since schedule_retry() passes the sum in
 * tv_usec, which must be less than 1 s. */
#define WRITE_RETRY_MS 250

static struct bg_counter writes = BG_COUNTER(
    "burdock_mesh_announcements_total", "Own announcements written.");
/* Announcements by an earlier process at this address that were found in the
 * store or at peers and replaced by one with a higher incarnation. */
static struct bg_counter refutations = BG_COUNTER(
    "burdock_mesh_refutations_total", "Own announcements that were replaced.");

static void on_written(void *arg, const struct bg_store_response *answer);

static void
publish(struct bg_mesh *mesh, enum bg_push push)
{
	uint64_t cursor = bg_table_cursor(mesh->table);
	struct bg_item item;

	if (bg_member_encode(&item, &mesh->self) != 0) {
		bg_log_error("mesh", "not announced reason=encoding");
		return;
	}
	if (bg_mesh_merge(mesh, &item) == 0)
		bg_gossip_push(mesh->gossip, cursor, mesh->self.seq, push);
	free((char *)item.value);
}

void
bg_mesh_self_announce(struct bg_mesh *mesh)
{
	mesh->self.seq++;
	mesh->is_announced = 1;
	mesh->is_write_due = 1;
	bg_log_info("mesh",
	    "announced state=%d server=%s version=%s seq=%" PRIu64,
	    (int)mesh->self.state, mesh->self.server_id,
	    mesh->self.server_version, mesh->self.seq);
	publish(mesh, BG_PUSH_STORED);
	bg_mesh_self_update_store(mesh);
}

void
bg_mesh_self_spread(struct bg_mesh *mesh)
{
	if (!mesh->is_announced || mesh->is_withdrawn ||
	    mesh->spread_seq == mesh->self.seq)
		return;
	/* Peers forward only what is new to them. */
	mesh->self.seq++;
	mesh->spread_seq = mesh->self.seq;
	mesh->is_write_due = 1;
	publish(mesh, BG_PUSH_FORWARD);
}

static json_t *
build_spec(const struct bg_mesh *mesh)
{
	json_t *spec = bg_member_to_json(&mesh->self);

	if (spec == NULL)
		return NULL;
	json_object_set_new(spec, "incarnation",
	    json_integer((json_int_t)mesh->self.incarnation));
	json_object_set_new(
	    spec, "seq", json_integer((json_int_t)mesh->self.seq));
	return spec;
}

static void
schedule_retry(struct bg_mesh *mesh)
{
	struct timeval tv = {0,
	    (suseconds_t)(WRITE_RETRY_MS +
		bg_rand_below(&mesh->rand, WRITE_RETRY_MS)) *
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

	bg_mesh_node_name(name, mesh->self.address);
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
	mesh->writing_seq = mesh->self.seq;
	if (error == 0)
		mesh->is_write_due = 0;
	else if (error != BG_ECANCELED) {
		bg_mesh_self_spread(mesh);
		schedule_retry(mesh);
	}
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

	bg_mesh_node_name(name, mesh->self.address);
	change.action = BG_STORE_REMOVE;
	change.kind = BG_KIND_NODES;
	change.name = name;
	change.expected_revision = mesh->stored_revision;
	mesh->is_writing =
	    bg_store_write(mesh->store, &change, on_written, mesh) == 0;
	if (!mesh->is_writing)
		finish_withdraw(mesh);
}

/* After bg_mesh_withdraw(), removes the object, or finishes the withdrawal if
 * there is none; otherwise writes the object if it is outdated. */
void
bg_mesh_self_update_store(struct bg_mesh *mesh)
{
	if (mesh->store == NULL || mesh->is_writing ||
	    mesh->nodes_watcher == NULL ||
	    !bg_watcher_has_listed(mesh->nodes_watcher))
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
on_retry(evutil_socket_t fd, short what, void *arg)
{
	bg_mesh_self_update_store(arg);
}

/* After an error, the write is repeated on the condition that the object still
 * has the last known revision. If the outcome is unknown, the first write may
 * still take effect, before or after the repeated one. Unless the watch reports
 * the new revision in between, whichever comes second fails its condition; if
 * that is the repeated one, it ends with BG_ECONFLICT and is written again on
 * the revision in the answer. After bg_mesh_withdraw(), no repetition is
 * scheduled and the withdrawal ends. */
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
		mesh->stored_seq = mesh->writing_seq;
		bg_mesh_durable_update(mesh);
		bg_mesh_self_update_store(mesh);
		return;
	case BG_ECANCELED:
		return;
	case BG_ECONFLICT:
		if (answer->object_count > 0)
			mesh->stored_revision = answer->objects[0].revision;
		break;
	case BG_ENOTFOUND:
		mesh->stored_revision = 0;
		/* Peers that processed the removal accept only a newer
		 * announcement. */
		mesh->self.seq++;
		break;
	default:
		bg_mesh_self_spread(mesh);
		break;
	}
	mesh->is_write_due = 1;
	bg_log_info("mesh", "announcement not stored reason=%s seq=%" PRIu64,
	    bg_error_name(answer->code), mesh->self.seq);
	if (mesh->is_withdrawn)
		finish_withdraw(mesh);
	else
		schedule_retry(mesh);
}

static int
is_newer_than_self(
    const struct bg_mesh *mesh, uint64_t incarnation, uint64_t seq)
{
	if (incarnation != mesh->self.incarnation)
		return incarnation > mesh->self.incarnation;
	return seq > mesh->self.seq;
}

/* Replaces a newer announcement that an earlier process at this address made.
 * There is one if the wall clock was set back after that process chose its
 * incarnation: it is higher than that of this process, or equal with a higher
 * seq. */
static void
raise_incarnation(struct bg_mesh *mesh, uint64_t known)
{
	bg_counter_add(&refutations, 1);
	bg_log_warn("mesh", "incarnation raised known=%" PRIu64 " own=%" PRIu64,
	    known, mesh->self.incarnation);
	mesh->self.incarnation = known + 1;
	if (mesh->is_announced && !mesh->is_withdrawn)
		bg_mesh_self_announce(mesh);
}

/* The response to a write may be lost; the object shows that it was made. */
static void
update_stored_seq(struct bg_mesh *mesh, const struct bg_member *member)
{
	if (member->incarnation != mesh->self.incarnation ||
	    member->seq <= mesh->stored_seq)
		return;
	mesh->stored_seq = member->seq;
	bg_mesh_durable_update(mesh);
}

void
bg_mesh_self_handle_stored(
    struct bg_mesh *mesh, uint64_t revision, const struct bg_member *member)
{
	if (revision != 0 && revision < mesh->stored_revision)
		return;
	mesh->stored_revision = revision;
	if (member == NULL) {
		/* Peers that processed the removal accept only a newer
		 * announcement. */
		if (mesh->is_announced && !mesh->is_withdrawn)
			bg_mesh_self_announce(mesh);
		return;
	}
	bg_mesh_recovery_handle_member(mesh, member);
	update_stored_seq(mesh, member);
	if (is_newer_than_self(mesh, member->incarnation, member->seq))
		raise_incarnation(mesh, member->incarnation);
}

void
bg_mesh_self_refute(struct bg_mesh *mesh)
{
	struct bg_item item;

	if (bg_table_get(
		&item, mesh->table, BG_ITEM_MEMBER, mesh->self.address) == 0 &&
	    is_newer_than_self(mesh, item.major, item.minor))
		raise_incarnation(mesh, item.major);
}

static int
is_announced_lifetime(
    const struct bg_member *self, const struct bg_server_announcement *ann)
{
	return strcmp(self->server_id, ann->server_id) == 0 &&
	    self->server_started_ms == ann->server_started_ms;
}

static void
set_server(struct bg_member *self, const struct bg_server_announcement *ann)
{
	/* A verdict holds for the server that was judged, not for the one that
	 * replaced it. Readers ignore verdict_generation without a verdict, so
	 * it is kept. */
	if (strcmp(self->server_id, ann->server_id) != 0)
		self->verdict = BG_VERDICT_NONE;
	if (!is_announced_lifetime(self, ann))
		self->server_has_left = 0;
	if (ann->state == BG_MEMBER_DRAINING)
		self->server_has_left = 1;
	self->slots = ann->slots;
	self->server_started_ms = ann->server_started_ms;
	snprintf(
	    self->server_id, sizeof(self->server_id), "%s", ann->server_id);
	snprintf(self->server_version, sizeof(self->server_version), "%s",
	    ann->server_version);
}

void
bg_mesh_announce_server(
    struct bg_mesh *mesh, const struct bg_server_announcement *ann)
{
	struct bg_member *self = &mesh->self;
	int is_same = is_announced_lifetime(self, ann);

	if (self->state == BG_MEMBER_LEAVING) {
		if (ann->state != BG_MEMBER_DRAINING ||
		    (is_same && self->server_has_left))
			return;
		set_server(self, ann);
		bg_mesh_self_announce(mesh);
		return;
	}
	if (self->state == ann->state && self->slots == ann->slots && is_same &&
	    strcmp(self->server_version, ann->server_version) == 0)
		return;
	set_server(self, ann);
	self->state = ann->state;
	bg_mesh_self_announce(mesh);
}

void
bg_mesh_announce_verdict(struct bg_mesh *mesh, enum bg_verdict verdict,
    uint64_t generation, uint32_t step)
{
	struct bg_member *self = &mesh->self;

	if (self->verdict == verdict &&
	    self->verdict_generation == generation &&
	    (self->verdict_step == step || verdict == BG_VERDICT_BAD))
		return;
	self->verdict = verdict;
	self->verdict_generation = generation;
	self->verdict_step = step;
	if (mesh->is_announced)
		bg_mesh_self_announce(mesh);
}

void
bg_mesh_announce_leave(struct bg_mesh *mesh)
{
	if (mesh->self.state == BG_MEMBER_LEAVING)
		return;
	mesh->self.state = BG_MEMBER_LEAVING;
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
	if (mesh->store == NULL || mesh->nodes_watcher == NULL ||
	    !bg_watcher_has_listed(mesh->nodes_watcher) ||
	    mesh->stored_revision == 0)
		finish_withdraw(mesh);
	else
		remove_object(mesh);
}

int
bg_mesh_self_init(struct bg_mesh *mesh)
{
	const struct bg_settings *set = mesh->settings;
	struct bg_member *self = &mesh->self;

	if (set->node.advertise[0] != '\0')
		snprintf(self->address, sizeof(self->address), "%.*s",
		    (int)sizeof(self->address) - 1, set->node.advertise);
	else
		/* An IPv4 address has at most 15 characters. The limit of 48
		 * leaves room for ':' and the port. */
		snprintf(self->address, sizeof(self->address), "%.48s:%u",
		    set->node.address, bg_link_server_port(mesh->server));
	snprintf(self->data_centre, sizeof(self->data_centre), "%.*s",
	    BG_NAME_BYTES - 1, set->node.data_centre);
	snprintf(self->region, sizeof(self->region), "%.*s", BG_NAME_BYTES - 1,
	    set->node.region);
	snprintf(self->service, sizeof(self->service), "%.*s",
	    BG_NAME_BYTES - 1, set->server.service);
	/* Higher than that of an earlier process at the same address, unless
	 * the wall clock was set back. */
	self->incarnation = bg_clock_wall_ms();
	self->state = BG_MEMBER_STARTING;
	mesh->write_timer = evtimer_new(mesh->base, on_retry, mesh);
	return mesh->write_timer == NULL ? BG_ENOMEM : 0;
}

void
bg_mesh_self_free(struct bg_mesh *mesh)
{
	if (mesh->write_timer != NULL)
		event_free(mesh->write_timer);
}
