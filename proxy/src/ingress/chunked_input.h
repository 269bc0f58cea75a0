#ifndef BG_PROXY_CHUNKED_INPUT_H
#define BG_PROXY_CHUNKED_INPUT_H

/** @file
 * Decodes the chunked body of a request and frames it anew for libevhtp, whose
 * parser reads some sizes and extensions differently on different machines.
 * Extensions and trailers are left out. No I/O.
 */

#include <event2/buffer.h>

#include <stdint.h>

#include "../gatekeeper/chunk_decoder.h"

struct bg_chunked_input {
	struct bg_chunk_decoder decoder;
	struct evbuffer *undecoded; /**< received; less than a line while the
					 body goes on */
	struct evbuffer *data;	    /**< of the chunks of one feed */
	uint64_t decoded_bytes;	    /**< of the body so far */
};

/** @return 0 or BG_ENOMEM; bg_chunked_input_free() is due in any case */
int bg_chunked_input_init(struct bg_chunked_input *out);
void bg_chunked_input_free(struct bg_chunked_input *input);
/** Begins a new body. */
void bg_chunked_input_reset(struct bg_chunked_input *input);
/**
 * Moves received bytes from one buffer to the other, as chunks that any parser
 * reads alike. The bytes after the body stay in input->undecoded.
 *
 * @param out gets the end of the body once that was received
 * @param in empty afterwards
 * @return BG_RESPONSE_COMPLETE at the end of the body, BG_RESPONSE_INCOMPLETE,
 *     BG_RESPONSE_OVERSIZED or BG_RESPONSE_INVALID
 */
enum bg_response_progress bg_chunked_input_feed(struct bg_chunked_input *input,
    struct evbuffer *out, struct evbuffer *in, uint64_t body_max_bytes);

#endif
