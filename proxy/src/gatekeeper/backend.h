#ifndef BG_PROXY_BACKEND_H
#define BG_PROXY_BACKEND_H

/** @file
 * HTTP connections to the backend server on the same VM: one request at a time
 * on each.
 */

#include <event2/event.h>

#include "burdockgrade/error.h"
#include "burdockgrade/settings.h"
#include "burdockgrade/wire_xdr.h"

/** An idle connection is closed after this time, or a second before the server
 * says that it closes it. */
#define BG_BACKEND_IDLE_TIMEOUT_MS 5000
/** A connection is not used again after this age, so that none outlives the
 * state of a restarted server or a forgotten network path for long. */
#define BG_BACKEND_MAX_AGE_MS 60000
/** Time to establish a connection on the same VM. */
#define BG_BACKEND_CONNECT_TIMEOUT_MS 1000

struct bg_backend;
struct bg_exchange;

/** Room for an X-Request-Id with its end; the bound of bg_xcall_args. */
#define BG_REQUEST_ID_BYTES 129

/** Result of an exchange with the backend server. */
struct bg_exchange_result {
	int code;      /**< 0; BG_EUNAVAILABLE if the server did not receive the
			  request; BG_EIO if the connection was lost; BG_EPROTO if
			  the answer was discarded */
	int is_reused; /**< the connection had served calls before */
	int has_received; /**< some bytes of an answer arrived */
	uint32_t http_status;
	struct bg_xheader *headers; /**< without those of the connection */
	uint32_t header_count;
	char *body;
	uint32_t body_bytes;
};

/** Runs once from the loop, never within bg_backend_send. */
typedef void (*bg_exchange_fn)(void *arg, const struct bg_exchange_result *res);

struct bg_backend_options {
	struct event_base *base;
	const char *address; /**< "ip:port" */
	const struct bg_header_names *names;
	uint32_t connections; /**< most connections open at a time */
	uint32_t body_bytes;  /**< largest body of an answer */
};

int bg_backend_init(struct bg_backend **out,
    const struct bg_backend_options *opts, struct bg_error *err);
void bg_backend_free(struct bg_backend *be);

struct bg_exchange_options {
	const char *method;
	const char *path;
	const char *host; /**< as the caller sent it */
	const char *request_id;
	const struct bg_xheader *headers;
	uint32_t header_count;
	const char *body;
	uint32_t body_bytes;
	int needs_fresh_connection; /**< only a connection that was heard of
				       lately */
	int needs_new_connection;   /**< only a new connection */
	int may_lack_request_id;    /**< the answer may lack the request id */
};

/** @return 0, BG_ELIMIT if no connection may be opened, or BG_ENOMEM */
int bg_backend_send(struct bg_exchange **out, struct bg_backend *be,
    const struct bg_exchange_options *opts, bg_exchange_fn fn, void *arg);
/** 1 if the connection has received nothing since the exchange began and
 * nothing for a while before: it may have gone silent. */
int bg_exchange_is_silent(const struct bg_exchange *xch);
/** Closes the connection; the callback does not run. */
void bg_backend_cancel(struct bg_exchange *xch);
/** Changes the number of connections; those in use stay open. */
void bg_backend_set_connections(struct bg_backend *be, uint32_t connections);
/** Closes idle connections, after one of them was found dead. */
void bg_backend_close_idle(struct bg_backend *be);
/** Monotonic time at which bytes last came from the server; 0: never. */
uint64_t bg_backend_last_received_ms(const struct bg_backend *be);

#endif
