#ifndef BG_TEST_CLIENT_H
#define BG_TEST_CLIENT_H

/* HTTP client on the event loop of the test, which sends raw text. */

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define CLIENT_TEXT_BYTES (1 << 20)

struct client {
	struct bufferevent *bev;
	char *text; /* bytes received since the last client_send */
	size_t text_bytes;
	int is_closed;
};

static inline void
client_read(struct bufferevent *bev, void *arg)
{
	struct client *cl = arg;

	cl->text_bytes += bufferevent_read(bev, cl->text + cl->text_bytes,
	    CLIENT_TEXT_BYTES - 1 - cl->text_bytes);
	cl->text[cl->text_bytes] = '\0';
}

static inline void
client_event(struct bufferevent *bev, short what, void *arg)
{
	struct client *cl = arg;

	if (!(what & BEV_EVENT_CONNECTED))
		cl->is_closed = 1;
}

static inline void
client_open(struct client *cl, struct event_base *base, uint16_t port)
{
	struct sockaddr_in sin;
	int on = 1;

	memset(cl, 0, sizeof(*cl));
	memset(&sin, 0, sizeof(sin));
	sin.sin_family = AF_INET;
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sin.sin_port = htons(port);
	cl->text = calloc(1, CLIENT_TEXT_BYTES);
	cl->bev = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(cl->bev, client_read, NULL, client_event, cl);
	bufferevent_enable(cl->bev, EV_READ | EV_WRITE);
	bufferevent_socket_connect(
	    cl->bev, (struct sockaddr *)&sin, sizeof(sin));
	setsockopt(bufferevent_getfd(cl->bev), IPPROTO_TCP, TCP_NODELAY, &on,
	    sizeof(on));
}

static inline void
client_close(struct client *cl)
{
	if (cl->bev != NULL)
		bufferevent_free(cl->bev);
	free(cl->text);
	cl->bev = NULL;
	cl->text = NULL;
}

static inline void client_send(struct client *cl, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

static inline void
client_send(struct client *cl, const char *fmt, ...)
{
	va_list ap;

	cl->text_bytes = 0;
	cl->text[0] = '\0';
	va_start(ap, fmt);
	evbuffer_add_vprintf(bufferevent_get_output(cl->bev), fmt, ap);
	va_end(ap);
}

static inline int
client_status(const struct client *cl)
{
	return strncmp(cl->text, "HTTP/1.1 ", 9) == 0 ? atoi(cl->text + 9) : 0;
}

static inline size_t
client_content_length(const struct client *cl)
{
	const char *length = strcasestr(cl->text, "\r\nContent-Length: ");

	return length == NULL ? 0 : strtoul(length + 18, NULL, 10);
}

/* 1 once a complete response was received. */
static inline int
client_has_response(const struct client *cl)
{
	const char *end = strstr(cl->text, "\r\n\r\n");

	return end != NULL &&
	    cl->text_bytes >=
	    (size_t)(end - cl->text) + 4 + client_content_length(cl);
}

static inline const char *
client_body(const struct client *cl)
{
	const char *end = strstr(cl->text, "\r\n\r\n");

	return end == NULL ? "" : end + 4;
}

static inline int
client_has_header(const struct client *cl, const char *header)
{
	const char *end = strstr(cl->text, "\r\n\r\n");
	const char *match = strcasestr(cl->text, header);

	return end != NULL && match != NULL && match < end;
}

#endif
