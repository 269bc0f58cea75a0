#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "load.h"

/* The customer waits this much longer than the deadline for the answer. */
#define GRACE_MS 2000
/* A customer sends again after this pause if the answer names none. */
#define RESEND_MS 100
#define RESEND_MAX_MS 2000

/* A connection of a customer; it is kept for the next call. */
struct bg_load_connection {
	struct bg_load *load;
	struct evhttp_connection *http;
	size_t target;
	struct bg_load_connection *next;
	int is_used; /* served a call before */
};

struct call {
	struct bg_load *load;
	struct bg_load_connection *connection;
	const struct bg_load_kind *kind;
	struct event *resend;
	uint64_t number;
	uint64_t due_us;
	uint64_t sent_us;
	uint32_t attempt;
	size_t target;
	char path[BG_LOAD_TEXT_BYTES + 16];
	char request_id[BG_LOAD_TEXT_BYTES];
};

static const char *const OUTCOMES[] = {
    "done", "not-run", "unknown", "no-answer", "refused", "other"};

static void
connection_free(struct bg_load_connection *conn)
{
	evhttp_connection_free(conn->http);
	free(conn);
}

static struct bg_load_connection *
connection_take(struct bg_load *load, size_t target)
{
	struct bg_load_connection *conn = load->idle[target];
	const char *address = load->options.targets[target];
	const char *colon = strrchr(address, ':');
	char ip[64];

	if (conn != NULL) {
		load->idle[target] = conn->next;
		return conn;
	}
	if ((conn = calloc(1, sizeof(*conn))) == NULL)
		return NULL;
	snprintf(ip, sizeof(ip), "%.*s", (int)(colon - address), address);
	conn->load = load;
	conn->target = target;
	conn->http = evhttp_connection_base_new(
	    load->base, NULL, ip, (uint16_t)strtoul(colon + 1, NULL, 10));
	if (conn->http == NULL) {
		free(conn);
		return NULL;
	}
	if (load->options.source_ip != NULL)
		evhttp_connection_set_local_address(
		    conn->http, load->options.source_ip);
	return conn;
}

static void
connection_return(struct bg_load_connection *conn)
{
	conn->is_used = 1;
	conn->next = conn->load->idle[conn->target];
	conn->load->idle[conn->target] = conn;
}

/* A connection must not be freed inside a callback of evhttp. */
static void
connection_discard(struct bg_load_connection *conn)
{
	conn->next = conn->load->discarded;
	conn->load->discarded = conn;
}

void
bg_load_free_discarded(struct bg_load *load)
{
	struct bg_load_connection *conn;

	while ((conn = load->discarded) != NULL) {
		load->discarded = conn->next;
		connection_free(conn);
	}
}

void
bg_load_close(struct bg_load *load)
{
	struct bg_load_connection *conn;
	size_t i;

	bg_load_free_discarded(load);
	for (i = 0; i < load->options.target_count; i++) {
		while ((conn = load->idle[i]) != NULL) {
			load->idle[i] = conn->next;
			connection_free(conn);
		}
	}
}

static void
keep_latency(struct bg_load *load, uint64_t latency_us)
{
	uint32_t *grown;

	if (load->latency_count == load->latency_room) {
		load->latency_room = load->latency_room * 2 + 1024;
		grown = realloc(
		    load->latencies_us, load->latency_room * sizeof(*grown));
		if (grown == NULL)
			abort();
		load->latencies_us = grown;
	}
	load->latencies_us[load->latency_count++] = (uint32_t)latency_us;
}

static void
write_log(const struct call *call, enum bg_load_outcome outcome, int status,
    int is_own, int is_fresh, uint64_t now_us)
{
	FILE *log = call->load->log;

	if (log == NULL)
		return;
	fprintf(log,
	    "{\"id\":\"%s\",\"target\":\"%s\",\"method\":\"%s\","
	    "\"path\":\"%s\",\"attempt\":%u,\"sent_us\":%" PRIu64
	    ",\"latency_us\":%" PRIu64
	    ",\"status\":%d,\"outcome\":\"%s\",\"fresh\":%s,\"own\":%s}\n",
	    call->request_id, call->load->options.targets[call->target],
	    call->kind->method, call->path, call->attempt, call->sent_us,
	    now_us - call->due_us, status, OUTCOMES[outcome],
	    is_fresh ? "true" : "false", is_own ? "true" : "false");
}

static enum bg_load_outcome
read_outcome(struct evhttp_request *req)
{
	const char *text;

	if (req == NULL)
		return BG_LOAD_NO_ANSWER;
	/* evhttp passes a request without status if it could not connect. */
	if (evhttp_request_get_response_code(req) == 0)
		return BG_LOAD_REFUSED;
	text = evhttp_find_header(
	    evhttp_request_get_input_headers(req), "Burdock-Outcome");
	if (text == NULL)
		return BG_LOAD_OTHER;
	if (strcmp(text, "done") == 0)
		return BG_LOAD_DONE;
	if (strcmp(text, "not-run") == 0)
		return BG_LOAD_NOT_RUN;
	return strcmp(text, "unknown") == 0 ? BG_LOAD_UNKNOWN : BG_LOAD_OTHER;
}

static int
check_body(const struct call *call, struct evhttp_request *req)
{
	struct evbuffer *buf = evhttp_request_get_input_buffer(req);
	size_t bytes = evbuffer_get_length(buf);

	return bg_load_check_answer(
	    call->request_id, (const char *)evbuffer_pullup(buf, -1), bytes);
}

static void send_attempt(struct call *call);

static void
call_free(struct call *call)
{
	struct bg_load *load = call->load;

	if (call->resend != NULL)
		event_free(call->resend);
	free(call);
	load->running--;
	if (load->is_over && load->running == 0)
		event_base_loopbreak(load->base);
}

static void
on_resend(evutil_socket_t fd, short what, void *arg)
{
	send_attempt(arg);
}

/* The customer sends the call again, to any node, or gives up. */
static int
schedule_resend(struct call *call, enum bg_load_outcome outcome)
{
	struct timeval tv = {0, 0};
	uint32_t pause_ms = RESEND_MS << call->attempt;

	if (call->attempt + 1 >= call->load->options.attempts ||
	    outcome == BG_LOAD_DONE || outcome == BG_LOAD_OTHER)
		return 0;
	/* An order may be sent again only if it was not run. */
	if (outcome != BG_LOAD_NOT_RUN && outcome != BG_LOAD_REFUSED &&
	    strcmp(call->kind->method, "GET") != 0)
		return 0;
	if (pause_ms > RESEND_MAX_MS)
		pause_ms = RESEND_MAX_MS;
	tv.tv_sec = pause_ms / 1000;
	tv.tv_usec = pause_ms % 1000 * 1000;
	call->attempt++;
	if (call->resend == NULL)
		call->resend = evtimer_new(call->load->base, on_resend, call);
	return call->resend != NULL && evtimer_add(call->resend, &tv) == 0;
}

static void
on_answer(struct evhttp_request *req, void *arg)
{
	struct call *call = arg;
	struct bg_load *load = call->load;
	struct bg_load_connection *conn = call->connection;
	int is_fresh = !conn->is_used;
	enum bg_load_outcome outcome = read_outcome(req);
	uint64_t now_us = bg_clock_now_us();
	int status = req == NULL ? 0 : evhttp_request_get_response_code(req);
	int is_own = 1;

	call->connection = NULL;
	/* Calls straight to a backend server have no outcome header. */
	if (outcome == BG_LOAD_DONE || outcome == BG_LOAD_OTHER) {
		is_own = check_body(call, req);
		keep_latency(load, now_us - call->due_us);
	}
	load->wrong += is_own ? 0 : 1;
	load->outcomes[outcome]++;
	write_log(call, outcome, status, is_own, is_fresh, now_us);
	if (outcome == BG_LOAD_NO_ANSWER || outcome == BG_LOAD_REFUSED)
		connection_discard(conn);
	else
		connection_return(conn);
	if (!schedule_resend(call, outcome))
		call_free(call);
}

static void
set_headers(const struct call *call, struct evhttp_request *req)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	const char *target = call->load->options.targets[call->target];
	char number[32];

	evhttp_add_header(headers, "Host", target);
	evhttp_add_header(headers, "X-Request-Id", call->request_id);
	snprintf(number, sizeof(number), "%u", call->load->options.deadline_ms);
	evhttp_add_header(headers, "X-Deadline-Ms", number);
}

static enum evhttp_cmd_type
method_type(const char *method)
{
	if (strcmp(method, "POST") == 0)
		return EVHTTP_REQ_POST;
	if (strcmp(method, "PUT") == 0)
		return EVHTTP_REQ_PUT;
	return strcmp(method, "HEAD") == 0 ? EVHTTP_REQ_HEAD : EVHTTP_REQ_GET;
}

static void
send_attempt(struct call *call)
{
	struct bg_load *load = call->load;
	struct timeval timeout;
	struct evhttp_request *req;
	uint32_t wait_ms = load->options.deadline_ms + GRACE_MS;
	char *body;

	call->target = bg_rand_below(&load->rnd, load->options.target_count);
	snprintf(call->request_id, sizeof(call->request_id),
	    "%s-%" PRIu64 "-%u", load->options.name, call->number,
	    call->attempt);
	call->connection = connection_take(load, call->target);
	req = evhttp_request_new(on_answer, call);
	if (call->connection == NULL || req == NULL)
		abort();
	set_headers(call, req);
	if (call->kind->body_bytes > 0 &&
	    (body = calloc(1, call->kind->body_bytes)) != NULL) {
		memset(body, 'b', call->kind->body_bytes);
		evbuffer_add(evhttp_request_get_output_buffer(req), body,
		    call->kind->body_bytes);
		free(body);
	}
	timeout.tv_sec = wait_ms / 1000;
	timeout.tv_usec = wait_ms % 1000 * 1000;
	evhttp_connection_set_timeout_tv(call->connection->http, &timeout);
	call->sent_us = bg_clock_now_us();
	if (call->attempt > 0)
		call->due_us = call->sent_us;
	load->sent++;
	if (evhttp_make_request(call->connection->http, req,
		method_type(call->kind->method), call->path) != 0)
		on_answer(NULL, call);
}

static const struct bg_load_kind *
choose_kind(struct bg_load *load)
{
	uint64_t at = bg_rand_below(&load->rnd, load->weight_sum);
	size_t i;

	for (i = 0; i + 1 < load->kind_count; i++) {
		if (at < load->kinds[i].weight)
			break;
		at -= load->kinds[i].weight;
	}
	return &load->kinds[i];
}

static void
make_path(struct call *call)
{
	const char *number = strstr(call->kind->path, "%d");

	if (number == NULL)
		snprintf(
		    call->path, sizeof(call->path), "%s", call->kind->path);
	else
		snprintf(call->path, sizeof(call->path), "%.*s%u%s",
		    (int)(number - call->kind->path), call->kind->path,
		    (unsigned)bg_rand_below(&call->load->rnd, 100000),
		    number + 2);
}

void
bg_load_call(struct bg_load *load)
{
	struct call *call;

	if ((call = calloc(1, sizeof(*call))) == NULL)
		abort();
	call->load = load;
	call->kind = choose_kind(load);
	call->number = ++load->calls;
	call->due_us = load->next_us;
	make_path(call);
	load->running++;
	send_attempt(call);
}
