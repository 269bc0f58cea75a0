#ifndef BG_PROXY_INGRESS_CONN_POLICY_H
#define BG_PROXY_INGRESS_CONN_POLICY_H

/** @file
 * Which connections of callers are closed when the node is short of memory or
 * at its limit of connections. Pure.
 *
 * Callers that send their requests and read their responses are never chosen.
 * A slow caller is chosen only while the node is short, so that a request
 * within the limits is served in calm.
 */

#include <stdint.h>

/** Memory that a connection takes without any input: the parser of libevhtp
 * alone has a buffer of 8 KiB. */
#define BG_CONN_OVERHEAD_BYTES 16384
/** Part of the memory for buffers that connections may take on top of it. */
#define BG_CONN_MEMORY_DIVISOR 2
/** Limit of connections of a node with very little memory. */
#define BG_CONN_LIMIT_MIN 64
/** A connection that moves no byte for this long has stalled. */
#define BG_CONN_STALL_MS 2000
/** At the limit of connections, one without a request is closed to make room
 * for a new one if it has been idle for this long. */
#define BG_CONN_IDLE_MIN_MS 1000

/** Part of the limit, in permille, from which connections are closed after a
 * response if their caller has sent its next requests already. */
#define BG_CONN_CROWDED_PERMILLE 875

/** What a connection is doing. */
enum bg_conn_activity {
	BG_CONN_IDLE,	   /**< no request */
	BG_CONN_RECEIVING, /**< part of a request was received */
	BG_CONN_SERVING,   /**< a call runs, or the connection is closing */
	BG_CONN_SENDING,   /**< a response is being read by the caller */
};

struct bg_conn_view {
	enum bg_conn_activity activity;
	uint64_t progress_ms; /**< time at which a byte last moved */
	int has_served;	      /**< a request was answered before */
};

/** Limit of open connections.
 * @param buffered_bytes memory for buffers
 * @param setting the limit of the settings; 0: none */
uint32_t bg_conn_limit(uint64_t buffered_bytes, uint32_t setting);
/** 1 if the connection is to be closed while the node is short of memory. */
int bg_conn_has_stalled(const struct bg_conn_view *conn, uint64_t now_ms);
/** 1 if the connection may be closed to make room for a new one. */
int bg_conn_is_replaceable(const struct bg_conn_view *conn, uint64_t now_ms);
/** A connection whose response is about to be written. */
struct bg_conn_crowd {
	uint32_t count; /**< open connections, and their limit */
	uint32_t limit;
	uint64_t pipelined_bytes; /**< input after the current request */
	int is_refused; /**< the response asks the caller to come back later */
};

/** 1 if the connection is to be closed after its response: its caller has sent
 * its next requests already, and either keeps others from being connected or
 * was told to come back later. Requests that follow a refusal without its delay
 * are refused as fast as they are read, thousands a second, and leave callers
 * who wait hardly a chance to get a slot. */
int bg_conn_is_crowding(const struct bg_conn_crowd *crowd);
/** 1 if a is closed rather than b; both are replaceable. */
int bg_conn_is_replaced_before(
    const struct bg_conn_view *a, const struct bg_conn_view *b);

#endif
