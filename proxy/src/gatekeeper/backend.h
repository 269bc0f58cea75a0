#ifndef BG_PROXY_BACKEND_H
#define BG_PROXY_BACKEND_H

/** @file
 * Pool of HTTP/1.1 connections to the backend server on the same VM. Requests
 * are not pipelined.
 */

#include <event2/event.h>

#include "burdockgrade/error.h"
#include "burdockgrade/settings.h"
#include "burdockgrade/wire_xdr.h"

#include "../limiter/buffers.h"

/** Idle connections are closed after this time, or one second before the idle
 * timeout that the server announces, whichever is earlier. */
#define BG_BACKEND_IDLE_TIMEOUT_MS 5000
/** A connection is not reused after this age. This bounds how long one outlives
 * a restarted server or a network path that dropped its state. */
#define BG_BACKEND_MAX_AGE_MS 60000
/** Limit for connecting to the server, which is on the same VM. */
#define BG_BACKEND_CONNECT_TIMEOUT_MS 1000

struct bg_backend;
struct bg_exchange;

/** Size of an X-Request-Id with its terminating NUL; bound of bg_xcall_args. */
#define BG_REQUEST_ID_BYTES 129

/** Result of one request and its response. */
struct bg_exchange_result {
	int code;	  /**< 0; BG_EUNAVAILABLE if the connection was not
			     established, so that the server did not receive the
			     request; BG_EIO if it was lost; BG_EPROTO if the
			     response was discarded */
	int is_reused;	  /**< the connection had served requests before */
	int has_received; /**< bytes of a response arrived */
	uint32_t http_status;
	struct bg_xheader *headers; /**< without hop-by-hop headers and
				       Content-Length */
	uint32_t header_count;
	char *body;
	uint32_t body_bytes;
};

/** Called once from the event loop, never within bg_backend_send.
 * @param res valid during the callback only */
typedef void (*bg_exchange_fn)(void *arg, const struct bg_exchange_result *res);

struct bg_backend_options {
	struct event_base *base;
	const char *address; /**< "ip:port" */
	const struct bg_header_names *names;
	uint32_t connections; /**< maximum of open connections; 0 counts as 1 */
	uint32_t body_bytes;  /**< largest body of a response */
	/** Counts the part of a response that has arrived; NULL: none. */
	struct bg_buffers *buffers;
};

/** @return 0, BG_ENOMEM, or BG_EINVAL if the address is not valid */
int bg_backend_init(struct bg_backend **out,
    const struct bg_backend_options *opts, struct bg_error *err);
void bg_backend_free(struct bg_backend *be);

struct bg_exchange_options {
	const char *method;
	const char *path;
	const char *host; /**< value of the Host header */
	const char *request_id;
	const struct bg_xheader *headers;
	uint32_t header_count;
	const char *body;
	uint32_t body_bytes;
	int needs_fresh_connection; /**< use a connection only if it received
				       bytes recently, or is new */
	int needs_new_connection;   /**< open a new connection */
	int may_lack_request_id;    /**< accept a response without the id */
};

/**
 * Sends a request.
 *
 * @param out valid until the callback or bg_backend_cancel
 * @return 0, BG_ELIMIT if no connection may or can be opened, or BG_ENOMEM
 */
int bg_backend_send(struct bg_exchange **out, struct bg_backend *be,
    const struct bg_exchange_options *opts, bg_exchange_fn fn, void *arg);
/** 1 if the exchange reused an idle connection that has received nothing since.
 * The connection may be dead without having been closed. */
int bg_exchange_is_silent(const struct bg_exchange *xch);
/** Closes the connection, which tells the server that no response is awaited.
 * The callback is not called. */
void bg_backend_cancel(struct bg_exchange *xch);
/** Changes the maximum of open connections; 0 counts as 1. Open connections
 * stay open. */
void bg_backend_set_connections(struct bg_backend *be, uint32_t connections);
/** Closes all idle connections, for example after one of them was found dead.
 */
void bg_backend_close_idle(struct bg_backend *be);
/** Monotonic time at which bytes of the server last arrived, in milliseconds;
 * 0: never. */
uint64_t bg_backend_last_received_ms(const struct bg_backend *be);

#endif
