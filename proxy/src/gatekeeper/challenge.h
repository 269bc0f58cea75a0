#ifndef BG_PROXY_CHALLENGE_H
#define BG_PROXY_CHALLENGE_H

/** @file
 * Challenge of a backend server that is older than the process of its node. An
 * earlier process may have acknowledged that the server leaves, and the record
 * of that may be lost: a copy at a peer ends with the peer. A ready heartbeat
 * that comes first may have been sent before the server left, so it is refused.
 * A server that is there repeats it with a higher sequence. A second delayed
 * heartbeat looks like that, so the server is asked for its status before it is
 * used. No I/O; the caller passes the time.
 */

#include <stdint.h>

#include "burdockgrade/announce.h"

#include "server.h"

enum bg_challenge_result {
	BG_CHALLENGE_ACCEPTED, /**< the announcement may be applied */
	BG_CHALLENGE_REFUSED,  /**< the server has to repeat it */
	/** It is a repeated one; the status of the server decides. */
	BG_CHALLENGE_ASK_SERVER,
};

struct bg_challenge {
	uint64_t node_started_ms; /**< wall clock time of this process's start
				   */
	/* The last lifetime that was refused; id is empty if there is none. */
	char id[BG_NAME_BYTES];
	uint64_t started_ms;
	uint64_t sequence;   /**< of the one that was refused first */
	uint64_t refused_ms; /**< monotonic time of that */
	int is_confirmed;    /**< the server said that it serves */
};

/** @param node_started_ms wall clock */
void bg_challenge_init(struct bg_challenge *chl, uint64_t node_started_ms);
/**
 * Decides about an announcement before it is applied.
 *
 * @param srv as known before the announcement, with the record of an earlier
 *     process
 * @param now_ms monotonic clock
 */
enum bg_challenge_result bg_challenge_check(struct bg_challenge *chl,
    const struct bg_server *srv, const struct bg_announcement *ann,
    uint64_t now_ms);
/** Notes that the server of this announcement said that it serves. */
void bg_challenge_confirm(
    struct bg_challenge *chl, const struct bg_announcement *ann);

#endif
