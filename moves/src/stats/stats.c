#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "burdockgrade/error.h"

#include "stats.h"

struct bg_tally *
bg_stat_route(struct bg_stat *stat, const char *route)
{
	size_t i;

	for (i = 0; i < stat->route_count; i++) {
		if (strcmp(stat->routes[i].name, route) == 0)
			return &stat->routes[i].tally;
	}
	if (stat->route_count == BG_ROUTES_MAX)
		return NULL;
	snprintf(
	    stat->routes[i].name, sizeof(stat->routes[i].name), "%s", route);
	stat->route_count++;
	return &stat->routes[i].tally;
}

static json_t *
encode_tally(const char *name, const struct bg_tally *tly)
{
	json_t *buckets = json_array();
	uint32_t i;

	for (i = 0; i < BG_TALLY_BUCKETS; i++) {
		if (tly->histogram[i] != 0)
			json_array_append_new(buckets,
			    json_pack(
				"[iI]", (int)i, (json_int_t)tly->histogram[i]));
	}
	return json_pack("{s:s,s:I,s:I,s:I,s:o}", "r", name, "n",
	    (json_int_t)tly->calls, "f", (json_int_t)tly->failed, "w",
	    (json_int_t)tly->slow, "h", buckets);
}

static json_t *
encode_stat(const struct bg_stat *stat)
{
	json_t *routes = json_array();
	size_t i;

	for (i = 0; i < stat->route_count; i++)
		json_array_append_new(routes,
		    encode_tally(stat->routes[i].name, &stat->routes[i].tally));
	return json_pack("{s:s,s:s,s:o}", "s", stat->service, "v",
	    stat->server_version, "t", routes);
}

int
bg_stat_encode(char **out, const struct bg_stat *stats, size_t count)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < count; i++)
		json_array_append_new(list, encode_stat(&stats[i]));
	*out = json_dumps(list, JSON_COMPACT);
	json_decref(list);
	return *out == NULL ? BG_ENOMEM : 0;
}

static int
decode_tally(struct bg_stat *stat, json_t *entry)
{
	struct bg_tally *tly;
	const char *name;
	json_t *buckets;
	json_t *pair;
	json_int_t calls;
	json_int_t failed;
	json_int_t slow;
	json_int_t bucket;
	json_int_t count;
	size_t i;

	if (json_unpack(entry, "{s:s,s:I,s:I,s:I,s:o}", "r", &name, "n", &calls,
		"f", &failed, "w", &slow, "h", &buckets) != 0 ||
	    calls < 0 || failed < 0 || slow < 0 ||
	    strlen(name) >= BG_NAME_BYTES ||
	    (tly = bg_stat_route(stat, name)) == NULL)
		return BG_EPROTO;
	tly->calls = (uint64_t)calls;
	tly->failed = (uint64_t)failed;
	tly->slow = (uint64_t)slow;
	json_array_foreach(buckets, i, pair)
	{
		if (json_unpack(pair, "[I,I]", &bucket, &count) != 0 ||
		    bucket < 0 || bucket >= BG_TALLY_BUCKETS || count < 0)
			return BG_EPROTO;
		tly->histogram[bucket] = (uint64_t)count;
	}
	return 0;
}

static int
decode_stat(struct bg_stat *out, json_t *entry)
{
	const char *service;
	const char *version;
	json_t *routes;
	json_t *route;
	size_t i;

	memset(out, 0, sizeof(*out));
	if (json_unpack(entry, "{s:s,s:s,s:o}", "s", &service, "v", &version,
		"t", &routes) != 0 ||
	    strlen(service) >= BG_NAME_BYTES ||
	    strlen(version) >= BG_NAME_BYTES)
		return BG_EPROTO;
	snprintf(out->service, sizeof(out->service), "%s", service);
	snprintf(
	    out->server_version, sizeof(out->server_version), "%s", version);
	json_array_foreach(routes, i, route)
	{
		if (decode_tally(out, route) != 0)
			return BG_EPROTO;
	}
	return 0;
}

int
bg_stat_decode(struct bg_stat *out, size_t *out_count, size_t max,
    const char *json, size_t json_bytes)
{
	json_t *list = json_loadb(json, json_bytes, 0, NULL);
	json_t *entry;
	size_t i;
	int error = BG_EPROTO;

	*out_count = 0;
	if (!json_is_array(list) || json_array_size(list) > max)
		goto done;
	json_array_foreach(list, i, entry)
	{
		if (decode_stat(&out[i], entry) != 0)
			goto done;
		(*out_count)++;
	}
	error = 0;
done:
	json_decref(list);
	return error;
}
