#include <ctype.h>
#include <string.h>

#include "../http/field.h"
#include "../http/syntax.h"
#include "chunk_decoder.h"
#include "response_line.h"

#define LINE_MAX_BYTES 1024
#define TRAILERS_MAX_BYTES 8192
#define HEX_BASE 16

void
bg_chunk_decoder_init(struct bg_chunk_decoder *dec)
{
	memset(dec, 0, sizeof(*dec));
}

static size_t
count_digits(const char *text, size_t bytes)
{
	size_t n = 0;

	while (n < bytes && isxdigit((unsigned char)text[n]))
		n++;
	return n;
}

/* Extensions follow the size after a semicolon, with blanks before it. They are
 * ignored. */
static int
can_begin_size_line(const char *text, size_t bytes)
{
	size_t digits = count_digits(text, bytes);
	size_t at = digits;

	if (digits == 0 && bytes > 0)
		return 0;
	while (at < bytes && bg_http_is_blank(text[at]))
		at++;
	return at == bytes ||
	    (text[at] == ';' && bg_http_is_value(text + at, bytes - at));
}

static int
is_size_line(const struct bg_response_line *line)
{
	size_t digits = count_digits(line->text, line->bytes);

	return digits > 0 &&
	    (digits == line->bytes ||
		memchr(line->text, ';', line->bytes) != NULL);
}

static uint32_t
digit_value(char digit)
{
	if (isdigit((unsigned char)digit))
		return (uint32_t)(digit - '0');
	return (uint32_t)(tolower((unsigned char)digit) - 'a' + 10);
}

static enum bg_response_progress
parse_size(
    uint64_t *out, const struct bg_response_line *line, uint64_t max_bytes)
{
	size_t digits = count_digits(line->text, line->bytes);
	uint64_t bytes = 0;
	size_t i;

	if (!is_size_line(line))
		return BG_RESPONSE_INVALID;
	for (i = 0; i < digits; i++) {
		bytes = bytes * HEX_BASE + digit_value(line->text[i]);
		if (bytes > max_bytes)
			return BG_RESPONSE_OVERSIZED;
	}
	*out = bytes;
	return BG_RESPONSE_COMPLETE;
}

static enum bg_response_progress
read_size(struct bg_chunk_decoder *dec, uint64_t max_bytes, struct evbuffer *in)
{
	struct bg_response_line line;
	enum bg_response_progress progress;

	progress = bg_response_line_peek(
	    &line, in, LINE_MAX_BYTES, can_begin_size_line);
	if (progress == BG_RESPONSE_COMPLETE)
		progress = parse_size(&dec->left_bytes, &line, max_bytes);
	if (progress != BG_RESPONSE_COMPLETE)
		return progress;
	bg_response_line_drain(in, &line);
	dec->state = dec->left_bytes > 0 ? BG_CHUNK_DATA : BG_CHUNK_TRAILER;
	return BG_RESPONSE_COMPLETE;
}

static enum bg_response_progress
read_data(
    struct bg_chunk_decoder *dec, struct evbuffer *body, struct evbuffer *in)
{
	int moved = evbuffer_remove_buffer(in, body, (size_t)dec->left_bytes);

	if (moved < 0)
		return BG_RESPONSE_OVERSIZED;
	dec->left_bytes -= (uint64_t)moved;
	if (dec->left_bytes > 0)
		return BG_RESPONSE_INCOMPLETE;
	dec->state = BG_CHUNK_DATA_END;
	return BG_RESPONSE_COMPLETE;
}

static int
is_empty(const char *text, size_t bytes)
{
	return bytes == 0;
}

static enum bg_response_progress
read_data_end(struct bg_chunk_decoder *dec, struct evbuffer *in)
{
	struct bg_response_line line;
	enum bg_response_progress progress;

	progress = bg_response_line_peek(&line, in, LINE_MAX_BYTES, is_empty);
	if (progress != BG_RESPONSE_COMPLETE)
		return progress;
	bg_response_line_drain(in, &line);
	dec->state = BG_CHUNK_SIZE;
	return BG_RESPONSE_COMPLETE;
}

/* An empty line ends the trailers and the body. */
static enum bg_response_progress
read_trailer(struct bg_chunk_decoder *dec, struct evbuffer *in)
{
	struct bg_response_line line;
	struct bg_http_field field;
	enum bg_response_progress progress;

	progress = bg_response_line_peek(&line, in,
	    TRAILERS_MAX_BYTES - dec->trailer_bytes, bg_http_field_can_begin);
	if (progress != BG_RESPONSE_COMPLETE)
		return progress;
	if (line.bytes == 0)
		dec->state = BG_CHUNK_END;
	else if (bg_http_field_parse(&field, line.text, line.bytes) != 0)
		return BG_RESPONSE_INVALID;
	dec->trailer_bytes += (uint32_t)line.bytes;
	bg_response_line_drain(in, &line);
	return BG_RESPONSE_COMPLETE;
}

enum bg_response_progress
bg_chunk_decoder_feed(struct bg_chunk_decoder *dec, struct evbuffer *body,
    uint32_t body_max_bytes, struct evbuffer *in)
{
	enum bg_response_progress progress = BG_RESPONSE_COMPLETE;

	while (progress == BG_RESPONSE_COMPLETE && dec->state != BG_CHUNK_END) {
		switch (dec->state) {
		case BG_CHUNK_SIZE:
			progress = read_size(dec,
			    body_max_bytes - evbuffer_get_length(body), in);
			break;
		case BG_CHUNK_DATA:
			progress = read_data(dec, body, in);
			break;
		case BG_CHUNK_DATA_END:
			progress = read_data_end(dec, in);
			break;
		case BG_CHUNK_TRAILER:
			progress = read_trailer(dec, in);
			break;
		case BG_CHUNK_END:
			break;
		}
	}
	return progress;
}
