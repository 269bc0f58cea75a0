#include <ctype.h>
#include <evhtp/evhtp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"

#include "../call/call.h"
#include "../call/deadline.h"
#include "../gatekeeper/headers.h"
#include "../http/syntax.h"
#include "../metrics/metrics.h"
#include "ingress.h"
#include "ingress_conn.h"

#define LISTEN_BACKLOG 1024
/* Receive buffer of a connection, which the kernel doubles. Input that is not
 * read counts as the node's memory. Without a limit, the kernel receives more
 * than 100 KB for each connection. */
#define RECEIVE_BUFFER_BYTES 16384
#define PAGES_MAX 16
#define REQUEST_ID_BYTES 128
/* Copies of a head while its call is in progress: the headers of libevhtp, the
 * arguments of the call, and their encoding. */
#define HEAD_COPIES 3
/* Header slots that are left free for the gatekeeper to add its own. */
#define RESERVED_HEADERS 5

struct page_handler {
	const char *path;
	bg_page_fn fn;
	void *arg;
};

/* A page that is being rendered. */
struct bg_page {
	evhtp_request_t *request; /* NULL: the caller has disconnected */
};

struct bg_ingress {
	int is_listening;
	struct bg_proxy *proxy;
	evhtp_t *http;
	struct bg_conn_list connections;
	struct page_handler pages[PAGES_MAX];
	size_t page_count;
	struct bg_rand rand;
	uint16_t port;
};

/* A request from its arrival until its response is written. */
struct pending_request {
	struct bg_ingress *ingress;
	evhtp_request_t *request;
	struct bg_call *call;	 /* NULL once the call has ended */
	uint64_t buffered_bytes; /* head and body of the request */
	char request_id[REQUEST_ID_BYTES];
};

static const struct bg_header_names *
header_names(const struct bg_ingress *ing)
{
	return &ing->proxy->settings->headers;
}

static void
add_response_header(evhtp_request_t *req, const char *name, const char *value)
{
	evhtp_headers_add_header(
	    req->headers_out, evhtp_header_new(name, value, 1, 1));
}

static const char *
outcome_name(enum bg_xoutcome outcome)
{
	switch (outcome) {
	case BG_XOUTCOME_DONE:
		return "done";
	case BG_XOUTCOME_NOT_RUN:
		return "not-run";
	default:
		return "unknown";
	}
}

static void
set_retry_after(struct pending_request *p, uint32_t ms)
{
	char seconds[16];

	if (ms == 0)
		return;
	if (p->ingress->proxy->settings->limits.has_fractional_retry_after)
		snprintf(
		    seconds, sizeof(seconds), "%u.%03u", ms / 1000, ms % 1000);
	else
		snprintf(seconds, sizeof(seconds), "%u", (ms + 999) / 1000);
	add_response_header(p->request, "Retry-After", seconds);
}

static void
free_body(const void *data, size_t bytes, void *unused)
{
	free((void *)data);
}

/* Copies the body to memory of its length; the buffer would round it up to a
 * power of two. */
static void
add_response_body(evhtp_request_t *req, const struct bg_call_answer *ans)
{
	char *copy = malloc(ans->body_bytes);

	if (copy == NULL)
		return;
	memcpy(copy, ans->body, ans->body_bytes);
	if (evbuffer_add_reference(
		req->buffer_out, copy, ans->body_bytes, free_body, NULL) != 0)
		free(copy);
}

static void
send_response(struct pending_request *p, const struct bg_call_answer *ans,
    int close_after)
{
	const char *id_name = header_names(p->ingress)->request_id;
	evhtp_request_t *req = p->request;
	uint32_t i;

	for (i = 0; i < ans->header_count; i++)
		add_response_header(
		    req, ans->headers[i].name, ans->headers[i].value);
	if (bg_header_find(ans->headers, ans->header_count, id_name) == NULL)
		add_response_header(req, id_name, p->request_id);
	add_response_header(req, "Burdock-Request-Id", p->request_id);
	add_response_header(req, "Burdock-Outcome", outcome_name(ans->outcome));
	set_retry_after(p, ans->retry_after_ms);
	if (req->method == htp_method_HEAD)
		;
	else if (ans->body_bytes > 0)
		add_response_body(req, ans);
	else if (ans->reason != NULL) {
		add_response_header(req, "Content-Type", "text/plain");
		evbuffer_add_printf(req->buffer_out, "%s\n", ans->reason);
	}
	if (close_after)
		evhtp_request_set_keepalive(req, 0);
	/* evhtp_request_set_keepalive() does not clear the flag. */
	if (bg_ingress_conn_is_crowding(bg_ingress_conn_from_evhtp(req->conn),
		ans->retry_after_ms != 0))
		req->flags &= (uint16_t)~EVHTP_REQ_FLAG_KEEPALIVE;
	evhtp_send_reply(req, (evhtp_res)ans->http_status);
}

static void
send_error(struct pending_request *p, uint32_t http_status, const char *reason,
    uint32_t retry_after_ms, int close_after)
{
	struct bg_call_answer ans;

	memset(&ans, 0, sizeof(ans));
	ans.outcome = BG_XOUTCOME_NOT_RUN;
	ans.http_status = http_status;
	ans.reason = reason;
	ans.retry_after_ms = retry_after_ms;
	send_response(p, &ans, close_after);
}

static int
is_leaving(const struct bg_ingress *ing)
{
	return ing->proxy->drain.state >= BG_DRAIN_LEAVING;
}

static void
on_call_done(void *arg, const struct bg_call_answer *ans)
{
	struct pending_request *p = arg;
	struct bg_ingress *ing = p->ingress;

	p->call = NULL;
	bg_ingress_conn_hold_response(
	    bg_ingress_conn_from_evhtp(p->request->conn), ans->body_bytes);
	send_response(p, ans, is_leaving(ing));
}

/* The response was written, or the caller disconnected. */
static void
on_request_end(void *arg)
{
	struct pending_request *p = arg;

	p->ingress->proxy->requests_open--;
	bg_buffers_remove(&p->ingress->proxy->buffers, p->buffered_bytes);
	if (p->call != NULL)
		bg_call_cancel(p->call);
	free(p);
}

static void
choose_request_id(
    struct bg_ingress *ing, evhtp_request_t *req, char out[REQUEST_ID_BYTES])
{
	const char *received =
	    evhtp_header_find(req->headers_in, header_names(ing)->request_id);

	if (received != NULL && received[0] != '\0' &&
	    strlen(received) < REQUEST_ID_BYTES)
		snprintf(out, REQUEST_ID_BYTES, "%s", received);
	else
		snprintf(out, REQUEST_ID_BYTES, "%016llx%016llx",
		    (unsigned long long)bg_rand_next(&ing->rand),
		    (unsigned long long)bg_rand_next(&ing->rand));
}

static int
append_header(struct bg_xcall_args *args, const char *name, const char *value)
{
	struct bg_xheader *out;

	if (args->headers.headers_len + RESERVED_HEADERS >= BG_HEADERS_MAX)
		return BG_ELIMIT;
	out = &args->headers.headers_val[args->headers.headers_len++];
	out->name = strdup(name);
	out->value = strdup(value);
	return out->name == NULL || out->value == NULL ? BG_ENOMEM : 0;
}

/* Copies the headers to forward. Hop-by-hop headers and those that the proxy
 * sets itself are left out, whatever the caller sent. */
static int
copy_forwarded_headers(
    struct bg_xcall_args *args, const struct pending_request *p)
{
	const struct bg_header_names *names = header_names(p->ingress);
	evhtp_headers_t *headers = p->request->headers_in;
	evhtp_header_t *header;
	int error = 0;

	args->headers.headers_val =
	    calloc(BG_HEADERS_MAX, sizeof(*args->headers.headers_val));
	if (args->headers.headers_val == NULL)
		return BG_ENOMEM;
	TAILQ_FOREACH(header, headers, next)
	{
		if (error == 0 &&
		    !bg_header_is_set_by_proxy(header->key, names))
			error = append_header(args, header->key,
			    header->val == NULL ? "" : header->val);
	}
	if (error == 0 && evhtp_header_find(headers, names->request_id) == NULL)
		error = append_header(args, names->request_id, p->request_id);
	return error;
}

/* Copies the host without its port, in lower case. */
static char *
normalize_host(const char *text)
{
	char *host = strdup(text == NULL ? "" : text);
	char *c;

	if (host == NULL)
		return NULL;
	for (c = host; *c != '\0' && *c != ':'; c++)
		*c = (char)tolower((unsigned char)*c);
	*c = '\0';
	return host;
}

static int
copy_body(struct bg_xcall_args *args, struct evbuffer *in)
{
	size_t bytes = evbuffer_get_length(in);

	if (bytes == 0)
		return 0;
	if ((args->body.body_val = malloc(bytes)) == NULL)
		return BG_ENOMEM;
	args->body.body_len = (u_int)bytes;
	evbuffer_remove(in, args->body.body_val, bytes);
	return 0;
}

static uint32_t
parse_call_depth(const struct pending_request *p)
{
	const char *name = header_names(p->ingress)->call_depth;

	if (name[0] == '\0')
		return 0;
	return bg_header_u32(
	    evhtp_header_find(p->request->headers_in, name), 0);
}

static int
fill_args(struct bg_xcall_args *args, struct pending_request *p,
    const struct bg_request_head *head)
{
	evhtp_request_t *req = p->request;

	memset(args, 0, sizeof(*args));
	args->request_id = strdup(p->request_id);
	args->method = strdup(head->method);
	args->path = strdup(head->target);
	args->host = normalize_host(evhtp_header_find(req->headers_in, "Host"));
	args->depth = parse_call_depth(p);
	if (args->request_id == NULL || args->method == NULL ||
	    args->path == NULL || args->host == NULL ||
	    copy_forwarded_headers(args, p) != 0 ||
	    copy_body(args, req->buffer_in) != 0) {
		xdr_free((xdrproc_t)xdr_bg_xcall_args, (char *)args);
		return BG_ENOMEM;
	}
	return 0;
}

/* Removes the blanks around a value, which are not part of it (RFC 9110,
 * section 5.5). libevhtp keeps them. @return within text */
static char *
trim(char *text)
{
	char *end = text + strlen(text);

	while (end > text && bg_http_is_blank(end[-1]))
		*--end = '\0';
	while (bg_http_is_blank(*text))
		text++;
	return text;
}

/* Collects the keys of the request, which stay valid as long as it. */
static void
find_keys(struct bg_caller *out, const struct pending_request *p)
{
	const char *name = header_names(p->ingress)->key;
	evhtp_header_t *header;

	TAILQ_FOREACH(header, p->request->headers_in, next)
	{
		if (strcasecmp(header->key, name) == 0)
			bg_caller_add_key(
			    out, header->val == NULL ? "" : trim(header->val));
	}
}

/* Recognizes a call that the backend server on this VM makes while it runs
 * another one. */
static void
fill_origin(struct bg_call_options *out, const struct pending_request *p,
    const struct bg_xcall_args *args)
{
	struct bg_gate_parent parent = {0};
	int has_parent = bg_gatekeeper_find_parent(
	    &parent, p->ingress->proxy->gatekeeper, args->request_id);

	out->is_dependency = has_parent || args->depth > 0;
	out->is_repeat = parent.is_repeat;
	out->caller.origin = bg_access_origin(
	    args->request_id, has_parent && !parent.has_same_id);
}

static void
start_call(struct pending_request *p, const struct bg_request_head *head)
{
	evhtp_request_t *req = p->request;
	struct bg_ingress *ing = p->ingress;
	struct bg_call_options opts = {0};
	struct bg_xcall_args args;

	p->buffered_bytes = evbuffer_get_length(req->buffer_in) +
	    HEAD_COPIES * (uint64_t)head->head_bytes;
	bg_buffers_add(&ing->proxy->buffers, p->buffered_bytes);
	if (fill_args(&args, p, head) != 0) {
		send_error(p, 503, bg_refusal_text(BG_XREFUSAL_BUFFERS),
		    BG_RETRY_AFTER_MS, 0);
		return;
	}
	opts.deadline_ms = bg_header_u32(
	    evhtp_header_find(req->headers_in, header_names(ing)->deadline_ms),
	    0);
	fill_origin(&opts, p, &args);
	find_keys(&opts.caller, p);
	if (bg_call_start(
		&p->call, ing->proxy, &args, &opts, on_call_done, p) != 0)
		send_error(p, 503, bg_refusal_text(BG_XREFUSAL_BUFFERS),
		    BG_RETRY_AFTER_MS, 0);
}

/* Frees the body of a request that makes no call. Nobody reads it, and it is
 * not counted once it is complete. */
static void
drop_body(evhtp_request_t *req)
{
	evbuffer_drain(req->buffer_in, evbuffer_get_length(req->buffer_in));
}

static void
admit_call(struct pending_request *p, const struct bg_request_head *head)
{
	struct bg_ingress *ing = p->ingress;
	uint64_t bytes = evbuffer_get_length(p->request->buffer_in);

	if (bytes > ing->proxy->settings->limits.body_bytes) {
		/* The last piece of a chunked body, which the connection has
		 * not checked, took it above the limit. */
		bg_metrics_count_invalid_request();
		drop_body(p->request);
		send_error(p, 413, "the body is too large", 0, 1);
	} else if (!bg_buffers_can_admit(&ing->proxy->buffers, bytes)) {
		bg_metrics_count_refused(BG_XREFUSAL_BUFFERS);
		drop_body(p->request);
		send_error(p, 503, bg_refusal_text(BG_XREFUSAL_BUFFERS),
		    BG_RETRY_AFTER_MS, 0);
	} else
		start_call(p, head);
}

static const struct page_handler *
find_page_handler(const struct bg_ingress *ing, const char *target)
{
	size_t path_bytes = strcspn(target, "?");
	size_t i;

	for (i = 0; i < ing->page_count; i++) {
		if (strlen(ing->pages[i].path) == path_bytes &&
		    strncmp(ing->pages[i].path, target, path_bytes) == 0)
			return &ing->pages[i];
	}
	return NULL;
}

static void
on_page_request_end(void *arg)
{
	struct bg_page *page = arg;

	page->request = NULL;
}

void
bg_page_reply(
    struct bg_page *page, int http_status, const char *content_type, char *text)
{
	evhtp_request_t *req = page->request;

	if (req != NULL) {
		/* Without a callback, since the page is freed below and not
		 * when the request ends. */
		bg_ingress_conn_set_busy(
		    bg_ingress_conn_from_evhtp(req->conn), NULL, NULL);
		add_response_header(req, "Content-Type", content_type);
		if (text != NULL)
			bg_ingress_conn_hold_response(
			    bg_ingress_conn_from_evhtp(req->conn),
			    strlen(text));
		if (text != NULL)
			evbuffer_add(req->buffer_out, text, strlen(text));
		evhtp_send_reply(req, (evhtp_res)http_status);
	}
	free(text);
	free(page);
}

static void
serve_page(struct bg_ingress *ing, evhtp_request_t *req,
    const struct page_handler *handler)
{
	struct bg_ingress_conn *conn = bg_ingress_conn_from_evhtp(req->conn);
	struct bg_page *page = NULL;

	drop_body(req);
	if (!bg_buffers_is_full(&ing->proxy->buffers))
		page = calloc(1, sizeof(*page));
	if (page == NULL) {
		bg_ingress_conn_set_busy(conn, NULL, NULL);
		evhtp_send_reply(req, EVHTP_RES_SERVUNAVAIL);
		return;
	}
	page->request = req;
	bg_ingress_conn_set_busy(conn, on_page_request_end, page);
	handler->fn(handler->arg, page);
}

static void
on_request(evhtp_request_t *req, void *arg)
{
	struct bg_ingress *ing = arg;
	struct bg_ingress_conn *conn = bg_ingress_conn_from_evhtp(req->conn);
	const struct bg_request_head *head = bg_ingress_conn_head(conn);
	const struct page_handler *handler =
	    find_page_handler(ing, head->target);
	struct pending_request *p;

	if (handler != NULL) {
		serve_page(ing, req, handler);
		return;
	}
	if ((p = calloc(1, sizeof(*p))) == NULL) {
		bg_ingress_conn_set_busy(conn, NULL, NULL);
		evhtp_send_reply(req, EVHTP_RES_SERVUNAVAIL);
		return;
	}
	p->ingress = ing;
	ing->proxy->requests_open++;
	p->request = req;
	choose_request_id(ing, req, p->request_id);
	bg_ingress_conn_set_busy(conn, on_request_end, p);
	admit_call(p, head);
}

static evhtp_res
on_accept(evhtp_connection_t *evc, void *arg)
{
	struct bg_ingress *ing = arg;
	struct bg_ingress_conn_options opts;

	if (!bg_conn_list_make_room(&ing->connections))
		return EVHTP_RES_ERROR;
	opts.base = ing->proxy->base;
	opts.body_max_bytes = ing->proxy->settings->limits.body_bytes;
	opts.list = &ing->connections;
	return bg_ingress_conn_init(evc, &opts) == 0 ? EVHTP_RES_OK
						     : EVHTP_RES_ERROR;
}

/* Limits what the kernel receives for each connection that is not read.
 * Accepted sockets inherit it. */
static void
limit_receive_buffer(evutil_socket_t listener)
{
	int bytes = RECEIVE_BUFFER_BYTES;

	if (setsockopt(
		listener, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes)) != 0)
		bg_log_warn("ingress", "receive buffer not limited");
}

static int
bind_port(struct bg_ingress *ing, struct bg_error *err)
{
	const struct bg_settings *set = ing->proxy->settings;
	struct sockaddr_in sin;
	socklen_t sin_bytes = sizeof(sin);

	memset(&sin, 0, sizeof(sin));
	if (evhtp_bind_socket(ing->http, set->node.address,
		set->node.customer_port, LISTEN_BACKLOG) != 0)
		return bg_error_set(err, BG_EIO, "listen", set->node.address,
		    "cannot bind customer port %u", set->node.customer_port);
	ing->is_listening = 1;
	limit_receive_buffer(evconnlistener_get_fd(ing->http->server));
	getsockname(evconnlistener_get_fd(ing->http->server),
	    (struct sockaddr *)&sin, &sin_bytes);
	ing->port = ntohs(sin.sin_port);
	return 0;
}

int
bg_ingress_init(
    struct bg_ingress **out, struct bg_proxy *prx, struct bg_error *err)
{
	struct bg_ingress *ing;
	int error;

	if ((ing = calloc(1, sizeof(*ing))) == NULL)
		return BG_ENOMEM;
	ing->proxy = prx;
	bg_rand_init(&ing->rand, 0);
	if ((ing->http = evhtp_new(prx->base, NULL)) == NULL) {
		free(ing);
		return BG_ENOMEM;
	}
	if (bg_conn_list_init(&ing->connections, prx->base, &prx->buffers,
		bg_conn_limit(prx->settings->limits.buffered_bytes,
		    prx->settings->limits.caller_connections)) != 0) {
		bg_ingress_free(ing);
		return BG_ENOMEM;
	}
	evhtp_enable_flag(ing->http, EVHTP_FLAG_ENABLE_NODELAY);
	evhtp_set_gencb(ing->http, on_request, ing);
	evhtp_set_post_accept_cb(ing->http, on_accept, ing);
	if ((error = bind_port(ing, err)) != 0) {
		bg_ingress_free(ing);
		return error;
	}
	*out = ing;
	return 0;
}

void
bg_ingress_stop_listening(struct bg_ingress *ing)
{
	if (ing->is_listening)
		evhtp_unbind_socket(ing->http);
	ing->is_listening = 0;
}

void
bg_ingress_free(struct bg_ingress *ing)
{
	if (ing == NULL)
		return;
	bg_ingress_stop_listening(ing);
	bg_conn_list_free(&ing->connections);
	evhtp_free(ing->http);
	free(ing);
}

uint16_t
bg_ingress_port(const struct bg_ingress *ing)
{
	return ing->port;
}

int
bg_ingress_add_page(
    struct bg_ingress *ing, const char *path, bg_page_fn fn, void *arg)
{
	if (ing->page_count == PAGES_MAX)
		return BG_ELIMIT;
	ing->pages[ing->page_count].path = path;
	ing->pages[ing->page_count].fn = fn;
	ing->pages[ing->page_count].arg = arg;
	ing->page_count++;
	return 0;
}
