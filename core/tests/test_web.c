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

/* Longest wait for a response. */
#define TIMEOUT_MS 5000

static struct event_base *base;
static struct bg_web *web;
static uint16_t port;

/* The last request that reached the handler. */
static struct {
	int count;
	char method[8];
	char path[64];
	char query[64];
	char body[64];
	size_t body_bytes;
} last_request;

/* The last response that the client received. */
static struct {
	int count;
	int status;
	char body[64];
	char type[64];
} last_response;

/* The handler defers its response. */
static int is_deferring;
static struct bg_web_exchange *deferred;

static void
handle_request(
    void *arg, const struct bg_web_request *req, struct bg_web_response *out)
{
	last_request.count++;
	snprintf(last_request.method, sizeof(last_request.method), "%s",
	    req->method);
	snprintf(last_request.path, sizeof(last_request.path), "%s", req->path);
	snprintf(
	    last_request.query, sizeof(last_request.query), "%s", req->query);
	last_request.body_bytes = req->body_bytes;
	snprintf(last_request.body, sizeof(last_request.body), "%.*s",
	    (int)req->body_bytes, req->body == NULL ? "" : req->body);
	if (is_deferring) {
		deferred = bg_web_defer(req);
		return;
	}
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

	memset(&last_request, 0, sizeof(last_request));
	memset(&last_response, 0, sizeof(last_response));
	is_deferring = 0;
	deferred = NULL;
	base = event_base_new();
	port = free_port();
	snprintf(address, sizeof(address), "127.0.0.1:%u", port);
	ck_assert_int_eq(
	    bg_web_init(&web, base, address, handle_request, NULL, NULL), 0);
}

static void
teardown(void)
{
	bg_web_free(web);
	event_base_free(base);
}

static void
on_response(struct evhttp_request *req, void *arg)
{
	const char *type;
	int n;

	last_response.count++;
	if (req == NULL)
		return;
	last_response.status = evhttp_request_get_response_code(req);
	type = evhttp_find_header(
	    evhttp_request_get_input_headers(req), "Content-Type");
	snprintf(last_response.type, sizeof(last_response.type), "%s",
	    type == NULL ? "" : type);
	n = evbuffer_remove(evhttp_request_get_input_buffer(req),
	    last_response.body, sizeof(last_response.body) - 1);
	last_response.body[n < 0 ? 0 : n] = '\0';
}

static void
send_request(enum evhttp_cmd_type method, const char *uri, const char *body,
    size_t body_bytes)
{
	struct evhttp_connection *conn =
	    evhttp_connection_base_new(base, NULL, "127.0.0.1", port);
	struct evhttp_request *req = evhttp_request_new(on_response, NULL);
	uint64_t deadline_ms = bg_clock_now_ms() + TIMEOUT_MS;
	struct timeval poll_interval = {0, 5000};
	int count_before = last_response.count;

	evhttp_add_header(evhttp_request_get_output_headers(req), "Host", "x");
	if (body_bytes > 0)
		evbuffer_add(
		    evhttp_request_get_output_buffer(req), body, body_bytes);
	ck_assert_int_eq(evhttp_make_request(conn, req, method, uri), 0);
	while (last_response.count == count_before &&
	    bg_clock_now_ms() < deadline_ms) {
		event_base_loopexit(base, &poll_interval);
		event_base_dispatch(base);
	}
	ck_assert_int_eq(last_response.count, count_before + 1);
	evhttp_connection_free(conn);
}

/* Guards against a handler that receives an incomplete request. */
START_TEST(complete_request_reaches_handler)
{
	send_request(EVHTTP_REQ_POST, "/api/rpc?call=a&of=b", "{\"x\":1}", 7);
	ck_assert_str_eq(last_request.method, "POST");
	ck_assert_str_eq(last_request.path, "/api/rpc");
	ck_assert_str_eq(last_request.query, "call=a&of=b");
	ck_assert_str_eq(last_request.body, "{\"x\":1}");
	ck_assert_int_eq(last_response.status, 200);
	ck_assert_str_eq(last_response.body, "{}");
	ck_assert_str_eq(last_response.type, "application/json");
}
END_TEST

START_TEST(handler_status_is_sent)
{
	send_request(EVHTTP_REQ_GET, "/missing", NULL, 0);
	ck_assert_int_eq(last_response.status, 404);
	ck_assert_str_eq(last_request.query, "");
	ck_assert_uint_eq(last_request.body_bytes, 0);
}
END_TEST

/* Guards against a request body that exhausts the memory of the node. */
START_TEST(large_bodies_are_rejected)
{
	static char body[BG_WEB_BODY_BYTES + 1];

	memset(body, 'x', sizeof(body));
	send_request(EVHTTP_REQ_POST, "/x", body, sizeof(body));
	ck_assert_int_eq(last_request.count, 0);
	ck_assert_int_ne(last_response.status, 200);
	send_request(EVHTTP_REQ_POST, "/x", body, sizeof(body) - 1);
	ck_assert_uint_eq(last_request.body_bytes, BG_WEB_BODY_BYTES);
}
END_TEST

START_TEST(invalid_addresses_are_rejected)
{
	struct bg_web *other;

	ck_assert_int_eq(
	    bg_web_init(&other, base, "127.0.0.1", handle_request, NULL, NULL),
	    BG_EINVAL);
	ck_assert_int_eq(bg_web_init(&other, base, "127.0.0.1:0",
			     handle_request, NULL, NULL),
	    BG_EINVAL);
	ck_assert_int_eq(bg_web_init(&other, base, "192.0.2.1:80",
			     handle_request, NULL, NULL),
	    BG_EIO);
}
END_TEST

/* Guards against values that are truncated to fit. */
START_TEST(query_values_are_not_truncated)
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

static void
run_until_deferred(void)
{
	uint64_t deadline_ms = bg_clock_now_ms() + TIMEOUT_MS;
	struct timeval poll_interval = {0, 5000};

	while (deferred == NULL && bg_clock_now_ms() < deadline_ms) {
		event_base_loopexit(base, &poll_interval);
		event_base_dispatch(base);
	}
	ck_assert_ptr_nonnull(deferred);
}

static struct evhttp_connection *
start_request(void)
{
	struct evhttp_connection *conn =
	    evhttp_connection_base_new(base, NULL, "127.0.0.1", port);
	struct evhttp_request *req = evhttp_request_new(on_response, NULL);

	is_deferring = 1;
	ck_assert_int_eq(
	    evhttp_make_request(conn, req, EVHTTP_REQ_GET, "/"), 0);
	run_until_deferred();
	return conn;
}

static void
complete(void)
{
	struct bg_web_response res = {202, "text/plain", NULL};
	char body[] = "later";

	res.body = body;
	bg_web_complete(deferred, &res);
}

static void
run_ms(uint32_t ms)
{
	struct timeval tv = {0, (suseconds_t)ms * 1000};

	event_base_loopexit(base, &tv);
	event_base_dispatch(base);
}

/* Guards against a response that is sent before the handler has one. */
START_TEST(deferred_response_is_sent_later)
{
	struct evhttp_connection *conn = start_request();

	run_ms(50);
	ck_assert_int_eq(last_response.count, 0);
	complete();
	run_ms(50);
	ck_assert_int_eq(last_response.count, 1);
	ck_assert_int_eq(last_response.status, 202);
	ck_assert_str_eq(last_response.body, "later");
	evhttp_connection_free(conn);
}
END_TEST

/* Guards against a use after free if the client does not wait. */
START_TEST(client_may_leave_before_a_deferred_response)
{
	evhttp_connection_free(start_request());
	run_ms(50);
	complete();
	run_ms(50);
}
END_TEST

/* Guards against a use after free, and a leak, if the server does not wait. */
START_TEST(server_may_be_freed_before_a_deferred_response)
{
	struct evhttp_connection *conn = start_request();

	bg_web_free(web);
	web = NULL;
	complete();
	evhttp_connection_free(conn);
}
END_TEST

START_TEST(client_and_server_may_leave_before_a_deferred_response)
{
	evhttp_connection_free(start_request());
	run_ms(50);
	bg_web_free(web);
	web = NULL;
	complete();
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("web");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, complete_request_reaches_handler);
	tcase_add_test(tc, handler_status_is_sent);
	tcase_add_test(tc, large_bodies_are_rejected);
	tcase_add_test(tc, invalid_addresses_are_rejected);
	tcase_add_test(tc, query_values_are_not_truncated);
	tcase_add_test(tc, deferred_response_is_sent_later);
	tcase_add_test(tc, client_may_leave_before_a_deferred_response);
	tcase_add_test(tc, server_may_be_freed_before_a_deferred_response);
	tcase_add_test(
	    tc, client_and_server_may_leave_before_a_deferred_response);
	return run_suite("web", tc);
}
