#ifndef BG_PROXY_GATE_WARMUP_H
#define BG_PROXY_GATE_WARMUP_H

/** @file
 * Warm-up of the backend server, as the gatekeeper learns and applies it. The
 * rules are those of ../warmup/warmup.h, which the limiter asks before a call
 * starts. Internal to the gatekeeper.
 */

#include "gate_call.h"

/** @return 0 or BG_ENOMEM */
int bg_gate_warmup_init(struct bg_gatekeeper *gk);
void bg_gate_warmup_free(struct bg_gatekeeper *gk);
/** Applies the warm-up of the service in a new snapshot. */
void bg_gate_warmup_configure(
    struct bg_gatekeeper *gk, const struct bg_service *svc);
/** Applies an accepted announcement of the server.
 * @param is_new_lifetime it is the first one since the server started */
void bg_gate_warmup_announced(struct bg_gatekeeper *gk,
    const struct bg_announcement *ann, int is_new_lifetime);
/** Takes the server for cold until its next announcement. Does nothing if the
 * service has no rate for cold servers.
 * @param reason for the log */
void bg_gate_warmup_doubt(struct bg_gatekeeper *gk, const char *reason);
/** Starts queued calls as soon as the warm-up permits it; called whenever the
 * queue or the limit changed. */
void bg_gate_warmup_schedule(struct bg_gatekeeper *gk);
/** Counts a refusal if the server is cold.
 * @return remaining time of the warm-up in ms, for the log; 0: it is warm */
uint32_t bg_gate_warmup_count_refusal(const struct bg_gatekeeper *gk);
/** Fills what callers learn of the warm-up with each answer. */
void bg_gate_warmup_fill(
    struct bg_xload_extension *out, const struct bg_gatekeeper *gk);

#endif
