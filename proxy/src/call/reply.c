/* Replies to the caller of a call: results of attempts, refusals and when to
 * come back. */

#include <string.h>

#include "burdockgrade/counter.h"
#include "burdockgrade/log.h"

#include "call_cost.h"
#include "call_internal.h"
#include "cold_call.h"

#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503
#define STATUS_TIMEOUT 504
/* Retry-After without a known queueing time, for example when the node has no
 * servers or no configuration. */
#define RETRY_AFTER_DEFAULT_MS 300
/* Lower bound of Retry-After: an earlier retry would meet the same load. */
#define RETRY_AFTER_MIN_MS 50
#define RETRY_AFTER_MAX_MS 2000
/* Retry-After while operators have emptied the data centres of the only
 * servers. They are taken back after seconds or minutes, so that earlier
 * retries would only add load. */
#define RETRY_AFTER_EMPTIED_MS 1000

static struct bg_counter emptied_calls =
    BG_COUNTER("burdock_emptied_calls_refused_total",
	"Calls refused because the data centres of all servers are emptied.");

void
bg_call_reply_error(struct bg_call *call, enum bg_xoutcome outcome,
    uint32_t http_status, uint32_t retry_after_ms, const char *reason)
{
	struct bg_call_answer ans;

	memset(&ans, 0, sizeof(ans));
	ans.outcome = outcome;
	ans.http_status = http_status;
	ans.retry_after_ms = retry_after_ms;
	ans.reason = reason;
	bg_call_reply(call, &ans);
}

/* Estimates when a slot will be free. Jitter keeps callers that were refused
 * together from retrying together. */
static uint32_t
retry_after_ms(struct bg_call *call, enum bg_xrefusal refusal)
{
	uint64_t base_ms = RETRY_AFTER_DEFAULT_MS;
	uint64_t ms;

	if (refusal == BG_XREFUSAL_SHED)
		base_ms = RETRY_AFTER_MIN_MS;
	if (call->busy_wait_us != 0)
		base_ms = call->busy_wait_us / 1000;
	else if (refusal == BG_XREFUSAL_NO_SERVER && bg_call_is_emptied(call))
		base_ms = RETRY_AFTER_EMPTIED_MS;
	if (base_ms < RETRY_AFTER_MIN_MS)
		base_ms = RETRY_AFTER_MIN_MS;
	if (call->cold_left_ms != 0)
		ms = bg_cold_call_retry_ms(&call->proxy->router.rand, base_ms,
		    call->cold_left_ms, RETRY_AFTER_MAX_MS);
	else if (call->is_server_uneven)
		return bg_call_come_back_ms(call, (uint32_t)base_ms);
	else
		ms =
		    base_ms + bg_rand_below(&call->proxy->router.rand, base_ms);
	return ms > RETRY_AFTER_MAX_MS ? RETRY_AFTER_MAX_MS : (uint32_t)ms;
}

void
bg_call_refuse(struct bg_call *call, enum bg_xrefusal refusal)
{
	/* A refusal guarantees that no backend server ran the call. */
	if (call->may_have_run) {
		bg_call_reply_error(call, BG_XOUTCOME_UNKNOWN,
		    STATUS_BAD_GATEWAY, 0,
		    "a backend server may have run the call");
		return;
	}
	bg_metrics_count_refused(refusal);
	bg_call_reply_error(call, BG_XOUTCOME_NOT_RUN, STATUS_UNAVAILABLE,
	    retry_after_ms(call, refusal), bg_refusal_text(refusal));
}

void
bg_call_refuse_without_server(struct bg_call *call)
{
	if (bg_call_is_emptied(call)) {
		bg_counter_add(&emptied_calls, 1);
		bg_log_warn("call",
		    "no server left request=%s service=%s reason=emptied",
		    call->args.request_id, call->service);
	}
	bg_call_refuse(call, BG_XREFUSAL_NO_SERVER);
}

void
bg_call_reply_result(struct bg_call *call, int code, struct bg_xcall_res *res)
{
	struct bg_call_answer ans;

	if (code == BG_EUNAVAILABLE) {
		bg_call_refuse(call, BG_XREFUSAL_UNREACHABLE);
		return;
	}
	if (code != 0) {
		bg_call_reply_error(call, BG_XOUTCOME_UNKNOWN,
		    code == BG_ETIMEOUT ? STATUS_TIMEOUT : STATUS_BAD_GATEWAY,
		    0, "no answer came from the node of the backend server");
		return;
	}
	if (res->outcome == BG_XOUTCOME_NOT_RUN) {
		bg_call_refuse(call, res->refusal);
		return;
	}
	memset(&ans, 0, sizeof(ans));
	ans.outcome = res->outcome;
	ans.http_status = res->http_status;
	ans.headers = res->headers.headers_val;
	ans.header_count = res->headers.headers_len;
	ans.body = res->body.body_val;
	ans.body_bytes = res->body.body_len;
	ans.reason = res->outcome == BG_XOUTCOME_DONE ? NULL : res->reason;
	bg_call_reply(call, &ans);
}
