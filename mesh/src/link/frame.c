#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/counter.h"
#include "burdockgrade/link.h"

#include "frame.h"

#define LAST_FRAGMENT 0x80000000u
#define RECORD_MARK_BYTES 4
/* Upper bound; a call header with empty credentials takes 40 bytes. */
#define RPC_HEADER_MAX_BYTES 64

static struct bg_counter sent_bytes[] = {
    BG_COUNTER("burdock_control_sent_bytes_total",
	"Bytes of SYNC and PING messages sent."),
    BG_COUNTER("burdock_call_sent_bytes_total",
	"Bytes of CALL, BODY and CANCEL messages sent."),
};
static struct bg_counter received_bytes[] = {
    BG_COUNTER("burdock_control_received_bytes_total",
	"Bytes of SYNC and PING messages received."),
    BG_COUNTER("burdock_call_received_bytes_total",
	"Bytes of CALL, BODY and CANCEL messages received."),
};

void
bg_frame_count_bytes(uint32_t proc, int is_sent, uint64_t bytes)
{
	enum bg_traffic kind = BG_TRAFFIC_CONTROL;

	if (proc == BG_PROC_CALL || proc == BG_PROC_BODY ||
	    proc == BG_PROC_CANCEL)
		kind = BG_TRAFFIC_CALL;
	bg_counter_add(is_sent ? &sent_bytes[kind] : &received_bytes[kind],
	    (int64_t)(bytes + RECORD_MARK_BYTES));
}

int
bg_frame_read(struct bg_frame *out, struct evbuffer *in)
{
	uint32_t mark;
	uint32_t bytes;

	if (evbuffer_get_length(in) < RECORD_MARK_BYTES)
		return 0;
	evbuffer_copyout(in, &mark, RECORD_MARK_BYTES);
	mark = ntohl(mark);
	bytes = mark & ~LAST_FRAGMENT;
	if ((mark & LAST_FRAGMENT) == 0 || bytes == 0 ||
	    bytes > BG_LINK_MESSAGE_MAX_BYTES)
		return BG_EPROTO;
	if (evbuffer_get_length(in) < RECORD_MARK_BYTES + bytes)
		return 0;
	if ((out->data = malloc(bytes)) == NULL)
		return BG_ENOMEM;
	evbuffer_drain(in, RECORD_MARK_BYTES);
	evbuffer_remove(in, out->data, bytes);
	out->data_bytes = bytes;
	return 1;
}

static int
append_message(struct evbuffer *out, struct rpc_msg *msg, int is_call,
    xdrproc_t xbody, void *body)
{
	uint32_t buf_bytes = RPC_HEADER_MAX_BYTES +
	    (xbody == NULL ? 0 : (uint32_t)xdr_sizeof(xbody, body));
	uint32_t mark;
	char *buf;
	XDR xdrs;
	int error = BG_EPROTO;

	if (buf_bytes > BG_LINK_MESSAGE_MAX_BYTES)
		return BG_EPROTO;
	if ((buf = malloc(buf_bytes)) == NULL)
		return BG_ENOMEM;
	xdrmem_create(&xdrs, buf, buf_bytes, XDR_ENCODE);
	if (!(is_call ? xdr_callmsg(&xdrs, msg) : xdr_replymsg(&xdrs, msg)))
		goto done;
	if (xbody != NULL && !xbody(&xdrs, body))
		goto done;
	mark = htonl(xdr_getpos(&xdrs) | LAST_FRAGMENT);
	error = BG_ENOMEM;
	if (evbuffer_add(out, &mark, RECORD_MARK_BYTES) != 0 ||
	    evbuffer_add(out, buf, xdr_getpos(&xdrs)) != 0)
		goto done;
	error = 0;
done:
	xdr_destroy(&xdrs);
	free(buf);
	return error;
}

int
bg_frame_write_call(struct evbuffer *out, uint32_t xid, uint32_t proc,
    xdrproc_t xargs, void *args)
{
	struct rpc_msg msg;
	size_t old_length = evbuffer_get_length(out);
	int error;

	memset(&msg, 0, sizeof(msg));
	msg.rm_xid = xid;
	msg.rm_direction = CALL;
	msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	msg.rm_call.cb_prog = BG_MESH;
	msg.rm_call.cb_vers = BG_MESH_V3;
	msg.rm_call.cb_proc = proc;
	error = append_message(out, &msg, 1, xargs, args);
	if (error == 0)
		bg_frame_count_bytes(
		    proc, 1, evbuffer_get_length(out) - old_length);
	return error;
}

bool_t
bg_xdr_empty(XDR *xdrs, void *unused)
{
	return TRUE;
}

static int
write_accepted(struct evbuffer *out, uint32_t xid, enum accept_stat stat,
    xdrproc_t xres, void *res)
{
	struct rpc_msg msg;

	memset(&msg, 0, sizeof(msg));
	msg.rm_xid = xid;
	msg.rm_direction = REPLY;
	msg.rm_reply.rp_stat = MSG_ACCEPTED;
	msg.acpted_rply.ar_stat = stat;
	msg.acpted_rply.ar_results.proc = (xdrproc_t)bg_xdr_empty;
	return append_message(out, &msg, 0, xres, res);
}

int
bg_frame_write_reply(
    struct evbuffer *out, uint32_t xid, xdrproc_t xres, void *res)
{
	return write_accepted(out, xid, SUCCESS, xres, res);
}

int
bg_frame_write_failure(struct evbuffer *out, uint32_t xid, enum accept_stat why)
{
	return write_accepted(out, xid, why, NULL, NULL);
}
