#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/web.h"

#define HEADERS_MAX_BYTES 16384
#define IP_BYTES 16
/* A connection is closed if the client sends nothing for this long. */
#define IDLE_TIMEOUT_S 60
#define STATUS_INTERNAL_ERROR 500

struct bg_web_exchange {
	struct bg_web *web; /* NULL once it was freed */
	struct bg_web_exchange *prev;
	struct bg_web_exchange *next;
	struct evhttp_request *req;
};

/* A request whose handler runs. */
struct bg_web_pending {
	struct bg_web *web;
	struct evhttp_request *req;
	int is_deferred;
};

struct bg_web {
	struct evhttp *http;
	struct bg_web_exchange *exchanges;
	bg_web_fn fn;
	void *arg;
};

static const char *
method_name(struct evhttp_request *req)
{
	switch (evhttp_request_get_command(req)) {
	case EVHTTP_REQ_GET:
		return "GET";
	case EVHTTP_REQ_POST:
		return "POST";
	case EVHTTP_REQ_PUT:
		return "PUT";
	case EVHTTP_REQ_DELETE:
		return "DELETE";
	case EVHTTP_REQ_HEAD:
		return "HEAD";
	default:
		return "";
	}
}

static void
send_response(struct evhttp_request *req, const struct bg_web_response *res)
{
	struct evbuffer *body = evbuffer_new();

	if (body != NULL && res->body != NULL)
		evbuffer_add(body, res->body, strlen(res->body));
	if (res->content_type != NULL)
		evhttp_add_header(evhttp_request_get_output_headers(req),
		    "Content-Type", res->content_type);
	evhttp_send_reply(req, res->status, NULL, body);
	if (body != NULL)
		evbuffer_free(body);
}

static void
exchange_unlink(struct bg_web *web, struct bg_web_exchange *xch)
{
	if (xch->prev != NULL)
		xch->prev->next = xch->next;
	else
		web->exchanges = xch->next;
	if (xch->next != NULL)
		xch->next->prev = xch->prev;
	xch->web = NULL;
}

/* evhttp keeps a request whose client has gone until it is answered. */
struct bg_web_exchange *
bg_web_defer(const struct bg_web_request *req)
{
	struct bg_web_pending *pending = req->pending;
	struct bg_web_exchange *xch;

	if ((xch = calloc(1, sizeof(*xch))) == NULL)
		return NULL;
	xch->web = pending->web;
	xch->req = pending->req;
	xch->next = xch->web->exchanges;
	if (xch->next != NULL)
		xch->next->prev = xch;
	xch->web->exchanges = xch;
	pending->is_deferred = 1;
	return xch;
}

void
bg_web_complete(struct bg_web_exchange *xch, const struct bg_web_response *res)
{
	if (xch->web != NULL) {
		exchange_unlink(xch->web, xch);
		send_response(xch->req, res);
	}
	free(xch);
}

static void
on_request(struct evhttp_request *req, void *arg)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(req);
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	struct bg_web_response res = {STATUS_INTERNAL_ERROR, NULL, NULL};
	struct bg_web *web = arg;
	struct bg_web_pending pending = {web, req, 0};
	struct bg_web_request web_req;

	web_req.pending = &pending;
	web_req.method = method_name(req);
	web_req.path = evhttp_uri_get_path(uri);
	web_req.query = evhttp_uri_get_query(uri);
	if (web_req.query == NULL)
		web_req.query = "";
	web_req.body_bytes = evbuffer_get_length(in);
	web_req.body = (const char *)evbuffer_pullup(in, -1);
	web->fn(web->arg, &web_req, &res);
	if (!pending.is_deferred)
		send_response(req, &res);
	free(res.body);
}

static int
bind_address(struct bg_web *web, const char *address)
{
	const char *colon = strrchr(address, ':');
	char ip[IP_BYTES];
	long port;

	if (colon == NULL || (size_t)(colon - address) >= sizeof(ip))
		return BG_EINVAL;
	memcpy(ip, address, (size_t)(colon - address));
	ip[colon - address] = '\0';
	port = strtol(colon + 1, NULL, 10);
	if (port <= 0 || port > UINT16_MAX)
		return BG_EINVAL;
	return evhttp_bind_socket(web->http, ip, (ev_uint16_t)port) == 0
	    ? 0
	    : BG_EIO;
}

int
bg_web_init(struct bg_web **out, struct event_base *base, const char *address,
    bg_web_fn fn, void *arg, struct bg_error *err)
{
	struct bg_web *web;
	int error;

	if ((web = calloc(1, sizeof(*web))) == NULL)
		return BG_ENOMEM;
	web->fn = fn;
	web->arg = arg;
	if ((web->http = evhttp_new(base)) == NULL) {
		free(web);
		return BG_ENOMEM;
	}
	evhttp_set_max_headers_size(web->http, HEADERS_MAX_BYTES);
	evhttp_set_max_body_size(web->http, BG_WEB_BODY_BYTES);
	evhttp_set_timeout(web->http, IDLE_TIMEOUT_S);
	evhttp_set_gencb(web->http, on_request, web);
	if ((error = bind_address(web, address)) != 0) {
		bg_web_free(web);
		return bg_error_set(
		    err, error, "listen", address, "cannot bind HTTP listener");
	}
	*out = web;
	return 0;
}

void
bg_web_free(struct bg_web *web)
{
	struct bg_web_exchange *xch;

	if (web == NULL)
		return;
	while ((xch = web->exchanges) != NULL) {
		exchange_unlink(web, xch);
		/* evhttp frees those whose clients have not gone. */
		if (evhttp_request_get_connection(xch->req) == NULL)
			evhttp_request_free(xch->req);
	}
	evhttp_free(web->http);
	free(web);
}

int
bg_web_query_value(
    char *out, size_t out_bytes, const char *query, const char *key)
{
	struct evkeyvalq pairs;
	const char *value;
	int error = BG_ENOTFOUND;

	if (evhttp_parse_query_str(query, &pairs) != 0)
		return BG_ENOTFOUND;
	if ((value = evhttp_find_header(&pairs, key)) != NULL) {
		error = strlen(value) < out_bytes ? 0 : BG_ELIMIT;
		if (error == 0)
			snprintf(out, out_bytes, "%s", value);
	}
	evhttp_clear_headers(&pairs);
	return error;
}
