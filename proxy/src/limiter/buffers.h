#ifndef BG_PROXY_BUFFERS_H
#define BG_PROXY_BUFFERS_H

/** @file
 * Accounting of the bytes that the node holds for callers: heads, bodies of
 * requests and responses, and input that waits for its turn. Each buffer has
 * one owner, which counts it. No I/O; the total is exported as a metric.
 */

#include <stdint.h>

/** Part of the limit up to which new calls are admitted, in permille. The rest
 * is reserved for responses to calls in flight, which can no longer be
 * refused. */
#define BG_BUFFERS_ADMIT_PERMILLE 750
/** Part of the limit up to which bodies are received that are larger than
 * BG_BUFFERS_SMALL_BODY_BYTES. The rest up to BG_BUFFERS_ADMIT_PERMILLE is left
 * to ordinary calls, which have small bodies or none. */
#define BG_BUFFERS_RECEIVE_PERMILLE 700
#define BG_BUFFERS_SMALL_BODY_BYTES 16384
/** Part of the limit above which connections that do not move are closed. */
#define BG_BUFFERS_SHORT_PERMILLE 500

struct bg_buffers {
	uint64_t bytes;
	uint64_t limit_bytes;
};

/** 1 if a call with a body of this many bytes may be admitted. */
int bg_buffers_can_admit(const struct bg_buffers *buf, uint64_t bytes);
/** 1 if a body that is being received may grow.
 * @param body_bytes its length with the added bytes */
int bg_buffers_can_receive(
    const struct bg_buffers *buf, uint64_t body_bytes, uint64_t added_bytes);
/** 1 if less than half of the limit is free. */
int bg_buffers_is_short(const struct bg_buffers *buf);
/** 1 if nothing is left of the limit. */
int bg_buffers_is_full(const struct bg_buffers *buf);
void bg_buffers_add(struct bg_buffers *buf, uint64_t bytes);
/** Removes at most the bytes that are held. */
void bg_buffers_remove(struct bg_buffers *buf, uint64_t bytes);

#endif
