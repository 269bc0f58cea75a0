#ifndef BG_PROXY_BREAKER_H
#define BG_PROXY_BREAKER_H

/** @file
 * Server versions that this node does not use: by a mark of the mesh or by its
 * own finding that the new version of a move plainly fails. Pure.
 */

#include <stdint.h>

#include "burdockgrade/snapshot.h"

/** Results of a version that are looked at. */
#define BG_BREAKER_WINDOW 5
/** Failures among them that stop the version. */
#define BG_BREAKER_FAILURES 3
/** Failures of the old version above which its servers do not count as
 * healthy, so that a fault common to both versions stops neither. */
#define BG_BREAKER_OLD_FAILURES 1

struct bg_ban;
struct bg_breaker_service;

struct bg_breaker {
	struct bg_ban *bans;
	struct bg_breaker_service *services;
};

void bg_breaker_init(struct bg_breaker *out);
void bg_breaker_free(struct bg_breaker *brk);

/** Stops a version up to and including a move generation. */
int bg_breaker_ban(struct bg_breaker *brk, const char *service,
    const char *version, uint64_t generation);
int bg_breaker_is_banned(const struct bg_breaker *brk, const char *service,
    const char *version, uint64_t generation);

/**
 * Counts the result of a call that ran. Dependency faults are not counted by
 * the caller.
 *
 * @return 1 if the new version was stopped by this result
 */
int bg_breaker_result(struct bg_breaker *brk, const char *service,
    const struct bg_move *move, const char *version, int is_failed);

#endif
