#ifndef BG_PROXY_ATTEMPT_H
#define BG_PROXY_ATTEMPT_H

/** @file
 * One attempt to run a call at a gatekeeper, in this process or over a link.
 */

#include "burdockgrade/wire_xdr.h"

/** A link that received nothing for longer is pinged before an idempotent call
 * is sent on it: the network may have dropped the connection silently. */
#define BG_ATTEMPT_IDLE_MAX_MS 500
/** Timeout of such a ping. */
#define BG_ATTEMPT_PING_MS 150
/** Interval of link checks while an idempotent call waits for its answer. */
#define BG_ATTEMPT_LINK_CHECK_MS 100
/** An idempotent call is abandoned once its link was suspect for this long. */
#define BG_ATTEMPT_SUSPECT_MS 150
/** The gatekeeper enforces the deadline; the ingress waits this much longer for
 * its answer to arrive. */
#define BG_ATTEMPT_GRACE_MS 30
/** Queueing time allowed where a free slot is expected. A gatekeeper that turns
 * out to be busy refuses, and the call tries another one. */
#define BG_ATTEMPT_FREE_SLOT_WAIT_MS 5

struct bg_proxy;
struct bg_attempt;

/**
 * @param code 0, or a code of bg_link_reply_fn
 * @param res NULL if code is not 0; valid during the callback
 */
typedef void (*bg_attempt_fn)(void *arg, int code, struct bg_xcall_res *res);

/**
 * Sends a call to the gatekeeper at an address.
 *
 * @param args must stay valid until the callback or bg_attempt_cancel
 * @return 0, or an error; then nothing was sent and the callback does not run
 */
int bg_attempt_start(struct bg_attempt **out, struct bg_proxy *prx,
    const char *address, struct bg_xcall_args *args, bg_attempt_fn fn,
    void *arg);
/** Cancels the call at the gatekeeper; the callback does not run. */
void bg_attempt_cancel(struct bg_attempt *att);
/** 1 if the call may have reached the gatekeeper. */
int bg_attempt_is_sent(const struct bg_attempt *att);

#endif
