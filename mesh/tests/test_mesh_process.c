#include "cluster.h"
#include "suite.h"

#define SMALL_CLUSTER 3
#define LARGE_CLUSTER 9
/* Several times the number of ports that the kernel chooses from. */
#define PORT_DRAWS 200000

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
		cluster_add_node(&cl, dc, i);
	for (i = 0; i < (int)cl.node_count; i++) {
		if (cl.nodes[i].dc == dc)
			node_start(&cl, &cl.nodes[i]);
	}
}

/* Guards against a node that does not start, since the port for its callers is
 * also the one for its peers: the kernel may give out a released port again. */
START_TEST(ports_of_a_node_differ)
{
	struct cluster_node *node;
	int i;

	for (i = 0; i < PORT_DRAWS; i++) {
		cl.node_count = 0;
		node = cluster_add_node(&cl, 1, 1);
		ck_assert_uint_ne(node->mesh_port, node->customer_port);
		ck_assert_uint_ne(node->mesh_port, node->proxy_port);
		ck_assert_uint_ne(node->proxy_port, node->customer_port);
	}
	cl.node_count = 0;
}
END_TEST

/* Guards against a version that does not reach every node. */
START_TEST(versions_reach_every_node)
{
	uint64_t version;

	start_nodes(1, LARGE_CLUSTER);
	cluster_publish(&cl, "catalogue");
	version = cluster_publish(&cl, "atelier");
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
	cluster_wait_metric(&cl, "burdock_mesh_members", LARGE_CLUSTER);
	version = cluster_publish(&cl, "catalogue");
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
}
END_TEST

/* Guards against a version that is lost or reaches only some nodes when nodes
 * are killed during its distribution. */
START_TEST(nodes_killed_during_a_change)
{
	uint64_t version;
	size_t i;

	start_nodes(1, LARGE_CLUSTER);
	version = cluster_publish(&cl, "catalogue");
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
	version = cluster_publish(&cl, "atelier");
	for (i = 0; i < LARGE_CLUSTER; i += 2)
		node_kill(&cl.nodes[i]);
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
	version = cluster_publish(&cl, "atelier");
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
	for (i = 0; i < LARGE_CLUSTER; i += 2)
		node_start(&cl, &cl.nodes[i]);
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
	cluster_wait_metric(&cl, "burdock_mesh_members", LARGE_CLUSTER);
}
END_TEST

/* Guards against a node that keeps an old version after a pause, or returns to
 * it. */
START_TEST(paused_node_catches_up)
{
	uint64_t version;

	start_nodes(1, SMALL_CLUSTER);
	version = cluster_publish(&cl, "catalogue");
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
	node_signal(&cl.nodes[1], SIGSTOP);
	cluster_publish(&cl, "catalogue");
	version = cluster_publish(&cl, "atelier");
	node_wait_metric(&cl.nodes[0], "burdock_config_version", (long)version);
	node_wait_metric(&cl.nodes[2], "burdock_config_version", (long)version);
	node_signal(&cl.nodes[1], SIGCONT);
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
	ck_assert_int_eq(
	    node_metric(&cl.nodes[1], "burdock_mesh_refused_snapshots_total"),
	    0);
}
END_TEST

/* Guards against a change that is lost in an outage of the store, and against a
 * restarted node that stays without a configuration. */
START_TEST(store_down_during_a_change)
{
	uint64_t version;

	start_nodes(1, SMALL_CLUSTER + 1);
	version = cluster_publish(&cl, "catalogue");
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
	cluster_wait_metric(&cl, "burdock_mesh_members", SMALL_CLUSTER + 1);
	version = cluster_publish(&cl, "atelier");
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
	cluster_control_platform(&cl, "{\"outage\": true}");
	node_kill(&cl.nodes[0]);
	node_start(&cl, &cl.nodes[0]);
	/* Until the store responds, the restarted node knows no peers, and they
	 * do not know of its restart. */
	cluster_control_platform(&cl, "{\"outage\": false}");
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
	cluster_wait_metric(&cl, "burdock_mesh_members", SMALL_CLUSTER + 1);
	version = cluster_publish(&cl, "catalogue");
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
}
END_TEST

/* Guards against a cluster that does not recover after all its processes were
 * killed at the same time. */
START_TEST(all_nodes_restart_at_once)
{
	uint64_t version;
	size_t i;

	start_nodes(1, LARGE_CLUSTER);
	version = cluster_publish(&cl, "catalogue");
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
	for (i = 0; i < cl.node_count; i++)
		node_kill(&cl.nodes[i]);
	for (i = 0; i < cl.node_count; i++)
		node_start(&cl, &cl.nodes[i]);
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
	cluster_wait_metric(&cl, "burdock_mesh_members", LARGE_CLUSTER);
	version = cluster_publish(&cl, "catalogue");
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
}
END_TEST

/* Guards against a version that fails validation and is applied in part. */
START_TEST(invalid_version_is_refused_everywhere)
{
	uint64_t version;
	size_t i;

	start_nodes(1, SMALL_CLUSTER);
	version = cluster_publish(&cl, "catalogue");
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
	cluster_publish_with_dependency(&cl, "atelier", "absent");
	cluster_wait_metric(&cl, "burdock_mesh_refused_snapshots_total", 1);
	for (i = 0; i < cl.node_count; i++)
		ck_assert_int_eq(
		    node_metric(&cl.nodes[i], "burdock_config_version"), 1);
	version = cluster_publish(&cl, "atelier");
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
}
END_TEST

/* Guards against a data centre that misses versions because it cannot reach
 * the store. */
START_TEST(versions_pass_between_data_centres)
{
	uint64_t version;

	cluster_add_node(&cl, 1, 1);
	cluster_add_node(&cl, 2, 1);
	cluster_add_node(&cl, 1, 2);
	cluster_add_node(&cl, 2, 2);
	for (size_t i = 0; i < cl.node_count; i++)
		node_start(&cl, &cl.nodes[i]);
	version = cluster_publish(&cl, "catalogue");
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
	cluster_wait_metric(&cl, "burdock_mesh_members", 4);
	cluster_control_platform(&cl, "{\"cut\": [\"127.2.\"]}");
	version = cluster_publish(&cl, "atelier");
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
	version = cluster_publish(&cl, "atelier");
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
	cluster_control_platform(&cl, "{\"cut\": []}");
	version = cluster_publish(&cl, "atelier");
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("mesh processes");

	tcase_set_timeout(tc, 110);
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, ports_of_a_node_differ);
	tcase_add_test(tc, versions_reach_every_node);
	tcase_add_test(tc, nodes_killed_during_a_change);
	tcase_add_test(tc, paused_node_catches_up);
	tcase_add_test(tc, store_down_during_a_change);
	tcase_add_test(tc, all_nodes_restart_at_once);
	tcase_add_test(tc, invalid_version_is_refused_everywhere);
	tcase_add_test(tc, versions_pass_between_data_centres);
	return run_suite_forked("mesh processes", tc);
}
