#ifndef BURDOCKGRADE_TABLE_H
#define BURDOCKGRADE_TABLE_H

/** @file
 * The replicated table: a set of items merged by a total order.
 *
 * Of two items with the same kind and key, the one with the lexicographically
 * greater (major, minor, value) wins, so merging is commutative, associative
 * and idempotent. The table keeps a log of its changes; a cursor into the log
 * selects the changes that a peer has not received. Performs no I/O.
 */

#include <stddef.h>
#include <stdint.h>

#include "burdockgrade/wire_xdr.h"

enum bg_item_kind {
	/** Major: version; value: the document. Because of its size it is
	 * compared by version and left out of the digests. */
	BG_ITEM_CONFIG = 1,
	BG_ITEM_MEMBER = 2, /**< key: address; major: incarnation; minor: seq */
	BG_ITEM_MOVE = 3,   /**< key: service; value: the move in the store */
	BG_ITEM_EMPTIED = 4, /**< key: data centre; major: revision of the
				  store; see emptied.h */
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

/** Creates an empty table. @return 0 or BG_ENOMEM */
int bg_table_init(struct bg_table **out);
/** NULL is ignored. */
void bg_table_free(struct bg_table *tbl);

/** Compares two items by (major, minor, value). @return <0, 0 or >0 */
int bg_item_compare(const struct bg_item *a, const struct bg_item *b);

/**
 * Merges an item; the table copies it.
 *
 * @param out_changed set to 1 if the item is new or replaced an older one,
 *     else to 0
 * @return 0, BG_EINVAL or BG_ENOMEM
 */
int bg_table_merge(
    int *out_changed, struct bg_table *tbl, const struct bg_item *item);

/** Finds an item.
 * @param out points into the table until the item is replaced or removed
 * @return 0 or BG_ENOTFOUND */
int bg_table_get(struct bg_item *out, const struct bg_table *tbl, uint32_t kind,
    const char *key);

/** Calls fn for each item of a kind, in key order, until it returns non-zero.
 * fn must not remove items. @return 0, the value from fn, or BG_ENOMEM */
int bg_table_foreach(const struct bg_table *tbl, uint32_t kind,
    int (*fn)(void *arg, const struct bg_item *item), void *arg);

/** Returns the cursor after the last change; 0 if there was none. */
uint64_t bg_table_cursor(const struct bg_table *tbl);

/** Selection of items to send to a peer. */
struct bg_table_select {
	uint64_t cursor;      /**< selects the changes after this cursor */
	uint64_t bucket_mask; /**< if not 0, the cursor is ignored, and bit i
				   selects digest bucket i, without the
				   configuration */
	size_t max_bytes;     /**< size limit, but at least one item is copied;
				   0: no limit */
};

/**
 * Copies the selected items in log order into a wire list.
 *
 * @param out release it with xdr_free(xdr_bg_xitems, out)
 * @param out_cursor cursor from which the next selection continues: the end of
 *     the log, or before the first item left out by a limit
 * @return 0 or BG_ENOMEM
 */
int bg_table_select(struct bg_xitems *out, uint64_t *out_cursor,
    const struct bg_table *tbl, const struct bg_table_select *sel);

/** Fills an item from a wire item. Key and value are not copied. */
void bg_item_view(struct bg_item *out, const struct bg_xitem *x);
/** Merges a received list.
 * @return number of changed items, or an error code < 0 */
int bg_table_merge_list(struct bg_table *tbl, const struct bg_xitems *items);

/** Returns the root digest, computed over the digests of all buckets. */
uint64_t bg_table_root_digest(const struct bg_table *tbl);

/** Copies the digests of the key buckets. CONFIG items are not included. */
void bg_table_digests(
    uint64_t out[BG_DIGEST_BUCKETS], const struct bg_table *tbl);

/**
 * Removes an item that no node needs any more, such as a member that was
 * removed from the store. A tombstone keeps items with the same or a lower
 * (major, minor) from being merged again.
 */
void bg_table_remove(struct bg_table *tbl, uint32_t kind, const char *key);

#endif
