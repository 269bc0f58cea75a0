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

int
main(void)
{
	Suite *suite = suite_create("mesh processes");
	TCase *tc = tcase_create("mesh processes");
	SRunner *runner;
	int failed;

	tcase_set_timeout(tc, 110);
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, versions_reach_every_node);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed != 0;
}
