#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "burdockgrade/error.h"

#include "stats.h"

/* Old, new, and one that is left over from an earlier move. */
#define VERSIONS_MAX 4
#define SOURCE_BYTES 192

struct source {
	char key[SOURCE_BYTES]; /* sender and server version */
	uint64_t epoch;
	struct bg_stat last;
	UT_hash_handle hh;
};

struct bg_stat_sum {
	char service[BG_NAME_BYTES];
	struct source *sources;
	struct bg_stat totals[VERSIONS_MAX];
	struct bg_stat fresh[VERSIONS_MAX];
	size_t version_count;
};

int
bg_stat_sum_init(struct bg_stat_sum **out, const char *service)
{
	struct bg_stat_sum *sum;

	if ((sum = calloc(1, sizeof(*sum))) == NULL)
		return BG_ENOMEM;
	snprintf(sum->service, sizeof(sum->service), "%s", service);
	*out = sum;
	return 0;
}

void
bg_stat_sum_free(struct bg_stat_sum *sum)
{
	struct source *src;
	struct source *tmp;

	if (sum == NULL)
		return;
	HASH_ITER(hh, sum->sources, src, tmp)
	{
		HASH_DEL(sum->sources, src);
		free(src);
	}
	free(sum);
}

static int
find_version(const struct bg_stat_sum *sum, const char *server_version)
{
	size_t i;

	for (i = 0; i < sum->version_count; i++) {
		if (strcmp(sum->totals[i].server_version, server_version) == 0)
			return (int)i;
	}
	return -1;
}

/* The oldest version makes room, since its servers are long gone. */
static int
add_version(struct bg_stat_sum *sum, const char *server_version)
{
	size_t i = sum->version_count;

	if (i == VERSIONS_MAX) {
		i--;
		memmove(&sum->totals[0], &sum->totals[1],
		    i * sizeof(sum->totals[0]));
		memmove(
		    &sum->fresh[0], &sum->fresh[1], i * sizeof(sum->fresh[0]));
	} else
		sum->version_count++;
	memset(&sum->totals[i], 0, sizeof(sum->totals[i]));
	memcpy(sum->totals[i].service, sum->service, BG_NAME_BYTES);
	snprintf(
	    sum->totals[i].server_version, BG_NAME_BYTES, "%s", server_version);
	sum->fresh[i] = sum->totals[i];
	return (int)i;
}

static struct source *
find_source(struct bg_stat_sum *sum, const char *source,
    const struct bg_stat *stat, int *out_is_new)
{
	char key[SOURCE_BYTES];
	struct source *src;

	snprintf(key, sizeof(key), "%.100s %s", source, stat->server_version);
	HASH_FIND_STR(sum->sources, key, src);
	*out_is_new = src == NULL;
	if (src != NULL)
		return src;
	if ((src = calloc(1, sizeof(*src))) == NULL)
		return NULL;
	snprintf(src->key, sizeof(src->key), "%s", key);
	HASH_ADD_STR(sum->sources, key, src);
	return src;
}

static void
add_routes(
    struct bg_stat *to, const struct bg_stat *stat, struct bg_stat *before)
{
	struct bg_tally delta;
	struct bg_tally *tly;
	struct bg_tally *old;
	size_t i;

	for (i = 0; i < stat->route_count; i++) {
		old = bg_stat_route(before, stat->routes[i].name);
		tly = bg_stat_route(to, stat->routes[i].name);
		if (old == NULL || tly == NULL)
			continue;
		bg_tally_delta(&delta, &stat->routes[i].tally, old);
		bg_tally_add(tly, &delta);
	}
}

int
bg_stat_sum_take(struct bg_stat_sum *sum, const char *source, uint64_t epoch,
    const struct bg_stat *stat, int count_first)
{
	struct source *src;
	int is_new;
	int version;

	if (strcmp(stat->service, sum->service) != 0)
		return BG_EINVAL;
	if ((src = find_source(sum, source, stat, &is_new)) == NULL)
		return BG_ENOMEM;
	if ((version = find_version(sum, stat->server_version)) < 0)
		version = add_version(sum, stat->server_version);
	if (is_new && !count_first)
		src->last = *stat;
	else if (!is_new && src->epoch != epoch)
		memset(&src->last, 0, sizeof(src->last));
	src->epoch = epoch;
	add_routes(&sum->totals[version], stat, &src->last);
	add_routes(&sum->fresh[version], stat, &src->last);
	src->last = *stat;
	return 0;
}

void
bg_stat_sum_drain(
    struct bg_stat *out, struct bg_stat_sum *sum, const char *server_version)
{
	struct bg_stat none;
	int version = find_version(sum, server_version);

	if (version < 0)
		return;
	memset(&none, 0, sizeof(none));
	add_routes(out, &sum->fresh[version], &none);
	sum->fresh[version].route_count = 0;
	memset(
	    sum->fresh[version].routes, 0, sizeof(sum->fresh[version].routes));
}

size_t
bg_stat_sum_totals(const struct bg_stat **out, const struct bg_stat_sum *sum)
{
	*out = sum->totals;
	return sum->version_count;
}
