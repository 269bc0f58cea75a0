#include <ctype.h>
#include <string.h>
#include <strings.h>

#include "request_head.h"

#define ACCEPTED 200
/* Digits of the longest Content-Length that is read; 10^15 exceeds any body
 * limit and does not overflow. */
#define LENGTH_DIGITS 15

struct scan {
	struct bg_request_head *head;
	const char **reason;
	int lengths;
	int codings;
	int headers;
};

static int
refuse(struct scan *sc, int status, const char *reason)
{
	*sc->reason = reason;
	return status;
}

static int
is_token(const char *s, size_t bytes)
{
	size_t i;

	for (i = 0; i < bytes; i++) {
		if (!isalnum((unsigned char)s[i]) &&
		    (s[i] == '\0' || strchr("!#$%&'*+-.^_`|~", s[i]) == NULL))
			return 0;
	}
	return bytes > 0;
}

static int
check_request_line(struct scan *sc, const char *line, size_t bytes)
{
	const char *sp1 = memchr(line, ' ', bytes);
	const char *sp2 = sp1 == NULL
	    ? NULL
	    : memchr(sp1 + 1, ' ', bytes - (size_t)(sp1 + 1 - line));
	size_t method;
	size_t target;
	size_t i;

	if (sp2 == NULL)
		return refuse(sc, 400, "the request line is not valid");
	method = (size_t)(sp1 - line);
	target = (size_t)(sp2 - sp1 - 1);
	if (!is_token(line, method) || method >= sizeof(sc->head->method) ||
	    target == 0 || sp1[1] != '/')
		return refuse(sc, 400, "the request line is not valid");
	if (target >= sizeof(sc->head->target))
		return refuse(sc, 414, "the path is too long");
	for (i = 0; i < target; i++) {
		if ((unsigned char)sp1[1 + i] <= ' ' || sp1[1 + i] == 0x7f)
			return refuse(sc, 400, "the path is not valid");
	}
	if (bytes - (size_t)(sp2 + 1 - line) != 8 ||
	    (memcmp(sp2 + 1, "HTTP/1.1", 8) != 0 &&
		memcmp(sp2 + 1, "HTTP/1.0", 8) != 0))
		return refuse(sc, 505, "only HTTP/1.0 and HTTP/1.1 are served");
	memcpy(sc->head->method, line, method);
	memcpy(sc->head->target, sp1 + 1, target);
	return 0;
}

static int
check_length(struct scan *sc, const char *value, size_t bytes)
{
	size_t i;

	if (sc->lengths++ > 0)
		return refuse(sc, 400, "more than one Content-Length");
	if (bytes == 0)
		return refuse(sc, 400, "Content-Length is not a number");
	for (i = 0; i < bytes; i++) {
		if (!isdigit((unsigned char)value[i]))
			return refuse(
			    sc, 400, "Content-Length is not a number");
	}
	if (bytes > LENGTH_DIGITS)
		return refuse(sc, 413, "the body is too large");
	for (i = 0; i < bytes; i++)
		sc->head->body_bytes =
		    sc->head->body_bytes * 10 + (uint64_t)(value[i] - '0');
	return 0;
}

static int
check_coding(struct scan *sc, const char *value, size_t bytes)
{
	if (sc->codings++ > 0 || bytes != 7 ||
	    strncasecmp(value, "chunked", 7) != 0)
		return refuse(sc, 400, "Transfer-Encoding is not chunked");
	sc->head->is_chunked = 1;
	return 0;
}

static int
is_named(const char *line, size_t bytes, const char *name)
{
	return bytes == strlen(name) && strncasecmp(line, name, bytes) == 0;
}

static int
check_header(struct scan *sc, const char *line, size_t bytes)
{
	const char *colon = memchr(line, ':', bytes);
	const char *value;
	const char *end = line + bytes;
	size_t name_bytes;

	if (colon == NULL || !is_token(line, (size_t)(colon - line)))
		return refuse(sc, 400, "a header line is not valid");
	name_bytes = (size_t)(colon - line);
	value = colon + 1;
	while (value < end && (*value == ' ' || *value == '\t'))
		value++;
	while (end > value && (end[-1] == ' ' || end[-1] == '\t'))
		end--;
	if (name_bytes >= BG_REQUEST_NAME_BYTES ||
	    (size_t)(end - value) >= BG_REQUEST_VALUE_BYTES)
		return refuse(sc, 431, "a header is too long");
	if (++sc->headers > BG_REQUEST_HEADERS)
		return refuse(sc, 431, "too many headers");
	if (is_named(line, name_bytes, "Content-Length"))
		return check_length(sc, value, (size_t)(end - value));
	if (is_named(line, name_bytes, "Transfer-Encoding"))
		return check_coding(sc, value, (size_t)(end - value));
	return 0;
}

/* A line feed alone, a NUL or a bare carriage return ends a line for some
 * parsers only. */
static int
check_bytes(struct scan *sc, const char *data, size_t bytes)
{
	size_t i;

	for (i = 0; i < bytes; i++) {
		if (data[i] == '\0' ||
		    (data[i] == '\n' && (i == 0 || data[i - 1] != '\r')) ||
		    (data[i] == '\r' && i + 1 < bytes && data[i + 1] != '\n'))
			return refuse(sc, 400, "the head is not valid");
	}
	return 0;
}

static int
check_lines(struct scan *sc, const char *data, size_t bytes)
{
	const char *line = data;
	const char *end = data + bytes;
	const char *eol;
	int status;

	for (; line < end; line = eol + 2) {
		eol = memmem(line, (size_t)(end - line), "\r\n", 2);
		if (eol == line && line == data)
			return refuse(sc, 400, "the request line is missing");
		if (eol == NULL || eol == line)
			break;
		status = line == data
		    ? check_request_line(sc, line, (size_t)(eol - line))
		    : check_header(sc, line, (size_t)(eol - line));
		if (status != 0)
			return status;
	}
	return 0;
}

int
bg_request_head_check(struct bg_request_head *out, const char **out_reason,
    const char *data, size_t data_bytes, uint64_t body_max_bytes)
{
	struct scan sc = {out, out_reason, 0, 0, 0};
	const char *end = memmem(data, data_bytes, "\r\n\r\n", 4);
	size_t bytes = end == NULL ? data_bytes : (size_t)(end - data) + 4;
	int status;

	memset(out, 0, sizeof(*out));
	if ((status = check_bytes(&sc, data, bytes)) != 0)
		return status;
	if (bytes > BG_REQUEST_HEAD_BYTES)
		return refuse(&sc, 431, "the head is too long");
	if (end == NULL)
		return 0;
	out->head_bytes = bytes;
	if ((status = check_lines(&sc, data, bytes)) != 0)
		return status;
	if (sc.lengths > 0 && sc.codings > 0)
		return refuse(
		    &sc, 400, "Content-Length with Transfer-Encoding");
	if (out->body_bytes > body_max_bytes)
		return refuse(&sc, 413, "the body is too large");
	return ACCEPTED;
}
