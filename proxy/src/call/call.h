#ifndef BG_PROXY_CALL_H
#define BG_PROXY_CALL_H

/** @file
 * A call from a customer or a service, from the ingress to its answer.
 */

#include "burdockgrade/wire_xdr.h"

#include "../access/access.h"

struct bg_proxy;
struct bg_call;

struct bg_call_answer {
	enum bg_xoutcome outcome;
	uint32_t http_status;
	const struct bg_xheader *headers;
	uint32_t header_count;
	const char *body;
	uint32_t body_bytes;
	const char *reason;	 /**< plain text, used without a body */
	uint32_t retry_after_ms; /**< 0: none */
};

/**
 * Called once from the event loop, never from within bg_call_start.
 *
 * @param ans valid during the callback only
 */
typedef void (*bg_call_fn)(void *arg, const struct bg_call_answer *ans);

struct bg_call_options {
	uint32_t deadline_ms;	 /**< time the caller has left; 0: not given */
	int is_dependency;	 /**< sent by the backend server on this VM */
	int is_repeat;		 /**< made by a request that was repeated */
	struct bg_caller caller; /**< its key is copied until the call is
				    routed */
};

/**
 * Starts a call, whose result is given to the callback.
 *
 * @param args with request_id, method, host, path, headers, body and depth set;
 *     its strings are owned by the call, or freed on error
 * @return 0 or BG_ENOMEM
 */
int bg_call_start(struct bg_call **out, struct bg_proxy *prx,
    struct bg_xcall_args *args, const struct bg_call_options *opts,
    bg_call_fn fn, void *arg);
/** Cancels a call whose caller disconnected; the callback does not run. */
void bg_call_cancel(struct bg_call *call);
/** Cancels and frees all calls without running their callbacks. */
void bg_call_free_all(struct bg_proxy *prx);

#endif
