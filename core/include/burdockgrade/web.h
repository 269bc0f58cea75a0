#ifndef BURDOCKGRADE_WEB_H
#define BURDOCKGRADE_WEB_H

/** @file
 * Small HTTP server for the endpoints of the node itself: metrics, readiness
 * and the heartbeats of its backend server.
 */

#include <event2/event.h>
#include <stddef.h>

#include "burdockgrade/error.h"

/** Largest body of a request; requests with a larger one are rejected. */
#define BG_WEB_BODY_BYTES 65536

struct bg_web;

/** A request, valid during the callback. */
struct bg_web_request {
	const char *method; /**< GET, HEAD, POST, PUT, DELETE; otherwise "" */
	const char *path;   /**< not percent-decoded */
	const char *query;  /**< without '?'; empty if there is none */
	const char *body;   /**< not NUL-terminated; may be NULL if empty */
	size_t body_bytes;
	struct bg_web_pending *pending; /**< for bg_web_defer */
};

struct bg_web_response {
	int status;		  /**< 500 unless the handler sets it */
	const char *content_type; /**< NULL to send no Content-Type */
	char *body; /**< malloc'ed string, freed by the server; may be NULL */
};

/** Handles a request and fills its response, unless it calls bg_web_defer. */
typedef void (*bg_web_fn)(
    void *arg, const struct bg_web_request *req, struct bg_web_response *out);

/** A request that is answered after its handler has returned. */
struct bg_web_exchange;

/** Takes over the request that a handler was called for.
 * @return to be passed to bg_web_complete once, or NULL if out of memory */
struct bg_web_exchange *bg_web_defer(const struct bg_web_request *req);
/** Sends the response, unless the client has gone or the server was freed, and
 * frees the exchange. The body stays with the caller. */
void bg_web_complete(
    struct bg_web_exchange *xch, const struct bg_web_response *res);

/**
 * Listens on an address. One handler receives the requests of all paths.
 *
 * @param address "ip:port" with an IPv4 address; port 0 is not valid
 * @param err not filled for BG_ENOMEM; may be NULL
 * @return 0, BG_EINVAL if the address has no valid port, BG_EIO if the socket
 *     cannot be bound, or BG_ENOMEM
 */
int bg_web_init(struct bg_web **out, struct event_base *base,
    const char *address, bg_web_fn fn, void *arg, struct bg_error *err);
/** Closes the socket and all connections. @param web may be NULL */
void bg_web_free(struct bg_web *web);

/**
 * Copies the percent-decoded value of a key from a query such as "a=1&b=2".
 *
 * @param out left unchanged on error
 * @return 0; BG_ENOTFOUND if the key is absent or the query is malformed; or
 *     BG_ELIMIT if the value does not fit
 */
int bg_web_query_value(
    char *out, size_t out_bytes, const char *query, const char *key);

#endif
