#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/link.h"
#include "burdockgrade/log.h"

#include "../gatekeeper/body.h"
#include "../proxy_internal.h"
#include "attempt.h"
#include "deadline.h"
#include "result.h"

/* A ping on a link. Allocated apart from its attempt, since the link still
 * refers to it if the attempt ends first. */
struct ping {
	struct bg_attempt *attempt; /* NULL after it ended */
};

struct bg_attempt {
	struct bg_proxy *proxy;
	struct bg_xcall_args *args;
	struct bg_gate_call *gate_call;
	struct event *link_check_timer;
	bg_attempt_fn fn;
	void *arg;
	struct bg_link *link; /* carries the call or its ping */
	uint32_t xid;
	struct ping *ping;
	uint32_t body_sent_bytes; /* of a body that is sent in pieces */
	int is_sent;		  /* the gatekeeper may have the whole call */
	int is_pending;		  /* xid awaits a reply */
	char address[BG_ADDRESS_BYTES];
};

static void
attempt_free(struct bg_attempt *att)
{
	if (att->ping != NULL)
		att->ping->attempt = NULL;
	if (att->link_check_timer != NULL)
		event_free(att->link_check_timer);
	free(att);
}

static void
finish(struct bg_attempt *att, int code, struct bg_xcall_res *res)
{
	bg_attempt_fn fn = att->fn;
	void *arg = att->arg;

	attempt_free(att);
	fn(arg, code, res);
}

static void
on_gatekeeper_result(void *arg, struct bg_xcall_res *res)
{
	finish(arg, 0, res);
}

static void on_reply(void *arg, int code, void *res);

static int
sends_body_in_pieces(const struct bg_xcall_args *args)
{
	return args->body.body_len > BG_BODY_INLINE_MAX_BYTES;
}

static int
send_message(struct bg_attempt *att, struct bg_link *link, uint32_t proc,
    xdrproc_t xargs, void *args)
{
	int error;

	error = bg_link_call(&att->xid, link, proc, xargs, args,
	    (xdrproc_t)xdr_bg_xcall_res, sizeof(struct bg_xcall_res),
	    att->args->deadline_ms + BG_ATTEMPT_GRACE_MS, on_reply, att);
	att->is_pending = error == 0;
	att->link = link;
	return error;
}

/* Sends the call, without its body if that is to be sent in pieces. */
static int
send_call(struct bg_attempt *att, struct bg_link *link)
{
	struct bg_xcall_args head = *att->args;
	int is_whole = !sends_body_in_pieces(att->args);
	int error;

	if (!is_whole) {
		head.body_bytes = att->args->body.body_len;
		head.body.body_val = NULL;
		head.body.body_len = 0;
	}
	error = send_message(
	    att, link, BG_PROC_CALL, (xdrproc_t)xdr_bg_xcall_args, &head);
	att->is_sent = is_whole && error == 0;
	return error;
}

/* Sends the piece of the body that the gatekeeper asked for. */
static int
send_piece(struct bg_attempt *att, const struct bg_xcall_res *res)
{
	uint32_t left_bytes = att->args->body.body_len - att->body_sent_bytes;
	struct bg_xbody_args args;
	int error;

	if (att->is_sent || left_bytes == 0 || res->piece_bytes == 0)
		return BG_EPROTO;
	args.call_id = res->call_id;
	args.piece.piece_val = att->args->body.body_val + att->body_sent_bytes;
	args.piece.piece_len =
	    left_bytes < res->piece_bytes ? left_bytes : res->piece_bytes;
	error = send_message(
	    att, att->link, BG_PROC_BODY, (xdrproc_t)xdr_bg_xbody_args, &args);
	if (error != 0)
		return error;
	att->body_sent_bytes += args.piece.piece_len;
	att->is_sent = att->body_sent_bytes == att->args->body.body_len;
	return 0;
}

static int
check_result(const struct bg_attempt *att, const struct bg_xcall_res *res)
{
	if (bg_call_result_is_valid(res))
		return 0;
	bg_log_error("call",
	    "invalid result request=%s peer=%s outcome=%d refusal=%d status=%u",
	    att->args->request_id, att->address, (int)res->outcome,
	    (int)res->refusal, res->http_status);
	return BG_EPROTO;
}

/* A call whose body is not complete has not run and will not: the gatekeeper
 * gets no more of it. */
static void
on_reply(void *arg, int code, void *res)
{
	struct bg_attempt *att = arg;
	struct bg_xcall_res *result = res;

	att->is_pending = 0;
	if (code == 0)
		code = check_result(att, result);
	if (code == 0 && result->outcome == BG_XOUTCOME_CONTINUE) {
		if ((code = send_piece(att, result)) == 0)
			return;
		res = NULL;
	}
	if (code != 0 && !att->is_sent)
		code = BG_EUNAVAILABLE;
	finish(att, code, res);
}

/* Sends the call after its ping was answered. The link may have been replaced
 * meanwhile. */
static void
send_pending_call(struct bg_attempt *att)
{
	struct bg_link *link;

	if (bg_link_pool_get(&link, att->proxy->links, att->address, NULL) !=
		0 ||
	    send_call(att, link) != 0)
		finish(att, BG_EUNAVAILABLE, NULL);
}

/* A call is not sent before its ping is answered, so after a failed ping it can
 * go to another server or use a new link. */
static void
on_ping(void *arg, int code, void *res)
{
	struct ping *ping = arg;
	struct bg_attempt *att = ping->attempt;

	free(ping);
	if (att == NULL)
		return;
	att->ping = NULL;
	if (code == 0) {
		send_pending_call(att);
		return;
	}
	if (code == BG_ETIMEOUT)
		bg_link_mark_suspect(att->link);
	finish(att, BG_EUNAVAILABLE, NULL);
}

static int
send_ping(struct bg_attempt *att, struct bg_link *link)
{
	struct ping *ping;
	int error;

	if ((ping = calloc(1, sizeof(*ping))) == NULL)
		return BG_ENOMEM;
	ping->attempt = att;
	error = bg_link_call(NULL, link, BG_PROC_PING, NULL, NULL, NULL, 0,
	    BG_ATTEMPT_PING_MS, on_ping, ping);
	if (error != 0)
		free(ping);
	else
		att->ping = ping;
	att->link = link;
	return error;
}

/* 1 if the call may be sent to another gatekeeper while this one may have it.
 */
static int
may_abandon(const struct bg_attempt *att)
{
	return att->args->idempotent || !att->is_sent;
}

/* Abandons a call whose link does not answer pings if it may be retried
 * elsewhere: an idempotent one, or one whose body is not complete. Any other
 * call waits until its deadline: its answer may still arrive. */
static void
on_link_check(evutil_socket_t fd, short what, void *arg)
{
	static const struct timeval again = {
	    0, BG_ATTEMPT_LINK_CHECK_MS * 1000};
	struct bg_attempt *att = arg;

	if (!may_abandon(att))
		return;
	if (bg_link_suspect_ms(att->link) < BG_ATTEMPT_SUSPECT_MS) {
		event_add(att->link_check_timer, &again);
		return;
	}
	bg_log_warn("call", "abandoned request=%s peer=%s suspect_ms=%llu",
	    att->args->request_id, att->address,
	    (unsigned long long)bg_link_suspect_ms(att->link));
	if (att->is_pending)
		bg_link_cancel(att->link, att->xid);
	finish(att, att->is_sent ? BG_EIO : BG_EUNAVAILABLE, NULL);
}

static int
arm_link_check(struct bg_attempt *att)
{
	static const struct timeval first = {
	    0, BG_ATTEMPT_LINK_CHECK_MS * 1000};

	att->link_check_timer =
	    event_new(att->proxy->base, -1, 0, on_link_check, att);
	return att->link_check_timer == NULL ||
		event_add(att->link_check_timer, &first) != 0
	    ? BG_ENOMEM
	    : 0;
}

/* 1 if the link may have gone silent while it was idle. A call whose body is
 * sent in pieces needs no ping, since its first message has the same use. */
static int
needs_ping(const struct bg_attempt *att, const struct bg_link *link)
{
	uint64_t idle_ms = bg_link_idle_ms(link);

	if (sends_body_in_pieces(att->args) ||
	    bg_connection_is_reusable(idle_ms, 0))
		return 0;
	return !att->args->idempotent || idle_ms > BG_ATTEMPT_IDLE_MAX_MS;
}

static int
start_remote(struct bg_attempt *att)
{
	struct bg_link *link;
	int error;

	error = bg_link_pool_get(&link, att->proxy->links, att->address, NULL);
	if (error != 0)
		return error;
	if (!bg_link_is_connected(link))
		return BG_EUNAVAILABLE;
	if ((att->args->idempotent || sends_body_in_pieces(att->args)) &&
	    (error = arm_link_check(att)) != 0)
		return error;
	if (needs_ping(att, link))
		return send_ping(att, link);
	return send_call(att, link);
}

int
bg_attempt_start(struct bg_attempt **out, struct bg_proxy *prx,
    const char *address, struct bg_xcall_args *args, bg_attempt_fn fn,
    void *arg)
{
	struct bg_attempt *att;
	int error;

	if ((att = calloc(1, sizeof(*att))) == NULL)
		return BG_ENOMEM;
	att->proxy = prx;
	att->args = args;
	att->fn = fn;
	att->arg = arg;
	snprintf(att->address, sizeof(att->address), "%s", address);
	if (strcmp(address, bg_mesh_address(prx->mesh)) == 0) {
		error = bg_gatekeeper_call(&att->gate_call, prx->gatekeeper,
		    args, on_gatekeeper_result, att);
		att->is_sent = error == 0;
	} else
		error = start_remote(att);
	if (error != 0) {
		attempt_free(att);
		return error;
	}
	*out = att;
	return 0;
}

void
bg_attempt_cancel(struct bg_attempt *att)
{
	if (att->gate_call != NULL)
		bg_gatekeeper_cancel(att->gate_call);
	else if (att->is_pending)
		bg_link_cancel(att->link, att->xid);
	attempt_free(att);
}

int
bg_attempt_is_sent(const struct bg_attempt *att)
{
	return att->is_sent;
}
