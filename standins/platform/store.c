#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"

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

	return obj == NULL || obj->is_deleted ? NULL : obj;
}

static struct object *
add(struct store *str, const char *key)
{
	struct object *obj = calloc(1, sizeof(*obj));

	if (obj == NULL || (obj->key = strdup(key)) == NULL) {
		free(obj);
		return NULL;
	}
	obj->kind_bytes = (size_t)(strchr(key, '/') - key);
	obj->is_deleted = 1;
	HASH_ADD_KEYPTR(hh, str->objects, obj->key, strlen(obj->key), obj);
	return obj;
}

static void
touch(struct store *str, struct object *obj)
{
	obj->revision = ++str->revision;
	obj->changed_ms = bg_clock_now_ms();
}

/* Adds the object to the history, as a change has left it. */
static void
record(struct store *str, const struct object *obj)
{
	struct change *grown;
	struct change *chg;

	if (str->change_count == str->change_room) {
		str->change_room = str->change_room * 2 + 64;
		grown = realloc(
		    str->changes, str->change_room * sizeof(*str->changes));
		if (grown == NULL)
			abort();
		str->changes = grown;
	}
	chg = &str->changes[str->change_count++];
	chg->key = obj->key;
	chg->kind_bytes = obj->kind_bytes;
	chg->document = object_json(obj);
	chg->is_deleted = obj->is_deleted;
	chg->revision = obj->revision;
	chg->changed_ms = obj->changed_ms;
}

/* A write that changes nothing makes no revision. */
struct object *
store_put(struct store *str, const char *key, json_t *spec)
{
	struct object *obj = find_any(str, key);

	if (obj == NULL && (obj = add(str, key)) == NULL)
		return NULL;
	if (!obj->is_deleted && json_equal(obj->spec, spec))
		return obj;
	touch(str, obj);
	if (obj->is_deleted)
		obj->created = obj->revision;
	obj->is_deleted = 0;
	json_decref(obj->spec);
	obj->spec = json_incref(spec);
	record(str, obj);
	return obj;
}

void
store_set_status(struct store *str, struct object *obj, json_t *status)
{
	if (json_equal(obj->status, status))
		return;
	touch(str, obj);
	json_decref(obj->status);
	obj->status = json_incref(status);
	record(str, obj);
}

uint64_t
store_delete(struct store *str, struct object *obj)
{
	obj->is_deleted = 1;
	json_decref(obj->status);
	obj->status = NULL;
	touch(str, obj);
	record(str, obj);
	return obj->revision;
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

int
object_is_of(const struct object *obj, const char *kind)
{
	return strlen(kind) == obj->kind_bytes &&
	    memcmp(obj->key, kind, obj->kind_bytes) == 0;
}

int
change_is_of(const struct change *chg, const char *kind)
{
	return strlen(kind) == chg->kind_bytes &&
	    memcmp(chg->key, kind, chg->kind_bytes) == 0;
}

uint64_t
store_revision_at(const struct store *str, uint64_t time_ms)
{
	size_t i = str->change_count;

	while (i > 0 && str->changes[i - 1].changed_ms > time_ms)
		i--;
	if (i == str->change_count)
		return str->revision;
	return str->changes[i].revision - 1;
}

const char *
object_name(const struct object *obj)
{
	return obj->key + obj->kind_bytes + 1;
}

json_t *
object_json(const struct object *obj)
{
	return json_pack("{s:{s:s, s:I, s:I, s:[], s:b}, s:O?, s:O?}",
	    "Metadata", "Name", object_name(obj), "Revision",
	    (json_int_t)obj->revision, "Created", (json_int_t)obj->created,
	    "Finalizers", "DeletePending", 0, "Spec", obj->spec, "Status",
	    obj->status);
}
