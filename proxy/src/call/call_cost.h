#ifndef BG_PROXY_CALL_COST_H
#define BG_PROXY_CALL_COST_H

/** @file
 * What a call will cost its backend server and when a refused one is asked
 * back, by what this node saw of others.
 */

#include "call_internal.h"

/** Predicts the cost of a call and adds it to the arguments for the gatekeeper.
 */
void bg_call_predict_cost(struct bg_call *call);
/** Adds what is known of the cost of a call to the query for its server. */
void bg_call_fill_cost(struct bg_pick_query *out, const struct bg_call *call);
/** Learns the cost of a call from its result. */
void bg_call_learn_cost(struct bg_call *call, const struct bg_xcall_res *res);
/** Counts the end of a call for the share of refused ones. */
void bg_call_record_crest(struct bg_call *call, enum bg_xoutcome outcome);
/** Retry-After of a call whose servers report their slowness, in milliseconds.
 * @param room_ms when a slot is expected to be free */
uint32_t bg_call_come_back_ms(struct bg_call *call, uint32_t room_ms);

#endif
