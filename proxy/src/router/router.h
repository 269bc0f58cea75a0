#ifndef BG_PROXY_ROUTER_H
#define BG_PROXY_ROUTER_H

/** @file
 * Picks the server of a call: the one with the highest expected value (see
 * value.h). Pure, except for random tie-breaking.
 */

#include "burdockgrade/clock.h"
#include "burdockgrade/emptied.h"
#include "burdockgrade/members.h"

#include "cold.h"
#include "endpoint.h"

/** Round-trip delay before a call starts in another data centre. */
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
	const char *own_address;    /**< of this node; NULL: none */
	uint32_t body_bytes;	    /**< of the request */
	const char *only_version;   /**< NULL: any */
	const char *except_version; /**< NULL: none */
	/** Servers of this version with a bad verdict in the move of
	 * verdict_generation are excluded; NULL: none. */
	const char *verdict_version;
	uint64_t verdict_generation;
	/** Maximum number of candidate servers, in the order of their
	 * addresses; 0: all. A new version gets its share on a subset of its
	 * servers, so that they are as busy as they would be with all calls. */
	uint32_t server_max;
	/** 1 if a call can be sent to the node now; NULL: always. */
	int (*is_reachable)(void *arg, const char *address);
	void *arg;
	const char *const *avoid; /**< addresses that are not picked */
	size_t avoid_count;
	/** Servers in these data centres are not picked; NULL: none. */
	const struct bg_emptied_set *emptied;
	uint64_t now_ms;
	uint64_t wall_ms;	      /**< wall clock */
	struct bg_cold_service cold;  /**< warm-up of the service */
	uint64_t target_us;	      /**< see struct bg_value_input */
	uint64_t left_us;	      /**< see struct bg_value_input */
	uint32_t cost_permille;	      /**< expected cost of the call, of the
					   route's mean; 0: unknown */
	const struct bg_shape *shape; /**< distribution of the service times
					   where servers report their slowness;
					   NULL: unknown */
	double shape_mean;	      /**< as from bg_shape_mean */
};

struct bg_pick {
	const struct bg_member *member;
	struct bg_endpoint *endpoint;
	uint64_t wait_us;	    /**< expected queueing time there */
	uint32_t service_us;	    /**< expected service time there */
	uint32_t baseline_us;	    /**< mean service time at servers of other
				      versions than the picked one; 0: unknown */
	uint32_t cold_left_ms;	    /**< until the server is warm; 0: it is */
	double value;		    /**< as from bg_expected_value */
	uint32_t slowness_permille; /**< expected there; 0: unknown */
	uint64_t work_left_us;	    /**< for each slot there; 0: unknown */
};

/** Why a server is not picked for a call. */
enum bg_exclusion {
	BG_EXCLUSION_NONE,
	BG_EXCLUSION_NOT_READY,	  /**< its node has announced no ready server */
	BG_EXCLUSION_AVOIDED,	  /**< it was tried before */
	BG_EXCLUSION_EMPTIED,	  /**< operators emptied its data centre */
	BG_EXCLUSION_VERSION,	  /**< the move asks for another version */
	BG_EXCLUSION_BAD_VERDICT, /**< its version failed there */
	BG_EXCLUSION_SHARE,	  /**< beyond the servers of a new version that
				       get its share */
	BG_EXCLUSION_UNREACHABLE, /**< no link to its node is up */
	/** Calls to its node failed, or its node takes none for now. Picked
	 * only if there is no other server. */
	BG_EXCLUSION_UNAVAILABLE,
};

/** A server as the router sees it for a call. */
struct bg_candidate {
	enum bg_exclusion exclusion;
	struct bg_pick pick; /**< estimates, unless it is excluded; of an
				unavailable one, too */
};

/** Evaluates the servers of a query as bg_router_pick() does.
 * @param out has room for q->member_count, in their order */
void bg_router_evaluate(struct bg_candidate *out, struct bg_router *rtr,
    const struct bg_pick_query *q);
/** Name of an exclusion, for people. */
const char *bg_exclusion_name(enum bg_exclusion exclusion);
/** Picks the server of a call. @return 0, BG_ENOTFOUND if no server may serve
 *     the call, or BG_EUNAVAILABLE if none of those that may can be reached */
int bg_router_pick(
    struct bg_pick *out, struct bg_router *rtr, const struct bg_pick_query *q);

#endif
