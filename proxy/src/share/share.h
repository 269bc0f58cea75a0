#ifndef BG_PROXY_SHARE_H
#define BG_PROXY_SHARE_H

/** @file
 * Caps the share of calls that a new server version gets, with counts per route
 * and move step. Pure.
 */

#include <stdint.h>

#include "burdockgrade/snapshot.h"

/** Calls of non-idempotent routes go to a new version only from this share on:
 * by then, it has answered idempotent calls without a bad verdict. */
#define BG_SHARE_NON_IDEMPOTENT_PERMILLE 250

struct bg_share_entry;

struct bg_share {
	struct bg_share_entry *entries;
};

void bg_share_init(struct bg_share *out);
void bg_share_free(struct bg_share *shr);

/** 1 if one more call of the route may go to the new version of the move. */
int bg_share_allows(const struct bg_share *shr, const char *service,
    const struct bg_rule *route, const struct bg_move *move);
/** Counts a call that is being sent. @return 0 or BG_ENOMEM */
int bg_share_count(struct bg_share *shr, const char *service,
    const struct bg_rule *route, const struct bg_move *move, int is_new);

#endif
