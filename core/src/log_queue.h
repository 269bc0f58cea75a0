#ifndef BG_CORE_LOG_QUEUE_H
#define BG_CORE_LOG_QUEUE_H

/** @file
 * Bounded queue of log lines in front of a descriptor. Never blocks: lines that
 * do not fit are dropped and counted. Part of the queue is reserved for lines
 * of high priority. Does no formatting.
 */

#include <stddef.h>
#include <stdint.h>

/** Size of the queue: about one second of log output of a busy node. */
#define BG_LOG_QUEUE_BYTES 16384

struct bg_log_queue {
	char buffer[BG_LOG_QUEUE_BYTES]; /**< ring buffer */
	size_t head;		  /**< offset of the next byte to write */
	size_t used;		  /**< bytes queued */
	uint64_t window_start_ms; /**< start of the rate limit's window */
	uint32_t window_lines;	  /**< lines queued in the window */
	uint64_t dropped_lines;	  /**< since the last call of
				       bg_log_queue_take_dropped() */
};

/**
 * Queues a line, or drops and counts it if the queue is full or the rate limit
 * is exceeded.
 *
 * @param line text with its newline
 * @param is_high_priority the line may use the reserved part of the queue and
 *     is exempt from the rate limit
 * @param now_ms monotonic clock
 * @return 0 or BG_ELIMIT if the line was dropped
 */
int bg_log_queue_push(struct bg_log_queue *q, const char *line, size_t bytes,
    int is_high_priority, uint64_t now_ms);
/** Writes as much as the descriptor takes without blocking. @return bytes still
 * queued */
size_t bg_log_queue_flush(struct bg_log_queue *q, int fd);
/** Returns the number of lines dropped since the last call. */
uint64_t bg_log_queue_take_dropped(struct bg_log_queue *q);

#endif
