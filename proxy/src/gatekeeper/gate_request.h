#ifndef BG_PROXY_GATE_REQUEST_H
#define BG_PROXY_GATE_REQUEST_H

/** @file
 * The request that a gatekeeper sends to its backend server for a call.
 * Internal to the gatekeeper.
 */

#include "gate_call.h"

/**
 * Sends the call's request.
 *
 * @param left_ms time until the deadline, told to the server
 * @param needs_new_connection 1: not on a connection that was used before
 * @param fn runs with the call once the exchange has ended
 * @return 0, or the error of bg_backend_send()
 */
int bg_gate_request_send(struct bg_gate_call *call, uint32_t left_ms,
    int needs_new_connection, bg_exchange_fn fn);

#endif
