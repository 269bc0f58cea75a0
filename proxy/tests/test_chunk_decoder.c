#include <string.h>

#include "gatekeeper/chunk_decoder.h"
#include "suite.h"

#define BODY_MAX 4096

static struct bg_chunk_decoder dec;
static struct evbuffer *in;
static struct evbuffer *body;

static void
setup(void)
{
	in = evbuffer_new();
	body = evbuffer_new();
	bg_chunk_decoder_init(&dec);
}

static void
teardown(void)
{
	evbuffer_free(in);
	evbuffer_free(body);
}

static enum bg_response_progress
feed(const char *text)
{
	evbuffer_add(in, text, strlen(text));
	return bg_chunk_decoder_feed(&dec, body, BODY_MAX, in);
}

static void
expect_body(const char *text)
{
	size_t bytes = strlen(text);

	ck_assert_uint_eq(evbuffer_get_length(body), bytes);
	if (bytes > 0)
		ck_assert_mem_eq(evbuffer_pullup(body, -1), text, bytes);
}

struct valid_body {
	const char *text;
	const char *decoded;
};

static const struct valid_body VALID[] = {
    {"5\r\nhello\r\n0\r\n\r\n", "hello"},
    {"3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n", "hello"},
    {"0005\r\nhello\r\n000\r\n\r\n", "hello"},
    {"a\r\n0123456789\r\nB\r\n0123456789a\r\n0\r\n\r\n",
	"01234567890123456789a"},
    {"2\r\n\r\n\r\n0\r\n\r\n", "\r\n"},
    {"0\r\n\r\n", ""},
    {"5;a\r\nhello\r\n0;b=c\r\n\r\n", "hello"},
    {"5 ; a = \"b;\\\"c\"\r\nhello\r\n0\r\n\r\n", "hello"},
    {"5\r\nhello\r\n0\r\nX-A: b\r\nX-C:\r\n\r\n", "hello"},
};

#define VALID_COUNT ((int)(sizeof(VALID) / sizeof(VALID[0])))

START_TEST(valid_body_is_decoded)
{
	ck_assert_int_eq(feed(VALID[_i].text), BG_RESPONSE_COMPLETE);
	expect_body(VALID[_i].decoded);
	ck_assert_uint_eq(evbuffer_get_length(in), 0);
}
END_TEST

/* Guards against taking the end of a read for the end of a line or body. */
START_TEST(valid_body_in_single_bytes)
{
	const char *text = VALID[_i].text;
	char one[2] = "";

	for (; text[1] != '\0'; text++) {
		one[0] = text[0];
		ck_assert_int_eq(feed(one), BG_RESPONSE_INCOMPLETE);
	}
	ck_assert_int_eq(feed(text), BG_RESPONSE_COMPLETE);
	expect_body(VALID[_i].decoded);
}
END_TEST

/* Guards against bytes of the next response that become part of the body. */
START_TEST(bytes_after_the_body_are_left)
{
	ck_assert_int_eq(
	    feed("1\r\na\r\n0\r\n\r\nHTTP/"), BG_RESPONSE_COMPLETE);
	ck_assert_uint_eq(evbuffer_get_length(in), 5);
}
END_TEST

/* The text ends where the body is known to be broken. */
static const char *const INVALID[] = {
    "\r\n",
    "x",
    "-",
    "+5",
    " 5",
    "0x",
    "5\n",
    "5 x",
    "5 \t\r\n",
    "5,",
    "5;a\x01",
    "5;a\x7f",
    "5;a\n",
    ";a",
    "5\r5",
    "5\r\nhellox",
    "5\r\nhello\n",
    "5\r\nhello0\r\n",
    "0\r\nX A",
    "0\r\nX-A\r\n",
    "0\r\n: b",
    "0\r\nX-A: \x01",
    "0\r\nX-A: b\r\n c",
};

/* Guards against a body whose parts are not the server's, and against a call
 * that waits for more of a broken one. */
START_TEST(invalid_body_is_rejected)
{
	ck_assert_int_eq(feed(INVALID[_i]), BG_RESPONSE_INVALID);
}
END_TEST

static const char *const OVERSIZED[] = {
    "1001\r\n",
    "10000000\r\n",
    "ffffffff\r\n",
    "10000000000000005\r\nhello\r\n0\r\n\r\n",
    "ffffffffffffffff\r\n",
    "100000000000000000000000000000005\r\nhello\r\n0\r\n\r\n",
    "ff2\r\n",
};

/* Guards against a size that is taken for its low bits, so that a response with
 * another body passes as whole, and against a body that exhausts the memory of
 * the node. */
START_TEST(oversized_chunk_is_rejected)
{
	static char data[16];

	memset(data, 'x', sizeof(data) - 1);
	ck_assert_int_eq(feed("f\r\n"), BG_RESPONSE_INCOMPLETE);
	ck_assert_int_eq(feed(data), BG_RESPONSE_INCOMPLETE);
	ck_assert_int_eq(feed("\r\n"), BG_RESPONSE_INCOMPLETE);
	ck_assert_int_eq(feed(OVERSIZED[_i]), BG_RESPONSE_OVERSIZED);
	expect_body(data);
}
END_TEST

/* Guards against a size line without an end. */
START_TEST(size_line_is_limited)
{
	int i;

	for (i = 0; i < 1024; i++)
		ck_assert_int_eq(feed("0"), BG_RESPONSE_INCOMPLETE);
	ck_assert_int_eq(feed("0"), BG_RESPONSE_OVERSIZED);
}
END_TEST

/* Guards against trailers without an end. */
START_TEST(trailers_are_limited)
{
	int i;

	ck_assert_int_eq(feed("0\r\n"), BG_RESPONSE_INCOMPLETE);
	for (i = 0; i < 1024; i++)
		ck_assert_int_eq(feed("X-Abc: d\r\n"), BG_RESPONSE_INCOMPLETE);
	ck_assert_int_eq(feed("X"), BG_RESPONSE_OVERSIZED);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("chunk decoder");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_loop_test(tc, valid_body_is_decoded, 0, VALID_COUNT);
	tcase_add_loop_test(tc, valid_body_in_single_bytes, 0, VALID_COUNT);
	tcase_add_test(tc, bytes_after_the_body_are_left);
	tcase_add_loop_test(tc, invalid_body_is_rejected, 0,
	    (int)(sizeof(INVALID) / sizeof(INVALID[0])));
	tcase_add_loop_test(tc, oversized_chunk_is_rejected, 0,
	    (int)(sizeof(OVERSIZED) / sizeof(OVERSIZED[0])));
	tcase_add_test(tc, size_line_is_limited);
	tcase_add_test(tc, trailers_are_limited);
	return run_suite("chunk decoder", tc);
}
