#ifndef BG_PROXY_EMPTYING_H
#define BG_PROXY_EMPTYING_H

/** @file
 * Admission of calls at the gatekeeper while operators empty its data centre.
 * Internal to the gatekeeper.
 */

#include "gate_call.h"

/** Reason to refuse a call before it is sent to the backend server, or
 * BG_XREFUSAL_NONE. An emptied data centre is reported as draining, which nodes
 * of earlier builds know. */
enum bg_xrefusal bg_gate_emptying_refusal(const struct bg_gatekeeper *gk);
/** A running call has ended. */
void bg_gate_emptying_handle_end(struct bg_gatekeeper *gk);

#endif
