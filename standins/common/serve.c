#include <arpa/inet.h>
#include <netinet/in.h>

#include <errno.h>
#include <event2/http.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "serve.h"

/* Reconnect storms of a whole fleet must not overflow the accept queue. */
#define BACKLOG 4096

static void
on_signal(evutil_socket_t sig, short what, void *arg)
{
	event_base_loopbreak(arg);
}

int
serve_init(struct serve *out)
{
	struct event_config *cfg = event_config_new();

	memset(out, 0, sizeof(*out));
	signal(SIGPIPE, SIG_IGN);
	/* Without it, timers follow a clock that advances in steps of 4 ms. */
	event_config_set_flag(cfg, EVENT_BASE_FLAG_PRECISE_TIMER);
	out->base = event_base_new_with_config(cfg);
	event_config_free(cfg);
	if (out->base == NULL)
		return -1;
	out->sigterm = evsignal_new(out->base, SIGTERM, on_signal, out->base);
	out->sigint = evsignal_new(out->base, SIGINT, on_signal, out->base);
	if (out->sigterm == NULL || out->sigint == NULL)
		return -1;
	evsignal_add(out->sigterm, NULL);
	evsignal_add(out->sigint, NULL);
	return 0;
}

/* libevhtp ignores an end of file while errno holds a stale EAGAIN and then
 * never releases the connection. */
static void
on_connection_event(evhtp_connection_t *conn, short what, void *arg)
{
	errno = 0;
}

static evhtp_res
on_connection_fini(evhtp_connection_t *conn, void *arg)
{
	struct serve *srv = arg;
	struct serve_connection **at = &srv->connections;
	struct serve_connection *scn;

	while (*at != NULL && (*at)->conn != conn)
		at = &(*at)->next;
	if ((scn = *at) != NULL) {
		*at = scn->next;
		free(scn);
	}
	return EVHTP_RES_OK;
}

static evhtp_res
on_accepted(evhtp_connection_t *conn, void *arg)
{
	struct serve *srv = arg;
	struct serve_connection *scn = calloc(1, sizeof(*scn));

	evhtp_connection_set_hook(conn, evhtp_hook_on_event,
	    (evhtp_hook)(void *)on_connection_event, NULL);
	if (scn == NULL)
		return EVHTP_RES_OK;
	scn->conn = conn;
	scn->next = srv->connections;
	srv->connections = scn;
	evhtp_connection_set_hook(conn, evhtp_hook_on_connection_fini,
	    (evhtp_hook)(void *)on_connection_fini, srv);
	return EVHTP_RES_OK;
}

void
serve_mute_open(struct serve *srv)
{
	struct serve_connection *scn;

	for (scn = srv->connections; scn != NULL; scn = scn->next)
		bufferevent_disable(scn->conn->bev, EV_READ | EV_WRITE);
}

int
serve_split_address(
    char ip[SERVE_IP_BYTES], uint16_t *port, const char *address)
{
	const char *colon = strrchr(address, ':');
	struct in_addr in;
	char *end;
	unsigned long value;

	if (colon == NULL || (size_t)(colon - address) >= SERVE_IP_BYTES ||
	    colon[1] < '0' || colon[1] > '9')
		return -1;
	memcpy(ip, address, (size_t)(colon - address));
	ip[colon - address] = '\0';
	value = strtoul(colon + 1, &end, 10);
	if (*end != '\0' || value > UINT16_MAX)
		return -1;
	*port = (uint16_t)value;
	return inet_pton(AF_INET, ip, &in) == 1 ? 0 : -1;
}

int
serve_listen(
    struct serve *srv, const char *address, evhtp_callback_cb fn, void *arg)
{
	char ip[SERVE_IP_BYTES];
	struct sockaddr_in sin = {0};
	socklen_t sin_bytes = sizeof(sin);
	uint16_t port;

	if (serve_split_address(ip, &port, address) != 0) {
		fprintf(stderr, "listen: %s: expected IP:PORT\n", address);
		return -1;
	}
	if ((srv->htp = evhtp_new(srv->base, NULL)) == NULL)
		return -1;
	evhtp_enable_flag(srv->htp, EVHTP_FLAG_ENABLE_NODELAY);
	evhtp_set_gencb(srv->htp, fn, arg);
	evhtp_set_post_accept_cb(srv->htp, on_accepted, srv);
	if (evhtp_bind_socket(srv->htp, ip, port, BACKLOG) != 0) {
		fprintf(stderr, "listen: %s: %s\n", address, strerror(errno));
		return -1;
	}
	getsockname(evconnlistener_get_fd(srv->htp->server),
	    (struct sockaddr *)&sin, &sin_bytes);
	srv->port = ntohs(sin.sin_port);
	printf("listening %s:%u\n", ip, srv->port);
	fflush(stdout);
	return 0;
}

void
serve_peer_ip(char out[SERVE_IP_BYTES], const evhtp_request_t *req)
{
	const struct sockaddr_in *sin =
	    (const struct sockaddr_in *)req->conn->saddr;

	out[0] = '\0';
	if (sin != NULL && sin->sin_family == AF_INET)
		inet_ntop(AF_INET, &sin->sin_addr, out, SERVE_IP_BYTES);
}

const char *
serve_header(evhtp_request_t *req, const char *name)
{
	return evhtp_header_find(req->headers_in, name);
}

char *
serve_query(evhtp_request_t *req, const char *name)
{
	const char *value;

	if (req->uri->query == NULL ||
	    (value = evhtp_kv_find(req->uri->query, name)) == NULL)
		return NULL;
	return evhttp_uridecode(value, 0, NULL);
}

void
serve_on_gone(evhtp_request_t *req,
    evhtp_res (*fn)(evhtp_request_t *req, void *arg), void *arg)
{
	evhtp_request_set_hook(
	    req, evhtp_hook_on_request_fini, (evhtp_hook)fn, arg);
}

void
serve_add_header(evhtp_request_t *req, const char *name, const char *value)
{
	evhtp_headers_add_header(
	    req->headers_out, evhtp_header_new(name, value, 1, 1));
}

void
serve_reply(
    evhtp_request_t *req, evhtp_res code, const char *body, size_t body_bytes)
{
	if (body_bytes > 0)
		evbuffer_add(req->buffer_out, body, body_bytes);
	evhtp_send_reply(req, code);
}

void
serve_reply_chunked(
    evhtp_request_t *req, evhtp_res code, const char *body, size_t body_bytes)
{
	struct evbuffer *part = evbuffer_new();
	size_t half = body_bytes / 2;

	evhtp_send_reply_chunk_start(req, code);
	evbuffer_add(part, body, half);
	if (half > 0)
		evhtp_send_reply_chunk(req, part);
	evbuffer_drain(part, evbuffer_get_length(part));
	evbuffer_add(part, body + half, body_bytes - half);
	if (body_bytes > half)
		evhtp_send_reply_chunk(req, part);
	evbuffer_free(part);
	evhtp_send_reply_chunk_end(req);
}

void
serve_close_after(evhtp_request_t *req)
{
	serve_add_header(req, "Connection", "close");
	evhtp_request_set_keepalive(req, 0);
}

void
serve_reply_json(evhtp_request_t *req, evhtp_res code, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	serve_add_header(req, "Content-Type", "application/json");
	serve_reply(req, code, text, text == NULL ? 0 : strlen(text));
	free(text);
}

json_t *
serve_read_json(evhtp_request_t *req)
{
	size_t bytes = evbuffer_get_length(req->buffer_in);
	const char *text = (const char *)evbuffer_pullup(req->buffer_in, -1);
	json_error_t error;
	json_t *body;

	body = json_loadb(text == NULL ? "" : text, bytes, 0, &error);
	if (json_is_object(body))
		return body;
	json_decref(body);
	serve_reply(req, EVHTP_RES_BADREQ, "expected a JSON object\n", 23);
	return NULL;
}
