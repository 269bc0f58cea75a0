#include <ctype.h>
#include <string.h>
#include <strings.h>

#include "../http/syntax.h"
#include "request_head.h"

/* A Content-Length with more digits is rejected as too large, even if it starts
 * with zeros. A number below 10^15 does not overflow 64 bits, and a larger one
 * exceeds any body limit, since bg_settings.limits.body_bytes has 32 bits. */
#define CONTENT_LENGTH_DIGITS_MAX 15

struct head_parser {
	struct bg_request_head *head;
	const char **reason;
	int content_length_count;
	int transfer_encoding_count;
	int header_count;
};

/* The check_*() functions return 0 if their part of the head is valid,
 * otherwise the HTTP status of the rejection. Unlike bg_request_head_check(),
 * they never report an incomplete head. */

static int
reject(struct head_parser *psr, int status, const char *reason)
{
	*psr->reason = reason;
	return status;
}

static int
check_request_line(struct head_parser *psr, const char *line, size_t bytes)
{
	const char *method_end = memchr(line, ' ', bytes);
	const char *target_end = method_end == NULL
	    ? NULL
	    : memchr(
		  method_end + 1, ' ', bytes - (size_t)(method_end + 1 - line));
	size_t method_bytes;
	size_t target_bytes;
	size_t i;

	if (target_end == NULL)
		return reject(psr, 400, "the request line is not valid");
	method_bytes = (size_t)(method_end - line);
	target_bytes = (size_t)(target_end - method_end - 1);
	if (!bg_http_is_token(line, method_bytes) ||
	    method_bytes >= sizeof(psr->head->method) || target_bytes == 0 ||
	    method_end[1] != '/')
		return reject(psr, 400, "the request line is not valid");
	if (target_bytes >= sizeof(psr->head->target))
		return reject(psr, 414, "the path is too long");
	for (i = 0; i < target_bytes; i++) {
		if ((unsigned char)method_end[1 + i] <= ' ' ||
		    method_end[1 + i] == 0x7f)
			return reject(psr, 400, "the path is not valid");
	}
	if (bytes - (size_t)(target_end + 1 - line) != 8 ||
	    (memcmp(target_end + 1, "HTTP/1.1", 8) != 0 &&
		memcmp(target_end + 1, "HTTP/1.0", 8) != 0))
		return reject(
		    psr, 505, "only HTTP/1.0 and HTTP/1.1 are served");
	memcpy(psr->head->method, line, method_bytes);
	memcpy(psr->head->target, method_end + 1, target_bytes);
	return 0;
}

static int
check_content_length(struct head_parser *psr, const char *value, size_t bytes)
{
	size_t i;

	if (psr->content_length_count++ > 0)
		return reject(psr, 400, "more than one Content-Length");
	if (bytes == 0)
		return reject(psr, 400, "Content-Length is not a number");
	for (i = 0; i < bytes; i++) {
		if (!isdigit((unsigned char)value[i]))
			return reject(
			    psr, 400, "Content-Length is not a number");
	}
	if (bytes > CONTENT_LENGTH_DIGITS_MAX)
		return reject(psr, 413, "the body is too large");
	for (i = 0; i < bytes; i++)
		psr->head->body_bytes =
		    psr->head->body_bytes * 10 + (uint64_t)(value[i] - '0');
	return 0;
}

static int
check_transfer_encoding(
    struct head_parser *psr, const char *value, size_t bytes)
{
	if (psr->transfer_encoding_count++ > 0 || bytes != 7 ||
	    strncasecmp(value, "chunked", 7) != 0)
		return reject(psr, 400, "Transfer-Encoding is not chunked");
	psr->head->is_chunked = 1;
	return 0;
}

static int
equals_ignoring_case(const char *text, size_t bytes, const char *expected)
{
	return bytes == strlen(expected) &&
	    strncasecmp(text, expected, bytes) == 0;
}

static int
check_header(struct head_parser *psr, const char *line, size_t bytes)
{
	const char *colon = memchr(line, ':', bytes);
	const char *value;
	const char *end = line + bytes;
	size_t name_bytes;

	if (colon == NULL || !bg_http_is_token(line, (size_t)(colon - line)))
		return reject(psr, 400, "a header line is not valid");
	name_bytes = (size_t)(colon - line);
	value = colon + 1;
	while (value < end && (*value == ' ' || *value == '\t'))
		value++;
	while (end > value && (end[-1] == ' ' || end[-1] == '\t'))
		end--;
	/* These sizes include a NUL, as all sizes in request_head.h do,
	 * although nothing is copied here. */
	if (name_bytes >= BG_REQUEST_HEADER_NAME_BYTES ||
	    (size_t)(end - value) >= BG_REQUEST_HEADER_VALUE_BYTES)
		return reject(psr, 431, "a header is too long");
	if (++psr->header_count > BG_REQUEST_HEADERS_MAX)
		return reject(psr, 431, "too many headers");
	if (equals_ignoring_case(line, name_bytes, "Content-Length"))
		return check_content_length(psr, value, (size_t)(end - value));
	if (equals_ignoring_case(line, name_bytes, "Transfer-Encoding"))
		return check_transfer_encoding(
		    psr, value, (size_t)(end - value));
	return 0;
}

/* Rejects bare line feeds, bare carriage returns and NULs, which end a line for
 * some parsers only. */
static int
check_line_endings(struct head_parser *psr, const char *data, size_t bytes)
{
	size_t i;

	for (i = 0; i < bytes; i++) {
		if (data[i] == '\0' ||
		    (data[i] == '\n' && (i == 0 || data[i - 1] != '\r')) ||
		    (data[i] == '\r' && i + 1 < bytes && data[i + 1] != '\n'))
			return reject(psr, 400, "the head is not valid");
	}
	return 0;
}

static int
check_lines(struct head_parser *psr, const char *data, size_t bytes)
{
	const char *line = data;
	const char *end = data + bytes;
	const char *eol;
	int status;

	for (; line < end; line = eol + 2) {
		eol = memmem(line, (size_t)(end - line), "\r\n", 2);
		if (eol == line && line == data)
			return reject(psr, 400, "the request line is missing");
		if (eol == NULL || eol == line)
			break;
		status = line == data
		    ? check_request_line(psr, line, (size_t)(eol - line))
		    : check_header(psr, line, (size_t)(eol - line));
		if (status != 0)
			return status;
	}
	return 0;
}

int
bg_request_head_check(struct bg_request_head *out, const char **out_reason,
    const char *data, size_t data_bytes, uint64_t body_max_bytes)
{
	struct head_parser psr = {out, out_reason, 0, 0, 0};
	const char *end = memmem(data, data_bytes, "\r\n\r\n", 4);
	size_t bytes = end == NULL ? data_bytes : (size_t)(end - data) + 4;
	int status;

	memset(out, 0, sizeof(*out));
	if ((status = check_line_endings(&psr, data, bytes)) != 0)
		return status;
	if (bytes > BG_REQUEST_HEAD_MAX_BYTES)
		return reject(&psr, 431, "the head is too long");
	if (end == NULL)
		return BG_REQUEST_HEAD_INCOMPLETE;
	out->head_bytes = bytes;
	if ((status = check_lines(&psr, data, bytes)) != 0)
		return status;
	if (psr.content_length_count > 0 && psr.transfer_encoding_count > 0)
		return reject(
		    &psr, 400, "Content-Length with Transfer-Encoding");
	if (out->body_bytes > body_max_bytes)
		return reject(&psr, 413, "the body is too large");
	return BG_REQUEST_HEAD_VALID;
}
