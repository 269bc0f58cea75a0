#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "split.h"

/* Maximum number of targets of a route; further ones get no calls. */
#define TARGETS_MAX 8

struct bg_split_route {
	char name[BG_NAME_BYTES];
	size_t target_count;
	uint32_t weights[TARGETS_MAX];
	int64_t credits[TARGETS_MAX];
	UT_hash_handle hh;
};

void
bg_split_init(struct bg_split *out, uint64_t seed)
{
	out->routes = NULL;
	bg_rand_init(&out->rand, seed);
}

void
bg_split_free(struct bg_split *spl)
{
	struct bg_split_route *rt;
	struct bg_split_route *tmp;

	HASH_ITER(hh, spl->routes, rt, tmp)
	{
		HASH_DEL(spl->routes, rt);
		free(rt);
	}
}

static struct bg_split_route *
find(struct bg_split *spl, const char *name)
{
	struct bg_split_route *rt;
	char key[BG_NAME_BYTES];

	snprintf(key, sizeof(key), "%s", name);
	HASH_FIND_STR(spl->routes, key, rt);
	if (rt != NULL)
		return rt;
	if ((rt = calloc(1, sizeof(*rt))) == NULL)
		return NULL;
	memcpy(rt->name, key, sizeof(rt->name));
	HASH_ADD_STR(spl->routes, name, rt);
	return rt;
}

static size_t
count_targets(const struct bg_rule *rule)
{
	return rule->target_count < TARGETS_MAX ? rule->target_count
						: TARGETS_MAX;
}

static int
is_current(const struct bg_split_route *rt, const struct bg_rule *rule)
{
	size_t i;

	if (rt->target_count != count_targets(rule))
		return 0;
	for (i = 0; i < rt->target_count; i++) {
		if (rt->weights[i] != rule->targets[i].weight)
			return 0;
	}
	return 1;
}

static int64_t
total_weight(const struct bg_split_route *rt)
{
	int64_t total = 0;
	size_t i;

	for (i = 0; i < rt->target_count; i++)
		total += rt->weights[i];
	return total;
}

/* Applies new weights. The credits start at random values: otherwise, all nodes
 * would send their first calls to the same service. */
static void
reset_weights(
    struct bg_split *spl, struct bg_split_route *rt, const struct bg_rule *rule)
{
	int64_t total;
	size_t i;

	rt->target_count = count_targets(rule);
	for (i = 0; i < rt->target_count; i++)
		rt->weights[i] = rule->targets[i].weight;
	total = total_weight(rt);
	for (i = 0; i < rt->target_count; i++)
		rt->credits[i] =
		    -(int64_t)bg_rand_below(&spl->rand, (uint64_t)total);
}

const char *
bg_split_next(struct bg_split *spl, const struct bg_rule *rule)
{
	struct bg_split_route *rt;
	size_t best = 0;
	size_t i;

	if (rule->target_count == 1 || (rt = find(spl, rule->name)) == NULL)
		return rule->targets[0].service;
	if (!is_current(rt, rule))
		reset_weights(spl, rt, rule);
	for (i = 0; i < rt->target_count; i++) {
		rt->credits[i] += rt->weights[i];
		if (rt->credits[i] > rt->credits[best])
			best = i;
	}
	rt->credits[best] -= total_weight(rt);
	return rule->targets[best].service;
}
