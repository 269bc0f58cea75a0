#ifndef BG_PROXY_GUARD_H
#define BG_PROXY_GUARD_H

/** @file
 * Stands between a customer's connection and libevhtp: hands over one checked
 * request at a time, answers invalid ones itself, notices a caller that
 * disconnects while its call runs, and bounds slow ones.
 */

#include <evhtp/evhtp.h>

#include "request_head.h"

/** Time to send a whole head. */
#define BG_GUARD_HEAD_MS 10000
/** Time to send a body. */
#define BG_GUARD_BODY_MS 30000
/** A connection without a request is closed after this time. */
#define BG_GUARD_IDLE_MS 60000
/** Time without progress after which a slow reader is disconnected. */
#define BG_GUARD_WRITE_MS 30000

struct bg_guard;

struct bg_guard_options {
	struct event_base *base;
	uint64_t body_max_bytes;
	struct bg_guard **list; /**< the open connections of the ingress */
};

/** Attaches to an accepted connection; freed with it. */
int bg_guard_init(
    struct evhtp_connection *conn, const struct bg_guard_options *opts);
/** Closes all connections of a list. */
void bg_guard_close_all(struct bg_guard **list);
/** The guard of a request's connection. */
struct bg_guard *bg_guard_of(struct evhtp_connection *conn);
/** The checked head of the current request. */
const struct bg_request_head *bg_guard_head(const struct bg_guard *grd);

/** The request is complete: nothing more is read until its answer is out.
 * fini runs when the request ends, answered or not. */
void bg_guard_busy(
    struct bg_guard *grd, void (*fini)(void *arg), void *fini_arg);

#endif
