#ifndef BG_PROXY_CHUNK_DECODER_H
#define BG_PROXY_CHUNK_DECODER_H

/** @file
 * Decoder of a body with the chunked transfer coding (RFC 9112, section 7.1).
 * No I/O.
 */

#include <event2/buffer.h>

#include <stdint.h>

#include "response_progress.h"

enum bg_chunk_state {
	BG_CHUNK_SIZE, /**< the line before the data of a chunk */
	BG_CHUNK_DATA,
	BG_CHUNK_DATA_END, /**< the CRLF after the data */
	BG_CHUNK_TRAILER,  /**< the lines after the last chunk */
	BG_CHUNK_END,
};

struct bg_chunk_decoder {
	enum bg_chunk_state state;
	uint64_t left_bytes; /**< of the data of the current chunk */
	uint32_t trailer_bytes;
};

void bg_chunk_decoder_init(struct bg_chunk_decoder *dec);
/**
 * Moves the data of the body from one buffer to the other. Consumes no bytes
 * after the end of the body. Trailers are checked and discarded.
 *
 * @param body_max_bytes largest body that is accepted
 * @return any value but BG_RESPONSE_UNTIL_CLOSE
 */
enum bg_response_progress bg_chunk_decoder_feed(struct bg_chunk_decoder *dec,
    struct evbuffer *body, uint32_t body_max_bytes, struct evbuffer *in);

#endif
