#include <string.h>

#include "http/syntax.h"
#include "suite.h"

#define CHARS 256

/* Guards against a byte that is allowed in a name, or forbidden in one, against
 * RFC 9110, section 5.6.2. */
START_TEST(token_bytes)
{
	static const char allowed[] = "!#$%&'*+-.^_`|~0123456789"
				      "abcdefghijklmnopqrstuvwxyz"
				      "ABCDEFGHIJKLMNOPQRSTUVWXYZ";
	char text[] = "a?b";
	int c;

	for (c = 0; c < CHARS; c++) {
		text[1] = (char)c;
		ck_assert_msg(bg_http_is_token(text, 3) ==
			(memchr(allowed, c, sizeof(allowed) - 1) != NULL),
		    "byte %d", c);
	}
	ck_assert(!bg_http_is_token("", 0));
}
END_TEST

/* Guards against a control byte in a value, and against values that are
 * rejected for other bytes (RFC 9110, section 5.5). */
START_TEST(value_bytes)
{
	char text[] = "a?b";
	int c;

	for (c = 0; c < CHARS; c++) {
		text[1] = (char)c;
		ck_assert_msg(bg_http_is_value(text, 3) ==
			(c == '\t' || (c >= ' ' && c != 0x7f)),
		    "byte %d", c);
	}
	ck_assert(bg_http_is_value("", 0));
}
END_TEST

/* Guards against a connection that is reused although it is to be closed, and
 * against an item that is found within another one. */
START_TEST(items_of_lists)
{
	ck_assert(bg_http_list_has("close", "close"));
	ck_assert(bg_http_list_has("a,Close", "close"));
	ck_assert(bg_http_list_has(" , a ,\tclose , b", "close"));
	ck_assert(!bg_http_list_has("", "close"));
	ck_assert(!bg_http_list_has(", ,", "close"));
	ck_assert(!bg_http_list_has("closed", "close"));
	ck_assert(!bg_http_list_has("a-close, clos", "close"));
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("syntax");

	tcase_add_test(tc, token_bytes);
	tcase_add_test(tc, value_bytes);
	tcase_add_test(tc, items_of_lists);
	return run_suite("syntax", tc);
}
