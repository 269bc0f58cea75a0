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

struct bg_begin;

struct bg_call {
	struct bg_proxy *proxy;
	struct bg_call *prev;
	struct bg_call *next;
	struct bg_snapshot *snapshot;
	const struct bg_service *service;
	const struct bg_route *route;
	struct bg_xcall_args args;
	struct event *timer; /* start, then the deadline */
	bg_call_fn fn;
	void *arg;
	struct bg_begin *begin; /* NULL: none waits */
	struct bg_attempt *attempt;
	struct bg_endpoint *endpoint;
	char tried[BG_TRIED_MAX][BG_ADDRESS_BYTES];
	uint32_t attempts;
	uint64_t began_us;
	uint64_t attempt_us;
	uint64_t deadline_us;
	uint32_t caller_deadline_ms;
	int is_started;
	int is_dependency;
	int is_gone; /* no one waits for the answer any more */
	enum bg_refusal refusal;
	char picked_version[BG_NAME_BYTES];
	char record_key[BG_KEY_BYTES + 1];
	char *idempotency_key;
};

void bg_call_free(struct bg_call *call);
/** Answers the caller and releases the call. */
void bg_call_reply(struct bg_call *call, const struct bg_call_answer *ans);
void bg_call_reply_error(struct bg_call *call, enum bg_xoutcome outcome,
    uint32_t http_status, uint32_t retry_after_ms, const char *reason);
void bg_call_refuse(struct bg_call *call, enum bg_refusal why);

/** Takes the permission to run a non-idempotent call once. */
void bg_call_step_record(struct bg_call *call);
/** The result of a begin finds no call any more. */
void bg_call_forget_begin(struct bg_call *call);
/** Chooses the server of the next attempt. */
void bg_call_step_pick(struct bg_call *call);
/** Stores the outcome under the key, if a permission was taken. */
void bg_call_finish_record(struct bg_call *call, enum bg_xoutcome outcome,
    const struct bg_call_answer *ans);

int bg_call_pick_server(struct bg_pick *out, struct bg_call *call);
/** Chooses another server after an attempt that ended with code. */
int bg_call_pick_next(struct bg_pick *out, struct bg_call *call, int code);
/** Tells the breaker what an answer says about its server version. */
void bg_call_judge_version(
    struct bg_call *call, const struct bg_xcall_res *res);
/** Tells the router how an attempt ended. */
void bg_call_judge_endpoint(
    struct bg_call *call, int code, const struct bg_xcall_res *res);
int bg_call_wants_retry(
    struct bg_call *call, int code, const struct bg_xcall_res *res);

#endif
