#ifndef BG_PROXY_SPLIT_H
#define BG_PROXY_SPLIT_H

/** @file
 * Splits the calls of a route among services by weight, with smooth weighted
 * round robin: after any number of calls, each service is within one call of
 * its share. Pure, except for a random start.
 */

#include "burdockgrade/clock.h"
#include "burdockgrade/snapshot.h"

struct bg_split_route;

struct bg_split {
	struct bg_split_route *routes;
	struct bg_rand rand;
};

void bg_split_init(struct bg_split *out, uint64_t seed);
void bg_split_free(struct bg_split *spl);
/** Picks the service of the next call. */
const char *bg_split_next(struct bg_split *spl, const struct bg_rule *rule);

#endif
