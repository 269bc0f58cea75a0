#ifndef BG_STANDIN_RATE_H
#define BG_STANDIN_RATE_H

/** @file
 * Rate limit over the last second, in slots of 100 ms.
 */

#include <stdint.h>

#define RATE_SLOTS 10
#define RATE_SLOT_MS 100

struct rate {
	uint32_t limit; /**< calls a second; 0: none */
	uint32_t slots[RATE_SLOTS];
	uint64_t slot_number; /**< of the latest slot in use */
	uint32_t standing;    /**< waiting calls, counted all the time */
	uint32_t highest;     /**< highest count in any second */
	uint64_t total;
	uint64_t rejected;
};

/** Counts a call. @return 0, or -1 if it is above the limit */
int rate_take(struct rate *rate, uint64_t now_ms);
/** A call that was counted begins to wait. */
void rate_begin_wait(struct rate *rate);
/** A waiting call ends and counts once more in this second. */
void rate_end_wait(struct rate *rate, uint64_t now_ms);

#endif
