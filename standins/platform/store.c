#include <stdlib.h>
#include <string.h>

#include "store.h"

static struct object *
find_any(const struct store *str, const char *key)
{
	struct object *obj;

	HASH_FIND_STR(str->objects, key, obj);
	return obj;
}

struct object *
store_find(const struct store *str, const char *key)
{
	struct object *obj = find_any(str, key);

	return obj == NULL || obj->value == NULL ? NULL : obj;
}

uint64_t
store_put(
    struct store *str, const char *key, const char *value, size_t value_bytes)
{
	struct object *obj = find_any(str, key);
	char *copy = malloc(value_bytes + 1);

	if (copy == NULL)
		return 0;
	if (value_bytes > 0)
		memcpy(copy, value, value_bytes);
	copy[value_bytes] = '\0';
	if (obj == NULL) {
		if ((obj = calloc(1, sizeof(*obj))) == NULL ||
		    (obj->key = strdup(key)) == NULL) {
			free(obj);
			free(copy);
			return 0;
		}
		HASH_ADD_KEYPTR(
		    hh, str->objects, obj->key, strlen(obj->key), obj);
	}
	free(obj->value);
	obj->value = copy;
	obj->value_bytes = value_bytes;
	obj->version = ++str->revision;
	return obj->version;
}

uint64_t
store_delete(struct store *str, struct object *obj)
{
	free(obj->value);
	obj->value = NULL;
	obj->value_bytes = 0;
	obj->version = ++str->revision;
	return obj->version;
}

static int
by_key(const struct object *a, const struct object *b)
{
	return strcmp(a->key, b->key);
}

void
store_sort(struct store *str)
{
	HASH_SORT(str->objects, by_key);
}
