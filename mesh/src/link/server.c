#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "burdockgrade/link.h"
#include "burdockgrade/log.h"

#include "address.h"
#include "frame.h"

#define HANDLERS_MAX 16
#define LISTEN_BACKLOG 1024
/* A peer that does not read its replies is disconnected if more output than
 * this is buffered after messages from it were handled. The replies to these
 * messages are included. */
#define OUTPUT_MAX_BYTES (8u << 20)

struct connection {
	struct bg_link_server *server;
	struct bufferevent *bev;
	struct bg_rpc *calls;
	struct connection *prev;
	struct connection *next;
	uint32_t last_xid; /* highest xid received */
	char peer[BG_ADDRESS_BYTES];
};

struct bg_rpc {
	struct connection *connection; /* NULL: it was closed */
	const struct bg_rpc_handler *handler;
	void *args;
	void (*on_cancel)(void *);
	void *cancel_arg;
	uint32_t xid;
	UT_hash_handle hh;
};

struct bg_link_server {
	struct event_base *base;
	struct evconnlistener *listener;
	struct connection *connections;
	struct bg_rpc_handler handlers[HANDLERS_MAX];
	size_t handler_count;
	uint64_t output_bytes; /* of all connections */
	uint16_t port;
};

static const struct bg_rpc_handler *
find_handler(const struct bg_link_server *srv, uint32_t proc)
{
	size_t i;

	for (i = 0; i < srv->handler_count; i++) {
		if (srv->handlers[i].proc == proc)
			return &srv->handlers[i];
	}
	return NULL;
}

static void
run_cancel_callback(struct bg_rpc *rpc)
{
	void (*fn)(void *) = rpc->on_cancel;

	rpc->on_cancel = NULL;
	if (fn != NULL)
		fn(rpc->cancel_arg);
}

static void
on_output_changed(
    struct evbuffer *out, const struct evbuffer_cb_info *info, void *arg)
{
	struct bg_link_server *srv = arg;

	srv->output_bytes += info->n_added;
	srv->output_bytes -= info->n_deleted;
}

static void
connection_close(struct connection *conn)
{
	struct evbuffer *out = bufferevent_get_output(conn->bev);
	struct bg_rpc *rpc;

	evbuffer_remove_cb(out, on_output_changed, conn->server);
	conn->server->output_bytes -= evbuffer_get_length(out);
	if (conn->prev != NULL)
		conn->prev->next = conn->next;
	else
		conn->server->connections = conn->next;
	if (conn->next != NULL)
		conn->next->prev = conn->prev;
	/* A handler still owns its unanswered calls until it passes them to
	 * bg_rpc_reply, which discards the reply, or to bg_rpc_drop. */
	while ((rpc = conn->calls) != NULL) {
		HASH_DEL(conn->calls, rpc);
		rpc->connection = NULL;
		run_cancel_callback(rpc);
	}
	bufferevent_free(conn->bev);
	free(conn);
}

static void
rpc_free(struct bg_rpc *rpc)
{
	if (rpc->connection != NULL)
		HASH_DEL(rpc->connection->calls, rpc);
	if (rpc->args != NULL) {
		if (rpc->handler->xargs != NULL)
			xdr_free(rpc->handler->xargs, rpc->args);
		free(rpc->args);
	}
	free(rpc);
}

void *
bg_rpc_take_args(struct bg_rpc *rpc)
{
	void *args = rpc->args;

	rpc->args = NULL;
	return args;
}

void
bg_rpc_drop(struct bg_rpc *rpc)
{
	rpc_free(rpc);
}

void
bg_rpc_reply(struct bg_rpc *rpc, xdrproc_t xres, void *res)
{
	struct evbuffer *out;
	size_t old_length;

	if (rpc->connection != NULL) {
		out = bufferevent_get_output(rpc->connection->bev);
		old_length = evbuffer_get_length(out);
		if (bg_frame_write_reply(out, rpc->xid, xres, res) != 0) {
			bg_log_error("link",
			    "reply not encoded peer=%s procedure=%u",
			    rpc->connection->peer, rpc->handler->proc);
			bg_frame_write_failure(out, rpc->xid, SYSTEM_ERR);
		}
		bg_frame_count_bytes(rpc->handler->proc, 1 /* is_sent */,
		    evbuffer_get_length(out) - old_length);
	}
	rpc_free(rpc);
}

void
bg_rpc_on_cancel(struct bg_rpc *rpc, void (*fn)(void *), void *arg)
{
	rpc->on_cancel = fn;
	rpc->cancel_arg = arg;
}

const char *
bg_rpc_peer(const struct bg_rpc *rpc)
{
	return rpc->connection == NULL ? "" : rpc->connection->peer;
}

static int
handle_cancel(struct connection *conn, XDR *xdrs)
{
	struct bg_xcancel_args args;
	struct bg_rpc *rpc;

	if (!xdr_bg_xcancel_args(xdrs, &args))
		return BG_EPROTO;
	HASH_FIND(hh, conn->calls, &args.xid, sizeof(uint32_t), rpc);
	if (rpc != NULL)
		run_cancel_callback(rpc);
	return 0;
}

static int
dispatch(struct connection *conn, const struct rpc_msg *msg, XDR *xdrs)
{
	const struct bg_rpc_handler *handler;
	struct bg_rpc *rpc;
	int error = BG_ENOMEM;

	handler = find_handler(conn->server, (uint32_t)msg->rm_call.cb_proc);
	if (handler == NULL)
		return bg_frame_write_failure(bufferevent_get_output(conn->bev),
		    msg->rm_xid, PROC_UNAVAIL);
	if ((rpc = calloc(1, sizeof(*rpc))) == NULL)
		return BG_ENOMEM;
	rpc->connection = conn;
	rpc->handler = handler;
	rpc->xid = msg->rm_xid;
	HASH_ADD(hh, conn->calls, xid, sizeof(uint32_t), rpc);
	if (handler->xargs != NULL) {
		if ((rpc->args = calloc(1, handler->args_bytes)) == NULL)
			goto on_error;
		error = BG_EPROTO;
		if (!handler->xargs(xdrs, rpc->args))
			goto on_error;
	}
	handler->fn(handler->arg, rpc, rpc->args);
	return 0;
on_error:
	rpc_free(rpc);
	return error;
}

static int
handle_call(struct connection *conn, const struct bg_frame *frame)
{
	char cred[MAX_AUTH_BYTES];
	char verf[MAX_AUTH_BYTES];
	struct rpc_msg msg;
	XDR xdrs;
	int error = BG_EPROTO;

	memset(&msg, 0, sizeof(msg));
	msg.rm_call.cb_cred.oa_base = cred;
	msg.rm_call.cb_verf.oa_base = verf;
	xdrmem_create(&xdrs, frame->data, frame->data_bytes, XDR_DECODE);
	if (!xdr_callmsg(&xdrs, &msg) || msg.rm_direction != CALL ||
	    msg.rm_call.cb_prog != BG_MESH || msg.rm_call.cb_vers != BG_MESH_V3)
		goto done;
	error = 0;
	/* link.c numbers the messages of a connection in increasing order, so
	 * this one is a duplicate. */
	if (msg.rm_xid <= conn->last_xid)
		goto done;
	conn->last_xid = msg.rm_xid;
	bg_frame_count_bytes(
	    (uint32_t)msg.rm_call.cb_proc, 0 /* is_sent */, frame->data_bytes);
	if (msg.rm_call.cb_proc == BG_PROC_PING)
		error = bg_frame_write_reply(bufferevent_get_output(conn->bev),
		    msg.rm_xid, (xdrproc_t)bg_xdr_empty, NULL);
	else if (msg.rm_call.cb_proc == BG_PROC_CANCEL)
		error = handle_cancel(conn, &xdrs);
	else
		error = dispatch(conn, &msg, &xdrs);
done:
	xdr_destroy(&xdrs);
	return error;
}

static void
on_read(struct bufferevent *bev, void *arg)
{
	struct connection *conn = arg;
	struct bg_frame frame;
	int read_result = 0;
	int error = 0;

	while (error == 0 &&
	    (read_result = bg_frame_read(&frame, bufferevent_get_input(bev))) >
		0) {
		error = handle_call(conn, &frame);
		free(frame.data);
	}
	if (read_result < 0 || error != 0) {
		bg_log_warn("link", "invalid message peer=%s code=%s",
		    conn->peer,
		    bg_error_name(read_result < 0 ? read_result : error));
		connection_close(conn);
		return;
	}
	if (evbuffer_get_length(bufferevent_get_output(bev)) >
	    OUTPUT_MAX_BYTES) {
		bg_log_warn("link", "peer does not read peer=%s", conn->peer);
		connection_close(conn);
	}
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	connection_close(arg);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *addr, int addr_bytes, void *arg)
{
	struct bg_link_server *srv = arg;
	const struct sockaddr_in *sin = (const struct sockaddr_in *)addr;
	struct connection *conn;
	char ip[INET_ADDRSTRLEN] = "";

	if ((conn = calloc(1, sizeof(*conn))) == NULL) {
		evutil_closesocket(fd);
		return;
	}
	conn->server = srv;
	conn->bev =
	    bufferevent_socket_new(srv->base, fd, BEV_OPT_CLOSE_ON_FREE);
	if (conn->bev == NULL) {
		evutil_closesocket(fd);
		free(conn);
		return;
	}
	inet_ntop(AF_INET, &sin->sin_addr, ip, sizeof(ip));
	snprintf(
	    conn->peer, sizeof(conn->peer), "%s:%u", ip, ntohs(sin->sin_port));
	conn->next = srv->connections;
	if (conn->next != NULL)
		conn->next->prev = conn;
	srv->connections = conn;
	bg_set_nodelay(fd);
	evbuffer_add_cb(
	    bufferevent_get_output(conn->bev), on_output_changed, srv);
	bufferevent_setcb(conn->bev, on_read, NULL, on_event, conn);
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
}

int
bg_link_server_init(struct bg_link_server **out, struct event_base *base,
    const char *address, struct bg_error *err)
{
	struct bg_link_server *srv;
	struct sockaddr_in sin;
	socklen_t sin_bytes = sizeof(sin);

	if (bg_parse_address(&sin, address) != 0)
		return bg_error_set(err, BG_EINVAL, "listen", address,
		    "not an IP address with a port");
	if ((srv = calloc(1, sizeof(*srv))) == NULL)
		return BG_ENOMEM;
	srv->base = base;
	srv->listener = evconnlistener_new_bind(base, on_accept, srv,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
	    LISTEN_BACKLOG, (struct sockaddr *)&sin, sizeof(sin));
	if (srv->listener == NULL) {
		free(srv);
		return bg_error_set(err, BG_EIO, "listen", address,
		    "cannot open the listening socket");
	}
	getsockname(evconnlistener_get_fd(srv->listener),
	    (struct sockaddr *)&sin, &sin_bytes);
	srv->port = ntohs(sin.sin_port);
	*out = srv;
	return 0;
}

void
bg_link_server_free(struct bg_link_server *srv)
{
	if (srv == NULL)
		return;
	bg_link_server_stop_listening(srv);
	while (srv->connections != NULL)
		connection_close(srv->connections);
	free(srv);
}

int
bg_link_server_add_handler(
    struct bg_link_server *srv, const struct bg_rpc_handler *handler)
{
	assert(handler->fn != NULL);
	if (srv->handler_count == HANDLERS_MAX)
		return BG_ELIMIT;
	srv->handlers[srv->handler_count++] = *handler;
	return 0;
}

uint16_t
bg_link_server_port(const struct bg_link_server *srv)
{
	return srv->port;
}

uint64_t
bg_link_server_output_bytes(const struct bg_link_server *srv)
{
	return srv->output_bytes;
}

void
bg_link_server_stop_listening(struct bg_link_server *srv)
{
	if (srv->listener != NULL)
		evconnlistener_free(srv->listener);
	srv->listener = NULL;
}
