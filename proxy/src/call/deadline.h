#ifndef BG_PROXY_DEADLINE_H
#define BG_PROXY_DEADLINE_H

/** @file
 * Deadline arithmetic, call depth and the freshness of connections. Pure.
 */

#include <stdint.h>

/** Calls in a chain; a longer chain is taken for a loop. */
#define BG_CALL_DEPTH_MAX 8
/** A non-idempotent call is written only to a connection that received bytes
 * within this time; an older one may be silently dead. */
#define BG_CONNECTION_IDLE_MAX_MS 250
/** Below this nothing useful can be done for a call. */
#define BG_DEADLINE_MIN_MS 2
/** Retry-After of refusals without a better figure. */
#define BG_RETRY_AFTER_MS 1000

/** Smaller of the route's deadline and what the caller still has (0: no
 * limit), in milliseconds. */
uint32_t bg_deadline_effective_ms(uint32_t route_ms, uint32_t caller_ms);
/** Milliseconds left at now; 0 if it passed. */
uint32_t bg_deadline_left_ms(uint64_t deadline_us, uint64_t now_us);
/** Parses a decimal header; absent or invalid gives the default. */
uint32_t bg_header_u32(const char *text, uint32_t default_value);
/** 1 if a call may be written to a connection that received bytes
 * silence_ms ago (UINT64_MAX: never). */
int bg_connection_is_reusable(uint64_t idle_ms, int is_idempotent);

#endif
