#ifndef BG_PROXY_CALL_INTERNAL_H
#define BG_PROXY_CALL_INTERNAL_H

/** @file
 * State of a call and what its files share.
 */

#include "../metrics/metrics.h"
#include "../proxy_internal.h"
#include "attempt.h"
#include "call.h"
#include "deadline.h"

/** Servers that are not tried again in one call. */
#define BG_CALL_AVOID_MAX 8
/** Gatekeepers that are asked for one call. Each refusal takes one round trip
 * and tells the load, so a few are enough to find a free slot. */
#define BG_CALL_PICKS_MAX 6

struct bg_call {
	struct bg_proxy *proxy;
	struct bg_call *prev;
	struct bg_call *next;
	struct bg_snapshot *snapshot;
	const struct bg_rule *rule;
	const char *service; /**< of the snapshot */
	struct bg_xcall_args args;
	struct event *timer; /**< start, then the deadline or a wait */
	bg_call_fn fn;
	void *arg;
	struct bg_attempt *attempt;
	struct bg_endpoint *endpoint; /**< of the attempt */
	char avoid[BG_CALL_AVOID_MAX][BG_ADDRESS_BYTES];
	size_t avoid_count;
	uint32_t picks;	  /**< gatekeepers asked */
	uint32_t sent;	  /**< backend servers that may have received it */
	int may_have_run; /**< of them, one did not prove that it refused */
	uint64_t start_us;
	uint64_t deadline_us;
	uint64_t target_us;    /**< 0: none */
	uint64_t busy_wait_us; /**< shortest wait that a busy gatekeeper told */
	uint32_t caller_deadline_ms;
	int is_started;
	int is_queueing_allowed; /**< of the attempt: not just a free slot */
	uint64_t link_wait_start_us; /**< for a link; 0: it does not wait */
	int is_dependency;
	char picked_version[BG_NAME_BYTES];
};

/** Answers the caller and releases the call. */
void bg_call_reply(struct bg_call *call, const struct bg_call_answer *ans);
void bg_call_reply_error(struct bg_call *call, enum bg_xoutcome outcome,
    uint32_t http_status, uint32_t retry_after_ms, const char *reason);
/** Answers that the call was not run and when to come back. */
void bg_call_refuse(struct bg_call *call, enum bg_xrefusal refusal);

/** Chooses the server of the next attempt. @return as bg_router_pick */
int bg_call_pick_server(struct bg_pick *out, struct bg_call *call);
/** Leaves a server out of the further choice. */
void bg_call_avoid(struct bg_call *call, const char *address);
/** Tells the router how an attempt ended. */
void bg_call_record_attempt(
    struct bg_call *call, int code, const struct bg_xcall_res *res);
/** Time left, in microseconds. */
uint64_t bg_call_left_us(const struct bg_call *call);

#endif
