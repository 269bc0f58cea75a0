#ifndef BG_PROXY_CALL_H
#define BG_PROXY_CALL_H

/** @file
 * One call of a customer or a service, from the ingress to its answer.
 */

#include "burdockgrade/wire_xdr.h"

struct bg_proxy;
struct bg_call;

struct bg_call_answer {
	enum bg_xoutcome outcome;
	uint32_t http_status;
	const struct bg_xheader *headers;
	uint32_t header_count;
	const char *body;
	uint32_t body_bytes;
	const char *reason;	 /**< plain text, if there is no body */
	uint32_t retry_after_ms; /**< 0: none */
};

/** Runs once from the loop, never within bg_call_start. */
typedef void (*bg_call_fn)(void *arg, const struct bg_call_answer *ans);

struct bg_call_options {
	uint32_t deadline_ms; /**< left to the caller, 0: not stated */
	int is_dependency;    /**< the backend server on this VM calls */
};

/**
 * Starts a call.
 *
 * @param args request_id, method, host, path, headers, body and depth are set;
 *     taken over, also on error
 */
int bg_call_start(struct bg_call **out, struct bg_proxy *prx,
    struct bg_xcall_args *args, const struct bg_call_options *opts,
    bg_call_fn fn, void *arg);
/** The caller is gone; the callback does not run. */
void bg_call_cancel(struct bg_call *call);
/** Frees calls whose caller is not told any more. */
void bg_call_free_all(struct bg_proxy *prx);

#endif
