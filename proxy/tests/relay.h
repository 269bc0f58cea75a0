#ifndef BG_TEST_RELAY_H
#define BG_TEST_RELAY_H

/* TCP relay whose open connections can be made to drop all bytes without being
 * closed, while new connections work. It can also stand in for a slow link. */

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#define RELAY_BUFFER_BYTES 4096
/* Interval in which the relay passes on what a slow link carries meanwhile. */
#define RELAY_TICK_US 2000

struct relay_conn {
	struct relay *relay;
	struct relay_conn *next;
	struct bufferevent *ends[2]; /* to the client and to the target */
	int is_silent;		     /* drops all bytes */
};

struct relay {
	struct event_base *base;
	struct evconnlistener *listener;
	struct relay_conn *conns;
	/* Limits the bytes to the target, of all connections; NULL: no limit */
	struct bufferevent_rate_limit_group *rate_group;
	uint16_t target_port;
	uint16_t port;
};

static inline void
relay_read(struct bufferevent *bev, void *arg)
{
	struct relay_conn *conn = arg;
	struct evbuffer *in = bufferevent_get_input(bev);

	if (conn->is_silent)
		evbuffer_drain(in, evbuffer_get_length(in));
	else
		bufferevent_write_buffer(conn->ends[bev == conn->ends[0]], in);
}

static inline void
relay_conn_free(struct relay_conn *conn)
{
	struct relay_conn **link = &conn->relay->conns;

	while (*link != conn)
		link = &(*link)->next;
	*link = conn->next;
	bufferevent_free(conn->ends[0]);
	bufferevent_free(conn->ends[1]);
	free(conn);
}

static inline void
relay_event(struct bufferevent *bev, short what, void *arg)
{
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		relay_conn_free(arg);
}

static inline void
relay_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *addr, int addr_bytes, void *arg)
{
	struct relay *rly = arg;
	struct relay_conn *conn = calloc(1, sizeof(*conn));
	struct sockaddr_in sin;
	int i;

	memset(&sin, 0, sizeof(sin));
	sin.sin_family = AF_INET;
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sin.sin_port = htons(rly->target_port);
	conn->relay = rly;
	conn->next = rly->conns;
	rly->conns = conn;
	conn->ends[0] =
	    bufferevent_socket_new(rly->base, fd, BEV_OPT_CLOSE_ON_FREE);
	conn->ends[1] =
	    bufferevent_socket_new(rly->base, -1, BEV_OPT_CLOSE_ON_FREE);
	for (i = 0; i < 2; i++) {
		bufferevent_setcb(
		    conn->ends[i], relay_read, NULL, relay_event, conn);
		bufferevent_enable(conn->ends[i], EV_READ | EV_WRITE);
	}
	if (rly->rate_group != NULL) {
		bufferevent_add_to_rate_limit_group(
		    conn->ends[0], rly->rate_group);
		/* Keeps the bytes that the link cannot carry yet in the
		 * sender's socket. */
		bufferevent_setwatermark(
		    conn->ends[0], EV_READ, 0, RELAY_BUFFER_BYTES);
	}
	bufferevent_socket_connect(
	    conn->ends[1], (struct sockaddr *)&sin, sizeof(sin));
}

static inline void
relay_start(struct relay *rly, struct event_base *base, uint16_t target_port)
{
	struct sockaddr_in sin;
	socklen_t bytes = sizeof(sin);

	memset(rly, 0, sizeof(*rly));
	memset(&sin, 0, sizeof(sin));
	sin.sin_family = AF_INET;
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	rly->base = base;
	rly->target_port = target_port;
	rly->listener = evconnlistener_new_bind(base, relay_accept, rly,
	    LEV_OPT_CLOSE_ON_FREE, 16, (struct sockaddr *)&sin, sizeof(sin));
	getsockname(evconnlistener_get_fd(rly->listener),
	    (struct sockaddr *)&sin, &bytes);
	rly->port = ntohs(sin.sin_port);
}

/* Makes the relay a link that carries this many bytes a second to its target,
 * before the first connection. */
static inline void
relay_set_rate(struct relay *rly, size_t bytes_per_s)
{
	struct timeval tick = {0, RELAY_TICK_US};
	size_t bytes = bytes_per_s * RELAY_TICK_US / 1000000;
	struct ev_token_bucket_cfg *cfg = ev_token_bucket_cfg_new(
	    bytes, bytes, EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, &tick);

	rly->rate_group = bufferevent_rate_limit_group_new(rly->base, cfg);
	ev_token_bucket_cfg_free(cfg);
}

/* Makes the open connections drop all bytes. */
static inline void
relay_silence(struct relay *rly)
{
	struct relay_conn *conn;

	for (conn = rly->conns; conn != NULL; conn = conn->next)
		conn->is_silent = 1;
}

static inline void
relay_stop(struct relay *rly)
{
	evconnlistener_free(rly->listener);
	while (rly->conns != NULL)
		relay_conn_free(rly->conns);
	if (rly->rate_group == NULL)
		return;
	/* The connections leave the group when the loop releases them. */
	event_base_loop(rly->base, EVLOOP_NONBLOCK);
	bufferevent_rate_limit_group_free(rly->rate_group);
	rly->rate_group = NULL;
}

#endif
