#ifndef BURDOCKGRADE_WEB_H
#define BURDOCKGRADE_WEB_H

/** @file
 * A small HTTP server for what a node itself answers: pages, readiness and the
 * heartbeats of its backend server.
 */

#include <event2/event.h>
#include <stddef.h>

#include "burdockgrade/error.h"

/** Longest body of a request. */
#define BG_WEB_BODY_BYTES 65536

struct bg_web;

/** A request; valid during the callback. */
struct bg_web_request {
	const char *method;
	const char *path;
	const char *query; /**< without '?'; empty if there is none */
	const char *body;
	size_t body_bytes;
};

struct bg_web_response {
	int status;
	const char *content_type;
	char *body; /**< allocated by the handler or NULL; freed afterwards */
};

/** Answers a request. */
typedef void (*bg_web_fn)(
    void *arg, const struct bg_web_request *req, struct bg_web_response *out);

/**
 * Listens on an address. All requests go to one handler.
 *
 * @param address "ip:port"
 * @return 0, BG_EINVAL, BG_EIO or BG_ENOMEM
 */
int bg_web_init(struct bg_web **out, struct event_base *base,
    const char *address, bg_web_fn fn, void *arg, struct bg_error *err);
void bg_web_free(struct bg_web *web);

/** Copies the value of a key from a query such as "a=1&b=2".
 * @return 0, BG_ENOTFOUND, or BG_ELIMIT if it does not fit */
int bg_web_query_value(
    char *out, size_t out_bytes, const char *query, const char *key);

#endif
