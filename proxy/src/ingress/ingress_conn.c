#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "burdockgrade/clock.h"

#include "../metrics/metrics.h"
#include "ingress_conn_internal.h"
#include "rejection.h"

/* Reading from the caller pauses while the bufferevent, or
 * bg_ingress_conn.pipelined, holds this much input. A head has to fit. */
#define INPUT_MAX_BYTES 20480
/* A body is stored in pieces of this size, which with its header is one that
 * libevent allocates exactly. */
#define BODY_BLOCK_BYTES 4000
/* Bytes that frame the chunks of a body: at most as many for each byte of the
 * body, and this many in any case. Chunks of one byte have five. */
#define FRAMING_MAX_RATIO 8
#define FRAMING_MIN_BYTES 16384
/* Time that the caller has to read the response to a rejected request. The
 * connection is closed afterwards, or earlier if the caller closes it. */
#define LINGER_TIMEOUT_MS 1000
/* BG_RETRY_AFTER_MS, in whole seconds. */
#define RETRY_AFTER_HEADER "Retry-After: 1\r\n"

static void handle_input(struct bg_ingress_conn *conn);

static void
conn_free(struct bg_ingress_conn *conn)
{
	if (conn->pipelined != NULL)
		evbuffer_free(conn->pipelined);
	bg_chunked_input_free(&conn->chunks);
	if (conn->timer != NULL)
		event_free(conn->timer);
	free(conn);
}

static void
begin_callback(struct bg_ingress_conn *conn)
{
	conn->callback_depth++;
}

static void
end_callback(struct bg_ingress_conn *conn)
{
	if (!conn->is_free_pending)
		bg_conn_count_input(conn);
	if (--conn->callback_depth == 0 && conn->is_free_pending)
		conn_free(conn);
}

static void
set_timer(struct bg_ingress_conn *conn, uint32_t ms)
{
	struct timeval tv = {ms / 1000, (ms % 1000) * 1000};

	event_add(conn->timer, &tv);
}

/* The part of the body that has arrived. libevhtp has a request only from a
 * checked head on. */
static struct evbuffer *
received_body(const struct bg_ingress_conn *conn)
{
	if (conn->state != CONN_READING_BODY ||
	    conn->evhtp_conn->request == NULL)
		return NULL;
	return conn->evhtp_conn->request->buffer_in;
}

static void
discard_body(struct bg_ingress_conn *conn)
{
	struct evbuffer *body = received_body(conn);

	if (body != NULL)
		evbuffer_drain(body, evbuffer_get_length(body));
	bg_conn_recount(conn, &conn->counted_bytes, 0);
}

/* Writes the response itself, because the parser of libevhtp closes the
 * connection of an invalid request without a response. */
static void
respond_and_close(
    struct bg_ingress_conn *conn, const struct bg_rejection *rejection)
{
	struct evbuffer *in = bufferevent_get_input(conn->bev);

	discard_body(conn);
	conn->state = CONN_CLOSING;
	evbuffer_drain(in, evbuffer_get_length(in));
	evbuffer_drain(conn->pipelined, evbuffer_get_length(conn->pipelined));
	bg_chunked_input_reset(&conn->chunks);
	bg_rejection_write(bufferevent_get_output(conn->bev), rejection);
	bufferevent_enable(conn->bev, EV_READ);
	set_timer(conn, LINGER_TIMEOUT_MS);
}

static void
reject(struct bg_ingress_conn *conn, int status, const char *reason)
{
	struct bg_rejection rejection = {status, "", reason};

	bg_metrics_count_invalid_request();
	respond_and_close(conn, &rejection);
}

/* Refuses a request whose body the node has no room for. */
static void
refuse_body(struct bg_ingress_conn *conn)
{
	struct bg_rejection rejection = {
	    503, RETRY_AFTER_HEADER, bg_refusal_text(BG_XREFUSAL_BUFFERS)};

	bg_metrics_count_refused(BG_XREFUSAL_BUFFERS);
	respond_and_close(conn, &rejection);
}

/* The caller is read on when its earlier requests were answered. Until then,
 * its close is not noticed. */
static void
limit_pipelined(struct bg_ingress_conn *conn)
{
	if (evbuffer_get_length(conn->pipelined) >= INPUT_MAX_BYTES)
		bufferevent_disable(conn->bev, EV_READ);
	else
		bufferevent_enable(conn->bev, EV_READ);
}

static int
has_too_much_framing(const struct bg_ingress_conn *conn, uint64_t body_bytes)
{
	return conn->head.is_chunked &&
	    conn->body_input_bytes >
	    body_bytes * (1 + FRAMING_MAX_RATIO) + FRAMING_MIN_BYTES;
}

/* Checks the part of a body that has arrived. */
static void
check_body(struct bg_ingress_conn *conn)
{
	struct evbuffer *body = received_body(conn);
	uint64_t bytes = body == NULL ? 0 : evbuffer_get_length(body);
	uint64_t added_bytes = bytes - conn->counted_bytes;

	if (bytes > conn->body_max_bytes)
		reject(conn, 413, "the body is too large");
	else if (has_too_much_framing(conn, bytes))
		reject(conn, 400, "the chunks are framed by too many bytes");
	else if (!bg_buffers_can_receive(conn->buffers, bytes, added_bytes))
		refuse_body(conn);
	else
		bg_conn_recount(conn, &conn->counted_bytes, bytes);
}

/* Passes input to libevhtp, which takes all of it. */
static void
pass_input(struct bg_ingress_conn *conn)
{
	limit_pipelined(conn);
	conn->evhtp_read(conn->bev, conn->evhtp_arg);
	if (conn->state == CONN_READING_BODY && !conn->is_free_pending)
		check_body(conn);
}

/* Passes a head, if one is pending, and what has arrived of a body with a
 * length. */
static void
forward_plain(struct bg_ingress_conn *conn, size_t pending_head_bytes)
{
	struct evbuffer *in = bufferevent_get_input(conn->bev);
	size_t available_bytes = evbuffer_get_length(in);
	struct evbuffer *current;

	if (available_bytes > conn->body_left_bytes + pending_head_bytes) {
		if ((current = evbuffer_new()) == NULL)
			return;
		evbuffer_remove_buffer(in, current,
		    (size_t)conn->body_left_bytes + pending_head_bytes);
		evbuffer_add_buffer(conn->pipelined, in);
		evbuffer_prepend_buffer(in, current);
		evbuffer_free(current);
		available_bytes =
		    (size_t)conn->body_left_bytes + pending_head_bytes;
	}
	conn->body_input_bytes += available_bytes - pending_head_bytes;
	conn->body_left_bytes -= available_bytes - pending_head_bytes;
	pass_input(conn);
}

/* Passes a head, if one is pending, and what has arrived of a chunked body. */
static void
forward_chunks(struct bg_ingress_conn *conn, size_t pending_head_bytes)
{
	struct evbuffer *in = bufferevent_get_input(conn->bev);
	struct evbuffer *current = evbuffer_new();
	enum bg_response_progress progress;

	if (current == NULL)
		return;
	evbuffer_remove_buffer(in, current, pending_head_bytes);
	conn->body_input_bytes += evbuffer_get_length(in);
	progress = bg_chunked_input_feed(
	    &conn->chunks, current, in, conn->body_max_bytes);
	evbuffer_prepend_buffer(in, current);
	evbuffer_free(current);
	if (progress == BG_RESPONSE_INVALID) {
		reject(conn, 400, "the chunks are not valid");
		return;
	}
	if (progress == BG_RESPONSE_OVERSIZED) {
		reject(conn, 413, "the body is too large");
		return;
	}
	if (progress == BG_RESPONSE_COMPLETE)
		evbuffer_add_buffer(conn->pipelined, conn->chunks.undecoded);
	if (evbuffer_get_length(in) > 0)
		pass_input(conn);
}

/* Forwards the input of the current request, head and body, to libevhtp. Bytes
 * after the request are moved to conn->pipelined, because the head of the next
 * one is not checked yet. pending_head_bytes is the length of the head, or 0 if
 * the head was forwarded before. */
static void
forward_input(struct bg_ingress_conn *conn, size_t pending_head_bytes)
{
	if (conn->head.is_chunked)
		forward_chunks(conn, pending_head_bytes);
	else
		forward_plain(conn, pending_head_bytes);
}

static void
check_head(struct bg_ingress_conn *conn)
{
	struct evbuffer *in = bufferevent_get_input(conn->bev);
	size_t checked_bytes = evbuffer_get_length(in);
	const char *reason = "";
	size_t head_bytes;
	int status;

	if (checked_bytes == 0)
		return;
	/* One byte more than the limit is enough to reject a head that is too
	 * long. With fewer it would count as incomplete. */
	if (checked_bytes > BG_REQUEST_HEAD_MAX_BYTES + 1)
		checked_bytes = BG_REQUEST_HEAD_MAX_BYTES + 1;
	status = bg_request_head_check(&conn->head, &reason,
	    (const char *)evbuffer_pullup(in, (ev_ssize_t)checked_bytes),
	    checked_bytes, conn->body_max_bytes);
	if (status == BG_REQUEST_HEAD_INCOMPLETE) {
		/* The timeout runs from the first byte and is not extended, so
		 * that a slow sender cannot keep the connection open. */
		if (!conn->is_head_started)
			set_timer(conn, BG_INGRESS_HEAD_TIMEOUT_MS);
		conn->is_head_started = 1;
		return;
	}
	if (status != BG_REQUEST_HEAD_VALID) {
		reject(conn, status, reason);
		return;
	}
	conn->is_head_started = 0;
	if (!bg_buffers_can_receive(
		conn->buffers, conn->head.body_bytes, conn->head.body_bytes)) {
		refuse_body(conn);
		return;
	}
	conn->state = CONN_READING_BODY;
	head_bytes = conn->head.head_bytes;
	conn->body_left_bytes = conn->head.body_bytes;
	conn->body_input_bytes = 0;
	bg_chunked_input_reset(&conn->chunks);
	set_timer(conn, BG_INGRESS_BODY_TIMEOUT_MS);
	/* Runs the request handler if the request is complete. The handler may
	 * send its response at once, but on_request_fini runs only after that
	 * was written. */
	forward_input(conn, head_bytes);
}

static void
handle_input(struct bg_ingress_conn *conn)
{
	struct evbuffer *in = bufferevent_get_input(conn->bev);

	if (conn->state == CONN_READING_HEAD)
		check_head(conn);
	else if (conn->state == CONN_READING_BODY)
		forward_input(conn, 0);
	else if (conn->state == CONN_CLOSING)
		evbuffer_drain(in, evbuffer_get_length(in));
}

static void
on_read(struct bufferevent *bev, void *arg)
{
	struct bg_ingress_conn *conn = arg;

	begin_callback(conn);
	conn->progress_ms = bg_clock_now_ms();
	handle_input(conn);
	end_callback(conn);
}

/* Reads the next request, part of which may already be buffered. */
static void
start_next_request(struct bg_ingress_conn *conn)
{
	struct evbuffer *in = bufferevent_get_input(conn->bev);

	set_timer(conn, BG_INGRESS_IDLE_TIMEOUT_MS);
	if (evbuffer_get_length(conn->pipelined) > 0)
		evbuffer_prepend_buffer(in, conn->pipelined);
	limit_pipelined(conn);
	if (evbuffer_get_length(in) > 0)
		handle_input(conn);
}

static void
on_write(struct bufferevent *bev, void *arg)
{
	struct bg_ingress_conn *conn = arg;
	int was_busy = conn->state == CONN_BUSY;

	begin_callback(conn);
	if (conn->state == CONN_CLOSING) {
		/* Ends the response, but keeps reading and discarding input. If
		 * the socket were closed with unread input, TCP would send a
		 * reset, and the caller could lose the response. */
		shutdown(bufferevent_getfd(bev), SHUT_WR);
	} else {
		/* If the response has been written, this frees the request,
		 * which runs on_request_fini, or closes the connection, which
		 * runs on_connection_fini. */
		conn->evhtp_write(bev, conn->evhtp_arg);
		if (!conn->is_free_pending && was_busy &&
		    conn->state == CONN_READING_HEAD)
			start_next_request(conn);
	}
	end_callback(conn);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct bg_ingress_conn *conn = arg;

	begin_callback(conn);
	conn->evhtp_event(bev, what, conn->evhtp_arg);
	end_callback(conn);
}

static void
on_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct bg_ingress_conn *conn = arg;

	begin_callback(conn);
	if (conn->state == CONN_READING_HEAD && conn->is_head_started)
		reject(conn, 408, "the head did not arrive in time");
	else if (conn->state == CONN_READING_BODY)
		reject(conn, 408, "the body did not arrive in time");
	else
		evhtp_connection_free(conn->evhtp_conn);
	end_callback(conn);
}

static void
notify_request_end(struct bg_ingress_conn *conn)
{
	void (*fn)(void *) = conn->on_request_end;

	bg_conn_recount(conn, &conn->response_bytes, 0);
	conn->has_served = 1;
	conn->on_request_end = NULL;
	if (fn != NULL)
		fn(conn->on_request_end_arg);
}

/* libevhtp gives each piece of a body a buffer of its own, which for a small
 * chunk takes hundreds of times its bytes. The piece is copied to the end of
 * the body instead. */
static evhtp_res
on_body_piece(evhtp_request_t *req, struct evbuffer *piece, void *arg)
{
	char block[BODY_BLOCK_BYTES];
	int bytes;

	while ((bytes = evbuffer_remove(piece, block, sizeof(block))) > 0) {
		if (evbuffer_add(req->buffer_in, block, (size_t)bytes) != 0)
			return EVHTP_RES_ERROR;
	}
	return EVHTP_RES_OK;
}

static evhtp_res
on_request_fini(evhtp_request_t *req, void *arg)
{
	struct bg_ingress_conn *conn = arg;

	notify_request_end(conn);
	if (conn->state == CONN_BUSY)
		conn->state = CONN_READING_HEAD;
	return EVHTP_RES_OK;
}

static evhtp_res
on_connection_fini(evhtp_connection_t *evc, void *arg)
{
	struct bg_ingress_conn *conn = arg;

	/* libevhtp frees a request in progress after this hook, and would run
	 * on_request_fini with conn, which may be freed by then. The end of the
	 * request is reported here instead. */
	evhtp_connection_unset_hook(evc, evhtp_hook_on_request_fini);
	notify_request_end(conn);
	bg_conn_recount(conn, &conn->counted_bytes, 0);
	bg_conn_recount(conn, &conn->input_bytes, 0);
	bg_conn_unlink(conn);
	conn->is_free_pending = 1;
	event_del(conn->timer);
	if (conn->callback_depth == 0)
		conn_free(conn);
	return EVHTP_RES_OK;
}

void
bg_ingress_conn_set_busy(struct bg_ingress_conn *conn,
    void (*on_request_end)(void *arg), void *on_request_end_arg)
{
	conn->state = CONN_BUSY;
	bg_conn_recount(conn, &conn->counted_bytes, 0);
	conn->on_request_end = on_request_end;
	conn->on_request_end_arg = on_request_end_arg;
	event_del(conn->timer);
}

void
bg_ingress_conn_abort(struct bg_ingress_conn *conn)
{
	evhtp_connection_free(conn->evhtp_conn);
}

void
bg_ingress_conn_close(struct bg_ingress_conn *conn)
{
	begin_callback(conn);
	if (bg_conn_activity(conn) == BG_CONN_RECEIVING)
		refuse_body(conn);
	else
		bg_ingress_conn_abort(conn);
	end_callback(conn);
}

struct bg_ingress_conn *
bg_ingress_conn_from_evhtp(struct evhtp_connection *evc)
{
	struct bg_ingress_conn *conn = NULL;
	bufferevent_data_cb read_cb;

	/* Only the argument of the callbacks is used. */
	bufferevent_getcb(evc->bev, &read_cb, NULL, NULL, (void **)&conn);
	return conn;
}

const struct bg_request_head *
bg_ingress_conn_head(const struct bg_ingress_conn *conn)
{
	return &conn->head;
}

int
bg_ingress_conn_init(
    struct evhtp_connection *evc, const struct bg_ingress_conn_options *opts)
{
	static const struct timeval write_timeout = {
	    BG_INGRESS_WRITE_TIMEOUT_MS / 1000, 0};
	struct bg_ingress_conn *conn;

	if ((conn = calloc(1, sizeof(*conn))) == NULL)
		return -1;
	conn->evhtp_conn = evc;
	conn->bev = evc->bev;
	conn->body_max_bytes = opts->body_max_bytes;
	conn->list = opts->list;
	conn->buffers = opts->list->buffers;
	conn->progress_ms = bg_clock_now_ms();
	conn->pipelined = evbuffer_new();
	conn->timer = event_new(opts->base, -1, 0, on_timeout, conn);
	if (bg_chunked_input_init(&conn->chunks) != 0 ||
	    conn->pipelined == NULL || conn->timer == NULL) {
		conn_free(conn);
		return -1;
	}
	bg_conn_link(conn);
	bufferevent_getcb(evc->bev, &conn->evhtp_read, &conn->evhtp_write,
	    &conn->evhtp_event, &conn->evhtp_arg);
	bufferevent_setcb(evc->bev, on_read, on_write, on_event, conn);
	bufferevent_setwatermark(evc->bev, EV_READ, 0, INPUT_MAX_BYTES);
	bufferevent_set_timeouts(evc->bev, NULL, &write_timeout);
	evhtp_connection_set_hook(
	    evc, evhtp_hook_on_read, (evhtp_hook)on_body_piece, conn);
	evhtp_connection_set_hook(
	    evc, evhtp_hook_on_request_fini, (evhtp_hook)on_request_fini, conn);
	evhtp_connection_set_hook(evc, evhtp_hook_on_connection_fini,
	    (evhtp_hook)on_connection_fini, conn);
	set_timer(conn, BG_INGRESS_IDLE_TIMEOUT_MS);
	return 0;
}
