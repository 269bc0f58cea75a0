#ifndef BG_PROXY_COST_METRICS_H
#define BG_PROXY_COST_METRICS_H

/** @file
 * Metrics of what is predicted of costs and servers, exported at /metrics.
 */

#include <stdint.h>

#include "pace.h"

/** Compares the time that a call was expected to hold a slot with the time that
 * it did. @param expected_us 0: unknown, nothing is counted */
void bg_cost_metrics_observe_slot_time(uint64_t expected_us, uint64_t slot_us);
/** Sets the gauges of the backend server.
 * @param work_left_us for each slot */
void bg_cost_metrics_set_server(uint32_t work_left_us,
    uint32_t slowness_permille, const struct bg_pace *pace);
/** Counts a load header that could not be read. */
void bg_cost_metrics_count_invalid_load(void);
/** Counts a call that was handed back to its caller. */
void bg_cost_metrics_count_handed_back(void);
/** Counts a connection that the server reset because it was full. */
void bg_cost_metrics_count_full_reset(void);

#endif
