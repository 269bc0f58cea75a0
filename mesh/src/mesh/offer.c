#include <stdlib.h>
#include <string.h>

#include "burdockgrade/error.h"

#include "mesh/offer.h"

/* A list that does not fit into a message is cut to this part of its size. */
#define SHRINK 2
#define SHRINK_MIN_BYTES 4096

void
bg_offers_free(struct bg_offers *ofs)
{
	size_t i;

	for (i = 0; i < BG_OFFER_CACHE; i++)
		free(ofs->cache[i].offer.packed.data);
	memset(ofs, 0, sizeof(*ofs));
}

void
bg_offer_release(struct bg_offer *offer)
{
	if (offer->is_owned)
		free(offer->packed.data);
	memset(offer, 0, sizeof(*offer));
}

static void
drop_refused(struct bg_xitems *items, uint64_t refused_version)
{
	u_int kept = 0;
	u_int i;

	if (refused_version == 0)
		return;
	for (i = 0; i < items->items.items_len; i++) {
		struct bg_xitem *x = &items->items.items_val[i];

		if (x->kind == BG_ITEM_HEAD && x->major == refused_version)
			xdr_free((xdrproc_t)xdr_bg_xitem, (char *)x);
		else
			items->items.items_val[kept++] = *x;
	}
	items->items.items_len = kept;
}

static int
encode(struct bg_offer *out, const struct bg_table *tbl,
    const struct bg_table_select *wanted, uint64_t refused_version)
{
	struct bg_table_select sel = *wanted;
	struct bg_xitems items;
	int error;

	sel.max_bytes = BG_ITEMS_RAW_BYTES / SHRINK;
	do {
		error = bg_table_select(&items, &out->cursor, tbl, &sel);
		if (error != 0)
			return error;
		drop_refused(&items, refused_version);
		out->item_count = items.items.items_len;
		error = bg_items_pack(&out->packed, &items);
		xdr_free((xdrproc_t)xdr_bg_xitems, (char *)&items);
		sel.max_bytes /= SHRINK;
	} while (error == BG_ELIMIT && sel.max_bytes > SHRINK_MIN_BYTES);
	return error;
}

static int
same_select(const struct bg_table_select *a, const struct bg_table_select *b)
{
	return a->cursor == b->cursor && a->not_origin == b->not_origin &&
	    a->scope_mask == b->scope_mask && a->bucket_mask == b->bucket_mask;
}

int
bg_offers_get(struct bg_offer *out, struct bg_offers *ofs,
    const struct bg_table *tbl, const struct bg_table_select *sel,
    uint64_t refused_version)
{
	size_t slot;
	size_t i;
	int error;

	for (i = 0; i < BG_OFFER_CACHE; i++) {
		if (ofs->cache[i].is_used &&
		    ofs->cache[i].table_cursor == bg_table_cursor(tbl) &&
		    ofs->cache[i].refused_version == refused_version &&
		    same_select(&ofs->cache[i].select, sel)) {
			ofs->hits++;
			*out = ofs->cache[i].offer;
			return 0;
		}
	}
	ofs->misses++;
	memset(out, 0, sizeof(*out));
	if ((error = encode(out, tbl, sel, refused_version)) != 0)
		return error;
	/* Lists that leave out one child's items are of use to that child
	 * only. */
	if (sel->not_origin != 0) {
		out->is_owned = 1;
		return 0;
	}
	slot = ofs->next++ % BG_OFFER_CACHE;
	free(ofs->cache[slot].offer.packed.data);
	ofs->cache[slot].offer = *out;
	ofs->cache[slot].select = *sel;
	ofs->cache[slot].table_cursor = bg_table_cursor(tbl);
	ofs->cache[slot].refused_version = refused_version;
	ofs->cache[slot].is_used = 1;
	return 0;
}
