#ifndef BG_PROXY_METRICS_H
#define BG_PROXY_METRICS_H

/** @file
 * Metrics of the proxy, exported at /metrics, and the names and texts of
 * refusals.
 */

#include <stdint.h>

#include "burdockgrade/wire_xdr.h"

#define BG_REFUSAL_COUNT (BG_XREFUSAL_UNREACHABLE + 1)

/** Why a response of the backend server was discarded. */
enum bg_discard_reason {
	BG_DISCARD_FOREIGN,   /**< belongs to another request, or to none */
	BG_DISCARD_UNFRAMED,  /**< HTTP forbids its head or its framing */
	BG_DISCARD_TRUNCATED, /**< the connection ended within the response */
	BG_DISCARD_OVERSIZED, /**< above the size limits, or out of memory */
	BG_DISCARD_COUNT,
};

/** Why a connection of a caller was closed for the sake of others. */
enum bg_close_reason {
	BG_CLOSE_STALLED,  /**< moved no byte while memory was short */
	BG_CLOSE_REPLACED, /**< at the limit of connections, for a new one */
	BG_CLOSE_REFUSED,  /**< came at the limit of connections */
	BG_CLOSE_COUNT,
};

/** Text of a refusal for the response to the caller. */
const char *bg_refusal_text(enum bg_xrefusal reason);
/** Short name of a refusal for logs. */
const char *bg_refusal_name(enum bg_xrefusal reason);

/** Counts a call that ended at the ingress and records its duration there. */
void bg_metrics_count_call(enum bg_xoutcome outcome, uint64_t duration_us);
/** Counts a refused call. The ingress and the gatekeeper count their refusals
 * separately. */
void bg_metrics_count_refused(enum bg_xrefusal reason);
void bg_metrics_count_discarded(enum bg_discard_reason reason);
/** Counts a call that is retried at another server. */
void bg_metrics_count_retry(void);
/** Counts a server that is ejected for consecutive failures. */
void bg_metrics_count_ejection(void);
/** Counts a call whose caller disconnected. The ingress and the gatekeeper
 * count it separately. */
void bg_metrics_count_canceled(void);
/** Counts a request that is rejected as invalid or too large. */
void bg_metrics_count_invalid_request(void);
/** Counts a connection that is closed for the sake of others. */
void bg_metrics_count_closed(enum bg_close_reason reason);
/** Sets the gauge of the open connections of callers. */
void bg_metrics_set_connections(uint32_t count);
/** Sets the gauges of the gatekeeper.
 * @param limit adaptive limit of running calls */
void bg_metrics_set_gatekeeper(
    uint32_t running, uint32_t queued, uint32_t limit);
/** Sets the counters of the limiter.
 * @param passed_over starts in which fairness has chosen another call
 * @param held_back times that a slot was left free for urgent calls */
void bg_metrics_set_fairness(uint64_t passed_over, uint64_t held_back);
/** Sets the time for which the backend server stays cold, in ms; 0: it is warm,
 * or its service has no rate for cold servers. */
void bg_metrics_set_cold_left(uint32_t left_ms);
/** Counts that the backend server turned cold. */
void bg_metrics_count_cold_period(void);
/** Counts a call that is refused at the gatekeeper of a cold server. */
void bg_metrics_count_cold_refused(void);
/** Counts a call that is refused at the ingress since all servers are cold. */
void bg_metrics_count_cold_unsent(void);
/** Sets the gauge of the bytes that the node holds for callers. */
void bg_metrics_set_buffered_bytes(uint64_t bytes);
/** Records how long a call ran at the backend server. */
void bg_metrics_observe_backend_time(uint64_t duration_us);
/** Records how long a call waited for a slot. */
void bg_metrics_observe_queue_time(uint64_t duration_us);

#endif
