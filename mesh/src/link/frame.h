#ifndef BG_LINK_FRAME_H
#define BG_LINK_FRAME_H

#include <event2/buffer.h>
#include <stdint.h>

#include "burdockgrade/wire_xdr.h"

/** A received message, contiguous. */
struct bg_frame {
	char *data;
	uint32_t data_bytes;
};

/**
 * Takes one message off the buffer.
 *
 * @return 1 if there is one, 0 if more bytes are needed, BG_EPROTO if the
 *     stream is not valid; the caller frees out->data
 */
int bg_frame_read(struct bg_frame *out, struct evbuffer *in);

/** Appends a call message. @return 0, BG_EPROTO or BG_ENOMEM */
int bg_frame_write_call(struct evbuffer *out, uint32_t xid, uint32_t proc,
    xdrproc_t xargs, void *args);

/** Appends a reply message; xres NULL says that the procedure is unknown. */
int bg_frame_write_reply(
    struct evbuffer *out, uint32_t xid, xdrproc_t xres, void *res);

/** Encodes and decodes an empty body. */
bool_t bg_xdr_empty(XDR *xdrs, void *unused);

enum bg_traffic { BG_TRAFFIC_CONTROL, BG_TRAFFIC_CALL };

/** Counts bytes by purpose, for the metrics page. */
void bg_frame_count_bytes(uint32_t proc, int is_sent, uint64_t bytes);

#endif
