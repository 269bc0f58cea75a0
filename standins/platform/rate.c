#include <string.h>

#include "rate.h"

static void
advance(struct rate *rate, uint64_t now_ms)
{
	uint64_t number = now_ms / RATE_SLOT_MS;

	if (number - rate->slot_number >= RATE_SLOTS) {
		memset(rate->slots, 0, sizeof(rate->slots));
		rate->slot_number = number;
		return;
	}
	while (rate->slot_number < number) {
		rate->slot_number++;
		rate->slots[rate->slot_number % RATE_SLOTS] = 0;
	}
}

static uint32_t
count(const struct rate *rate)
{
	uint32_t sum = rate->standing;
	size_t i;

	for (i = 0; i < RATE_SLOTS; i++)
		sum += rate->slots[i];
	return sum;
}

static void
add(struct rate *rate)
{
	uint32_t sum;

	rate->slots[rate->slot_number % RATE_SLOTS]++;
	if ((sum = count(rate)) > rate->highest)
		rate->highest = sum;
}

int
rate_take(struct rate *rate, uint64_t now_ms)
{
	advance(rate, now_ms);
	if (rate->limit != 0 && count(rate) >= rate->limit) {
		rate->rejected++;
		return -1;
	}
	rate->total++;
	add(rate);
	return 0;
}

void
rate_begin_wait(struct rate *rate)
{
	uint32_t *slot = &rate->slots[rate->slot_number % RATE_SLOTS];

	/* Counted as standing from now on, not twice. */
	if (*slot > 0)
		(*slot)--;
	rate->standing++;
}

void
rate_end_wait(struct rate *rate, uint64_t now_ms)
{
	advance(rate, now_ms);
	rate->standing--;
	add(rate);
}
