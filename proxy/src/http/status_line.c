#include <ctype.h>

#include "burdockgrade/error.h"

#include "status_line.h"
#include "syntax.h"

/* A status line up to its status; '#' stands for a digit, 'c' for the class of
 * the status. */
static const char FORMAT[] = "HTTP/1.# c##";

#define FORMAT_BYTES (sizeof(FORMAT) - 1)
#define MINOR_VERSION_AT 7
#define STATUS_AT 9

static int
matches_format(char c, char format)
{
	switch (format) {
	case '#':
		return isdigit((unsigned char)c);
	case 'c':
		return c >= '1' && c <= '5';
	default:
		return c == format;
	}
}

/* Servers may leave out the blank before an empty reason phrase. */
int
bg_http_status_line_can_begin(const char *text, size_t bytes)
{
	size_t i;

	for (i = 0; i < bytes && i < FORMAT_BYTES; i++) {
		if (!matches_format(text[i], FORMAT[i]))
			return 0;
	}
	return bytes <= FORMAT_BYTES ||
	    (text[FORMAT_BYTES] == ' ' &&
		bg_http_is_value(text + FORMAT_BYTES, bytes - FORMAT_BYTES));
}

static uint32_t
digit_at(const char *text, size_t at)
{
	return (uint32_t)(text[at] - '0');
}

int
bg_http_status_line_parse(
    struct bg_http_status_line *out, const char *text, size_t bytes)
{
	if (bytes < FORMAT_BYTES || !bg_http_status_line_can_begin(text, bytes))
		return BG_EPROTO;
	out->minor_version = digit_at(text, MINOR_VERSION_AT);
	out->status = digit_at(text, STATUS_AT) * 100 +
	    digit_at(text, STATUS_AT + 1) * 10 + digit_at(text, STATUS_AT + 2);
	return 0;
}
