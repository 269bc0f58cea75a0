#ifndef BG_PROXY_DELAYS_H
#define BG_PROXY_DELAYS_H

/** @file
 * Measures the round trip to each other data centre by a ping over one link.
 */

#include <event2/event.h>

#include "burdockgrade/link.h"
#include "burdockgrade/mesh.h"

#include "router.h"

/** One measurement of each data centre in this time. */
#define BG_DELAYS_MS 2000

struct bg_delays;

int bg_delays_init(struct bg_delays **out, struct event_base *base,
    struct bg_router *rtr, struct bg_mesh *mesh, struct bg_link_pool *links,
    const char *data_centre);
void bg_delays_free(struct bg_delays *dly);

#endif
