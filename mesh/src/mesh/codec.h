#ifndef BG_MESH_CODEC_H
#define BG_MESH_CODEC_H

#include "burdockgrade/wire_xdr.h"

/** Below this size compression costs more than it saves. */
#define BG_COMPRESS_MIN_BYTES 512
/** Largest list before compression; bounds the memory of a decoded reply. */
#define BG_ITEMS_RAW_BYTES (4u << 20)

/** An encoded list, as it is sent. */
struct bg_packed {
	char *data;
	u_int bytes;
	u_int raw_bytes; /**< size before compression, 0 if not compressed */
	uint64_t digest; /**< xxh64 of data */
};

/**
 * Encodes a list for SYNC, compressed above BG_COMPRESS_MIN_BYTES.
 *
 * @param out free() its data, which is NULL for an empty list
 * @return 0, BG_ELIMIT if it does not fit into a message, or BG_ENOMEM
 */
int bg_items_pack(struct bg_packed *out, struct bg_xitems *items);

/**
 * Decodes a list.
 *
 * @param out released by xdr_free(xdr_bg_xitems, out), also after an error
 * @return 0, BG_EPROTO or BG_ENOMEM
 */
int bg_items_unpack(struct bg_xitems *out, const struct bg_packed *packed);

#endif
