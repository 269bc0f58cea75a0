#ifndef BG_PROXY_COLD_CALL_H
#define BG_PROXY_COLD_CALL_H

/** @file
 * Calls to a service whose servers are cold: when a call is refused without
 * being sent, and when its caller should come back. Pure.
 */

#include <stdint.h>

#include "burdockgrade/clock.h"

#include "../router/router.h"

/** Gatekeepers of cold servers that a call is sent to. Each refusal takes a
 * round trip, and while all servers are cold most others would refuse too. */
#define BG_COLD_PICKS_MAX 2

/**
 * 1 if the call is not worth sending to the picked server, which is the best
 * one: it is cold and may start the call too late for an answer in time, or
 * enough cold servers have refused the call.
 *
 * @param picks servers that the call was sent to
 * @param useful_us time left in which an answer is of use
 */
int bg_cold_call_is_hopeless(
    const struct bg_pick *pick, uint32_t picks, uint64_t useful_us);
/** Time after which a refused caller should come back: spread over the rest of
 * the warm-up, because the servers serve more calls the warmer they are.
 * @param earliest_ms @param cold_left_ms until the servers are warm
 * @param latest_ms end of the spread, if the warm-up takes longer */
uint32_t bg_cold_call_retry_ms(struct bg_rand *rnd, uint64_t earliest_ms,
    uint32_t cold_left_ms, uint32_t latest_ms);

#endif
