#ifndef BG_PROXY_REQUEST_HEAD_H
#define BG_PROXY_REQUEST_HEAD_H

/** @file
 * Validates a request head before libevhtp parses it. Rejects heads that two
 * parsers could read differently (request smuggling) and heads that exceed the
 * limits of the protocol between nodes. Pure.
 */

#include <stddef.h>
#include <stdint.h>

/** Maximum length of a head. The parser of libevhtp fails without a response on
 * a line above 8 KiB. */
#define BG_REQUEST_HEAD_MAX_BYTES 16384
/** Limits of the parts of a head, within those of bg_xcall_args. Sizes in bytes
 * include a terminating NUL. */
#define BG_REQUEST_METHOD_BYTES 16
#define BG_REQUEST_TARGET_BYTES 4096
#define BG_REQUEST_HEADER_NAME_BYTES 256
#define BG_REQUEST_HEADER_VALUE_BYTES 4096
#define BG_REQUEST_HEADERS_MAX 56

/** Results of bg_request_head_check() for a head that is not rejected. */
#define BG_REQUEST_HEAD_INCOMPLETE 0
#define BG_REQUEST_HEAD_VALID 200

struct bg_request_head {
	size_t head_bytes;   /**< with the empty line at its end */
	uint64_t body_bytes; /**< the Content-Length; 0: none, or chunked */
	int is_chunked;
	char method[BG_REQUEST_METHOD_BYTES];
	char target[BG_REQUEST_TARGET_BYTES];
};

/**
 * Validates the head at the start of the received bytes.
 *
 * @param out_reason set to the response text if the head is rejected
 * @param data received bytes, which may extend beyond the head
 * @param body_max_bytes maximum Content-Length; ingress_conn.c checks the
 *     length of a chunked body while it arrives
 * @return BG_REQUEST_HEAD_INCOMPLETE, BG_REQUEST_HEAD_VALID, or the HTTP status
 *     of the rejection
 */
int bg_request_head_check(struct bg_request_head *out, const char **out_reason,
    const char *data, size_t data_bytes, uint64_t body_max_bytes);

#endif
