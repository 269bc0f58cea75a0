#include <stdlib.h>
#include <string.h>

#include "mesh/gossip_items.h"

/* Largest list of one message, before compression. */
#define LIST_MAX_BYTES (3u << 20)

static int
pack_config(struct bg_packed *out, const struct bg_item *item)
{
	struct bg_xitem copy = {0};
	struct bg_xitems list = {{1, &copy}};

	copy.kind = item->kind;
	copy.key = (char *)item->key;
	copy.major = item->major;
	copy.minor = item->minor;
	copy.value.value_val = (char *)item->value;
	copy.value.value_len = item->value_bytes;
	return bg_items_pack(out, &list);
}

static int
cache_config(struct bg_config_cache *cache, const struct bg_item *item)
{
	int error;

	bg_config_cache_free(cache);
	error = pack_config(&cache->packed, item);
	if (error != 0) {
		cache->packed.data = NULL;
		return error;
	}
	cache->version = item->major;
	return 0;
}

int
bg_config_cache_pack(struct bg_packed *out, struct bg_config_cache *cache,
    const struct bg_table *table)
{
	struct bg_item item;
	int error;

	memset(out, 0, sizeof(*out));
	if (bg_table_get(&item, table, BG_ITEM_CONFIG, BG_CONFIG_KEY) != 0)
		return BG_ENOTFOUND;
	if (cache->version != item.major &&
	    (error = cache_config(cache, &item)) != 0)
		return error;
	*out = cache->packed;
	if ((out->data = malloc(out->bytes)) == NULL)
		return BG_ENOMEM;
	memcpy(out->data, cache->packed.data, out->bytes);
	return 0;
}

void
bg_config_cache_free(struct bg_config_cache *cache)
{
	free(cache->packed.data);
	memset(cache, 0, sizeof(*cache));
}

int
bg_gossip_pack_items(struct bg_packed *out, const struct bg_table *table,
    uint64_t bucket_mask, uint64_t cursor)
{
	struct bg_table_select sel = {cursor, bucket_mask, LIST_MAX_BYTES};
	struct bg_xitems items;
	uint64_t end;
	int error;

	error = bg_table_select(&items, &end, table, &sel);
	if (error != 0)
		return error;
	error = bg_items_pack(out, &items);
	xdr_free((xdrproc_t)xdr_bg_xitems, (char *)&items);
	return error;
}

void
bg_gossip_set_packed(struct bg_packed *out, char *data, u_int bytes,
    u_int raw_bytes, uint64_t digest)
{
	out->data = data;
	out->bytes = bytes;
	out->raw_bytes = raw_bytes;
	out->digest = digest;
}

uint64_t
bg_gossip_differing_buckets(
    const struct bg_table *table, const u_quad_t *digests)
{
	uint64_t own[BG_DIGEST_BUCKETS];
	uint64_t mask = 0;
	int i;

	bg_table_digests(own, table);
	for (i = 0; i < BG_DIGEST_BUCKETS; i++) {
		if (own[i] != digests[i])
			mask |= 1ULL << i;
	}
	return mask;
}
