#ifndef BG_PROXY_HTTP_STATUS_LINE_H
#define BG_PROXY_HTTP_STATUS_LINE_H

/** @file
 * Status line of a response (RFC 9112, section 4). Pure.
 */

#include <stddef.h>
#include <stdint.h>

struct bg_http_status_line {
	uint32_t status;	/**< 100 to 599 */
	uint32_t minor_version; /**< of HTTP/1 */
};

/** 1 if the bytes can be the start of a status line, or a whole one. */
int bg_http_status_line_can_begin(const char *text, size_t bytes);
/** Parses a whole line. @return 0 or BG_EPROTO */
int bg_http_status_line_parse(
    struct bg_http_status_line *out, const char *text, size_t bytes);

#endif
