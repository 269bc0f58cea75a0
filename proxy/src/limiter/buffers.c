#include "buffers.h"
#include "../metrics/metrics.h"

static uint64_t
share_bytes(const struct bg_buffers *buf, uint32_t permille)
{
	return buf->limit_bytes / 1000 * permille;
}

int
bg_buffers_can_admit(const struct bg_buffers *buf, uint64_t bytes)
{
	return buf->bytes + bytes <=
	    share_bytes(buf, BG_BUFFERS_ADMIT_PERMILLE);
}

int
bg_buffers_can_receive(
    const struct bg_buffers *buf, uint64_t body_bytes, uint64_t added_bytes)
{
	uint32_t permille = body_bytes > BG_BUFFERS_SMALL_BODY_BYTES
	    ? BG_BUFFERS_RECEIVE_PERMILLE
	    : BG_BUFFERS_ADMIT_PERMILLE;

	return buf->bytes + added_bytes <= share_bytes(buf, permille);
}

int
bg_buffers_is_short(const struct bg_buffers *buf)
{
	return buf->bytes > share_bytes(buf, BG_BUFFERS_SHORT_PERMILLE);
}

int
bg_buffers_is_full(const struct bg_buffers *buf)
{
	return buf->bytes >= buf->limit_bytes;
}

void
bg_buffers_add(struct bg_buffers *buf, uint64_t bytes)
{
	buf->bytes += bytes;
	bg_metrics_set_buffered_bytes(buf->bytes);
}

void
bg_buffers_remove(struct bg_buffers *buf, uint64_t bytes)
{
	buf->bytes -= bytes < buf->bytes ? bytes : buf->bytes;
	bg_metrics_set_buffered_bytes(buf->bytes);
}
