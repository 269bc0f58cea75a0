#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "../metrics/metrics.h"
#include "guard.h"

/* Input kept for a connection; reading stops above it. */
#define INPUT_BYTES 65536
/* Time for a refused caller to read the answer before the connection closes. */
#define LINGER_MS 1000

enum guard_state {
	GUARD_HEAD,   /* waits for a whole head */
	GUARD_BODY,   /* hands the body to libevhtp */
	GUARD_BUSY,   /* the call runs */
	GUARD_CLOSED, /* refused; waits for the caller to close */
};

struct bg_guard {
	struct evhtp_connection *conn;
	struct bufferevent *bev;
	bufferevent_data_cb evhtp_read;
	bufferevent_data_cb evhtp_write;
	bufferevent_event_cb evhtp_event;
	void *evhtp_arg;
	struct evbuffer *held; /* bytes behind the current request */
	struct event *timer;
	struct bg_request_head head;
	uint64_t body_left;
	uint64_t body_max_bytes;
	enum guard_state state;
	struct bg_guard **list;
	struct bg_guard *prev;
	struct bg_guard *next;
	void (*fini)(void *arg);
	void *fini_arg;
	int is_timed;
	int in_callback;
	int is_freed;
};

static void on_data(struct bg_guard *grd);

static void
guard_release(struct bg_guard *grd)
{
	if (grd->held != NULL)
		evbuffer_free(grd->held);
	if (grd->timer != NULL)
		event_free(grd->timer);
	free(grd);
}

static void
enter(struct bg_guard *grd)
{
	grd->in_callback++;
}

static void
leave(struct bg_guard *grd)
{
	if (--grd->in_callback == 0 && grd->is_freed)
		guard_release(grd);
}

static void
arm(struct bg_guard *grd, uint32_t ms)
{
	struct timeval tv = {ms / 1000, (ms % 1000) * 1000};

	event_add(grd->timer, &tv);
}

static const char *
status_text(int status)
{
	switch (status) {
	case 408:
		return "Request Timeout";
	case 413:
		return "Content Too Large";
	case 414:
		return "URI Too Long";
	case 431:
		return "Request Header Fields Too Large";
	case 505:
		return "HTTP Version Not Supported";
	default:
		return "Bad Request";
	}
}

/* Answers without libevhtp, whose parser closes without an answer. */
static void
refuse(struct bg_guard *grd, int status, const char *reason)
{
	struct evbuffer *in = bufferevent_get_input(grd->bev);

	bg_metrics_invalid();
	grd->state = GUARD_CLOSED;
	evbuffer_drain(in, evbuffer_get_length(in));
	evbuffer_add_printf(bufferevent_get_output(grd->bev),
	    "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\n"
	    "Content-Length: %zu\r\nConnection: close\r\n"
	    "Burdock-Outcome: not-run\r\n\r\n%s\n",
	    status, status_text(status), strlen(reason) + 1, reason);
	arm(grd, LINGER_MS);
}

/* Hands the next bytes of the body to libevhtp, but none of the next request,
 * whose head was not checked yet. */
static void
pass_body(struct bg_guard *grd, size_t extra)
{
	struct evbuffer *in = bufferevent_get_input(grd->bev);
	size_t ready = evbuffer_get_length(in);
	struct evbuffer *part;

	if (!grd->head.is_chunked && ready > grd->body_left + extra) {
		if ((part = evbuffer_new()) == NULL)
			return;
		evbuffer_remove_buffer(
		    in, part, (size_t)grd->body_left + extra);
		evbuffer_add_buffer(grd->held, in);
		evbuffer_prepend_buffer(in, part);
		evbuffer_free(part);
		ready = (size_t)grd->body_left + extra;
	}
	if (!grd->head.is_chunked)
		grd->body_left -= ready - extra;
	grd->evhtp_read(grd->bev, grd->evhtp_arg);
}

static void
check_head(struct bg_guard *grd)
{
	struct evbuffer *in = bufferevent_get_input(grd->bev);
	size_t bytes = evbuffer_get_length(in);
	const char *reason = "";
	size_t head_bytes;
	int status;

	if (bytes == 0)
		return;
	if (bytes > BG_REQUEST_HEAD_BYTES + 1)
		bytes = BG_REQUEST_HEAD_BYTES + 1;
	status = bg_request_head_check(&grd->head, &reason,
	    (const char *)evbuffer_pullup(in, (ev_ssize_t)bytes), bytes,
	    grd->body_max_bytes);
	if (status == 0) {
		/* The time counts from the first byte, so that a caller who
		 * sends a byte now and then does not hold the connection. */
		if (!grd->is_timed)
			arm(grd, BG_GUARD_HEAD_MS);
		grd->is_timed = 1;
		return;
	}
	if (status != 200) {
		refuse(grd, status, reason);
		return;
	}
	grd->is_timed = 0;
	grd->state = GUARD_BODY;
	head_bytes = grd->head.head_bytes;
	grd->body_left = grd->head.body_bytes;
	arm(grd, BG_GUARD_BODY_MS);
	/* The handler may end the request at once. */
	pass_body(grd, head_bytes);
}

static void
on_data(struct bg_guard *grd)
{
	struct evbuffer *in = bufferevent_get_input(grd->bev);

	if (grd->state == GUARD_HEAD)
		check_head(grd);
	else if (grd->state == GUARD_BODY)
		pass_body(grd, 0);
	else if (grd->state == GUARD_CLOSED)
		evbuffer_drain(in, evbuffer_get_length(in));
}

static void
on_read(struct bufferevent *bev, void *arg)
{
	struct bg_guard *grd = arg;

	enter(grd);
	on_data(grd);
	leave(grd);
}

/* Starts with the next request, whose bytes may have arrived already. */
static void
resume(struct bg_guard *grd)
{
	struct evbuffer *in = bufferevent_get_input(grd->bev);

	arm(grd, BG_GUARD_IDLE_MS);
	if (evbuffer_get_length(grd->held) > 0)
		evbuffer_prepend_buffer(in, grd->held);
	if (evbuffer_get_length(in) > 0)
		on_data(grd);
}

static void
on_write(struct bufferevent *bev, void *arg)
{
	struct bg_guard *grd = arg;
	int was_busy = grd->state == GUARD_BUSY;

	enter(grd);
	if (grd->state == GUARD_CLOSED) {
		shutdown(bufferevent_getfd(bev), SHUT_WR);
	} else {
		grd->evhtp_write(bev, grd->evhtp_arg);
		if (!grd->is_freed && was_busy && grd->state == GUARD_HEAD)
			resume(grd);
	}
	leave(grd);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct bg_guard *grd = arg;

	enter(grd);
	grd->evhtp_event(bev, what, grd->evhtp_arg);
	leave(grd);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct bg_guard *grd = arg;

	enter(grd);
	if (grd->state == GUARD_HEAD && grd->is_timed)
		refuse(grd, 408, "the head did not arrive in time");
	else if (grd->state == GUARD_BODY)
		refuse(grd, 408, "the body did not arrive in time");
	else
		evhtp_connection_free(grd->conn);
	leave(grd);
}

static void
end_request(struct bg_guard *grd)
{
	void (*fini)(void *) = grd->fini;

	grd->fini = NULL;
	if (fini != NULL)
		fini(grd->fini_arg);
}

static evhtp_res
on_request_fini(evhtp_request_t *req, void *arg)
{
	struct bg_guard *grd = arg;

	end_request(grd);
	if (grd->state == GUARD_BUSY)
		grd->state = GUARD_HEAD;
	return EVHTP_RES_OK;
}

static evhtp_res
on_connection_fini(evhtp_connection_t *conn, void *arg)
{
	struct bg_guard *grd = arg;

	/* libevhtp ends the request after this hook. */
	evhtp_connection_unset_hook(conn, evhtp_hook_on_request_fini);
	end_request(grd);
	if (grd->prev != NULL)
		grd->prev->next = grd->next;
	else
		*grd->list = grd->next;
	if (grd->next != NULL)
		grd->next->prev = grd->prev;
	grd->is_freed = 1;
	event_del(grd->timer);
	if (grd->in_callback == 0)
		guard_release(grd);
	return EVHTP_RES_OK;
}

void
bg_guard_busy(struct bg_guard *grd, void (*fini)(void *arg), void *fini_arg)
{
	grd->state = GUARD_BUSY;
	grd->fini = fini;
	grd->fini_arg = fini_arg;
	event_del(grd->timer);
}

void
bg_guard_close_all(struct bg_guard **list)
{
	while (*list != NULL)
		evhtp_connection_free((*list)->conn);
}

struct bg_guard *
bg_guard_of(struct evhtp_connection *conn)
{
	struct bg_guard *grd = NULL;
	bufferevent_data_cb unused;

	bufferevent_getcb(conn->bev, &unused, NULL, NULL, (void **)&grd);
	return grd;
}

const struct bg_request_head *
bg_guard_head(const struct bg_guard *grd)
{
	return &grd->head;
}

int
bg_guard_init(
    struct evhtp_connection *conn, const struct bg_guard_options *opts)
{
	static const struct timeval write_time = {BG_GUARD_WRITE_MS / 1000, 0};
	struct bg_guard *grd;

	if ((grd = calloc(1, sizeof(*grd))) == NULL)
		return -1;
	grd->conn = conn;
	grd->bev = conn->bev;
	grd->body_max_bytes = opts->body_max_bytes;
	grd->list = opts->list;
	grd->held = evbuffer_new();
	grd->timer = event_new(opts->base, -1, 0, on_timer, grd);
	if (grd->held == NULL || grd->timer == NULL) {
		guard_release(grd);
		return -1;
	}
	grd->next = *grd->list;
	if (grd->next != NULL)
		grd->next->prev = grd;
	*grd->list = grd;
	bufferevent_getcb(conn->bev, &grd->evhtp_read, &grd->evhtp_write,
	    &grd->evhtp_event, &grd->evhtp_arg);
	bufferevent_setcb(conn->bev, on_read, on_write, on_event, grd);
	bufferevent_setwatermark(conn->bev, EV_READ, 0, INPUT_BYTES);
	bufferevent_set_timeouts(conn->bev, NULL, &write_time);
	evhtp_connection_set_hook(
	    conn, evhtp_hook_on_request_fini, (evhtp_hook)on_request_fini, grd);
	evhtp_connection_set_hook(conn, evhtp_hook_on_connection_fini,
	    (evhtp_hook)on_connection_fini, grd);
	arm(grd, BG_GUARD_IDLE_MS);
	return 0;
}
