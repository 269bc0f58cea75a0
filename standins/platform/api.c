#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"

#include "call.h"

/* Bounds the time a watch may hold a connection. */
#define WATCH_MAX_MS 30000
#define OBJECTS_PATH "/api/objects/"
#define STATUS_PATH "/status"
#define TOO_MANY_REQUESTS 429

static uint64_t
parse_number(const char *text, uint64_t otherwise)
{
	char *end;
	uint64_t value;

	if (text == NULL || text[0] < '0' || text[0] > '9')
		return otherwise;
	value = strtoull(text, &end, 10);
	return *end == '\0' ? value : otherwise;
}

static uint64_t
query_number(evhtp_request_t *req, const char *name, uint64_t otherwise)
{
	char *text = serve_query(req, name);
	uint64_t value = parse_number(text, otherwise);

	free(text);
	return value;
}

/* Splits KIND, KIND/NAME or KIND/NAME/status. @return 1 for a status */
static int
split_path(struct call *call, const char *path)
{
	const char *slash = strchr(path, '/');
	size_t bytes;

	if (slash == NULL) {
		call->kind = strdup(path);
		return 0;
	}
	call->kind = strndup(path, (size_t)(slash - path));
	bytes = strlen(slash + 1);
	if (bytes > strlen(STATUS_PATH) &&
	    strcmp(slash + 1 + bytes - strlen(STATUS_PATH), STATUS_PATH) == 0) {
		call->name = strndup(slash + 1, bytes - strlen(STATUS_PATH));
		return 1;
	}
	call->name = strdup(slash + 1);
	return 0;
}

static int
parse_read(struct call *call, evhtp_request_t *req)
{
	uint64_t wait_ms = query_number(req, "WaitMs", 0);

	call->is_stale = query_number(req, "AllowStale", 0) == 1;
	call->since = query_number(req, "Watch", UINT64_MAX);
	call->wait_ms =
	    (uint32_t)(wait_ms > WATCH_MAX_MS ? WATCH_MAX_MS : wait_ms);
	if (call->name != NULL) {
		call->action = ACTION_READ;
		return 0;
	}
	call->after = serve_query(req, "after");
	call->action = call->since != UINT64_MAX ? ACTION_WATCH : ACTION_LIST;
	return 0;
}

static void
read_condition(struct call *call, evhtp_request_t *req)
{
	const json_t *revision = json_object_get(
	    json_object_get(call->body, "Metadata"), "Revision");

	call->expected_revision = query_number(req, "Revision", UINT64_MAX);
	call->has_condition = call->expected_revision != UINT64_MAX;
	if (json_is_integer(revision)) {
		call->expected_revision =
		    (uint64_t)json_integer_value(revision);
		call->has_condition = 1;
	}
}

static int
parse_write(struct call *call, evhtp_request_t *req, int is_status)
{
	const char *name;

	call->body_bytes = evbuffer_get_length(req->buffer_in);
	call->body =
	    json_loadb((const char *)evbuffer_pullup(req->buffer_in, -1),
		call->body_bytes, 0, NULL);
	read_condition(call, req);
	if (req->method == htp_method_DELETE) {
		call->action = ACTION_DELETE;
		return call->name == NULL ? -1 : 0;
	}
	if (call->body == NULL)
		return -1;
	if (req->method == htp_method_PUT) {
		call->action = is_status ? ACTION_SET_STATUS : ACTION_REPLACE;
		return call->name == NULL ? -1 : 0;
	}
	call->action = ACTION_CREATE;
	name = json_string_value(
	    json_object_get(json_object_get(call->body, "Metadata"), "Name"));
	if (call->name != NULL || name == NULL || name[0] == '\0')
		return -1;
	call->name = strdup(name);
	return 0;
}

/* @return 0, or the code of a refusal */
static evhtp_res
parse_call(struct call *call, evhtp_request_t *req)
{
	const char *path = req->uri->path->full;
	int is_status;
	int error;

	if (strncmp(path, OBJECTS_PATH, strlen(OBJECTS_PATH)) != 0 ||
	    path[strlen(OBJECTS_PATH)] == '\0')
		return EVHTP_RES_NOTFOUND;
	is_status = split_path(call, path + strlen(OBJECTS_PATH));
	switch (req->method) {
	case htp_method_GET:
		error = parse_read(call, req);
		break;
	case htp_method_POST:
	case htp_method_PUT:
	case htp_method_DELETE:
		error = parse_write(call, req, is_status);
		break;
	default:
		return EVHTP_RES_METHNALLOWED;
	}
	return error == 0 ? 0 : EVHTP_RES_BADREQ;
}

static evhtp_res
admit(struct platform *plt, const struct call *call)
{
	struct rate *rate = call_is_write(call) ? &plt->writes : &plt->reads;

	if (plt->outage == OUTAGE_REFUSE || platform_is_refused(plt, call->ip))
		return EVHTP_RES_SERVUNAVAIL;
	if (call->is_stale) {
		plt->stale_reads++;
		return 0;
	}
	return rate_take(rate, bg_clock_now_ms()) == 0 ? 0 : TOO_MANY_REQUESTS;
}

static void
start_call(struct platform *plt, evhtp_request_t *req)
{
	struct call *call = calloc(1, sizeof(*call));
	uint32_t delay_ms;
	evhtp_res code;

	if (call == NULL ||
	    (call->timer = evtimer_new(plt->serve.base, call_on_timer, call)) ==
		NULL) {
		free(call);
		evhtp_send_reply(req, EVHTP_RES_SERVERR);
		return;
	}
	call->platform = plt;
	serve_peer_ip(call->ip, req);
	if (plt->outage == OUTAGE_SILENT || platform_is_cut(plt, call->ip)) {
		call->request = req;
		serve_on_gone(req, call_on_gone, call);
		call_swallow(call);
		return;
	}
	if ((code = parse_call(call, req)) != 0 ||
	    (code = admit(plt, call)) != 0) {
		call_free(call);
		evhtp_send_reply(req, code);
		return;
	}
	call->request = req;
	serve_on_gone(req, call_on_gone, call);
	delay_ms =
	    plt->delay_ms + (call_is_write(call) ? plt->write_delay_ms : 0);
	if (plt->jitter_ms > 0)
		delay_ms += (uint32_t)random() % plt->jitter_ms;
	if (delay_ms > 0)
		call_arm(call, delay_ms);
	else
		call_execute(call);
}

void
platform_on_request(evhtp_request_t *req, void *arg)
{
	struct platform *plt = arg;
	const char *path = req->uri->path->full;

	if (strcmp(path, "/control") == 0 && req->method == htp_method_POST)
		platform_control(plt, req);
	else if (strcmp(path, "/stats") == 0 && req->method == htp_method_GET)
		platform_stats(plt, req);
	else
		start_call(plt, req);
}
