#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "burdockgrade/clock.h"

#include "call_internal.h"

/* Answers above this are not kept in a record. */
#define RECORD_BODY_BYTES 16384

static uint64_t
request_digest(const struct bg_xcall_args *args)
{
	XXH64_state_t *st = XXH64_createState();
	uint64_t digest;

	if (st == NULL)
		return 0;
	XXH64_reset(st, 0);
	XXH64_update(st, args->method, strlen(args->method) + 1);
	XXH64_update(st, args->path, strlen(args->path) + 1);
	XXH64_update(st, args->body.body_val, args->body.body_len);
	digest = XXH64_digest(st);
	XXH64_freeState(st);
	return digest;
}

static void
reply_recorded(struct bg_call *call, const struct bg_xanswer *kept)
{
	struct bg_call_answer ans;

	memset(&ans, 0, sizeof(ans));
	ans.outcome = BG_XOUTCOME_DONE;
	ans.http_status = 200;
	ans.reason = "the call was done before; its answer was not kept";
	if (kept != NULL) {
		ans.http_status = kept->http_status;
		ans.headers = kept->headers.headers_val;
		ans.header_count = kept->headers.headers_len;
		ans.body = kept->body.body_val;
		ans.body_bytes = kept->body.body_len;
		ans.reason = NULL;
	}
	bg_call_reply(call, &ans);
}

/* A begin that waits for its result; the records hold on to it. */
struct bg_begin {
	struct bg_call *call; /* NULL: the proxy was stopped */
};

void
bg_call_forget_begin(struct bg_call *call)
{
	if (call->begin != NULL)
		call->begin->call = NULL;
	call->begin = NULL;
}

/* The permission arrived after the caller left: gives it back. */
static void
return_grant(struct bg_call *call, const struct bg_begin_result *res)
{
	if (res->status == BG_XBEGIN_GRANTED)
		bg_records_finish(call->proxy->records, call->record_key,
		    res->grant, BG_XOUTCOME_NOT_RUN, NULL);
	bg_call_free(call);
}

static void
on_begin(void *arg, const struct bg_begin_result *res)
{
	struct bg_begin *begin = arg;
	struct bg_call *call = begin->call;

	free(begin);
	if (call == NULL)
		return;
	call->begin = NULL;
	if (call->is_gone) {
		return_grant(call, res);
		return;
	}
	switch (res->status) {
	case BG_XBEGIN_GRANTED:
		call->args.grant = res->grant;
		bg_call_step_pick(call);
		break;
	case BG_XBEGIN_DONE:
		reply_recorded(call, res->answer);
		break;
	case BG_XBEGIN_RUNNING:
		bg_call_reply_error(call, BG_XOUTCOME_UNKNOWN, 504,
		    res->retry_after_ms, "a call with this key is running");
		break;
	case BG_XBEGIN_UNKNOWN:
		/* Above 0: the same key may be sent again later. */
		bg_call_reply_error(call, BG_XOUTCOME_UNKNOWN, 502,
		    res->retry_after_ms,
		    "the outcome of the call with this key is not known");
		break;
	case BG_XBEGIN_MISMATCH:
		bg_call_reply_error(call, BG_XOUTCOME_NOT_RUN, 422, 0,
		    "the key was used for another request");
		break;
	case BG_XBEGIN_NOT_RUN:
		bg_metrics_refused(BG_REFUSAL_RECORD);
		bg_call_reply_error(call, BG_XOUTCOME_NOT_RUN, 503,
		    res->retry_after_ms != 0 ? res->retry_after_ms
					     : BG_RETRY_AFTER_MS,
		    res->reason != NULL ? res->reason
					: bg_refusal_text(BG_REFUSAL_RECORD));
		break;
	}
}

static void
start_begin(struct bg_call *call)
{
	struct bg_begin *begin;

	if ((begin = calloc(1, sizeof(*begin))) == NULL) {
		bg_call_refuse(call, BG_REFUSAL_BUFFERS);
		return;
	}
	begin->call = call;
	call->begin = begin;
	if (bg_records_begin(call->proxy->records, call->record_key,
		request_digest(&call->args),
		bg_deadline_left_ms(call->deadline_us, bg_clock_now_us()),
		on_begin, begin) != 0) {
		call->begin = NULL;
		free(begin);
		/* The records were not asked; an earlier call with this key
		 * may have run. */
		bg_call_reply_error(call, BG_XOUTCOME_UNKNOWN, 502,
		    BG_RETRY_AFTER_MS, "the record of the key was not read");
	}
}

void
bg_call_step_record(struct bg_call *call)
{
	int n;

	if (call->idempotency_key == NULL || call->idempotency_key[0] == 0) {
		bg_call_reply_error(call, BG_XOUTCOME_NOT_RUN, 400, 0,
		    "this route needs the header Idempotency-Key");
		return;
	}
	n = snprintf(call->record_key, sizeof(call->record_key), "%s/%s/%s",
	    call->service->head.name, call->route->name, call->idempotency_key);
	if (n < 0 || (size_t)n >= sizeof(call->record_key)) {
		bg_call_reply_error(call, BG_XOUTCOME_NOT_RUN, 400, 0,
		    "the Idempotency-Key is too long");
		return;
	}
	start_begin(call);
}

static const struct bg_xanswer *
record_answer(struct bg_xanswer *out, const struct bg_call_answer *ans)
{
	if (ans == NULL || ans->outcome != BG_XOUTCOME_DONE ||
	    ans->body_bytes > RECORD_BODY_BYTES)
		return NULL;
	memset(out, 0, sizeof(*out));
	out->http_status = ans->http_status;
	out->headers.headers_len = ans->header_count;
	out->headers.headers_val = (struct bg_xheader *)ans->headers;
	out->body.body_len = ans->body_bytes;
	out->body.body_val = (char *)ans->body;
	return out;
}

void
bg_call_finish_record(struct bg_call *call, enum bg_xoutcome outcome,
    const struct bg_call_answer *ans)
{
	struct bg_xanswer kept;

	if (call->args.grant != 0)
		bg_records_finish(call->proxy->records, call->record_key,
		    call->args.grant, outcome, record_answer(&kept, ans));
	call->args.grant = 0;
}
