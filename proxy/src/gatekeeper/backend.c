#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"

#include "../call/deadline.h"
#include "answer.h"
#include "backend.h"

#define IP_BYTES 16
#define HEAD_BYTES_MAX 16384
#define SWEEP_MS 1000
/* The gatekeeper's deadline ends an exchange; this only bounds a leak. */
#define TIMEOUT_S 600

struct connection {
	struct bg_backend *backend;
	struct connection *prev;
	struct connection *next;
	struct evhttp_connection *evcon;
	struct bg_exchange *exchange;
	uint64_t opened_ms;
	uint64_t received_ms; /* 0: never */
	uint32_t served;
	int is_dead;
};

struct bg_exchange {
	struct connection *connection;
	struct evhttp_request *request;
	bg_exchange_fn fn;
	void *arg;
	int is_written;
	int has_received;
	int is_head;
	int is_probe;
	int error; /* enum evhttp_request_error, or -1 */
	char request_id[BG_REQUEST_ID_BYTES];
};

struct bg_backend {
	struct event_base *base;
	struct event *sweep;
	struct event *reap;
	struct connection *connections; /* most recently used first */
	uint32_t open_count;
	uint32_t connections_max;
	uint32_t body_bytes;
	int returns_identity; /* this server returned X-Request-Id before */
	uint16_t port;
	char ip[IP_BYTES];
	char host[BG_ADDRESS_BYTES];
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
link_first(struct connection *conn)
{
	struct bg_backend *be = conn->backend;

	conn->prev = NULL;
	conn->next = be->connections;
	if (conn->next != NULL)
		conn->next->prev = conn;
	be->connections = conn;
}

static void
connection_free(struct connection *conn)
{
	unlink_connection(conn);
	conn->backend->open_count--;
	evhttp_connection_free(conn->evcon);
	free(conn->exchange);
	free(conn);
}

/* Connections are freed from the loop: evhttp still uses the struct after the
 * callbacks in which a connection is found unusable. */
static void
discard(struct connection *conn)
{
	conn->is_dead = 1;
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
	return now_ms - conn->opened_ms > BG_BACKEND_AGE_MS ||
	    now_ms - conn->received_ms > BG_BACKEND_IDLE_MS;
}

static void
on_sweep(evutil_socket_t fd, short what, void *arg)
{
	struct bg_backend *be = arg;
	struct connection *conn;
	uint64_t now_ms = bg_clock_now_ms();

	for (conn = be->connections; conn != NULL; conn = conn->next) {
		if (conn->exchange == NULL && is_expired(conn, now_ms))
			discard(conn);
	}
}

/* Notes bytes that reached the output of a connection: from then on the
 * backend server may run the call. */
static void
on_output(struct evbuffer *buf, const struct evbuffer_cb_info *info, void *arg)
{
	struct connection *conn = arg;

	if (info->n_added > 0 && conn->exchange != NULL)
		conn->exchange->is_written = 1;
}

static void
on_input(struct evbuffer *buf, const struct evbuffer_cb_info *info, void *arg)
{
	struct connection *conn = arg;

	if (info->n_added == 0)
		return;
	conn->received_ms = bg_clock_now_ms();
	if (conn->exchange != NULL)
		conn->exchange->has_received = 1;
}

static struct connection *
connection_open(struct bg_backend *be)
{
	struct connection *conn;
	struct bufferevent *bev;

	if ((conn = calloc(1, sizeof(*conn))) == NULL)
		return NULL;
	conn->backend = be;
	conn->opened_ms = bg_clock_now_ms();
	conn->evcon =
	    evhttp_connection_base_new(be->base, NULL, be->ip, be->port);
	if (conn->evcon == NULL) {
		free(conn);
		return NULL;
	}
	evhttp_connection_set_max_body_size(
	    conn->evcon, (ev_ssize_t)be->body_bytes);
	evhttp_connection_set_max_headers_size(conn->evcon, HEAD_BYTES_MAX);
	evhttp_connection_set_timeout(conn->evcon, TIMEOUT_S);
	bev = evhttp_connection_get_bufferevent(conn->evcon);
	evbuffer_add_cb(bufferevent_get_output(bev), on_output, conn);
	evbuffer_add_cb(bufferevent_get_input(bev), on_input, conn);
	link_first(conn);
	be->open_count++;
	return conn;
}

/* Chooses the connection that was heard of last. */
static struct connection *
connection_take(struct bg_backend *be, const struct bg_exchange_options *opts)
{
	struct connection *conn;
	uint64_t now_ms = bg_clock_now_ms();

	for (conn = be->connections; conn != NULL; conn = conn->next) {
		if (conn->exchange == NULL && !conn->is_dead &&
		    !opts->is_new_needed && !is_expired(conn, now_ms) &&
		    bg_connection_is_fresh(
			now_ms - conn->received_ms, !opts->is_fresh_needed))
			return conn;
	}
	if (be->open_count >= be->connections_max) {
		bg_backend_drop_idle(be);
		on_reap(-1, 0, be);
	}
	return be->open_count >= be->connections_max ? NULL
						     : connection_open(be);
}

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
	if (res->code != 0)
		discard(conn);
	else {
		unlink_connection(conn);
		link_first(conn);
	}
	free(xch);
	fn(arg, res);
}

static int
failure_code(const struct bg_exchange *xch)
{
	if (!xch->is_written)
		return BG_EUNAVAILABLE;
	if (xch->error == EVREQ_HTTP_DATA_TOO_LONG) {
		bg_metrics_discarded(BG_DISCARD_OVERSIZED);
		return BG_EPROTO;
	}
	if (xch->has_received) {
		bg_metrics_discarded(BG_DISCARD_TRUNCATED);
		return BG_EPROTO;
	}
	return BG_EIO;
}

static void
on_error(enum evhttp_request_error error, void *arg)
{
	struct bg_exchange *xch = arg;

	xch->error = (int)error;
}

static void
on_answer(struct evhttp_request *req, void *arg)
{
	struct bg_xheader headers[BG_HEADERS_MAX];
	struct bg_exchange *xch = arg;
	struct bg_exchange_result res;
	struct bg_backend *be = xch->connection->backend;
	struct evbuffer *in;
	enum bg_discard why;

	memset(&res, 0, sizeof(res));
	xch->request = NULL;
	if (req == NULL || xch->error >= 0 ||
	    evhttp_request_get_response_code(req) == 0) {
		res.code = failure_code(xch);
		exchange_finish(xch, &res);
		return;
	}
	if (bg_answer_check(&why, req, xch->connection->evcon, xch->request_id,
		xch->is_head, xch->is_probe || !be->returns_identity) != 0) {
		bg_metrics_discarded(why);
		bg_log_warn("gatekeeper",
		    "answer discarded request=%s reason=%s", xch->request_id,
		    why == BG_DISCARD_FOREIGN ? "identity" : "framing");
		res.code = BG_EPROTO;
		exchange_finish(xch, &res);
		return;
	}
	/* Not every server returns the identity; one that did once must go on
	 * doing so. */
	if (evhttp_find_header(
		evhttp_request_get_input_headers(req), "X-Request-Id") != NULL)
		be->returns_identity = 1;
	in = evhttp_request_get_input_buffer(req);
	res.http_status = (uint32_t)evhttp_request_get_response_code(req);
	res.headers = headers;
	res.header_count = bg_answer_headers(headers, BG_HEADERS_MAX, req);
	res.version = evhttp_find_header(
	    evhttp_request_get_input_headers(req), "X-Version");
	res.body_bytes = (uint32_t)evbuffer_get_length(in);
	res.body = (char *)evbuffer_pullup(in, -1);
	exchange_finish(xch, &res);
}

static const struct {
	const char *name;
	enum evhttp_cmd_type type;
} METHODS[] = {
    {"GET", EVHTTP_REQ_GET},
    {"HEAD", EVHTTP_REQ_HEAD},
    {"POST", EVHTTP_REQ_POST},
    {"PUT", EVHTTP_REQ_PUT},
    {"DELETE", EVHTTP_REQ_DELETE},
    {"PATCH", EVHTTP_REQ_PATCH},
};

static int
find_method(enum evhttp_cmd_type *out, const char *name)
{
	size_t i;

	for (i = 0; i < sizeof(METHODS) / sizeof(METHODS[0]); i++) {
		if (strcmp(METHODS[i].name, name) == 0) {
			*out = METHODS[i].type;
			return 0;
		}
	}
	return BG_EINVAL;
}

static int
add_headers(struct evhttp_request *req, const struct bg_backend *be,
    const struct bg_exchange_options *opts)
{
	struct evkeyvalq *out = evhttp_request_get_output_headers(req);
	char number[16];
	uint32_t i;
	int error = 0;

	error |= evhttp_add_header(out, "Host", be->host);
	for (i = 0; i < opts->header_count; i++) {
		if (!bg_header_is_local(opts->headers[i].name))
			error |= evhttp_add_header(
			    out, opts->headers[i].name, opts->headers[i].value);
	}
	error |= evhttp_add_header(out, "X-Request-Id", opts->request_id);
	snprintf(number, sizeof(number), "%u", opts->deadline_ms);
	error |= evhttp_add_header(out, "X-Deadline-Ms", number);
	snprintf(number, sizeof(number), "%u", opts->depth);
	error |= evhttp_add_header(out, "X-Call-Depth", number);
	if (opts->body_bytes > 0) {
		snprintf(number, sizeof(number), "%u", opts->body_bytes);
		error |= evhttp_add_header(out, "Content-Length", number);
		error |= evbuffer_add(evhttp_request_get_output_buffer(req),
		    opts->body, opts->body_bytes);
	}
	return error == 0 ? 0 : BG_EINVAL;
}

static void
set_nodelay(struct connection *conn)
{
	int on = 1;
	evutil_socket_t fd =
	    bufferevent_getfd(evhttp_connection_get_bufferevent(conn->evcon));

	if (fd >= 0)
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

static int
exchange_start(struct bg_exchange *xch, struct connection *conn,
    enum evhttp_cmd_type type, const struct bg_exchange_options *opts)
{
	xch->request = evhttp_request_new(on_answer, xch);
	if (xch->request == NULL)
		return BG_ENOMEM;
	evhttp_request_set_error_cb(xch->request, on_error);
	if (add_headers(xch->request, conn->backend, opts) != 0) {
		evhttp_request_free(xch->request);
		return BG_EINVAL;
	}
	conn->exchange = xch;
	/* On failure evhttp has freed the request. */
	if (evhttp_make_request(conn->evcon, xch->request, type, opts->path) !=
	    0) {
		conn->exchange = NULL;
		discard(conn);
		return BG_EIO;
	}
	set_nodelay(conn);
	return 0;
}

int
bg_backend_send(struct bg_exchange **out, struct bg_backend *be,
    const struct bg_exchange_options *opts, bg_exchange_fn fn, void *arg)
{
	enum evhttp_cmd_type type;
	struct connection *conn;
	struct bg_exchange *xch;
	int error;

	if (find_method(&type, opts->method) != 0)
		return BG_EINVAL;
	if ((conn = connection_take(be, opts)) == NULL)
		return BG_ELIMIT;
	if ((xch = calloc(1, sizeof(*xch))) == NULL)
		return BG_ENOMEM;
	xch->connection = conn;
	xch->fn = fn;
	xch->arg = arg;
	xch->error = -1;
	xch->is_head = type == EVHTTP_REQ_HEAD;
	xch->is_probe = opts->is_probe;
	snprintf(
	    xch->request_id, sizeof(xch->request_id), "%s", opts->request_id);
	if ((error = exchange_start(xch, conn, type, opts)) != 0) {
		free(xch);
		return error;
	}
	*out = xch;
	return 0;
}

void
bg_backend_cancel(struct bg_exchange *xch)
{
	/* Closing tells the backend server that nobody waits. The exchange is
	 * freed with its connection, which also drops the request. */
	connection_free(xch->connection);
}

void
bg_backend_drop_idle(struct bg_backend *be)
{
	struct connection *conn;

	for (conn = be->connections; conn != NULL; conn = conn->next) {
		if (conn->exchange == NULL)
			discard(conn);
	}
}

void
bg_backend_set_connections(struct bg_backend *be, uint32_t connections)
{
	be->connections_max = connections == 0 ? 1 : connections;
}

static int
parse_address(struct bg_backend *be, const char *address)
{
	const char *colon = strrchr(address, ':');
	uint32_t port;

	if (colon == NULL || (size_t)(colon - address) >= sizeof(be->ip))
		return BG_EINVAL;
	memcpy(be->ip, address, (size_t)(colon - address));
	port = bg_header_u32(colon + 1, 0);
	if (port == 0 || port > UINT16_MAX)
		return BG_EINVAL;
	be->port = (uint16_t)port;
	snprintf(be->host, sizeof(be->host), "%s", address);
	return 0;
}

int
bg_backend_init(struct bg_backend **out, struct event_base *base,
    const char *address, uint32_t connections, uint32_t body_bytes,
    struct bg_error *err)
{
	static const struct timeval sweep = {SWEEP_MS / 1000, 0};
	struct bg_backend *be;

	if ((be = calloc(1, sizeof(*be))) == NULL)
		return BG_ENOMEM;
	be->base = base;
	bg_backend_set_connections(be, connections);
	be->body_bytes = body_bytes;
	if (parse_address(be, address) != 0) {
		free(be);
		return bg_error_set(err, BG_EINVAL, "backend", address,
		    "not an IP address with a port");
	}
	be->sweep = event_new(base, -1, EV_PERSIST, on_sweep, be);
	be->reap = event_new(base, -1, 0, on_reap, be);
	if (be->sweep == NULL || be->reap == NULL) {
		bg_backend_free(be);
		return BG_ENOMEM;
	}
	event_add(be->sweep, &sweep);
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
