#include "buffers.h"
#include "../metrics/metrics.h"

int
bg_buffers_can_admit(const struct bg_buffers *buf, uint64_t bytes)
{
	return buf->bytes + bytes <=
	    buf->limit_bytes / 1000 * BG_BUFFERS_ADMIT_PERMILLE;
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
