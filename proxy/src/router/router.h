#ifndef BG_PROXY_ROUTER_H
#define BG_PROXY_ROUTER_H

/** @file
 * Chooses the backend server of a call. Pure: time, roster and move state are
 * parameters.
 */

#include "burdockgrade/clock.h"
#include "burdockgrade/members.h"
#include "burdockgrade/snapshot.h"

#include "../breaker/breaker.h"
#include "../share/share.h"
#include "endpoint.h"

/** A server takes its full part of the calls after this time. */
#define BG_SLOW_START_MS 10000
/** Dead members are candidates of last resort this long. */
#define BG_DEAD_USABLE_MS 600000
/** Load of a server, in permille of its slots, from which on other data
 * centres are compared with the own one. */
#define BG_SPILL_PERMILLE 800
/** Round trip to another data centre before one was measured. */
#define BG_DELAY_DEFAULT_US 3000
/** Servers that one call tries at most. */
#define BG_TRIED_MAX 4

struct bg_delay;
struct bg_candidate;

struct bg_router {
	struct bg_endpoints endpoints;
	struct bg_delay *delays;
	struct bg_rand rand;
	struct bg_candidate *scratch;
	size_t scratch_count;
};

struct bg_pick_query {
	const struct bg_member *members; /**< of the service */
	size_t member_count;
	const struct bg_service *service;
	const struct bg_route *route;
	const char *data_centre; /**< of this node */
	const struct bg_share *share;
	const struct bg_breaker *breaker;
	const char *tried[BG_TRIED_MAX]; /**< addresses not to be used again */
	size_t tried_count;
	uint64_t now_ms;
	uint64_t wall_ms;
};

struct bg_pick {
	const struct bg_member *member;
	struct bg_endpoint *endpoint;
	int is_new; /**< counts against the share cap */
};

void bg_router_init(struct bg_router *out, uint64_t seed);
void bg_router_free(struct bg_router *rtr);

/** @return 0, BG_ENOTFOUND if no server may be used, or BG_ENOMEM */
int bg_router_pick(
    struct bg_pick *out, struct bg_router *rtr, const struct bg_pick_query *q);

/** Records a measured round trip to a data centre. */
int bg_router_delay(
    struct bg_router *rtr, const char *data_centre, uint64_t rtt_us);

#endif
