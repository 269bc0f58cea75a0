#include <event2/http.h>

#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"

#include "call.h"

/* Bounds the time a watch may hold a connection. */
#define WATCH_MAX_MS 600000
#define OBJECTS_PATH "/v1/objects"
#define WATCH_PATH "/v1/watch"
#define TOO_MANY_REQUESTS 429

static int
starts_with(const char *text, const char *prefix)
{
	return strncmp(text, prefix, strlen(prefix)) == 0;
}

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

static int
parse_watch(struct call *call, evhtp_request_t *req)
{
	char *since = serve_query(req, "since");
	char *timeout = serve_query(req, "timeout_ms");
	uint64_t timeout_ms = parse_number(timeout, UINT64_MAX);
	int error = 0;

	call->is_watch = 1;
	call->since = parse_number(since, UINT64_MAX);
	call->timeout_ms =
	    (uint32_t)(timeout_ms > WATCH_MAX_MS ? WATCH_MAX_MS : timeout_ms);
	if (call->since == UINT64_MAX || timeout_ms == UINT64_MAX)
		error = -1;
	free(since);
	free(timeout);
	return error;
}

static int
parse_conditions(struct call *call, evhtp_request_t *req)
{
	const char *match = serve_header(req, "If-Match");
	const char *none = serve_header(req, "If-None-Match");
	char *end;

	if (match != NULL) {
		if (match[0] != '"')
			return -1;
		call->if_match = strtoull(match + 1, &end, 10);
		if (end == match + 1 || strcmp(end, "\"") != 0)
			return -1;
		call->has_if_match = 1;
	}
	if (none != NULL) {
		if (strcmp(none, "*") != 0 || match != NULL)
			return -1;
		call->if_none_match = 1;
	}
	return 0;
}

static int
parse_object(struct call *call, evhtp_request_t *req, const char *path)
{
	size_t bytes = evbuffer_get_length(req->buffer_in);

	if (path[0] == '/' && path[1] != '\0')
		call->key = evhttp_uridecode(path + 1, 0, NULL);
	if (call->key == NULL && req->method != htp_method_GET)
		return -1;
	if (call->key != NULL || req->method == htp_method_GET)
		call->prefix = serve_query(req, "prefix");
	if (call->key == NULL && call->prefix == NULL)
		return -1;
	if ((call->body = malloc(bytes + 1)) == NULL)
		return -1;
	evbuffer_copyout(req->buffer_in, call->body, bytes);
	call->body_bytes = bytes;
	return parse_conditions(call, req);
}

/* @return 0, or the code of a refusal */
static evhtp_res
parse_call(struct call *call, evhtp_request_t *req)
{
	const char *path = req->uri->path->full;

	call->method = req->method;
	if (req->method != htp_method_GET && req->method != htp_method_PUT &&
	    req->method != htp_method_DELETE)
		return EVHTP_RES_METHNALLOWED;
	if (strcmp(path, WATCH_PATH) == 0) {
		call->prefix = serve_query(req, "prefix");
		if (call->prefix == NULL || parse_watch(call, req) != 0)
			return EVHTP_RES_BADREQ;
		return 0;
	}
	if (!starts_with(path, OBJECTS_PATH))
		return EVHTP_RES_NOTFOUND;
	path += strlen(OBJECTS_PATH);
	if (path[0] != '\0' && path[0] != '/')
		return EVHTP_RES_NOTFOUND;
	return parse_object(call, req, path) == 0 ? 0 : EVHTP_RES_BADREQ;
}

static evhtp_res
admit(struct platform *plt, const struct call *call)
{
	struct rate *rate =
	    call->method == htp_method_GET ? &plt->reads : &plt->writes;

	if (plt->outage == OUTAGE_REFUSE)
		return EVHTP_RES_SERVUNAVAIL;
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
	delay_ms = plt->delay_ms +
	    (call->method == htp_method_GET ? 0 : plt->write_delay_ms);
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
