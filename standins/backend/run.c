#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "backend.h"

/* A cold server is this many times slower. */
#define COLD_FACTOR 5.0
/* Time left for the answer of a dependency when no deadline was given. */
#define DEPENDENCY_MS 2000

static void on_served(evutil_socket_t fd, short what, void *arg);

void
load_record(struct backend *bke)
{
	bke->loads[bke->load_next].at_ms = bg_clock_now_ms();
	bke->loads[bke->load_next].running = bke->running;
	bke->load_next = (bke->load_next + 1) % LOAD_HISTORY;
	if (bke->running > bke->running_max)
		bke->running_max = bke->running;
}

uint32_t
load_reported(const struct backend *bke)
{
	uint64_t now_ms = bg_clock_now_ms();
	uint32_t running = 0;
	uint64_t best_ms = 0;
	size_t i;

	if (faults_find(&bke->faults, FAULT_LIE_HEALTH, "") != NULL)
		return 0;
	if (bke->options.load_lag_ms == 0)
		return bke->running;
	for (i = 0; i < LOAD_HISTORY; i++) {
		if (bke->loads[i].at_ms + bke->options.load_lag_ms <= now_ms &&
		    bke->loads[i].at_ms >= best_ms) {
			best_ms = bke->loads[i].at_ms;
			running = bke->loads[i].running;
		}
	}
	return running;
}

void
run_log(const struct run *run, const char *event)
{
	const struct backend *bke = run->backend;

	if (bke->log == NULL)
		return;
	fprintf(bke->log,
	    "{\"event\":\"%s\",\"request_id\":\"%s\","
	    "\"service\":\"%s\",\"version\":\"%s\",\"route\":\"%s\","
	    "\"start_us\":%" PRIu64 ",\"at_us\":%" PRIu64 "}\n",
	    event, run->id, bke->options.service, bke->options.version,
	    run->path, run->start_us, bg_clock_now_us());
	fflush(bke->log);
}

/* A drained server ends once its answers are written, not only computed. */
static void
end_if_drained(struct backend *bke)
{
	if (bke->is_draining && bke->running == 0 && bke->unsent == 0)
		event_base_loopbreak(bke->serve.base);
}

static evhtp_res
on_sent(evhtp_request_t *req, void *arg)
{
	struct backend *bke = arg;

	bke->unsent--;
	end_if_drained(bke);
	return EVHTP_RES_OK;
}

void
run_finish(struct run *run)
{
	struct backend *bke = run->backend;

	bke->running--;
	load_record(bke);
	/* The request outlives the run until its answer is written. */
	if (run->request != NULL) {
		bke->unsent++;
		serve_on_gone(run->request, on_sent, bke);
	}
	if (run->timer != NULL)
		event_free(run->timer);
	if (run->dependency != NULL)
		evhttp_connection_free(run->dependency);
	free(run->answer);
	free(run);
	end_if_drained(bke);
}

void
run_arm(struct run *run, uint64_t delay_us,
    void (*fn)(evutil_socket_t, short, void *))
{
	struct timeval tv = {
	    (time_t)(delay_us / 1000000), (suseconds_t)(delay_us % 1000000)};

	if (run->timer != NULL)
		event_free(run->timer);
	run->timer = evtimer_new(run->backend->serve.base, fn, run);
	if (run->timer == NULL || evtimer_add(run->timer, &tv) != 0)
		abort();
}

/* The caller hung up: the work stops and the slot is free. */
static evhtp_res
on_gone(evhtp_request_t *req, void *arg)
{
	struct run *run = arg;

	if (run->request == NULL)
		return EVHTP_RES_OK;
	run->request = NULL;
	run_log(run, "canceled");
	run_finish(run);
	return EVHTP_RES_OK;
}

static void call_next(struct run *run);

static void
on_dependency(struct evhttp_request *req, void *arg)
{
	struct run *run = arg;

	if (req == NULL || evhttp_request_get_response_code(req) != HTTP_OK)
		run->is_dependency_failed = 1;
	call_next(run);
}

static uint32_t
remaining_ms(const struct run *run)
{
	uint64_t now_us = bg_clock_now_us();

	if (run->deadline_us == 0)
		return DEPENDENCY_MS;
	return run->deadline_us > now_us
	    ? (uint32_t)((run->deadline_us - now_us) / 1000)
	    : 0;
}

static void
set_dependency_headers(const struct run *run, struct evhttp_request *req)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	char number[16];

	evhttp_add_header(headers, "Host", run->backend->options.node);
	evhttp_add_header(headers, "X-Request-Id", run->id);
	snprintf(number, sizeof(number), "%u", run->depth + 1);
	evhttp_add_header(headers, "X-Call-Depth", number);
	snprintf(number, sizeof(number), "%u", remaining_ms(run));
	evhttp_add_header(headers, "X-Deadline-Ms", number);
}

/* Calls the dependencies one after the other, then answers. */
static void
call_next(struct run *run)
{
	const struct backend_options *opts = &run->backend->options;
	struct evhttp_request *req;
	char ip[SERVE_IP_BYTES];
	struct timeval timeout = {DEPENDENCY_MS / 1000, 0};
	uint16_t port;

	if (run->next_call == opts->call_count || opts->node == NULL ||
	    run->is_dependency_failed) {
		answer_send(run);
		return;
	}
	if (run->dependency == NULL &&
	    serve_split_address(ip, &port, opts->node) == 0)
		run->dependency = evhttp_connection_base_new(
		    run->backend->serve.base, NULL, ip, port);
	req = evhttp_request_new(on_dependency, run);
	if (run->dependency == NULL || req == NULL)
		abort();
	evhttp_connection_set_timeout_tv(run->dependency, &timeout);
	set_dependency_headers(run, req);
	if (evhttp_make_request(run->dependency, req, EVHTTP_REQ_GET,
		opts->calls[run->next_call++]) != 0) {
		run->is_dependency_failed = 1;
		answer_send(run);
	}
}

static void
on_served(evutil_socket_t fd, short what, void *arg)
{
	struct run *run = arg;

	if (run->deadline_us != 0 && bg_clock_now_us() >= run->deadline_us &&
	    faults_find(&run->backend->faults, FAULT_LATE, run->path) == NULL)
		run->is_past_deadline = 1;
	run_log(run, "end");
	call_next(run);
}

static uint64_t
service_time_us(struct run *run, const struct fault_input *in)
{
	const struct backend *bke = run->backend;
	double us =
	    bke->options.service_time_us * faults_factor(&bke->faults, in);

	if (in->uptime_ms < bke->options.cold_start_ms)
		us *= COLD_FACTOR;
	/* Real service times vary; a fixed one hides queues. */
	us *= 0.75 +
	    0.5 * (double)bg_rand_below((struct bg_rand *)&bke->rnd, 1000) /
		1000.0;
	if (run->deadline_us != 0 &&
	    faults_find(&bke->faults, FAULT_LATE, run->path) != NULL)
		us = (double)(run->deadline_us - run->start_us) + 200000.0;
	else if (run->deadline_us != 0 &&
	    run->start_us + (uint64_t)us > run->deadline_us)
		us = (double)(run->deadline_us - run->start_us);
	return (uint64_t)us;
}

static void
copy_header(char out[ID_BYTES], evhtp_request_t *req, const char *name)
{
	const char *value = serve_header(req, name);
	size_t i;

	snprintf(out, ID_BYTES, "%s", value == NULL ? "" : value);
	/* Ids go into JSON lines unescaped. */
	for (i = 0; out[i] != '\0'; i++) {
		if (out[i] == '"' || out[i] == '\\' || out[i] < ' ')
			out[i] = '_';
	}
}

static void
shed(struct backend *bke, evhtp_request_t *req, const char *why)
{
	bke->shed++;
	serve_add_header(req, "X-Shed", "1");
	serve_add_header(req, "Retry-After", "1");
	serve_reply(req, EVHTP_RES_SERVUNAVAIL, why, strlen(why));
}

static struct run *
run_create(struct backend *bke, evhtp_request_t *req)
{
	struct run *run = calloc(1, sizeof(*run));
	const char *value;

	if (run == NULL)
		abort();
	run->backend = bke;
	run->request = req;
	run->start_us = bg_clock_now_us();
	copy_header(run->id, req, "X-Request-Id");
	snprintf(run->path, sizeof(run->path), "%s", req->uri->path->full);
	if ((value = serve_header(req, "X-Call-Depth")) != NULL)
		run->depth = (uint32_t)strtoul(value, NULL, 10);
	if ((value = serve_header(req, "X-Deadline-Ms")) != NULL)
		run->deadline_us =
		    run->start_us + strtoull(value, NULL, 10) * 1000;
	return run;
}

void
run_start(struct backend *bke, evhtp_request_t *req)
{
	struct fault_input in;
	struct run *run;

	if (bke->is_draining) {
		shed(bke, req, "draining\n");
		return;
	}
	if (bke->running >= bke->options.slots) {
		shed(bke, req, "no free slot\n");
		return;
	}
	run = run_create(bke, req);
	serve_on_gone(req, on_gone, run);
	in.path = run->path;
	in.uptime_ms = bg_clock_now_ms() - bke->start_ms;
	in.calls = bke->calls++;
	in.running = ++bke->running;
	in.random = (double)bg_rand_below(&bke->rnd, 1000000) / 1e6;
	load_record(bke);
	run->is_failing = faults_fail(&bke->faults, &in);
	run_log(run, "start");
	run_arm(run, service_time_us(run, &in), on_served);
}
