#include <event2/buffer.h>
#include <event2/http.h>

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/web.h"

#include "suite.h"

#define WAIT_MS 5000

static struct event_base *base;
static struct bg_web *web;
static uint16_t port;

/* The last request. */
static struct {
	int count;
	char method[8];
	char path[64];
	char query[64];
	char body[64];
	size_t body_bytes;
} seen;

/* The last answer. */
static struct {
	int count;
	int status;
	char body[64];
	char type[64];
} got;

static void
handle(void *arg, const struct bg_web_request *req, struct bg_web_response *out)
{
	seen.count++;
	snprintf(seen.method, sizeof(seen.method), "%s", req->method);
	snprintf(seen.path, sizeof(seen.path), "%s", req->path);
	snprintf(seen.query, sizeof(seen.query), "%s", req->query);
	seen.body_bytes = req->body_bytes;
	snprintf(seen.body, sizeof(seen.body), "%.*s", (int)req->body_bytes,
	    req->body == NULL ? "" : req->body);
	out->status = strcmp(req->path, "/missing") == 0 ? 404 : 200;
	out->content_type = "application/json";
	out->body = strdup("{}");
}

static uint16_t
free_port(void)
{
	struct sockaddr_in sin;
	socklen_t bytes = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	memset(&sin, 0, sizeof(sin));
	sin.sin_family = AF_INET;
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	getsockname(fd, (struct sockaddr *)&sin, &bytes);
	close(fd);
	return ntohs(sin.sin_port);
}

static void
setup(void)
{
	char address[64];

	memset(&seen, 0, sizeof(seen));
	memset(&got, 0, sizeof(got));
	base = event_base_new();
	port = free_port();
	snprintf(address, sizeof(address), "127.0.0.1:%u", port);
	ck_assert_int_eq(
	    bg_web_init(&web, base, address, handle, NULL, NULL), 0);
}

static void
teardown(void)
{
	bg_web_free(web);
	event_base_free(base);
}

static void
on_answer(struct evhttp_request *req, void *arg)
{
	const char *type;
	int n;

	got.count++;
	if (req == NULL)
		return;
	got.status = evhttp_request_get_response_code(req);
	type = evhttp_find_header(
	    evhttp_request_get_input_headers(req), "Content-Type");
	snprintf(got.type, sizeof(got.type), "%s", type == NULL ? "" : type);
	n = evbuffer_remove(evhttp_request_get_input_buffer(req), got.body,
	    sizeof(got.body) - 1);
	got.body[n < 0 ? 0 : n] = '\0';
}

static void
call(enum evhttp_cmd_type method, const char *uri, const char *body,
    size_t body_bytes)
{
	struct evhttp_connection *conn =
	    evhttp_connection_base_new(base, NULL, "127.0.0.1", port);
	struct evhttp_request *req = evhttp_request_new(on_answer, NULL);
	uint64_t end_ms = bg_clock_now_ms() + WAIT_MS;
	struct timeval step = {0, 5000};
	int before = got.count;

	evhttp_add_header(evhttp_request_get_output_headers(req), "Host", "x");
	if (body_bytes > 0)
		evbuffer_add(
		    evhttp_request_get_output_buffer(req), body, body_bytes);
	ck_assert_int_eq(evhttp_make_request(conn, req, method, uri), 0);
	while (got.count == before && bg_clock_now_ms() < end_ms) {
		event_base_loopexit(base, &step);
		event_base_dispatch(base);
	}
	ck_assert_int_eq(got.count, before + 1);
	evhttp_connection_free(conn);
}

/* Guards against a request that reaches its handler in part. */
START_TEST(request_is_handed_over_whole)
{
	call(EVHTTP_REQ_POST, "/api/rpc?call=a&of=b", "{\"x\":1}", 7);
	ck_assert_str_eq(seen.method, "POST");
	ck_assert_str_eq(seen.path, "/api/rpc");
	ck_assert_str_eq(seen.query, "call=a&of=b");
	ck_assert_str_eq(seen.body, "{\"x\":1}");
	ck_assert_int_eq(got.status, 200);
	ck_assert_str_eq(got.body, "{}");
	ck_assert_str_eq(got.type, "application/json");
}
END_TEST

START_TEST(status_of_the_handler_is_sent)
{
	call(EVHTTP_REQ_GET, "/missing", NULL, 0);
	ck_assert_int_eq(got.status, 404);
	ck_assert_str_eq(seen.query, "");
	ck_assert_uint_eq(seen.body_bytes, 0);
}
END_TEST

/* Guards against a body that fills the memory of a node. */
START_TEST(large_bodies_are_refused)
{
	static char body[BG_WEB_BODY_BYTES + 1];

	memset(body, 'x', sizeof(body));
	call(EVHTTP_REQ_POST, "/x", body, sizeof(body));
	ck_assert_int_eq(seen.count, 0);
	ck_assert_int_ne(got.status, 200);
	call(EVHTTP_REQ_POST, "/x", body, sizeof(body) - 1);
	ck_assert_uint_eq(seen.body_bytes, BG_WEB_BODY_BYTES);
}
END_TEST

START_TEST(addresses_are_checked)
{
	struct bg_web *other;

	ck_assert_int_eq(
	    bg_web_init(&other, base, "127.0.0.1", handle, NULL, NULL),
	    BG_EINVAL);
	ck_assert_int_eq(
	    bg_web_init(&other, base, "127.0.0.1:0", handle, NULL, NULL),
	    BG_EINVAL);
	ck_assert_int_eq(
	    bg_web_init(&other, base, "192.0.2.1:80", handle, NULL, NULL),
	    BG_EIO);
}
END_TEST

/* Guards against a value that is cut to fit. */
START_TEST(query_values_are_whole)
{
	char value[8];

	ck_assert_int_eq(
	    bg_web_query_value(value, sizeof(value), "a=1&of=i-7", "of"), 0);
	ck_assert_str_eq(value, "i-7");
	ck_assert_int_eq(
	    bg_web_query_value(value, sizeof(value), "a=%2F1", "a"), 0);
	ck_assert_str_eq(value, "/1");
	ck_assert_int_eq(
	    bg_web_query_value(value, sizeof(value), "a=1", "b"), BG_ENOTFOUND);
	ck_assert_int_eq(
	    bg_web_query_value(value, sizeof(value), "a=12345678", "a"),
	    BG_ELIMIT);
	ck_assert_int_eq(
	    bg_web_query_value(value, sizeof(value), "", "a"), BG_ENOTFOUND);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("web");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, request_is_handed_over_whole);
	tcase_add_test(tc, status_of_the_handler_is_sent);
	tcase_add_test(tc, large_bodies_are_refused);
	tcase_add_test(tc, addresses_are_checked);
	tcase_add_test(tc, query_values_are_whole);
	return run_suite("web", tc);
}
