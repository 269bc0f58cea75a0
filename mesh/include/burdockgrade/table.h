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
	BG_ITEM_HEAD = 1,
	BG_ITEM_SERVICE = 2,
	BG_ITEM_MEMBER = 3,
	BG_ITEM_MARK = 4,
	BG_ITEM_SUMMARY = 5,
	BG_ITEM_VIEW = 6,
	BG_ITEM_ACK = 7,
	BG_ITEM_STAT = 8,
	BG_ITEM_DCSTAT = 9,
	BG_ITEM_GROUP = 10, /**< report of a record group's holder */
};

/** Who receives an item. */
enum bg_item_scope {
	BG_SCOPE_ALL,	    /**< every node */
	BG_SCOPE_UP,	    /**< from a node towards its relay only */
	BG_SCOPE_RELAYS,    /**< among relays only */
	BG_SCOPE_UP_RELAYS, /**< towards the relay, and among relays */
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

/** Returns the scope of a kind. */
enum bg_item_scope bg_item_scope(uint32_t kind);

/** Compares (major, minor, value). @return <0, 0 or >0 */
int bg_item_compare(const struct bg_item *a, const struct bg_item *b);

/**
 * Merges an item; the table copies it.
 *
 * @param out_changed 1 if the item replaced an older one or is new
 * @param origin identifies the link it came from, 0 for this process; items
 *     are not sent back to their origin
 * @return 0, BG_EINVAL or BG_ENOMEM
 */
int bg_table_merge(int *out_changed, struct bg_table *tbl,
    const struct bg_item *item, uint64_t origin);

/** Finds an item; valid until the next merge. @return 0 or BG_ENOTFOUND */
int bg_table_get(struct bg_item *out, const struct bg_table *tbl, uint32_t kind,
    const char *key);

/** Calls fn for each item of a kind, in key order; stops at non-zero. */
int bg_table_each(const struct bg_table *tbl, uint32_t kind,
    int (*fn)(void *arg, const struct bg_item *item), void *arg);

/** Cursor behind the last change; starts at 0. */
uint64_t bg_table_cursor(const struct bg_table *tbl);

/** Selects items for a peer. */
struct bg_table_select {
	uint64_t cursor; /**< changes after this one */
	uint64_t
	    not_origin; /**< leave out items that came from here, 0: none */
	uint32_t scope_mask;  /**< bits 1 << enum bg_item_scope */
	uint64_t bucket_mask; /**< bit i: bucket i, whatever the cursor; items
				   of other scopes than ALL, which the digests
				   do not cover, are all selected; 0: by
				   cursor */
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

/** 1 if a change after the cursor came from this origin. */
int bg_table_has_origin(
    const struct bg_table *tbl, uint64_t cursor, uint64_t origin);
/** 1 if the selection by cursor is not empty. */
int bg_table_has_news(
    const struct bg_table *tbl, const struct bg_table_select *sel);

/** Merges a received list. @return number of changed items or a code < 0 */
int bg_table_merge_list(
    struct bg_table *tbl, const struct bg_xitems *items, uint64_t origin);

/** Digests of the key buckets over items of scope ALL. */
void bg_table_digests(
    uint64_t out[BG_DIGEST_BUCKETS], const struct bg_table *tbl);

/**
 * Removes an item that is no longer needed anywhere (old dead members). An
 * item of the same or a lower (major, minor) is not merged again.
 */
void bg_table_forget(struct bg_table *tbl, uint32_t kind, const char *key);

#endif
