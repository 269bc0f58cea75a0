#ifndef BG_PROXY_BACKEND_H
#define BG_PROXY_BACKEND_H

/** @file
 * HTTP connections to the backend server on the same VM.
 */

#include <event2/event.h>

#include "burdockgrade/error.h"
#include "burdockgrade/wire_xdr.h"

/** An idle connection is closed after this time. */
#define BG_BACKEND_IDLE_MS 5000
/** A connection is not used again after this age, so that none outlives the
 * state of a restarted server or a forgotten network path for long. */
#define BG_BACKEND_AGE_MS 60000

struct bg_backend;
struct bg_exchange;

/** Room for an X-Request-Id with its end; the bound of bg_xcall_args. */
#define BG_REQUEST_ID_BYTES 129

/** Result of an exchange with the backend server. */
struct bg_exchange_result {
	int code; /**< 0; BG_EUNAVAILABLE if nothing was written; BG_EIO if the
		     connection was lost; BG_EPROTO if the answer was discarded
		   */
	int is_reused;	  /**< the connection had served calls before */
	int has_received; /**< some bytes of an answer arrived */
	uint32_t http_status;
	const char *version; /**< X-Version of the answer, or NULL */
	struct bg_xheader *headers;
	uint32_t header_count;
	char *body;
	uint32_t body_bytes;
};

/** Runs once from the loop, never within bg_backend_send. */
typedef void (*bg_exchange_fn)(void *arg, const struct bg_exchange_result *res);

/**
 * @param address "ip:port" of the backend server
 * @param connections most connections open at a time
 */
int bg_backend_init(struct bg_backend **out, struct event_base *base,
    const char *address, uint32_t connections, uint32_t body_bytes,
    struct bg_error *err);
void bg_backend_free(struct bg_backend *be);

struct bg_exchange_options {
	const char *method;
	const char *path;
	const char *request_id;
	const struct bg_xheader *headers;
	uint32_t header_count;
	const char *body;
	uint32_t body_bytes;
	uint32_t deadline_ms;
	uint32_t depth;
	int is_fresh_needed; /**< only a connection that was heard of lately */
	int is_new_needed;   /**< only a new connection */
	int is_probe;	     /**< the answer may lack the identity */
};

/** @return 0, BG_ELIMIT if no connection may be opened, or BG_ENOMEM */
int bg_backend_send(struct bg_exchange **out, struct bg_backend *be,
    const struct bg_exchange_options *opts, bg_exchange_fn fn, void *arg);
/** Closes the connection; the callback does not run. */
void bg_backend_cancel(struct bg_exchange *xch);
/** Changes the number of connections; those in use stay open. */
void bg_backend_set_connections(struct bg_backend *be, uint32_t connections);
/** Closes idle connections, after one of them was found dead. */
void bg_backend_drop_idle(struct bg_backend *be);

#endif
