#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <xxhash.h>

#include "burdockgrade/organisations.h"

/* The table has at least this many slots for each key, so that a look-up mostly
 * sees one slot. */
#define SLOTS_PER_KEY 2

struct key_slot {
	uint64_t hash;
	const char *key; /* NULL: the slot is free */
	uint32_t key_bytes;
	uint32_t owner; /* index of the organisation */
};

struct bg_organisations {
	uint32_t reference_count;
	struct bg_organisation *items; /* sorted by name */
	uint32_t *key_counts;	       /* of each organisation */
	size_t count;
	struct key_slot *slots;
	size_t slot_count; /* a power of two */
	char *strings;	   /* names and keys */
	size_t strings_bytes;
};

static int
fail(struct bg_error *err, const char *name, const char *problem)
{
	return bg_error_set(err, BG_EINVAL, "organisations", NULL,
	    "organisation %.63s: %s", name, problem);
}

static int
out_of_memory(struct bg_error *err)
{
	return bg_error_set(
	    err, BG_ENOMEM, "organisations", NULL, "out of memory");
}

/* The seed is secret and differs between processes, so that a caller cannot
 * choose keys that collide. */
static uint64_t
hash_key(const char *key, size_t bytes)
{
	static uint64_t seed;

	while (seed == 0) {
		if (getrandom(&seed, sizeof(seed), 0) != (ssize_t)sizeof(seed))
			seed = 0;
	}
	return XXH3_64bits_withSeed(key, bytes, seed);
}

/* Compares in a time that depends on the length only, so that a caller cannot
 * find a key character by character. */
static int
equals_secret(const char *a, const char *b, size_t bytes)
{
	volatile unsigned char difference = 0;
	size_t i;

	for (i = 0; i < bytes; i++)
		difference |= (unsigned char)(a[i] ^ b[i]);
	return difference == 0;
}

static int
is_visible(const char *text, size_t bytes)
{
	size_t i;

	for (i = 0; i < bytes; i++) {
		if (text[i] <= ' ' || text[i] > '~')
			return 0;
	}
	return bytes > 0;
}

static int
compare_drafts(const void *a, const void *b)
{
	const struct bg_organisation_draft *x = a;
	const struct bg_organisation_draft *y = b;

	return strcmp(x->organisation.name, y->organisation.name);
}

static int
check_draft(const struct bg_organisation_draft *draft, struct bg_error *err)
{
	const char *name = draft->organisation.name;
	size_t bytes = strlen(name);
	size_t i;

	if (bytes >= BG_NAME_BYTES || !is_visible(name, bytes))
		return fail(err, name, "expected a name of visible characters");
	for (i = 0; i < draft->key_count; i++) {
		bytes = strlen(draft->keys[i]);
		if (bytes > BG_KEY_MAX_BYTES ||
		    !is_visible(draft->keys[i], bytes))
			return fail(err, name,
			    "expected keys of 1 to 256 visible characters");
	}
	return 0;
}

static size_t
count_strings_bytes(
    const struct bg_organisation_draft *drafts, size_t count, size_t *key_count)
{
	size_t bytes = 1;
	size_t i;
	size_t j;

	*key_count = 0;
	for (i = 0; i < count; i++) {
		bytes += strlen(drafts[i].organisation.name) + 1;
		for (j = 0; j < drafts[i].key_count; j++)
			bytes += strlen(drafts[i].keys[j]) + 1;
		*key_count += drafts[i].key_count;
	}
	return bytes;
}

static int
allocate(struct bg_organisations *set,
    const struct bg_organisation_draft *drafts, size_t count)
{
	size_t key_count;

	set->strings_bytes = count_strings_bytes(drafts, count, &key_count);
	set->slot_count = 1;
	while (set->slot_count < key_count * SLOTS_PER_KEY + 1)
		set->slot_count *= 2;
	set->items = calloc(count + 1, sizeof(*set->items));
	set->key_counts = calloc(count + 1, sizeof(*set->key_counts));
	set->slots = calloc(set->slot_count, sizeof(*set->slots));
	set->strings = calloc(1, set->strings_bytes);
	return set->items == NULL || set->key_counts == NULL ||
		set->slots == NULL || set->strings == NULL
	    ? BG_ENOMEM
	    : 0;
}

/* Finds the slot of a key, or the free one in its place. At least one slot is
 * free. */
static struct key_slot *
find_slot(const struct bg_organisations *set, const char *key, size_t bytes)
{
	uint64_t hash = hash_key(key, bytes);
	size_t i = (size_t)hash & (set->slot_count - 1);
	struct key_slot *slot;

	for (;; i = (i + 1) & (set->slot_count - 1)) {
		slot = &set->slots[i];
		if (slot->key == NULL ||
		    (slot->hash == hash && slot->key_bytes == bytes &&
			equals_secret(slot->key, key, bytes)))
			return slot;
	}
}

static int
add_key(struct bg_organisations *set, size_t owner, const char *key,
    struct bg_error *err)
{
	size_t bytes = strlen(key);
	struct key_slot *slot = find_slot(set, key, bytes);

	if (slot->key != NULL)
		return slot->owner == owner
		    ? 0
		    : fail(err, set->items[owner].name,
			  "another organisation has one of its keys");
	slot->hash = hash_key(key, bytes);
	slot->key = key;
	slot->key_bytes = (uint32_t)bytes;
	slot->owner = (uint32_t)owner;
	set->key_counts[owner]++;
	return 0;
}

static const char *
copy_string(char **pos, const char *text)
{
	size_t bytes = strlen(text) + 1;
	const char *copy = memcpy(*pos, text, bytes);

	*pos += bytes;
	return copy;
}

static int
fill(struct bg_organisations *set, const struct bg_organisation_draft *drafts,
    size_t count, struct bg_error *err)
{
	char *pos = set->strings;
	int error = 0;
	size_t i;
	size_t j;

	for (i = 0; i < count && error == 0; i++) {
		if ((error = check_draft(&drafts[i], err)) != 0)
			return error;
		if (i > 0 && compare_drafts(&drafts[i - 1], &drafts[i]) == 0)
			return fail(err, drafts[i].organisation.name,
			    "expected each organisation once");
		set->items[i] = drafts[i].organisation;
		set->items[i].name =
		    copy_string(&pos, drafts[i].organisation.name);
		set->count = i + 1;
		for (j = 0; j < drafts[i].key_count && error == 0; j++)
			error = add_key(
			    set, i, copy_string(&pos, drafts[i].keys[j]), err);
	}
	return error;
}

int
bg_organisations_init(struct bg_organisations **out,
    const struct bg_organisation_draft *drafts, size_t count,
    struct bg_error *err)
{
	struct bg_organisations *set = calloc(1, sizeof(*set));
	struct bg_organisation_draft *sorted =
	    calloc(count + 1, sizeof(*sorted));
	int error = BG_ENOMEM;

	*out = NULL;
	if (set != NULL && sorted != NULL &&
	    allocate(set, drafts, count) == 0) {
		set->reference_count = 1;
		if (count > 0)
			memcpy(sorted, drafts, count * sizeof(*sorted));
		qsort(sorted, count, sizeof(*sorted), compare_drafts);
		error = fill(set, sorted, count, err);
	} else {
		out_of_memory(err);
	}
	free(sorted);
	if (error == 0) {
		*out = set;
	} else if (set != NULL) {
		set->reference_count = 1;
		bg_organisations_release(set);
	}
	return error;
}

struct bg_organisations *
bg_organisations_acquire(struct bg_organisations *set)
{
	if (set != NULL)
		set->reference_count++;
	return set;
}

void
bg_organisations_release(struct bg_organisations *set)
{
	if (set == NULL || --set->reference_count > 0)
		return;
	if (set->strings != NULL)
		explicit_bzero(set->strings, set->strings_bytes);
	free(set->strings);
	free(set->slots);
	free(set->key_counts);
	free(set->items);
	free(set);
}

static int
has_same_terms(const struct bg_organisation *a, const struct bg_organisation *b)
{
	return a->has_priority == b->has_priority &&
	    a->priority == b->priority &&
	    a->rate_milli_per_s == b->rate_milli_per_s && a->burst == b->burst;
}

int
bg_organisations_equal(
    const struct bg_organisations *a, const struct bg_organisations *b)
{
	size_t i;

	if (a == NULL || b == NULL)
		return a == b;
	if (a->count != b->count || a->strings_bytes != b->strings_bytes ||
	    memcmp(a->strings, b->strings, a->strings_bytes) != 0)
		return 0;
	for (i = 0; i < a->count; i++) {
		if (!has_same_terms(&a->items[i], &b->items[i]) ||
		    a->items[i].name - a->strings !=
			b->items[i].name - b->strings ||
		    a->key_counts[i] != b->key_counts[i])
			return 0;
	}
	return 1;
}

struct bg_organisation *
bg_organisations_items(const struct bg_organisations *set, size_t *out_count)
{
	*out_count = set == NULL ? 0 : set->count;
	return set == NULL ? NULL : set->items;
}

size_t
bg_organisations_key_count(const struct bg_organisations *set, size_t index)
{
	return set->key_counts[index];
}

const struct bg_organisation *
bg_organisations_find(const struct bg_organisations *set, const char *key)
{
	size_t bytes = strnlen(key, BG_KEY_MAX_BYTES + 1);
	const struct key_slot *slot;

	if (bytes == 0 || bytes > BG_KEY_MAX_BYTES)
		return NULL;
	slot = find_slot(set, key, bytes);
	return slot->key == NULL ? NULL : &set->items[slot->owner];
}
