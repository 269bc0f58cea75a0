#ifndef BG_RECORD_PLACEMENT_H
#define BG_RECORD_PLACEMENT_H

/** @file
 * Home data centre and group of a key. Pure: the result depends on the key and
 * on the record map only, never on live membership.
 */

#include <stddef.h>
#include <stdint.h>

#include "burdockgrade/contract.h"
#include "burdockgrade/error.h"

#define BG_MAP_DATA_CENTRES 16
#define BG_MAP_GENERATIONS 16
/** Key of the VIEW item and of the object (`records/.map`) of the map. */
#define BG_MAP_KEY ".map"
/** A new generation is in force this long after it was written. Every node
 * knows it by then unless a partition lasts longer than 30 min. */
#define BG_MAP_LEAD_MS (30ull * 60 * 1000)

/** The data centres that are homes of the keys created from a time on. */
struct bg_map_generation {
	uint64_t from_ms; /**< wall clock; 0 for the first */
	size_t count;
	char names[BG_MAP_DATA_CENTRES][BG_NAME_BYTES];
};

/** The record map; generations are only appended. */
struct bg_record_map {
	size_t generation_count;
	struct bg_map_generation generations[BG_MAP_GENERATIONS];
};

/** @param out free() it */
int bg_record_map_encode(char **out, const struct bg_record_map *map);
int bg_record_map_decode(struct bg_record_map *out, const char *json,
    size_t json_bytes, struct bg_error *err);
/** 1 if a generation names the data centre. */
int bg_record_map_has(const struct bg_record_map *map, const char *name);
/** Makes the first generation. @return 0 or BG_ELIMIT */
int bg_record_map_init(struct bg_record_map *out,
    const char (*names)[BG_NAME_BYTES], size_t count);
/** Appends a generation with one more data centre.
 * @return 0, BG_ECONFLICT if present, BG_ENOTFOUND without a first generation,
 *     BG_ELIMIT */
int bg_record_map_add(
    struct bg_record_map *map, const char *name, uint64_t now_wall_ms);

/** Where a key belongs. */
struct bg_place {
	char data_centre[BG_NAME_BYTES];
	uint32_t group;
	uint64_t fingerprint;
	uint64_t created_ms; /**< wall clock from UUID version 7, or 0 */
};

/**
 * Places a key "SERVICE/ROUTE/[DC/]ID".
 *
 * A key that carries its creation time belongs to the generation of that time,
 * any other key to the first generation.
 *
 * @return 0, BG_EINVAL (malformed, or the prefix names no data centre of the
 *     map) or BG_ENOTFOUND (no map yet)
 */
int bg_place_key(
    struct bg_place *out, const struct bg_record_map *map, const char *key);

#endif
