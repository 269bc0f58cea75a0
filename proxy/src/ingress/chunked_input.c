#include <string.h>

#include "burdockgrade/error.h"

#include "chunked_input.h"

#define LAST_CHUNK "0\r\n\r\n"

int
bg_chunked_input_init(struct bg_chunked_input *out)
{
	memset(out, 0, sizeof(*out));
	out->undecoded = evbuffer_new();
	out->data = evbuffer_new();
	return out->undecoded == NULL || out->data == NULL ? BG_ENOMEM : 0;
}

void
bg_chunked_input_free(struct bg_chunked_input *input)
{
	if (input->undecoded != NULL)
		evbuffer_free(input->undecoded);
	if (input->data != NULL)
		evbuffer_free(input->data);
}

void
bg_chunked_input_reset(struct bg_chunked_input *input)
{
	bg_chunk_decoder_init(&input->decoder);
	evbuffer_drain(input->undecoded, evbuffer_get_length(input->undecoded));
	input->decoded_bytes = 0;
}

/* Appends the decoded data as one chunk. */
static void
write_chunk(struct evbuffer *out, struct evbuffer *data)
{
	size_t bytes = evbuffer_get_length(data);

	if (bytes == 0)
		return;
	evbuffer_add_printf(out, "%zx\r\n", bytes);
	evbuffer_add_buffer(out, data);
	evbuffer_add(out, "\r\n", 2);
}

/* 1 if the line that frames the next chunk has not ended. */
static int
is_line_open(struct bg_chunked_input *input)
{
	return evbuffer_search(input->undecoded, "\n", 1, NULL).pos < 0;
}

enum bg_response_progress
bg_chunked_input_feed(struct bg_chunked_input *input, struct evbuffer *out,
    struct evbuffer *in, uint64_t body_max_bytes)
{
	enum bg_response_progress progress;

	evbuffer_add_buffer(input->undecoded, in);
	progress = bg_chunk_decoder_feed(&input->decoder, input->data,
	    (uint32_t)(body_max_bytes - input->decoded_bytes),
	    input->undecoded);
	input->decoded_bytes += evbuffer_get_length(input->data);
	write_chunk(out, input->data);
	/* Then it is the framing that is too long, not the body. */
	if (progress == BG_RESPONSE_OVERSIZED && is_line_open(input))
		return BG_RESPONSE_INVALID;
	if (progress == BG_RESPONSE_COMPLETE)
		evbuffer_add(out, LAST_CHUNK, sizeof(LAST_CHUNK) - 1);
	return progress;
}
