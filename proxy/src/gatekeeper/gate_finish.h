#ifndef BG_PROXY_GATE_FINISH_H
#define BG_PROXY_GATE_FINISH_H

/** @file
 * End of a call at the gatekeeper: what its result says about the server, the
 * observation, the reply. Each function replies and frees the call. Internal to
 * the gatekeeper.
 */

#include "gate_call.h"

/** Ends a call that was not admitted, for the reason in call->refusal. */
void bg_gate_finish_refused(struct bg_gate_call *call);
/** Ends a running call that was not sent to the server. */
void bg_gate_finish_not_run(struct bg_gate_call *call, enum bg_xrefusal why);
/** Ends a call that the server may have run.
 * @param http_status 504 after the deadline, else 502
 * @param reason a constant, for the caller */
void bg_gate_finish_unknown(
    struct bg_gate_call *call, uint32_t http_status, const char *reason);
/** Ends a call whose connection was reset by a server that has no room. */
void bg_gate_finish_reset(struct bg_gate_call *call);
/** Ends a call that the server answered. */
void bg_gate_finish_done(
    struct bg_gate_call *call, const struct bg_exchange_result *rsp);

#endif
