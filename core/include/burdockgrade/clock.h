#ifndef BURDOCKGRADE_CLOCK_H
#define BURDOCKGRADE_CLOCK_H

/** @file
 * Clocks, back-off with jitter and a small pseudo-random generator.
 */

#include <stdint.h>

/** Milliseconds of the monotonic clock that also counts suspended time. */
uint64_t bg_clock_now_ms(void);

/** Microseconds of the same clock. */
uint64_t bg_clock_now_us(void);

/** Milliseconds since the Unix epoch. For people and for display only. */
uint64_t bg_clock_wall_ms(void);

#define BG_RFC3339_BYTES 32

/** Formats wall-clock milliseconds as RFC 3339 in UTC, whole seconds. */
void bg_clock_format(char out[BG_RFC3339_BYTES], uint64_t wall_ms);

/** State of a pseudo-random generator; not for secrets. */
struct bg_rand {
	uint64_t state;
};

/** Seeds the generator; seed 0 takes one from the operating system. */
void bg_rand_init(struct bg_rand *rnd, uint64_t seed);
uint64_t bg_rand_next(struct bg_rand *rnd);

/** Returns a value in [0, bound); 0 if bound is 0. */
uint64_t bg_rand_below(struct bg_rand *rnd, uint64_t bound);

/** Exponential back-off with full jitter. */
struct bg_backoff {
	uint32_t base_ms;
	uint32_t max_ms;
	uint32_t attempt;
};

#define BG_BACKOFF_INIT      \
	{                    \
		100, 5000, 0 \
	}

/** Returns the next delay in milliseconds and counts the attempt. */
uint32_t bg_backoff_next_ms(struct bg_backoff *bo, struct bg_rand *rnd);
void bg_backoff_reset(struct bg_backoff *bo);

#endif
