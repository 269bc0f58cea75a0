#ifndef BG_PROXY_BODY_H
#define BG_PROXY_BODY_H

/** @file
 * Receipt of a large request body from another node, in pieces that the
 * gatekeeper asks for (see intake.h). Internal to the gatekeeper.
 */

#include "gate_call.h"

/** Body size from which a body is sent in pieces. Smaller ones are part of the
 * CALL: a round trip to ask for them would cost more than they do. */
#define BG_BODY_INLINE_MAX_BYTES 8192

/** Admits a call whose body follows, or refuses it. */
void bg_gate_body_begin(struct bg_gate_call *call);
/** Handles a BODY message. */
void bg_gate_body_handle(void *arg, struct bg_rpc *rpc, void *data);
/** Ends the receipt of a body whose next piece did not come, or could not be
 * asked for, in time. */
void bg_gate_body_expire(struct bg_gate_call *call);
/** Asks for pieces of bodies as long as the link has room for them. */
void bg_gate_body_pump(struct bg_gatekeeper *gk);

#endif
