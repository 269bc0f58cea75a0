#include <string.h>

#include "http/field.h"
#include "suite.h"

#define COUNT(array) ((int)(sizeof(array) / sizeof((array)[0])))

#define LINE(text)                                 \
	{                                          \
		text, sizeof(text) - 1, NULL, NULL \
	}
#define VALID_LINE(text, name, value)               \
	{                                           \
		text, sizeof(text) - 1, name, value \
	}

struct line {
	const char *text; /* may contain NUL */
	size_t bytes;
	const char *name;
	const char *value;
};

static const struct line VALID[] = {
    VALID_LINE("X-Name: a value", "X-Name", "a value"),
    VALID_LINE("X-Name:value", "X-Name", "value"),
    VALID_LINE("X-Name: \t value\t ", "X-Name", "value"),
    VALID_LINE("X-Name:", "X-Name", ""),
    VALID_LINE("X-Name: \t", "X-Name", ""),
    VALID_LINE("X: a:b\tc", "X", "a:b\tc"),
    VALID_LINE("X: \xc3\xa9\xff", "X", "\xc3\xa9\xff"),
    VALID_LINE("aZ09!#$%&'*+-.^_`|~: x", "aZ09!#$%&'*+-.^_`|~", "x"),
};

/* Guards against rejecting or changing the lines of sound responses. */
START_TEST(valid_line_is_split)
{
	const struct line *line = &VALID[_i];
	struct bg_http_field field;
	size_t i;

	for (i = 0; i <= line->bytes; i++)
		ck_assert(bg_http_field_can_begin(line->text, i));
	ck_assert_int_eq(
	    bg_http_field_parse(&field, line->text, line->bytes), 0);
	ck_assert_uint_eq(field.name_bytes, strlen(line->name));
	ck_assert_uint_eq(field.value_bytes, strlen(line->value));
	ck_assert_mem_eq(field.name, line->name, field.name_bytes);
	ck_assert(memcmp(field.value, line->value, field.value_bytes) == 0);
}
END_TEST

static const struct line INVALID[] = {
    LINE("X Name: a"),
    LINE("X-Name : a"),
    LINE("X-Name\t: a"),
    LINE(" X-Name: a"),
    LINE("X\x01: a"),
    LINE("X\x7f: a"),
    LINE("X\0: a"),
    LINE("X\xe9: a"),
    LINE("X(a): a"),
    LINE(": a"),
    LINE("X: a\x01"),
    LINE("X: \x1f"),
    LINE("X: \x7f"),
    LINE("X: a\0b"),
    LINE("X: a\rb"),
    LINE("X: a\nb"),
    LINE("X\n"),
    LINE("X "),
};

/* Guards against a name or a value that HTTP forbids, and against waiting for
 * the end of a line that is broken. */
START_TEST(invalid_line_is_rejected)
{
	const struct line *line = &INVALID[_i];
	struct bg_http_field field;

	ck_assert(!bg_http_field_can_begin(line->text, line->bytes));
	ck_assert_int_ne(
	    bg_http_field_parse(&field, line->text, line->bytes), 0);
}
END_TEST

/* Guards against a line without a colon. */
START_TEST(cut_line_is_rejected)
{
	struct bg_http_field field;

	ck_assert_int_ne(bg_http_field_parse(&field, "X-Name", 6), 0);
	ck_assert_int_ne(bg_http_field_parse(&field, "", 0), 0);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("field");

	tcase_add_loop_test(tc, valid_line_is_split, 0, COUNT(VALID));
	tcase_add_loop_test(tc, invalid_line_is_rejected, 0, COUNT(INVALID));
	tcase_add_test(tc, cut_line_is_rejected);
	return run_suite("field", tc);
}
