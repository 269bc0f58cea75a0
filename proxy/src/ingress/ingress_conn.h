#ifndef BG_PROXY_INGRESS_CONN_H
#define BG_PROXY_INGRESS_CONN_H

/** @file
 * Connection of a caller to the ingress, between the socket and libevhtp.
 * Passes one checked request at a time to libevhtp, rejects invalid requests
 * itself, detects a caller that disconnects while its call runs, and enforces
 * timeouts on slow callers.
 */

#include <evhtp/evhtp.h>

#include "../limiter/buffers.h"
#include "conn_list.h"
#include "conn_policy.h"
#include "request_head.h"

/** Time limit for receiving a complete head, from its first byte. */
#define BG_INGRESS_HEAD_TIMEOUT_MS 10000
/** Time limit for receiving a complete body, from the end of the head. */
#define BG_INGRESS_BODY_TIMEOUT_MS 30000
/** A connection without a request is closed after this time. */
#define BG_INGRESS_IDLE_TIMEOUT_MS 60000
/** A caller that reads none of its response for this long is disconnected. */
#define BG_INGRESS_WRITE_TIMEOUT_MS 30000

struct bg_ingress_conn;

struct bg_ingress_conn_options {
	struct event_base *base;
	uint64_t body_max_bytes;
	/** The open connections, to which this one is added. Its buffers count
	 * the input of the connection and the part of a body that has arrived;
	 * from bg_ingress_conn_set_busy() on, the caller counts the body. */
	struct bg_conn_list *list;
};

/** Attaches to an accepted connection, with which it is freed.
 * @return 0, or -1 if out of memory */
int bg_ingress_conn_init(
    struct evhtp_connection *evc, const struct bg_ingress_conn_options *opts);
/** The next connection of the list; NULL: none. */
struct bg_ingress_conn *bg_ingress_conn_next(
    const struct bg_ingress_conn *conn);
void bg_ingress_conn_view(
    struct bg_conn_view *out, const struct bg_ingress_conn *conn);
/** Closes a connection. The sender of an unfinished request is told that it was
 * not run. */
void bg_ingress_conn_close(struct bg_ingress_conn *conn);
/** Closes a connection at once, without a response. */
void bg_ingress_conn_abort(struct bg_ingress_conn *conn);
/** The state attached to a connection of libevhtp. */
struct bg_ingress_conn *bg_ingress_conn_from_evhtp(
    struct evhtp_connection *evc);
/** The checked head of the current request. */
const struct bg_request_head *bg_ingress_conn_head(
    const struct bg_ingress_conn *conn);

/**
 * Marks the current request as complete. The next one is not read until the
 * response to it is written.
 *
 * @param on_request_end called once when the request ends, because its response
 *     was written or the connection is closed; may be NULL
 */
void bg_ingress_conn_set_busy(struct bg_ingress_conn *conn,
    void (*on_request_end)(void *arg), void *on_request_end_arg);
/** 1 if the connection is to be closed after the current response. */
int bg_ingress_conn_is_crowding(
    const struct bg_ingress_conn *conn, int is_refused);
/** Counts the bytes of a response that is about to be written, until the
 * request ends. */
void bg_ingress_conn_hold_response(
    struct bg_ingress_conn *conn, uint64_t bytes);

#endif
