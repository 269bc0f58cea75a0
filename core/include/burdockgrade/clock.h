#ifndef BURDOCKGRADE_CLOCK_H
#define BURDOCKGRADE_CLOCK_H

/** @file
 * Clocks, back-off with jitter and a small pseudo-random generator.
 */

#include <stdint.h>

/** Milliseconds of a monotonic clock that also advances while the machine is
 * suspended. */
uint64_t bg_clock_now_ms(void);

/** Microseconds of the same clock. */
uint64_t bg_clock_now_us(void);

/** Milliseconds since the Unix epoch. The wall clock can be set back; use
 * bg_clock_now_ms() to measure intervals. */
uint64_t bg_clock_wall_ms(void);

/** Size of a formatted time with its terminating NUL. */
#define BG_RFC3339_BYTES 32

/** Formats a wall-clock time as RFC 3339 in UTC, rounded down to seconds. */
void bg_clock_format(char out[BG_RFC3339_BYTES], uint64_t wall_ms);

/** SplitMix64 pseudo-random generator; not cryptographically secure. */
struct bg_rand {
	uint64_t state;
};

/** Seeds the generator. Seed 0 requests a random seed from the operating
 * system. */
void bg_rand_init(struct bg_rand *rnd, uint64_t seed);
/** Returns 64 random bits. */
uint64_t bg_rand_next(struct bg_rand *rnd);

/** Returns a value in [0, bound); 0 if bound is 0. */
uint64_t bg_rand_below(struct bg_rand *rnd, uint64_t bound);

/** Exponential back-off with jitter. The ceiling of the delay doubles with each
 * attempt from base_ms to max_ms; a delay is random between half the ceiling
 * and the ceiling. */
struct bg_backoff {
	uint32_t base_ms;
	uint32_t max_ms;
	uint32_t attempt; /**< attempts since the last reset */
};

#define BG_BACKOFF_INIT      \
	{                    \
		100, 5000, 0 \
	}

/** Counts an attempt and returns the delay before the next one, in
 * milliseconds. */
uint32_t bg_backoff_next_ms(struct bg_backoff *bo, struct bg_rand *rnd);
/** Restarts at base_ms, after an attempt succeeded. */
void bg_backoff_reset(struct bg_backoff *bo);

#endif
