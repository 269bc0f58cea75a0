#ifndef BG_PROXY_BUFFERS_H
#define BG_PROXY_BUFFERS_H

/** @file
 * Accounting of the bytes of request and response bodies that the node holds
 * for all calls. No I/O; the total is exported as a metric.
 */

#include <stdint.h>

/** Part of the limit up to which new calls are admitted, in permille. The rest
 * is reserved for responses to calls in flight, which can no longer be
 * refused. */
#define BG_BUFFERS_ADMIT_PERMILLE 750

struct bg_buffers {
	uint64_t bytes;
	uint64_t limit_bytes;
};

/** 1 if a call with a body of this many bytes may be admitted. */
int bg_buffers_can_admit(const struct bg_buffers *buf, uint64_t bytes);
void bg_buffers_add(struct bg_buffers *buf, uint64_t bytes);
/** Removes at most the bytes that are held. */
void bg_buffers_remove(struct bg_buffers *buf, uint64_t bytes);

#endif
