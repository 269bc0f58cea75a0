#include "cluster.h"

/* Sizes of the clusters; large enough for a tree of two levels. */
#define SMALL 3
#define FLEET 9

static struct cluster cl;

static void
setup(void)
{
	cluster_init(&cl);
}

static void
teardown(void)
{
	cluster_free(&cl);
}

static void
start_nodes(int dc, int count)
{
	int i;

	for (i = 1; i <= count; i++)
		cluster_add(&cl, dc, i);
	for (i = 0; i < (int)cl.node_count; i++) {
		if (cl.nodes[i].dc == dc)
			node_start(&cl, &cl.nodes[i]);
	}
}

/* Guards against a version that does not reach every node, and against more
 * than one watch on the platform a data centre. */
START_TEST(versions_reach_every_node)
{
	uint64_t version;

	start_nodes(1, SMALL);
	cluster_publish(&cl, "catalogue");
	version = cluster_publish(&cl, "atelier");
	cluster_wait(&cl, "burdock_config_version", (long)version);
	cluster_wait(&cl, "burdock_mesh_synced", 1);
	cluster_wait(&cl, "burdock_mesh_members", SMALL);
	version = cluster_publish(&cl, "catalogue");
	cluster_wait(&cl, "burdock_config_version", (long)version);
	cluster_relay(&cl, 1);
}
END_TEST

/* Guards against a tree that exceeds the fan-out or leaves nodes out, and
 * against a stop that is not announced. */
START_TEST(tree_keeps_to_its_fanout)
{
	uint64_t version;
	size_t i;

	cl.fanout = 2;
	start_nodes(1, FLEET);
	version = cluster_publish(&cl, "catalogue");
	cluster_wait(&cl, "burdock_config_version", (long)version);
	cluster_wait(&cl, "burdock_mesh_members", FLEET);
	for (i = 0; i < cl.node_count; i++)
		ck_assert_int_le(
		    node_metric(&cl.nodes[i], "burdock_mesh_children"), 2);
	node_stop(&cl.nodes[4]);
	cluster_wait(&cl, "burdock_mesh_members", FLEET - 1);
	version = cluster_publish(&cl, "catalogue");
	cluster_wait(&cl, "burdock_config_version", (long)version);
}
END_TEST

/* Guards against a version that is lost or half spread when the relay dies
 * while it pushes. */
START_TEST(relay_killed_during_push)
{
	struct cluster_node *relay;
	uint64_t version;

	cl.fanout = 3;
	start_nodes(1, FLEET);
	version = cluster_publish(&cl, "catalogue");
	cluster_wait(&cl, "burdock_config_version", (long)version);
	relay = cluster_relay(&cl, 1);
	version = cluster_publish(&cl, "atelier");
	node_kill(relay);
	cluster_wait(&cl, "burdock_config_version", (long)version);
	cluster_wait(&cl, "burdock_mesh_members", FLEET - 1);
	ck_assert_ptr_ne(cluster_relay(&cl, 1), relay);
	version = cluster_publish(&cl, "atelier");
	cluster_wait(&cl, "burdock_config_version", (long)version);
	node_start(&cl, relay);
	cluster_wait(&cl, "burdock_config_version", (long)version);
	cluster_wait(&cl, "burdock_mesh_members", FLEET);
}
END_TEST

/* Guards against a paused relay that answers as holder after its lease, and
 * against children that wait for it. */
START_TEST(relay_paused_past_its_lease)
{
	struct cluster_node *old;
	struct cluster_node *relay;
	uint64_t version;
	size_t i;

	start_nodes(1, SMALL);
	version = cluster_publish(&cl, "catalogue");
	cluster_wait(&cl, "burdock_config_version", (long)version);
	old = cluster_relay(&cl, 1);
	node_signal(old, SIGSTOP);
	version = cluster_publish(&cl, "catalogue");
	for (i = 0; i < cl.node_count; i++) {
		if (&cl.nodes[i] != old)
			node_wait(&cl.nodes[i], "burdock_config_version",
			    (long)version);
	}
	node_signal(old, SIGCONT);
	node_wait(old, "burdock_mesh_relay", 0);
	relay = cluster_relay(&cl, 1);
	ck_assert_ptr_ne(relay, old);
	cluster_wait(&cl, "burdock_mesh_members", SMALL);
	version = cluster_publish(&cl, "catalogue");
	cluster_wait(&cl, "burdock_config_version", (long)version);
	/* It is a member of the new relay's tree and no parent any more; it
	 * did not hold its own pause against its children. */
	node_wait(old, "burdock_mesh_children", 0);
	ck_assert_int_eq(node_metric(old, "burdock_mesh_deaths_total"), 0);
}
END_TEST

/* Guards against children that stay with a parent whose link went silent. */
START_TEST(inner_node_goes_silent)
{
	struct cluster_node *inner = NULL;
	struct cluster_node *relay;
	uint64_t version;
	size_t i;

	cl.fanout = 2;
	start_nodes(1, FLEET);
	version = cluster_publish(&cl, "catalogue");
	cluster_wait(&cl, "burdock_config_version", (long)version);
	cluster_wait(&cl, "burdock_mesh_members", FLEET);
	relay = cluster_relay(&cl, 1);
	for (i = 0; i < cl.node_count; i++) {
		if (&cl.nodes[i] != relay &&
		    node_metric(&cl.nodes[i], "burdock_mesh_children") > 0)
			inner = &cl.nodes[i];
	}
	ck_assert_ptr_nonnull(inner);
	node_signal(inner, SIGSTOP);
	version = cluster_publish(&cl, "catalogue");
	for (i = 0; i < cl.node_count; i++) {
		if (&cl.nodes[i] == inner)
			continue;
		node_wait(
		    &cl.nodes[i], "burdock_config_version", (long)version);
		node_wait(&cl.nodes[i], "burdock_mesh_members", FLEET - 1);
	}
	node_signal(inner, SIGCONT);
	cluster_wait(&cl, "burdock_config_version", (long)version);
	cluster_wait(&cl, "burdock_mesh_members", FLEET);
}
END_TEST

/* Guards against a change that is lost in an outage, and against nodes that
 * fall apart when the relay dies while nobody can take the lease. */
START_TEST(platform_down_during_change)
{
	struct cluster_node *relay;
	uint64_t version;

	start_nodes(1, SMALL + 1);
	version = cluster_publish(&cl, "catalogue");
	cluster_wait(&cl, "burdock_config_version", (long)version);
	cluster_wait(&cl, "burdock_mesh_members", SMALL + 1);
	relay = cluster_relay(&cl, 1);
	version = cluster_publish(&cl, "atelier");
	cluster_control(&cl, "{\"outage\": true}");
	node_kill(relay);
	cluster_wait(&cl, "burdock_mesh_members", SMALL);
	cluster_wait(&cl, "burdock_mesh_synced", 1);
	cluster_wait(&cl, "burdock_mesh_relay", 0);
	/* A new process learns everything but the floor. */
	node_start(&cl, relay);
	cluster_wait(&cl, "burdock_mesh_members", SMALL + 1);
	ck_assert_int_eq(node_metric(relay, "burdock_mesh_synced"), 0);
	cluster_control(&cl, "{\"outage\": false}");
	cluster_wait(&cl, "burdock_config_version", (long)version);
	cluster_wait(&cl, "burdock_mesh_synced", 1);
	cluster_relay(&cl, 1);
}
END_TEST

/* Guards against a fleet that does not come back, or reads the platform once a
 * node and more, after all its processes ended at once. */
START_TEST(all_nodes_restart_at_once)
{
	uint64_t version;
	size_t i;

	cl.fanout = 3;
	start_nodes(1, FLEET);
	version = cluster_publish(&cl, "catalogue");
	cluster_wait(&cl, "burdock_config_version", (long)version);
	for (i = 0; i < cl.node_count; i++)
		node_kill(&cl.nodes[i]);
	for (i = 0; i < cl.node_count; i++)
		node_start(&cl, &cl.nodes[i]);
	cluster_wait(&cl, "burdock_config_version", (long)version);
	cluster_wait(&cl, "burdock_mesh_synced", 1);
	cluster_wait(&cl, "burdock_mesh_members", FLEET);
	version = cluster_publish(&cl, "catalogue");
	cluster_wait(&cl, "burdock_config_version", (long)version);
	cluster_relay(&cl, 1);
}
END_TEST

/* Guards against a node that returns to an older version because its memory is
 * empty and only an old relay answers. */
START_TEST(new_node_does_not_trust_an_old_relay)
{
	struct cluster_node *node;
	struct cluster_node *relay;
	uint64_t end_ms = bg_clock_now_ms() + CLUSTER_WAIT_MS;
	uint64_t old_version;
	uint64_t version;
	long held;

	start_nodes(1, SMALL);
	old_version = cluster_publish(&cl, "catalogue");
	cluster_wait(&cl, "burdock_config_version", (long)old_version);
	relay = cluster_relay(&cl, 1);
	cluster_control(&cl, "{\"cut\": [\"127.1.\"]}");
	version = cluster_publish(&cl, "catalogue");
	node_wait(relay, "burdock_mesh_relay", 0);
	node = relay == &cl.nodes[2] ? &cl.nodes[1] : &cl.nodes[2];
	node_kill(node);
	node_start(&cl, node);
	node_wait(node, "burdock_mesh_members", SMALL);
	/* It has the old relay's items, and has tried to read the head. */
	while (node_metric(node, "burdock_platform_head_reads_total") < 2 &&
	    bg_clock_now_ms() < end_ms)
		cluster_pause();
	ck_assert_int_gt(
	    node_metric(node, "burdock_mesh_items_received_total"), 1);
	ck_assert_int_eq(node_metric(node, "burdock_mesh_synced"), 0);
	ck_assert_int_eq(node_metric(node, "burdock_config_version"), 0);
	cluster_control(&cl, "{\"cut\": []}");
	do {
		held = node_metric(node, "burdock_config_version");
		ck_assert_int_ne(held, (long)old_version);
		cluster_pause();
	} while (held != (long)version && bg_clock_now_ms() < end_ms);
	cluster_wait(&cl, "burdock_config_version", (long)version);
	cluster_wait(&cl, "burdock_mesh_synced", 1);
}
END_TEST

/* Guards against a version that does not validate and is applied in part or
 * offered to nodes that do not hold it. */
START_TEST(invalid_version_is_refused_everywhere)
{
	struct cluster_node *relay;
	uint64_t version;
	size_t i;

	start_nodes(1, SMALL);
	version = cluster_publish(&cl, "catalogue");
	cluster_wait(&cl, "burdock_config_version", (long)version);
	relay = cluster_relay(&cl, 1);
	cluster_publish_with(&cl, "atelier", "absent");
	node_wait(relay, "burdock_mesh_refused_snapshots_total", 1);
	cluster_publish(&cl, "expedition");
	/* Still invalid: the service of the refused version is part of it. */
	node_wait(relay, "burdock_mesh_refused_snapshots_total", 2);
	for (i = 0; i < cl.node_count; i++) {
		ck_assert_int_eq(
		    node_metric(&cl.nodes[i], "burdock_config_version"), 1);
		if (&cl.nodes[i] != relay)
			ck_assert_int_eq(node_metric(&cl.nodes[i],
					     "burdock_mesh_refused_"
					     "snapshots_total"),
			    0);
	}
	version = cluster_publish(&cl, "atelier");
	cluster_wait(&cl, "burdock_config_version", (long)version);
}
END_TEST

/* Guards against a data centre that misses versions because only it cannot
 * reach the platform. */
START_TEST(versions_pass_between_data_centres)
{
	uint64_t version;

	cl.seed_count = 4;
	cluster_add(&cl, 1, 1);
	cluster_add(&cl, 2, 1);
	cluster_add(&cl, 1, 2);
	cluster_add(&cl, 2, 2);
	for (size_t i = 0; i < cl.node_count; i++)
		node_start(&cl, &cl.nodes[i]);
	version = cluster_publish(&cl, "catalogue");
	cluster_wait(&cl, "burdock_config_version", (long)version);
	cluster_wait(&cl, "burdock_mesh_members", 4);
	cluster_control(&cl, "{\"cut\": [\"127.2.\"]}");
	version = cluster_publish(&cl, "atelier");
	cluster_wait(&cl, "burdock_config_version", (long)version);
	node_wait(&cl.nodes[1], "burdock_mesh_relay", 0);
	node_wait(&cl.nodes[3], "burdock_mesh_relay", 0);
	version = cluster_publish(&cl, "atelier");
	cluster_wait(&cl, "burdock_config_version", (long)version);
	cluster_control(&cl, "{\"cut\": []}");
	cluster_relay(&cl, 2);
}
END_TEST

/* Guards against a baseline that does not deliver versions. */
START_TEST(direct_watch_reads_by_itself)
{
	uint64_t version;
	int i;

	for (i = 1; i <= SMALL; i++)
		snprintf(
		    cluster_add(&cl, 1, i)->extra, 64, "direct_watch = true\n");
	for (i = 0; i < SMALL; i++)
		node_start(&cl, &cl.nodes[i]);
	cluster_publish(&cl, "catalogue");
	version = cluster_publish(&cl, "atelier");
	cluster_wait(&cl, "burdock_config_version", (long)version);
	cluster_wait(&cl, "burdock_mesh_members", SMALL);
	version = cluster_publish(&cl, "atelier");
	cluster_wait(&cl, "burdock_config_version", (long)version);
	for (i = 0; i < SMALL; i++)
		ck_assert_int_ge(node_metric(&cl.nodes[i],
				     "burdock_platform_service_reads_total"),
		    2);
}
END_TEST

static void
add_case(Suite *suite, const TTest *test)
{
	TCase *tc = tcase_create(test->name);

	tcase_set_timeout(tc, 110);
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, test);
	suite_add_tcase(suite, tc);
}

int
main(void)
{
	Suite *suite = suite_create("mesh processes");
	SRunner *runner;
	int failed;

	add_case(suite, versions_reach_every_node);
	add_case(suite, tree_keeps_to_its_fanout);
	add_case(suite, relay_killed_during_push);
	add_case(suite, relay_paused_past_its_lease);
	add_case(suite, inner_node_goes_silent);
	add_case(suite, platform_down_during_change);
	add_case(suite, all_nodes_restart_at_once);
	add_case(suite, new_node_does_not_trust_an_old_relay);
	add_case(suite, invalid_version_is_refused_everywhere);
	add_case(suite, versions_pass_between_data_centres);
	add_case(suite, direct_watch_reads_by_itself);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed != 0;
}
