/* Waits until the last announcement outlives this process: until the store has
 * it or, while the store cannot be reached or is slow, a peer. */

#include <inttypes.h>
#include <stdlib.h>

#include "burdockgrade/log.h"

#include "mesh/internal.h"

/* After this time a copy at a peer is enough. */
#define STORE_WAIT_MS 300
/* Limit of the wait. Whoever waits has a limit of one second. */
#define LIMIT_MS 800

struct bg_durable_wait {
	struct bg_mesh *mesh;
	struct bg_durable_wait *next;
	struct event *timer;
	bg_mesh_durable_fn fn;
	void *arg;
	uint64_t seq;
	uint64_t began_ms;
};

static int
is_durable(const struct bg_mesh *mesh, uint64_t seq, uint64_t age_ms)
{
	if (mesh->store == NULL || mesh->stored_seq >= seq)
		return 1;
	return mesh->copied_seq >= seq &&
	    (age_ms >= STORE_WAIT_MS || !bg_mesh_is_store_reachable(mesh));
}

/* Tells on whose word an announcement counts as durable. A copy at a peer is
 * lost if all processes end before the store has got the announcement. */
static void
log_durable(const struct bg_mesh *mesh, uint64_t seq, uint64_t age_ms)
{
	bg_log_info("mesh",
	    "announcement durable by=%s seq=%" PRIu64 " wait_ms=%" PRIu64,
	    mesh->store == NULL || mesh->stored_seq >= seq ? "store" : "peer",
	    seq, age_ms);
}

static void
finish(struct bg_durable_wait *wait, int code)
{
	struct bg_durable_wait **prev = &wait->mesh->durable_waits;
	bg_mesh_durable_fn fn = wait->fn;
	void *arg = wait->arg;

	while (*prev != wait)
		prev = &(*prev)->next;
	*prev = wait->next;
	if (code == 0)
		log_durable(
		    wait->mesh, wait->seq, bg_clock_now_ms() - wait->began_ms);
	event_free(wait->timer);
	free(wait);
	fn(arg, code);
}

static void
schedule(struct bg_durable_wait *wait, uint64_t ms)
{
	struct timeval tv = {0, (suseconds_t)ms * 1000};

	event_add(wait->timer, &tv);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct bg_durable_wait *wait = arg;
	uint64_t age_ms = bg_clock_now_ms() - wait->began_ms;

	if (is_durable(wait->mesh, wait->seq, age_ms)) {
		finish(wait, 0);
	} else if (age_ms >= LIMIT_MS) {
		bg_log_warn("mesh",
		    "announcement not durable seq=%" PRIu64 " stored=%" PRIu64
		    " copied=%" PRIu64,
		    wait->seq, wait->mesh->stored_seq, wait->mesh->copied_seq);
		finish(wait, BG_ETIMEOUT);
	} else {
		bg_mesh_self_spread(wait->mesh);
		schedule(wait, LIMIT_MS - age_ms);
	}
}

void
bg_mesh_durable_update(struct bg_mesh *mesh)
{
	uint64_t now_ms = bg_clock_now_ms();
	struct bg_durable_wait *wait = mesh->durable_waits;

	while (wait != NULL) {
		if (!is_durable(mesh, wait->seq, now_ms - wait->began_ms)) {
			wait = wait->next;
			continue;
		}
		finish(wait, 0);
		/* The callback may have changed the list. */
		wait = mesh->durable_waits;
	}
}

void
bg_mesh_when_durable(struct bg_mesh *mesh, bg_mesh_durable_fn fn, void *arg)
{
	struct bg_durable_wait *wait;

	if (is_durable(mesh, mesh->self.seq, 0)) {
		log_durable(mesh, mesh->self.seq, 0);
		fn(arg, 0);
		return;
	}
	if ((wait = calloc(1, sizeof(*wait))) == NULL ||
	    (wait->timer = evtimer_new(mesh->base, on_timer, wait)) == NULL) {
		free(wait);
		fn(arg, BG_ENOMEM);
		return;
	}
	wait->mesh = mesh;
	wait->fn = fn;
	wait->arg = arg;
	wait->seq = mesh->self.seq;
	wait->began_ms = bg_clock_now_ms();
	wait->next = mesh->durable_waits;
	mesh->durable_waits = wait;
	schedule(wait, STORE_WAIT_MS);
}

void
bg_mesh_durable_free(struct bg_mesh *mesh)
{
	while (mesh->durable_waits != NULL)
		finish(mesh->durable_waits, BG_ECANCELED);
}
