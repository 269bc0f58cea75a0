#include <event2/bufferevent.h>
#include <event2/util.h>

#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>

#include "presence.h"

struct check {
	struct bufferevent *bev;
	bg_presence_fn fn;
	void *arg;
};

static void
finish(struct check *chk, int is_listening)
{
	bg_presence_fn fn = chk->fn;
	void *arg = chk->arg;

	if (chk->bev != NULL)
		bufferevent_free(chk->bev);
	free(chk);
	fn(arg, is_listening);
}

static void
on_event(struct bufferevent *bev, short what, void *arg)
{
	int is_refused = (what & BEV_EVENT_ERROR) != 0 &&
	    EVUTIL_SOCKET_ERROR() == ECONNREFUSED;

	finish(arg, !is_refused);
}

void
bg_presence_check(
    struct event_base *base, const char *address, bg_presence_fn fn, void *arg)
{
	static const struct timeval limit = {0, BG_PRESENCE_TIMEOUT_MS * 1000};
	struct check *chk = calloc(1, sizeof(*chk));
	struct sockaddr_in sin;
	int sin_bytes = sizeof(sin);

	if (chk == NULL) {
		fn(arg, 1);
		return;
	}
	chk->fn = fn;
	chk->arg = arg;
	chk->bev = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
	if (chk->bev == NULL ||
	    evutil_parse_sockaddr_port(
		address, (struct sockaddr *)&sin, &sin_bytes) != 0) {
		finish(chk, 1);
		return;
	}
	bufferevent_setcb(chk->bev, NULL, NULL, on_event, chk);
	/* The write timeout limits the connection attempt. */
	bufferevent_set_timeouts(chk->bev, &limit, &limit);
	bufferevent_enable(chk->bev, EV_READ | EV_WRITE);
	if (bufferevent_socket_connect(
		chk->bev, (struct sockaddr *)&sin, sin_bytes) != 0)
		finish(chk, 1);
}
