#include <string.h>

#include "http/status_line.h"
#include "suite.h"

#define COUNT(array) ((int)(sizeof(array) / sizeof((array)[0])))

#define LINE(text)                           \
	{                                    \
		text, sizeof(text) - 1, 0, 0 \
	}
#define VALID_LINE(text, status, minor)               \
	{                                             \
		text, sizeof(text) - 1, status, minor \
	}

struct line {
	const char *text; /* may contain NUL */
	size_t bytes;
	uint32_t status;
	uint32_t minor_version;
};

static const struct line VALID[] = {
    VALID_LINE("HTTP/1.1 200 OK", 200, 1),
    VALID_LINE("HTTP/1.1 200 ", 200, 1),
    VALID_LINE("HTTP/1.1 200", 200, 1),
    VALID_LINE("HTTP/1.0 100 Not\tFound at all", 100, 0),
    VALID_LINE("HTTP/1.9 599 \xc3\xa9t\xc3\xa9", 599, 9),
};

/* Guards against rejecting the status lines of sound responses. */
START_TEST(valid_line_is_parsed)
{
	const struct line *line = &VALID[_i];
	struct bg_http_status_line parsed;
	size_t i;

	for (i = 0; i <= line->bytes; i++)
		ck_assert(bg_http_status_line_can_begin(line->text, i));
	ck_assert_int_eq(
	    bg_http_status_line_parse(&parsed, line->text, line->bytes), 0);
	ck_assert_uint_eq(parsed.status, line->status);
	ck_assert_uint_eq(parsed.minor_version, line->minor_version);
}
END_TEST

static const struct line INVALID[] = {
    LINE("HTTP/1.1 000 X"),
    LINE("HTTP/1.1 0"),
    LINE("HTTP/1.1 099 X"),
    LINE("HTTP/1.1 600 X"),
    LINE("HTTP/1.1 6"),
    LINE("HTTP/1.1 999 X"),
    LINE("HTTP/1.1 1000 X"),
    LINE("HTTP/1.1 0200 X"),
    LINE("HTTP/1.1 20 X"),
    LINE("HTTP/1.1 2 X"),
    LINE("HTTP/1.1 -20 X"),
    LINE("HTTP/1.1 2x0 X"),
    LINE("HTTP/1.1 200X"),
    LINE("HTTP/1.1 200\tX"),
    LINE("HTTP/1.1  200 X"),
    LINE("HTTP/1.1\t200 X"),
    LINE("HTTP/1.1 200 X\x01"),
    LINE("HTTP/1.1 200 X\x7f"),
    LINE("HTTP/1.1 200 X\0"),
    LINE("HTTP/1.1 200 X\rY"),
    LINE("HTTP/1.1 200 X\nY"),
    LINE("HTTP/2.0 200 X"),
    LINE("HTTP/0.9 200 X"),
    LINE("HTTP/1.10 200 X"),
    LINE("HTTP/1 200 X"),
    LINE("http/1.1 200 X"),
    LINE(" HTTP/1.1 200 X"),
    LINE("GET / HTTP/1.1"),
    LINE("hello"),
};

/* Guards against a line that is taken for a status line, and against waiting
 * for the end of one that is broken. */
START_TEST(invalid_line_is_rejected)
{
	const struct line *line = &INVALID[_i];
	struct bg_http_status_line parsed;

	ck_assert(!bg_http_status_line_can_begin(line->text, line->bytes));
	ck_assert_int_ne(
	    bg_http_status_line_parse(&parsed, line->text, line->bytes), 0);
}
END_TEST

static const struct line CUT[] = {
    LINE(""),
    LINE("HTTP/1.1 "),
    LINE("HTTP/1.1 2"),
    LINE("HTTP/1.1 20"),
};

/* Guards against a line that ends within its status. */
START_TEST(cut_line_is_rejected)
{
	struct bg_http_status_line parsed;

	ck_assert(bg_http_status_line_can_begin(CUT[_i].text, CUT[_i].bytes));
	ck_assert_int_ne(
	    bg_http_status_line_parse(&parsed, CUT[_i].text, CUT[_i].bytes), 0);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("status line");

	tcase_add_loop_test(tc, valid_line_is_parsed, 0, COUNT(VALID));
	tcase_add_loop_test(tc, invalid_line_is_rejected, 0, COUNT(INVALID));
	tcase_add_loop_test(tc, cut_line_is_rejected, 0, COUNT(CUT));
	return run_suite("status line", tc);
}
