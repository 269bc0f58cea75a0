#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "burdockgrade/error.h"

#include "../http/field.h"
#include "../http/status_line.h"
#include "../http/syntax.h"
#include "chunk_decoder.h"
#include "response_line.h"
#include "response_reader.h"

/* Blanks around a value. */
#define BLANKS_MAX_BYTES 64
#define LINE_MAX_BYTES                                                    \
	(BG_RESPONSE_HEADER_NAME_BYTES + BG_RESPONSE_HEADER_VALUE_BYTES + \
	    BLANKS_MAX_BYTES)
#define DIGITS "0123456789"
#define STATUS_SWITCHING_PROTOCOLS 101
#define STATUS_OK 200
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304
#define MS_PER_S 1000

/* Part of the response that is read next. */
enum phase {
	PHASE_STATUS_LINE,
	PHASE_HEADERS,
	PHASE_BODY, /* with a length */
	PHASE_CHUNKS,
	PHASE_UNTIL_CLOSE,
	PHASE_END,
};

struct bg_response_reader {
	struct evbuffer *body;
	struct bg_chunk_decoder chunks;
	struct bg_xheader headers[BG_RESPONSE_HEADERS_MAX];
	uint32_t header_count;
	uint32_t body_max_bytes;
	struct bg_http_status_line status_line;
	uint64_t body_left_bytes; /* PHASE_BODY */
	enum phase phase;
	int is_head;
	int keeps_alive;
};

int
bg_response_reader_init(
    struct bg_response_reader **out, uint32_t body_max_bytes)
{
	struct bg_response_reader *rd;

	if ((rd = calloc(1, sizeof(*rd))) == NULL)
		return BG_ENOMEM;
	rd->body_max_bytes = body_max_bytes;
	if ((rd->body = evbuffer_new()) == NULL) {
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
	free(rd);
}

void
bg_response_reader_reset(struct bg_response_reader *rd, int is_head)
{
	free_headers(rd);
	evbuffer_drain(rd->body, evbuffer_get_length(rd->body));
	bg_chunk_decoder_init(&rd->chunks);
	memset(&rd->status_line, 0, sizeof(rd->status_line));
	rd->phase = PHASE_STATUS_LINE;
	rd->is_head = is_head;
	rd->keeps_alive = 0;
}

static enum bg_response_progress
read_status_line(struct bg_response_reader *rd, struct evbuffer *in)
{
	struct bg_response_line line;
	enum bg_response_progress progress;

	progress = bg_response_line_peek(
	    &line, in, LINE_MAX_BYTES, bg_http_status_line_can_begin);
	if (progress != BG_RESPONSE_COMPLETE)
		return progress;
	if (bg_http_status_line_parse(
		&rd->status_line, line.text, line.bytes) != 0)
		return BG_RESPONSE_INVALID;
	bg_response_line_drain(in, &line);
	rd->phase = PHASE_HEADERS;
	return BG_RESPONSE_COMPLETE;
}

static enum bg_response_progress
add_header(struct bg_response_reader *rd, const struct bg_http_field *field)
{
	struct bg_xheader *header;

	if (rd->header_count == BG_RESPONSE_HEADERS_MAX ||
	    field->name_bytes >= BG_RESPONSE_HEADER_NAME_BYTES ||
	    field->value_bytes >= BG_RESPONSE_HEADER_VALUE_BYTES)
		return BG_RESPONSE_OVERSIZED;
	header = &rd->headers[rd->header_count++];
	header->name = strndup(field->name, field->name_bytes);
	header->value = strndup(field->value, field->value_bytes);
	return header->name == NULL || header->value == NULL
	    ? BG_RESPONSE_OVERSIZED
	    : BG_RESPONSE_COMPLETE;
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
has_connection_option(const struct bg_response_reader *rd, const char *option)
{
	uint32_t i;

	for (i = 0; i < rd->header_count; i++) {
		if (strcasecmp(rd->headers[i].name, "Connection") == 0 &&
		    bg_http_list_has(rd->headers[i].value, option))
			return 1;
	}
	return 0;
}

static int
announces_reuse(const struct bg_response_reader *rd)
{
	if (has_connection_option(rd, "close"))
		return 0;
	return rd->status_line.minor_version > 0 ||
	    has_connection_option(rd, "keep-alive");
}

static int
is_interim(const struct bg_response_reader *rd)
{
	return rd->status_line.status < STATUS_OK;
}

static int
has_no_body(const struct bg_response_reader *rd)
{
	return rd->is_head || rd->status_line.status == STATUS_NO_CONTENT ||
	    rd->status_line.status == STATUS_NOT_MODIFIED;
}

static int
is_number(const char *value)
{
	return value[0] != '\0' && value[strspn(value, DIGITS)] == '\0';
}

static enum bg_response_progress
parse_content_length(uint64_t *out, const char *number, uint64_t body_max_bytes)
{
	uint64_t bytes = 0;

	for (; *number != '\0'; number++) {
		bytes = bytes * 10 + (uint64_t)(*number - '0');
		if (bytes > body_max_bytes)
			return BG_RESPONSE_OVERSIZED;
	}
	*out = bytes;
	return BG_RESPONSE_COMPLETE;
}

/* 1 if the headers that give the length of the body are valid and agree. */
static int
has_valid_framing(const struct bg_response_reader *rd)
{
	const char *length = bg_response_reader_header(rd, "Content-Length");
	const char *coding = bg_response_reader_header(rd, "Transfer-Encoding");

	if (length != NULL)
		return coding == NULL && is_number(length) &&
		    count_headers(rd, "Content-Length") == 1;
	return coding == NULL ||
	    (strcasecmp(coding, "chunked") == 0 &&
		count_headers(rd, "Transfer-Encoding") == 1 &&
		rd->status_line.minor_version > 0);
}

/* Determines the length of the body (RFC 9112, section 6.3). */
static enum bg_response_progress
start_body(struct bg_response_reader *rd)
{
	const char *length = bg_response_reader_header(rd, "Content-Length");
	const char *coding = bg_response_reader_header(rd, "Transfer-Encoding");

	if (!has_valid_framing(rd))
		return BG_RESPONSE_INVALID;
	if (has_no_body(rd))
		rd->phase = PHASE_END;
	else if (coding != NULL)
		rd->phase = PHASE_CHUNKS;
	else if (length != NULL) {
		rd->phase = PHASE_BODY;
		return parse_content_length(
		    &rd->body_left_bytes, length, rd->body_max_bytes);
	} else {
		rd->phase = PHASE_UNTIL_CLOSE;
		rd->keeps_alive = 0;
	}
	return BG_RESPONSE_COMPLETE;
}

/* An interim response is skipped, but not one that changes the protocol: no
 * request asks for that. */
static enum bg_response_progress
finish_head(struct bg_response_reader *rd)
{
	if (rd->status_line.status == STATUS_SWITCHING_PROTOCOLS)
		return BG_RESPONSE_INVALID;
	if (is_interim(rd)) {
		bg_response_reader_reset(rd, rd->is_head);
		return BG_RESPONSE_COMPLETE;
	}
	rd->keeps_alive = announces_reuse(rd);
	return start_body(rd);
}

/* Reads a header line, or the empty line that ends the head. */
static enum bg_response_progress
read_header(struct bg_response_reader *rd, struct evbuffer *in)
{
	struct bg_response_line line;
	struct bg_http_field field;
	enum bg_response_progress progress;

	progress = bg_response_line_peek(
	    &line, in, LINE_MAX_BYTES, bg_http_field_can_begin);
	if (progress != BG_RESPONSE_COMPLETE)
		return progress;
	if (line.bytes == 0)
		progress = finish_head(rd);
	else if (bg_http_field_parse(&field, line.text, line.bytes) == 0)
		progress = add_header(rd, &field);
	else
		progress = BG_RESPONSE_INVALID;
	bg_response_line_drain(in, &line);
	return progress;
}

static enum bg_response_progress
read_body(struct bg_response_reader *rd, struct evbuffer *in)
{
	int moved =
	    evbuffer_remove_buffer(in, rd->body, (size_t)rd->body_left_bytes);

	if (moved < 0)
		return BG_RESPONSE_OVERSIZED;
	rd->body_left_bytes -= (uint64_t)moved;
	if (rd->body_left_bytes > 0)
		return BG_RESPONSE_INCOMPLETE;
	rd->phase = PHASE_END;
	return BG_RESPONSE_COMPLETE;
}

static enum bg_response_progress
read_chunks(struct bg_response_reader *rd, struct evbuffer *in)
{
	enum bg_response_progress progress = bg_chunk_decoder_feed(
	    &rd->chunks, rd->body, rd->body_max_bytes, in);

	if (progress == BG_RESPONSE_COMPLETE)
		rd->phase = PHASE_END;
	return progress;
}

static enum bg_response_progress
read_until_close(struct bg_response_reader *rd, struct evbuffer *in)
{
	if (evbuffer_get_length(rd->body) + evbuffer_get_length(in) >
	    rd->body_max_bytes)
		return BG_RESPONSE_OVERSIZED;
	evbuffer_add_buffer(rd->body, in);
	return BG_RESPONSE_UNTIL_CLOSE;
}

enum bg_response_progress
bg_response_reader_feed(struct bg_response_reader *rd, struct evbuffer *in)
{
	enum bg_response_progress progress = BG_RESPONSE_COMPLETE;

	while (progress == BG_RESPONSE_COMPLETE && rd->phase != PHASE_END) {
		switch (rd->phase) {
		case PHASE_STATUS_LINE:
			progress = read_status_line(rd, in);
			break;
		case PHASE_HEADERS:
			progress = read_header(rd, in);
			break;
		case PHASE_BODY:
			progress = read_body(rd, in);
			break;
		case PHASE_CHUNKS:
			progress = read_chunks(rd, in);
			break;
		case PHASE_UNTIL_CLOSE:
			progress = read_until_close(rd, in);
			break;
		case PHASE_END:
			break;
		}
	}
	return progress;
}

uint32_t
bg_response_reader_status(const struct bg_response_reader *rd)
{
	return rd->status_line.status;
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
