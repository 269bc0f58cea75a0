#include "cluster.h"
#include "suite.h"

#define PARTITION                                           \
	"[{\"source\": \"127.1.\", \"target\": \"127.2.\"," \
	" \"partition\": true}, {\"source\": \"127.2.\","   \
	" \"target\": \"127.1.\", \"partition\": true}]"

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

/* Starts count nodes in each data centre behind bg-faultproxy. */
static void
start_nodes(int data_centres, int count)
{
	size_t i;
	int dc;
	int n;

	for (n = 1; n <= count; n++) {
		for (dc = 1; dc <= data_centres; dc++)
			cluster_add_node(&cl, dc, n);
	}
	cluster_start_proxy(&cl);
	for (i = 0; i < cl.node_count; i++)
		node_start(&cl, &cl.nodes[i]);
}

static void
wait_dc_metric(int dc, const char *name, long expected)
{
	size_t i;

	for (i = 0; i < cl.node_count; i++) {
		if (cl.nodes[i].dc == dc && cl.nodes[i].pid != 0)
			node_wait_metric(&cl.nodes[i], name, expected);
	}
}

/* Guards against updates that are lost or overwritten by older ones when a data
 * centre that was partitioned from the other one and from the store reconnects.
 */
START_TEST(data_centres_partition_and_heal)
{
	struct cluster_node *restarted;
	uint64_t version;
	size_t i;

	start_nodes(2, 3);
	version = cluster_publish(&cl, "catalogue");
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
	cluster_wait_metric(&cl, "burdock_mesh_members", 6);
	cluster_set_fault_rules(&cl, PARTITION);
	cluster_control_platform(&cl, "{\"cut\": [\"127.2.\"]}");
	version = cluster_publish(&cl, "atelier");
	wait_dc_metric(1, "burdock_config_version", (long)version);
	for (i = 0; i < cl.node_count; i++) {
		if (cl.nodes[i].dc == 2)
			ck_assert_int_eq(
			    node_metric(&cl.nodes[i], "burdock_config_version"),
			    1);
	}
	restarted = &cl.nodes[5];
	node_kill(restarted);
	/* The partition ends, but data centre 2 still cannot reach the store:
	 * peers supply the version. */
	cluster_set_fault_rules(&cl, "[]");
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
	cluster_control_platform(&cl, "{\"cut\": []}");
	node_start(&cl, restarted);
	cluster_wait_metric(&cl, "burdock_mesh_members", 6);
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
}
END_TEST

/* Guards against nodes that wait forever on links that have gone silent while
 * new links work. */
START_TEST(links_go_silent_permanently)
{
	uint64_t version;

	start_nodes(1, 5);
	version = cluster_publish(&cl, "catalogue");
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
	cluster_wait_metric(&cl, "burdock_mesh_members", 5);
	cluster_set_fault_rules(&cl, "[{\"silence\": true}]");
	cluster_set_fault_rules(&cl, "[]");
	version = cluster_publish(&cl, "catalogue");
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
	cluster_wait_metric(&cl, "burdock_mesh_members", 5);
}
END_TEST

/* Guards against a version that decreases, or a node that stays behind, when
 * messages arrive duplicated, delayed and in bursts. */
START_TEST(updates_cross_and_repeat)
{
	uint64_t version;
	long before[6] = {0};
	int round;
	size_t i;

	start_nodes(2, 3);
	version = cluster_publish(&cl, "catalogue");
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
	cluster_set_fault_rules(&cl,
	    "[{\"duplicate_permille\": 400, \"delay_ms\": 5,"
	    " \"jitter_ms\": 60}]");
	for (round = 0; round < 12; round++) {
		version = cluster_publish(
		    &cl, round % 2 == 0 ? "catalogue" : "atelier");
		for (i = 0; i < cl.node_count; i++) {
			long now =
			    node_metric(&cl.nodes[i], "burdock_config_version");

			ck_assert_int_ge(now, before[i]);
			before[i] = now;
		}
	}
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
	cluster_wait_metric(&cl, "burdock_mesh_members", 6);
	for (i = 0; i < cl.node_count; i++)
		ck_assert_int_eq(node_metric(&cl.nodes[i],
				     "burdock_mesh_refused_snapshots_total"),
		    0);
}
END_TEST

/* Guards against a truncated list that is accepted as complete. */
START_TEST(messages_are_truncated)
{
	uint64_t version;
	size_t i;

	start_nodes(1, 3);
	version = cluster_publish(&cl, "catalogue");
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
	cluster_wait_metric(&cl, "burdock_mesh_members", 3);
	/* Large enough for several calls, so that links break at any point of
	 * a message. */
	cluster_set_fault_rules(&cl, "[{\"cut_after_bytes\": 3000}]");
	version = cluster_publish(&cl, "atelier");
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
	version = cluster_publish(&cl, "catalogue");
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
	cluster_set_fault_rules(&cl, "[]");
	version = cluster_publish(&cl, "expedition");
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
	cluster_wait_metric(&cl, "burdock_mesh_members", 3);
	for (i = 0; i < cl.node_count; i++)
		ck_assert_int_eq(node_metric(&cl.nodes[i],
				     "burdock_mesh_refused_snapshots_total"),
		    0);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("mesh faults");

	tcase_set_timeout(tc, 110);
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, data_centres_partition_and_heal);
	tcase_add_test(tc, links_go_silent_permanently);
	tcase_add_test(tc, updates_cross_and_repeat);
	tcase_add_test(tc, messages_are_truncated);
	return run_suite_forked("mesh faults", tc);
}
