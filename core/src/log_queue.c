#include <limits.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

#include "burdockgrade/error.h"

#include "log_queue.h"

/* Part of the queue that is reserved for lines of high priority. */
#define RESERVED_BYTES (BG_LOG_QUEUE_BYTES / 4)
/* Rate limit. Lines of high priority count towards it but are exempt from it.
 * Several times the log rate of a node at the target size. */
#define LINES_PER_S_MAX 1000
#define RATE_WINDOW_MS 1000

static int
has_room(
    struct bg_log_queue *q, size_t bytes, int is_high_priority, uint64_t now_ms)
{
	size_t room = BG_LOG_QUEUE_BYTES - q->used;

	if (now_ms - q->window_start_ms >= RATE_WINDOW_MS) {
		q->window_start_ms = now_ms;
		q->window_lines = 0;
	}
	if (is_high_priority)
		return bytes <= room;
	return q->window_lines < LINES_PER_S_MAX &&
	    bytes + RESERVED_BYTES <= room;
}

int
bg_log_queue_push(struct bg_log_queue *q, const char *line, size_t bytes,
    int is_high_priority, uint64_t now_ms)
{
	size_t tail = (q->head + q->used) % BG_LOG_QUEUE_BYTES;
	size_t first = BG_LOG_QUEUE_BYTES - tail;

	if (!has_room(q, bytes, is_high_priority, now_ms)) {
		q->dropped_lines++;
		return BG_ELIMIT;
	}
	if (first > bytes)
		first = bytes;
	memcpy(q->buffer + tail, line, first);
	memcpy(q->buffer, line + first, bytes - first);
	q->used += bytes;
	q->window_lines++;
	return 0;
}

/* A pipe that polls as writable takes PIPE_BUF bytes without blocking. */
static int
is_writable(int fd)
{
	struct pollfd pfd = {fd, POLLOUT, 0};

	return poll(&pfd, 1, 0) == 1 && (pfd.revents & POLLOUT) != 0;
}

size_t
bg_log_queue_flush(struct bg_log_queue *q, int fd)
{
	size_t bytes;
	ssize_t n;

	while (q->used > 0 && is_writable(fd)) {
		bytes = BG_LOG_QUEUE_BYTES - q->head;
		if (bytes > q->used)
			bytes = q->used;
		if (bytes > PIPE_BUF)
			bytes = PIPE_BUF;
		if ((n = write(fd, q->buffer + q->head, bytes)) <= 0)
			break;
		q->head = (q->head + (size_t)n) % BG_LOG_QUEUE_BYTES;
		q->used -= (size_t)n;
	}
	return q->used;
}

uint64_t
bg_log_queue_take_dropped(struct bg_log_queue *q)
{
	uint64_t lines = q->dropped_lines;

	q->dropped_lines = 0;
	return lines;
}
