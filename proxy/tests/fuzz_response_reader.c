#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "gatekeeper/response_reader.h"
#include "http/syntax.h"

#define BODY_MAX_BYTES 4096

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes);

static void
check_headers(const struct bg_response_reader *rd)
{
	struct bg_xheader *headers;
	uint32_t count = bg_response_reader_headers(&headers, rd);
	uint32_t i;

	if (count > BG_RESPONSE_HEADERS_MAX)
		abort();
	for (i = 0; i < count; i++) {
		if (!bg_http_is_token(
			headers[i].name, strlen(headers[i].name)) ||
		    !bg_http_is_value(
			headers[i].value, strlen(headers[i].value)))
			abort();
	}
}

static void
check_response(const struct bg_response_reader *rd)
{
	uint32_t status = bg_response_reader_status(rd);

	if (status < 200 || status > 599 ||
	    evbuffer_get_length(bg_response_reader_body(rd)) > BODY_MAX_BYTES)
		abort();
	check_headers(rd);
}

/* Feeds the bytes in pieces of a size. @return the progress; *out_left is the
 * number of bytes that were not consumed */
static enum bg_response_progress
read_in_pieces(struct bg_response_reader *rd, const uint8_t *data, size_t bytes,
    size_t piece_bytes, size_t *out_left)
{
	enum bg_response_progress progress = BG_RESPONSE_INCOMPLETE;
	struct evbuffer *in = evbuffer_new();
	size_t at = 0;
	size_t n;

	while (at < bytes &&
	    (progress == BG_RESPONSE_INCOMPLETE ||
		progress == BG_RESPONSE_UNTIL_CLOSE)) {
		n = bytes - at < piece_bytes ? bytes - at : piece_bytes;
		evbuffer_add(in, data + at, n);
		at += n;
		progress = bg_response_reader_feed(rd, in);
	}
	*out_left = evbuffer_get_length(in) + bytes - at;
	evbuffer_free(in);
	return progress;
}

/* Guards against a response that is accepted although HTTP forbids its status,
 * a name or a value, against reads outside of the buffer, and against a result
 * that depends on how the bytes arrive. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes)
{
	enum bg_response_progress progress[2];
	struct bg_response_reader *rd[2];
	size_t left[2];
	int is_head;
	int i;

	if (bytes == 0)
		return 0;
	is_head = data[0] & 1;
	for (i = 0; i < 2; i++) {
		if (bg_response_reader_init(&rd[i], BODY_MAX_BYTES) != 0)
			abort();
		bg_response_reader_reset(rd[i], is_head);
		progress[i] = read_in_pieces(
		    rd[i], data + 1, bytes - 1, i == 0 ? bytes : 1, &left[i]);
		if (progress[i] == BG_RESPONSE_COMPLETE ||
		    progress[i] == BG_RESPONSE_UNTIL_CLOSE)
			check_response(rd[i]);
	}
	/* A part that is both invalid and too long may be rejected for either
	 * reason. */
	if (progress[0] != progress[1] &&
	    (progress[0] < BG_RESPONSE_INVALID ||
		progress[1] < BG_RESPONSE_INVALID))
		abort();
	if (progress[0] == BG_RESPONSE_COMPLETE &&
	    (left[0] != left[1] ||
		evbuffer_get_length(bg_response_reader_body(rd[0])) !=
		    evbuffer_get_length(bg_response_reader_body(rd[1]))))
		abort();
	bg_response_reader_free(rd[0]);
	bg_response_reader_free(rd[1]);
	return 0;
}
