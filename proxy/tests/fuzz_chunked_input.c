#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "ingress/chunked_input.h"

#define BODY_MAX_BYTES 4096

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes);

struct result {
	enum bg_response_progress progress;
	uint64_t decoded_bytes;
	struct evbuffer *out;
};

/* Feeds the input in pieces of at most the given size. */
static void
decode(struct result *out, const uint8_t *data, size_t bytes, size_t piece)
{
	struct bg_chunked_input input;
	struct evbuffer *in = evbuffer_new();
	size_t n;

	if (in == NULL || bg_chunked_input_init(&input) != 0)
		abort();
	bg_chunked_input_reset(&input);
	out->out = evbuffer_new();
	out->progress = BG_RESPONSE_INCOMPLETE;
	while (bytes > 0 && out->progress == BG_RESPONSE_INCOMPLETE) {
		n = bytes < piece ? bytes : piece;
		evbuffer_add(in, data, n);
		out->progress =
		    bg_chunked_input_feed(&input, out->out, in, BODY_MAX_BYTES);
		if (evbuffer_get_length(in) != 0)
			abort();
		data += n;
		bytes -= n;
	}
	out->decoded_bytes = input.decoded_bytes;
	bg_chunked_input_free(&input);
	evbuffer_free(in);
}

/* Guards against a body whose end depends on how it is cut into packets, one
 * above the limit, and framing that libevhtp would read differently: the first
 * chunk that is written has its length in hexadecimal digits only. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes)
{
	struct result whole;
	struct result split;
	char first;

	decode(&whole, data, bytes, bytes);
	decode(&split, data, bytes, 3);
	if (whole.decoded_bytes > BODY_MAX_BYTES ||
	    split.decoded_bytes > BODY_MAX_BYTES)
		abort();
	if ((whole.progress == BG_RESPONSE_COMPLETE) !=
	    (split.progress == BG_RESPONSE_COMPLETE))
		abort();
	if (whole.progress == BG_RESPONSE_COMPLETE &&
	    whole.decoded_bytes != split.decoded_bytes)
		abort();
	if (evbuffer_copyout(whole.out, &first, 1) == 1 &&
	    strchr("0123456789abcdef", first) == NULL)
		abort();
	evbuffer_free(whole.out);
	evbuffer_free(split.out);
	return 0;
}
