#ifndef BG_MESH_GOSSIP_ITEMS_H
#define BG_MESH_GOSSIP_ITEMS_H

/** @file
 * What a comparison of tables sends: items of the buckets that differ, and the
 * configuration. Used by gossip.c.
 */

#include "mesh/codec.h"
#include "mesh/internal.h"

/** The configuration that was packed last. Many nodes may ask for the same
 * version at about the same time, and packing a large one takes long. */
struct bg_config_cache {
	struct bg_packed packed;
	uint64_t version; /**< 0: none */
};

/** Packs the configuration of the table.
 * @param out data to be freed with free()
 * @return 0, BG_ENOTFOUND if there is none, or BG_ENOMEM */
int bg_config_cache_pack(struct bg_packed *out, struct bg_config_cache *cache,
    const struct bg_table *table);
void bg_config_cache_free(struct bg_config_cache *cache);
/** Packs the items of some buckets, up to the largest list of a message.
 * @param out data to be freed with free()
 * @param bucket_mask 0: all buckets
 * @param cursor only items that changed after it; 0: all
 * @return 0 or BG_ENOMEM */
int bg_gossip_pack_items(struct bg_packed *out, const struct bg_table *table,
    uint64_t bucket_mask, uint64_t cursor);
/** Describes a list of a message, which is not copied. */
void bg_gossip_set_packed(struct bg_packed *out, char *data, u_int bytes,
    u_int raw_bytes, uint64_t digest);
/** Mask of the buckets whose digest differs from that of the table.
 * @param digests one for each bucket */
uint64_t bg_gossip_differing_buckets(
    const struct bg_table *table, const u_quad_t *digests);

#endif
