#ifndef BG_PROXY_METRICS_H
#define BG_PROXY_METRICS_H

/** @file
 * Counters of the proxy for the metrics page.
 */

#include <stdint.h>

#include "burdockgrade/wire_xdr.h"

#define BG_REFUSAL_COUNT (BG_XREFUSAL_UNREACHABLE + 1)

/** Why an answer of the backend server was discarded. */
enum bg_discard_reason {
	BG_DISCARD_FOREIGN,
	BG_DISCARD_UNFRAMED,
	BG_DISCARD_TRUNCATED,
	BG_DISCARD_OVERSIZED,
	BG_DISCARD_COUNT,
};

/** Text of a refusal for the answer. */
const char *bg_refusal_text(enum bg_xrefusal reason);
/** Short name of a refusal for logs and metrics. */
const char *bg_refusal_name(enum bg_xrefusal reason);

void bg_metrics_count_call(enum bg_xoutcome outcome, uint64_t duration_us);
void bg_metrics_count_refused(enum bg_xrefusal reason);
void bg_metrics_count_discarded(enum bg_discard_reason reason);
void bg_metrics_count_retry(void);
void bg_metrics_count_ejection(void);
void bg_metrics_count_canceled(void);
void bg_metrics_count_invalid_request(void);
void bg_metrics_set_gatekeeper(
    uint32_t running, uint32_t queued, uint32_t limit);
void bg_metrics_set_buffered_bytes(uint64_t bytes);
void bg_metrics_observe_backend_time(uint64_t duration_us);
void bg_metrics_observe_queue_time(uint64_t duration_us);

#endif
