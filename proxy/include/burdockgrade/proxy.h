#ifndef BURDOCKGRADE_PROXY_H
#define BURDOCKGRADE_PROXY_H

/** @file
 * The proxy task of a node: the ingress, which serves customers, and the
 * gatekeeper of the backend server on the same VM.
 */

#include <event2/event.h>

#include "burdockgrade/announce.h"
#include "burdockgrade/link.h"
#include "burdockgrade/mesh.h"
#include "burdockgrade/observe.h"
#include "burdockgrade/quota.h"
#include "burdockgrade/settings.h"

struct bg_proxy;

struct bg_proxy_options {
	uint32_t version;
	struct event_base *base;
	const struct bg_settings *settings;
	struct bg_mesh *mesh;	       /**< a listener is added */
	struct bg_link_server *server; /**< serves the CALL procedure */
	struct bg_link_pool *links;
	struct bg_observer *observer; /**< may be NULL */
	struct bg_quota *quota;	      /**< NULL: caps of organisations are not
				       * enforced */
};

#define BG_PROXY_OPTIONS_VERSION 3
#define BG_PROXY_OPTIONS_INIT                                                 \
	{                                                                     \
		BG_PROXY_OPTIONS_VERSION, NULL, NULL, NULL, NULL, NULL, NULL, \
		    NULL                                                      \
	}

/**
 * Starts to serve customers at the ingress and the CALL procedure at the link
 * server.
 *
 * @param opts version must be BG_PROXY_OPTIONS_VERSION
 * @return 0, BG_ENOMEM, BG_EINVAL if the address of the backend server is not
 *     valid, BG_EIO if the customer port cannot be bound, or the error of
 *     bg_link_server_add_handler or bg_mesh_add_listener
 */
int bg_proxy_init(struct bg_proxy **out, const struct bg_proxy_options *opts,
    struct bg_error *err);
void bg_proxy_free(struct bg_proxy *prx);
/** Port on which customers are served. */
uint16_t bg_proxy_port(const struct bg_proxy *prx);

/** Request for a page of the node, such as status, metrics or health. */
struct bg_page;

/** Renders a page. Must call bg_page_reply once, at once or later. */
typedef void (*bg_page_fn)(void *arg, struct bg_page *page);
/**
 * Sends the response and frees the page. Nothing is sent if the caller has
 * disconnected.
 *
 * @param text body, freed with free(); may be NULL
 */
void bg_page_reply(struct bg_page *page, int http_status,
    const char *content_type, char *text);
/**
 * Registers a page. Requests for its path are never routed to a service.
 *
 * @param path without a query; must stay valid as long as the proxy
 * @return 0, or BG_ELIMIT if too many pages are registered
 */
int bg_proxy_add_page(
    struct bg_proxy *prx, const char *path, bg_page_fn fn, void *arg);

/** Sets the move of a service to another server version. Logs an error if out
 * of memory. */
void bg_proxy_set_move(
    struct bg_proxy *prx, const char *service, const struct bg_move *move);
/**
 * Applies an announcement of the backend server. That it leaves is final, so it
 * is accepted only once that outlives this process.
 *
 * @param fn runs once, in this function or later, with 0, also for an unchanged
 *     announcement or a stale heartbeat; BG_EINVAL if it comes from a server of
 *     another service or this node has no backend server; BG_EAGAIN if the
 *     server may have left before this process started, which a repetition
 *     rules out; BG_ECANCELED if a repetition came first; BG_ESTALE if another
 *     lifetime than the current one leaves, which has no effect; or BG_ETIMEOUT
 *     if neither the store nor a peer has got it in time
 */
void bg_proxy_announce(struct bg_proxy *prx, const struct bg_announcement *ann,
    void (*fn)(void *arg, int code), void *arg);
/** Stops or resumes sending calls to the backend server. They are stopped while
 * this node judges the server's version bad. */
void bg_proxy_set_suspended(struct bg_proxy *prx, int is_suspended);
/** 1 if the node accepts calls: it has a configuration and is not stopping. */
int bg_proxy_is_ready(const struct bg_proxy *prx);
/** 1 if the backend server announced that it is draining or gone. */
int bg_proxy_server_is_leaving(const struct bg_proxy *prx);
/** Checks whether the backend server still listens at its address.
 * @param fn runs once, in this function or later; is_listening is 1 if that is
 *     unknown */
void bg_proxy_check_server(
    struct bg_proxy *prx, void (*fn)(void *arg, int is_listening), void *arg);

/** A request whose way is asked for. */
struct bg_explain_query {
	const char *method;
	const char *host; /**< lower case, without port */
	const char *path;
	const char *organisation; /**< of the caller; empty: none */
};

/**
 * Explains where a request would go now, and why, without sending it: the rule
 * and the organisation that decide, and for each service of the rule its
 * servers with the router's estimates. Changes no state that a call uses.
 *
 * @param out JSON text, to be freed by the caller
 * @return 0 or BG_ENOMEM
 */
int bg_proxy_explain(
    char **out, struct bg_proxy *prx, const struct bg_explain_query *query);

/** Bans a server version as bad, up to and including a move generation. This
 * node sends it no more calls. Logs an error if out of memory. */
void bg_proxy_ban(struct bg_proxy *prx, const char *service,
    const char *server_version, uint64_t move_generation);

/** 1 if no call is in flight at the ingress or the gatekeeper. */
int bg_proxy_is_idle(const struct bg_proxy *prx);

/**
 * Begins a graceful stop. The node serves for another limits.announce_ms, in
 * which callers notice that it is not ready. From then on, the gatekeeper
 * refuses calls, and the ingress accepts only those that are sure to end
 * within limits.drain_ms. Does nothing if a stop has begun already.
 *
 * @param done called once no call is in flight, or limits.drain_ms after the
 *     begin; called from within this function if out of memory
 */
void bg_proxy_drain(struct bg_proxy *prx, void (*done)(void *arg), void *arg);

#endif
