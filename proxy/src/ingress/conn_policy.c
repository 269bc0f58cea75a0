#include "conn_policy.h"

uint32_t
bg_conn_limit(uint64_t buffered_bytes, uint32_t setting)
{
	uint64_t limit =
	    buffered_bytes / BG_CONN_MEMORY_DIVISOR / BG_CONN_OVERHEAD_BYTES;

	if (limit < BG_CONN_LIMIT_MIN)
		limit = BG_CONN_LIMIT_MIN;
	if (setting != 0 && setting < limit)
		limit = setting;
	return limit > UINT32_MAX ? UINT32_MAX : (uint32_t)limit;
}

static uint64_t
still_ms(const struct bg_conn_view *conn, uint64_t now_ms)
{
	return now_ms > conn->progress_ms ? now_ms - conn->progress_ms : 0;
}

int
bg_conn_has_stalled(const struct bg_conn_view *conn, uint64_t now_ms)
{
	return (conn->activity == BG_CONN_RECEIVING ||
		   conn->activity == BG_CONN_SENDING) &&
	    still_ms(conn, now_ms) >= BG_CONN_STALL_MS;
}

int
bg_conn_is_replaceable(const struct bg_conn_view *conn, uint64_t now_ms)
{
	if (conn->activity == BG_CONN_IDLE)
		return still_ms(conn, now_ms) >= BG_CONN_IDLE_MIN_MS;
	return bg_conn_has_stalled(conn, now_ms);
}

int
bg_conn_is_crowding(const struct bg_conn_crowd *crowd)
{
	if (crowd->pipelined_bytes == 0)
		return 0;
	return crowd->is_refused ||
	    (uint64_t)crowd->count * 1000 >=
	    (uint64_t)crowd->limit * BG_CONN_CROWDED_PERMILLE;
}

/* A caller that has used its connection may be about to use it again. */
static int
rank(const struct bg_conn_view *conn)
{
	return conn->activity == BG_CONN_IDLE && conn->has_served;
}

int
bg_conn_is_replaced_before(
    const struct bg_conn_view *a, const struct bg_conn_view *b)
{
	if (rank(a) != rank(b))
		return rank(a) < rank(b);
	return a->progress_ms < b->progress_ms;
}
