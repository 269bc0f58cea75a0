#ifndef BG_PROXY_SHARE_H
#define BG_PROXY_SHARE_H

/** @file
 * Share cap of a new server version: pure counts per route and move step.
 */

#include <stdint.h>

#include "burdockgrade/snapshot.h"

/** Non-idempotent routes go to a new version from this step on: by then the
 * version has answered lookups without a bad verdict. */
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
