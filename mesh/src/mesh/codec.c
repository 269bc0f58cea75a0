#include <stdlib.h>
#include <string.h>
#include <xxhash.h>
#include <zstd.h>

#include "burdockgrade/error.h"

#include "mesh/codec.h"

/* The zstd default. On lists of a few kilobytes, higher levels cost more
 * processor time than the bytes they save are worth. */
#define COMPRESS_LEVEL 3

static int
compress(struct bg_packed *out, const char *raw, size_t raw_bytes)
{
	size_t bound = ZSTD_compressBound(raw_bytes);
	size_t bytes;
	char *buf;

	if ((buf = malloc(bound)) == NULL)
		return BG_ENOMEM;
	bytes = ZSTD_compress(buf, bound, raw, raw_bytes, COMPRESS_LEVEL);
	if (ZSTD_isError(bytes) || bytes > BG_BODY_BYTES) {
		free(buf);
		return BG_ELIMIT;
	}
	out->data = buf;
	out->bytes = (u_int)bytes;
	out->raw_bytes = (u_int)raw_bytes;
	return 0;
}

int
bg_items_pack(struct bg_packed *out, struct bg_xitems *items)
{
	unsigned long raw_bytes;
	char *raw;
	XDR xdrs;
	int error = 0;

	memset(out, 0, sizeof(*out));
	if (items->items.items_len == 0)
		return 0;
	raw_bytes = xdr_sizeof((xdrproc_t)xdr_bg_xitems, items);
	if (raw_bytes == 0 || raw_bytes > BG_ITEMS_RAW_BYTES)
		return BG_ELIMIT;
	if ((raw = malloc(raw_bytes)) == NULL)
		return BG_ENOMEM;
	xdrmem_create(&xdrs, raw, (u_int)raw_bytes, XDR_ENCODE);
	if (!xdr_bg_xitems(&xdrs, items))
		error = BG_ELIMIT;
	xdr_destroy(&xdrs);
	if (error == 0 && raw_bytes <= BG_COMPRESS_MIN_BYTES) {
		out->data = raw;
		out->bytes = (u_int)raw_bytes;
	} else {
		if (error == 0)
			error = compress(out, raw, raw_bytes);
		free(raw);
	}
	if (error == 0)
		out->digest = XXH64(out->data, out->bytes, 0);
	return error;
}

static int
decode(struct bg_xitems *out, char *raw, u_int raw_bytes)
{
	XDR xdrs;
	int error = 0;

	xdrmem_create(&xdrs, raw, raw_bytes, XDR_DECODE);
	/* Trailing bytes mean that raw_bytes does not belong to this list. */
	if (!xdr_bg_xitems(&xdrs, out) || xdr_getpos(&xdrs) != raw_bytes)
		error = BG_EPROTO;
	xdr_destroy(&xdrs);
	return error;
}

int
bg_items_unpack(struct bg_xitems *out, const struct bg_packed *packed)
{
	u_int raw_bytes = packed->raw_bytes;
	char *raw;
	size_t got;
	int error;

	memset(out, 0, sizeof(*out));
	if (packed->bytes == 0)
		return raw_bytes == 0 ? 0 : BG_EPROTO;
	if (XXH64(packed->data, packed->bytes, 0) != packed->digest)
		return BG_EPROTO;
	if (raw_bytes == 0)
		return decode(out, packed->data, packed->bytes);
	if (raw_bytes > BG_ITEMS_RAW_BYTES)
		return BG_EPROTO;
	if ((raw = malloc(raw_bytes)) == NULL)
		return BG_ENOMEM;
	got = ZSTD_decompress(raw, raw_bytes, packed->data, packed->bytes);
	error = ZSTD_isError(got) || got != raw_bytes
	    ? BG_EPROTO
	    : decode(out, raw, raw_bytes);
	free(raw);
	return error;
}
