#ifndef BG_VERDICT_TALLY_H
#define BG_VERDICT_TALLY_H

#include <stdint.h>

/** Half-octave latency buckets: bucket i starts at 64 us * 2^(i/2). */
#define BG_TALLY_BUCKETS 40

/** Counts of calls of one backend server version on one route. */
struct bg_tally {
	uint64_t calls;
	uint64_t failed;
	uint64_t slow;			      /**< above the route's slow_ms */
	uint64_t histogram[BG_TALLY_BUCKETS]; /**< of own time */
};

/** Returns the bucket of a latency. */
uint32_t bg_tally_bucket(uint32_t own_time_us);
/** Lowest latency of a bucket. */
uint64_t bg_tally_bucket_us(uint32_t bucket);

void bg_tally_count(
    struct bg_tally *tly, uint32_t own_time_us, int is_failed, int is_slow);
void bg_tally_add(struct bg_tally *tly, const struct bg_tally *more);
/** out = now - before; zero where a counter went back. */
void bg_tally_delta(struct bg_tally *out, const struct bg_tally *now,
    const struct bg_tally *before);
/** Multiplies all counts by num / den, so that old calls weigh less. */
void bg_tally_scale(struct bg_tally *tly, uint32_t num, uint32_t den);
/** Estimated sum of the own times, from the middle of each bucket. */
uint64_t bg_tally_total_us(const struct bg_tally *tly);
/** Calls at or above a bucket. */
uint64_t bg_tally_above(const struct bg_tally *tly, uint32_t bucket);
/** Bucket that holds the given quantile. @param permille 900 is p90 */
uint32_t bg_tally_quantile(const struct bg_tally *tly, uint32_t permille);

#endif
