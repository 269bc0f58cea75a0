#ifndef BG_PROXY_DEPENDENCY_H
#define BG_PROXY_DEPENDENCY_H

/** @file
 * Time that a running call spends in its dependency calls. Parallel ones count
 * once. Pure.
 */

#include <stdint.h>

struct bg_dependency_time {
	uint32_t running;
	uint64_t since_us;
	uint64_t total_us;
	int has_failed;
};

void bg_dependency_begin(struct bg_dependency_time *dep, uint64_t now_us);
void bg_dependency_end(
    struct bg_dependency_time *dep, uint64_t now_us, int is_failed);
/** Total minus dependency time, in microseconds. */
uint64_t bg_dependency_own_us(
    const struct bg_dependency_time *dep, uint64_t started_us, uint64_t now_us);

#endif
