/* Runs the burdockgrade program against bg-platform and stub nodes that respond
 * with fixed pages. */

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <check.h>
#include <jansson.h>
#include <limits.h>
#include <sys/stat.h>
#include <time.h>

#include "standin.h"

#include "suite.h"

#define OUTPUT_BYTES 32768
#define ARGS_MAX 16

static struct standin platform;
static char directory[64];
static char output[OUTPUT_BYTES];

static void
write_file(const char *name, const char *text)
{
	char path[128];
	FILE *fp;

	snprintf(path, sizeof(path), "%s/%s", directory, name);
	fp = fopen(path, "w");
	ck_assert_ptr_nonnull(fp);
	fputs(text, fp);
	fclose(fp);
}

/* Writes a questionnaire to NAME.toml. @param dependencies quoted names,
 * separated by commas */
static void
write_questionnaire(const char *name, const char *dependencies, int slots)
{
	char file[64];
	char text[1024];

	snprintf(text, sizeof(text),
	    "name = \"%s\"\ndependencies = [%s]\n"
	    "[[route]]\nname = \"r\"\npath = \"/%s\"\nmethods = [\"GET\"]\n"
	    "idempotent = true\ndeadline_ms = 1000\nslow_ms = 100\n"
	    "criticality = \"normal\"\n[servers]\nslots = %d\n"
	    "connections = 120\n[move]\nstart = \"operator\"\n"
	    "take_over_s = 77\nmax_error_percent = 1\n"
	    "[objective]\navailability_percent = 99.9\n",
	    name, dependencies, name, slots);
	snprintf(file, sizeof(file), "%s.toml", name);
	write_file(file, text);
}

/* Reads the output of a process until it exits. @return its exit code */
static int
read_output(pid_t pid, int fd)
{
	size_t used = 0;
	ssize_t n;
	int status;

	while ((n = read(fd, output + used, sizeof(output) - used - 1)) > 0)
		used += (size_t)n;
	output[used] = '\0';
	close(fd);
	ck_assert_int_eq(waitpid(pid, &status, 0), pid);
	ck_assert_msg(WIFEXITED(status), "%s", output);
	return WEXITSTATUS(status);
}

/* Runs the program in the directory of the test. @param args ends with NULL
 * @return its exit code; the output is in output */
static int
run_command(const char *const *args)
{
	char path[PATH_MAX];
	char *argv[ARGS_MAX] = {path};
	posix_spawn_file_actions_t actions;
	int count;
	int fds[2];
	pid_t pid;

	snprintf(path, sizeof(path), "%s/burdockgrade", getenv("BG_BIN"));
	for (count = 1; args[count - 1] != NULL; count++)
		argv[count] = (char *)args[count - 1];
	ck_assert_int_lt(count, ARGS_MAX);
	ck_assert_int_eq(pipe(fds), 0);
	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addchdir_np(&actions, directory);
	posix_spawn_file_actions_adddup2(&actions, fds[1], 1);
	posix_spawn_file_actions_adddup2(&actions, fds[1], 2);
	posix_spawn_file_actions_addclose(&actions, fds[0]);
	ck_assert_int_eq(
	    posix_spawn(&pid, path, &actions, NULL, argv, environ), 0);
	posix_spawn_file_actions_destroy(&actions);
	close(fds[1]);
	return read_output(pid, fds[0]);
}

/* Runs the program and checks its exit code and that it prints a text. */
#define EXPECT(code, text, ...)                                          \
	do {                                                             \
		const char *const args[] = {__VA_ARGS__, NULL};          \
		int exit_code = run_command(args);                       \
		ck_assert_msg(                                           \
		    exit_code == (code) && strstr(output, text) != NULL, \
		    "exit %d: %s", exit_code, output);                   \
	} while (0)

/* Gets an integer from the output, which must be a JSON object. */
static long
json_number(const char *name)
{
	json_t *root = json_loads(output, 0, NULL);
	const json_t *value = json_object_get(root, name);
	long number;

	ck_assert_msg(json_is_integer(value), "%s", output);
	number = (long)json_integer_value(value);
	json_decref(root);
	return number;
}

static void
setup(void)
{
	snprintf(directory, sizeof(directory), "/tmp/bg-cli-XXXXXX");
	ck_assert_ptr_nonnull(mkdtemp(directory));
	standin_start(&platform, "bg-platform", "127.0.0.1:0");
	setenv("BURDOCKGRADE_PLATFORM", platform.address, 1);
	unsetenv("BURDOCKGRADE_NODE");
	write_questionnaire("catalogue", "", 6);
	write_questionnaire("orders", "\"catalogue\"", 6);
}

static void
teardown(void)
{
	static const char *const files[] = {
	    "catalogue.toml", "orders.toml", "fresh.toml"};
	char path[128];
	size_t i;

	for (i = 0; i < sizeof(files) / sizeof(files[0]); i++) {
		snprintf(path, sizeof(path), "%s/%s", directory, files[i]);
		unlink(path);
	}
	rmdir(directory);
	if (platform.pid != 0)
		standin_stop(&platform);
	platform.pid = 0;
}

/* Guards against an invalid command line that is accepted, or that is reported
 * with another exit code than 2. */
START_TEST(bad_usage_exits_with_2)
{
	EXPECT(2, "Usage", NULL);
	EXPECT(2, "unknown command", "frobnicate");
	EXPECT(2, "expected FILE", "accept");
	EXPECT(2, "unexpected argument", "withdraw", "a", "b");
	EXPECT(2, "unrecognized option", "status", "--nope");
	EXPECT(2, "expected a number", "accept", "--expect", "x", "a.toml");
	EXPECT(2, "expected a number", "accept", "--expect", "-1", "a.toml");
	EXPECT(2, "at least 1", "move", "orders", "2", "--within", "0");
	EXPECT(2, "IP:PORT", "status", "--node", "host:80");
	EXPECT(2, "--node", "status");
	EXPECT(2, "--node", "status", "--node", "");
	EXPECT(2, "--node", "status", "--json", "--node", "");
	EXPECT(2, "--node", "report", "burn", "--node", "");
	EXPECT(2, "not an IP address", "plan", "--platform", "host",
	    "orders.toml");
	unsetenv("BURDOCKGRADE_PLATFORM");
	EXPECT(2, "--platform", "plan", "orders.toml");
	EXPECT(0, "Exit codes", "--help");
	EXPECT(0, "--within", "move", "--help");
}
END_TEST

/* Guards against overwriting a questionnaire that an operator has filled in,
 * and against an empty template that passes the check. */
START_TEST(new_never_overwrites)
{
	EXPECT(0, "fresh.toml", "new", "fresh");
	EXPECT(2, "exists", "new", "fresh");
	EXPECT(2, "fresh.toml:23: route.name", "check", "fresh.toml");
	EXPECT(2, "letters", "new", "a/b");
	EXPECT(0, "name = \"fresh\"", "new", "fresh", "--output", "-");
}
END_TEST

/* Guards against a check that stops after the first invalid file, so that the
 * errors of the others are not reported. */
START_TEST(check_reports_all_files)
{
	write_questionnaire("catalogue", "", 0);
	write_questionnaire("orders", "", 500);
	EXPECT(2, "catalogue.toml:12: servers.slots", "check", "orders.toml",
	    "catalogue.toml");
	ck_assert_ptr_nonnull(
	    strstr(output, "orders.toml:13: servers.connections"));
	EXPECT(2, "\"code\": \"invalid\"", "check", "--json", "orders.toml");
	EXPECT(2, "expected a readable file", "check", "absent.toml");
}
END_TEST

/* Guards against rejecting a dependency although the accepted services are
 * unknown, and against not checking it although they are known. */
START_TEST(check_uses_accepted_services)
{
	EXPECT(2, "orders.toml:2: dependencies", "check", "orders.toml");
	EXPECT(0, "ok", "accept", "catalogue.toml", "--json");
	EXPECT(0, "service orders: ok", "check", "orders.toml");
	unsetenv("BURDOCKGRADE_PLATFORM");
	EXPECT(0, "not compared", "check", "orders.toml");
}
END_TEST

/* Guards against a plan that writes to the platform, an accept that changes
 * nothing, and a conflict that is not reported with exit code 3, by which
 * scripts recognise it. */
START_TEST(plan_accept_and_conflict)
{
	EXPECT(
	    0, "add service orders", "plan", "orders.toml", "catalogue.toml");
	ck_assert_int_eq(standin_stat(&platform, "writes"), 0);
	EXPECT(0, "config=1", "accept", "orders.toml", "catalogue.toml");
	EXPECT(0, "no change", "plan", "orders.toml");
	write_questionnaire("orders", "\"catalogue\"", 7);
	EXPECT(0, "slots a server: 6 -> 7", "plan", "orders.toml");
	EXPECT(0, "config=2", "accept", "--expect", "1", "orders.toml");
	write_questionnaire("orders", "\"catalogue\"", 8);
	EXPECT(3, "conflict", "accept", "--expect", "1", "orders.toml");
	EXPECT(3, "\"code\": \"conflict\"", "accept", "--expect", "1", "--json",
	    "orders.toml");
	write_questionnaire("catalogue", "\"orders\"", 6);
	EXPECT(
	    2, "catalogue -> orders -> catalogue", "accept", "catalogue.toml");
	EXPECT(0, "accept orders rev=2 operator=anna", "history", "-l", "9");
}
END_TEST

/* Guards against a withdraw or move that does not print the config version to
 * wait for, and against starting a move while another is in progress. */
START_TEST(withdraw_and_move)
{
	EXPECT(2, "not accepted yet", "withdraw", "orders");
	EXPECT(2, "not accepted yet", "move", "orders", "2.0");
	EXPECT(0, "config=1", "accept", "orders.toml", "catalogue.toml");
	EXPECT(2, "no earlier revision", "withdraw", "orders");
	write_questionnaire("orders", "\"catalogue\"", 7);
	EXPECT(0, "config=2", "accept", "orders.toml");
	EXPECT(0, "withdraw orders: config=3", "withdraw", "orders");
	EXPECT(0, "move orders 2.0: config=4", "move", "orders", "2.0");
	EXPECT(3, "in progress", "move", "orders", "2.1");
	EXPECT(0, "move orders version=2.0", "history", "orders");
	ck_assert_ptr_null(strstr(output, "catalogue"));
	EXPECT(0, "\"changes\"", "history", "--json", "--limit", "1");
	ck_assert_ptr_null(strstr(output, "withdraw"));
}
END_TEST

/* Guards against an outage of the platform that is reported with the exit
 * code for invalid input, so that scripts do not retry. */
START_TEST(unreachable_platform_exits_with_4)
{
	EXPECT(0, "config=1", "accept", "catalogue.toml");
	standin_control(&platform, "{\"outage\":true}");
	EXPECT(4, "unavailable", "accept", "orders.toml");
	EXPECT(4, "unavailable", "history");
	standin_control(&platform, "{\"outage\":false}");
	EXPECT(0, "config=2", "accept", "orders.toml");
	standin_stop(&platform);
	platform.pid = 0;
	EXPECT(4, "\"code\": \"unavailable\"", "plan", "--json", "orders.toml");
	EXPECT(4, "unavailable", "withdraw", "orders");
	EXPECT(4, "unavailable", "move", "orders", "2");
}
END_TEST

/* Guards against a change that is made twice, or reported as failed, because
 * the responses to its writes were lost. */
START_TEST(lost_write_responses_are_resolved)
{
	int i;

	for (i = 1; i <= 3; i++) {
		write_questionnaire("catalogue", "", 6 + i);
		standin_control(&platform,
		    i == 1	 ? "{\"lose_next_write_answers\":1}"
			: i == 2 ? "{\"lose_next_write_answers\":2}"
				 : "{\"lose_next_write_answers\":3}");
		EXPECT(0, "\"ok\": true", "accept", "--json", "catalogue.toml");
		ck_assert_int_eq(json_number("config"), i);
	}
}
END_TEST

/* HTTP server in place of a node. Each request gets the next page; the last
 * page is repeated. */
struct node_stub {
	const char *const *pages; /* ends with NULL */
	size_t page;		  /* index of the next one */
	pid_t pid;
	int status;
	char address[64];
};

static void
on_request(struct evhttp_request *req, void *arg)
{
	struct node_stub *stub = arg;
	struct evbuffer *body = evbuffer_new();

	evbuffer_add_printf(body, "%s", stub->pages[stub->page]);
	if (stub->pages[stub->page + 1] != NULL)
		stub->page++;
	evhttp_send_reply(req, stub->status, "OK", body);
	evbuffer_free(body);
}

/* Serves pages in a child process until stub_stop. */
static void
stub_start_with_status(
    struct node_stub *out, const char *const *pages, int status)
{
	struct evhttp_bound_socket *bound;
	struct event_base *base;
	struct sockaddr_in sin = {0};
	socklen_t sin_bytes = sizeof(sin);
	struct evhttp *http;

	memset(out, 0, sizeof(*out));
	out->pages = pages;
	out->status = status;
	base = event_base_new();
	http = evhttp_new(base);
	bound = evhttp_bind_socket_with_handle(http, "127.0.0.1", 0);
	ck_assert_ptr_nonnull(bound);
	getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&sin,
	    &sin_bytes);
	snprintf(out->address, sizeof(out->address), "127.0.0.1:%u",
	    ntohs(sin.sin_port));
	evhttp_set_gencb(http, on_request, out);
	if ((out->pid = fork()) == 0) {
		event_reinit(base);
		event_base_dispatch(base);
		_exit(0);
	}
	ck_assert_int_gt(out->pid, 0);
	evhttp_free(http);
	event_base_free(base);
}

static void
stub_start(struct node_stub *out, const char *const *pages)
{
	stub_start_with_status(out, pages, 200);
}

static void
stub_stop(struct node_stub *stub)
{
	kill(stub->pid, SIGKILL);
	waitpid(stub->pid, NULL, 0);
}

/* Status line of the service orders. */
#define LINE(state, version, config, age)                                      \
	state " orders version=" version " config=" config " since=T age=" age \
	      "s serving=1\n"

/* Guards against exit code 0 if a service has no status, the node does not
 * respond or is not synced, and against printing services that were not named.
 */
START_TEST(status_of_named_services)
{
	static const char *const text[] = {
	    "done catalogue version=1 config=1 since=T age=0s serving=1\n" LINE(
		"in progress", "2", "3", "0"),
	    NULL};
	static const char *const json[] = {
	    "{\"synced\":true,\"services\":[{\"state\":\"done\",\"service\":"
	    "\"orders\",\"config\":3,\"age_ms\":1},{\"state\":\"done\","
	    "\"service\":\"x\",\"config\":3}]}",
	    NULL};
	static const char *const unsynced[] = {
	    "# not synced: this node knows no version yet\n", NULL};
	struct node_stub stub;

	stub_start(&stub, text);
	EXPECT(0, "done catalogue", "status", "--node", stub.address);
	EXPECT(0, "in progress orders", "status", "orders", "--node",
	    stub.address);
	ck_assert_ptr_null(strstr(output, "catalogue"));
	EXPECT(1, "knows no service x", "status", "x", "--node", stub.address);
	stub_stop(&stub);
	/* The stub is stopped, so connections to its address are refused. */
	EXPECT(1, "does not answer", "status", "--node", stub.address);
	stub_start(&stub, json);
	EXPECT(0, "\"service\": \"orders\"", "status", "orders", "--json",
	    "--node", stub.address);
	ck_assert_ptr_null(strstr(output, "\"x\""));
	stub_stop(&stub);
	stub_start(&stub, unsynced);
	EXPECT(1, "not synced", "status", "--node", stub.address);
	stub_stop(&stub);
}
END_TEST

/* Guards against organisations that are missing from the output or are shown
 * although they were not named, against exit code 0 for one that is not in
 * force, and against a node without a configuration that seems to need no key.
 */
START_TEST(organisations_of_a_node)
{
	static const char *const page[] = {
	    "{\"synced\":true,\"version\":7,\"keys_needed\":true,"
	    "\"organisations\":["
	    "{\"name\":\"alpha\",\"keys\":0,\"rate_per_s\":0.0,\"burst\":0},"
	    "{\"name\":\"beta\",\"keys\":3,\"rate_per_s\":2.5,\"burst\":9,"
	    "\"priority\":1}]}",
	    NULL};
	static const char *const invalid[] = {
	    "{\"synced\":true,\"organisations\":[{\"name\":7}]}", NULL};
	static const char *const unsynced[] = {
	    "{\"synced\":false,\"version\":0,\"keys_needed\":false,"
	    "\"organisations\":[]}",
	    NULL};
	struct node_stub stub;

	stub_start(&stub, page);
	EXPECT(0, "alpha keys=0 priority=route rate=unlimited\n", "keys",
	    "--node", stub.address);
	ck_assert_ptr_nonnull(strstr(output, "version 7: callers need a key"));
	EXPECT(0, "beta keys=3 priority=1 rate=2.500/s burst=9\n", "keys",
	    "beta", "--node", stub.address);
	ck_assert_ptr_null(strstr(output, "alpha"));
	EXPECT(
	    0, "\"keys\": 3", "keys", "beta", "--json", "--node", stub.address);
	ck_assert_ptr_null(strstr(output, "alpha"));
	EXPECT(1, "gamma is not in force", "keys", "gamma", "--node",
	    stub.address);
	stub_stop(&stub);
	stub_start(&stub, invalid);
	EXPECT(1, "cannot parse", "keys", "--node", stub.address);
	stub_stop(&stub);
	stub_start(&stub, unsynced);
	EXPECT(1, "not synced", "keys", "--node", stub.address);
	ck_assert_ptr_null(strstr(output, "need no key"));
	stub_stop(&stub);
}
END_TEST

/* Guards against a picked server, an excluded one or a refusal that is not
 * shown, and against exit code 0 for a request that would go nowhere. */
START_TEST(way_of_a_request)
{
	static const char *const page[] = {
	    "{\"synced\":true,\"version\":7,\"route\":{\"name\":\"lookup\","
	    "\"idempotent\":true,\"timeout_ms\":1500,\"target_ms\":400,"
	    "\"attempts\":2,\"priority\":1},\"organisation\":{\"name\":"
	    "\"beta\","
	    "\"rate_milli_per_s\":2500,\"burst\":9},\"services\":[{"
	    "\"service\":\"catalogue\",\"share_permille\":1000,\"move\":null,"
	    "\"cost_us\":12500,\"cost_by\":\"path\",\"servers\":["
	    "{\"node\":\"10.0.0.1:1\",\"data_centre\":\"bureau\","
	    "\"version\":\"v1\",\"picked\":true,\"value\":0.91,"
	    "\"wait_us\":1500,\"service_us\":20000,\"load\":3,\"slots\":6,"
	    "\"slowness_permille\":2500,\"report_age_ms\":120},"
	    "{\"node\":\"10.0.0.2:1\",\"data_centre\":\"entrepot\","
	    "\"version\":\"v1\",\"picked\":false,"
	    "\"excluded\":\"data centre emptied\"}]}]}",
	    NULL};
	static const char *const refused[] = {
	    "{\"synced\":true,\"version\":7,\"refused\":\"no route has this "
	    "path\"}",
	    NULL};
	static const char *const unsynced[] = {"{\"synced\":false}", NULL};
	struct node_stub stub;

	stub_start(&stub, page);
	EXPECT(0, "* 10.0.0.1:1", "where", "GET", "http://shop.example/a?b=c",
	    "--organisation", "beta", "--node", stub.address);
	ck_assert_ptr_nonnull(strstr(output, "value=0.910 wait=1.5ms"));
	ck_assert_ptr_nonnull(strstr(output, "slowness=2.50"));
	ck_assert_ptr_nonnull(strstr(output, "excluded: data centre emptied"));
	ck_assert_ptr_nonnull(strstr(output, "cap 2.500/s burst 9"));
	EXPECT(0, "\"value\": 0.91", "where", "GET", "shop.example/a", "--json",
	    "--node", stub.address);
	EXPECT(2, "expected a URL", "where", "GET", "shop.example", "--node",
	    stub.address);
	stub_stop(&stub);
	stub_start(&stub, refused);
	EXPECT(1, "refused: no route has this path", "where", "GET",
	    "shop.example/a", "--node", stub.address);
	stub_stop(&stub);
	stub_start(&stub, unsynced);
	EXPECT(1, "not synced", "where", "GET", "shop.example/a", "--node",
	    stub.address);
	stub_stop(&stub);
}
END_TEST

/* Guards against a status that fails because the first of several nodes is
 * down. */
START_TEST(status_uses_first_responding_node)
{
	static const char *const pages[] = {LINE("done", "2", "3", "0"), NULL};
	struct node_stub dead;
	struct node_stub stub;
	char nodes[160];

	stub_start(&dead, pages);
	stub_stop(&dead);
	stub_start(&stub, pages);
	snprintf(nodes, sizeof(nodes), "%s,%s", dead.address, stub.address);
	EXPECT(0, "done orders", "status", "--node", nodes);
	stub_stop(&stub);
}
END_TEST

/* Guards against printing the page of a response whose status is not 200, such
 * as 000, and against not asking the next node. */
START_TEST(page_with_a_broken_status_is_not_printed)
{
	static const char *const pages[] = {LINE("done", "2", "3", "0"), NULL};
	static const int statuses[] = {0, 99, 204, 600};
	struct node_stub broken;
	struct node_stub stub;
	char nodes[160];

	stub_start_with_status(&broken, pages, statuses[_i]);
	stub_start(&stub, pages);
	EXPECT(1, statuses[_i] == 0 ? "does not answer" : "HTTP status",
	    "status", "--node", broken.address);
	ck_assert_ptr_null(strstr(output, "done orders"));
	snprintf(nodes, sizeof(nodes), "%s,%s", broken.address, stub.address);
	EXPECT(0, "done orders", "status", "--node", nodes);
	stub_stop(&broken);
	stub_stop(&stub);
}
END_TEST

/* Guards against a watch that ends because an earlier change is done, or that
 * prints a line again although only its age changed. */
START_TEST(watch_waits_for_the_config_version)
{
	static const char *const pages[] = {LINE("done", "1", "3", "0"),
	    LINE("done", "1", "3", "1"), LINE("in progress", "2", "4", "0"),
	    LINE("in progress", "2", "4", "2"), LINE("done", "2", "4", "0"),
	    NULL};
	struct node_stub stub;

	stub_start(&stub, pages);
	EXPECT(0, "", "watch", "orders", "--config", "4", "--timeout", "30",
	    "--node", stub.address);
	ck_assert_str_eq(output,
	    LINE("done", "1", "3", "0") LINE("in progress", "2", "4", "0")
		LINE("done", "2", "4", "0"));
	stub_stop(&stub);
}
END_TEST

/* Guards against a watch that exits with 0 after a rollback or a timeout. */
START_TEST(watch_fails_on_rollback_and_timeout)
{
	static const char *const rolled_back[] = {
	    LINE("in progress", "2", "4", "0"),
	    LINE("rolled back", "2", "4", "0"), NULL};
	static const char *const in_progress[] = {
	    LINE("in progress", "2", "4", "0"), NULL};
	struct node_stub stub;

	stub_start(&stub, rolled_back);
	EXPECT(1, "rolled back orders", "watch", "orders", "--timeout", "30",
	    "--node", stub.address);
	stub_stop(&stub);
	stub_start(&stub, in_progress);
	EXPECT(1, "not done in time", "watch", "orders", "--timeout", "1",
	    "--node", stub.address);
	EXPECT(1, "not done in time", "watch", "other", "--timeout", "1",
	    "--node", stub.address);
	stub_stop(&stub);
}
END_TEST

/* Guards against a report that lacks the calls of a node, that treats a node
 * without a response or with malformed counts as one without calls, or that
 * does not write the HTML file. */
START_TEST(report_sums_counts_and_names_missing_nodes)
{
	static const char *const malformed[] = {"[{}]", NULL};
	const char *pages[] = {NULL, NULL};
	struct node_stub stubs[4];
	char page[256];
	char nodes[300];
	char path[128];
	struct stat info;
	int i;

	snprintf(page, sizeof(page),
	    "[{\"service\":\"orders\",\"route\":\"r\",\"version\":\"2.0\","
	    "\"minutes\":[[%lld,4321,500]]}]",
	    (long long)time(NULL) / 60);
	pages[0] = page;
	EXPECT(0, "ok", "accept", "--json", "orders.toml", "catalogue.toml");
	EXPECT(0, "move orders 2.0", "move", "orders", "2.0");
	for (i = 0; i < 4; i++)
		stub_start(&stubs[i], i == 3 ? malformed : pages);
	stub_stop(&stubs[2]);
	snprintf(
	    nodes, sizeof(nodes), "%s,%s", stubs[0].address, stubs[1].address);
	EXPECT(0, "2 of 2 answered", "report", "burn", "--node", nodes);
	ck_assert_ptr_nonnull(strstr(output, "8642"));
	ck_assert_ptr_nonnull(strstr(output, "page"));
	ck_assert_ptr_nonnull(strstr(output, "failed=1000"));
	EXPECT(0, "<svg", "report", "burn", "--html", "-", "--node", nodes);
	EXPECT(0, "", "report", "burn", "--html", "burn.html", "--node", nodes);
	snprintf(path, sizeof(path), "%s/burn.html", directory);
	ck_assert_int_eq(stat(path, &info), 0);
	ck_assert_int_gt(info.st_size, 0);
	unlink(path);
	snprintf(nodes, sizeof(nodes), "%s,%s,%s", stubs[0].address,
	    stubs[2].address, stubs[3].address);
	EXPECT(1, "1 of 3 answered", "report", "burn", "--node", nodes);
	ck_assert_ptr_nonnull(strstr(output, "does not answer"));
	ck_assert_ptr_nonnull(strstr(output, "not a burn report"));
	EXPECT(
	    1, "\"failed\": 500", "report", "burn", "--json", "--node", nodes);
	/* Not 99.900000000000006. */
	ck_assert_ptr_nonnull(strstr(output, "\"objective_percent\": 99.9,"));
	EXPECT(2, "unknown report", "report", "heat", "--node", nodes);
	EXPECT(2, "mutually exclusive", "report", "burn", "--json", "--html",
	    "x", "--node", nodes);
	EXPECT(2, "--node", "report", "burn");
	standin_control(&platform, "{\"outage\":true}");
	EXPECT(4, "unavailable", "report", "burn", "--node", nodes);
	for (i = 0; i < 4; i++)
		if (i != 2)
			stub_stop(&stubs[i]);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("cli");

	setenv("USER", "anna", 1);
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, bad_usage_exits_with_2);
	tcase_add_test(tc, new_never_overwrites);
	tcase_add_test(tc, check_reports_all_files);
	tcase_add_test(tc, check_uses_accepted_services);
	tcase_add_test(tc, plan_accept_and_conflict);
	tcase_add_test(tc, withdraw_and_move);
	tcase_add_test(tc, unreachable_platform_exits_with_4);
	tcase_add_test(tc, lost_write_responses_are_resolved);
	tcase_add_test(tc, status_of_named_services);
	tcase_add_test(tc, way_of_a_request);
	tcase_add_test(tc, organisations_of_a_node);
	tcase_add_test(tc, status_uses_first_responding_node);
	tcase_add_loop_test(tc, page_with_a_broken_status_is_not_printed, 0, 4);
	tcase_add_test(tc, watch_waits_for_the_config_version);
	tcase_add_test(tc, watch_fails_on_rollback_and_timeout);
	tcase_add_test(tc, report_sums_counts_and_names_missing_nodes);
	return run_suite("cli", tc);
}
