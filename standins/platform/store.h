#ifndef BG_STANDIN_STORE_H
#define BG_STANDIN_STORE_H

/** @file
 * The objects in memory. Each change advances the store revision, which
 * becomes the version of the object, so that a version never returns, even
 * after an object was deleted and created again.
 */

#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

struct object {
	char *key;
	char *value; /**< NULL: deleted, kept for watches */
	size_t value_bytes;
	uint64_t version;
	UT_hash_handle hh;
};

struct store {
	struct object *objects;
	uint64_t revision;
};

/** Finds a live object, or NULL. */
struct object *store_find(const struct store *str, const char *key);
/** Writes an object; takes a copy. @return new version, 0 if out of memory */
uint64_t store_put(
    struct store *str, const char *key, const char *value, size_t value_bytes);
/** @return revision of the deletion */
uint64_t store_delete(struct store *str, struct object *obj);
/** Sorts the objects by key, for lists. */
void store_sort(struct store *str);

#endif
