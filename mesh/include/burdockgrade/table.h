#ifndef BURDOCKGRADE_TABLE_H
#define BURDOCKGRADE_TABLE_H

/** @file
 * The replicated table: items that merge by a total order.
 *
 * The lexicographically greater (major, minor, value) of two items with the
 * same kind and key wins, so merging is commutative, associative and
 * idempotent. The table keeps a log of its changes; a cursor into the log
 * selects what a peer lacks. Pure: no input or output.
 */

#include <stddef.h>
#include <stdint.h>

#include "burdockgrade/wire_xdr.h"

enum bg_item_kind {
	/** Major: version; value: the document. It is large, so it is compared
	 * by its version and left out of the digests. */
	BG_ITEM_CONFIG = 1,
	BG_ITEM_MEMBER = 2, /**< key: address; major: incarnation */
	BG_ITEM_MOVE = 3,   /**< key: service; a move, as the store has it */
};

struct bg_item {
	uint32_t kind; /**< enum bg_item_kind */
	uint64_t major;
	uint64_t minor;
	uint32_t value_bytes;
	const char *value; /**< usually JSON */
	const char *key;
};

struct bg_table;

int bg_table_init(struct bg_table **out);
void bg_table_free(struct bg_table *tbl);

/** Compares (major, minor, value). @return <0, 0 or >0 */
int bg_item_compare(const struct bg_item *a, const struct bg_item *b);

/**
 * Merges an item; the table copies it.
 *
 * @param out_changed 1 if the item replaced an older one or is new
 * @return 0, BG_EINVAL or BG_ENOMEM
 */
int bg_table_merge(
    int *out_changed, struct bg_table *tbl, const struct bg_item *item);

/** Finds an item; valid until the next merge. @return 0 or BG_ENOTFOUND */
int bg_table_get(struct bg_item *out, const struct bg_table *tbl, uint32_t kind,
    const char *key);

/** Calls fn for each item of a kind, in key order; stops at non-zero. */
int bg_table_foreach(const struct bg_table *tbl, uint32_t kind,
    int (*fn)(void *arg, const struct bg_item *item), void *arg);

/** Cursor behind the last change; starts at 0. */
uint64_t bg_table_cursor(const struct bg_table *tbl);

/** Selects items for a peer. */
struct bg_table_select {
	uint64_t cursor;      /**< changes after this one */
	uint64_t bucket_mask; /**< bit i: bucket i without the configuration,
				   whatever the cursor; 0: by cursor */
	size_t max_bytes;     /**< stop above this size; 0: no limit */
};

/**
 * Copies the selected items in log order into a wire list.
 *
 * @param out released by xdr_free(xdr_bg_xitems, out)
 * @param out_cursor cursor after the last item considered
 */
int bg_table_select(struct bg_xitems *out, uint64_t *out_cursor,
    const struct bg_table *tbl, const struct bg_table_select *sel);

/** Shows a received item; the strings stay with it. */
void bg_item_view(struct bg_item *out, const struct bg_xitem *x);
/** Merges a received list. @return number of changed items or a code < 0 */
int bg_table_merge_list(struct bg_table *tbl, const struct bg_xitems *items);

/** Digest over all items. */
uint64_t bg_table_root_digest(const struct bg_table *tbl);

/** Digests of the key buckets, without the configuration. */
void bg_table_digests(
    uint64_t out[BG_DIGEST_BUCKETS], const struct bg_table *tbl);

/**
 * Removes an item that is no longer needed anywhere (old dead members). An
 * item of the same or a lower (major, minor) is not merged again.
 */
void bg_table_remove(struct bg_table *tbl, uint32_t kind, const char *key);

#endif
