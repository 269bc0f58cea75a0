#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"

#include "body.h"

/* Time that the caller has for a piece, beyond that which the link needs for
 * the bytes in flight. While a piece is missing, its part of the window is not
 * available to other bodies. */
#define PIECE_TIMEOUT_US 300000

/* A body may take this many times what it takes on an idle link, where only
 * that and no wait is allowed. */
#define TRANSFER_RESERVE 2

static struct bg_gate_call *
call_of(struct bg_intake_entry *entry)
{
	return (struct bg_gate_call *)((char *)entry -
	    offsetof(struct bg_gate_call, intake));
}

static void
refuse(struct bg_gate_call *call, enum bg_xrefusal why)
{
	bg_intake_remove(&call->gatekeeper->intake, &call->intake);
	bg_gate_refuse(call, why);
}

/* Refuses bodies that more urgent ones have displaced. */
static void
refuse_infeasible(struct bg_gatekeeper *gk)
{
	struct bg_intake_entry *entry;
	uint64_t now_us = bg_clock_now_us();

	while ((entry = bg_intake_find_infeasible(&gk->intake, now_us)) != NULL)
		refuse(call_of(entry), BG_XREFUSAL_BUSY);
}

static enum bg_xrefusal
find_refusal(struct bg_gate_call *call, uint64_t now_us)
{
	struct bg_gatekeeper *gk = call->gatekeeper;
	enum bg_xrefusal why = bg_gate_find_refusal(gk, call->args);

	if (why != BG_XREFUSAL_NONE)
		return why;
	if (call->args->body_bytes > gk->settings->limits.body_bytes ||
	    !bg_buffers_can_admit(gk->buffers, call->args->body_bytes))
		return BG_XREFUSAL_BUFFERS;
	if (!bg_limiter_is_feasible(&gk->limiter, &call->entry, now_us) ||
	    !bg_intake_add(&gk->intake, &call->intake, now_us))
		return BG_XREFUSAL_BUSY;
	return BG_XREFUSAL_NONE;
}

static uint64_t
min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

/* Describes the body to the intake. The wait that the caller allows is one for
 * a slot; the transfer of the body comes on top of it. A call that misses its
 * target is not kept waiting for the link, since bodies that can be on time
 * would keep overtaking it. */
static void
fill_intake(struct bg_gate_call *call, uint64_t now_us)
{
	struct bg_gatekeeper *gk = call->gatekeeper;
	struct bg_intake_entry *body = &call->intake;
	uint64_t link_us = TRANSFER_RESERVE *
	    bg_intake_transfer_us(&gk->intake, call->args->body_bytes);
	uint64_t useful_us;

	call->entry.latest_start_us =
	    min_u64(call->entry.latest_start_us + link_us, call->deadline_us);
	useful_us =
	    bg_limiter_useful_start_us(&gk->limiter, &call->entry, now_us);
	body->priority = call->entry.priority;
	body->target_us = call->entry.target_us;
	body->body_bytes = call->args->body_bytes;
	body->is_late = body->target_us != 0 &&
	    now_us + link_us + call->entry.service_us > body->target_us;
	body->latest_us =
	    body->is_late ? min_u64(useful_us, now_us + link_us) : useful_us;
}

void
bg_gate_body_begin(struct bg_gate_call *call)
{
	struct bg_gatekeeper *gk = call->gatekeeper;
	uint64_t now_us = bg_clock_now_us();
	enum bg_xrefusal why;

	fill_intake(call, now_us);
	if ((why = find_refusal(call, now_us)) != BG_XREFUSAL_NONE) {
		bg_gate_refuse(call, why);
		return;
	}
	bg_gate_set_timer(call, call->intake.latest_us);
	refuse_infeasible(gk);
	bg_gate_body_pump(gk);
}

/* Allocates the body and takes over the arguments, which would be released with
 * the reply that asks for the first piece. */
static int
prepare_receipt(struct bg_gate_call *call)
{
	struct bg_xcall_args *args;

	if (call->owned_args != NULL)
		return 0;
	/* Bodies that were admitted together may have no room together. */
	if (!bg_buffers_can_admit(
		call->gatekeeper->buffers, call->args->body_bytes))
		return BG_ELIMIT;
	if ((args = bg_rpc_take_args(call->rpc)) == NULL)
		return BG_ENOMEM;
	call->args = call->owned_args = args;
	if ((args->body.body_val = malloc(args->body_bytes)) == NULL)
		return BG_ENOMEM;
	call->buffered_bytes = args->body_bytes;
	bg_buffers_add(call->gatekeeper->buffers, call->buffered_bytes);
	return 0;
}

static void
ask_for_piece(struct bg_gate_call *call)
{
	struct bg_gatekeeper *gk = call->gatekeeper;
	struct bg_rpc *rpc = call->rpc;
	struct bg_xcall_res res;

	if (prepare_receipt(call) != 0) {
		refuse(call, BG_XREFUSAL_BUFFERS);
		return;
	}
	memset(&res, 0, sizeof(res));
	res.outcome = BG_XOUTCOME_CONTINUE;
	res.reason = "";
	res.server_id = "";
	res.server_version = "";
	res.call_id = call->id;
	res.piece_bytes = call->intake.granted_bytes;
	bg_gate_set_timer(call,
	    bg_clock_now_us() + PIECE_TIMEOUT_US +
		bg_intake_flight_us(&gk->intake));
	call->rpc = NULL;
	bg_rpc_reply(rpc, (xdrproc_t)xdr_bg_xcall_res, &res);
}

void
bg_gate_body_pump(struct bg_gatekeeper *gk)
{
	struct bg_intake_entry *entry;

	while (
	    (entry = bg_intake_grant(&gk->intake, bg_clock_now_us())) != NULL)
		ask_for_piece(call_of(entry));
}

static struct bg_gate_call *
find_call(struct bg_gatekeeper *gk, uint64_t id)
{
	struct bg_gate_call *call;

	for (call = gk->calls; call != NULL; call = call->next) {
		if (call->id == id && call->intake.is_listed &&
		    call->rpc == NULL)
			return call;
	}
	return NULL;
}

/* Replies to a piece of a call that was given up: it has not run, since its
 * body is not complete. */
static void
reply_given_up(struct bg_gatekeeper *gk, struct bg_rpc *rpc)
{
	struct bg_xcall_res res;

	memset(&res, 0, sizeof(res));
	res.outcome = BG_XOUTCOME_NOT_RUN;
	res.refusal = BG_XREFUSAL_BUSY;
	res.http_status = 503;
	res.reason = (char *)bg_refusal_text(BG_XREFUSAL_BUSY);
	res.server_id = gk->server.id;
	res.server_version = gk->server.version;
	bg_rpc_reply(rpc, (xdrproc_t)xdr_bg_xcall_res, &res);
}

static void
append_piece(struct bg_gate_call *call, const struct bg_xbody_args *args)
{
	struct bg_xcall_args *own = call->owned_args;

	memcpy(own->body.body_val + own->body.body_len, args->piece.piece_val,
	    args->piece.piece_len);
	own->body.body_len += args->piece.piece_len;
	bg_intake_receive(&call->gatekeeper->intake, &call->intake,
	    args->piece.piece_len, bg_clock_now_us());
}

/* Admits a call whose body is complete. The body has used its part of the link,
 * so the call may now wait for a slot as long as it can still be answered. */
static void
finish_receipt(struct bg_gate_call *call)
{
	struct bg_gatekeeper *gk = call->gatekeeper;
	struct bg_limiter_entry *entry = &call->entry;

	bg_intake_remove(&gk->intake, &call->intake);
	entry->latest_start_us =
	    call->deadline_us - min_u64(entry->service_us, call->deadline_us);
	if (entry->target_us < bg_clock_now_us() + entry->service_us)
		entry->target_us = call->deadline_us;
	bg_gate_admit(call);
}

void
bg_gate_body_handle(void *arg, struct bg_rpc *rpc, void *data)
{
	struct bg_gatekeeper *gk = arg;
	struct bg_xbody_args *args = data;
	struct bg_gate_call *call = find_call(gk, args->call_id);

	if (call == NULL || args->piece.piece_len == 0 ||
	    args->piece.piece_len > call->intake.granted_bytes) {
		reply_given_up(gk, rpc);
		return;
	}
	call->rpc = rpc;
	bg_rpc_on_cancel(rpc, bg_gate_on_rpc_cancel, call);
	append_piece(call, args);
	if (call->owned_args->body.body_len == call->intake.body_bytes)
		finish_receipt(call);
	else
		bg_gate_set_timer(call, call->deadline_us);
	bg_gate_body_pump(gk);
}

void
bg_gate_body_expire(struct bg_gate_call *call)
{
	struct bg_gatekeeper *gk = call->gatekeeper;

	bg_log_info("gatekeeper",
	    "body not received request=%s received=%u of=%u asked=%u",
	    call->args->request_id, call->intake.received_bytes,
	    call->intake.body_bytes, call->intake.granted_bytes);
	if (call->rpc != NULL)
		refuse(call, BG_XREFUSAL_BUSY);
	else
		bg_gate_call_free(call);
	bg_gate_body_pump(gk);
}
