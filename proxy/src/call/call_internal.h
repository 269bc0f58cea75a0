#ifndef BG_PROXY_CALL_INTERNAL_H
#define BG_PROXY_CALL_INTERNAL_H

/** @file
 * State of a call, shared by the files that implement its steps.
 */

#include "../metrics/metrics.h"
#include "../proxy_internal.h"
#include "attempt.h"
#include "call.h"
#include "deadline.h"

/** Maximum number of servers excluded from further attempts of a call. */
#define BG_CALL_AVOID_MAX 8
/** Maximum number of gatekeepers tried for a call. Each refusal takes one round
 * trip and reports the load, so a few are enough to find a free slot. */
#define BG_CALL_PICKS_MAX 6

struct bg_call {
	struct bg_proxy *proxy;
	struct bg_call *prev;
	struct bg_call *next;
	struct bg_snapshot *snapshot;
	const struct bg_rule *rule;
	const char *service; /**< owned by the snapshot */
	/** Of the caller; owned by the snapshot. NULL: none, and for calls
	 * that backend servers make. */
	const struct bg_organisation *organisation;
	struct bg_quota_ticket *ticket; /**< waits for admission; NULL: does
					 * not */
	struct bg_xcall_args args;
	struct event *timer; /**< start, then deadline or link polling */
	void (*admitted)(struct bg_call *call); /**< next step after it */
	bg_call_fn fn;
	void *arg;
	struct bg_attempt *attempt;
	struct bg_endpoint *endpoint; /**< of the current attempt */
	char avoid[BG_CALL_AVOID_MAX][BG_ADDRESS_BYTES];
	size_t avoid_count;
	uint32_t picks;	  /**< gatekeepers tried */
	uint32_t sent;	  /**< backend servers that may have received it */
	int may_have_run; /**< one of them did not prove that it refused */
	uint64_t start_us;
	uint64_t deadline_us;
	uint64_t target_us;    /**< 0: no target */
	uint64_t busy_wait_us; /**< shortest reported by a busy gatekeeper; 0:
				  none */
	uint32_t cold_left_ms; /**< of the server that refused it last, or
				  would have; 0: it was warm */
	uint32_t caller_deadline_ms;
	int is_started;
	int is_queueing_allowed;     /**< in the current attempt */
	uint64_t link_wait_start_us; /**< 0: not waiting for a link */
	int is_dependency;
	struct bg_caller caller;
	char *key;		/**< owned copy, until the call is routed */
	uint32_t cost_permille; /**< expected cost, of the route's mean; 0:
				     unknown */
	int is_server_uneven;	/**< a server reported its slowness */
	int cost_trait;		/**< as in struct bg_cost_prediction */
	char picked_version[BG_NAME_BYTES];
};

/** Copies what is known of the caller. @return 0 or BG_ENOMEM */
int bg_call_copy_caller(struct bg_call *call, const struct bg_caller *caller);
/** Erases the copy of the caller's key: one that is no longer needed must not
 * stay in memory. */
void bg_call_erase_key(struct bg_call *call);
/** Checks the caller's key and sets the call's organisation, once its rule is
 * known. Replies at once if the caller may not make the call.
 * @return 0, or -1 if the call has ended */
int bg_call_check_access(struct bg_call *call);
/** Replies to the caller and frees the call. */
void bg_call_reply(struct bg_call *call, const struct bg_call_answer *ans);
/** Replies with a plain-text reason instead of a body and frees the call. */
void bg_call_reply_error(struct bg_call *call, enum bg_xoutcome outcome,
    uint32_t http_status, uint32_t retry_after_ms, const char *reason);
/** Replies that the call was not run, with a Retry-After, and frees the call.
 * If a backend server may have run it, replies BG_XOUTCOME_UNKNOWN instead. */
void bg_call_refuse(struct bg_call *call, enum bg_xrefusal refusal);
/** Refuses a call for which no server is left, and logs if that is because
 * their data centres are emptied. */
void bg_call_refuse_without_server(struct bg_call *call);
/** Replies with the result of the last attempt.
 * @param res NULL if code is not 0 */
void bg_call_reply_result(
    struct bg_call *call, int code, struct bg_xcall_res *res);

/**
 * Admits the call if its organisation is within its cap, else replies.
 *
 * @param next runs once it is admitted, within this function or later
 */
void bg_call_admit(struct bg_call *call, void (*next)(struct bg_call *call));
/**
 * Admits a repeat at a further backend server, which counts against the cap as
 * well. A call that is refused after it waited is replied to.
 *
 * @param next runs once it is admitted, if the verdict is pending
 */
enum bg_quota_verdict bg_call_admit_repeat(
    struct bg_call *call, void (*next)(struct bg_call *call));
/** Ends the call after its deadline, unless the timer is armed anew. */
void bg_call_arm_deadline(struct bg_call *call);

/** Picks the server of the next attempt. @return as bg_router_pick */
int bg_call_pick_server(struct bg_pick *out, struct bg_call *call);
/** Evaluates the servers of the call's service for its next attempt.
 * @param out free() it; NULL if out of memory @return their number */
size_t bg_call_candidates(struct bg_candidate **out, struct bg_call *call);
/** 1 if the picked server is cold and would refuse the call. */
int bg_call_is_hopeless(struct bg_call *call, const struct bg_pick *pick);
/** 1 if ready servers of the call's service are not picked, because operators
 * have emptied their data centre. */
int bg_call_is_emptied(const struct bg_call *call);
/** Excludes a server from further attempts. */
void bg_call_avoid(struct bg_call *call, const char *address);
/** Records the result of the current attempt in the router's state. */
void bg_call_record_attempt(
    struct bg_call *call, int code, const struct bg_xcall_res *res);
/** Time left until the deadline, in microseconds; 0 if it has passed. */
uint64_t bg_call_left_us(const struct bg_call *call);

#endif
