#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/error.h"

#include "records/internal.h"

/* The holder answers within the wait; this is added for the way back. */
#define REPLY_MARGIN_MS 500
/* A begin that a former holder has not answered this long after the view
 * changed is sent to the new one: it has probably ended. */
#define FORMER_HOLDER_MS 300
/* Hint for a caller whose key could not be looked up. */
#define LATER_MS 1000

static struct bg_counter results[] = {
    BG_COUNTER("burdock_record_granted_total", "Keys granted for a run."),
    BG_COUNTER("burdock_record_done_total", "Keys answered as done."),
    BG_COUNTER("burdock_record_running_total", "Keys still running."),
    BG_COUNTER("burdock_record_unknown_total", "Keys of unknown outcome."),
    BG_COUNTER("burdock_record_not_run_total", "Keys refused, not run."),
    BG_COUNTER("burdock_record_mismatch_total", "Keys of another request."),
};

static void
set_result(struct ask *ask, enum bg_xbegin_status status,
    uint32_t retry_after_ms, const char *reason)
{
	ask->result.status = status;
	ask->result.retry_after_ms = retry_after_ms;
	ask->result.reason = reason;
	ask->is_answered = 1;
	bg_mailbox_post(ask->request.records->mailbox, 0, NULL);
}

static void
retry(struct ask *ask, uint64_t now_ms)
{
	ask->in_flight = 0;
	ask->next_ms = now_ms + TICK_MS;
}

static const char *
reason_of(enum bg_xbegin_status status)
{
	switch (status) {
	case BG_XBEGIN_GRANTED:
		return "granted";
	case BG_XBEGIN_DONE:
		return "ran before";
	case BG_XBEGIN_RUNNING:
		return "still running";
	case BG_XBEGIN_UNKNOWN:
		return "may have run before";
	case BG_XBEGIN_NOT_RUN:
		return "record group has no room";
	default:
		return "key was used for another request";
	}
}

static int
copy_answer(struct bg_xanswer *out, const struct bg_xanswer *ans)
{
	void *in = (void *)(uintptr_t)ans;
	uint32_t bytes = (uint32_t)xdr_sizeof((xdrproc_t)xdr_bg_xanswer, in);
	char *buf;
	XDR xdrs;
	int error = BG_EPROTO;

	memset(out, 0, sizeof(*out));
	if ((buf = malloc(bytes + 1)) == NULL)
		return BG_ENOMEM;
	xdrmem_create(&xdrs, buf, bytes, XDR_ENCODE);
	if (xdr_bg_xanswer(&xdrs, in)) {
		xdrmem_create(&xdrs, buf, bytes, XDR_DECODE);
		if (xdr_bg_xanswer(&xdrs, out))
			error = 0;
		else
			xdr_free((xdrproc_t)xdr_bg_xanswer, (char *)out);
	}
	free(buf);
	return error;
}

void
bg_records_ask_begun(struct ask *ask, const struct bg_xbegin_res *res)
{
	uint64_t now_ms = bg_clock_now_ms();

	ask->in_flight = 0;
	/* An unknown with a pause means that this holder cannot tell now. */
	if ((res->status == BG_XBEGIN_UNKNOWN && res->retry_after_ms > 0) ||
	    res->status == BG_XBEGIN_RUNNING) {
		if (now_ms + TICK_MS < ask->deadline_ms) {
			retry(ask, now_ms);
			return;
		}
		set_result(ask, res->status, LATER_MS,
		    res->status == BG_XBEGIN_RUNNING
			? reason_of(res->status)
			: "record group cannot tell now");
		return;
	}
	ask->result.grant = res->grant;
	if (res->answer != NULL && ask->result.answer == NULL &&
	    copy_answer(&ask->answer, res->answer) == 0)
		ask->result.answer = &ask->answer;
	set_result(
	    ask, res->status, res->retry_after_ms, reason_of(res->status));
}

static void
on_reply(void *arg, int code, void *res)
{
	struct ask *ask = arg;

	/* After a lost answer the key may have been granted. Asking again is
	 * safe: the holder then says running, and later unknown. */
	if (code == 0)
		bg_records_ask_begun(ask, res);
	else
		retry(ask, bg_clock_now_ms());
}

static void
send_begin(struct ask *ask, const struct bg_view *view, uint32_t wait_ms,
    uint64_t now_ms)
{
	struct bg_records *rcs = ask->request.records;
	struct bg_xbegin_args args;
	struct bg_link *link;

	args.data_centre = ask->place.data_centre;
	args.group = ask->place.group;
	args.epoch = view->epoch;
	args.key = ask->key;
	args.request_digest = ask->request_digest;
	args.wait_ms = wait_ms;
	snprintf(ask->peer, sizeof(ask->peer), "%s", view->holder.address);
	if (bg_link_pool_get(&link, rcs->pool, ask->peer, NULL) != 0 ||
	    bg_link_call(&ask->xid, link, BG_PROC_BEGIN,
		(xdrproc_t)xdr_bg_xbegin_args, &args,
		(xdrproc_t)xdr_bg_xbegin_res, sizeof(struct bg_xbegin_res),
		wait_ms + REPLY_MARGIN_MS, on_reply, ask) != 0)
		retry(ask, now_ms);
}

static void
try_ask(struct ask *ask, uint64_t now_ms)
{
	struct bg_records *rcs = ask->request.records;
	struct bg_group_request req;
	struct bg_group *grp;
	struct home *home;
	const struct bg_view *view;
	uint32_t wait_ms = (uint32_t)(ask->deadline_ms - now_ms);

	ask->next_ms = now_ms + TICK_MS;
	if (bg_place_key(&ask->place, &rcs->map, ask->key) != 0 ||
	    (home = bg_records_home(rcs, ask->place.data_centre)) == NULL)
		return;
	view = &home->views.groups[ask->place.group];
	if (view->epoch == 0)
		return;
	ask->in_flight = 1;
	if (!bg_record_node_equal(&view->holder, &rcs->self)) {
		send_begin(ask, view, wait_ms, now_ms);
		return;
	}
	ask->peer[0] = '\0';
	grp = home->groups[ask->place.group];
	if (grp == NULL) {
		retry(ask, now_ms);
		return;
	}
	req.token = (uintptr_t)&ask->request;
	req.fingerprint = ask->place.fingerprint;
	req.request_digest = ask->request_digest;
	req.created_ms = ask->place.created_ms;
	req.wait_ms = wait_ms;
	bg_group_begin(grp, &req, now_ms, bg_clock_wall_ms());
}

/* Takes a begin back from a former holder that does not answer. */
static void
leave_former_holder(struct ask *ask, uint64_t now_ms)
{
	struct bg_records *rcs = ask->request.records;
	struct home *home = bg_records_home(rcs, ask->place.data_centre);
	uint32_t group = ask->place.group;
	struct bg_link *link;

	if (ask->peer[0] == '\0' || home == NULL ||
	    strcmp(home->views.groups[group].holder.address, ask->peer) == 0 ||
	    now_ms - home->changed_ms[group] < FORMER_HOLDER_MS)
		return;
	if (bg_link_pool_get(&link, rcs->pool, ask->peer, NULL) == 0)
		bg_link_cancel(link, ask->xid);
	retry(ask, now_ms);
}

static void
deliver(struct ask *ask)
{
	bg_counter_add(&results[ask->result.status], 1);
	ask->fn(ask->arg, &ask->result);
	if (ask->result.answer != NULL)
		xdr_free((xdrproc_t)xdr_bg_xanswer, (char *)&ask->answer);
	free(ask->key);
	free(ask);
}

void
bg_records_ask_tick(struct bg_records *rcs, uint64_t now_ms)
{
	struct ask *ask;
	struct ask *tmp;
	struct ask *ready = NULL;

	DL_FOREACH_SAFE(rcs->asks, ask, tmp)
	{
		if (ask->in_flight)
			leave_former_holder(ask, now_ms);
		if (!ask->is_answered && !ask->in_flight) {
			if (now_ms >= ask->deadline_ms)
				set_result(ask, BG_XBEGIN_UNKNOWN, LATER_MS,
				    "record group not reachable");
			else if (now_ms >= ask->next_ms)
				try_ask(ask, now_ms);
		}
		if (!ask->is_answered)
			continue;
		/* The analyzer does not see that the list holds it. */
		/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
		DL_DELETE(rcs->asks, ask);
		DL_APPEND(ready, ask);
	}
	/* Callbacks may begin other calls. */
	DL_FOREACH_SAFE(ready, ask, tmp)
	{
		deliver(ask);
	}
}

void
bg_records_ask_hurry(
    struct bg_records *rcs, const char *data_centre, uint32_t group)
{
	struct ask *ask;
	int found = 0;

	DL_FOREACH(rcs->asks, ask)
	{
		if (ask->place.group != group ||
		    strcmp(ask->place.data_centre, data_centre) != 0)
			continue;
		ask->next_ms = 0;
		found = 1;
	}
	if (found)
		bg_mailbox_post(rcs->mailbox, 0, NULL);
}

void
bg_records_ask_free(struct bg_records *rcs)
{
	struct ask *ask;

	while ((ask = rcs->asks) != NULL) {
		DL_DELETE(rcs->asks, ask);
		if (ask->result.answer != NULL)
			xdr_free(
			    (xdrproc_t)xdr_bg_xanswer, (char *)&ask->answer);
		free(ask->key);
		free(ask);
	}
}

int
bg_records_begin(struct bg_records *rcs, const char *key,
    uint64_t request_digest, uint32_t wait_ms, bg_begin_fn fn, void *arg)
{
	struct ask *ask;

	if (strlen(key) >= BG_KEY_BYTES)
		return BG_EINVAL;
	if ((ask = calloc(1, sizeof(*ask))) == NULL)
		return BG_ENOMEM;
	if ((ask->key = strdup(key)) == NULL) {
		free(ask);
		return BG_ENOMEM;
	}
	ask->request.kind = REQUEST_ASK;
	ask->request.records = rcs;
	ask->request_digest = request_digest;
	ask->deadline_ms = bg_clock_now_ms() + (wait_ms > 0 ? wait_ms : 1);
	ask->fn = fn;
	ask->arg = arg;
	DL_APPEND(rcs->asks, ask);
	/* The first attempt runs from the loop, like all callbacks; without
	 * memory for the message the next tick starts it. */
	bg_mailbox_post(rcs->mailbox, 0, NULL);
	return 0;
}
