#ifndef BG_QUOTA_CANDIDATES_H
#define BG_QUOTA_CANDIDATES_H

/** @file
 * Places slots on nodes: the data centres, in the order of their names, each
 * get a share of the caps in turn, and rendezvous hashing orders the nodes of a
 * data centre for each slot. Pure.
 *
 * Nodes whose rosters differ may order them differently. That costs asks to
 * nodes that do not own the slot, and no more: the store decides who owns it.
 */

#include <stddef.h>
#include <stdint.h>

#include "burdockgrade/members.h"

/** Nodes that look after a slot: the first one owns it as a rule, the others
 * take over when it is gone. */
#define BG_CANDIDATES_MAX 3
#define BG_QUOTA_SHARES_MAX 16

struct bg_candidates {
	char addresses[BG_CANDIDATES_MAX][BG_ADDRESS_BYTES];
	size_t count;
};

/** Candidates for a slot, the first one first. */
void bg_candidates_find(struct bg_candidates *out, const struct bg_roster *ros,
    uint32_t share, uint32_t group);
/** Place of an address, or -1. */
int bg_candidates_rank(const struct bg_candidates *cands, const char *address);
/** Place of an address once another one is gone, or -1. */
int bg_candidates_rank_without(const struct bg_candidates *cands,
    const char *address, const char *gone_address);
/** Share that is placed in a data centre; 0 if the data centre is unknown. */
uint32_t bg_candidates_home_share(
    const struct bg_roster *ros, const char *data_centre, uint32_t shares);
/** Group of an organisation. */
uint32_t bg_candidates_group(const char *organisation, uint32_t groups);

#endif
