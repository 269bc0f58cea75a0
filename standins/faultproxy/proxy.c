#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy.h"
#include "stream.h"

#ifndef IP_BIND_ADDRESS_NO_PORT
#define IP_BIND_ADDRESS_NO_PORT 24
#endif

struct connection {
	struct map *map;
	struct bufferevent *near; /* towards the caller */
	struct bufferevent *far;  /* towards the target */
	struct stream there;
	struct stream back;
	struct event *ending;
	char source_ip[INET_ADDRSTRLEN];
	struct connection *prev;
	struct connection *next;
};

static void
connection_free(struct connection *conn)
{
	struct proxy *prx = conn->map->proxy;

	if (conn->prev != NULL)
		conn->prev->next = conn->next;
	else
		prx->connections = conn->next;
	if (conn->next != NULL)
		conn->next->prev = conn->prev;
	stream_free(&conn->there);
	stream_free(&conn->back);
	if (conn->near != NULL)
		bufferevent_free(conn->near);
	if (conn->far != NULL)
		bufferevent_free(conn->far);
	if (conn->ending != NULL)
		event_free(conn->ending);
	free(conn);
}

static void
on_ending(evutil_socket_t fd, short what, void *arg)
{
	connection_free(arg);
}

static size_t
unsent_bytes(const struct connection *conn)
{
	return evbuffer_get_length(bufferevent_get_output(conn->near)) +
	    evbuffer_get_length(bufferevent_get_output(conn->far));
}

static void
on_flushed(struct bufferevent *bev, void *arg)
{
	struct connection *conn = arg;
	static const struct timeval now = {0, 0};

	if (unsent_bytes(conn) == 0)
		evtimer_add(conn->ending, &now);
}

/* Ends both sides once what was passed on is written. */
static void
connection_end(void *arg)
{
	static const struct timeval most = {1, 0};
	static const struct timeval now = {0, 0};
	struct connection *conn = arg;

	bufferevent_setcb(conn->near, NULL, on_flushed, NULL, conn);
	bufferevent_setcb(conn->far, NULL, on_flushed, NULL, conn);
	evtimer_add(conn->ending, unsent_bytes(conn) == 0 ? &now : &most);
}

static void
on_near_read(struct bufferevent *bev, void *arg)
{
	struct connection *conn = arg;

	stream_read(&conn->there);
}

static void
on_far_read(struct bufferevent *bev, void *arg)
{
	struct connection *conn = arg;

	stream_read(&conn->back);
}

static void
on_near_event(struct bufferevent *bev, short what, void *arg)
{
	struct connection *conn = arg;

	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		stream_end(&conn->there);
}

static void
on_far_event(struct bufferevent *bev, short what, void *arg)
{
	struct connection *conn = arg;

	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		stream_end(&conn->back);
}

static void
set_faults(struct connection *conn)
{
	const struct rules *rules = &conn->map->proxy->rules;
	struct faults flt;

	rules_faults(&flt, rules, conn->source_ip, conn->map->target_ip);
	stream_set(&conn->there, &flt);
	rules_faults(&flt, rules, conn->map->target_ip, conn->source_ip);
	stream_set(&conn->back, &flt);
}

static int
connect_far(struct connection *conn)
{
	struct sockaddr_in source;
	int on = 1;
	int fd;

	memset(&source, 0, sizeof(source));
	source.sin_family = AF_INET;
	inet_pton(AF_INET, conn->source_ip, &source.sin_addr);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&source, sizeof(source)) != 0) {
		close(fd);
		return -1;
	}
	conn->far = bufferevent_socket_new(
	    conn->map->proxy->base, fd, BEV_OPT_CLOSE_ON_FREE);
	return bufferevent_socket_connect(conn->far,
	    (struct sockaddr *)&conn->map->target, sizeof(conn->map->target));
}

static int
connection_start(struct connection *conn)
{
	struct proxy *prx = conn->map->proxy;

	conn->ending = evtimer_new(prx->base, on_ending, conn);
	if (conn->ending == NULL || connect_far(conn) != 0 ||
	    stream_init(&conn->there, prx->base, conn->near, conn->far,
		conn->map->is_rpc, &prx->rnd, connection_end, conn) != 0 ||
	    stream_init(&conn->back, prx->base, conn->far, conn->near,
		conn->map->is_rpc, &prx->rnd, connection_end, conn) != 0)
		return -1;
	bufferevent_setcb(conn->near, on_near_read, NULL, on_near_event, conn);
	bufferevent_setcb(conn->far, on_far_read, NULL, on_far_event, conn);
	bufferevent_enable(conn->near, EV_READ | EV_WRITE);
	bufferevent_enable(conn->far, EV_READ | EV_WRITE);
	set_faults(conn);
	return 0;
}

static int
is_refused(const struct map *map, const char *source_ip)
{
	struct faults flt;

	rules_faults(&flt, &map->proxy->rules, source_ip, map->target_ip);
	return flt.is_refused;
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *addr, int addr_bytes, void *arg)
{
	struct map *map = arg;
	struct proxy *prx = map->proxy;
	struct connection *conn = calloc(1, sizeof(*conn));
	int on = 1;

	if (conn == NULL)
		abort();
	inet_ntop(AF_INET, &((struct sockaddr_in *)addr)->sin_addr,
	    conn->source_ip, sizeof(conn->source_ip));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	conn->map = map;
	conn->near =
	    bufferevent_socket_new(prx->base, fd, BEV_OPT_CLOSE_ON_FREE);
	conn->next = prx->connections;
	if (conn->next != NULL)
		conn->next->prev = conn;
	prx->connections = conn;
	prx->accepted++;
	if (is_refused(map, conn->source_ip) || connection_start(conn) != 0)
		connection_free(conn);
}

int
parse_address(struct sockaddr_in *out, const char *text)
{
	int bytes = sizeof(*out);

	memset(out, 0, sizeof(*out));
	if (evutil_parse_sockaddr_port(text, (struct sockaddr *)out, &bytes) !=
		0 ||
	    out->sin_family != AF_INET)
		return -1;
	return 0;
}

int
proxy_map(struct proxy *prx, const char *text)
{
	struct map *map = &prx->maps[prx->map_count];
	struct sockaddr_in listen_at;
	char listen[64];
	char target[64];
	const char *equals = strchr(text, '=');
	const char *comma;

	if (prx->map_count == MAPS_MAX || equals == NULL)
		goto invalid;
	comma = strchrnul(equals, ',');
	snprintf(listen, sizeof(listen), "%.*s", (int)(equals - text), text);
	snprintf(target, sizeof(target), "%.*s", (int)(comma - equals - 1),
	    equals + 1);
	if (parse_address(&listen_at, listen) != 0 ||
	    parse_address(&map->target, target) != 0)
		goto invalid;
	inet_ntop(AF_INET, &map->target.sin_addr, map->target_ip,
	    sizeof(map->target_ip));
	map->proxy = prx;
	map->is_rpc = strcmp(comma, ",rpc") == 0;
	map->listener = evconnlistener_new_bind(prx->base, on_accept, map,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 512,
	    (struct sockaddr *)&listen_at, sizeof(listen_at));
	if (map->listener == NULL) {
		perror(listen);
		return -1;
	}
	prx->map_count++;
	return 0;
invalid:
	fprintf(stderr, "--map %s: expected LISTEN=TARGET[,rpc]\n", text);
	return -1;
}

void
proxy_apply(struct proxy *prx)
{
	struct connection *conn;
	struct connection *next;

	for (conn = prx->connections; conn != NULL; conn = next) {
		next = conn->next;
		if (rules_drop(
			&prx->rules, conn->source_ip, conn->map->target_ip)) {
			prx->cut++;
			connection_free(conn);
			continue;
		}
		if (rules_silence(
			&prx->rules, conn->source_ip, conn->map->target_ip))
			conn->there.is_silent = conn->back.is_silent = 1;
		set_faults(conn);
	}
}

void
proxy_free(struct proxy *prx)
{
	size_t i;

	while (prx->connections != NULL)
		connection_free(prx->connections);
	for (i = 0; i < prx->map_count; i++)
		evconnlistener_free(prx->maps[i].listener);
	if (prx->control != NULL)
		evhttp_free(prx->control);
}
