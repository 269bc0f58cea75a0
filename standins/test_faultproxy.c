#include <check.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "burdockgrade/clock.h"

#include "suite.h"

/* Upper bound of each wait; a fault that is missing fails, not hangs. */
#define WAIT_MS 5000
/* Connections of one test at the target. */
#define ECHOES_MAX 16
#define SOURCE_IP "127.77.0.1"
#define TARGET_IP "127.77.0.2"

struct peer {
	struct bufferevent *bev;
	size_t received_bytes;
	uint64_t received_us;
	unsigned char last_byte;
	int is_reordered;
	int is_closed;
};

static struct event_base *base;
static struct evconnlistener *echo;
static pid_t proxy_pid;
static uint16_t proxy_port;
static uint16_t control_port;
static char last_peer_ip[INET_ADDRSTRLEN];
static size_t echoed_bytes;
static struct bufferevent *echoes[ECHOES_MAX];
static size_t echo_count;

static void
echo_read(struct bufferevent *bev, void *arg)
{
	echoed_bytes += evbuffer_get_length(bufferevent_get_input(bev));
	bufferevent_write_buffer(bev, bufferevent_get_input(bev));
}

static void
echo_event(struct bufferevent *bev, short what, void *arg)
{
	struct bufferevent **slot = arg;

	bufferevent_free(bev);
	*slot = NULL;
}

static void
echo_accept(struct evconnlistener *listener, evutil_socket_t fd,
    struct sockaddr *addr, int addr_bytes, void *arg)
{
	struct bufferevent *bev =
	    bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);

	inet_ntop(AF_INET, &((struct sockaddr_in *)addr)->sin_addr,
	    last_peer_ip, sizeof(last_peer_ip));
	ck_assert_uint_lt(echo_count, ECHOES_MAX);
	echoes[echo_count] = bev;
	bufferevent_setcb(
	    bev, echo_read, NULL, echo_event, &echoes[echo_count++]);
	bufferevent_enable(bev, EV_READ | EV_WRITE);
}

static struct sockaddr_in
address(const char *ip, uint16_t port)
{
	struct sockaddr_in sin;

	memset(&sin, 0, sizeof(sin));
	sin.sin_family = AF_INET;
	sin.sin_port = htons(port);
	inet_pton(AF_INET, ip, &sin.sin_addr);
	return sin;
}

/* Binds a socket to a port that is free. @return the socket */
static int
bind_port(uint16_t *out_port, const char *ip)
{
	struct sockaddr_in sin = address(ip, 0);
	socklen_t bytes = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(bind(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	getsockname(fd, (struct sockaddr *)&sin, &bytes);
	*out_port = ntohs(sin.sin_port);
	return fd;
}

/* Holds the first port until the second one is known, since the kernel may give
 * out a released one again. */
static void
choose_ports(void)
{
	int proxy_fd = bind_port(&proxy_port, TARGET_IP);
	int control_fd = bind_port(&control_port, TARGET_IP);

	close(proxy_fd);
	close(control_fd);
}

static void
loop_for_ms(long ms)
{
	struct timeval tv = {ms / 1000, ms % 1000 * 1000};

	event_base_loopexit(base, &tv);
	event_base_dispatch(base);
}

static int
wait_for(int (*condition)(void *), void *arg)
{
	uint64_t end_ms = bg_clock_now_ms() + WAIT_MS;

	while (!condition(arg)) {
		if (bg_clock_now_ms() > end_ms)
			return 0;
		loop_for_ms(2);
	}
	return 1;
}

static int
is_control_open(void *arg)
{
	struct sockaddr_in sin = address(TARGET_IP, control_port);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int is_open = connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0;

	close(fd);
	return is_open;
}

static void
start_proxy(void)
{
	char program[512];
	char map[128];
	char control[64];
	char *argv[] = {program, "--map", map, "--control", control, NULL};
	struct sockaddr_in sin = address(TARGET_IP, 0);
	const char *bin = getenv("BG_BIN");

	base = event_base_new();
	echo = evconnlistener_new_bind(base, echo_accept, NULL,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16,
	    (struct sockaddr *)&sin, sizeof(sin));
	ck_assert_ptr_nonnull(echo);
	sin = address(TARGET_IP, 0);
	{
		socklen_t bytes = sizeof(sin);

		getsockname(evconnlistener_get_fd(echo),
		    (struct sockaddr *)&sin, &bytes);
	}
	choose_ports();
	snprintf(program, sizeof(program), "%s/bg-faultproxy",
	    bin == NULL ? "build/bin" : bin);
	snprintf(map, sizeof(map), "%s:%u=%s:%u,rpc", TARGET_IP, proxy_port,
	    TARGET_IP, ntohs(sin.sin_port));
	snprintf(control, sizeof(control), "%s:%u", TARGET_IP, control_port);
	ck_assert_int_eq(
	    posix_spawn(&proxy_pid, program, NULL, NULL, argv, environ), 0);
	ck_assert(wait_for(is_control_open, NULL));
	echoed_bytes = 0;
}

static void
stop_proxy(void)
{
	size_t i;
	int status;

	kill(proxy_pid, SIGTERM);
	ck_assert_int_eq(waitpid(proxy_pid, &status, 0), proxy_pid);
	ck_assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
	/* Those whose end the loop has not seen yet. */
	for (i = 0; i < echo_count; i++) {
		if (echoes[i] != NULL)
			bufferevent_free(echoes[i]);
	}
	echo_count = 0;
	evconnlistener_free(echo);
	event_base_free(base);
}

/* Sends rules by a plain request; the answer must be 200. */
static void
set_rules(const char *rules)
{
	struct sockaddr_in sin = address(TARGET_IP, control_port);
	char text[1024];
	char answer[256] = "";
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	snprintf(text, sizeof(text),
	    "POST /control HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
	    "Content-Length: %zu\r\n\r\n{\"rules\":[%s]}",
	    strlen(rules) + strlen("{\"rules\":[]}"), rules);
	ck_assert_int_eq(write(fd, text, strlen(text)), (ssize_t)strlen(text));
	ck_assert_int_gt(read(fd, answer, sizeof(answer) - 1), 0);
	close(fd);
	ck_assert_ptr_nonnull(strstr(answer, " 200 "));
}

static void
peer_read(struct bufferevent *bev, void *arg)
{
	struct peer *peer = arg;
	struct evbuffer *in = bufferevent_get_input(bev);

	unsigned char byte;

	peer->received_us = bg_clock_now_us();
	while (evbuffer_remove(in, &byte, 1) == 1) {
		peer->received_bytes++;
		peer->is_reordered |= byte < peer->last_byte;
		peer->last_byte = byte;
	}
}

static void
peer_event(struct bufferevent *bev, short what, void *arg)
{
	struct peer *peer = arg;

	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		peer->is_closed = 1;
}

static void
peer_open(struct peer *peer)
{
	struct sockaddr_in source = address(SOURCE_IP, 0);
	struct sockaddr_in sin = address(TARGET_IP, proxy_port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	memset(peer, 0, sizeof(*peer));
	ck_assert_int_eq(
	    bind(fd, (struct sockaddr *)&source, sizeof(source)), 0);
	peer->bev = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(peer->bev, peer_read, NULL, peer_event, peer);
	bufferevent_enable(peer->bev, EV_READ | EV_WRITE);
	bufferevent_socket_connect(
	    peer->bev, (struct sockaddr *)&sin, sizeof(sin));
}

static int
has_hundred_bytes(void *arg)
{
	return ((struct peer *)arg)->received_bytes >= 100;
}

static int
has_ten_bytes(void *arg)
{
	return ((struct peer *)arg)->received_bytes >= 10;
}

static int
is_closed(void *arg)
{
	return ((struct peer *)arg)->is_closed;
}

static void
send_ten(struct peer *peer)
{
	bufferevent_write(peer->bev, "0123456789", 10);
}

/* Guards against a proxy that changes what it should only pass on. */
START_TEST(passes_bytes_and_keeps_the_source_address)
{
	struct peer peer;

	start_proxy();
	peer_open(&peer);
	send_ten(&peer);
	ck_assert(wait_for(has_ten_bytes, &peer));
	ck_assert_uint_eq(peer.received_bytes, 10);
	ck_assert_str_eq(last_peer_ip, SOURCE_IP);
	bufferevent_free(peer.bev);
	stop_proxy();
}
END_TEST

START_TEST(delay_holds_bytes_back)
{
	struct peer peer;
	uint64_t sent_us;

	start_proxy();
	set_rules("{\"source\":\"" SOURCE_IP "\",\"delay_ms\":100}");
	peer_open(&peer);
	loop_for_ms(50);
	sent_us = bg_clock_now_us();
	send_ten(&peer);
	ck_assert(wait_for(has_ten_bytes, &peer));
	ck_assert_uint_ge(peer.received_us - sent_us, 100000);
	bufferevent_free(peer.bev);
	stop_proxy();
}
END_TEST

START_TEST(silence_keeps_old_connections_open_and_new_ones_working)
{
	struct peer old;
	struct peer fresh;

	start_proxy();
	peer_open(&old);
	send_ten(&old);
	ck_assert(wait_for(has_ten_bytes, &old));
	set_rules("{\"silence\":true}");
	set_rules("");
	send_ten(&old);
	peer_open(&fresh);
	send_ten(&fresh);
	ck_assert(wait_for(has_ten_bytes, &fresh));
	ck_assert_uint_eq(old.received_bytes, 10);
	ck_assert(!old.is_closed);
	bufferevent_free(old.bev);
	bufferevent_free(fresh.bev);
	stop_proxy();
}
END_TEST

static int
has_echoed_four(void *arg)
{
	return echoed_bytes >= 4;
}

/* The target, which runs on the same loop, may see its bytes after the peer has
 * seen the close. */
START_TEST(cut_closes_in_the_middle)
{
	struct peer peer;

	start_proxy();
	set_rules("{\"source\":\"" SOURCE_IP "\",\"cut_after_bytes\":4}");
	peer_open(&peer);
	send_ten(&peer);
	ck_assert(wait_for(is_closed, &peer));
	ck_assert(wait_for(has_echoed_four, NULL));
	ck_assert_uint_eq(echoed_bytes, 4);
	bufferevent_free(peer.bev);
	stop_proxy();
}
END_TEST

START_TEST(one_way_partition_stops_one_direction)
{
	struct peer peer;

	start_proxy();
	set_rules("{\"source\":\"" TARGET_IP "\",\"target\":\"" SOURCE_IP
		  "\",\"partition\":true}");
	peer_open(&peer);
	send_ten(&peer);
	loop_for_ms(100);
	ck_assert_uint_eq(echoed_bytes, 10);
	ck_assert_uint_eq(peer.received_bytes, 0);
	set_rules("");
	ck_assert(wait_for(has_ten_bytes, &peer));
	bufferevent_free(peer.bev);
	stop_proxy();
}
END_TEST

START_TEST(drop_and_refuse_close_connections)
{
	struct peer old;
	struct peer fresh;

	start_proxy();
	peer_open(&old);
	send_ten(&old);
	ck_assert(wait_for(has_ten_bytes, &old));
	set_rules("{\"drop\":true},{\"refuse\":true}");
	ck_assert(wait_for(is_closed, &old));
	peer_open(&fresh);
	ck_assert(wait_for(is_closed, &fresh));
	bufferevent_free(old.bev);
	bufferevent_free(fresh.bev);
	stop_proxy();
}
END_TEST

START_TEST(duplication_repeats_whole_messages)
{
	static const char MESSAGE[] = {'\x80', 0, 0, 4, 'a', 'b', 'c', 'd'};
	struct peer peer;

	start_proxy();
	set_rules("{\"source\":\"" SOURCE_IP "\",\"duplicate_permille\":1000}");
	peer_open(&peer);
	bufferevent_write(peer.bev, MESSAGE, sizeof(MESSAGE));
	ck_assert(wait_for(has_ten_bytes, &peer));
	ck_assert_uint_eq(peer.received_bytes, 2 * sizeof(MESSAGE));
	bufferevent_free(peer.bev);
	stop_proxy();
}
END_TEST

START_TEST(slow_drip_limits_the_rate)
{
	struct peer peer;
	uint64_t start_us;
	char block[400];

	start_proxy();
	set_rules("{\"source\":\"" SOURCE_IP "\",\"bytes_per_s\":1000}");
	memset(block, 'x', sizeof(block));
	peer_open(&peer);
	start_us = bg_clock_now_us();
	bufferevent_write(peer.bev, block, sizeof(block));
	while (peer.received_bytes < sizeof(block) &&
	    bg_clock_now_us() - start_us < WAIT_MS * 1000)
		loop_for_ms(5);
	ck_assert_uint_eq(peer.received_bytes, sizeof(block));
	ck_assert_uint_ge(peer.received_us - start_us, 350000);
	bufferevent_free(peer.bev);
	stop_proxy();
}
END_TEST

/* Guards against jitter that lets later bytes of a connection overtake earlier
 * ones, which TCP never does. */
START_TEST(jitter_keeps_the_order_of_bytes)
{
	struct peer peer;
	unsigned char i;

	start_proxy();
	set_rules("{\"jitter_ms\":30}");
	peer_open(&peer);
	for (i = 1; i <= 100; i++) {
		bufferevent_write(peer.bev, &i, 1);
		loop_for_ms(1);
	}
	ck_assert(wait_for(has_hundred_bytes, &peer));
	ck_assert_int_eq(peer.is_reordered, 0);
	ck_assert_uint_eq(peer.last_byte, 100);
	bufferevent_free(peer.bev);
	stop_proxy();
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("faultproxy");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, passes_bytes_and_keeps_the_source_address);
	tcase_add_test(tc, delay_holds_bytes_back);
	tcase_add_test(
	    tc, silence_keeps_old_connections_open_and_new_ones_working);
	tcase_add_test(tc, cut_closes_in_the_middle);
	tcase_add_test(tc, one_way_partition_stops_one_direction);
	tcase_add_test(tc, drop_and_refuse_close_connections);
	tcase_add_test(tc, duplication_repeats_whole_messages);
	tcase_add_test(tc, slow_drip_limits_the_rate);
	tcase_add_test(tc, jitter_keeps_the_order_of_bytes);
	return run_suite("faultproxy", tc);
}
