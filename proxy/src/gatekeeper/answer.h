#ifndef BG_PROXY_BACKEND_ANSWER_H
#define BG_PROXY_BACKEND_ANSWER_H

/** @file
 * Checks of an answer of the backend server, and headers in both directions.
 */

#include <event2/http.h>

#include "burdockgrade/wire_xdr.h"

#include "../metrics/metrics.h"

/** 1 for headers that concern one connection only, or that the proxy sets. */
int bg_header_is_local(const char *name);

/**
 * Decides whether an answer may be forwarded.
 *
 * @param may_lack_identity 1 for a probe, or a server that does not return it
 * @param evcon connection of the request, which evhttp detached from it
 * @return 0, or -1 with the reason in out_why
 */
int bg_answer_check(enum bg_discard *out_why, struct evhttp_request *req,
    struct evhttp_connection *evcon, const char *request_id, int is_head,
    int may_lack_identity);

/** 1 if the server refused for load: 429, or 503 with Retry-After. Any other
 * 503 is a failure; otherwise a version that answers 503 to all would never
 * prove bad. */
int bg_answer_is_shed(uint32_t http_status, const struct bg_xheader *headers,
    uint32_t header_count);

/** Copies pointers to forwardable headers. @return number of headers */
uint32_t bg_answer_headers(
    struct bg_xheader *out, uint32_t max, struct evhttp_request *req);

#endif
