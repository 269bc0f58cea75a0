#ifndef BG_PROXY_GATE_WORK_H
#define BG_PROXY_GATE_WORK_H

/** @file
 * What the gatekeeper learns of the cost of calls and the pace of its backend
 * server, and where it uses it. Without effect while the server does not report
 * the slowness of its machine.
 */

#include "gate_call.h"

/** Sets the expected service time of a call and the rate of starts before the
 * call is admitted. */
void bg_gate_work_prepare(struct bg_gate_call *call);
/** Notes the slowness at the start of a call. */
void bg_gate_work_started(struct bg_gate_call *call);
/** Reads the load that the server reported with a response. */
void bg_gate_work_response(
    struct bg_gate_call *call, const struct bg_exchange_result *rsp);
/** Learns from a call that the server answered, before its slot is freed. */
void bg_gate_work_ended(
    struct bg_gate_call *call, uint64_t own_us, uint64_t now_us);
/** Own time of a call without the slowness of the server's machine, by which a
 * version is judged: its servers have no part in it. */
uint64_t bg_gate_work_own_us(
    const struct bg_gate_call *call, uint64_t own_us, uint64_t now_us);
/** Reports work left and slowness to the caller. */
void bg_gate_work_fill_load(
    struct bg_xcall_res *out, const struct bg_gate_call *call);
/** 1 if calls wait at the backend server by its own report, although the
 * gatekeeper sends it no more than its slots: it then resets connections of
 * those that it has no room for. */
int bg_gate_work_is_full(const struct bg_gatekeeper *gk);
/** 1 if the call is to be handed back to its caller, which will try another
 * server: its answer from here is worth clearly less than from this server at
 * its usual pace, because the machine is slow at this moment. */
int bg_gate_work_hands_back(const struct bg_gate_call *call);
/** Counts and logs that the call is handed back. */
void bg_gate_work_log_hand_back(const struct bg_gate_call *call);

#endif
