#ifndef BG_LINK_FRAME_H
#define BG_LINK_FRAME_H

#include <event2/buffer.h>
#include <stdint.h>

#include "burdockgrade/wire_xdr.h"

/** A received message in contiguous memory. */
struct bg_frame {
	char *data; /**< without the record mark */
	uint32_t data_bytes;
};

/**
 * Removes one message from the buffer.
 *
 * @param out set if the result is 1; the caller frees out->data
 * @return 1 if a message was read; 0 if more bytes are needed; BG_EPROTO if the
 *     message is empty, fragmented or larger than BG_LINK_MESSAGE_MAX_BYTES; or
 *     BG_ENOMEM
 */
int bg_frame_read(struct bg_frame *out, struct evbuffer *in);

/**
 * Appends a call message to the buffer.
 *
 * @param xargs may be NULL
 * @return 0, BG_EPROTO if the message does not encode or is too large, or
 *     BG_ENOMEM
 */
int bg_frame_write_call(struct evbuffer *out, uint32_t xid, uint32_t proc,
    xdrproc_t xargs, void *args);

/**
 * Appends a reply message to the buffer.
 *
 * @return as of bg_frame_write_call
 */
int bg_frame_write_reply(
    struct evbuffer *out, uint32_t xid, xdrproc_t xres, void *res);
/**
 * Appends a reply without a result, which ends the call at its caller.
 *
 * @param why any value but SUCCESS and PROG_MISMATCH
 * @return as of bg_frame_write_call
 */
int bg_frame_write_failure(
    struct evbuffer *out, uint32_t xid, enum accept_stat why);

/** XDR routine of an empty body. */
bool_t bg_xdr_empty(XDR *xdrs, void *unused);

enum bg_traffic { BG_TRAFFIC_CONTROL, BG_TRAFFIC_CALL };

/**
 * Adds a message to the byte counters of its kind of traffic.
 *
 * @param bytes without the record mark, which is added
 */
void bg_frame_count_bytes(uint32_t proc, int is_sent, uint64_t bytes);

#endif
