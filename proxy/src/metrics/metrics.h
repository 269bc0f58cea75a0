#ifndef BG_PROXY_METRICS_H
#define BG_PROXY_METRICS_H

/** @file
 * Counters of the proxy for the metrics page.
 */

#include <stdint.h>

#include "burdockgrade/wire_xdr.h"

#define BG_REFUSAL_COUNT (BG_XREFUSAL_UNREACHABLE + 1)

/** Why an answer of the backend server was discarded. */
enum bg_discard {
	BG_DISCARD_FOREIGN,
	BG_DISCARD_UNFRAMED,
	BG_DISCARD_TRUNCATED,
	BG_DISCARD_OVERSIZED,
	BG_DISCARD_COUNT,
};

/** Text of a refusal for the answer. */
const char *bg_refusal_text(enum bg_xrefusal why);
/** Short name of a refusal for logs and metrics. */
const char *bg_refusal_name(enum bg_xrefusal why);

void bg_metrics_call(enum bg_xoutcome outcome, uint64_t took_us);
void bg_metrics_refused(enum bg_xrefusal why);
void bg_metrics_discarded(enum bg_discard why);
void bg_metrics_retry(void);
void bg_metrics_ejected(void);
void bg_metrics_canceled(void);
void bg_metrics_invalid(void);
void bg_metrics_gate(uint32_t running, uint32_t queued, uint32_t limit);
void bg_metrics_buffered(uint64_t bytes);
void bg_metrics_backend_time(uint64_t took_us);
void bg_metrics_queue_time(uint64_t waited_us);

#endif
