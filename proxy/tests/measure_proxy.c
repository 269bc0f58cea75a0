/* usage: measure_proxy [CALLS-PER-SECOND [SECONDS]]
 *
 * Measures the latency that ingress and gatekeeper add to a call, compared with
 * direct calls to the same backend server in the same run, and the processor
 * time of each process. The backend server and two nodes run as child
 * processes on loopback; this process is the client. */

#include <sys/resource.h>
#include <sys/wait.h>

#include <signal.h>
#include <unistd.h>

/* Exits if the set-up fails, since there is nothing to measure then. */
#define NODE_ASSERT(cond)        \
	do {                     \
		if (!(cond))     \
			exit(1); \
	} while (0)

#include "node.h"

#define CONNECTIONS 16
#define SAMPLES_MAX 400000
/* Samples at the start of a run that are left out. */
#define WARM_UP_SAMPLES 500

struct sampler {
	struct client clients[CONNECTIONS];
	uint64_t sent_us[CONNECTIONS];
	int is_busy[CONNECTIONS];
	uint32_t *latency_us;
	size_t count;
	size_t skipped;
	size_t failed;
	const char *path;
};

static struct event_base *base;
static struct sampler direct;
static struct sampler proxied;
static uint64_t started_us;
static uint64_t sent_count;
static uint64_t rate;

static void
read_exactly(int fd, void *buf, size_t bytes)
{
	if (read(fd, buf, bytes) != (ssize_t)bytes)
		exit(1);
}

static void
on_parent_exit(evutil_socket_t fd, short what, void *arg)
{
	event_base_loopbreak(arg);
}

/* Runs the event loop of a child process until the parent closes its pipe, then
 * prints processor time and memory, and exits. */
static void
run_until_parent_exit(struct event_base *b, int control_fd, const char *name)
{
	struct event *ev = event_new(b, control_fd, EV_READ, on_parent_exit, b);
	struct rusage before;
	struct rusage after;
	uint64_t us;

	event_add(ev, NULL);
	getrusage(RUSAGE_SELF, &before);
	event_base_dispatch(b);
	getrusage(RUSAGE_SELF, &after);
	us = (uint64_t)(after.ru_utime.tv_sec - before.ru_utime.tv_sec +
		 after.ru_stime.tv_sec - before.ru_stime.tv_sec) *
		1000000 +
	    (uint64_t)(after.ru_utime.tv_usec + after.ru_stime.tv_usec) -
	    (uint64_t)(before.ru_utime.tv_usec + before.ru_stime.tv_usec);
	printf("cpu %s %llu us, resident %ld KiB\n", name,
	    (unsigned long long)us, after.ru_maxrss);
	fflush(stdout);
	_exit(0);
}

struct child {
	pid_t pid;
	int control_fd; /* the child exits when this is closed */
	uint16_t ports[2];
};

static void
start_child(struct child *out, void (*run)(int in, int out, const void *arg),
    const void *arg)
{
	int to_child[2];
	int from_child[2];

	if (pipe(to_child) != 0 || pipe(from_child) != 0)
		exit(1);
	out->pid = fork();
	if (out->pid == 0) {
		close(to_child[1]);
		close(from_child[0]);
		run(to_child[0], from_child[1], arg);
	}
	close(to_child[0]);
	close(from_child[1]);
	out->control_fd = to_child[1];
	read_exactly(from_child[0], out->ports, sizeof(out->ports));
	close(from_child[0]);
}

static void
run_backend(int control_fd, int ports_fd, const void *arg)
{
	static struct backend be;
	uint16_t ports[2] = {0, 0};

	base = event_base_new();
	backend_listen(&be, base);
	ports[0] = be.port;
	if (write(ports_fd, ports, sizeof(ports)) < 0)
		_exit(1);
	run_until_parent_exit(base, control_fd, "backend");
}

/* arg: port of the backend server, and link port of the node to which calls are
 * sent, or 0 to serve them with the own gatekeeper. */
static void
run_node(int control_fd, int ports_fd, const void *arg)
{
	const uint16_t *args = arg;
	static struct node nd;
	struct bg_member *m;
	uint16_t ports[2];

	base = event_base_new();
	build_snapshot();
	node_start_with_backend(&nd, base, args[0]);
	nd.settings.server.slots = 18;
	m = nd.mesh.roster.members = calloc(1, sizeof(*m));
	nd.mesh.roster.member_count = 1;
	if (args[1] == 0)
		snprintf(m->address, sizeof(m->address), "%s", nd.mesh.address);
	else
		snprintf(
		    m->address, sizeof(m->address), "127.0.0.1:%u", args[1]);
	snprintf(m->data_centre, sizeof(m->data_centre), "a");
	snprintf(m->service, sizeof(m->service), "atelier");
	m->state = BG_MEMBER_READY;
	m->slots = 18;
	ports[0] = bg_proxy_port(nd.proxy);
	ports[1] = bg_link_server_port(nd.server);
	if (write(ports_fd, ports, sizeof(ports)) < 0)
		_exit(1);
	run_until_parent_exit(
	    base, control_fd, args[1] == 0 ? "gatekeeper" : "ingress");
}

static void
on_response(struct bufferevent *bev, void *arg)
{
	struct client *cl = arg;
	struct sampler *sm =
	    cl >= direct.clients && cl < direct.clients + CONNECTIONS
	    ? &direct
	    : &proxied;
	size_t i = (size_t)(cl - sm->clients);

	client_read(bev, cl);
	if (!client_has_response(cl))
		return;
	sm->is_busy[i] = 0;
	sm->failed += client_status(cl) != 200;
	if (sm->count < SAMPLES_MAX)
		sm->latency_us[sm->count++] =
		    (uint32_t)(bg_clock_now_us() - sm->sent_us[i]);
}

static void
open_sampler(struct sampler *sm, uint16_t port)
{
	int i;

	sm->latency_us = calloc(SAMPLES_MAX, sizeof(*sm->latency_us));
	sm->path = "/lookup";
	for (i = 0; i < CONNECTIONS; i++) {
		client_open(&sm->clients[i], base, port);
		bufferevent_setcb(sm->clients[i].bev, on_response, NULL,
		    client_event, &sm->clients[i]);
	}
}

static void
send_request(struct sampler *sm)
{
	int i;

	for (i = 0; i < CONNECTIONS && sm->is_busy[i]; i++)
		;
	if (i == CONNECTIONS) {
		sm->skipped++;
		return;
	}
	sm->is_busy[i] = 1;
	sm->sent_us[i] = bg_clock_now_us();
	client_send(&sm->clients[i],
	    "GET %s HTTP/1.1\r\nHost: x\r\nX-Request-Id: m-%llu\r\n\r\n",
	    sm->path, (unsigned long long)sent_count);
}

/* Sends calls at a fixed rate, alternately direct and proxied. */
static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	uint64_t due = (bg_clock_now_us() - started_us) * rate / 1000000;

	for (; sent_count < due; sent_count++)
		send_request(sent_count % 2 == 0 ? &direct : &proxied);
}

static int
compare_latency(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

static uint32_t
quantile(struct sampler *sm, double q)
{
	return sm->count == 0
	    ? 0
	    : sm->latency_us[(size_t)(q * (double)(sm->count - 1))];
}

static void
print_report(struct sampler *sm, const char *name)
{
	size_t warm_up_count =
	    sm->count > 2 * WARM_UP_SAMPLES ? WARM_UP_SAMPLES : 0;

	sm->count -= warm_up_count;
	memmove(sm->latency_us, sm->latency_us + warm_up_count,
	    sm->count * sizeof(*sm->latency_us));
	qsort(sm->latency_us, sm->count, sizeof(*sm->latency_us),
	    compare_latency);
	printf("%s calls=%zu p50=%u us p99=%u us p99.9=%u us failed=%zu "
	       "skipped=%zu\n",
	    name, sm->count, quantile(sm, 0.5), quantile(sm, 0.99),
	    quantile(sm, 0.999), sm->failed, sm->skipped);
}

int
main(int argc, char **argv)
{
	static const struct timeval tick = {0, 200};
	struct timeval duration = {0, 0};
	struct child backend;
	struct child gatekeeper;
	struct child ingress;
	uint16_t args[2];

	rate = argc > 1 ? strtoul(argv[1], NULL, 10) : 400;
	duration.tv_sec = argc > 2 ? atoi(argv[2]) : 10;
	signal(SIGPIPE, SIG_IGN);
	start_child(&backend, run_backend, NULL);
	args[0] = backend.ports[0];
	args[1] = 0;
	start_child(&gatekeeper, run_node, args);
	args[1] = gatekeeper.ports[1];
	start_child(&ingress, run_node, args);
	base = event_base_new();
	open_sampler(&direct, backend.ports[0]);
	open_sampler(&proxied, ingress.ports[0]);
	event_add(event_new(base, -1, EV_PERSIST, on_tick, NULL), &tick);
	started_us = bg_clock_now_us();
	event_base_loopexit(base, &duration);
	event_base_dispatch(base);
	print_report(&direct, "direct");
	print_report(&proxied, "proxied");
	printf("added p50=%d us p99=%d us\n",
	    (int)(quantile(&proxied, 0.5) - quantile(&direct, 0.5)),
	    (int)(quantile(&proxied, 0.99) - quantile(&direct, 0.99)));
	fflush(stdout);
	close(ingress.control_fd);
	waitpid(ingress.pid, NULL, 0);
	close(gatekeeper.control_fd);
	waitpid(gatekeeper.pid, NULL, 0);
	close(backend.control_fd);
	waitpid(backend.pid, NULL, 0);
	return 0;
}
