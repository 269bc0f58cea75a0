#ifndef BURDOCKGRADE_LINK_H
#define BURDOCKGRADE_LINK_H

/** @file
 * Asynchronous ONC RPC over TCP: client links, server and link pool.
 *
 * Messages use the record marking of RFC 5531. Calls are multiplexed on a
 * connection. Their xids increase strictly, so that the server discards a
 * duplicated call and the client discards a reply that matches no pending call.
 * While a reply is expected, a link that receives nothing sends a ping and is
 * closed after BG_LINK_RECEIVE_TIMEOUT_MS.
 */

#include <event2/event.h>
#include <stdint.h>

#include "burdockgrade/error.h"
#include "burdockgrade/wire_xdr.h"

/** A ping is sent if nothing was received for this long while a reply is
 * expected. */
#define BG_LINK_PING_IDLE_MS 200
/** A link is suspect if nothing was received for this long after a ping; the
 * pool then opens another link for new calls. The next bytes received clear the
 * state. Longer than the retransmission of a lost packet takes within a data
 * centre. */
#define BG_LINK_PING_TIMEOUT_MS 150
/** A link is closed if nothing was received for this long while a reply is
 * expected. */
#define BG_LINK_RECEIVE_TIMEOUT_MS 2500
/** Largest message in either direction: a body of 1 MiB with its headers. */
#define BG_LINK_MESSAGE_MAX_BYTES (3u << 19)

struct bg_link;
struct bg_link_server;
struct bg_rpc;

struct bg_link_options {
	uint32_t version;
	const char *local_ip; /**< source IPv4 address to bind, or NULL */
	uint32_t connect_timeout_ms; /**< time allowed for connecting */
};

#define BG_LINK_OPTIONS_VERSION 1
#define BG_LINK_OPTIONS_INIT                       \
	{                                          \
		BG_LINK_OPTIONS_VERSION, NULL, 500 \
	}

/**
 * Receives the result of a call. Runs exactly once for each call that
 * bg_link_call accepted, unless bg_link_cancel cancels it.
 *
 * @param code 0; BG_EUNAVAILABLE if the connection was not established, so that
 *     nothing was written to the peer; BG_EIO if it was closed later;
 *     BG_ETIMEOUT; BG_EPROTO if the peer rejected the call; BG_ENOMEM;
 *     BG_ECANCELED if the link was freed
 * @param res decoded result, released after the callback; NULL if code is not 0
 *     or the call has no result
 */
typedef void (*bg_link_reply_fn)(void *arg, int code, void *res);

/** Runs once when the connection fails or is closed, after its pending calls
 * have failed; does not run for bg_link_free. */
typedef void (*bg_link_close_fn)(void *arg);

/**
 * Creates a link and starts to connect. Calls are accepted at once and sent
 * when the connection is established. A failure to connect is reported from the
 * event loop by on_close.
 *
 * @param address "ip:port" with an IPv4 address
 * @param opts not referenced after the call
 * @param on_close may be NULL
 * @return 0, BG_EINVAL if the address is not valid, or BG_ENOMEM
 */
int bg_link_init(struct bg_link **out, struct event_base *base,
    const char *address, const struct bg_link_options *opts,
    bg_link_close_fn on_close, void *arg, struct bg_error *err);
/**
 * Fails pending calls with BG_ECANCELED and closes the connection; on_close
 * does not run. Safe inside a callback of the link.
 *
 * @param link may be NULL
 */
void bg_link_free(struct bg_link *link);

/**
 * Sends a call. The callback never runs before this function returns.
 *
 * @param out_xid identifies the call for bg_link_cancel; may be NULL
 * @param xargs encoder of the arguments, or NULL if there are none
 * @param args encoded before the function returns
 * @param xres decoder of the result, or NULL if there is none
 * @param res_bytes size of the struct that xres decodes into
 * @param timeout_ms 0 for none
 * @param fn may be NULL
 * @return 0; BG_EUNAVAILABLE if the link is closed; BG_EPROTO if the arguments
 *     do not encode or the message exceeds BG_LINK_MESSAGE_MAX_BYTES; or
 *     BG_ENOMEM. After an error the callback does not run.
 */
int bg_link_call(uint32_t *out_xid, struct bg_link *link, uint32_t proc,
    xdrproc_t xargs, void *args, xdrproc_t xres, size_t res_bytes,
    uint32_t timeout_ms, bg_link_reply_fn fn, void *arg);

/**
 * Removes a pending call without running its callback and sends a CANCEL to the
 * peer. Does nothing if no call with this xid is pending.
 */
void bg_link_cancel(struct bg_link *link, uint32_t xid);

/** Milliseconds since bytes were received or, if none were yet, since the
 * connection was established; UINT64_MAX if it was not established. */
uint64_t bg_link_idle_ms(const struct bg_link *link);
/** Address given to bg_link_init; valid as long as the link. */
const char *bg_link_address(const struct bg_link *link);
/** 1 from the time the connection is established until it is closed. */
int bg_link_is_connected(const struct bg_link *link);
/** Makes the link suspect until bytes are received. For callers whose own ping
 * timed out. */
void bg_link_mark_suspect(struct bg_link *link);
/** 1 while calls await a reply, among them pings that the link sent. */
int bg_link_has_pending_calls(const struct bg_link *link);
/** 1 if the link is suspect; see BG_LINK_PING_TIMEOUT_MS. */
int bg_link_is_suspect(const struct bg_link *link);
/** Milliseconds since the link became suspect; 0 if it is not. */
uint64_t bg_link_suspect_ms(const struct bg_link *link);

/**
 * Handles one call. The handler owns the rpc and passes it to bg_rpc_reply or
 * bg_rpc_drop, before it returns or later.
 *
 * @param args decoded arguments, valid as long as the rpc; NULL if the handler
 *     has no xargs
 */
typedef void (*bg_rpc_fn)(void *arg, struct bg_rpc *rpc, void *args);

struct bg_rpc_handler {
	uint32_t proc;
	xdrproc_t xargs;   /**< decoder of the arguments, or NULL */
	size_t args_bytes; /**< size of the struct that xargs decodes into */
	bg_rpc_fn fn;
	void *arg;
};

/**
 * Listens on an address. The server answers PING and CANCEL itself.
 *
 * @param address "ip:port" with an IPv4 address; port 0 selects a free port
 * @return 0, BG_EINVAL if the address is not valid, BG_EIO if the socket cannot
 *     be opened, or BG_ENOMEM
 */
int bg_link_server_init(struct bg_link_server **out, struct event_base *base,
    const char *address, struct bg_error *err);
/**
 * Closes the listening socket and all connections, which runs the cancel
 * callbacks of unanswered calls. Must not be called from a handler or a cancel
 * callback. Calls with arguments must be replied to or dropped before this
 * returns, at the latest in their cancel callbacks, because the handler table
 * with the decoder that frees the arguments belongs to the server. Calls
 * without arguments may be released later.
 *
 * @param srv may be NULL
 */
void bg_link_server_free(struct bg_link_server *srv);
/**
 * Registers the handler of a procedure; the struct is copied.
 *
 * @return 0, or BG_ELIMIT above 16 handlers
 */
int bg_link_server_add_handler(
    struct bg_link_server *srv, const struct bg_rpc_handler *handler);
/** Port in use, also if port 0 was requested. */
uint16_t bg_link_server_port(const struct bg_link_server *srv);
/** Bytes of replies that peers have not read yet, on all connections. */
uint64_t bg_link_server_output_bytes(const struct bg_link_server *srv);
/** Closes the listening socket; open connections stay open. */
void bg_link_server_stop_listening(struct bg_link_server *srv);

/**
 * Sends a reply and releases the rpc. The reply is discarded if the connection
 * was closed. If it does not encode or exceeds BG_LINK_MESSAGE_MAX_BYTES, an
 * error is logged and no reply is sent; the call of the peer then ends with its
 * timeout or the close of its link.
 *
 * @param xres encoder of the result; NULL replies that the procedure is
 *     unavailable
 */
void bg_rpc_reply(struct bg_rpc *rpc, xdrproc_t xres, void *res);
/** Takes over the arguments of a call, so that they outlive the rpc. Release
 * them with xdr_free() and free(). @return NULL if there are none */
void *bg_rpc_take_args(struct bg_rpc *rpc);
/** Releases the rpc without a reply, for calls that were canceled or that
 * cannot be handled, for example without memory. A peer that is connected and
 * has not canceled the call waits until its timeout or the close of its link.
 */
void bg_rpc_drop(struct bg_rpc *rpc);
/**
 * Sets the callback that runs at most once, if the peer cancels the call or the
 * connection is closed by either side before the rpc is released. The handler
 * still owns the rpc and passes it to bg_rpc_reply or bg_rpc_drop, in the
 * callback or later.
 *
 * Call it before the handler returns: a CANCEL or a close that arrives while no
 * callback is set is not reported later.
 */
void bg_rpc_on_cancel(struct bg_rpc *rpc, void (*fn)(void *), void *arg);
/** Address of the peer's socket, "ip:port"; empty if the connection was closed.
 */
const char *bg_rpc_peer(const struct bg_rpc *rpc);

/**
 * Links by address. All calls to a peer share one link, which is opened on
 * demand and replaced after it is closed or becomes suspect. Up to two suspect
 * links to a peer are kept until their pending calls end.
 */
struct bg_link_pool;

/** @return 0 or BG_ENOMEM */
int bg_link_pool_init(struct bg_link_pool **out, struct event_base *base,
    const struct bg_link_options *opts);
/**
 * Closes all links; pending calls fail with BG_ECANCELED.
 *
 * @param pool may be NULL
 */
void bg_link_pool_free(struct bg_link_pool *pool);
/**
 * Finds or opens the link to a peer. The pool owns the link; the caller may
 * keep the pointer only while one of its own calls is pending on the link.
 *
 * @return 0; BG_EINVAL if the address is not valid; BG_EUNAVAILABLE for 100 ms
 *     after the link to the peer failed or was closed; or BG_ENOMEM
 */
int bg_link_pool_get(struct bg_link **out, struct bg_link_pool *pool,
    const char *address, struct bg_error *err);
/** Closes the links to a peer and removes it from the pool. Pending calls fail
 * with BG_ECANCELED. */
void bg_link_pool_remove(struct bg_link_pool *pool, const char *address);

#endif
