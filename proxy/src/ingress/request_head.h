#ifndef BG_PROXY_REQUEST_HEAD_H
#define BG_PROXY_REQUEST_HEAD_H

/** @file
 * Check of a request head before the HTTP library sees it. It refuses what two
 * parsers could read in two ways (request smuggling) and what is too long for
 * the wire. Pure.
 */

#include <stddef.h>
#include <stdint.h>

/** Longest head; the parser of libevhtp fails without an answer above 8 KiB a
 * line. */
#define BG_REQUEST_HEAD_MAX_BYTES 16384
/** Bounds of bg_xcall_args. */
#define BG_REQUEST_METHOD_BYTES 16
#define BG_REQUEST_TARGET_BYTES 4096
#define BG_REQUEST_HEADER_NAME_BYTES 256
#define BG_REQUEST_HEADER_VALUE_BYTES 4096
#define BG_REQUEST_HEADERS_MAX 56

struct bg_request_head {
	size_t head_bytes;
	uint64_t body_bytes;
	int is_chunked;
	char method[BG_REQUEST_METHOD_BYTES];
	char target[BG_REQUEST_TARGET_BYTES];
};

/**
 * Checks a head.
 *
 * @param out_reason text for the answer if the result is an HTTP status
 * @return 0 if the head is not complete yet, 200 if it is acceptable, else the
 *     HTTP status of the refusal
 */
int bg_request_head_check(struct bg_request_head *out, const char **out_reason,
    const char *data, size_t data_bytes, uint64_t body_max_bytes);

#endif
