#ifndef BG_PROXY_CANDIDATES_H
#define BG_PROXY_CANDIDATES_H

/** @file
 * The servers that a call may go to, before load is considered.
 */

#include "router.h"

struct bg_candidate {
	const struct bg_member *member;
	struct bg_endpoint *endpoint;
	int is_local;
};

/**
 * Selects by state, server version, share cap, previous attempts and ejection.
 *
 * @param out at least q->member_count entries
 * @param out_is_new 1 if the selection is the new version of a move
 * @return number of candidates
 */
size_t bg_candidates_select(struct bg_candidate *out, int *out_is_new,
    struct bg_router *rtr, const struct bg_pick_query *q);

#endif
