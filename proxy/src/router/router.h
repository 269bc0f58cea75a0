#ifndef BG_PROXY_ROUTER_H
#define BG_PROXY_ROUTER_H

/** @file
 * Chooses the server of a call: the one where the call is expected to be worth
 * most. Pure but for its random choice among equals.
 */

#include "burdockgrade/clock.h"
#include "burdockgrade/members.h"

#include "endpoint.h"

/** Delay to another data centre and back, until a call starts there. */
#define BG_REMOTE_DELAY_US 2000

struct bg_router {
	struct bg_endpoints endpoints;
	struct bg_rand rand;
};

void bg_router_init(struct bg_router *out, uint64_t seed);
void bg_router_free(struct bg_router *rtr);

struct bg_pick_query {
	const struct bg_member *members; /**< of the service */
	size_t member_count;
	const char *route;
	const char *data_centre;    /**< of this node */
	const char *only_version;   /**< NULL: any */
	const char *except_version; /**< NULL: none */
	/** Servers of this version that were found bad in this move are left
	 * out; NULL: none. */
	const char *verdict_version;
	uint64_t verdict_generation;
	/** Servers that may be chosen from, in the order of their addresses; 0:
	 * all. A new version gets its share on few servers, so that they are
	 * as busy as they would be with all calls. */
	uint32_t server_max;
	/** 1 if a call can be sent to the node now; NULL: always. */
	int (*is_reachable)(void *arg, const char *address);
	void *arg;
	const char *const *avoid; /**< addresses that are not chosen */
	size_t avoid_count;
	uint64_t now_ms;
	uint64_t target_us; /**< left; see struct bg_value_input */
	uint64_t left_us;
};

struct bg_pick {
	const struct bg_member *member;
	struct bg_endpoint *endpoint;
	uint64_t wait_us;     /**< expected until the call starts there */
	uint32_t service_us;  /**< expected time of the call there */
	uint32_t baseline_us; /**< average time at servers of other versions
				than the chosen one; 0: unknown */
	double value;
};

/** @return 0, BG_ENOTFOUND without any server that may serve the call, or
 *     BG_EUNAVAILABLE if there are such servers but none can be reached */
int bg_router_pick(
    struct bg_pick *out, struct bg_router *rtr, const struct bg_pick_query *q);

#endif
