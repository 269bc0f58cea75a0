#include "response_line.h"

#define CRLF_BYTES 2

enum bg_response_progress
bg_response_line_peek(struct bg_response_line *out, struct evbuffer *in,
    size_t max_bytes, bg_response_line_fn can_begin)
{
	struct evbuffer_ptr end =
	    evbuffer_search_eol(in, NULL, NULL, EVBUFFER_EOL_CRLF_STRICT);
	int is_whole = end.pos >= 0;
	size_t bytes = is_whole ? (size_t)end.pos : evbuffer_get_length(in);
	const char *text = "";

	if (bytes > max_bytes)
		return BG_RESPONSE_OVERSIZED;
	if (bytes > 0)
		text = (const char *)evbuffer_pullup(in, (ev_ssize_t)bytes);
	if (text == NULL)
		return BG_RESPONSE_OVERSIZED;
	/* The line feed may be still to come. */
	if (!is_whole && bytes > 0 && text[bytes - 1] == '\r')
		bytes--;
	if (!can_begin(text, bytes))
		return BG_RESPONSE_INVALID;
	if (!is_whole)
		return BG_RESPONSE_INCOMPLETE;
	out->text = text;
	out->bytes = bytes;
	return BG_RESPONSE_COMPLETE;
}

void
bg_response_line_drain(struct evbuffer *in, const struct bg_response_line *line)
{
	evbuffer_drain(in, line->bytes + CRLF_BYTES);
}
