#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>
#include <xxhash.h>

#include "burdockgrade/error.h"
#include "burdockgrade/table.h"

/* A tombstone prevents a replica that still holds a removed item from adding it
 * back. The limit exceeds the number of nodes replaced within 10 minutes. */
#define TOMBSTONES_MAX 1024
#define IDENT_BYTES (BG_KEY_BYTES + 16)

struct entry {
	char ident[IDENT_BYTES]; /* "KIND/KEY" */
	struct bg_item item;
	uint64_t log_seq;
	uint64_t digest;
	struct entry *prev;
	struct entry *next;
	UT_hash_handle hh;
};

struct tombstone {
	char ident[IDENT_BYTES];
	uint64_t major;
	uint64_t minor;
	UT_hash_handle hh;
};

struct bg_table {
	struct entry *entries;
	struct entry *log; /* ordered by last change */
	struct tombstone *tombstones;
	uint64_t cursor;
	uint64_t digests[BG_DIGEST_BUCKETS];
};

int
bg_table_init(struct bg_table **out)
{
	if ((*out = calloc(1, sizeof(**out))) == NULL)
		return BG_ENOMEM;
	return 0;
}

static void
entry_free(struct entry *e)
{
	free((char *)e->item.key);
	free((char *)e->item.value);
	free(e);
}

void
bg_table_free(struct bg_table *tbl)
{
	struct entry *e;
	struct entry *tmp;
	struct tombstone *ts;
	struct tombstone *ts_tmp;

	if (tbl == NULL)
		return;
	HASH_ITER(hh, tbl->entries, e, tmp)
	{
		HASH_DEL(tbl->entries, e);
		entry_free(e);
	}
	HASH_ITER(hh, tbl->tombstones, ts, ts_tmp)
	{
		HASH_DEL(tbl->tombstones, ts);
		free(ts);
	}
	free(tbl);
}

int
bg_item_compare(const struct bg_item *a, const struct bg_item *b)
{
	uint32_t common;
	int diff;

	if (a->major != b->major)
		return a->major < b->major ? -1 : 1;
	if (a->minor != b->minor)
		return a->minor < b->minor ? -1 : 1;
	common =
	    a->value_bytes < b->value_bytes ? a->value_bytes : b->value_bytes;
	diff = common == 0 ? 0 : memcmp(a->value, b->value, common);
	if (diff != 0)
		return diff;
	if (a->value_bytes == b->value_bytes)
		return 0;
	return a->value_bytes < b->value_bytes ? -1 : 1;
}

static void
make_ident(char out[IDENT_BYTES], uint32_t kind, const char *key)
{
	snprintf(out, IDENT_BYTES, "%u/%s", kind, key);
}

static unsigned
bucket_of(const char *ident)
{
	return (unsigned)(XXH64(ident, strlen(ident), 0) % BG_DIGEST_BUCKETS);
}

static uint64_t
item_digest(const char *ident, const struct bg_item *item)
{
	uint64_t parts[3] = {item->major, item->minor, 0};
	uint64_t seed = XXH64(ident, strlen(ident), 0);

	parts[2] = XXH64(
	    item->value == NULL ? "" : item->value, item->value_bytes, seed);
	return XXH64(parts, sizeof(parts), seed);
}

/* Adds the entry to its bucket's digest or removes it: XOR is its own
 * inverse. */
static void
toggle_digest(struct bg_table *tbl, const struct entry *e)
{
	if (e->item.kind != BG_ITEM_CONFIG)
		tbl->digests[bucket_of(e->ident)] ^= e->digest;
}

static struct entry *
find_entry(const struct bg_table *tbl, uint32_t kind, const char *key)
{
	char ident[IDENT_BYTES];
	struct entry *e;

	make_ident(ident, kind, key);
	HASH_FIND_STR(tbl->entries, ident, e);
	return e;
}

static struct entry *
entry_new(const char *ident, const struct bg_item *item)
{
	struct entry *e;

	if ((e = calloc(1, sizeof(*e))) == NULL)
		return NULL;
	snprintf(e->ident, sizeof(e->ident), "%s", ident);
	e->item.kind = item->kind;
	if ((e->item.key = strdup(item->key)) == NULL) {
		free(e);
		return NULL;
	}
	return e;
}

/* Drops the tombstone if the item is newer. */
static int
is_blocked_by_tombstone(
    struct bg_table *tbl, const char *ident, const struct bg_item *item)
{
	struct tombstone *ts;

	HASH_FIND_STR(tbl->tombstones, ident, ts);
	if (ts == NULL)
		return 0;
	if (item->major < ts->major ||
	    (item->major == ts->major && item->minor <= ts->minor))
		return 1;
	HASH_DEL(tbl->tombstones, ts);
	free(ts);
	return 0;
}

static void
log_append(struct bg_table *tbl, struct entry *e)
{
	e->log_seq = ++tbl->cursor;
	DL_APPEND(tbl->log, e);
}

static int
item_is_valid(const struct bg_item *item)
{
	return item->key != NULL && item->key[0] != '\0' &&
	    strlen(item->key) <= BG_KEY_BYTES &&
	    item->value_bytes <= BG_BODY_BYTES &&
	    (item->value != NULL || item->value_bytes == 0);
}

int
bg_table_merge(
    int *out_changed, struct bg_table *tbl, const struct bg_item *item)
{
	char ident[IDENT_BYTES];
	char *value;
	struct entry *e;

	*out_changed = 0;
	if (!item_is_valid(item))
		return BG_EINVAL;
	make_ident(ident, item->kind, item->key);
	HASH_FIND_STR(tbl->entries, ident, e);
	if (e != NULL && bg_item_compare(item, &e->item) <= 0)
		return 0;
	if (e == NULL && is_blocked_by_tombstone(tbl, ident, item))
		return 0;
	/* The extra byte terminates text values. */
	if ((value = malloc((size_t)item->value_bytes + 1)) == NULL)
		return BG_ENOMEM;
	if (item->value_bytes > 0)
		memcpy(value, item->value, item->value_bytes);
	value[item->value_bytes] = '\0';
	if (e != NULL) {
		toggle_digest(tbl, e);
		DL_DELETE(tbl->log, e);
	} else {
		if ((e = entry_new(ident, item)) == NULL) {
			free(value);
			return BG_ENOMEM;
		}
		HASH_ADD_STR(tbl->entries, ident, e);
	}
	free((char *)e->item.value);
	e->item.value = value;
	e->item.value_bytes = item->value_bytes;
	e->item.major = item->major;
	e->item.minor = item->minor;
	e->digest = item_digest(ident, &e->item);
	toggle_digest(tbl, e);
	log_append(tbl, e);
	*out_changed = 1;
	return 0;
}

int
bg_table_get(struct bg_item *out, const struct bg_table *tbl, uint32_t kind,
    const char *key)
{
	struct entry *e = find_entry(tbl, kind, key);

	if (e == NULL)
		return BG_ENOTFOUND;
	*out = e->item;
	return 0;
}

static int
compare_keys(const void *a, const void *b)
{
	const struct entry *const *ea = a;
	const struct entry *const *eb = b;

	return strcmp((*ea)->item.key, (*eb)->item.key);
}

int
bg_table_foreach(const struct bg_table *tbl, uint32_t kind,
    int (*fn)(void *arg, const struct bg_item *item), void *arg)
{
	struct entry **sorted;
	struct entry *e;
	size_t count = 0;
	size_t i;
	int result = 0;

	sorted =
	    malloc((HASH_COUNT(tbl->entries) + 1) * sizeof(struct entry *));
	if (sorted == NULL)
		return BG_ENOMEM;
	for (e = tbl->entries; e != NULL; e = e->hh.next) {
		if (e->item.kind == kind)
			sorted[count++] = e;
	}
	qsort(sorted, count, sizeof(struct entry *), compare_keys);
	for (i = 0; i < count && result == 0; i++)
		result = fn(arg, &sorted[i]->item);
	free(sorted);
	return result;
}

uint64_t
bg_table_cursor(const struct bg_table *tbl)
{
	return tbl->cursor;
}

/* Returns the first log entry after a cursor. Searches backwards, because
 * cursors are usually close to the end. */
static struct entry *
log_first_after(const struct bg_table *tbl, uint64_t cursor)
{
	struct entry *e;
	struct entry *first = NULL;

	if (tbl->log == NULL)
		return NULL;
	for (e = tbl->log->prev; e->log_seq > cursor; e = e->prev) {
		first = e;
		if (e == tbl->log)
			break;
	}
	return first;
}

static int
is_selected(const struct bg_table_select *sel, const struct entry *e)
{
	if (sel->bucket_mask == 0)
		return 1;
	return e->item.kind != BG_ITEM_CONFIG &&
	    (sel->bucket_mask >> bucket_of(e->ident) & 1) != 0;
}

static int
copy_item(struct bg_xitem *out, const struct bg_item *item)
{
	out->kind = item->kind;
	out->major = item->major;
	out->minor = item->minor;
	if ((out->key = strdup(item->key)) == NULL)
		return BG_ENOMEM;
	out->value.value_val = malloc((size_t)item->value_bytes + 1);
	if (out->value.value_val == NULL) {
		free(out->key);
		return BG_ENOMEM;
	}
	memcpy(out->value.value_val, item->value, item->value_bytes);
	out->value.value_len = item->value_bytes;
	return 0;
}

/* Approximate encoded size: 28 bytes of fixed fields, and padding. */
static size_t
wire_size(const struct bg_item *item)
{
	return 32 + strlen(item->key) + item->value_bytes;
}

int
bg_table_select(struct bg_xitems *out, uint64_t *out_cursor,
    const struct bg_table *tbl, const struct bg_table_select *sel)
{
	struct entry *first;
	struct entry *e;
	size_t bytes = 0;
	size_t capacity = 0;

	memset(out, 0, sizeof(*out));
	*out_cursor = tbl->cursor;
	first = sel->bucket_mask != 0 ? tbl->log
				      : log_first_after(tbl, sel->cursor);
	for (e = first; e != NULL; e = e->next)
		capacity += (size_t)is_selected(sel, e);
	if (capacity == 0)
		return 0;
	if (capacity > BG_ITEMS_MAX)
		capacity = BG_ITEMS_MAX;
	out->items.items_val = calloc(capacity, sizeof(struct bg_xitem));
	if (out->items.items_val == NULL)
		return BG_ENOMEM;
	for (e = first; e != NULL; e = e->next) {
		if (!is_selected(sel, e))
			continue;
		bytes += wire_size(&e->item);
		if (out->items.items_len == capacity ||
		    (sel->max_bytes != 0 && out->items.items_len > 0 &&
			bytes > sel->max_bytes)) {
			*out_cursor = e->log_seq - 1;
			break;
		}
		if (copy_item(&out->items.items_val[out->items.items_len],
			&e->item) != 0) {
			xdr_free((xdrproc_t)xdr_bg_xitems, (char *)out);
			return BG_ENOMEM;
		}
		out->items.items_len++;
	}
	return 0;
}

void
bg_item_view(struct bg_item *out, const struct bg_xitem *x)
{
	out->kind = x->kind;
	out->key = x->key;
	out->major = x->major;
	out->minor = x->minor;
	out->value = x->value.value_val;
	out->value_bytes = x->value.value_len;
}

int
bg_table_merge_list(struct bg_table *tbl, const struct bg_xitems *items)
{
	struct bg_item item;
	u_int i;
	int changed;
	int total = 0;
	int error;

	for (i = 0; i < items->items.items_len; i++) {
		bg_item_view(&item, &items->items.items_val[i]);
		if ((error = bg_table_merge(&changed, tbl, &item)) != 0)
			return error;
		total += changed;
	}
	return total;
}

uint64_t
bg_table_root_digest(const struct bg_table *tbl)
{
	return XXH64(tbl->digests, sizeof(tbl->digests), 0);
}

void
bg_table_digests(uint64_t out[BG_DIGEST_BUCKETS], const struct bg_table *tbl)
{
	memcpy(out, tbl->digests, sizeof(tbl->digests));
}

static void
add_tombstone(struct bg_table *tbl, const struct entry *e)
{
	struct tombstone *ts;

	if (HASH_COUNT(tbl->tombstones) >= TOMBSTONES_MAX) {
		ts = tbl->tombstones; /* the oldest: uthash keeps their order */
		HASH_DEL(tbl->tombstones, ts);
		free(ts);
	}
	if ((ts = calloc(1, sizeof(*ts))) == NULL)
		return;
	memcpy(ts->ident, e->ident, sizeof(ts->ident));
	ts->major = e->item.major;
	ts->minor = e->item.minor;
	HASH_ADD_STR(tbl->tombstones, ident, ts);
}

void
bg_table_remove(struct bg_table *tbl, uint32_t kind, const char *key)
{
	struct entry *e = find_entry(tbl, kind, key);

	if (e == NULL)
		return;
	add_tombstone(tbl, e);
	toggle_digest(tbl, e);
	DL_DELETE(tbl->log, e);
	HASH_DEL(tbl->entries, e);
	entry_free(e);
}
