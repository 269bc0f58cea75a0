#ifndef BG_PROXY_DEPENDENCY_H
#define BG_PROXY_DEPENDENCY_H

/** @file
 * Time that a running call waits for its dependency calls. Overlapping ones
 * are not counted twice. No I/O; the caller passes the time.
 */

#include <stdint.h>

struct bg_dependency_time {
	uint32_t running;  /**< dependency calls in flight */
	uint64_t since_us; /**< start of the current period in flight */
	uint64_t total_us; /**< of the earlier periods */
	int has_failed;	   /**< one of them failed */
};

void bg_dependency_begin(struct bg_dependency_time *dep, uint64_t now_us);
void bg_dependency_end(
    struct bg_dependency_time *dep, uint64_t now_us, int is_failed);
/** Time since the start of the call without its dependency time, in
 * microseconds. */
uint64_t bg_dependency_own_us(
    const struct bg_dependency_time *dep, uint64_t started_us, uint64_t now_us);

#endif
