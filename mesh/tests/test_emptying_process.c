/* Data centres emptied in the store, in fleets of processes under failure. */

#include "cluster.h"
#include "suite.h"

#define EMPTIED "burdock_emptied_data_centres"
#define CHANGES "burdock_emptied_changes_total"
#define DOUBTS "burdock_emptied_doubts_total"
/* Data centres 1 and 2 cannot reach each other; 3 reaches both. */
#define BRIDGE_CUT                                          \
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

/* Starts count nodes in each data centre behind bg-faultproxy and waits until
 * they know each other.
 * @param unaware_dc its nodes do not follow emptied data centres; 0: none */
static void
start_nodes(int data_centres, int count, int unaware_dc)
{
	size_t i;
	int dc;
	int n;

	for (n = 1; n <= count; n++) {
		for (dc = 1; dc <= data_centres; dc++)
			cluster_add_node(&cl, dc, n);
	}
	cluster_start_proxy(&cl);
	for (i = 0; i < cl.node_count; i++) {
		if (cl.nodes[i].dc != unaware_dc)
			snprintf(cl.nodes[i].extra_settings,
			    sizeof(cl.nodes[i].extra_settings),
			    "[emptying]\nfollow = true\n");
		node_start(&cl, &cl.nodes[i]);
	}
	cluster_publish(&cl, "catalogue");
	cluster_wait_metric(&cl, "burdock_mesh_members", (long)cl.node_count);
	cluster_wait_metric(&cl, "burdock_config_version", 1);
}

static void
call_platform(const char *method, const char *path, const char *body)
{
	char response[1024];

	ck_assert_int_eq(cluster_call_platform(&cl, method, path, body,
			     response, sizeof(response)),
	    0);
	ck_assert_msg(
	    strncmp(response, "HTTP/1.1 200", 12) == 0, "%s", response);
}

static void
empty(const char *data_centre)
{
	char body[128];

	snprintf(body, sizeof(body),
	    "{\"Metadata\": {\"Name\": \"%s\"}, \"Spec\": {}}", data_centre);
	call_platform("POST", "/api/objects/burdock-emptied", body);
}

static void
take_back(const char *data_centre)
{
	char path[128];

	snprintf(
	    path, sizeof(path), "/api/objects/burdock-emptied/%s", data_centre);
	call_platform("DELETE", path, "");
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

/* Waits until the status of a node has a text. */
static void
wait_status(const struct cluster_node *node, const char *text)
{
	static char page[CLUSTER_TEXT_BYTES];
	uint64_t end_ms = bg_clock_now_ms() + CLUSTER_WAIT_MS;

	do {
		cluster_http(node->ip, node->customer_port,
		    "GET /status HTTP/1.1\r\nHost: x\r\n"
		    "Connection: close\r\n\r\n",
		    page, sizeof(page));
	} while (strstr(page, text) == NULL && bg_clock_now_ms() < end_ms);
	ck_assert_msg(strstr(page, text) != NULL, "%s", page);
}

START_TEST(emptying_and_taking_back_reach_every_node)
{
	start_nodes(2, 3, 0);
	empty("dc2");
	cluster_wait_metric(&cl, EMPTIED, 1);
	wait_status(&cl.nodes[0], "# emptied data_centre=dc2 since=");
	wait_status(&cl.nodes[0], " running=0 nodes=3\n");
	empty("dc1");
	cluster_wait_metric(&cl, EMPTIED, 2);
	take_back("dc2");
	cluster_wait_metric(&cl, EMPTIED, 1);
	take_back("dc1");
	cluster_wait_metric(&cl, EMPTIED, 0);
}
END_TEST

/* Guards against news that needs the store or a direct link: data centre 2
 * reaches neither the store nor data centre 1. The nodes of data centre 3,
 * through which the news passes, do not follow emptied data centres, as those
 * of earlier builds. */
START_TEST(news_pass_by_a_data_centre_that_knows_neither)
{
	start_nodes(3, 2, 3);
	cluster_set_fault_rules(&cl, BRIDGE_CUT);
	cluster_control_platform(&cl, "{\"cut\": [\"127.2.\"]}");
	empty("dc2");
	wait_dc_metric(1, EMPTIED, 1);
	wait_dc_metric(2, EMPTIED, 1);
	wait_dc_metric(3, EMPTIED, 0);
	take_back("dc2");
	wait_dc_metric(1, EMPTIED, 0);
	wait_dc_metric(2, EMPTIED, 0);
}
END_TEST

static struct cluster_node *
wait_reader(void)
{
	uint64_t end_ms = bg_clock_now_ms() + CLUSTER_WAIT_MS;
	size_t i = 0;

	while (node_metric(&cl.nodes[i], "burdock_config_reader") != 1 &&
	    bg_clock_now_ms() < end_ms)
		i = (i + 1) % cl.node_count;
	return &cl.nodes[i];
}

/* Guards against an emptying that nobody reads, since the node that reads the
 * store for the others is of an earlier build. */
START_TEST(reader_knows_no_emptied_data_centres)
{
	struct cluster_node *reader;
	struct cluster_node *aware;

	start_nodes(1, 3, 1);
	reader = wait_reader();
	aware = reader == &cl.nodes[0] ? &cl.nodes[1] : &cl.nodes[0];
	node_kill(aware);
	snprintf(aware->extra_settings, sizeof(aware->extra_settings),
	    "[emptying]\nfollow = true\n");
	node_start(&cl, aware);
	node_wait_metric(aware, "burdock_config_version", 1);
	ck_assert_ptr_eq(wait_reader(), reader);
	empty("dc1");
	node_wait_metric(aware, EMPTIED, 1);
	take_back("dc1");
	node_wait_metric(aware, EMPTIED, 0);
}
END_TEST

/* Guards against members that are dropped on the hearsay of a side that cannot
 * reach them. */
START_TEST(bridge_cut_drops_no_members)
{
	uint64_t version;

	start_nodes(3, 2, 0);
	cluster_set_fault_rules(&cl, BRIDGE_CUT);
	cluster_control_platform(&cl, "{\"cut\": [\"127.2.\"]}");
	version = cluster_publish(&cl, "atelier");
	cluster_wait_metric(&cl, "burdock_config_version", (long)version);
	cluster_wait_metric(&cl, "burdock_mesh_members", 6);
}
END_TEST

/* Guards against a node that forgets an emptying with its process: it is killed
 * right after it learned of it, and starts without the store. */
START_TEST(node_is_killed_after_it_learned)
{
	struct cluster_node *killed;

	start_nodes(1, 3, 0);
	killed = &cl.nodes[1];
	empty("dc1");
	node_wait_metric(killed, EMPTIED, 1);
	node_kill(killed);
	cluster_wait_metric(&cl, EMPTIED, 1);
	node_start(&cl, killed);
	cluster_wait_metric(&cl, EMPTIED, 1);
	cluster_control_platform(&cl, "{\"cut\": [\"127.1.0.2\"]}");
	node_kill(killed);
	node_start(&cl, killed);
	node_wait_metric(killed, EMPTIED, 1);
}
END_TEST

/* Guards against a node that was paused while a data centre was emptied and
 * acts on what it knew before. */
START_TEST(pause_of_6_s_over_an_emptying)
{
	uint64_t end_ms;

	start_nodes(1, 3, 0);
	node_signal(&cl.nodes[0], SIGSTOP);
	end_ms = bg_clock_now_ms() + 6000;
	empty("dc1");
	node_wait_metric(&cl.nodes[1], EMPTIED, 1);
	while (bg_clock_now_ms() < end_ms)
		cluster_sleep();
	node_signal(&cl.nodes[0], SIGCONT);
	node_wait_metric(&cl.nodes[0], DOUBTS, 1);
	node_wait_metric(&cl.nodes[0], EMPTIED, 1);
}
END_TEST

/* Guards against an emptying that is undone by the end of the one before it, or
 * an end that is missed, while no node reaches the store. */
START_TEST(changes_while_the_store_is_silent)
{
	start_nodes(2, 2, 0);
	empty("dc1");
	cluster_wait_metric(&cl, EMPTIED, 1);
	cluster_control_platform(&cl, "{\"cut\": [\"127.1.\", \"127.2.\"]}");
	take_back("dc1");
	empty("dc1");
	cluster_control_platform(&cl, "{\"cut\": []}");
	cluster_wait_metric(&cl, CHANGES, 2);
	cluster_wait_metric(&cl, EMPTIED, 1);
	cluster_control_platform(&cl, "{\"cut\": [\"127.1.\", \"127.2.\"]}");
	take_back("dc1");
	empty("dc2");
	cluster_control_platform(&cl, "{\"drop_history\": true}");
	cluster_control_platform(&cl, "{\"cut\": []}");
	cluster_wait_metric(&cl, CHANGES, 4);
	cluster_wait_metric(&cl, EMPTIED, 1);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("emptying");

	tcase_set_timeout(tc, 110);
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, emptying_and_taking_back_reach_every_node);
	tcase_add_test(tc, news_pass_by_a_data_centre_that_knows_neither);
	tcase_add_test(tc, reader_knows_no_emptied_data_centres);
	tcase_add_test(tc, bridge_cut_drops_no_members);
	tcase_add_test(tc, node_is_killed_after_it_learned);
	tcase_add_test(tc, pause_of_6_s_over_an_emptying);
	tcase_add_test(tc, changes_while_the_store_is_silent);
	return run_suite_forked("emptying", tc);
}
