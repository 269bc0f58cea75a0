#include <sys/random.h>

#include <stdio.h>
#include <time.h>

#include "burdockgrade/clock.h"

/* Increment of the state: 2^64 divided by the golden ratio, made odd. */
#define SPLITMIX64_GAMMA 0x9e3779b97f4a7c15ULL

static uint64_t
read_clock_us(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

uint64_t
bg_clock_now_ms(void)
{
	return read_clock_us(CLOCK_BOOTTIME) / 1000;
}

uint64_t
bg_clock_now_us(void)
{
	return read_clock_us(CLOCK_BOOTTIME);
}

uint64_t
bg_clock_wall_ms(void)
{
	return read_clock_us(CLOCK_REALTIME) / 1000;
}

void
bg_clock_format(char out[BG_RFC3339_BYTES], uint64_t wall_ms)
{
	time_t t = (time_t)(wall_ms / 1000);
	struct tm tm;

	gmtime_r(&t, &tm);
	strftime(out, BG_RFC3339_BYTES, "%Y-%m-%dT%H:%M:%SZ", &tm);
}

void
bg_rand_init(struct bg_rand *rnd, uint64_t seed)
{
	rnd->state = seed;
	if (seed == 0 &&
	    getrandom(&rnd->state, sizeof(rnd->state), 0) !=
		(ssize_t)sizeof(rnd->state))
		rnd->state = bg_clock_now_us();
}

uint64_t
bg_rand_next(struct bg_rand *rnd)
{
	uint64_t z;

	rnd->state += SPLITMIX64_GAMMA;
	z = rnd->state;
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

uint64_t
bg_rand_below(struct bg_rand *rnd, uint64_t bound)
{
	return bound == 0 ? 0 : bg_rand_next(rnd) % bound;
}

uint32_t
bg_backoff_next_ms(struct bg_backoff *bo, struct bg_rand *rnd)
{
	uint32_t shift = bo->attempt < 16 ? bo->attempt : 16;
	uint64_t ceiling = (uint64_t)bo->base_ms << shift;

	bo->attempt++;
	if (ceiling > bo->max_ms)
		ceiling = bo->max_ms;
	return (uint32_t)(ceiling / 2 + bg_rand_below(rnd, ceiling / 2 + 1));
}

void
bg_backoff_reset(struct bg_backoff *bo)
{
	bo->attempt = 0;
}
