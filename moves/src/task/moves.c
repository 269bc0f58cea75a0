#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/counter.h"
#include "burdockgrade/log.h"

#include "task.h"

static struct bg_counter stops = BG_COUNTER("burdock_moves_stops_total",
    "Server versions that this node stopped calling on its own.");

static void
observe(struct bg_observer *obs, const struct bg_observation *seen)
{
	struct bg_moves *mvs = (struct bg_moves *)obs;
	int is_failed = seen->is_failed && !seen->is_dependency_fault;
	int is_slow = seen->is_slow && !seen->is_dependency_fault;
	struct bg_tally *tly;

	bg_burn_count(mvs->burn, seen->service, seen->route,
	    seen->server_version, bg_clock_wall_ms() / 60000, seen->is_failed);
	if (strcmp(mvs->stat.service, seen->service) != 0 ||
	    strcmp(mvs->stat.server_version, seen->server_version) != 0) {
		memset(&mvs->stat, 0, sizeof(mvs->stat));
		snprintf(mvs->stat.service, BG_NAME_BYTES, "%s", seen->service);
		snprintf(mvs->stat.server_version, BG_NAME_BYTES, "%s",
		    seen->server_version);
	}
	/* A cold server is slow for a while whatever its version; failures
	 * count from the first call. */
	if (seen->is_cold && !is_failed)
		return;
	if ((tly = bg_stat_route(&mvs->stat, seen->route)) == NULL)
		return;
	bg_tally_count(tly, seen->own_time_us, is_failed, is_slow);
	mvs->is_stat_changed = 1;
}

static void
stopped(struct bg_observer *obs, const char *service,
    const char *server_version, uint64_t move_generation, const char *reason)
{
	bg_counter_add(&stops, 1);
	bg_log_warn("moves",
	    "version stopped at this node service=%s version=%s "
	    "generation=%llu reason=\"%s\"",
	    service, server_version, (unsigned long long)move_generation,
	    reason);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct bg_moves *mvs = arg;
	uint64_t now_ms = bg_clock_now_ms();

	if (!bg_mesh_is_root(mvs->mesh))
		mvs->root_since_ms = 0;
	else if (mvs->root_since_ms == 0)
		mvs->root_since_ms = now_ms;
	bg_moves_publish_stat(mvs);
	if (mvs->root_since_ms != 0)
		bg_moves_judge_data_centre(mvs);
	bg_moves_lease(mvs);
	if (!bg_lease_is_held(&mvs->lease, now_ms)) {
		mvs->holder_since_ms = 0;
		return;
	}
	if (mvs->holder_since_ms == 0) {
		mvs->holder_since_ms = now_ms;
		bg_log_info("moves", "move holder term=%llu",
		    (unsigned long long)mvs->lease.record.term);
	}
	bg_moves_hold(mvs);
}

int
bg_moves_init(struct bg_moves **out, const struct bg_moves_options *opts,
    struct bg_error *err)
{
	static const struct timeval tick = {
	    BG_MOVES_TICK_MS / 1000, BG_MOVES_TICK_MS % 1000 * 1000};
	struct bg_moves *mvs;

	if ((mvs = calloc(1, sizeof(*mvs))) == NULL)
		return BG_ENOMEM;
	mvs->observer.observe = observe;
	mvs->observer.stopped = stopped;
	mvs->base = opts->base;
	mvs->settings = opts->settings;
	mvs->mesh = opts->mesh;
	mvs->platform = opts->platform;
	bg_lease_init(&mvs->lease, bg_mesh_address(opts->mesh),
	    bg_mesh_incarnation(opts->mesh));
	mvs->tick = event_new(opts->base, -1, EV_PERSIST, on_tick, mvs);
	if (mvs->tick == NULL || bg_burn_init(&mvs->burn) != 0) {
		bg_moves_free(mvs);
		return bg_error_set(
		    err, BG_ENOMEM, "moves", NULL, "out of memory");
	}
	event_add(mvs->tick, &tick);
	*out = mvs;
	return 0;
}

void
bg_moves_free(struct bg_moves *mvs)
{
	if (mvs == NULL)
		return;
	if (mvs->tick != NULL)
		event_free(mvs->tick);
	bg_watch_free_all(mvs);
	bg_burn_free(mvs->burn);
	free(mvs);
}

struct bg_observer *
bg_moves_observer(struct bg_moves *mvs)
{
	return &mvs->observer;
}

int
bg_moves_burn_json(char **out, const struct bg_moves *mvs, uint64_t now_wall_ms)
{
	return bg_burn_encode(out, mvs->burn);
}
