#ifndef BG_CORE_LOG_QUEUE_H
#define BG_CORE_LOG_QUEUE_H

/** @file
 * Bounded queue of log lines on their way to a descriptor. Writing never waits
 * for a reader: lines that do not fit are dropped and counted, and lines about
 * failures have room that other lines cannot take. Does no formatting.
 */

#include <stddef.h>
#include <stdint.h>

/** Lines that wait for the reader: about a second of a busy node. */
#define BG_LOG_QUEUE_BYTES 16384

struct bg_log_queue {
	char buffer[BG_LOG_QUEUE_BYTES];
	size_t head; /**< first byte that was not written */
	size_t used;
	uint64_t window_start_ms; /**< start of the second that is counted */
	uint32_t window_lines;	  /**< lines taken in it */
	uint64_t dropped_lines;	  /**< since the last call of
				       bg_log_queue_take_dropped() */
};

/**
 * Takes a line with its newline, or drops it.
 *
 * @param is_failure keeps it before other lines
 * @param now_ms monotonic clock
 * @return 0 or BG_ELIMIT if it was dropped
 */
int bg_log_queue_push(struct bg_log_queue *q, const char *line, size_t bytes,
    int is_high_priority, uint64_t now_ms);
/** Writes what the reader takes without waiting. @return bytes still queued */
size_t bg_log_queue_flush(struct bg_log_queue *q, int fd);
/** @return lines dropped since the last call */
uint64_t bg_log_queue_take_dropped(struct bg_log_queue *q);

#endif
