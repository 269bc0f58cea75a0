#ifndef BG_TEST_BACKEND_H
#define BG_TEST_BACKEND_H

/* HTTP backend server on loopback, with faults that a test selects. */

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum backend_mode {
	BACKEND_OK,
	BACKEND_CLOSE,	   /* closes after reading the request */
	BACKEND_HOLD,	   /* responds when the test releases it */
	BACKEND_WRONG_ID,  /* responds with the id of another request */
	BACKEND_NO_ID,	   /* responds without a request id */
	BACKEND_TRUNCATED, /* closes within the body */
	BACKEND_NO_LENGTH, /* no Content-Length; closes after the body */
	BACKEND_TWO_LENGTHS,
	BACKEND_OVERSIZED,
	BACKEND_TRAILING_BYTES, /* a second response after the first */
	BACKEND_CHUNKED,
	BACKEND_500,
	BACKEND_503,
	BACKEND_SHED,
	BACKEND_204,
	BACKEND_LARGE, /* body of 512 KiB */
	BACKEND_RAW,   /* sends raw, and nothing else */
};

struct backend {
	struct event_base *base;
	struct evconnlistener *listener;
	struct backend_conn *conns;
	enum backend_mode mode;
	int is_unhealthy;	      /* responds to probes with 500 */
	enum backend_mode probe_mode; /* if it is not unhealthy */
	int requests;		      /* received, without probes */
	int probes;
	int aborted;  /* connections closed while a request was held */
	int accepted; /* connections */
	int held;     /* requests held now */
	uint16_t port;
	const char *raw; /* response of BACKEND_RAW */
	size_t raw_bytes;
	const char *version; /* sent as X-Version; NULL: none */
	const char *load;    /* sent as X-Server-Load; NULL: none */
	char last_head[8192];
	char last_body[256];
	size_t last_body_bytes;
	int is_body_uniform; /* the last body repeats its first byte */
};

struct backend_conn {
	struct backend *backend;
	struct bufferevent *bev;
	struct backend_conn *next;
	int is_held;
	int is_silent;	/* ignores requests but stays open */
	int is_closing; /* closes when the response is written */
	int is_head_request;
	int is_probe;
	char request_id[160];
};

static inline void
backend_conn_free(struct backend_conn *conn)
{
	struct backend_conn **link = &conn->backend->conns;

	while (*link != conn)
		link = &(*link)->next;
	*link = conn->next;
	if (conn->is_held) {
		conn->backend->held--;
		conn->backend->aborted++;
	}
	bufferevent_free(conn->bev);
	free(conn);
}

static inline int
backend_status(enum backend_mode mode)
{
	switch (mode) {
	case BACKEND_500:
		return 500;
	case BACKEND_503:
	case BACKEND_SHED:
		return 503;
	case BACKEND_204:
		return 204;
	default:
		return 200;
	}
}

static inline void
backend_respond(struct backend_conn *conn, enum backend_mode mode)
{
	struct evbuffer *out = bufferevent_get_output(conn->bev);
	const char *version = conn->backend->version;
	const char *id = mode == BACKEND_WRONG_ID ? "other" : conn->request_id;
	int status = backend_status(mode);
	static char large_body[512 * 1024];

	if (mode == BACKEND_RAW) {
		evbuffer_add(out, conn->backend->raw, conn->backend->raw_bytes);
		return;
	}
	evbuffer_add_printf(out, "HTTP/1.1 %d X\r\n", status);
	if (mode != BACKEND_NO_ID && mode != BACKEND_SHED && !conn->is_probe)
		evbuffer_add_printf(out, "X-Request-Id: %s\r\n", id);
	if (version != NULL)
		evbuffer_add_printf(out, "X-Version: %s\r\n", version);
	if (conn->backend->load != NULL)
		evbuffer_add_printf(
		    out, "X-Server-Load: %s\r\n", conn->backend->load);
	switch (mode) {
	case BACKEND_TRUNCATED:
		evbuffer_add_printf(out, "Content-Length: 500\r\n\r\nhello");
		conn->is_closing = 1;
		break;
	case BACKEND_NO_LENGTH:
		evbuffer_add_printf(out, "\r\nhello");
		conn->is_closing = 1;
		break;
	case BACKEND_TWO_LENGTHS:
		evbuffer_add_printf(
		    out, "Content-Length: 5\r\nContent-Length: 3\r\n\r\nhello");
		break;
	case BACKEND_OVERSIZED:
		evbuffer_add_printf(
		    out, "Content-Length: 2000000\r\n\r\nhello");
		break;
	case BACKEND_204:
		evbuffer_add_printf(out, "\r\n");
		break;
	case BACKEND_SHED:
		evbuffer_add_printf(
		    out, "X-Shed: 1\r\nContent-Length: 0\r\n\r\n");
		break;
	case BACKEND_CHUNKED:
		evbuffer_add_printf(out,
		    "Transfer-Encoding: chunked\r\n\r\n"
		    "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n");
		break;
	case BACKEND_TRAILING_BYTES:
		evbuffer_add_printf(out,
		    "Content-Length: 5\r\n\r\nhelloHTTP/1.1 200 X\r\n"
		    "Content-Length: 4\r\n\r\nevil");
		break;
	case BACKEND_LARGE:
		memset(large_body, 'x', sizeof(large_body));
		evbuffer_add_printf(
		    out, "Content-Length: %zu\r\n\r\n", sizeof(large_body));
		evbuffer_add(out, large_body, sizeof(large_body));
		break;
	default:
		evbuffer_add_printf(out, "Content-Length: 5\r\n\r\n%s",
		    conn->is_head_request ? "" : "hello");
		break;
	}
}

static inline void
backend_handle_request(struct backend_conn *conn, const char *head)
{
	struct backend *be = conn->backend;
	const char *id = strcasestr(head, "\r\nX-Request-Id: ");

	conn->request_id[0] = '\0';
	conn->is_head_request = strncmp(head, "HEAD ", 5) == 0;
	if (id != NULL)
		sscanf(id + 16, "%159[^\r]", conn->request_id);
	conn->is_probe = strncmp(head, "GET /health ", 12) == 0;
	if (conn->is_probe) {
		be->probes++;
		backend_respond(
		    conn, be->is_unhealthy ? BACKEND_500 : be->probe_mode);
		return;
	}
	be->requests++;
	snprintf(be->last_head, sizeof(be->last_head), "%s", head);
	if (conn->is_silent)
		return;
	if (be->mode == BACKEND_CLOSE) {
		backend_conn_free(conn);
		return;
	}
	if (be->mode == BACKEND_HOLD) {
		conn->is_held = 1;
		be->held++;
		return;
	}
	backend_respond(conn, be->mode);
}

static inline void
backend_check_body(struct backend *be, struct evbuffer *in, size_t body_bytes)
{
	const char *text =
	    (const char *)evbuffer_pullup(in, (ev_ssize_t)body_bytes);
	size_t i;

	be->last_body_bytes = body_bytes;
	be->is_body_uniform = 1;
	for (i = 1; i < body_bytes; i++)
		be->is_body_uniform &= text[i] == text[0];
}

static inline void
backend_read(struct bufferevent *bev, void *arg)
{
	struct backend_conn *conn = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	const char *length;
	char head[8192];
	size_t body_bytes = 0;
	struct evbuffer_ptr end = evbuffer_search(in, "\r\n\r\n", 4, NULL);

	if (end.pos < 0 || (size_t)end.pos + 4 >= sizeof(head))
		return;
	evbuffer_copyout(in, head, (size_t)end.pos + 4);
	head[end.pos + 4] = '\0';
	if ((length = strcasestr(head, "\r\nContent-Length: ")) != NULL)
		body_bytes = strtoul(length + 18, NULL, 10);
	if (evbuffer_get_length(in) < (size_t)end.pos + 4 + body_bytes)
		return;
	evbuffer_drain(in, (size_t)end.pos + 4);
	memset(conn->backend->last_body, 0, sizeof(conn->backend->last_body));
	if (body_bytes > 0 && body_bytes < sizeof(conn->backend->last_body))
		evbuffer_copyout(in, conn->backend->last_body, body_bytes);
	backend_check_body(conn->backend, in, body_bytes);
	evbuffer_drain(in, body_bytes);
	backend_handle_request(conn, head);
}

static inline void
backend_write(struct bufferevent *bev, void *arg)
{
	struct backend_conn *conn = arg;

	if (conn->is_closing)
		backend_conn_free(conn);
}

static inline void
backend_event(struct bufferevent *bev, short what, void *arg)
{
	backend_conn_free(arg);
}

static inline void
backend_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *addr, int addr_bytes, void *arg)
{
	struct backend *be = arg;
	struct backend_conn *conn = calloc(1, sizeof(*conn));
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	conn->backend = be;
	conn->bev = bufferevent_socket_new(be->base, fd, BEV_OPT_CLOSE_ON_FREE);
	conn->next = be->conns;
	be->conns = conn;
	be->accepted++;
	bufferevent_setcb(
	    conn->bev, backend_read, backend_write, backend_event, conn);
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
}

static inline void
backend_listen(struct backend *be, struct event_base *base)
{
	struct sockaddr_in sin;
	socklen_t bytes = sizeof(sin);

	memset(&sin, 0, sizeof(sin));
	sin.sin_family = AF_INET;
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sin.sin_port = htons(be->port);
	be->base = base;
	be->listener = evconnlistener_new_bind(base, backend_accept, be,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 128,
	    (struct sockaddr *)&sin, sizeof(sin));
	getsockname(evconnlistener_get_fd(be->listener),
	    (struct sockaddr *)&sin, &bytes);
	be->port = ntohs(sin.sin_port);
}

/* Responds to the held requests, or closes their connections with
 * BACKEND_CLOSE. */
static inline void
backend_release_held(struct backend *be, enum backend_mode mode)
{
	struct backend_conn *conn;
	struct backend_conn *next;

	for (conn = be->conns; conn != NULL; conn = next) {
		next = conn->next;
		if (!conn->is_held)
			continue;
		conn->is_held = 0;
		be->held--;
		if (mode == BACKEND_CLOSE)
			backend_conn_free(conn);
		else
			backend_respond(conn, mode);
	}
}

/* Makes the open connections ignore requests; new ones work. */
static inline void
backend_silence(struct backend *be)
{
	struct backend_conn *conn;

	for (conn = be->conns; conn != NULL; conn = conn->next)
		conn->is_silent = 1;
}

static inline void
backend_stop(struct backend *be)
{
	if (be->listener != NULL)
		evconnlistener_free(be->listener);
	be->listener = NULL;
	while (be->conns != NULL)
		backend_conn_free(be->conns);
}

#endif
