#include <string.h>
#include <xxhash.h>

#include "request_age.h"

/* A deadline is taken into account for one to two windows. */
#define WINDOW_MS 10000
/* A request whose deadline is at least this share of the longest one is new. */
#define NEW_REQUEST_SHARE 0.8
/* Mean deadline of a new request, as a share of the longest one. */
#define MEAN_REQUEST_SHARE 0.92

static struct bg_age_route *
find(struct bg_age_estimator *est, const char *route, uint64_t now_ms)
{
	uint64_t hash = XXH64(route, strlen(route), 0);
	struct bg_age_route *r = &est->routes[hash % BG_AGE_ROUTES];

	if (r->route_hash != hash) {
		memset(r, 0, sizeof(*r));
		r->route_hash = hash;
		r->window_start_ms = now_ms;
	}
	if (now_ms - r->window_start_ms >= WINDOW_MS) {
		r->previous_longest_ms =
		    now_ms - r->window_start_ms < 2 * WINDOW_MS ? r->longest_ms
								: 0;
		r->longest_ms = 0;
		r->window_start_ms = now_ms;
	}
	return r;
}

uint32_t
bg_age_estimate(struct bg_age_estimator *est, const char *route,
    uint32_t deadline_ms, uint64_t now_ms)
{
	struct bg_age_route *r;
	uint32_t longest_ms;

	if (deadline_ms == 0)
		return 0;
	r = find(est, route, now_ms);
	if (deadline_ms > r->longest_ms)
		r->longest_ms = deadline_ms;
	longest_ms = r->longest_ms > r->previous_longest_ms
	    ? r->longest_ms
	    : r->previous_longest_ms;
	if (deadline_ms >= longest_ms * NEW_REQUEST_SHARE)
		return 0;
	return (uint32_t)(longest_ms * MEAN_REQUEST_SHARE) - deadline_ms;
}
