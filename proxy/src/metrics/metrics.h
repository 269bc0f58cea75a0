#ifndef BG_PROXY_METRICS_H
#define BG_PROXY_METRICS_H

/** @file
 * Counters of the proxy for the metrics page.
 */

#include <stdint.h>

#include "burdockgrade/wire_xdr.h"

/** Why a call was refused without running. */
enum bg_refusal {
	BG_REFUSAL_UNSYNCED,
	BG_REFUSAL_NO_SERVER,
	BG_REFUSAL_QUEUE_FULL,
	BG_REFUSAL_DEADLINE,
	BG_REFUSAL_EVICTED,
	BG_REFUSAL_DRAINING,
	BG_REFUSAL_RECORD,
	BG_REFUSAL_BUFFERS,
	BG_REFUSAL_DEPTH,
	BG_REFUSAL_NO_BACKEND,
	BG_REFUSAL_COUNT,
};

/** Why an answer of the backend server was discarded. */
enum bg_discard {
	BG_DISCARD_FOREIGN,
	BG_DISCARD_UNFRAMED,
	BG_DISCARD_TRUNCATED,
	BG_DISCARD_OVERSIZED,
	BG_DISCARD_COUNT,
};

/** Text of a refusal for the answer and for logs. */
const char *bg_refusal_text(enum bg_refusal why);

void bg_metrics_call(enum bg_xoutcome outcome, uint64_t took_us);
void bg_metrics_refused(enum bg_refusal why);
void bg_metrics_discarded(enum bg_discard why);
void bg_metrics_retry(void);
void bg_metrics_ejected(void);
void bg_metrics_stopped(void);
void bg_metrics_canceled(void);
void bg_metrics_invalid(void);
void bg_metrics_gate(uint32_t running, uint32_t queued, uint32_t limit);
void bg_metrics_buffered(uint64_t bytes);
void bg_metrics_backend_time(uint64_t took_us);

#endif
