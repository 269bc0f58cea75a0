#ifndef BG_PROXY_CALL_COST_H
#define BG_PROXY_CALL_COST_H

/** @file
 * What a call will cost its backend server, by what this node saw of others.
 */

#include "call_internal.h"

/** Predicts the cost of a call and adds it to the arguments for the gatekeeper.
 */
void bg_call_predict_cost(struct bg_call *call);
/** Adds what is known of the cost of a call to the query for its server. */
void bg_call_fill_cost(struct bg_pick_query *out, const struct bg_call *call);
/** Learns the cost of a call from its result. */
void bg_call_learn_cost(struct bg_call *call, const struct bg_xcall_res *res);

#endif
