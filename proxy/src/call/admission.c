/* Caps on the use of organisations. Calls that backend servers make have no
 * organisation and are not counted. */

#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"

#include "call_internal.h"

#define STATUS_TOO_MANY 429
#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503
/* Lower bound of Retry-After. */
#define RETRY_AFTER_MIN_MS 100

/* Callers that are refused together come back spread over as long again. */
static uint32_t
spread_ms(struct bg_call *call, uint32_t retry_after_ms)
{
	uint64_t base_ms = retry_after_ms < RETRY_AFTER_MIN_MS
	    ? RETRY_AFTER_MIN_MS
	    : retry_after_ms;

	return (uint32_t)(base_ms +
	    bg_rand_below(&call->proxy->router.rand, base_ms));
}

static void
refuse(struct bg_call *call, enum bg_quota_verdict verdict,
    uint32_t retry_after_ms)
{
	int is_over = verdict == BG_QUOTA_OVER;
	uint32_t ms = spread_ms(call, retry_after_ms);

	bg_log_info("call",
	    "not admitted request=%s organisation=%s reason=%s "
	    "retry_after_ms=%u",
	    call->args.request_id, call->organisation->name,
	    is_over ? "over-cap" : "no-owner", ms);
	/* A repeat whose first attempt may have run. */
	if (call->may_have_run) {
		bg_call_reply_error(call, BG_XOUTCOME_UNKNOWN,
		    STATUS_BAD_GATEWAY, 0,
		    "a backend server may have run the call");
		return;
	}
	bg_call_reply_error(call, BG_XOUTCOME_NOT_RUN,
	    is_over ? STATUS_TOO_MANY : STATUS_UNAVAILABLE, ms,
	    is_over ? "the organisation has used its cap"
		    : "the use of the organisation is not known");
}

static void
proceed(struct bg_call *call, enum bg_quota_verdict verdict,
    uint32_t retry_after_ms)
{
	if (verdict == BG_QUOTA_ADMITTED)
		call->admitted(call);
	else
		refuse(call, verdict, retry_after_ms);
}

static void
on_verdict(void *arg, enum bg_quota_verdict verdict, uint32_t retry_after_ms)
{
	struct bg_call *call = arg;

	call->ticket = NULL;
	proceed(call, verdict, retry_after_ms);
}

void
bg_call_admit(struct bg_call *call, void (*next)(struct bg_call *call))
{
	struct bg_quota *quota = call->proxy->quota;
	enum bg_quota_verdict verdict = BG_QUOTA_ADMITTED;
	uint32_t retry_after_ms = 0;

	call->admitted = next;
	if (quota != NULL && call->organisation != NULL)
		verdict = bg_quota_admit(&call->ticket, &retry_after_ms, quota,
		    call->organisation, on_verdict, call);
	if (verdict == BG_QUOTA_PENDING)
		bg_call_arm_deadline(call);
	else
		proceed(call, verdict, retry_after_ms);
}

enum bg_quota_verdict
bg_call_admit_repeat(struct bg_call *call, void (*next)(struct bg_call *call))
{
	enum bg_quota_verdict verdict;
	uint32_t retry_after_ms;

	if (call->proxy->quota == NULL || call->organisation == NULL)
		return BG_QUOTA_ADMITTED;
	call->admitted = next;
	verdict = bg_quota_admit(&call->ticket, &retry_after_ms,
	    call->proxy->quota, call->organisation, on_verdict, call);
	if (verdict == BG_QUOTA_OVER || verdict == BG_QUOTA_NO_OWNER)
		bg_log_info("call", "not repeated request=%s reason=cap",
		    call->args.request_id);
	return verdict;
}
