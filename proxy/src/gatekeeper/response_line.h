#ifndef BG_PROXY_RESPONSE_LINE_H
#define BG_PROXY_RESPONSE_LINE_H

/** @file
 * Reads the lines of a response that end with CRLF. No I/O.
 */

#include <event2/buffer.h>

#include "response_progress.h"

struct bg_response_line {
	const char *text; /**< without CRLF; not terminated by NUL */
	size_t bytes;
};

/**
 * Tells whether bytes can be the start of a line, or a whole one, so that a
 * broken line is known before its end arrives.
 */
typedef int (*bg_response_line_fn)(const char *text, size_t bytes);

/**
 * Reads the line at the start of a buffer, which keeps it.
 *
 * @param out set if the line is complete, and valid until the buffer changes
 * @param max_bytes largest line that is accepted
 * @return BG_RESPONSE_COMPLETE, BG_RESPONSE_INCOMPLETE, BG_RESPONSE_INVALID if
 *     can_begin returns 0, or BG_RESPONSE_OVERSIZED
 */
enum bg_response_progress bg_response_line_peek(struct bg_response_line *out,
    struct evbuffer *in, size_t max_bytes, bg_response_line_fn can_begin);
/** Removes a line that was read, with its CRLF. */
void bg_response_line_drain(
    struct evbuffer *in, const struct bg_response_line *line);

#endif
