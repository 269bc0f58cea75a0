#include <ctype.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "burdockgrade/record.h"

#include "placement/placement.h"

/* Different seeds, so that data centre, group and slot are independent. */
#define SEED_FINGERPRINT 0
#define SEED_HOME 1
#define SEED_GROUP 2

#define UUID_BYTES 36
#define UUID_VERSION_AT 14
#define UUID_VARIANT_AT 19

int
bg_record_map_encode(char **out, const struct bg_record_map *map)
{
	json_t *root = json_object();
	json_t *list = json_array();
	json_t *names;
	size_t i;
	size_t j;

	for (i = 0; i < map->generation_count; i++) {
		names = json_array();
		for (j = 0; j < map->generations[i].count; j++)
			json_array_append_new(
			    names, json_string(map->generations[i].names[j]));
		json_array_append_new(list,
		    json_pack("{s:I,s:o}", "from_ms",
			(json_int_t)map->generations[i].from_ms, "data_centres",
			names));
	}
	json_object_set_new(root, "generations", list);
	*out = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(root);
	return *out == NULL ? BG_ENOMEM : 0;
}

static int
decode_generation(struct bg_map_generation *out, const json_t *gen)
{
	const json_t *names = json_object_get(gen, "data_centres");
	const json_t *from = json_object_get(gen, "from_ms");
	const char *name;
	size_t i;

	if (!json_is_integer(from) || json_integer_value(from) < 0 ||
	    json_array_size(names) == 0 ||
	    json_array_size(names) > BG_MAP_DATA_CENTRES)
		return BG_EPROTO;
	out->from_ms = (uint64_t)json_integer_value(from);
	out->count = json_array_size(names);
	for (i = 0; i < out->count; i++) {
		name = json_string_value(json_array_get(names, i));
		if (name == NULL || strlen(name) >= BG_NAME_BYTES)
			return BG_EPROTO;
		snprintf(out->names[i], BG_NAME_BYTES, "%s", name);
	}
	return 0;
}

int
bg_record_map_decode(struct bg_record_map *out, const char *json,
    size_t json_bytes, struct bg_error *err)
{
	json_t *root = json_loadb(json, json_bytes, 0, NULL);
	const json_t *list = json_object_get(root, "generations");
	size_t i;
	int error = 0;

	memset(out, 0, sizeof(*out));
	out->generation_count = json_array_size(list);
	if (out->generation_count == 0 ||
	    out->generation_count > BG_MAP_GENERATIONS)
		error = BG_EPROTO;
	for (i = 0; error == 0 && i < out->generation_count; i++)
		error = decode_generation(
		    &out->generations[i], json_array_get(list, i));
	json_decref(root);
	if (error != 0)
		return bg_error_set(err, error, "decode record map", NULL,
		    "not a valid record map");
	return 0;
}

int
bg_record_map_has(const struct bg_record_map *map, const char *name)
{
	const struct bg_map_generation *gen;
	size_t i;

	if (map->generation_count == 0)
		return 0;
	/* Generations only grow, so that the last one names all. */
	gen = &map->generations[map->generation_count - 1];
	for (i = 0; i < gen->count; i++) {
		if (strcmp(gen->names[i], name) == 0)
			return 1;
	}
	return 0;
}

int
bg_record_map_init(
    struct bg_record_map *out, const char (*names)[BG_NAME_BYTES], size_t count)
{
	memset(out, 0, sizeof(*out));
	if (count == 0 || count > BG_MAP_DATA_CENTRES)
		return BG_ELIMIT;
	memcpy(out->generations[0].names, names, count * BG_NAME_BYTES);
	out->generations[0].count = count;
	out->generation_count = 1;
	return 0;
}

int
bg_record_map_add(
    struct bg_record_map *map, const char *name, uint64_t now_wall_ms)
{
	struct bg_map_generation *gen;

	if (map->generation_count == 0)
		return BG_ENOTFOUND;
	if (bg_record_map_has(map, name))
		return BG_ECONFLICT;
	if (map->generation_count == BG_MAP_GENERATIONS)
		return BG_ELIMIT;
	gen = &map->generations[map->generation_count];
	if (gen[-1].count == BG_MAP_DATA_CENTRES)
		return BG_ELIMIT;
	*gen = gen[-1];
	gen->from_ms = now_wall_ms + BG_MAP_LEAD_MS;
	/* The order of generations is the order of their times. */
	if (gen->from_ms < gen[-1].from_ms)
		gen->from_ms = gen[-1].from_ms;
	snprintf(gen->names[gen->count++], BG_NAME_BYTES, "%s", name);
	map->generation_count++;
	return 0;
}

/* Creation time in a UUID of version 7, or 0. */
static uint64_t
uuid_time_ms(const char *id)
{
	char digits[13];
	size_t i;
	size_t n = 0;

	if (strlen(id) != UUID_BYTES)
		return 0;
	for (i = 0; i < UUID_BYTES; i++) {
		if (i == 8 || i == 13 || i == 18 || i == 23) {
			if (id[i] != '-')
				return 0;
		} else if (!isxdigit((unsigned char)id[i]))
			return 0;
		else if (n < 12)
			digits[n++] = id[i];
	}
	digits[n] = '\0';
	if (id[UUID_VERSION_AT] != '7' ||
	    strchr("89abAB", id[UUID_VARIANT_AT]) == NULL)
		return 0;
	return strtoull(digits, NULL, 16);
}

static const struct bg_map_generation *
find_generation(const struct bg_record_map *map, uint64_t created_ms)
{
	size_t i = map->generation_count - 1;

	while (i > 0 &&
	    (created_ms == 0 || map->generations[i].from_ms > created_ms))
		i--;
	return &map->generations[i];
}

int
bg_place_key(
    struct bg_place *out, const struct bg_record_map *map, const char *key)
{
	const struct bg_map_generation *gen;
	const char *id;
	const char *slash;
	size_t key_bytes = strlen(key);

	memset(out, 0, sizeof(*out));
	if (key_bytes >= BG_KEY_BYTES || (id = strchr(key, '/')) == NULL ||
	    (id = strchr(id + 1, '/')) == NULL || *++id == '\0')
		return BG_EINVAL;
	out->fingerprint = XXH64(key, key_bytes, SEED_FINGERPRINT);
	out->group =
	    (uint32_t)(XXH64(key, key_bytes, SEED_GROUP) % BG_RECORD_GROUPS);
	slash = strchr(id, '/');
	out->created_ms = uuid_time_ms(slash == NULL ? id : slash + 1);
	if (map->generation_count == 0)
		return BG_ENOTFOUND;
	if (slash != NULL) {
		if (slash - id >= BG_NAME_BYTES)
			return BG_EINVAL;
		memcpy(out->data_centre, id, (size_t)(slash - id));
		return bg_record_map_has(map, out->data_centre) ? 0 : BG_EINVAL;
	}
	gen = find_generation(map, out->created_ms);
	snprintf(out->data_centre, sizeof(out->data_centre), "%s",
	    gen->names[XXH64(key, key_bytes, SEED_HOME) % gen->count]);
	return 0;
}
