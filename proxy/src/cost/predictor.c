#include <math.h>
#include <stddef.h>
#include <string.h>
#include <xxhash.h>

#include "predictor.h"

/* The weight of a new call never falls below these, so that a change is
 * followed within about 50 calls of a route and 20 of a cell. */
#define ROUTE_WEIGHT_MIN 0.02
#define CELL_WEIGHT_MIN 0.05
/* A trait is used after this many calls of the route, if its mean squared error
 * is at most this part of that of the route's mean. Smaller gains are within
 * the noise of the two estimates. */
#define TRAIT_CALLS_MIN 100
#define TRAIT_ERROR_MAX 0.8
/* A cell's mean is drawn to the route's with the weight of this many calls. */
#define CELL_PRIOR_CALLS 3.0

static double
weight_of(double calls, double min)
{
	double weight = 1 / (calls + 1);

	return weight < min ? min : weight;
}

static uint64_t
route_tag(const struct bg_cost_query *q)
{
	return XXH64(q->route, strlen(q->route), 0) | 1;
}

/* Sizes within a doubling are alike. */
static uint64_t
trait_tag(
    enum bg_cost_trait trait, const struct bg_cost_query *q, uint64_t seed)
{
	uint32_t size_class = 0;

	switch (trait) {
	case BG_COST_ORGANISATION:
		return XXH64(q->organisation, strlen(q->organisation), seed) |
		    1;
	case BG_COST_PATH:
		return XXH64(q->path, strlen(q->path), seed) | 1;
	default:
		while (size_class < 32 && (q->body_bytes >> size_class) != 0)
			size_class++;
		return XXH64(&size_class, sizeof(size_class), seed) | 1;
	}
}

static const struct bg_cost_route *
find_route(const struct bg_predictor *prd, uint64_t tag)
{
	size_t i;

	for (i = 0; i < BG_PREDICTOR_ROUTES; i++) {
		if (prd->routes[i].tag == tag)
			return &prd->routes[i];
	}
	return NULL;
}

static struct bg_cost_route *
get_route(struct bg_predictor *prd, uint64_t tag)
{
	struct bg_cost_route *route =
	    (struct bg_cost_route *)find_route(prd, tag);
	size_t i;

	if (route == NULL) {
		route = &prd->routes[0];
		for (i = 1; i < BG_PREDICTOR_ROUTES; i++) {
			if (prd->routes[i].last_use < route->last_use)
				route = &prd->routes[i];
		}
		memset(route, 0, sizeof(*route));
		route->tag = tag;
	}
	route->last_use = ++prd->uses;
	return route;
}

/* Tags are odd, since 0 means an empty cell. Their other bits choose the cell.
 */
static size_t
cell_index(uint64_t tag)
{
	return (size_t)((tag >> 1) % BG_PREDICTOR_CELLS);
}

/* Log of the cost by one trait; the route's where the cell knows nothing. */
static double
cell_log(const struct bg_cost_cell *cell, uint64_t tag,
    const struct bg_cost_route *route)
{
	if (cell->tag != tag)
		return route->mean_log;
	return route->mean_log +
	    (cell->mean_log - route->mean_log) * cell->calls /
	    (cell->calls + CELL_PRIOR_CALLS);
}

/* Trait with the least error, if it is clearly below the route's; -1: none. */
static int
best_trait(const struct bg_cost_route *route)
{
	double least = route->error * TRAIT_ERROR_MAX;
	int best = -1;
	int i;

	if (route->calls < TRAIT_CALLS_MIN)
		return -1;
	for (i = 0; i < BG_COST_TRAITS; i++) {
		if (route->trait_error[i] < least) {
			least = route->trait_error[i];
			best = i;
		}
	}
	return best;
}

void
bg_predictor_predict(struct bg_cost_prediction *out,
    const struct bg_predictor *prd, const struct bg_cost_query *q)
{
	uint64_t seed = route_tag(q);
	const struct bg_cost_route *route = find_route(prd, seed);
	double cost_us;
	uint64_t tag;

	memset(out, 0, sizeof(*out));
	out->trait = -1;
	if (route == NULL)
		return;
	cost_us = route->mean_us;
	out->route_mean_us = (uint32_t)cost_us;
	out->trait = best_trait(route);
	if (out->trait >= 0) {
		tag = trait_tag((enum bg_cost_trait)out->trait, q, seed);
		cost_us *=
		    exp(cell_log(&prd->cells[out->trait][cell_index(tag)], tag,
			    route) -
			route->mean_log);
	}
	out->cost_us = cost_us < UINT32_MAX ? (uint32_t)cost_us : UINT32_MAX;
}

/* A value that comes less often than another one of its cell gives way. */
static void
record_cell(struct bg_cost_cell *cell, uint64_t tag, double cost_log)
{
	if (cell->tag != tag) {
		cell->calls -= 1;
		if (cell->calls >= 1)
			return;
		cell->tag = tag;
		cell->calls = 0;
		cell->mean_log = 0;
	}
	cell->mean_log += (cost_log - cell->mean_log) *
	    weight_of(cell->calls, CELL_WEIGHT_MIN);
	if (cell->calls < 1 / CELL_WEIGHT_MIN)
		cell->calls += 1;
}

static void
record_error(double *error, double difference, double weight)
{
	*error += (difference * difference - *error) * weight;
}

void
bg_predictor_record(
    struct bg_predictor *prd, const struct bg_cost_query *q, uint64_t cost_us)
{
	uint64_t seed = route_tag(q);
	struct bg_cost_route *route;
	struct bg_cost_cell *cell;
	double cost_log;
	double weight;
	uint64_t tag;
	int i;

	if (cost_us == 0)
		return;
	route = get_route(prd, seed);
	cost_log = log((double)cost_us);
	weight = weight_of((double)route->calls, ROUTE_WEIGHT_MIN);
	if (route->calls == 0)
		route->mean_log = cost_log;
	/* The errors are those of a prediction made before this call. */
	record_error(&route->error, cost_log - route->mean_log, weight);
	for (i = 0; i < BG_COST_TRAITS; i++) {
		tag = trait_tag((enum bg_cost_trait)i, q, seed);
		cell = &prd->cells[i][cell_index(tag)];
		record_error(&route->trait_error[i],
		    cost_log - cell_log(cell, tag, route), weight);
		record_cell(cell, tag, cost_log);
	}
	route->mean_log += (cost_log - route->mean_log) * weight;
	route->mean_us += ((double)cost_us - route->mean_us) * weight;
	route->calls++;
}

void
bg_predictor_record_ratio(
    struct bg_predictor *prd, const struct bg_cost_query *q, double ratio)
{
	struct bg_cost_route *route =
	    (struct bg_cost_route *)find_route(prd, route_tag(q));

	if (route != NULL && ratio > 0)
		bg_shape_record(&route->shape, ratio);
}

const struct bg_shape *
bg_predictor_shape(
    const struct bg_predictor *prd, const struct bg_cost_query *q)
{
	const struct bg_cost_route *route = find_route(prd, route_tag(q));

	return route != NULL && bg_shape_is_known(&route->shape) ? &route->shape
								 : NULL;
}

const char *
bg_cost_trait_name(int trait)
{
	static const char *const names[BG_COST_TRAITS] = {
	    "organisation", "path", "size"};

	return trait < 0 || trait >= BG_COST_TRAITS ? "route" : names[trait];
}
