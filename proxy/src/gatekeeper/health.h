#ifndef BG_PROXY_HEALTH_H
#define BG_PROXY_HEALTH_H

/** @file
 * Probes the backend server and announces its state and version.
 */

#include <event2/event.h>

#include "burdockgrade/mesh.h"
#include "burdockgrade/settings.h"

struct bg_health;

int bg_health_init(struct bg_health **out, struct event_base *base,
    const struct bg_settings *settings, struct bg_mesh *mesh,
    struct bg_error *err);
void bg_health_free(struct bg_health *hlt);
/** A real call was answered; version may be NULL. */
void bg_health_answered(struct bg_health *hlt, const char *version);
/** A connection was refused: probes at once. */
void bg_health_suspect(struct bg_health *hlt);
/** No state is announced any more: the node itself drains. */
void bg_health_stop(struct bg_health *hlt);
int bg_health_is_ready(const struct bg_health *hlt);
/** Wall clock of the last change to ready, or 0. */
uint64_t bg_health_ready_since_ms(const struct bg_health *hlt);
/** Version of the backend server, from the settings or a probe. */
const char *bg_health_version(const struct bg_health *hlt);

#endif
