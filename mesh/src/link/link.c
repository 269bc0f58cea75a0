#include <event2/bufferevent.h>
#include <event2/util.h>

#include <assert.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uthash.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/link.h"
#include "burdockgrade/log.h"

#include "address.h"
#include "frame.h"

/* Interval of the liveness checks while connecting or awaiting a reply. */
#define CHECK_INTERVAL_MS 100

struct pending_call {
	struct bg_link *link;
	struct event *timeout;
	xdrproc_t xres;
	size_t res_bytes;
	bg_link_reply_fn fn;
	void *arg;
	uint32_t xid;
	uint32_t proc;
	UT_hash_handle hh;
};

struct bg_link {
	struct event_base *base;
	struct bufferevent *bev;
	struct event *check_timer;
	struct event *connect_error_event;
	struct pending_call *pending_calls;
	bg_link_close_fn on_close;
	void *arg;
	uint64_t last_received_ms;
	uint64_t pending_since_ms;   /* time since which calls are pending */
	uint64_t unanswered_ping_ms; /* time of the first ping after the last
					bytes received; 0: none */
	uint64_t connect_start_ms;
	uint32_t connect_timeout_ms;
	uint32_t next_xid;
	int is_connected;
	int is_closed;
	int is_freed;	    /* destroyed when callback_depth is 0 */
	int callback_depth; /* callbacks of this link on the stack */
	char address[BG_ADDRESS_BYTES];
};

static void
pending_call_free(struct pending_call *p)
{
	HASH_DEL(p->link->pending_calls, p);
	if (p->timeout != NULL)
		event_free(p->timeout);
	free(p);
}

static void
pending_call_complete(struct pending_call *p, int code, void *res)
{
	bg_link_reply_fn fn = p->fn;
	void *arg = p->arg;

	pending_call_free(p);
	if (fn != NULL)
		fn(arg, code, res);
}

static void
link_destroy(struct bg_link *link)
{
	if (link->bev != NULL)
		bufferevent_free(link->bev);
	if (link->check_timer != NULL)
		event_free(link->check_timer);
	if (link->connect_error_event != NULL)
		event_free(link->connect_error_event);
	free(link);
}

static void
fail_pending_calls(struct bg_link *link, int code)
{
	struct pending_call *p;

	while ((p = link->pending_calls) != NULL)
		pending_call_complete(p, code, NULL);
}

static void
link_close(struct bg_link *link, const char *reason)
{
	if (link->is_closed)
		return;
	link->is_closed = 1;
	bg_log_debug("link", "connection closed peer=%s reason=%s",
	    link->address, reason);
	bufferevent_disable(link->bev, EV_READ | EV_WRITE);
	event_del(link->check_timer);
	link->callback_depth++;
	fail_pending_calls(link, link->is_connected ? BG_EIO : BG_EUNAVAILABLE);
	if (!link->is_freed && link->on_close != NULL)
		link->on_close(link->arg);
	link->callback_depth--;
	if (link->is_freed && link->callback_depth == 0)
		link_destroy(link);
}

/* Decodes a reply and completes its call, if one is pending. @return 0, or
 * BG_EPROTO, after which the caller closes the link */
static int
handle_reply(struct bg_link *link, const struct bg_frame *frame)
{
	struct rpc_msg msg;
	struct pending_call *p;
	XDR xdrs;
	void *res = NULL;
	int error = BG_EPROTO;

	memset(&msg, 0, sizeof(msg));
	msg.acpted_rply.ar_results.proc = (xdrproc_t)bg_xdr_empty;
	xdrmem_create(&xdrs, frame->data, frame->data_bytes, XDR_DECODE);
	if (!xdr_replymsg(&xdrs, &msg) || msg.rm_direction != REPLY)
		goto done;
	error = 0;
	HASH_FIND(hh, link->pending_calls, &msg.rm_xid, sizeof(uint32_t), p);
	if (p == NULL)
		goto done;
	bg_frame_count_bytes(p->proc, 0, frame->data_bytes);
	if (msg.rm_reply.rp_stat != MSG_ACCEPTED ||
	    msg.acpted_rply.ar_stat != SUCCESS) {
		pending_call_complete(p, BG_EPROTO, NULL);
		goto done;
	}
	if (p->xres != NULL) {
		xdrproc_t xres = p->xres;

		if ((res = calloc(1, p->res_bytes)) == NULL) {
			pending_call_complete(p, BG_ENOMEM, NULL);
			goto done;
		}
		if (xres(&xdrs, res))
			pending_call_complete(p, 0, res);
		else
			error = BG_EPROTO;
		xdr_free(xres, res);
		free(res);
		goto done;
	}
	pending_call_complete(p, 0, NULL);
done:
	xdr_destroy(&xdrs);
	return error;
}

static void
on_read(struct bufferevent *bev, void *arg)
{
	struct bg_link *link = arg;
	struct bg_frame frame;
	int read_result = 0;
	int error = 0;

	link->last_received_ms = bg_clock_now_ms();
	link->unanswered_ping_ms = 0;
	link->callback_depth++;
	while (!link->is_closed && error == 0 &&
	    (read_result = bg_frame_read(&frame, bufferevent_get_input(bev))) >
		0) {
		error = handle_reply(link, &frame);
		free(frame.data);
	}
	link->callback_depth--;
	if (link->is_freed) {
		if (link->callback_depth == 0)
			link_destroy(link);
		return;
	}
	if (read_result < 0 || error != 0)
		link_close(link, "invalid message");
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	struct bg_link *link = arg;

	if (what & BEV_EVENT_CONNECTED) {
		bg_set_nodelay(bufferevent_getfd(bev));
		link->is_connected = 1;
		link->last_received_ms = bg_clock_now_ms();
		return;
	}
	link_close(link, what & BEV_EVENT_EOF ? "peer closed" : "socket error");
}

static void
on_connect_error(evutil_socket_t fd, short what, void *arg)
{
	link_close(arg, "connect failed");
}

static void
arm_check_timer(struct bg_link *link)
{
	static const struct timeval interval = {0, CHECK_INTERVAL_MS * 1000};

	if (!link->is_closed && !evtimer_pending(link->check_timer, NULL))
		evtimer_add(link->check_timer, &interval);
}

static void
send_ping(struct bg_link *link, uint64_t now_ms)
{
	if (bg_link_call(NULL, link, BG_PROC_PING, NULL, NULL, NULL, 0, 0, NULL,
		NULL) == 0 &&
	    link->unanswered_ping_ms == 0)
		link->unanswered_ping_ms = now_ms;
}

static void
check_liveness(struct bg_link *link, uint64_t now_ms)
{
	uint64_t last_activity_ms = link->last_received_ms;
	uint64_t idle_ms;

	if (link->pending_calls == NULL)
		return;
	if (last_activity_ms < link->pending_since_ms)
		last_activity_ms = link->pending_since_ms;
	idle_ms = now_ms - last_activity_ms;
	if (idle_ms > BG_LINK_RECEIVE_TIMEOUT_MS) {
		link_close(link, "silent");
		return;
	}
	if (link->unanswered_ping_ms == 0 && idle_ms >= BG_LINK_PING_IDLE_MS)
		send_ping(link, now_ms);
	arm_check_timer(link);
}

static void
on_check_timer(evutil_socket_t fd, short what, void *arg)
{
	struct bg_link *link = arg;
	uint64_t now_ms = bg_clock_now_ms();

	if (link->is_connected)
		check_liveness(link, now_ms);
	else if (now_ms - link->connect_start_ms > link->connect_timeout_ms)
		link_close(link, "connect timeout");
	else
		arm_check_timer(link);
}

static void
start_connect(
    struct bg_link *link, const struct sockaddr_in *sin, const char *local_ip)
{
	static const struct timeval now = {0, 0};
	evutil_socket_t fd;

	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd >= 0 && bg_bind_source(fd, local_ip) == 0 &&
	    bufferevent_setfd(link->bev, fd) == 0) {
		bufferevent_setcb(link->bev, on_read, NULL, on_event, link);
		bufferevent_enable(link->bev, EV_READ | EV_WRITE);
		if (bufferevent_socket_connect(link->bev,
			(const struct sockaddr *)sin, sizeof(*sin)) == 0)
			return;
	} else if (fd >= 0)
		close(fd);
	/* Reported from the event loop, so that on_close does not run inside
	 * bg_link_init. */
	event_add(link->connect_error_event, &now);
}

int
bg_link_init(struct bg_link **out, struct event_base *base, const char *address,
    const struct bg_link_options *opts, bg_link_close_fn on_close, void *arg,
    struct bg_error *err)
{
	struct sockaddr_in sin;
	struct bg_link *link;

	assert(opts->version == BG_LINK_OPTIONS_VERSION);
	if (bg_parse_address(&sin, address) != 0)
		return bg_error_set(err, BG_EINVAL, "connect", address,
		    "not an IP address with a port");
	if ((link = calloc(1, sizeof(*link))) == NULL)
		return BG_ENOMEM;
	snprintf(link->address, sizeof(link->address), "%s", address);
	link->base = base;
	link->on_close = on_close;
	link->arg = arg;
	link->next_xid = 1;
	link->connect_timeout_ms = opts->connect_timeout_ms;
	link->connect_start_ms = bg_clock_now_ms();
	link->bev = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
	link->check_timer = evtimer_new(base, on_check_timer, link);
	link->connect_error_event =
	    event_new(base, -1, 0, on_connect_error, link);
	if (link->bev == NULL || link->check_timer == NULL ||
	    link->connect_error_event == NULL) {
		link_destroy(link);
		return BG_ENOMEM;
	}
	arm_check_timer(link);
	start_connect(link, &sin, opts->local_ip);
	*out = link;
	return 0;
}

void
bg_link_free(struct bg_link *link)
{
	if (link == NULL || link->is_freed)
		return;
	link->is_freed = 1;
	link->is_closed = 1;
	link->callback_depth++;
	fail_pending_calls(link, BG_ECANCELED);
	link->callback_depth--;
	if (link->callback_depth == 0)
		link_destroy(link);
}

static void
on_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct pending_call *p = arg;
	struct bg_link *link = p->link;

	link->callback_depth++;
	pending_call_complete(p, BG_ETIMEOUT, NULL);
	link->callback_depth--;
	if (link->is_freed && link->callback_depth == 0)
		link_destroy(link);
}

static int
arm_timeout(struct pending_call *p, uint32_t timeout_ms)
{
	struct timeval tv = {timeout_ms / 1000, (timeout_ms % 1000) * 1000};

	if (timeout_ms == 0)
		return 0;
	p->timeout = evtimer_new(p->link->base, on_timeout, p);
	if (p->timeout == NULL || evtimer_add(p->timeout, &tv) != 0)
		return BG_ENOMEM;
	return 0;
}

int
bg_link_call(uint32_t *out_xid, struct bg_link *link, uint32_t proc,
    xdrproc_t xargs, void *args, xdrproc_t xres, size_t res_bytes,
    uint32_t timeout_ms, bg_link_reply_fn fn, void *arg)
{
	struct pending_call *p;
	int error;

	if (link->is_closed)
		return BG_EUNAVAILABLE;
	if ((p = calloc(1, sizeof(*p))) == NULL)
		return BG_ENOMEM;
	if (link->pending_calls == NULL)
		link->pending_since_ms = bg_clock_now_ms();
	p->link = link;
	p->xid = link->next_xid++;
	p->proc = proc;
	p->xres = xres;
	p->res_bytes = res_bytes;
	p->fn = fn;
	p->arg = arg;
	HASH_ADD(hh, link->pending_calls, xid, sizeof(uint32_t), p);
	if ((error = arm_timeout(p, timeout_ms)) == 0)
		error = bg_frame_write_call(bufferevent_get_output(link->bev),
		    p->xid, proc, xargs, args);
	if (error != 0) {
		pending_call_free(p);
		return error;
	}
	if (out_xid != NULL)
		*out_xid = p->xid;
	arm_check_timer(link);
	return 0;
}

void
bg_link_cancel(struct bg_link *link, uint32_t xid)
{
	struct bg_xcancel_args args = {xid};
	struct pending_call *p;

	HASH_FIND(hh, link->pending_calls, &xid, sizeof(uint32_t), p);
	if (p == NULL)
		return;
	pending_call_free(p);
	if (!link->is_closed)
		bg_frame_write_call(bufferevent_get_output(link->bev),
		    link->next_xid++, BG_PROC_CANCEL,
		    (xdrproc_t)xdr_bg_xcancel_args, &args);
}

uint64_t
bg_link_idle_ms(const struct bg_link *link)
{
	if (!link->is_connected || link->last_received_ms == 0)
		return UINT64_MAX;
	return bg_clock_now_ms() - link->last_received_ms;
}

const char *
bg_link_address(const struct bg_link *link)
{
	return link->address;
}

int
bg_link_is_connected(const struct bg_link *link)
{
	return link->is_connected && !link->is_closed;
}

uint64_t
bg_link_suspect_ms(const struct bg_link *link)
{
	uint64_t ping_age_ms;

	if (link->unanswered_ping_ms == 0)
		return 0;
	ping_age_ms = bg_clock_now_ms() - link->unanswered_ping_ms;
	return ping_age_ms > BG_LINK_PING_TIMEOUT_MS
	    ? ping_age_ms - BG_LINK_PING_TIMEOUT_MS
	    : 0;
}

void
bg_link_mark_suspect(struct bg_link *link)
{
	uint64_t now_ms = bg_clock_now_ms();

	if (!bg_link_is_suspect(link))
		link->unanswered_ping_ms = now_ms - BG_LINK_PING_TIMEOUT_MS - 1;
}

int
bg_link_has_pending_calls(const struct bg_link *link)
{
	return link->pending_calls != NULL;
}

int
bg_link_is_suspect(const struct bg_link *link)
{
	return bg_link_suspect_ms(link) > 0;
}
