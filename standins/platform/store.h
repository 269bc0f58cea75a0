#ifndef BG_STANDIN_STORE_H
#define BG_STANDIN_STORE_H

/** @file
 * The objects in memory, and the changes that led to them. Each change advances
 * the store's revision, which becomes the revision of the object, so that a
 * revision never returns, even after an object was deleted and created again.
 */

#include <jansson.h>
#include <stdint.h>
#include <uthash.h>

struct object {
	char *key; /**< "KIND/NAME" */
	size_t kind_bytes;
	json_t *spec; /**< NULL if there is none */
	json_t *status;
	int is_deleted; /**< kept for watches */
	uint64_t revision;
	uint64_t created;
	uint64_t changed_ms; /**< monotonic time of the last change */
	UT_hash_handle hh;
};

/** An object as one change left it. */
struct change {
	char *key;
	size_t kind_bytes;
	json_t *document; /**< of object_json() */
	int is_deleted;
	uint64_t revision;
	uint64_t changed_ms;
};

struct store {
	struct object *objects;
	struct change *changes; /**< by revision */
	size_t change_count;
	size_t change_room;
	uint64_t revision;
	uint64_t history_from; /**< watches from before it are refused */
};

/** Finds a live object, or NULL. */
struct object *store_find(const struct store *str, const char *key);
/** Creates or replaces an object's spec. @return it, or NULL */
struct object *store_put(struct store *str, const char *key, json_t *spec);
void store_set_status(struct store *str, struct object *obj, json_t *status);
/** @return revision of the deletion */
uint64_t store_delete(struct store *str, struct object *obj);
/** Sorts the objects by key, for lists. */
void store_sort(struct store *str);
/** 1 if the object is of the kind. */
int object_is_of(const struct object *obj, const char *kind);
int change_is_of(const struct change *chg, const char *kind);
/** Revision of the store at a time: changes after it are left out. */
uint64_t store_revision_at(const struct store *str, uint64_t time_ms);
const char *object_name(const struct object *obj);
/** The object as it is sent. @return a new reference */
json_t *object_json(const struct object *obj);

#endif
