#include "tally.h"

#define FIRST_US 64

uint64_t
bg_tally_bucket_us(uint32_t bucket)
{
	uint64_t octave_us = (uint64_t)FIRST_US << (bucket / 2);

	/* 181/128 approximates the square root of two. */
	return bucket % 2 == 0 ? octave_us : octave_us * 181 / 128;
}

uint32_t
bg_tally_bucket(uint32_t own_time_us)
{
	uint32_t i = 0;

	while (i + 1 < BG_TALLY_BUCKETS &&
	    own_time_us >= bg_tally_bucket_us(i + 1))
		i++;
	return i;
}

void
bg_tally_count(
    struct bg_tally *tly, uint32_t own_time_us, int is_failed, int is_slow)
{
	tly->calls++;
	tly->failed += is_failed ? 1 : 0;
	tly->slow += is_slow ? 1 : 0;
	tly->histogram[bg_tally_bucket(own_time_us)]++;
}

void
bg_tally_add(struct bg_tally *tly, const struct bg_tally *more)
{
	uint32_t i;

	tly->calls += more->calls;
	tly->failed += more->failed;
	tly->slow += more->slow;
	for (i = 0; i < BG_TALLY_BUCKETS; i++)
		tly->histogram[i] += more->histogram[i];
}

static uint64_t
difference(uint64_t now, uint64_t before)
{
	return now > before ? now - before : 0;
}

void
bg_tally_delta(struct bg_tally *out, const struct bg_tally *now,
    const struct bg_tally *before)
{
	uint32_t i;

	out->calls = difference(now->calls, before->calls);
	out->failed = difference(now->failed, before->failed);
	out->slow = difference(now->slow, before->slow);
	for (i = 0; i < BG_TALLY_BUCKETS; i++)
		out->histogram[i] =
		    difference(now->histogram[i], before->histogram[i]);
}

void
bg_tally_scale(struct bg_tally *tly, uint32_t num, uint32_t den)
{
	uint32_t i;

	tly->calls = tly->calls * num / den;
	tly->failed = tly->failed * num / den;
	tly->slow = tly->slow * num / den;
	for (i = 0; i < BG_TALLY_BUCKETS; i++)
		tly->histogram[i] = tly->histogram[i] * num / den;
}

uint64_t
bg_tally_above(const struct bg_tally *tly, uint32_t bucket)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = bucket; i < BG_TALLY_BUCKETS; i++)
		sum += tly->histogram[i];
	return sum;
}

uint32_t
bg_tally_quantile(const struct bg_tally *tly, uint32_t permille)
{
	uint64_t total = bg_tally_above(tly, 0);
	uint64_t seen = 0;
	uint32_t i;

	for (i = 0; i < BG_TALLY_BUCKETS; i++) {
		seen += tly->histogram[i];
		if (seen * 1000 >= total * permille)
			return i;
	}
	return BG_TALLY_BUCKETS - 1;
}

uint64_t
bg_tally_total_us(const struct bg_tally *tly)
{
	uint64_t total_us = 0;
	uint32_t i;

	/* A bucket is half an octave wide; its middle is about 6/5 of its
	 * lower end. */
	for (i = 0; i < BG_TALLY_BUCKETS; i++)
		total_us += tly->histogram[i] * bg_tally_bucket_us(i) * 6 / 5;
	return total_us;
}
