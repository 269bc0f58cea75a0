#ifndef BG_TESTS_CLUSTER_H
#define BG_TESTS_CLUSTER_H

/** @file
 * Real processes for tests: bg-platform and nodes, each node on its own
 * loopback address (127.DC.0.N). Programs are taken from the directory BG_BIN.
 * Processes left behind by a failed test are ended by check, which kills the
 * test's process group.
 */

#include <arpa/inet.h>
#include <check.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/document.h"

/* Time limit of each wait. Far above every time limit of the mesh, so that load
 * on the machine does not change the result. */
#define CLUSTER_WAIT_MS 40000
#define CLUSTER_POLL_MS 20
#define CLUSTER_NODES_MAX 24
#define CLUSTER_TEXT_BYTES 65536
#define CLUSTER_SERVICES_MAX 8

struct cluster_node {
	pid_t pid; /* 0: not running */
	int dc;
	int number;
	char ip[32];
	uint16_t mesh_port;
	uint16_t proxy_port; /* of bg-faultproxy, if used */
	uint16_t customer_port;
	char address[BG_ADDRESS_BYTES]; /* announced */
	char extra_settings[512];	/* appended to the settings file */
};

struct cluster {
	char dir[64];
	pid_t platform_pid;
	pid_t proxy_pid;
	uint16_t proxy_control_port;
	char platform[BG_ADDRESS_BYTES];
	struct cluster_node nodes[CLUSTER_NODES_MAX];
	size_t node_count;
	struct bg_head head;
	struct bg_contract contracts[CLUSTER_SERVICES_MAX];
};

static inline void
cluster_sleep(void)
{
	struct timespec ts = {0, CLUSTER_POLL_MS * 1000000};

	nanosleep(&ts, NULL);
}

/* Starts a program from BG_BIN with its standard output and error in a file. */
static inline pid_t
cluster_spawn(const char *program, char **argv, const char *log)
{
	extern char **environ;
	posix_spawn_file_actions_t actions;
	char path[512];
	pid_t pid;

	ck_assert_ptr_nonnull(getenv("BG_BIN"));
	snprintf(path, sizeof(path), "%s/%s", getenv("BG_BIN"), program);
	argv[0] = path;
	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addopen(
	    &actions, 1, log, O_WRONLY | O_CREAT | O_APPEND, 0600);
	posix_spawn_file_actions_adddup2(&actions, 1, 2);
	ck_assert_int_eq(
	    posix_spawn(&pid, path, &actions, NULL, argv, environ), 0);
	posix_spawn_file_actions_destroy(&actions);
	return pid;
}

/* Binds a socket to a port that is free. @return the socket */
static inline int
cluster_bind_port(uint16_t *out_port, const char *ip)
{
	struct sockaddr_in sin;
	socklen_t bytes = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	memset(&sin, 0, sizeof(sin));
	sin.sin_family = AF_INET;
	ck_assert_int_eq(inet_pton(AF_INET, ip, &sin.sin_addr), 1);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	getsockname(fd, (struct sockaddr *)&sin, &bytes);
	*out_port = ntohs(sin.sin_port);
	return fd;
}

/* Chooses the ports of a node. All are held until the last one is known, since
 * the kernel may give out a released one again. */
static inline void
cluster_choose_ports(struct cluster_node *node)
{
	int mesh_fd = cluster_bind_port(&node->mesh_port, node->ip);
	int proxy_fd = cluster_bind_port(&node->proxy_port, node->ip);
	int customer_fd = cluster_bind_port(&node->customer_port, node->ip);

	close(mesh_fd);
	close(proxy_fd);
	close(customer_fd);
}

/* Waits for the first line of a stand-in's log, "listening IP:PORT", and parses
 * the address. */
static inline void
cluster_read_address(char out[BG_ADDRESS_BYTES], const char *log)
{
	uint64_t end_ms = bg_clock_now_ms() + CLUSTER_WAIT_MS;
	int found = 0;
	FILE *fp;

	while (found != 1 && bg_clock_now_ms() < end_ms) {
		if ((fp = fopen(log, "r")) != NULL) {
			found = fscanf(fp, "listening %63s\n", out);
			fclose(fp);
		}
		cluster_sleep();
	}
	ck_assert_int_eq(found, 1);
}

static inline void
cluster_init(struct cluster *out)
{
	char *argv[] = {NULL, "--listen", "127.0.0.1:0", NULL};
	char log[128];

	memset(out, 0, sizeof(*out));
	snprintf(out->dir, sizeof(out->dir), "/tmp/bg-cluster-XXXXXX");
	ck_assert_ptr_nonnull(mkdtemp(out->dir));
	snprintf(log, sizeof(log), "%s/platform.log", out->dir);
	out->platform_pid = cluster_spawn("bg-platform", argv, log);
	cluster_read_address(out->platform, log);
	bg_head_init(&out->head);
}

static inline struct cluster_node *
cluster_add_node(struct cluster *cl, int dc, int number)
{
	struct cluster_node *node = &cl->nodes[cl->node_count++];

	node->dc = dc;
	node->number = number;
	snprintf(node->ip, sizeof(node->ip), "127.%d.0.%d", dc, number);
	cluster_choose_ports(node);
	snprintf(node->address, sizeof(node->address), "127.%d.0.%d:%u", dc,
	    number, node->mesh_port);
	return node;
}

static inline void
cluster_write_node_settings(
    const struct cluster *cl, const struct cluster_node *node, const char *path)
{
	FILE *fp = fopen(path, "w");

	ck_assert_ptr_nonnull(fp);
	fprintf(fp,
	    "[node]\naddress = \"%s\"\ndata_centre = \"dc%d\"\n"
	    "customer_port = %u\nmesh_port = %u\nadvertise = \"%s\"\n"
	    "[platform]\naddress = \"%s\"\ntimeout_ms = 1000\n"
	    "[limits]\nannounce_ms = 100\n[log]\nlevel = \"debug\"\n%s",
	    node->ip, node->dc, node->customer_port, node->mesh_port,
	    node->address, cl->platform, node->extra_settings);
	fclose(fp);
}

static inline void
node_start(struct cluster *cl, struct cluster_node *node)
{
	char path[128];
	char log[128];
	char *argv[] = {NULL, "--config", path, NULL};

	ck_assert_int_eq(node->pid, 0);
	snprintf(path, sizeof(path), "%s/%s.toml", cl->dir, node->ip);
	snprintf(log, sizeof(log), "%s/%s.log", cl->dir, node->ip);
	cluster_write_node_settings(cl, node, path);
	node->pid = cluster_spawn("burdockgraded", argv, log);
}

static inline void
node_signal(const struct cluster_node *node, int signo)
{
	ck_assert_int_gt(node->pid, 0);
	ck_assert_int_eq(kill(node->pid, signo), 0);
}

/* Kills the process and waits for it. */
static inline void
node_kill(struct cluster_node *node)
{
	node_signal(node, SIGKILL);
	ck_assert_int_eq(waitpid(node->pid, NULL, 0), node->pid);
	node->pid = 0;
}

/* Stops the process with SIGTERM. Its exit status must be 0, which also covers
 * sanitizer reports. */
static inline void
node_stop(struct cluster_node *node)
{
	int status;

	node_signal(node, SIGTERM);
	ck_assert_int_eq(waitpid(node->pid, &status, 0), node->pid);
	node->pid = 0;
	ck_assert_msg(WIFEXITED(status) && WEXITSTATUS(status) == 0,
	    "%s: exit status %d", node->ip, status);
}

/* Sends one HTTP request. @return 0, or -1 without a complete response */
static inline int
cluster_http(const char *ip, uint16_t port, const char *request, char *out,
    size_t out_bytes)
{
	struct timeval limit = {2, 0};
	struct sockaddr_in sin;
	size_t used = 0;
	ssize_t n = -1;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	memset(&sin, 0, sizeof(sin));
	sin.sin_family = AF_INET;
	sin.sin_port = htons(port);
	inet_pton(AF_INET, ip, &sin.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	out[0] = '\0';
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0 &&
	    send(fd, request, strlen(request), MSG_NOSIGNAL) ==
		(ssize_t)strlen(request)) {
		while (used + 1 < out_bytes &&
		    (n = recv(fd, out + used, out_bytes - used - 1, 0)) > 0)
			used += (size_t)n;
		out[used] = '\0';
	}
	close(fd);
	return n == 0 && used > 0 ? 0 : -1;
}

/* Reads a counter or gauge. @return its value, 0 if the node does not have it,
 * or -1 if the node does not respond */
static inline long
node_metric(const struct cluster_node *node, const char *name)
{
	static char text[CLUSTER_TEXT_BYTES];
	char line[128];
	const char *at;

	if (cluster_http(node->ip, node->customer_port,
		"GET /metrics HTTP/1.1\r\nHost: x\r\n"
		"Connection: close\r\n\r\n",
		text, sizeof(text)) != 0)
		return -1;
	snprintf(line, sizeof(line), "\n%s ", name);
	at = strstr(text, line);
	return at == NULL ? 0 : strtol(at + strlen(line), NULL, 10);
}

/* Waits until a metric has the expected value; fails the test after
 * CLUSTER_WAIT_MS. @return the value */
static inline long
node_wait_metric(
    const struct cluster_node *node, const char *name, long expected)
{
	uint64_t end_ms = bg_clock_now_ms() + CLUSTER_WAIT_MS;
	long value;

	while ((value = node_metric(node, name)) != expected &&
	    bg_clock_now_ms() < end_ms)
		cluster_sleep();
	ck_assert_msg(value == expected, "%s: %s is %ld, expected %ld",
	    node->ip, name, value, expected);
	return value;
}

/* Waits until the metric has the expected value on every running node. */
static inline void
cluster_wait_metric(const struct cluster *cl, const char *name, long expected)
{
	size_t i;

	for (i = 0; i < cl->node_count; i++) {
		if (cl->nodes[i].pid != 0)
			node_wait_metric(&cl->nodes[i], name, expected);
	}
}

static inline int
cluster_call_platform(const struct cluster *cl, const char *method,
    const char *path, const char *body, char *out, size_t out_bytes)
{
	static char request[CLUSTER_TEXT_BYTES];
	char ip[BG_ADDRESS_BYTES];
	char *colon;

	snprintf(ip, sizeof(ip), "%s", cl->platform);
	colon = strchr(ip, ':');
	*colon = '\0';
	snprintf(request, sizeof(request),
	    "%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    method, path, strlen(body), body);
	return cluster_http(
	    ip, (uint16_t)atoi(colon + 1), request, out, out_bytes);
}

static inline void
cluster_control_platform(const struct cluster *cl, const char *json)
{
	char response[1024];

	ck_assert_int_eq(cluster_call_platform(cl, "POST", "/control", json,
			     response, sizeof(response)),
	    0);
	ck_assert_msg(
	    strncmp(response, "HTTP/1.1 200", 12) == 0, "%s", response);
}

/* Builds a contract, which is valid if the dependency exists. */
static inline void
cluster_make_contract(
    struct bg_contract *out, const char *service, const char *dependency)
{
	memset(out, 0, sizeof(*out));
	snprintf(out->name, sizeof(out->name), "%s", service);
	snprintf(out->routes[0].name, BG_NAME_BYTES, "browse");
	snprintf(out->routes[0].prefix, BG_PREFIX_BYTES, "/%s", service);
	out->routes[0].methods = BG_METHOD_GET;
	out->routes[0].is_idempotent = 1;
	out->routes[0].deadline_ms = 1000;
	out->routes[0].slow_ms = 200;
	out->route_count = 1;
	if (dependency != NULL) {
		snprintf(out->dependencies[0], BG_NAME_BYTES, "%s", dependency);
		out->dependency_count = 1;
	}
	out->slots = 6;
	out->connections = 120;
	out->take_over_ms = 60000;
	out->soak_ms = 600000;
	out->max_error_permille = 10;
	out->slo_permyriad = 9990;
	out->slo_window_days = 30;
}

/* Sets the rules of bg-faultproxy.
 * @param rules text of a JSON array
 * @return 0, or -1 if they were not accepted */
static inline int
cluster_try_set_fault_rules(const struct cluster *cl, const char *rules)
{
	char request[1024];
	char response[1024];
	char body[768];

	snprintf(body, sizeof(body), "{\"rules\": %s}", rules);
	snprintf(request, sizeof(request),
	    "POST /control HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    strlen(body), body);
	if (cluster_http("127.0.0.1", cl->proxy_control_port, request, response,
		sizeof(response)) != 0)
		return -1;
	return strncmp(response, "HTTP/1.1 200", 12) == 0 ? 0 : -1;
}

static inline void
cluster_set_fault_rules(const struct cluster *cl, const char *rules)
{
	ck_assert_int_eq(cluster_try_set_fault_rules(cl, rules), 0);
}

/* Puts bg-faultproxy between the nodes added so far: each node announces the
 * proxy's address instead of its own. */
static inline void
cluster_start_proxy(struct cluster *cl)
{
	char maps[CLUSTER_NODES_MAX][128];
	char control[64];
	char log[128];
	char *argv[2 * CLUSTER_NODES_MAX + 4] = {NULL, "--control", control};
	uint64_t end_ms = bg_clock_now_ms() + CLUSTER_WAIT_MS;
	size_t argc = 3;
	size_t i;

	for (i = 0; i < cl->node_count; i++) {
		struct cluster_node *node = &cl->nodes[i];

		snprintf(node->address, sizeof(node->address), "127.%d.0.%d:%u",
		    node->dc, node->number, node->proxy_port);
		snprintf(maps[i], sizeof(maps[i]), "%s=%s:%u,rpc",
		    node->address, node->ip, node->mesh_port);
		argv[argc++] = "--map";
		argv[argc++] = maps[i];
	}
	close(cluster_bind_port(&cl->proxy_control_port, "127.0.0.1"));
	snprintf(
	    control, sizeof(control), "127.0.0.1:%u", cl->proxy_control_port);
	snprintf(log, sizeof(log), "%s/proxy.log", cl->dir);
	cl->proxy_pid = cluster_spawn("bg-faultproxy", argv, log);
	while (cluster_try_set_fault_rules(cl, "[]") != 0 &&
	    bg_clock_now_ms() < end_ms)
		cluster_sleep();
	cluster_set_fault_rules(cl, "[]");
}

/* Writes the document, regardless of the version in the store. */
static inline void
cluster_write_document(const struct cluster *cl, json_t *doc)
{
	static char response[CLUSTER_TEXT_BYTES];
	json_t *object = json_pack(
	    "{s:{s:s}, s:o}", "Metadata", "Name", "main", "Spec", doc);
	char *text = json_dumps(object, JSON_COMPACT);

	ck_assert_ptr_nonnull(text);
	ck_assert_int_eq(
	    cluster_call_platform(cl, "PUT", "/api/objects/burdock-config/main",
		text, response, sizeof(response)),
	    0);
	if (strncmp(response, "HTTP/1.1 404", 12) == 0)
		ck_assert_int_eq(cluster_call_platform(cl, "POST",
				     "/api/objects/burdock-config", text,
				     response, sizeof(response)),
		    0);
	ck_assert_msg(
	    strncmp(response, "HTTP/1.1 200", 12) == 0, "%s", response);
	free(text);
	json_decref(object);
}

/* Publishes the next version, with a new revision of one service.
 * @param dependency name of another service, or NULL
 * @return the version */
static inline uint64_t
cluster_publish_with_dependency(
    struct cluster *cl, const char *service, const char *dependency)
{
	struct bg_head_service *svc = bg_head_add(&cl->head, service);
	struct bg_contract ordered[CLUSTER_SERVICES_MAX];
	struct bg_contract *ctr = cl->contracts;
	json_t *doc;
	size_t i;
	size_t j;

	while (ctr->name[0] != '\0' && strcmp(ctr->name, service) != 0)
		ctr++;
	cluster_make_contract(ctr, service, dependency);
	cl->head.version++;
	svc->rev++;
	svc->changed = cl->head.version;
	svc->since_ms = bg_clock_wall_ms();
	ck_assert_int_eq(bg_contract_digest(&svc->digest, ctr), 0);
	for (i = 0; i < cl->head.service_count; i++) {
		for (j = 0; j < CLUSTER_SERVICES_MAX; j++) {
			if (strcmp(cl->contracts[j].name,
				cl->head.services[i].name) == 0)
				ordered[i] = cl->contracts[j];
		}
	}
	doc = bg_document_build(&cl->head, ordered);
	ck_assert_ptr_nonnull(doc);
	cluster_write_document(cl, doc);
	return cl->head.version;
}

static inline uint64_t
cluster_publish(struct cluster *cl, const char *service)
{
	return cluster_publish_with_dependency(cl, service, NULL);
}

/* Stops every process; nodes must exit with status 0. The logs are kept if
 * BG_KEEP is set, and after a failure. */
static inline void
cluster_free(struct cluster *cl)
{
	char command[96];
	size_t i;

	for (i = 0; i < cl->node_count; i++) {
		if (cl->nodes[i].pid != 0)
			node_signal(&cl->nodes[i], SIGTERM);
	}
	for (i = 0; i < cl->node_count; i++) {
		int status;

		if (cl->nodes[i].pid == 0)
			continue;
		ck_assert_int_eq(
		    waitpid(cl->nodes[i].pid, &status, 0), cl->nodes[i].pid);
		ck_assert_msg(WIFEXITED(status) && WEXITSTATUS(status) == 0,
		    "%s: exit status %d", cl->nodes[i].ip, status);
	}
	kill(cl->platform_pid, SIGTERM);
	waitpid(cl->platform_pid, NULL, 0);
	if (cl->proxy_pid != 0) {
		kill(cl->proxy_pid, SIGTERM);
		waitpid(cl->proxy_pid, NULL, 0);
	}
	bg_head_free(&cl->head);
	if (getenv("BG_KEEP") != NULL)
		return;
	snprintf(command, sizeof(command), "rm -r %s", cl->dir);
	ck_assert_int_eq(system(command), 0); /* NOLINT(cert-env33-c) */
}

#endif
