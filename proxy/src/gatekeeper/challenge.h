#ifndef BG_PROXY_CHALLENGE_H
#define BG_PROXY_CHALLENGE_H

/** @file
 * Challenge of a backend server that is older than the process of its node. An
 * earlier process may have acknowledged that the server leaves, and the record
 * of that may be lost: a copy at a peer ends with the peer. A ready heartbeat
 * that comes first may have been sent before the server left, so it is refused.
 * A server that is there repeats it with a higher sequence; a delayed heartbeat
 * is not repeated. No I/O.
 */

#include <stdint.h>

#include "burdockgrade/announce.h"

#include "server.h"

struct bg_challenge {
	uint64_t node_started_ms; /**< wall clock time of this process's start
				   */
	/* The last lifetime that was refused; id is empty if there is none. */
	char id[BG_NAME_BYTES];
	uint64_t started_ms;
	uint64_t sequence; /**< highest one that was refused */
};

/** @param node_started_ms wall clock */
void bg_challenge_init(struct bg_challenge *chl, uint64_t node_started_ms);
/**
 * Decides whether an announcement may be applied, or is refused so that the
 * server repeats it.
 *
 * @param srv as known before the announcement, with the record of an earlier
 *     process
 * @return 1 if it may be applied
 */
int bg_challenge_accepts(struct bg_challenge *chl, const struct bg_server *srv,
    const struct bg_announcement *ann);

#endif
