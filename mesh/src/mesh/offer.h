#ifndef BG_MESH_OFFER_H
#define BG_MESH_OFFER_H

/** @file
 * Encoded lists of items for replies, shared by all children with the same
 * cursor.
 */

#include "burdockgrade/table.h"

#include "mesh/codec.h"

/** Lists kept; children are at one of very few cursors. */
#define BG_OFFER_CACHE 4

struct bg_offer {
	struct bg_packed packed; /**< owned by the cache unless is_owned */
	u_int item_count;
	uint64_t cursor; /**< behind the last item considered */
	int is_owned;
};

struct bg_offers {
	struct {
		struct bg_offer offer;
		struct bg_table_select select;
		uint64_t table_cursor;
		uint64_t refused_version;
		int is_used;
	} cache[BG_OFFER_CACHE];
	size_t next;
	uint64_t hits;
	uint64_t misses;
};

void bg_offers_free(struct bg_offers *ofs);
/**
 * Encodes the selected items.
 *
 * @param refused_version HEAD item to leave out, or 0
 * @param out released by bg_offer_release
 */
int bg_offers_get(struct bg_offer *out, struct bg_offers *ofs,
    const struct bg_table *tbl, const struct bg_table_select *sel,
    uint64_t refused_version);
void bg_offer_release(struct bg_offer *offer);

#endif
