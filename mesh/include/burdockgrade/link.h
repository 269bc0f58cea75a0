#ifndef BURDOCKGRADE_LINK_H
#define BURDOCKGRADE_LINK_H

/** @file
 * ONC RPC over TCP on the event loop: client links and the server side.
 *
 * Messages use the record marking of RFC 5531. Many calls share a connection;
 * xids rise strictly, so a duplicated or late message is recognized and
 * discarded. A link pings when idle and closes after a period of silence.
 */

#include <event2/event.h>
#include <stdint.h>

#include "burdockgrade/error.h"
#include "burdockgrade/wire_xdr.h"

/** A link is pinged after this much silence while an answer is expected. */
#define BG_LINK_PING_IDLE_MS 200
/** A ping that is not answered within this time makes a link suspect: it is
 * not used for new calls until bytes come from it. Above the time in which a
 * lost packet is sent again within a data centre. */
#define BG_LINK_PING_TIMEOUT_MS 150
/** A link is closed after this much silence while an answer is expected. */
#define BG_LINK_RECEIVE_TIMEOUT_MS 2500
/** Largest message: one body of 1 MiB with its headers. */
#define BG_LINK_MESSAGE_MAX_BYTES (3u << 19)

struct bg_link;
struct bg_link_server;
struct bg_rpc;

struct bg_link_options {
	uint32_t version;
	const char *local_ip; /**< source address to bind, or NULL */
	uint32_t connect_timeout_ms;
};

#define BG_LINK_OPTIONS_VERSION 1
#define BG_LINK_OPTIONS_INIT                       \
	{                                          \
		BG_LINK_OPTIONS_VERSION, NULL, 500 \
	}

/**
 * Receives the result of a call, exactly once.
 *
 * @param code 0; BG_EUNAVAILABLE if nothing was written to the peer; BG_EIO if
 *     the connection was lost afterwards; BG_ETIMEOUT; BG_EPROTO; BG_ECANCELED
 * @param res decoded result if code is 0, released after the callback
 */
typedef void (*bg_link_reply_fn)(void *arg, int code, void *res);

/** Called once when the connection is lost or refused. */
typedef void (*bg_link_close_fn)(void *arg);

/**
 * Starts to connect.
 *
 * @param address "ip:port"
 * @return 0, BG_EINVAL, BG_EIO or BG_ENOMEM
 */
int bg_link_init(struct bg_link **out, struct event_base *base,
    const char *address, const struct bg_link_options *opts,
    bg_link_close_fn on_close, void *arg, struct bg_error *err);
/**
 * Fails pending calls with BG_ECANCELED and closes; on_close is not called.
 * Safe inside a callback of the link.
 */
void bg_link_free(struct bg_link *link);

/**
 * Sends a call. The callback never runs before this function returns.
 *
 * @param out_xid may be NULL
 * @param timeout_ms 0 for none
 * @return 0, or BG_EUNAVAILABLE if the link is closed (no callback then)
 */
int bg_link_call(uint32_t *out_xid, struct bg_link *link, uint32_t proc,
    xdrproc_t xargs, void *args, xdrproc_t xres, size_t res_bytes,
    uint32_t timeout_ms, bg_link_reply_fn fn, void *arg);

/**
 * Forgets a pending call, tells the peer to cancel it and does not run its
 * callback.
 */
void bg_link_cancel(struct bg_link *link, uint32_t xid);

/** Milliseconds since bytes were last received; UINT64_MAX if never. */
uint64_t bg_link_idle_ms(const struct bg_link *link);
const char *bg_link_address(const struct bg_link *link);
int bg_link_is_connected(const struct bg_link *link);
/** Takes the link for suspect until bytes come from it: a ping of the caller
 * was not answered. */
void bg_link_mark_suspect(struct bg_link *link);
/** 1 while an answer is expected. */
int bg_link_has_pending_calls(const struct bg_link *link);
/** 1 while the peer does not answer a ping. */
int bg_link_is_suspect(const struct bg_link *link);
/** Milliseconds for which the link has been suspect; 0 if it is not. */
uint64_t bg_link_suspect_ms(const struct bg_link *link);

/**
 * Handles one call. It answers now or later by bg_rpc_reply.
 *
 * @param args decoded arguments, valid until the reply
 */
typedef void (*bg_rpc_fn)(void *arg, struct bg_rpc *rpc, void *args);

struct bg_rpc_handler {
	uint32_t proc;
	xdrproc_t xargs;
	size_t args_bytes;
	bg_rpc_fn fn;
	void *arg;
};

/**
 * Listens on an address.
 *
 * @param address "ip:port"; port 0 takes a free one
 */
int bg_link_server_init(struct bg_link_server **out, struct event_base *base,
    const char *address, struct bg_error *err);
void bg_link_server_free(struct bg_link_server *srv);
/** Registers a handler; the struct is copied. At most 16. */
int bg_link_server_add_handler(
    struct bg_link_server *srv, const struct bg_rpc_handler *handler);
uint16_t bg_link_server_port(const struct bg_link_server *srv);
/** Closes the listening socket; open connections go on. */
void bg_link_server_stop_listening(struct bg_link_server *srv);

/** Answers and releases the rpc; dropped if the peer is gone. */
void bg_rpc_reply(struct bg_rpc *rpc, xdrproc_t xres, void *res);
/** Releases the rpc without an answer. */
void bg_rpc_drop(struct bg_rpc *rpc);
/** Sets the function that runs once if the peer cancels or disconnects. */
void bg_rpc_on_cancel(struct bg_rpc *rpc, void (*fn)(void *), void *arg);
/** Address of the peer's socket, "ip:port". */
const char *bg_rpc_peer(const struct bg_rpc *rpc);

/**
 * Links by address: one shared link a peer, opened on demand, replaced after
 * it closed or went silent.
 */
struct bg_link_pool;

int bg_link_pool_init(struct bg_link_pool **out, struct event_base *base,
    const struct bg_link_options *opts);
void bg_link_pool_free(struct bg_link_pool *pool);
/**
 * Finds or opens the link to a peer. The pool owns it; it may be kept only
 * while a call of the keeper is pending on it.
 */
int bg_link_pool_get(struct bg_link **out, struct bg_link_pool *pool,
    const char *address, struct bg_error *err);
/** Closes links to a peer that left. */
void bg_link_pool_remove(struct bg_link_pool *pool, const char *address);

#endif
