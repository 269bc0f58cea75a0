#include <string.h>
#include <xxhash.h>

#include "patience.h"

/* A deadline counts for one to two spans. */
#define SPAN_MS 10000
/* New requests of a route are given at least this part of the longest
 * deadline. */
#define NEW_SHARE 0.8
/* Average part of the longest deadline that a new request is given. */
#define USUAL_SHARE 0.92

static struct bg_patience_route *
find(struct bg_age_estimator *pat, const char *route, uint64_t now_ms)
{
	uint64_t hash = XXH64(route, strlen(route), 0);
	struct bg_patience_route *r = &pat->routes[hash % BG_PATIENCE_ROUTES];

	if (r->route_hash != hash) {
		memset(r, 0, sizeof(*r));
		r->route_hash = hash;
		r->span_ms = now_ms;
	}
	if (now_ms - r->span_ms >= SPAN_MS) {
		r->longest_old_ms =
		    now_ms - r->span_ms < 2 * SPAN_MS ? r->longest_ms : 0;
		r->longest_ms = 0;
		r->span_ms = now_ms;
	}
	return r;
}

uint32_t
bg_patience_request(struct bg_age_estimator *pat, const char *route,
    uint32_t deadline_ms, uint64_t now_ms)
{
	struct bg_patience_route *r;
	uint32_t longest_ms;

	if (deadline_ms == 0)
		return 0;
	r = find(pat, route, now_ms);
	if (deadline_ms > r->longest_ms)
		r->longest_ms = deadline_ms;
	longest_ms = r->longest_ms > r->longest_old_ms ? r->longest_ms
						       : r->longest_old_ms;
	if (deadline_ms >= longest_ms * NEW_SHARE)
		return 0;
	return (uint32_t)(longest_ms * USUAL_SHARE) - deadline_ms;
}
