/* Polls all nodes, on request, for the configuration version that they hold. */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/log.h"

#include "mesh/internal.h"

/* Time limit of a poll. A node that does not respond in time counts as
 * unreachable, and its version as unknown. */
#define POLL_TIMEOUT_MS 400
/* Summaries up to this age are returned without a new poll. */
#define CACHE_TTL_MS 500

/* A caller that waits for the summaries. */
struct waiter {
	struct waiter *next;
	void (*done)(
	    void *arg, const struct bg_state_summary *summaries, size_t count);
	void *arg;
};

/* A STATE call to one node. */
struct state_request {
	struct bg_state_poll *poll;
	uint32_t round;
	char address[BG_ADDRESS_BYTES];
	char data_centre[BG_NAME_BYTES];
};

struct bg_state_poll {
	struct bg_mesh *mesh;
	struct event *timer;	    /* ends a poll */
	struct event *cached_event; /* returns cached summaries */
	struct waiter *waiters;
	struct bg_state_summary summaries[BG_DATA_CENTRES_MAX];
	size_t summary_count;
	uint32_t round;	  /* number of the current or last poll */
	uint32_t pending; /* requests of this poll without a response */
	uint64_t finished_ms;
	int is_running;
};

static struct bg_state_summary *
find_summary(struct bg_state_poll *poll, const char *data_centre)
{
	struct bg_state_summary *sum;
	size_t i;

	for (i = 0; i < poll->summary_count; i++) {
		if (strcmp(poll->summaries[i].data_centre, data_centre) == 0)
			return &poll->summaries[i];
	}
	if (poll->summary_count == BG_DATA_CENTRES_MAX)
		return NULL;
	sum = &poll->summaries[poll->summary_count++];
	memset(sum, 0, sizeof(*sum));
	snprintf(sum->data_centre, sizeof(sum->data_centre), "%s", data_centre);
	return sum;
}

/* The first response of a poll replaces the earlier summary of the data
 * centre. */
static void
reset_summary(struct bg_state_summary *sum, uint64_t now_wall_ms)
{
	sum->member_count = 0;
	sum->synced_count = 0;
	sum->confirmed_version = UINT64_MAX;
	sum->refused_version = 0;
	sum->refused_by[0] = '\0';
	sum->refused_reason[0] = '\0';
	sum->written_ms = now_wall_ms;
	sum->running_calls = 0;
}

static void
add_response(struct bg_state_poll *poll, const char *data_centre,
    const char *address, const struct bg_xstate_res *res)
{
	struct bg_state_summary *sum = find_summary(poll, data_centre);
	uint64_t now_wall_ms = bg_clock_wall_ms();

	if (sum == NULL)
		return;
	if (sum->member_count == 0 ||
	    now_wall_ms - sum->written_ms > POLL_TIMEOUT_MS + CACHE_TTL_MS)
		reset_summary(sum, now_wall_ms);
	sum->member_count++;
	sum->running_calls += res->extension.running_calls;
	sum->synced_count += res->held_version != 0;
	if (res->held_version < sum->confirmed_version)
		sum->confirmed_version = res->held_version;
	if (res->refused_version > sum->refused_version) {
		sum->refused_version = res->refused_version;
		snprintf(
		    sum->refused_by, sizeof(sum->refused_by), "%s", address);
		snprintf(sum->refused_reason, sizeof(sum->refused_reason),
		    "%.*s", (int)sizeof(sum->refused_reason) - 1,
		    res->refused_reason);
	}
}

static void
notify_waiters(struct bg_state_poll *poll)
{
	struct waiter *wtr;

	while ((wtr = poll->waiters) != NULL) {
		poll->waiters = wtr->next;
		wtr->done(wtr->arg, poll->summaries, poll->summary_count);
		free(wtr);
	}
}

static void
finish_poll(struct bg_state_poll *poll)
{
	if (!poll->is_running)
		return;
	poll->is_running = 0;
	poll->finished_ms = bg_clock_now_ms();
	event_del(poll->timer);
	notify_waiters(poll);
}

static void
on_timeout(evutil_socket_t fd, short what, void *arg)
{
	finish_poll(arg);
}

static void
on_cached(evutil_socket_t fd, short what, void *arg)
{
	notify_waiters(arg);
}

static void
on_state(void *arg, int code, void *result)
{
	struct state_request *req = arg;
	struct bg_state_poll *poll = req->poll;

	if (code != BG_ECANCELED && req->round == poll->round &&
	    poll->is_running) {
		if (code == 0)
			add_response(
			    poll, req->data_centre, req->address, result);
		if (--poll->pending == 0)
			finish_poll(poll);
	}
	free(req);
}

static void
fill_own_state(struct bg_xstate_res *out, struct bg_mesh *mesh)
{
	out->held_version = bg_mesh_config_version(mesh);
	out->refused_version = mesh->refused_version;
	out->refused_reason = mesh->refused_reason;
	out->extension.running_calls = mesh->running_calls == NULL
	    ? 0
	    : mesh->running_calls(mesh->running_calls_arg);
}

void
bg_mesh_set_running_calls(
    struct bg_mesh *mesh, uint32_t (*count)(void *arg), void *arg)
{
	mesh->running_calls = count;
	mesh->running_calls_arg = arg;
}

static void
send_request(struct bg_state_poll *poll, const struct bg_member *m)
{
	struct state_request *req = calloc(1, sizeof(*req));
	struct bg_link *link;

	if (req == NULL)
		return;
	req->poll = poll;
	req->round = poll->round;
	snprintf(req->address, sizeof(req->address), "%s", m->address);
	snprintf(
	    req->data_centre, sizeof(req->data_centre), "%s", m->data_centre);
	if (bg_link_pool_get(&link, poll->mesh->links, m->address, NULL) != 0 ||
	    bg_link_call(NULL, link, BG_PROC_STATE, NULL, NULL,
		(xdrproc_t)xdr_bg_xstate_res, sizeof(struct bg_xstate_res),
		POLL_TIMEOUT_MS, on_state, req) != 0) {
		free(req);
		return;
	}
	poll->pending++;
}

static void
start_poll(struct bg_state_poll *poll)
{
	static const struct timeval limit = {0, POLL_TIMEOUT_MS * 1000};
	const struct bg_roster *ros = &poll->mesh->roster;
	struct bg_xstate_res own;
	size_t i;

	poll->is_running = 1;
	poll->round++;
	poll->pending = 0;
	for (i = 0; i < poll->summary_count; i++)
		poll->summaries[i].member_count = 0;
	fill_own_state(&own, poll->mesh);
	add_response(
	    poll, poll->mesh->self.data_centre, poll->mesh->self.address, &own);
	for (i = 0; i < ros->member_count; i++) {
		if (strcmp(ros->members[i].address, poll->mesh->self.address) !=
		    0)
			send_request(poll, &ros->members[i]);
	}
	if (poll->pending > 0)
		event_add(poll->timer, &limit);
	else
		event_active(poll->timer, EV_TIMEOUT, 0);
}

int
bg_mesh_poll_state(struct bg_mesh *mesh,
    void (*done)(
	void *arg, const struct bg_state_summary *summaries, size_t count),
    void *arg)
{
	struct bg_state_poll *poll = mesh->state_poll;
	struct waiter *wtr = calloc(1, sizeof(*wtr));

	if (wtr == NULL)
		return BG_ENOMEM;
	wtr->done = done;
	wtr->arg = arg;
	wtr->next = poll->waiters;
	poll->waiters = wtr;
	if (poll->is_running)
		return 0;
	if (poll->finished_ms != 0 &&
	    bg_clock_now_ms() - poll->finished_ms < CACHE_TTL_MS)
		event_active(poll->cached_event, EV_TIMEOUT, 0);
	else
		start_poll(poll);
	return 0;
}

static void
handle_state(void *arg, struct bg_rpc *rpc, void *args)
{
	struct bg_state_poll *poll = arg;
	struct bg_xstate_res res;

	fill_own_state(&res, poll->mesh);
	bg_rpc_reply(rpc, (xdrproc_t)xdr_bg_xstate_res, &res);
}

int
bg_state_poll_init(struct bg_state_poll **out, struct bg_mesh *mesh)
{
	struct bg_rpc_handler handler = {
	    BG_PROC_STATE, NULL, 0, handle_state, NULL};
	struct bg_state_poll *poll;

	if ((poll = calloc(1, sizeof(*poll))) == NULL)
		return BG_ENOMEM;
	poll->mesh = mesh;
	handler.arg = poll;
	poll->timer = evtimer_new(mesh->base, on_timeout, poll);
	poll->cached_event = event_new(mesh->base, -1, 0, on_cached, poll);
	if (poll->timer == NULL || poll->cached_event == NULL ||
	    bg_link_server_add_handler(mesh->server, &handler) != 0) {
		bg_state_poll_free(poll);
		return BG_ENOMEM;
	}
	*out = poll;
	return 0;
}

void
bg_state_poll_free(struct bg_state_poll *poll)
{
	struct waiter *wtr;

	if (poll == NULL)
		return;
	while ((wtr = poll->waiters) != NULL) {
		poll->waiters = wtr->next;
		free(wtr);
	}
	if (poll->timer != NULL)
		event_free(poll->timer);
	if (poll->cached_event != NULL)
		event_free(poll->cached_event);
	free(poll);
}
