#ifndef BURDOCKGRADE_PROXY_H
#define BURDOCKGRADE_PROXY_H

/** @file
 * The proxy task: ingress for customers and gatekeeper of the backend server.
 */

#include <event2/event.h>

#include "burdockgrade/announce.h"
#include "burdockgrade/link.h"
#include "burdockgrade/mesh.h"
#include "burdockgrade/observe.h"
#include "burdockgrade/settings.h"

struct bg_proxy;

struct bg_proxy_options {
	uint32_t version;
	struct event_base *base;
	const struct bg_settings *settings;
	struct bg_mesh *mesh;	       /**< the proxy adds its listener */
	struct bg_link_server *server; /**< CALL is registered here */
	struct bg_link_pool *links;
	struct bg_observer *observer; /**< may be NULL */
};

#define BG_PROXY_OPTIONS_VERSION 2
#define BG_PROXY_OPTIONS_INIT                                                \
	{                                                                    \
		BG_PROXY_OPTIONS_VERSION, NULL, NULL, NULL, NULL, NULL, NULL \
	}

int bg_proxy_init(struct bg_proxy **out, const struct bg_proxy_options *opts,
    struct bg_error *err);
void bg_proxy_free(struct bg_proxy *prx);
/** Port on which customers are served. */
uint16_t bg_proxy_port(const struct bg_proxy *prx);

/** A page of the node (status, metrics, health) that a caller waits for. */
struct bg_page;

/** Renders a page and answers by bg_page_reply, now or later. */
typedef void (*bg_page_fn)(void *arg, struct bg_page *page);
/** Answers and releases the page; dropped if its caller is gone.
 * @param text freed; may be NULL */
void bg_page_reply(struct bg_page *page, int http_status,
    const char *content_type, char *text);
/** Registers a page at a fixed path; it is never routed to a service. */
int bg_proxy_add_page(
    struct bg_proxy *prx, const char *path, bg_page_fn fn, void *arg);

/** Takes the move of a service to another version of its servers. */
void bg_proxy_set_move(
    struct bg_proxy *prx, const char *service, const struct bg_move *move);
/** Takes what the backend server beside this node says of itself.
 * @return 0 if it was taken, also if it was not new; BG_EINVAL if it is not
 *     from the server of this node */
int bg_proxy_announce(struct bg_proxy *prx, const struct bg_announcement *ann);
/** Sends no calls to the backend server beside this node, or does again: its
 * version was found bad by this node. */
void bg_proxy_set_suspended(struct bg_proxy *prx, int is_suspended);
/** 1 if the node takes calls: its configuration is known and it is not
 * stopping. */
int bg_proxy_is_ready(const struct bg_proxy *prx);
/** 1 if the backend server said that it leaves. */
int bg_proxy_server_is_leaving(const struct bg_proxy *prx);

/** Uses a server version no more, up to and including a move generation. */
void bg_proxy_ban(struct bg_proxy *prx, const char *service,
    const char *server_version, uint64_t move_generation);

/** 1 if no call is in flight at the ingress or the gatekeeper. */
int bg_proxy_is_idle(const struct bg_proxy *prx);

/** Begins a graceful stop; done is called once nothing runs any more, or when
 * limits.drain_ms has passed. */
void bg_proxy_drain(struct bg_proxy *prx, void (*done)(void *arg), void *arg);

#endif
