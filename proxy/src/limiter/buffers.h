#ifndef BG_PROXY_BUFFERS_H
#define BG_PROXY_BUFFERS_H

/** @file
 * Bytes of bodies that the node holds, over all calls. Pure.
 */

#include <stdint.h>

/** Part of the limit up to which new calls are taken; the rest is kept for the
 * answers of calls in flight, which must not be refused any more. */
#define BG_BUFFERS_ADMIT_PERMILLE 750

struct bg_buffers {
	uint64_t bytes;
	uint64_t limit_bytes;
};

/** 1 if a call with this many bytes may be taken. */
int bg_buffers_can_admit(const struct bg_buffers *buf, uint64_t bytes);
void bg_buffers_add(struct bg_buffers *buf, uint64_t bytes);
void bg_buffers_remove(struct bg_buffers *buf, uint64_t bytes);

#endif
