#ifndef BG_PROXY_ATTEMPT_H
#define BG_PROXY_ATTEMPT_H

/** @file
 * One attempt of a call at one gatekeeper: in this process or over a link.
 */

#include "burdockgrade/wire_xdr.h"

/** A link that was silent for longer is pinged before an idempotent call is
 * sent on it: the network may have forgotten it. */
#define BG_ATTEMPT_IDLE_MAX_MS 500
/** Time allowed for the answer of such a ping. */
#define BG_ATTEMPT_PING_MS 150
/** Interval of looking at the link while an idempotent call waits. */
#define BG_ATTEMPT_LINK_CHECK_MS 100
/** An idempotent call leaves a link that was suspect for this long. */
#define BG_ATTEMPT_SUSPECT_MS 150
/** The gatekeeper keeps the deadline; this is added for its answer to arrive
 * before the ingress gives up. */
#define BG_ATTEMPT_GRACE_MS 30

struct bg_proxy;
struct bg_attempt;

/**
 * @param code 0, or a code of bg_link_reply_fn
 * @param res NULL if code is not 0; valid during the callback
 */
typedef void (*bg_attempt_fn)(void *arg, int code, struct bg_xcall_res *res);

/**
 * @param args valid until the callback or the cancel
 * @return 0; otherwise nothing was sent and the callback does not run
 */
int bg_attempt_start(struct bg_attempt **out, struct bg_proxy *prx,
    const char *address, struct bg_xcall_args *args, bg_attempt_fn fn,
    void *arg);
/** Tells the gatekeeper that nobody waits; the callback does not run. */
void bg_attempt_cancel(struct bg_attempt *att);
/** 1 if the call may have left for the gatekeeper. */
int bg_attempt_is_sent(const struct bg_attempt *att);

#endif
