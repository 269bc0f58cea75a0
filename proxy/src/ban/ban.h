#ifndef BG_PROXY_BAN_H
#define BG_PROXY_BAN_H

/** @file
 * Server versions that this node does not use because they were found bad.
 * Pure.
 */

#include <stdint.h>

#include "burdockgrade/contract.h"

struct bg_ban;

struct bg_bans {
	struct bg_ban *by_version;
};

void bg_bans_init(struct bg_bans *out);
void bg_bans_free(struct bg_bans *bans);

/** Bans a version up to and including a move generation.
 * @return 0 or BG_ENOMEM */
int bg_bans_add(struct bg_bans *bans, const char *service, const char *version,
    uint64_t generation);
/** 1 if the version is banned in the move generation. */
int bg_bans_has(const struct bg_bans *bans, const char *service,
    const char *version, uint64_t generation);

#endif
