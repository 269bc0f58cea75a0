#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"

#include "../call/deadline.h"
#include "backend.h"
#include "headers.h"
#include "response_reader.h"

/* A connection is no longer used this long before the server's idle timeout,
 * since the server may close it at that moment. */
#define IDLE_MARGIN_MS 1000
/* Limit of responses to other requests that are skipped on one connection. */
#define FOREIGN_RESPONSES_MAX 2

struct connection {
	struct bg_backend *backend;
	struct connection *prev;
	struct connection *next;
	struct bufferevent *bev;
	struct bg_exchange *exchange;
	uint64_t opened_ms;
	uint64_t received_ms; /* 0: never */
	uint32_t idle_max_ms;
	uint32_t served;
	int is_connected;
	int is_dead;
};

struct bg_exchange {
	struct connection *connection;
	struct bg_response_reader *reader;
	bg_exchange_fn fn;
	void *arg;
	int has_received;
	int was_idle; /* the connection was reused after an idle time */
	int may_lack_request_id;
	int is_head;
	int foreign_count;	/* skipped responses to other requests */
	uint64_t counted_bytes; /* of the response body, in buffers */
	char request_id[BG_REQUEST_ID_BYTES];
};

struct bg_backend {
	struct event_base *base;
	const struct bg_header_names *names;
	struct event *sweep;
	struct event *reap;
	struct connection *connections; /* most recently used first */
	struct sockaddr_in sin;
	uint32_t open_count;
	uint32_t connections_max;
	uint32_t body_bytes;
	struct bg_buffers *buffers;
	uint64_t last_received_ms;
	int is_sweeping;
};

static void
unlink_connection(struct connection *conn)
{
	if (conn->prev != NULL)
		conn->prev->next = conn->next;
	else
		conn->backend->connections = conn->next;
	if (conn->next != NULL)
		conn->next->prev = conn->prev;
	conn->prev = conn->next = NULL;
}

static void
push_front(struct connection *conn)
{
	struct bg_backend *be = conn->backend;

	conn->prev = NULL;
	conn->next = be->connections;
	if (conn->next != NULL)
		conn->next->prev = conn;
	be->connections = conn;
}

/* Counts the part of the response that has arrived. */
static void
count_response(struct bg_exchange *xch, uint64_t bytes)
{
	struct bg_buffers *buf = xch->connection->backend->buffers;

	if (buf == NULL || bytes == xch->counted_bytes)
		return;
	bg_buffers_remove(buf, xch->counted_bytes);
	bg_buffers_add(buf, bytes);
	xch->counted_bytes = bytes;
}

static void
exchange_free(struct bg_exchange *xch)
{
	if (xch->counted_bytes > 0)
		count_response(xch, 0);
	bg_response_reader_free(xch->reader);
	free(xch);
}

static void
connection_free(struct connection *conn)
{
	unlink_connection(conn);
	conn->backend->open_count -= !conn->is_dead;
	if (conn->bev != NULL)
		bufferevent_free(conn->bev);
	if (conn->exchange != NULL)
		exchange_free(conn->exchange);
	free(conn);
}

/* Closes a connection. It is freed later from the event loop, because it may
 * not be freed within its own callbacks. */
static void
connection_discard(struct connection *conn)
{
	if (conn->is_dead)
		return;
	conn->is_dead = 1;
	conn->backend->open_count--;
	bufferevent_disable(conn->bev, EV_READ | EV_WRITE);
	event_active(conn->backend->reap, EV_TIMEOUT, 0);
}

static void
on_reap(evutil_socket_t fd, short what, void *arg)
{
	struct bg_backend *be = arg;
	struct connection *conn;
	struct connection *next;

	for (conn = be->connections; conn != NULL; conn = next) {
		next = conn->next;
		if (conn->is_dead)
			connection_free(conn);
	}
}

static int
is_expired(const struct connection *conn, uint64_t now_ms)
{
	return now_ms - conn->opened_ms > BG_BACKEND_MAX_AGE_MS ||
	    now_ms - conn->received_ms > conn->idle_max_ms;
}

static void
arm_sweep(struct bg_backend *be)
{
	static const struct timeval sweep = {
	    BG_BACKEND_IDLE_TIMEOUT_MS / 1000, 0};

	if (be->is_sweeping || be->connections == NULL)
		return;
	be->is_sweeping = 1;
	event_add(be->sweep, &sweep);
}

static void
on_sweep(evutil_socket_t fd, short what, void *arg)
{
	struct bg_backend *be = arg;
	struct connection *conn;
	uint64_t now_ms = bg_clock_now_ms();

	be->is_sweeping = 0;
	for (conn = be->connections; conn != NULL; conn = conn->next) {
		if (conn->exchange == NULL && is_expired(conn, now_ms))
			connection_discard(conn);
	}
	arm_sweep(be);
}

static int
is_connection_header(const char *name)
{
	return bg_header_is_hop_by_hop(name) ||
	    strcasecmp(name, "Content-Length") == 0;
}

/* The copies point to the reader's strings. */
static uint32_t
forwarded_headers(struct bg_xheader out[BG_RESPONSE_HEADERS_MAX],
    const struct bg_response_reader *rd)
{
	struct bg_xheader *headers;
	uint32_t count = bg_response_reader_headers(&headers, rd);
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (!is_connection_header(headers[i].name))
			out[n++] = headers[i];
	}
	return n;
}

/* Calls the callback of the exchange and frees the exchange. */
static void
exchange_finish(struct bg_exchange *xch, struct bg_exchange_result *res)
{
	struct connection *conn = xch->connection;
	bg_exchange_fn fn = xch->fn;
	void *arg = xch->arg;

	res->is_reused = conn->served > 0;
	res->has_received = xch->has_received;
	conn->served++;
	conn->exchange = NULL;
	fn(arg, res);
	exchange_free(xch);
}

static void
fail(struct connection *conn, int code)
{
	struct bg_exchange_result res;

	memset(&res, 0, sizeof(res));
	res.code = code;
	connection_discard(conn);
	exchange_finish(conn->exchange, &res);
}

/* Returns the connection to the pool, unless it is out of sync: bytes after the
 * response belong to no request, and a request that is not fully written would
 * run into the next one. */
static void
connection_release(struct connection *conn, const struct bg_response_reader *rd)
{
	struct evbuffer *in = bufferevent_get_input(conn->bev);
	struct evbuffer *out = bufferevent_get_output(conn->bev);
	uint32_t idle_ms = bg_response_reader_idle_timeout_ms(rd);

	if (!bg_response_reader_keeps_alive(rd) ||
	    evbuffer_get_length(in) > 0 || evbuffer_get_length(out) > 0 ||
	    conn->exchange->foreign_count > 0) {
		connection_discard(conn);
		return;
	}
	conn->idle_max_ms = BG_BACKEND_IDLE_TIMEOUT_MS;
	if (idle_ms > 0 &&
	    idle_ms < BG_BACKEND_IDLE_TIMEOUT_MS + IDLE_MARGIN_MS)
		conn->idle_max_ms =
		    idle_ms > IDLE_MARGIN_MS ? idle_ms - IDLE_MARGIN_MS : 0;
	unlink_connection(conn);
	push_front(conn);
}

static void
deliver(struct connection *conn)
{
	struct bg_xheader headers[BG_RESPONSE_HEADERS_MAX];
	struct bg_exchange *xch = conn->exchange;
	struct bg_exchange_result res;
	struct evbuffer *body = bg_response_reader_body(xch->reader);

	memset(&res, 0, sizeof(res));
	res.http_status = bg_response_reader_status(xch->reader);
	res.headers = headers;
	res.header_count = forwarded_headers(headers, xch->reader);
	res.body_bytes = (uint32_t)evbuffer_get_length(body);
	res.body = (char *)evbuffer_pullup(body, -1);
	connection_release(conn, xch->reader);
	exchange_finish(xch, &res);
}

/* 1 if the response belongs to the request. A server that sheds the call may
 * respond before it has read the request id; such a response contains no data
 * of any caller. */
static int
matches_request(const struct bg_exchange *xch)
{
	const struct bg_header_names *names = xch->connection->backend->names;
	const char *id =
	    bg_response_reader_header(xch->reader, names->request_id);

	if (id != NULL)
		return strcmp(id, xch->request_id) == 0;
	return xch->may_lack_request_id ||
	    bg_response_reader_header(xch->reader, names->not_run) != NULL;
}

/* Skips a late response to an earlier request on this connection. The response
 * to the current request is still to come. */
static int
skip_foreign_response(struct connection *conn)
{
	struct bg_exchange *xch = conn->exchange;

	bg_metrics_count_discarded(BG_DISCARD_FOREIGN);
	bg_log_warn("gatekeeper",
	    "response to another request skipped request=%s", xch->request_id);
	if (++xch->foreign_count > FOREIGN_RESPONSES_MAX ||
	    !bg_response_reader_keeps_alive(xch->reader))
		return -1;
	bg_response_reader_reset(xch->reader, xch->is_head);
	return 0;
}

static void
discard_response(struct connection *conn, enum bg_discard_reason why)
{
	bg_metrics_count_discarded(why);
	bg_log_warn("gatekeeper", "response discarded request=%s reason=%d",
	    conn->exchange->request_id, (int)why);
	fail(conn, BG_EPROTO);
}

static void
on_read(struct bufferevent *bev, void *arg)
{
	enum bg_response_progress progress;
	struct connection *conn = arg;
	struct bg_exchange *xch;

	conn->received_ms = bg_clock_now_ms();
	conn->backend->last_received_ms = conn->received_ms;
	while (!conn->is_dead &&
	    evbuffer_get_length(bufferevent_get_input(bev)) > 0) {
		if ((xch = conn->exchange) == NULL) {
			/* The server sent bytes without a request. */
			bg_metrics_count_discarded(BG_DISCARD_FOREIGN);
			connection_discard(conn);
			return;
		}
		xch->has_received = 1;
		progress = bg_response_reader_feed(
		    xch->reader, bufferevent_get_input(bev));
		count_response(xch,
		    evbuffer_get_length(bg_response_reader_body(xch->reader)));
		switch (progress) {
		case BG_RESPONSE_INCOMPLETE:
		case BG_RESPONSE_UNTIL_CLOSE:
			return;
		case BG_RESPONSE_COMPLETE:
			if (matches_request(xch))
				deliver(conn);
			else if (skip_foreign_response(conn) != 0)
				fail(conn, BG_EPROTO);
			break;
		case BG_RESPONSE_OVERSIZED:
			discard_response(conn, BG_DISCARD_OVERSIZED);
			return;
		case BG_RESPONSE_INVALID:
			discard_response(conn, BG_DISCARD_UNFRAMED);
			return;
		}
	}
}

/* 1 if a response without a length is complete, because the server closed the
 * connection. After a reset, bytes at its end may be lost. */
static int
is_complete_at_eof(const struct bg_exchange *xch, short what)
{
	struct evbuffer *empty;
	int is_until_close;

	if (!(what & BEV_EVENT_EOF) || (what & BEV_EVENT_ERROR))
		return 0;
	if ((empty = evbuffer_new()) == NULL)
		return 0;
	is_until_close = bg_response_reader_feed(xch->reader, empty) ==
	    BG_RESPONSE_UNTIL_CLOSE;
	evbuffer_free(empty);
	return is_until_close && matches_request(xch);
}

static void
on_disconnect(struct connection *conn, short what)
{
	struct bg_exchange *xch = conn->exchange;

	if (xch == NULL)
		connection_discard(conn);
	else if (!conn->is_connected)
		fail(conn, BG_EUNAVAILABLE);
	else if (is_complete_at_eof(xch, what))
		deliver(conn);
	else if (xch->has_received)
		discard_response(conn, BG_DISCARD_TRUNCATED);
	else
		fail(conn, BG_EIO);
}

static void
set_nodelay(struct bufferevent *bev)
{
	int on = 1;

	setsockopt(
	    bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct connection *conn = arg;

	if (what & BEV_EVENT_CONNECTED) {
		conn->is_connected = 1;
		set_nodelay(bev);
		bufferevent_set_timeouts(bev, NULL, NULL);
		return;
	}
	if (!conn->is_dead)
		on_disconnect(conn, what);
}

static struct connection *
connection_open(struct bg_backend *be)
{
	static const struct timeval connect_timeout = {
	    BG_BACKEND_CONNECT_TIMEOUT_MS / 1000, 0};
	struct connection *conn;

	if ((conn = calloc(1, sizeof(*conn))) == NULL)
		return NULL;
	conn->backend = be;
	conn->opened_ms = bg_clock_now_ms();
	conn->bev = bufferevent_socket_new(be->base, -1, BEV_OPT_CLOSE_ON_FREE);
	if (conn->bev == NULL) {
		free(conn);
		return NULL;
	}
	bufferevent_setcb(conn->bev, on_read, NULL, on_event, conn);
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
	bufferevent_set_timeouts(conn->bev, NULL, &connect_timeout);
	push_front(conn);
	be->open_count++;
	arm_sweep(be);
	return conn;
}

/* Returns the most recently used idle connection that fits, or a new one. At
 * the limit, idle connections are closed to make room; NULL if there are none.
 */
static struct connection *
connection_acquire(
    struct bg_backend *be, const struct bg_exchange_options *opts)
{
	struct connection *conn;
	uint64_t now_ms = bg_clock_now_ms();

	for (conn = be->connections; conn != NULL; conn = conn->next) {
		if (conn->exchange == NULL && !conn->is_dead &&
		    !opts->needs_new_connection && !is_expired(conn, now_ms) &&
		    bg_connection_is_reusable(now_ms - conn->received_ms,
			!opts->needs_fresh_connection))
			return conn;
	}
	if (be->open_count >= be->connections_max)
		bg_backend_close_idle(be);
	return be->open_count >= be->connections_max ? NULL
						     : connection_open(be);
}

static void
write_request(struct evbuffer *out, const struct bg_exchange_options *opts)
{
	uint32_t i;

	evbuffer_add_printf(out, "%s %s HTTP/1.1\r\nHost: %s\r\n", opts->method,
	    opts->path, opts->host);
	for (i = 0; i < opts->header_count; i++)
		evbuffer_add_printf(out, "%s: %s\r\n", opts->headers[i].name,
		    opts->headers[i].value);
	if (opts->body_bytes > 0 || strcmp(opts->method, "POST") == 0 ||
	    strcmp(opts->method, "PUT") == 0 ||
	    strcmp(opts->method, "PATCH") == 0)
		evbuffer_add_printf(
		    out, "Content-Length: %u\r\n", opts->body_bytes);
	evbuffer_add(out, "\r\n", 2);
	if (opts->body_bytes > 0)
		evbuffer_add(out, opts->body, opts->body_bytes);
}

static int
connect_if_needed(struct connection *conn)
{
	if (conn->is_connected || bufferevent_getfd(conn->bev) >= 0)
		return 0;
	return bufferevent_socket_connect(conn->bev,
		   (struct sockaddr *)&conn->backend->sin,
		   sizeof(conn->backend->sin)) == 0
	    ? 0
	    : BG_EIO;
}

int
bg_backend_send(struct bg_exchange **out, struct bg_backend *be,
    const struct bg_exchange_options *opts, bg_exchange_fn fn, void *arg)
{
	struct connection *conn;
	struct bg_exchange *xch;

	if ((conn = connection_acquire(be, opts)) == NULL)
		return BG_ELIMIT;
	if ((xch = calloc(1, sizeof(*xch))) == NULL)
		return BG_ENOMEM;
	if (bg_response_reader_init(&xch->reader, be->body_bytes) != 0) {
		free(xch);
		return BG_ENOMEM;
	}
	xch->is_head = strcmp(opts->method, "HEAD") == 0;
	bg_response_reader_reset(xch->reader, xch->is_head);
	xch->connection = conn;
	xch->was_idle = conn->served > 0 &&
	    !bg_connection_is_reusable(
		bg_clock_now_ms() - conn->received_ms, 0);
	xch->fn = fn;
	xch->arg = arg;
	xch->may_lack_request_id = opts->may_lack_request_id;
	snprintf(
	    xch->request_id, sizeof(xch->request_id), "%s", opts->request_id);
	write_request(bufferevent_get_output(conn->bev), opts);
	if (connect_if_needed(conn) != 0) {
		exchange_free(xch);
		connection_discard(conn);
		return BG_ELIMIT;
	}
	conn->exchange = xch;
	*out = xch;
	return 0;
}

int
bg_exchange_is_silent(const struct bg_exchange *xch)
{
	return xch->was_idle && !xch->has_received;
}

void
bg_backend_cancel(struct bg_exchange *xch)
{
	struct connection *conn = xch->connection;

	/* Closing tells the backend server that no response is awaited. */
	conn->exchange = NULL;
	exchange_free(xch);
	connection_discard(conn);
}

void
bg_backend_close_idle(struct bg_backend *be)
{
	struct connection *conn;

	for (conn = be->connections; conn != NULL; conn = conn->next) {
		if (conn->exchange == NULL)
			connection_discard(conn);
	}
}

void
bg_backend_set_connections(struct bg_backend *be, uint32_t connections)
{
	be->connections_max = connections == 0 ? 1 : connections;
}

uint64_t
bg_backend_last_received_ms(const struct bg_backend *be)
{
	return be->last_received_ms;
}

int
bg_backend_init(struct bg_backend **out, const struct bg_backend_options *opts,
    struct bg_error *err)
{
	struct bg_backend *be;
	int sin_bytes = sizeof(be->sin);

	if ((be = calloc(1, sizeof(*be))) == NULL)
		return BG_ENOMEM;
	be->base = opts->base;
	be->names = opts->names;
	bg_backend_set_connections(be, opts->connections);
	be->body_bytes = opts->body_bytes;
	be->buffers = opts->buffers;
	if (evutil_parse_sockaddr_port(
		opts->address, (struct sockaddr *)&be->sin, &sin_bytes) != 0 ||
	    be->sin.sin_family != AF_INET || be->sin.sin_port == 0) {
		free(be);
		return bg_error_set(err, BG_EINVAL, "backend", opts->address,
		    "not an IP address with a port");
	}
	be->sweep = evtimer_new(opts->base, on_sweep, be);
	be->reap = event_new(opts->base, -1, 0, on_reap, be);
	if (be->sweep == NULL || be->reap == NULL) {
		bg_backend_free(be);
		return BG_ENOMEM;
	}
	*out = be;
	return 0;
}

void
bg_backend_free(struct bg_backend *be)
{
	if (be == NULL)
		return;
	while (be->connections != NULL)
		connection_free(be->connections);
	if (be->sweep != NULL)
		event_free(be->sweep);
	if (be->reap != NULL)
		event_free(be->reap);
	free(be);
}
