#include <evhtp/parser.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "burdockgrade/error.h"

#include "../http/syntax.h"
#include "chunk_decoder.h"
#include "response_reader.h"

/* Largest number of bytes that the parser is given in one call. */
#define PARSE_CHUNK_BYTES 16384
/* Bounds of a status code (RFC 9110, section 15). */
#define STATUS_MIN 100
#define STATUS_MAX 599
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304
#define MS_PER_S 1000
/* Limit for the head of an interim response. */
#define INTERIM_MAX_BYTES 8192

/* First bytes of an interim response (1xx); '?' matches any character. */
static const char INTERIM_START[] = "HTTP/1.? 1";

enum interim {
	INTERIM_NONE,
	INTERIM_SKIPPED,
	INTERIM_INCOMPLETE, /* more bytes are needed */
	INTERIM_OVERSIZED,
};

struct bg_response_reader {
	htparser *parser;
	struct evbuffer *body;
	struct bg_chunk_decoder chunks;
	struct bg_xheader headers[BG_RESPONSE_HEADERS_MAX];
	uint32_t header_count;
	uint32_t body_max_bytes;
	uint32_t status;
	int is_head;
	int is_started; /* the parser has received bytes of the response */
	int is_complete;
	int is_chunked;	    /* the body is read by chunks */
	int is_until_close; /* the body ends with the connection */
	int is_invalid;
	int is_oversized;
	int keeps_alive;
};

static struct bg_response_reader *
reader_of(htparser *parser)
{
	return htparser_get_userdata(parser);
}

static int
abort_parse(int *flag)
{
	*flag = 1;
	return -1;
}

static int
on_header_name(htparser *parser, const char *data, size_t bytes)
{
	struct bg_response_reader *rd = reader_of(parser);

	if (!bg_http_is_token(data, bytes))
		return abort_parse(&rd->is_invalid);
	if (rd->header_count == BG_RESPONSE_HEADERS_MAX ||
	    bytes >= BG_RESPONSE_HEADER_NAME_BYTES)
		return abort_parse(&rd->is_oversized);
	rd->headers[rd->header_count].name = strndup(data, bytes);
	rd->headers[rd->header_count].value = NULL;
	if (rd->headers[rd->header_count].name == NULL)
		return abort_parse(&rd->is_oversized);
	rd->header_count++;
	return 0;
}

static int
on_header_value(htparser *parser, const char *data, size_t bytes)
{
	struct bg_response_reader *rd = reader_of(parser);
	struct bg_xheader *header;

	if (rd->header_count == 0)
		return abort_parse(&rd->is_invalid);
	header = &rd->headers[rd->header_count - 1];
	if (bytes >= BG_RESPONSE_HEADER_VALUE_BYTES || header->value != NULL)
		return abort_parse(&rd->is_oversized);
	if ((header->value = strndup(data, bytes)) == NULL)
		return abort_parse(&rd->is_oversized);
	return 0;
}

static int
count_headers(const struct bg_response_reader *rd, const char *name)
{
	uint32_t i;
	int n = 0;

	for (i = 0; i < rd->header_count; i++)
		n += strcasecmp(rd->headers[i].name, name) == 0;
	return n;
}

static int
has_no_body(const struct bg_response_reader *rd)
{
	return rd->is_head || rd->status == STATUS_NO_CONTENT ||
	    rd->status == STATUS_NOT_MODIFIED;
}

static int
on_headers(htparser *parser)
{
	struct bg_response_reader *rd = reader_of(parser);
	int lengths = count_headers(rd, "Content-Length");
	const char *coding = bg_response_reader_header(rd, "Transfer-Encoding");
	uint32_t i;

	rd->status = htparser_get_status(parser);
	if (rd->status < STATUS_MIN || rd->status > STATUS_MAX)
		return abort_parse(&rd->is_invalid);
	rd->keeps_alive = htparser_should_keep_alive(parser);
	for (i = 0; i < rd->header_count; i++) {
		if (rd->headers[i].value == NULL &&
		    (rd->headers[i].value = strdup("")) == NULL)
			return abort_parse(&rd->is_oversized);
	}
	if (lengths > 1 || (lengths == 1 && coding != NULL) ||
	    (coding != NULL && strcasecmp(coding, "chunked") != 0))
		return abort_parse(&rd->is_invalid);
	if (lengths == 1 && !has_no_body(rd) &&
	    htparser_get_content_length(parser) > rd->body_max_bytes)
		return abort_parse(&rd->is_oversized);
	if (has_no_body(rd))
		return abort_parse(&rd->is_complete);
	if (coding != NULL)
		return abort_parse(&rd->is_chunked);
	if (lengths == 0) {
		rd->keeps_alive = 0;
		return abort_parse(&rd->is_until_close);
	}
	return 0;
}

static int
on_body(htparser *parser, const char *data, size_t bytes)
{
	struct bg_response_reader *rd = reader_of(parser);

	if (evbuffer_get_length(rd->body) + bytes > rd->body_max_bytes)
		return abort_parse(&rd->is_oversized);
	evbuffer_add(rd->body, data, bytes);
	return 0;
}

static int
on_complete(htparser *parser)
{
	struct bg_response_reader *rd = reader_of(parser);

	return abort_parse(&rd->is_complete);
}

static htparse_hooks hooks = {
    .hdr_key = on_header_name,
    .hdr_val = on_header_value,
    .on_hdrs_complete = on_headers,
    .body = on_body,
    .on_msg_complete = on_complete,
};

int
bg_response_reader_init(
    struct bg_response_reader **out, uint32_t body_max_bytes)
{
	struct bg_response_reader *rd;

	if ((rd = calloc(1, sizeof(*rd))) == NULL)
		return BG_ENOMEM;
	rd->body_max_bytes = body_max_bytes;
	rd->parser = htparser_new();
	rd->body = evbuffer_new();
	if (rd->parser == NULL || rd->body == NULL) {
		bg_response_reader_free(rd);
		return BG_ENOMEM;
	}
	bg_response_reader_reset(rd, 0);
	*out = rd;
	return 0;
}

static void
free_headers(struct bg_response_reader *rd)
{
	uint32_t i;

	for (i = 0; i < rd->header_count; i++) {
		free(rd->headers[i].name);
		free(rd->headers[i].value);
	}
	rd->header_count = 0;
}

void
bg_response_reader_free(struct bg_response_reader *rd)
{
	if (rd == NULL)
		return;
	free_headers(rd);
	if (rd->body != NULL)
		evbuffer_free(rd->body);
	free(rd->parser);
	free(rd);
}

static void
reset_state(struct bg_response_reader *rd)
{
	free_headers(rd);
	evbuffer_drain(rd->body, evbuffer_get_length(rd->body));
	htparser_init(rd->parser, htp_type_response);
	htparser_set_userdata(rd->parser, rd);
	rd->is_started = 0;
	rd->is_complete = 0;
	rd->is_chunked = 0;
	bg_chunk_decoder_init(&rd->chunks);
	rd->is_until_close = 0;
	rd->is_invalid = 0;
	rd->is_oversized = 0;
	rd->keeps_alive = 0;
	rd->status = 0;
}

void
bg_response_reader_reset(struct bg_response_reader *rd, int is_head)
{
	rd->is_head = is_head;
	reset_state(rd);
}

/* A body that ends with the connection is not parsed. */
static enum bg_response_progress
feed_until_close(struct bg_response_reader *rd, struct evbuffer *in)
{
	if (evbuffer_get_length(rd->body) + evbuffer_get_length(in) >
	    rd->body_max_bytes)
		return BG_RESPONSE_OVERSIZED;
	evbuffer_add_buffer(rd->body, in);
	return BG_RESPONSE_UNTIL_CLOSE;
}

static enum bg_response_progress
feed_chunks(struct bg_response_reader *rd, struct evbuffer *in)
{
	return bg_chunk_decoder_feed(
	    &rd->chunks, rd->body, rd->body_max_bytes, in);
}

/* The parser does not support interim responses with headers, so they are
 * removed from its input. */
static enum interim
skip_interim(struct evbuffer *in)
{
	char start[sizeof(INTERIM_START)];
	ev_ssize_t bytes =
	    evbuffer_copyout(in, start, sizeof(INTERIM_START) - 1);
	struct evbuffer_ptr end;
	ev_ssize_t i;

	for (i = 0; i < bytes; i++) {
		if (INTERIM_START[i] != '?' && start[i] != INTERIM_START[i])
			return INTERIM_NONE;
	}
	end = evbuffer_search(in, "\r\n\r\n", 4, NULL);
	if (end.pos < 0)
		return evbuffer_get_length(in) > INTERIM_MAX_BYTES
		    ? INTERIM_OVERSIZED
		    : INTERIM_INCOMPLETE;
	evbuffer_drain(in, (size_t)end.pos + 4);
	return INTERIM_SKIPPED;
}

static void
parse_chunk(struct bg_response_reader *rd, struct evbuffer *in)
{
	size_t bytes = evbuffer_get_contiguous_space(in);
	size_t used;

	if (bytes > PARSE_CHUNK_BYTES)
		bytes = PARSE_CHUNK_BYTES;
	used = htparser_run(rd->parser, &hooks,
	    (const char *)evbuffer_pullup(in, (ev_ssize_t)bytes), bytes);
	evbuffer_drain(in, used);
	if (htparser_get_error(rd->parser) != htparse_error_none &&
	    !rd->is_complete && !rd->is_chunked && !rd->is_until_close &&
	    !rd->is_oversized)
		rd->is_invalid = 1;
}

enum bg_response_progress
bg_response_reader_feed(struct bg_response_reader *rd, struct evbuffer *in)
{
	if (rd->is_until_close)
		return feed_until_close(rd, in);
	if (rd->is_chunked)
		return feed_chunks(rd, in);
	while (evbuffer_get_length(in) > 0) {
		if (!rd->is_started) {
			switch (skip_interim(in)) {
			case INTERIM_SKIPPED:
				continue;
			case INTERIM_INCOMPLETE:
				return BG_RESPONSE_INCOMPLETE;
			case INTERIM_OVERSIZED:
				return BG_RESPONSE_OVERSIZED;
			case INTERIM_NONE:
				break;
			}
		}
		rd->is_started = 1;
		parse_chunk(rd, in);
		if (rd->is_invalid)
			return BG_RESPONSE_INVALID;
		if (rd->is_oversized)
			return BG_RESPONSE_OVERSIZED;
		if (rd->is_until_close)
			return feed_until_close(rd, in);
		if (rd->is_chunked)
			return feed_chunks(rd, in);
		if (rd->is_complete)
			return BG_RESPONSE_COMPLETE;
	}
	return BG_RESPONSE_INCOMPLETE;
}

uint32_t
bg_response_reader_status(const struct bg_response_reader *rd)
{
	return rd->status;
}

uint32_t
bg_response_reader_headers(
    struct bg_xheader **out, const struct bg_response_reader *rd)
{
	*out = (struct bg_xheader *)rd->headers;
	return rd->header_count;
}

const char *
bg_response_reader_header(const struct bg_response_reader *rd, const char *name)
{
	uint32_t i;

	for (i = 0; i < rd->header_count; i++) {
		if (strcasecmp(rd->headers[i].name, name) == 0)
			return rd->headers[i].value;
	}
	return NULL;
}

struct evbuffer *
bg_response_reader_body(const struct bg_response_reader *rd)
{
	return rd->body;
}

int
bg_response_reader_keeps_alive(const struct bg_response_reader *rd)
{
	return rd->keeps_alive;
}

uint32_t
bg_response_reader_idle_timeout_ms(const struct bg_response_reader *rd)
{
	const char *text = bg_response_reader_header(rd, "Keep-Alive");
	const char *at = text == NULL ? NULL : strstr(text, "timeout=");
	unsigned long seconds;

	if (at == NULL)
		return 0;
	seconds = strtoul(at + strlen("timeout="), NULL, 10);
	return seconds > UINT32_MAX / MS_PER_S ? 0
					       : (uint32_t)seconds * MS_PER_S;
}
