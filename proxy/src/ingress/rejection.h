#ifndef BG_PROXY_INGRESS_REJECTION_H
#define BG_PROXY_INGRESS_REJECTION_H

/** @file
 * Response to a request that the ingress rejects before libevhtp has parsed it.
 * The parser of libevhtp closes such a connection without a response.
 */

#include <event2/buffer.h>

struct bg_rejection {
	int http_status;
	/** Further header lines, each with its CRLF; "": none. */
	const char *headers;
	const char *reason; /**< the body, without a line feed */
};

/** Appends the response, which says that the request was not run and that the
 * connection is closed. */
void bg_rejection_write(
    struct evbuffer *out, const struct bg_rejection *rejection);

#endif
