/* What the nodes hold, asked when somebody wants to know. */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/log.h"

#include "mesh/internal.h"

/* Time allowed for all answers. A node that does not answer cannot be reached,
 * and what it holds is unknown. */
#define ROUND_MS 400
/* Summaries this fresh are handed out without asking again. */
#define FRESH_MS 500

/* A request for the summaries. */
struct waiter {
	struct waiter *next;
	void (*done)(
	    void *arg, const struct bg_summary *summaries, size_t count);
	void *arg;
};

/* One node that was asked. */
struct question {
	struct bg_census *census;
	uint32_t round;
	char address[BG_ADDRESS_BYTES];
	char data_centre[BG_NAME_BYTES];
};

struct bg_census {
	struct bg_mesh *mesh;
	struct event *timer; /* ends a round */
	struct event *ready; /* hands out fresh summaries */
	struct waiter *waiters;
	struct bg_summary summaries[BG_DATA_CENTRES_MAX];
	size_t summary_count;
	uint32_t round;
	uint32_t open; /* questions of the round without an answer */
	uint64_t finished_ms;
	int is_running;
};

static struct bg_summary *
find_summary(struct bg_census *cen, const char *data_centre)
{
	struct bg_summary *sum;
	size_t i;

	for (i = 0; i < cen->summary_count; i++) {
		if (strcmp(cen->summaries[i].data_centre, data_centre) == 0)
			return &cen->summaries[i];
	}
	if (cen->summary_count == BG_DATA_CENTRES_MAX)
		return NULL;
	sum = &cen->summaries[cen->summary_count++];
	memset(sum, 0, sizeof(*sum));
	snprintf(sum->data_centre, sizeof(sum->data_centre), "%s", data_centre);
	return sum;
}

/* The first answer of a round replaces what was known of the data centre. */
static void
begin_summary(struct bg_summary *sum, uint64_t now_wall_ms)
{
	sum->member_count = 0;
	sum->synced_count = 0;
	sum->confirmed_version = UINT64_MAX;
	sum->refused_version = 0;
	sum->refused_by[0] = '\0';
	sum->refused_reason[0] = '\0';
	sum->written_ms = now_wall_ms;
}

static void
count_answer(struct bg_census *cen, const char *data_centre,
    const char *address, const struct bg_xstate_res *res)
{
	struct bg_summary *sum = find_summary(cen, data_centre);
	uint64_t now_wall_ms = bg_clock_wall_ms();

	if (sum == NULL)
		return;
	if (sum->member_count == 0 ||
	    now_wall_ms - sum->written_ms > ROUND_MS + FRESH_MS)
		begin_summary(sum, now_wall_ms);
	sum->member_count++;
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
hand_out(struct bg_census *cen)
{
	struct waiter *wtr;

	while ((wtr = cen->waiters) != NULL) {
		cen->waiters = wtr->next;
		wtr->done(wtr->arg, cen->summaries, cen->summary_count);
		free(wtr);
	}
}

static void
finish_round(struct bg_census *cen)
{
	if (!cen->is_running)
		return;
	cen->is_running = 0;
	cen->finished_ms = bg_clock_now_ms();
	event_del(cen->timer);
	hand_out(cen);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	finish_round(arg);
}

static void
on_ready(evutil_socket_t fd, short what, void *arg)
{
	hand_out(arg);
}

static void
on_state(void *arg, int code, void *result)
{
	struct question *qst = arg;
	struct bg_census *cen = qst->census;

	if (code != BG_ECANCELED && qst->round == cen->round &&
	    cen->is_running) {
		if (code == 0)
			count_answer(
			    cen, qst->data_centre, qst->address, result);
		if (--cen->open == 0)
			finish_round(cen);
	}
	free(qst);
}

static void
fill_own_state(struct bg_xstate_res *out, struct bg_mesh *mesh)
{
	out->held_version = bg_mesh_config_version(mesh);
	out->refused_version = mesh->refused_version;
	out->refused_reason = mesh->refused_reason;
}

static void
ask(struct bg_census *cen, const struct bg_member *m)
{
	struct question *qst = calloc(1, sizeof(*qst));
	struct bg_link *link;

	if (qst == NULL)
		return;
	qst->census = cen;
	qst->round = cen->round;
	snprintf(qst->address, sizeof(qst->address), "%s", m->address);
	snprintf(
	    qst->data_centre, sizeof(qst->data_centre), "%s", m->data_centre);
	if (bg_link_pool_get(&link, cen->mesh->links, m->address, NULL) != 0 ||
	    bg_link_call(NULL, link, BG_PROC_STATE, NULL, NULL,
		(xdrproc_t)xdr_bg_xstate_res, sizeof(struct bg_xstate_res),
		ROUND_MS, on_state, qst) != 0) {
		free(qst);
		return;
	}
	cen->open++;
}

static void
start_round(struct bg_census *cen)
{
	static const struct timeval limit = {0, ROUND_MS * 1000};
	const struct bg_roster *ros = &cen->mesh->roster;
	struct bg_xstate_res own;
	size_t i;

	cen->is_running = 1;
	cen->round++;
	cen->open = 0;
	for (i = 0; i < cen->summary_count; i++)
		cen->summaries[i].member_count = 0;
	fill_own_state(&own, cen->mesh);
	count_answer(
	    cen, cen->mesh->me.data_centre, cen->mesh->me.address, &own);
	for (i = 0; i < ros->member_count; i++) {
		if (strcmp(ros->members[i].address, cen->mesh->me.address) != 0)
			ask(cen, &ros->members[i]);
	}
	if (cen->open > 0)
		event_add(cen->timer, &limit);
	else
		event_active(cen->timer, EV_TIMEOUT, 0);
}

int
bg_mesh_census(struct bg_mesh *mesh,
    void (*done)(void *arg, const struct bg_summary *summaries, size_t count),
    void *arg)
{
	struct bg_census *cen = mesh->census;
	struct waiter *wtr = calloc(1, sizeof(*wtr));

	if (wtr == NULL)
		return BG_ENOMEM;
	wtr->done = done;
	wtr->arg = arg;
	wtr->next = cen->waiters;
	cen->waiters = wtr;
	if (cen->is_running)
		return 0;
	if (cen->finished_ms != 0 &&
	    bg_clock_now_ms() - cen->finished_ms < FRESH_MS)
		event_active(cen->ready, EV_TIMEOUT, 0);
	else
		start_round(cen);
	return 0;
}

static void
handle_state(void *arg, struct bg_rpc *rpc, void *args)
{
	struct bg_census *cen = arg;
	struct bg_xstate_res res;

	fill_own_state(&res, cen->mesh);
	bg_rpc_reply(rpc, (xdrproc_t)xdr_bg_xstate_res, &res);
}

int
bg_census_init(struct bg_census **out, struct bg_mesh *mesh)
{
	struct bg_rpc_handler handler = {
	    BG_PROC_STATE, NULL, 0, handle_state, NULL};
	struct bg_census *cen;

	if ((cen = calloc(1, sizeof(*cen))) == NULL)
		return BG_ENOMEM;
	cen->mesh = mesh;
	handler.arg = cen;
	cen->timer = evtimer_new(mesh->base, on_timer, cen);
	cen->ready = event_new(mesh->base, -1, 0, on_ready, cen);
	if (cen->timer == NULL || cen->ready == NULL ||
	    bg_link_server_add_handler(mesh->server, &handler) != 0) {
		bg_census_free(cen);
		return BG_ENOMEM;
	}
	*out = cen;
	return 0;
}

void
bg_census_free(struct bg_census *cen)
{
	struct waiter *wtr;

	if (cen == NULL)
		return;
	while ((wtr = cen->waiters) != NULL) {
		cen->waiters = wtr->next;
		free(wtr);
	}
	if (cen->timer != NULL)
		event_free(cen->timer);
	if (cen->ready != NULL)
		event_free(cen->ready);
	free(cen);
}
