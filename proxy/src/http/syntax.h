#ifndef BG_PROXY_HTTP_SYNTAX_H
#define BG_PROXY_HTTP_SYNTAX_H

/** @file
 * Grammar of HTTP that requests and responses share (RFC 9110, section 5).
 * Pure.
 */

#include <stddef.h>

/** 1 for the blanks that may stand around values. */
int bg_http_is_blank(char c);
/** 1 if the bytes are a token: the form of methods and of header names. */
int bg_http_is_token(const char *s, size_t bytes);
/** 1 if the bytes can stand in the value of a header: no control bytes but the
 * tab. */
int bg_http_is_value(const char *s, size_t bytes);
/** 1 if a comma-separated list has the item, in any case. */
int bg_http_list_has(const char *list, const char *item);

#endif
