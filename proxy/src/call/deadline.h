#ifndef BG_PROXY_DEADLINE_H
#define BG_PROXY_DEADLINE_H

/** @file
 * Deadline arithmetic, the depth of nested calls and the reuse of idle
 * connections. Pure.
 */

#include <stdint.h>

/** Maximum depth of nested calls; a deeper chain is treated as a loop. */
#define BG_CALL_DEPTH_MAX 8
/** A non-idempotent call is written only to a connection that received bytes
 * within this time; an older one may be dead without notice. */
#define BG_CONNECTION_IDLE_MAX_MS 250
/** A call with less time left is refused, since it could not be completed. */
#define BG_DEADLINE_MIN_MS 2
/** Retry-After of refusals for which there is no better estimate. */
#define BG_RETRY_AFTER_MS 1000

/** The smaller of the route's deadline and the time that the caller has left
 * (0: no limit), in milliseconds. */
uint32_t bg_deadline_effective_ms(uint32_t route_ms, uint32_t caller_ms);
/** Milliseconds left until the deadline; 0 if it has passed. */
uint32_t bg_deadline_left_ms(uint64_t deadline_us, uint64_t now_us);
/** Parses a decimal header value.
 * @param text may be NULL
 * @return default_value if the header is missing or not a valid number */
uint32_t bg_header_u32(const char *text, uint32_t default_value);
/** 1 if a call may be written to a connection that last received bytes idle_ms
 * ago (UINT64_MAX: never). */
int bg_connection_is_reusable(uint64_t idle_ms, int is_idempotent);

#endif
