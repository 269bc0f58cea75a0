#ifndef BURDOCKGRADE_PROXY_H
#define BURDOCKGRADE_PROXY_H

/** @file
 * The proxy task: ingress for customers and gatekeeper of the backend server.
 */

#include <event2/event.h>

#include "burdockgrade/link.h"
#include "burdockgrade/mesh.h"
#include "burdockgrade/observe.h"
#include "burdockgrade/record.h"
#include "burdockgrade/settings.h"

struct bg_proxy;

struct bg_proxy_options {
	uint32_t version;
	struct event_base *base;
	const struct bg_settings *settings;
	struct bg_mesh *mesh;	       /**< the proxy adds its listener */
	struct bg_link_server *server; /**< CALL is registered here */
	struct bg_records *records;
	struct bg_observer *observer; /**< may be NULL */
};

#define BG_PROXY_OPTIONS_VERSION 1
#define BG_PROXY_OPTIONS_INIT                                                \
	{                                                                    \
		BG_PROXY_OPTIONS_VERSION, NULL, NULL, NULL, NULL, NULL, NULL \
	}

int bg_proxy_init(struct bg_proxy **out, const struct bg_proxy_options *opts,
    struct bg_error *err);
void bg_proxy_free(struct bg_proxy *prx);
/** Port on which customers are served. */
uint16_t bg_proxy_port(const struct bg_proxy *prx);

/** Renders a page of the node (status, metrics, health).
 * @param out free() it @return HTTP status code */
typedef int (*bg_page_fn)(void *arg, char **out, const char **content_type);
/** Registers a page at a fixed path; it is never routed to a service. */
int bg_proxy_page(
    struct bg_proxy *prx, const char *path, bg_page_fn fn, void *arg);

/** Stops a server version at this node (MARK item of a move generation). */
void bg_proxy_ban(struct bg_proxy *prx, const char *service,
    const char *server_version, uint64_t move_generation);

/** 1 if no call is in flight at the ingress or the gatekeeper. */
int bg_proxy_is_idle(const struct bg_proxy *prx);

/** Begins a graceful stop; done is called once nothing runs any more, or when
 * limits.drain_ms has passed. */
void bg_proxy_drain(struct bg_proxy *prx, void (*done)(void *arg), void *arg);

#endif
