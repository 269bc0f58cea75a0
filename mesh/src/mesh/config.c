/* The configuration in force, read from the store, or from a peer while the
 * store is unreachable. An older version is never installed. */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/log.h"

#include "mesh/internal.h"

/* Pause before the next watch, so that versions in quick succession cost one
 * read. Short compared to the time within which a version must be in force. */
#define COALESCE_MS 200

static struct bg_counter refused_snapshots = BG_COUNTER(
    "burdock_mesh_refused_snapshots_total", "Versions that did not validate.");
static struct bg_counter held_version =
    BG_GAUGE("burdock_config_version", "Version of the snapshot in force.");
static struct bg_counter installs =
    BG_COUNTER("burdock_config_installs_total", "Versions put in force.");

static void
notify_snapshot(struct bg_mesh *mesh)
{
	size_t i;

	for (i = 0; i < mesh->listener_count; i++) {
		if (mesh->listeners[i].snapshot != NULL)
			mesh->listeners[i].snapshot(
			    mesh->listeners[i].arg, mesh->snapshot);
	}
}

uint64_t
bg_mesh_config_version(const struct bg_mesh *mesh)
{
	return mesh->snapshot == NULL ? 0 : mesh->snapshot->version;
}

/* 1 if the version of a document is known and not newer than the one in force.
 * The same document comes from the watches and from peers, and a large one
 * takes long to decode. */
static int
is_known(const struct bg_mesh *mesh, const json_t *doc)
{
	uint64_t version;

	if (mesh->config->version == NULL || mesh->snapshot == NULL)
		return 0;
	version = mesh->config->version(mesh->config, doc);
	return version != 0 && version <= mesh->snapshot->version;
}

/* Where a document comes from. */
struct origin {
	const char *from;  /* "store" or "peer" */
	const char *read;  /* kind of the read of the store, or "none" */
	uint64_t revision; /* of the object in the store; 0: not known */
};

static const struct origin peer_origin = {"peer", "none", 0};

/* Decodes a document and installs it if it is newer than the version in force.
 * Returns 1 if it was installed. */
static int
install(struct bg_mesh *mesh, const json_t *doc, const struct origin *origin)
{
	struct bg_snapshot *snap;
	struct bg_error err = {0};

	if (is_known(mesh, doc))
		return 0;
	if (mesh->config->decode(mesh->config, &snap, doc, &err) != 0) {
		bg_counter_add(&refused_snapshots, 1);
		bg_log_error("config",
		    "refused from=%s reason=\"%s\" in_force=%" PRIu64,
		    origin->from, err.message, bg_mesh_config_version(mesh));
		mesh->refused_version = mesh->config->version == NULL
		    ? 0
		    : mesh->config->version(mesh->config, doc);
		snprintf(mesh->refused_reason, sizeof(mesh->refused_reason),
		    "%.*s", (int)sizeof(mesh->refused_reason) - 1, err.message);
		return 0;
	}
	if (snap->version <= bg_mesh_config_version(mesh)) {
		bg_snapshot_release(snap);
		return 0;
	}
	bg_log_info("config",
	    "in force version=%" PRIu64 " before=%" PRIu64
	    " from=%s routes=%zu read=%s revision=%" PRIu64,
	    snap->version, bg_mesh_config_version(mesh), origin->from,
	    snap->rule_count, origin->read, origin->revision);
	bg_snapshot_release(mesh->snapshot);
	mesh->snapshot = snap;
	mesh->installed_ms = bg_clock_now_ms();
	mesh->refused_reason[0] = '\0';
	mesh->refused_version = 0;
	bg_counter_add(&installs, 1);
	bg_counter_set(&held_version, (int64_t)snap->version);
	notify_snapshot(mesh);
	return 1;
}

/* Adds the document to the table, from which peers get it. */
static void
add_document_item(struct bg_mesh *mesh, const json_t *doc)
{
	struct bg_item item = {0};
	char *text = json_dumps(doc, JSON_COMPACT);

	if (text == NULL) {
		bg_log_error(
		    "config", "document not available to peers reason=memory");
		return;
	}
	item.kind = BG_ITEM_CONFIG;
	item.key = BG_CONFIG_KEY;
	item.major = mesh->snapshot->version;
	item.value = text;
	item.value_bytes = (uint32_t)strlen(text);
	if (bg_mesh_merge(mesh, &item) != 0)
		bg_log_error("config",
		    "document not available to peers bytes=%u",
		    item.value_bytes);
	free(text);
}

void
bg_mesh_config_handle_item(struct bg_mesh *mesh, const struct bg_item *item)
{
	json_t *doc;

	if (item->major <= bg_mesh_config_version(mesh))
		return;
	doc = json_loadb(item->value, item->value_bytes, 0, NULL);
	if (doc == NULL) {
		bg_log_error("config", "refused from=peer reason=json");
		return;
	}
	install(mesh, doc, &peer_origin);
	json_decref(doc);
}

/* The watch of this node says that it has reported all changes up to a
 * revision. A newer version below it was left out by the store's answers. */
static void
warn_if_missed(struct bg_mesh *mesh, const struct origin *origin)
{
	uint64_t passed;

	if (mesh->config_watcher == NULL)
		return;
	passed = bg_watcher_passed_revision(mesh->config_watcher);
	if (origin->revision <= passed)
		bg_log_warn("config",
		    "change was not reported by the watch version=%" PRIu64
		    " revision=%" PRIu64 " watch_at=%" PRIu64 " read=%s",
		    bg_mesh_config_version(mesh), origin->revision, passed,
		    origin->read);
}

void
bg_mesh_config_handle_object(struct bg_mesh *mesh,
    const struct bg_store_object *obj, const struct bg_watcher *source)
{
	struct origin origin;

	if (strcmp(obj->name, mesh->config->name) != 0)
		return;
	if (obj->is_deleted || obj->spec == NULL) {
		bg_log_warn("config", "object deleted, version stays in force");
		return;
	}
	origin.from = "store";
	origin.read = bg_watcher_read_name(source);
	origin.revision = obj->revision;
	if (!install(mesh, obj->spec, &origin))
		return;
	warn_if_missed(mesh, &origin);
	add_document_item(mesh, obj->spec);
}

static void
on_object(void *arg, const struct bg_store_object *obj)
{
	struct bg_mesh *mesh = arg;

	bg_mesh_config_handle_object(mesh, obj, mesh->config_watcher);
}

static void
on_listed(void *arg)
{
}

int
bg_mesh_config_init(struct bg_mesh *mesh)
{
	struct bg_watcher_options opts = {0};

	opts.base = mesh->base;
	opts.store = mesh->store;
	opts.kind = mesh->config->kind;
	opts.coalesce_ms = COALESCE_MS;
	opts.handler.object = on_object;
	opts.handler.list_end = on_listed;
	opts.handler.arg = mesh;
	return bg_watcher_init(&mesh->config_watcher, &opts);
}

void
bg_mesh_config_free(struct bg_mesh *mesh)
{
	bg_watcher_free(mesh->config_watcher);
	bg_snapshot_release(mesh->snapshot);
}

int
bg_mesh_is_synced(const struct bg_mesh *mesh)
{
	if (mesh->snapshot == NULL)
		return 0;
	/* A peer's version may be older than the one that the previous process
	 * of this node had in force, so a reachable store is read first. */
	return mesh->config_watcher == NULL ||
	    bg_watcher_has_listed(mesh->config_watcher) ||
	    !bg_watcher_is_reachable(mesh->config_watcher);
}

struct bg_snapshot *
bg_mesh_snapshot(const struct bg_mesh *mesh)
{
	return mesh->snapshot;
}
