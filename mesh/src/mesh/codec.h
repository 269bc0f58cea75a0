#ifndef BG_MESH_CODEC_H
#define BG_MESH_CODEC_H

#include "burdockgrade/wire_xdr.h"

/** Lists up to this size are sent uncompressed: below it, compression costs
 * more than it saves. */
#define BG_COMPRESS_MIN_BYTES 512
/** Largest list before compression; limits the memory of a decoded message. */
#define BG_ITEMS_RAW_BYTES (4u << 20)

/** An encoded list as sent in SYNC. */
struct bg_packed {
	char *data;
	u_int bytes;
	u_int raw_bytes; /**< size before compression, 0 if not compressed */
	uint64_t digest; /**< xxh64 of data */
};

/**
 * Encodes a list, compressed above BG_COMPRESS_MIN_BYTES.
 *
 * @param out the caller frees out->data, which is NULL for an empty list
 * @return 0, BG_ELIMIT if the list does not fit into a message, or BG_ENOMEM
 */
int bg_items_pack(struct bg_packed *out, struct bg_xitems *items);

/**
 * Decodes a list after checking its digest and size.
 *
 * @param out release it with xdr_free(xdr_bg_xitems, out), also after an error
 * @return 0, BG_EPROTO or BG_ENOMEM
 */
int bg_items_unpack(struct bg_xitems *out, const struct bg_packed *packed);

#endif
