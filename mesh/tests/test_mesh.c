/* Several nodes on one event loop share a memory store. A test can disconnect
 * each node from it. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/document.h"
#include "burdockgrade/mesh.h"

#include "mesh/internal.h"

#include "memory_store.h"
#include "suite.h"

#define NODES 4
#define CONFIG_KIND "burdock-config"
#define NODES_KIND "burdock-nodes"
/* Start of the backend servers, wall clock. */
#define STARTED_MS 1700000000000
/* Time limit of each wait; far above every interval of the mesh. */
#define WAIT_MS 20000

/* One node's connection to the shared store. */
struct store_view {
	struct bg_store store; /* first member: the vtable */
	int is_disconnected;
	int calls;
	int exact_reads;
};

struct node {
	struct store_view view;
	struct bg_settings settings;
	struct bg_link_server *server;
	struct bg_link_pool *links;
	struct bg_mesh *mesh;
	uint16_t port;
	int installs;
	uint64_t last_version;
	int recoveries;
	struct bg_member earlier; /* of the last recovery; empty if none */
};

static struct event_base *base;
static struct memory_store mem;
static struct node nodes[NODES];
/* Nodes have backend servers: they announce nothing before announce(). */
static int has_servers;

static int
view_read(struct bg_store *store, const struct bg_store_query *query,
    bg_store_fn fn, void *arg)
{
	struct store_view *view = (struct store_view *)store;

	view->calls++;
	view->exact_reads += !query->may_be_stale;
	if (view->is_disconnected)
		return BG_EUNAVAILABLE;
	return bg_store_read(&mem.store, query, fn, arg);
}

static int
view_write(struct bg_store *store, const struct bg_store_change *change,
    bg_store_fn fn, void *arg)
{
	struct store_view *view = (struct store_view *)store;

	view->calls++;
	if (view->is_disconnected)
		return BG_EUNAVAILABLE;
	return bg_store_write(&mem.store, change, fn, arg);
}

static void
view_free(struct bg_store *store)
{
}

static int
decode(struct bg_config_source *src, struct bg_snapshot **out,
    const json_t *doc, struct bg_error *err)
{
	struct bg_snapshot_draft draft = {0};

	*out = NULL;
	if (!json_is_integer(json_object_get(doc, "version")))
		return bg_error_set(
		    err, BG_EPROTO, "decode", NULL, "expected a version");
	if (json_object_get(doc, "broken") != NULL)
		return bg_error_set(
		    err, BG_EINVAL, "decode", NULL, "service missing");
	draft.version =
	    (uint64_t)json_integer_value(json_object_get(doc, "version"));
	return bg_snapshot_assemble(out, &draft, err);
}

static uint64_t
version_of(struct bg_config_source *src, const json_t *doc)
{
	return (uint64_t)json_integer_value(json_object_get(doc, "version"));
}

static struct bg_config_source source = {
    CONFIG_KIND, "main", decode, version_of};

static void
on_snapshot(void *arg, struct bg_snapshot *snap)
{
	struct node *node = arg;

	/* The version must not decrease during the life of a process. */
	ck_assert_uint_gt(snap->version, node->last_version);
	node->last_version = snap->version;
	node->installs++;
}

static void
on_recovered(void *arg, const struct bg_member *earlier)
{
	struct node *node = arg;

	node->recoveries++;
	memset(&node->earlier, 0, sizeof(node->earlier));
	if (earlier != NULL)
		node->earlier = *earlier;
}

/* Nodes 0 and 1 are in one data centre, 2 and 3 in another. */
static void
node_start(size_t i)
{
	struct bg_mesh_options opts = BG_MESH_OPTIONS_INIT;
	struct bg_mesh_listener listener = {
	    on_snapshot, NULL, NULL, on_recovered, NULL, &nodes[i]};
	struct bg_link_options link = BG_LINK_OPTIONS_INIT;
	struct node *node = &nodes[i];
	char address[BG_ADDRESS_BYTES];

	snprintf(address, sizeof(address), "127.0.0.1:%u", node->port);
	ck_assert_int_eq(
	    bg_link_server_init(&node->server, base, address, NULL), 0);
	node->port = bg_link_server_port(node->server);
	bg_settings_init(&node->settings);
	snprintf(
	    node->settings.node.data_centre, BG_SETTING_BYTES, "dc%zu", i / 2);
	snprintf(node->settings.node.advertise, BG_SETTING_BYTES,
	    "127.0.0.1:%u", node->port);
	snprintf(node->settings.server.service, BG_SETTING_BYTES, "atelier");
	if (has_servers)
		snprintf(node->settings.server.address, BG_SETTING_BYTES,
		    "127.0.0.1:1");
	ck_assert_int_eq(bg_link_pool_init(&node->links, base, &link), 0);
	node->view.store.read = view_read;
	node->view.store.write = view_write;
	node->view.store.free = view_free;
	node->view.store.peer = "memory";
	node->installs = 0;
	node->last_version = 0;
	node->recoveries = 0;
	opts.base = base;
	opts.settings = &node->settings;
	opts.store = &node->view.store;
	opts.config = &source;
	opts.server = node->server;
	opts.links = node->links;
	ck_assert_int_eq(bg_mesh_init(&node->mesh, &opts, NULL), 0);
	bg_mesh_add_listener(node->mesh, &listener);
	bg_mesh_start(node->mesh);
}

/* Simulates a killed process: nothing is written to the store. */
static void
node_stop(size_t i)
{
	struct node *node = &nodes[i];

	if (node->mesh == NULL)
		return;
	memory_store_cancel(&mem, node->mesh);
	bg_link_pool_free(node->links);
	bg_mesh_free(node->mesh);
	bg_link_server_free(node->server);
	node->mesh = NULL;
}

static void
publish_version(uint64_t version)
{
	memory_store_set(&mem, CONFIG_KIND, "main",
	    json_pack("{s:I}", "version", (json_int_t)version));
}

static void
setup(void)
{
	memset(nodes, 0, sizeof(nodes));
	has_servers = 0;
	base = event_base_new();
	memory_store_init(&mem, base);
}

static void
teardown(void)
{
	size_t i;

	for (i = 0; i < NODES; i++)
		node_stop(i);
	memory_store_clear(&mem);
	event_base_free(base);
}

static void
run_ms(uint32_t ms)
{
	struct timeval tv = {ms / 1000, (suseconds_t)(ms % 1000) * 1000};

	event_base_loopexit(base, &tv);
	event_base_dispatch(base);
}

static uint64_t
version_at(size_t i)
{
	struct bg_snapshot *snap = bg_mesh_snapshot(nodes[i].mesh);

	return snap == NULL ? 0 : snap->version;
}

static void
wait_version(size_t i, uint64_t version)
{
	uint64_t end_ms = bg_clock_now_ms() + WAIT_MS;

	while (version_at(i) != version && bg_clock_now_ms() < end_ms)
		run_ms(10);
	ck_assert_uint_eq(version_at(i), version);
}

static void
wait_versions(uint64_t version)
{
	size_t i;

	for (i = 0; i < NODES; i++)
		wait_version(i, version);
}

static void
wait_members(size_t i, size_t count)
{
	uint64_t end_ms = bg_clock_now_ms() + WAIT_MS;

	while (bg_mesh_roster(nodes[i].mesh)->member_count != count &&
	    bg_clock_now_ms() < end_ms)
		run_ms(10);
	ck_assert_uint_eq(bg_mesh_roster(nodes[i].mesh)->member_count, count);
}

static void
announce(size_t i, enum bg_member_state state, const char *id)
{
	struct bg_server_announcement ann = {state, id, "v1", 6, STARTED_MS};

	bg_mesh_announce_server(nodes[i].mesh, &ann);
}

static const struct bg_member *
member_at(size_t i, size_t of)
{
	return bg_roster_find(
	    bg_mesh_roster(nodes[i].mesh), bg_mesh_address(nodes[of].mesh));
}

static void
wait_state(size_t i, size_t of, enum bg_member_state state)
{
	uint64_t end_ms = bg_clock_now_ms() + WAIT_MS;
	const struct bg_member *m;

	while (((m = member_at(i, of)) == NULL || m->state != state) &&
	    bg_clock_now_ms() < end_ms)
		run_ms(10);
	ck_assert_ptr_nonnull(m);
	ck_assert_int_eq(m->state, state);
}

static void
start_all(void)
{
	size_t i;

	for (i = 0; i < NODES; i++)
		node_start(i);
	for (i = 0; i < NODES; i++)
		announce(i, BG_MEMBER_READY, "i-1");
	for (i = 0; i < NODES; i++)
		wait_members(i, NODES);
	/* Time for all announcements to be written, and read by all nodes. */
	run_ms(400);
}

static void
set_store_disconnected(size_t i, int is_disconnected)
{
	nodes[i].view.is_disconnected = is_disconnected;
	/* Pending watches end, as on a lost connection. */
	if (is_disconnected)
		memory_store_drop_history(&mem);
}

/* Guards against an accepted version that is not in force everywhere (P10). */
START_TEST(versions_reach_every_node)
{
	start_all();
	publish_version(1);
	wait_versions(1);
	publish_version(4);
	wait_versions(4);
	ck_assert_int_eq(nodes[0].installs, 2);
}
END_TEST

/* Guards against a node that installs an older version from the store or from a
 * peer (P1). */
START_TEST(older_version_is_ignored)
{
	start_all();
	publish_version(5);
	wait_versions(5);
	publish_version(3);
	run_ms(500);
	wait_versions(5);
	ck_assert_int_eq(nodes[0].installs, 1);
}
END_TEST

/* Guards against a node that cannot reach the store and misses versions and
 * member updates that its peers hold. */
START_TEST(disconnected_node_syncs_with_peers)
{
	start_all();
	publish_version(1);
	wait_versions(1);
	set_store_disconnected(3, 1);
	publish_version(2);
	announce(0, BG_MEMBER_DRAINING, "i-1");
	wait_version(3, 2);
	wait_state(3, 0, BG_MEMBER_DRAINING);
	/* Reverse direction: only the disconnected node has the update. */
	announce(3, BG_MEMBER_DRAINING, "i-1");
	wait_state(0, 3, BG_MEMBER_DRAINING);
	set_store_disconnected(3, 0);
	publish_version(3);
	wait_versions(3);
}
END_TEST

/* Guards against an invalid version that is installed in part or as a whole
 * (P2, P3). */
START_TEST(broken_version_is_refused)
{
	start_all();
	publish_version(1);
	wait_versions(1);
	memory_store_set(&mem, CONFIG_KIND, "main",
	    json_pack("{s:i, s:b}", "version", 2, "broken", 1));
	run_ms(500);
	wait_versions(1);
	publish_version(3);
	wait_versions(3);
}
END_TEST

/* Guards against a withdrawn node that stays in the rosters, and a restarted
 * node that is dropped from them. */
START_TEST(withdrawn_node_is_removed_from_rosters)
{
	start_all();
	node_stop(2);
	run_ms(300);
	ck_assert_uint_eq(bg_mesh_roster(nodes[0].mesh)->member_count, NODES);
	node_start(2);
	announce(2, BG_MEMBER_READY, "i-2");
	run_ms(500);
	ck_assert_str_eq(member_at(0, 2)->server_id, "i-2");
	bg_mesh_withdraw(nodes[3].mesh, NULL, NULL);
	wait_members(0, NODES - 1);
	wait_members(2, NODES - 1);
	ck_assert_ptr_null(member_at(0, 3));
}
END_TEST

/* Guards against a roster that keeps a node whose object was removed from the
 * store while the history was dropped, so that no watch reports the removal. */
START_TEST(removal_is_detected_without_history)
{
	size_t i;

	start_all();
	node_stop(3);
	for (i = 0; i < mem.object_count; i++) {
		if (strcmp(mem.objects[i].kind, NODES_KIND) == 0 &&
		    strstr(mem.objects[i].name, "127.0.0.1") != NULL &&
		    (uint16_t)atoi(strrchr(mem.objects[i].name, '-') + 1) ==
			nodes[3].port)
			mem.objects[i].is_deleted = 1;
	}
	memory_store_drop_history(&mem);
	wait_members(0, NODES - 1);
	wait_members(2, NODES - 1);
}
END_TEST

/* Guards against a node whose announcements lose to those of an earlier process
 * at its address because the wall clock was set back. */
START_TEST(incarnation_rises_above_the_stored_one)
{
	struct memory_object *obj;
	char name[BG_ADDRESS_BYTES];
	json_t *spec;

	start_all();
	node_stop(2);
	snprintf(name, sizeof(name), "127.0.0.1-%u", nodes[2].port);
	obj = memory_store_find(&mem, NODES_KIND, name);
	ck_assert_ptr_nonnull(obj);
	spec = json_deep_copy(obj->spec);
	json_object_set_new(spec, "incarnation",
	    json_integer((json_int_t)bg_clock_wall_ms() + 3600000));
	memory_store_set(&mem, NODES_KIND, name, spec);
	run_ms(300);
	node_start(2);
	announce(2, BG_MEMBER_READY, "i-9");
	run_ms(1500);
	ck_assert_str_eq(member_at(0, 2)->server_id, "i-9");
}
END_TEST

/* Guards against a node object that stays missing in the store after an outage.
 */
START_TEST(announcement_is_stored_after_an_outage)
{
	char name[BG_ADDRESS_BYTES];

	start_all();
	mem.fail_code = BG_EUNAVAILABLE;
	snprintf(name, sizeof(name), "127.0.0.1-%u", nodes[1].port);
	memory_store_remove(&mem, NODES_KIND, name);
	announce(1, BG_MEMBER_DRAINING, "i-1");
	run_ms(600);
	mem.fail_code = 0;
	run_ms(2000);
	ck_assert_ptr_nonnull(memory_store_find(&mem, NODES_KIND, name));
	wait_state(0, 1, BG_MEMBER_DRAINING);
}
END_TEST

/* Guards against a node that others lack, since they are told late that an
 * object was removed, after the node has announced itself again. */
START_TEST(late_removal_keeps_a_newer_announcement)
{
	char name[BG_ADDRESS_BYTES];
	uint64_t end_ms;
	size_t i;

	start_all();
	mem.stale_lag_ms = 1000;
	snprintf(name, sizeof(name), "127.0.0.1-%u", nodes[1].port);
	memory_store_remove(&mem, NODES_KIND, name);
	announce(1, BG_MEMBER_DRAINING, "i-1");
	for (i = 0; i < NODES; i++)
		wait_state(i, 1, BG_MEMBER_DRAINING);
	end_ms = bg_clock_now_ms() + 4000;
	while (bg_clock_now_ms() < end_ms) {
		for (i = 0; i < NODES; i++)
			ck_assert_ptr_nonnull(member_at(i, 1));
		run_ms(10);
	}
	ck_assert_ptr_nonnull(memory_store_find(&mem, NODES_KIND, name));
}
END_TEST

/* Guards against a write that is repeated endlessly, or abandoned, after its
 * response was lost. */
START_TEST(lost_responses_do_not_lose_announcements)
{
	int writes;

	start_all();
	writes = mem.writes;
	mem.lose_write_responses = 2;
	announce(1, BG_MEMBER_DRAINING, "i-1");
	wait_state(0, 1, BG_MEMBER_DRAINING);
	run_ms(1500);
	ck_assert_int_le(mem.writes, writes + 5);
}
END_TEST

/* Guards against store calls while nothing changes: each call costs money. A
 * cheap watch takes 2 s, an exact one of the reader 0.7 s. */
START_TEST(idle_cluster_makes_few_store_calls)
{
	int exact[NODES];
	int readers = 0;
	int stale;
	size_t i;

	start_all();
	publish_version(1);
	wait_versions(1);
	/* Until the readers are known, and the reads of others have ended. */
	run_ms(7000);
	stale = mem.stale_reads;
	for (i = 0; i < NODES; i++)
		exact[i] = nodes[i].view.exact_reads;
	run_ms(3000);
	ck_assert_int_le(
	    mem.stale_reads - stale, NODES * 2 * (3000 / 2000 + 1));
	for (i = 0; i < NODES; i++) {
		exact[i] = nodes[i].view.exact_reads - exact[i];
		ck_assert_int_le(exact[i], 3000 / 700 + 1);
		readers += exact[i] > 0;
	}
	ck_assert_int_eq(readers, 1);
}
END_TEST

/* Time within which an accepted version has to be in force. */
#define APPLY_MS 2000
/* Time until the nodes have agreed on their readers. */
#define READERS_MS 4000

/* A cluster whose cheap reads are so old that they are of no use. */
static void
start_all_with_stale_reads(void)
{
	start_all();
	publish_version(1);
	wait_versions(1);
	run_ms(READERS_MS);
	mem.stale_lag_ms = 60000;
	run_ms(500);
}

static void
publish_in_time(uint64_t version)
{
	size_t i;

	publish_version(version);
	run_ms(APPLY_MS);
	for (i = 0; i < NODES; i++) {
		if (nodes[i].mesh != NULL)
			ck_assert_uint_eq(version_at(i), version);
	}
}

static size_t
find_reader(void)
{
	int before[NODES];
	size_t i;

	for (i = 0; i < NODES; i++)
		before[i] = nodes[i].view.exact_reads;
	run_ms(1500);
	for (i = 0; i < NODES; i++) {
		if (nodes[i].view.exact_reads > before[i])
			return i;
	}
	ck_abort_msg("no node reads the store exactly");
	return 0;
}

/* Guards against nodes that follow the configuration by reads that may be
 * seconds old, and serve an old version for as long (review/4: CONFIG). */
START_TEST(version_is_in_force_in_time_despite_stale_reads)
{
	start_all_with_stale_reads();
	publish_in_time(2);
	publish_in_time(3);
}
END_TEST

/* Guards against the same fault if the node that reads for others is killed. */
START_TEST(version_is_in_force_in_time_without_the_reader)
{
	start_all_with_stale_reads();
	node_stop(find_reader());
	publish_in_time(2);
}
END_TEST

/* Guards against the same fault if that node has lost the store. */
START_TEST(version_is_in_force_in_time_if_the_reader_has_lost_the_store)
{
	start_all_with_stale_reads();
	nodes[find_reader()].view.is_disconnected = 1;
	publish_in_time(2);
}
END_TEST

static void
assert_in_force(uint64_t version)
{
	size_t i;

	for (i = 0; i < NODES; i++)
		ck_assert_uint_eq(version_at(i), version);
}

/* Guards against a version that no node follows, since it was accepted while
 * the store held back the events of watches, and their answers told a later
 * revision (CONFIG). */
START_TEST(version_is_in_force_after_watches_were_held_back)
{
	start_all_with_stale_reads();
	mem.is_deaf = 1;
	publish_version(2);
	run_ms(1500);
	mem.is_deaf = 0;
	run_ms(APPLY_MS);
	assert_in_force(2);
}
END_TEST

/* Guards against a version that is learned late, since a watch that is not
 * answered is followed by the next one, although the store answers lists. */
START_TEST(version_is_in_force_in_time_while_watches_are_silent)
{
	start_all_with_stale_reads();
	mem.is_watch_silent = 1;
	publish_in_time(2);
}
END_TEST

/* Guards against a reader that takes over a revision from stale reads whose
 * data is older, and so never hears of a version that it confirms (CONFIG). */
START_TEST(version_is_in_force_if_stale_reads_are_ahead_of_their_data)
{
	publish_version(1);
	start_all();
	mem.stale_lag_ms = 60000;
	mem.is_stale_ahead = 1;
	/* No node reads exactly yet. */
	publish_version(2);
	run_ms(READERS_MS + APPLY_MS);
	assert_in_force(2);
}
END_TEST

/* Guards against a node that has heard of a version, never gets its document
 * from a peer, and takes its own for confirmed (CONFIG). */
START_TEST(version_is_in_force_if_peers_cannot_send_it)
{
	char *filler = calloc(1, BG_BODY_BYTES + 1);

	ck_assert_ptr_nonnull(filler);
	memset(filler, 'x', BG_BODY_BYTES);
	start_all_with_stale_reads();
	memory_store_set(&mem, CONFIG_KIND, "main",
	    json_pack("{s:i, s:s}", "version", 2, "filler", filler));
	free(filler);
	run_ms(READERS_MS);
	assert_in_force(2);
}
END_TEST

static struct bg_state_summary summaries[BG_DATA_CENTRES_MAX];
static size_t summary_count;
static int polls;

static void
wait_recovery(size_t i)
{
	uint64_t end_ms = bg_clock_now_ms() + WAIT_MS;

	while (nodes[i].recoveries == 0 && bg_clock_now_ms() < end_ms)
		run_ms(10);
	ck_assert_int_ge(nodes[i].recoveries, 1);
}

static void
assert_recovered_left(size_t i)
{
	wait_recovery(i);
	ck_assert_str_eq(nodes[i].earlier.server_id, "i-1");
	ck_assert_uint_eq(nodes[i].earlier.server_started_ms, STARTED_MS);
	ck_assert_int_eq(nodes[i].earlier.server_has_left, 1);
}

/* Guards against a node that does not know after its restart that its server
 * has left, and uses it again (review/1: DRAIN). */
START_TEST(restarted_node_recovers_that_its_server_left)
{
	has_servers = 1;
	start_all();
	ck_assert_int_eq(nodes[1].earlier.server_id[0], '\0');
	announce(1, BG_MEMBER_DRAINING, "i-1");
	run_ms(400);
	node_stop(1);
	node_start(1);
	assert_recovered_left(1);
	/* The second restart has only what the first one left behind. */
	node_stop(1);
	node_start(1);
	assert_recovered_left(1);
}
END_TEST

/* Guards against the same fault if the node stops, since the state of the node
 * then replaces that of its server. */
START_TEST(leaving_node_keeps_that_its_server_left)
{
	has_servers = 1;
	start_all();
	announce(1, BG_MEMBER_DRAINING, "i-1");
	bg_mesh_announce_leave(nodes[1].mesh);
	run_ms(400);
	node_stop(1);
	node_start(1);
	assert_recovered_left(1);
}
END_TEST

/* Guards against the same fault if the server leaves while the node stops. */
START_TEST(server_that_leaves_while_its_node_stops_is_announced)
{
	has_servers = 1;
	start_all();
	bg_mesh_announce_leave(nodes[1].mesh);
	announce(1, BG_MEMBER_DRAINING, "i-1");
	wait_state(0, 1, BG_MEMBER_LEAVING);
	run_ms(400);
	node_stop(1);
	node_start(1);
	assert_recovered_left(1);
}
END_TEST

/* Guards against the same fault if the store has an older announcement, since
 * the node could not write to it. */
START_TEST(restarted_node_recovers_from_a_peer_what_the_store_lacks)
{
	has_servers = 1;
	start_all();
	nodes[1].view.is_disconnected = 1;
	announce(1, BG_MEMBER_DRAINING, "i-1");
	run_ms(200);
	node_stop(1);
	nodes[1].view.is_disconnected = 0;
	node_start(1);
	assert_recovered_left(1);
}
END_TEST

/* Guards against the same fault if the peer that is asked is not one of the few
 * that the announcement was pushed to. */
START_TEST(announcement_that_is_not_stored_reaches_all_peers)
{
	enum bg_member_state state;
	int round;

	has_servers = 1;
	start_all();
	nodes[1].view.is_disconnected = 1;
	for (round = 0; round < 5; round++) {
		state = round % 2 == 0 ? BG_MEMBER_DRAINING : BG_MEMBER_READY;
		announce(1, state, "i-1");
		/* Less than the interval of the comparisons. */
		run_ms(200);
		ck_assert_int_eq(member_at(0, 1)->state, state);
		ck_assert_int_eq(member_at(2, 1)->state, state);
		ck_assert_int_eq(member_at(3, 1)->state, state);
	}
}
END_TEST

/* Guards against the same fault if the store cannot be reached after the
 * restart, and against a server that is then not used until it can. */
START_TEST(restarted_node_recovers_from_a_peer_without_the_store)
{
	has_servers = 1;
	start_all();
	announce(1, BG_MEMBER_DRAINING, "i-1");
	run_ms(400);
	node_stop(1);
	nodes[1].view.is_disconnected = 1;
	node_start(1);
	assert_recovered_left(1);
}
END_TEST

/* Guards against a node alone in the store that waits for peers. */
START_TEST(node_without_peers_recovers)
{
	has_servers = 1;
	node_start(0);
	wait_recovery(0);
	ck_assert_int_eq(nodes[0].earlier.server_id[0], '\0');
}
END_TEST

/* Result of the last wait for a durable announcement. */
static int durable_code;
static int durable_count;

static void
on_durable(void *arg, int code)
{
	durable_code = code;
	durable_count++;
}

static void
wait_durable(size_t i)
{
	uint64_t end_ms = bg_clock_now_ms() + WAIT_MS;

	durable_count = 0;
	bg_mesh_when_durable(nodes[i].mesh, on_durable, NULL);
	while (durable_count == 0 && bg_clock_now_ms() < end_ms)
		run_ms(1);
	ck_assert_int_eq(durable_count, 1);
}

/* Guards against a server whose leaving is acknowledged while only the process
 * that may be killed knows of it. */
START_TEST(announcement_is_durable_once_it_is_stored)
{
	size_t i;

	has_servers = 1;
	start_all();
	announce(1, BG_MEMBER_DRAINING, "i-1");
	ck_assert_uint_eq(nodes[1].mesh->stored_seq, 1);
	wait_durable(1);
	ck_assert_int_eq(durable_code, 0);
	ck_assert_uint_eq(nodes[1].mesh->stored_seq, 2);
	for (i = 0; i < NODES; i++)
		node_stop(i);
	node_start(1);
	assert_recovered_left(1);
}
END_TEST

/* Guards against a server that is not acknowledged during an outage of the
 * store, although peers know that it leaves. */
START_TEST(announcement_is_durable_at_a_peer_during_an_outage)
{
	has_servers = 1;
	start_all();
	mem.is_silent = 1;
	announce(1, BG_MEMBER_DRAINING, "i-1");
	wait_durable(1);
	ck_assert_int_eq(durable_code, 0);
	node_stop(1);
	nodes[1].view.is_disconnected = 1;
	node_start(1);
	assert_recovered_left(1);
}
END_TEST

/* Guards against an acknowledgement that nothing but this process keeps. */
START_TEST(announcement_that_nobody_has_is_not_durable)
{
	size_t i;

	has_servers = 1;
	start_all();
	for (i = 0; i < NODES; i++) {
		if (i != 1)
			node_stop(i);
	}
	mem.is_silent = 1;
	announce(1, BG_MEMBER_DRAINING, "i-1");
	wait_durable(1);
	ck_assert_int_eq(durable_code, BG_ETIMEOUT);
	/* Once the store is back, so is the promise. */
	memory_store_resume(&mem);
	run_ms(1500);
	wait_durable(1);
	ck_assert_int_eq(durable_code, 0);
}
END_TEST

static void
on_push_reply(void *arg, int code, void *res)
{
	int *out = arg;

	*out = code;
}

/* Guards against a push that counts as a copy of an announcement although the
 * peer could not merge it: the digest of its items is wrong. */
START_TEST(push_that_is_not_merged_is_not_confirmed)
{
	char byte = 'x';
	struct bg_xsync_args args = {0};
	struct bg_link *link;
	int code = 0;

	has_servers = 1;
	start_all();
	args.address = nodes[0].mesh->self.address;
	args.is_push = BG_PUSH_FORWARD;
	args.items.items_val = &byte;
	args.items.items_len = sizeof(byte);
	ck_assert_int_eq(bg_link_pool_get(&link, nodes[0].mesh->links,
			     nodes[1].mesh->self.address, NULL),
	    0);
	ck_assert_int_eq(
	    bg_link_call(NULL, link, BG_PROC_SYNC, (xdrproc_t)xdr_bg_xsync_args,
		&args, (xdrproc_t)xdr_bg_xsync_res, sizeof(struct bg_xsync_res),
		500, on_push_reply, &code),
	    0);
	run_ms(700);
	ck_assert_int_eq(code, BG_ETIMEOUT);
}
END_TEST

/* Guards against a wait that is forgotten when the process stops. */
START_TEST(wait_for_durable_announcement_ends_with_the_mesh)
{
	has_servers = 1;
	start_all();
	announce(1, BG_MEMBER_DRAINING, "i-1");
	durable_count = 0;
	bg_mesh_when_durable(nodes[1].mesh, on_durable, NULL);
	node_stop(1);
	ck_assert_int_eq(durable_count, 1);
	ck_assert_int_eq(durable_code, BG_ECANCELED);
}
END_TEST

static void
on_poll(void *arg, const struct bg_state_summary *found, size_t count)
{
	memcpy(summaries, found, count * sizeof(*found));
	summary_count = count;
	polls++;
}

static const struct bg_state_summary *
poll_data_centre(size_t from, const char *data_centre)
{
	uint64_t end_ms = bg_clock_now_ms() + WAIT_MS;
	int before = polls;
	size_t i;

	ck_assert_int_eq(
	    bg_mesh_poll_state(nodes[from].mesh, on_poll, NULL), 0);
	while (polls == before && bg_clock_now_ms() < end_ms)
		run_ms(10);
	for (i = 0; i < summary_count; i++) {
		if (strcmp(summaries[i].data_centre, data_centre) == 0)
			return &summaries[i];
	}
	return NULL;
}

/* Guards against a status of done while a node does not hold the version. */
START_TEST(poll_reports_the_lowest_version)
{
	const struct bg_state_summary *sum;

	start_all();
	publish_version(1);
	wait_versions(1);
	set_store_disconnected(2, 1);
	nodes[2].settings.node.address[0] = '\0';
	sum = poll_data_centre(0, "dc0");
	ck_assert_ptr_nonnull(sum);
	ck_assert_uint_eq(sum->member_count, 2);
	ck_assert_uint_eq(sum->synced_count, 2);
	ck_assert_uint_eq(sum->confirmed_version, 1);
	run_ms(600);
	/* A node that does not respond does not count as confirmed. */
	node_stop(3);
	sum = poll_data_centre(0, "dc1");
	ck_assert_ptr_nonnull(sum);
	ck_assert_uint_eq(sum->member_count, 1);
}
END_TEST

/* Guards against a refused version that is not reported to operators. */
START_TEST(poll_reports_a_refused_version)
{
	const struct bg_state_summary *sum;

	start_all();
	publish_version(1);
	wait_versions(1);
	memory_store_set(&mem, CONFIG_KIND, "main",
	    json_pack("{s:i, s:b}", "version", 2, "broken", 1));
	run_ms(1000);
	sum = poll_data_centre(0, "dc1");
	ck_assert_ptr_nonnull(sum);
	ck_assert_uint_eq(sum->refused_version, 2);
	ck_assert_ptr_nonnull(strstr(sum->refused_reason, "missing"));
	ck_assert_uint_eq(sum->confirmed_version, 1);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("mesh");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, versions_reach_every_node);
	tcase_add_test(tc, older_version_is_ignored);
	tcase_add_test(tc, disconnected_node_syncs_with_peers);
	tcase_add_test(tc, broken_version_is_refused);
	tcase_add_test(tc, withdrawn_node_is_removed_from_rosters);
	tcase_add_test(tc, removal_is_detected_without_history);
	tcase_add_test(tc, incarnation_rises_above_the_stored_one);
	tcase_add_test(tc, announcement_is_stored_after_an_outage);
	tcase_add_test(tc, late_removal_keeps_a_newer_announcement);
	tcase_add_test(tc, lost_responses_do_not_lose_announcements);
	tcase_add_test(tc, idle_cluster_makes_few_store_calls);
	tcase_add_test(tc, version_is_in_force_in_time_despite_stale_reads);
	tcase_add_test(tc, version_is_in_force_in_time_without_the_reader);
	tcase_add_test(
	    tc, version_is_in_force_in_time_if_the_reader_has_lost_the_store);
	tcase_add_test(tc, version_is_in_force_after_watches_were_held_back);
	tcase_add_test(
	    tc, version_is_in_force_in_time_while_watches_are_silent);
	tcase_add_test(
	    tc, version_is_in_force_if_stale_reads_are_ahead_of_their_data);
	tcase_add_test(tc, version_is_in_force_if_peers_cannot_send_it);
	tcase_add_test(tc, restarted_node_recovers_that_its_server_left);
	tcase_add_test(tc, leaving_node_keeps_that_its_server_left);
	tcase_add_test(
	    tc, server_that_leaves_while_its_node_stops_is_announced);
	tcase_add_test(
	    tc, restarted_node_recovers_from_a_peer_what_the_store_lacks);
	tcase_add_test(tc, announcement_that_is_not_stored_reaches_all_peers);
	tcase_add_test(
	    tc, restarted_node_recovers_from_a_peer_without_the_store);
	tcase_add_test(tc, node_without_peers_recovers);
	tcase_add_test(tc, announcement_is_durable_once_it_is_stored);
	tcase_add_test(tc, announcement_is_durable_at_a_peer_during_an_outage);
	tcase_add_test(tc, announcement_that_nobody_has_is_not_durable);
	tcase_add_test(tc, push_that_is_not_merged_is_not_confirmed);
	tcase_add_test(tc, wait_for_durable_announcement_ends_with_the_mesh);
	tcase_add_test(tc, poll_reports_the_lowest_version);
	tcase_add_test(tc, poll_reports_a_refused_version);
	return run_suite_forked("mesh", tc);
}
