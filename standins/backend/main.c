#include <argp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "backend.h"

enum option_key {
	OPT_SERVICE = 256,
	OPT_VERSION,
	OPT_SLOTS,
	OPT_CONNECTIONS,
	OPT_OPEN_DELAY,
	OPT_PROBE_DELAY,
	OPT_SERVICE_TIME,
	OPT_COLD_START,
	OPT_ANSWER,
	OPT_LOG,
	OPT_LOAD,
	OPT_FAULT,
	OPT_NODE,
	OPT_CALLS,
	OPT_SEED,
};

static const struct argp_option OPTIONS[] = {
    {"listen", 'l', "IP:PORT", 0, "Address; port 0 takes a free one", 0},
    {"service", OPT_SERVICE, "NAME", 0, "Name of the service", 0},
    {"version", OPT_VERSION, "TEXT", 0, "Version of the server", 0},
    {"slots", OPT_SLOTS, "N", 0, "Calls at a time (6)", 0},
    {"connections", OPT_CONNECTIONS, "N", 0, "Open connections (120)", 0},
    {"open-delay-ms", OPT_OPEN_DELAY, "MS", 0,
	"Delay of the first answer on a connection (0)", 0},
    {"probe-delay-ms", OPT_PROBE_DELAY, "MS", 0, "Delay of /probe (0)", 0},
    {"service-time-us", OPT_SERVICE_TIME, "US", 0, "Mean service time (4000)",
	0},
    {"cold-start-ms", OPT_COLD_START, "MS", 0, "Five times slower at first (0)",
	0},
    {"answer-bytes", OPT_ANSWER, "N", 0, "Padding of an answer (0)", 0},
    {"log", OPT_LOG, "FILE", 0, "One JSON line for each start and end", 0},
    {"load-report", OPT_LOAD, "lag:MS|lie", 0, "How X-Load misleads", 0},
    {"fault", OPT_FAULT, "KIND[:N][@PATH]", 0,
	"fail, fail-after-s, fail-after-calls, slow, slow-load, die, late, "
	"truncate, wrong-length, crossed, mute, drip, lie-health",
	0},
    {"node", OPT_NODE, "IP:PORT", 0, "Node for calls to dependencies", 0},
    {"calls", OPT_CALLS, "PATH", 0, "Dependency to call; may be repeated", 0},
    {"seed", OPT_SEED, "N", 0, "Seed of service times (7)", 0},
    {0},
};

static uint32_t
parse_number(const char *text, struct argp_state *state)
{
	char *end;
	unsigned long value = strtoul(text, &end, 10);

	if (*text == '\0' || *end != '\0' || value > UINT32_MAX)
		argp_error(state, "%s: expected a number", text);
	return (uint32_t)value;
}

static void
parse_load(struct backend *bke, const char *text, struct argp_state *state)
{
	if (strcmp(text, "lie") == 0)
		faults_add(&bke->faults, "lie-health");
	else if (strncmp(text, "lag:", 4) == 0)
		bke->options.load_lag_ms = parse_number(text + 4, state);
	else
		argp_error(state, "%s: expected lag:MS or lie", text);
}

static error_t
parse_number_option(int key, char *arg, struct argp_state *state)
{
	struct backend_options *opts =
	    &((struct backend *)state->input)->options;
	const struct {
		int key;
		uint32_t *value;
	} NUMBERS[] = {
	    {OPT_SLOTS, &opts->slots},
	    {OPT_CONNECTIONS, &opts->connections},
	    {OPT_OPEN_DELAY, &opts->open_delay_ms},
	    {OPT_PROBE_DELAY, &opts->probe_delay_ms},
	    {OPT_SERVICE_TIME, &opts->service_time_us},
	    {OPT_COLD_START, &opts->cold_start_ms},
	    {OPT_ANSWER, &opts->answer_bytes},
	};
	size_t i;

	for (i = 0; i < sizeof(NUMBERS) / sizeof(NUMBERS[0]); i++) {
		if (NUMBERS[i].key == key) {
			*NUMBERS[i].value = parse_number(arg, state);
			return 0;
		}
	}
	return ARGP_ERR_UNKNOWN;
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct backend *bke = state->input;

	switch (key) {
	case 'l':
		bke->options.listen = arg;
		return 0;
	case OPT_SERVICE:
		bke->options.service = arg;
		return 0;
	case OPT_VERSION:
		bke->options.version = arg;
		return 0;
	case OPT_LOG:
		bke->options.log_path = arg;
		return 0;
	case OPT_LOAD:
		parse_load(bke, arg, state);
		return 0;
	case OPT_FAULT:
		if (faults_add(&bke->faults, arg) != 0)
			argp_error(state, "%s: unknown fault", arg);
		return 0;
	case OPT_NODE:
		bke->options.node = arg;
		return 0;
	case OPT_CALLS:
		if (bke->options.call_count == CHAIN_MAX)
			argp_error(state, "at most %d calls", CHAIN_MAX);
		bke->options.calls[bke->options.call_count++] = arg;
		return 0;
	case OPT_SEED:
		bke->options.seed = strtoull(arg, NULL, 10);
		return 0;
	default:
		return parse_number_option(key, arg, state);
	}
}

struct delayed {
	evhtp_request_t *request;
	struct backend *backend;
	struct event *timer;
	int is_probe;
};

static void
answer_probe(struct backend *bke, evhtp_request_t *req)
{
	char load[32];

	snprintf(load, sizeof(load), "%u/%u", load_reported(bke),
	    bke->options.slots);
	serve_add_header(req, "X-Load", load);
	serve_add_header(req, "X-Version", bke->options.version);
	if (bke->is_draining)
		serve_reply(req, EVHTP_RES_SERVUNAVAIL, "draining\n", 9);
	else
		serve_reply(req, EVHTP_RES_OK, "ok\n", 3);
}

static evhtp_res
on_delayed_gone(evhtp_request_t *req, void *arg)
{
	struct delayed *dly = arg;

	event_free(dly->timer);
	free(dly);
	return EVHTP_RES_OK;
}

static void
on_delay_over(evutil_socket_t fd, short what, void *arg)
{
	struct delayed *dly = arg;
	struct backend *bke = dly->backend;
	evhtp_request_t *req = dly->request;
	int is_probe = dly->is_probe;

	evhtp_request_unset_hook(req, evhtp_hook_on_request_fini);
	event_free(dly->timer);
	free(dly);
	if (is_probe)
		answer_probe(bke, req);
	else
		run_start(bke, req);
}

static void
delay(struct backend *bke, evhtp_request_t *req, uint32_t ms, int is_probe)
{
	struct timeval tv = {ms / 1000, ms % 1000 * 1000};
	struct delayed *dly = calloc(1, sizeof(*dly));

	if (dly == NULL)
		abort();
	dly->request = req;
	dly->backend = bke;
	dly->is_probe = is_probe;
	dly->timer = evtimer_new(bke->serve.base, on_delay_over, dly);
	serve_on_gone(req, on_delayed_gone, dly);
	evtimer_add(dly->timer, &tv);
}

static void
on_control(struct backend *bke, evhtp_request_t *req)
{
	json_t *body = serve_read_json(req);
	json_t *entry;
	size_t i;

	if (body == NULL)
		return;
	memset(&bke->faults, 0, sizeof(bke->faults));
	json_array_foreach(json_object_get(body, "faults"), i, entry)
	{
		if (!json_is_string(entry) ||
		    faults_add(&bke->faults, json_string_value(entry)) != 0) {
			json_decref(body);
			serve_reply(
			    req, EVHTP_RES_BADREQ, "unknown fault\n", 14);
			return;
		}
	}
	json_decref(body);
	serve_reply(req, EVHTP_RES_OK, "ok\n", 3);
}

static void
on_stats(struct backend *bke, evhtp_request_t *req)
{
	serve_reply_json(req, EVHTP_RES_OK,
	    json_pack("{s:I,s:I,s:i,s:i,s:i,s:i}", "calls",
		(json_int_t)bke->calls, "shed", (json_int_t)bke->shed,
		"running", (int)bke->running, "running_max",
		(int)bke->running_max, "connections",
		(int)bke->open_connections, "connections_max",
		(int)bke->connections_max));
}

static evhtp_res
on_connection_fini(evhtp_connection_t *conn, void *arg)
{
	struct backend *bke = arg;

	bke->open_connections--;
	return EVHTP_RES_OK;
}

/* Counts a connection with its first request. @return 1 if it is the first */
static int
count_connection(struct backend *bke, evhtp_request_t *req)
{
	evhtp_connection_t *conn = evhtp_request_get_connection(req);

	if (conn->hooks != NULL && conn->hooks->on_connection_fini != NULL)
		return 0;
	bke->open_connections++;
	if (bke->open_connections > bke->connections_max)
		bke->connections_max = bke->open_connections;
	evhtp_connection_set_hook(conn, evhtp_hook_on_connection_fini,
	    (evhtp_hook)(void *)on_connection_fini, bke);
	return 1;
}

static void
on_request(evhtp_request_t *req, void *arg)
{
	struct backend *bke = arg;
	const char *path = req->uri->path->full;
	int is_first = count_connection(bke, req);

	if (strcmp(path, "/control") == 0)
		on_control(bke, req);
	else if (strcmp(path, "/stats") == 0)
		on_stats(bke, req);
	else if (strcmp(path, "/probe") == 0)
		delay(bke, req, bke->options.probe_delay_ms, 1);
	else if (is_first && bke->options.open_delay_ms > 0)
		delay(bke, req, bke->options.open_delay_ms, 0);
	else
		run_start(bke, req);
}

/* Drain: what runs is finished, then the process ends. */
static void
on_drain(evutil_socket_t signo, short what, void *arg)
{
	struct backend *bke = arg;

	bke->is_draining = 1;
	if (bke->running == 0)
		event_base_loopbreak(bke->serve.base);
}

static int
run(struct backend *bke)
{
	if (bke->options.log_path != NULL &&
	    (bke->log = fopen(bke->options.log_path, "a")) == NULL) {
		perror(bke->options.log_path);
		return 2;
	}
	if (serve_init(&bke->serve) != 0)
		return 1;
	event_free(bke->serve.sigterm);
	bke->serve.sigterm =
	    evsignal_new(bke->serve.base, SIGTERM, on_drain, bke);
	evsignal_add(bke->serve.sigterm, NULL);
	if (serve_listen(&bke->serve, bke->options.listen, on_request, bke) !=
	    0)
		return 1;
	event_base_dispatch(bke->serve.base);
	if (bke->log != NULL)
		fclose(bke->log);
	return 0;
}

int
main(int argc, char **argv)
{
	static const struct argp argp = {OPTIONS, parse_option, NULL,
	    "Stands in for a backend server.", NULL, NULL, NULL};
	static struct backend bke;

	bke.options.listen = "127.0.0.1:0";
	bke.options.service = "service";
	bke.options.version = "1.0";
	bke.options.slots = 6;
	bke.options.connections = 120;
	bke.options.service_time_us = 4000;
	bke.options.seed = 7;
	bke.start_ms = bg_clock_now_ms();
	argp_parse(&argp, argc, argv, 0, NULL, &bke);
	bg_rand_init(&bke.rnd, bke.options.seed);
	return run(&bke);
}
