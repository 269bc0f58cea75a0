#ifndef BG_PROXY_HTTP_FIELD_H
#define BG_PROXY_HTTP_FIELD_H

/** @file
 * Header lines (RFC 9112, section 5). Pure.
 */

#include <stddef.h>

/** Parts of a header line, within its text. */
struct bg_http_field {
	const char *name;
	const char *value; /**< without blanks around it */
	size_t name_bytes;
	size_t value_bytes;
};

/** 1 if the bytes can be the start of a header line, or a whole one. */
int bg_http_field_can_begin(const char *text, size_t bytes);
/** Splits a whole line. @return 0 or BG_EPROTO */
int bg_http_field_parse(
    struct bg_http_field *out, const char *text, size_t bytes);

#endif
