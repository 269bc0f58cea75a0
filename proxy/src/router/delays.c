#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"

#include "delays.h"

#define PING_TIMEOUT_MS 1000
/* Data centres that are measured; the target size is 6. */
#define DATA_CENTRES_MAX 16

struct ping {
	struct bg_delays *delays;
	uint64_t sent_us;
	int is_pending;
	char data_centre[BG_NAME_BYTES];
};

struct bg_delays {
	struct bg_router *router;
	struct bg_mesh *mesh;
	struct bg_link_pool *links;
	struct event *timer;
	struct bg_rand rand;
	struct ping pings[DATA_CENTRES_MAX];
	size_t ping_count;
	char data_centre[BG_NAME_BYTES];
};

static void
on_ping(void *arg, int code, void *res)
{
	struct ping *ping = arg;

	ping->is_pending = 0;
	if (code == 0)
		bg_router_delay(ping->delays->router, ping->data_centre,
		    bg_clock_now_us() - ping->sent_us);
}

static struct ping *
find_ping(struct bg_delays *dly, const char *data_centre)
{
	struct ping *ping;
	size_t i;

	for (i = 0; i < dly->ping_count; i++) {
		if (strcmp(dly->pings[i].data_centre, data_centre) == 0)
			return &dly->pings[i];
	}
	if (dly->ping_count == DATA_CENTRES_MAX)
		return NULL;
	ping = &dly->pings[dly->ping_count++];
	ping->delays = dly;
	snprintf(
	    ping->data_centre, sizeof(ping->data_centre), "%s", data_centre);
	return ping;
}

/* A ping over a link that still connects would count the connect as well. */
static void
measure(struct bg_delays *dly, const struct bg_member *m)
{
	struct ping *ping = find_ping(dly, m->data_centre);
	struct bg_link *link;

	if (ping == NULL || ping->is_pending ||
	    bg_link_pool_get(&link, dly->links, m->address, NULL) != 0 ||
	    !bg_link_is_connected(link))
		return;
	ping->sent_us = bg_clock_now_us();
	ping->is_pending = bg_link_call(NULL, link, BG_PROC_PING, NULL, NULL,
			       NULL, 0, PING_TIMEOUT_MS, on_ping, ping) == 0;
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct bg_delays *dly = arg;
	const struct bg_roster *ros = bg_mesh_roster(dly->mesh);
	const struct bg_member *m;
	size_t first;
	size_t i;

	if (ros == NULL || ros->member_count == 0)
		return;
	/* Starting anywhere in the roster spreads the links over the nodes of
	 * a data centre; a pending ping ends the search there. */
	first = bg_rand_below(&dly->rand, ros->member_count);
	for (i = 0; i < ros->member_count; i++) {
		m = &ros->members[(first + i) % ros->member_count];
		if (!m->is_dead && m->state == BG_MEMBER_READY &&
		    strcmp(m->data_centre, dly->data_centre) != 0)
			measure(dly, m);
	}
}

int
bg_delays_init(struct bg_delays **out, struct event_base *base,
    struct bg_router *rtr, struct bg_mesh *mesh, struct bg_link_pool *links,
    const char *data_centre)
{
	static const struct timeval interval = {BG_DELAYS_MS / 1000, 0};
	struct bg_delays *dly;

	if ((dly = calloc(1, sizeof(*dly))) == NULL)
		return BG_ENOMEM;
	dly->router = rtr;
	dly->mesh = mesh;
	dly->links = links;
	bg_rand_init(&dly->rand, 0);
	snprintf(dly->data_centre, sizeof(dly->data_centre), "%s", data_centre);
	dly->timer = event_new(base, -1, EV_PERSIST, on_timer, dly);
	if (dly->timer == NULL || event_add(dly->timer, &interval) != 0) {
		bg_delays_free(dly);
		return BG_ENOMEM;
	}
	*out = dly;
	return 0;
}

void
bg_delays_free(struct bg_delays *dly)
{
	if (dly == NULL)
		return;
	if (dly->timer != NULL)
		event_free(dly->timer);
	free(dly);
}
