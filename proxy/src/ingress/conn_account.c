#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "burdockgrade/clock.h"

#include "../metrics/metrics.h"
#include "ingress_conn_internal.h"

void
bg_conn_recount(
    struct bg_ingress_conn *conn, uint64_t *counted_bytes, uint64_t bytes)
{
	if (*counted_bytes == bytes)
		return;
	bg_buffers_remove(conn->buffers, *counted_bytes);
	bg_buffers_add(conn->buffers, bytes);
	*counted_bytes = bytes;
}

void
bg_conn_count_input(struct bg_ingress_conn *conn)
{
	bg_conn_recount(conn, &conn->input_bytes,
	    evbuffer_get_length(bufferevent_get_input(conn->bev)) +
		evbuffer_get_length(conn->pipelined) +
		evbuffer_get_length(conn->chunks.undecoded));
	/* Input that waits for its turn may not take what is left. The caller
	 * is read on with its next request. */
	if (conn->state == CONN_BUSY && conn->input_bytes > 0 &&
	    bg_buffers_is_short(conn->buffers))
		bufferevent_disable(conn->bev, EV_READ);
	bg_conn_list_check_memory(conn->list);
}

/* Notes that the caller has read part of its response. */
static void
on_output_changed(
    struct evbuffer *out, const struct evbuffer_cb_info *info, void *arg)
{
	struct bg_ingress_conn *conn = arg;

	if (info->n_deleted > 0 || info->orig_size == 0)
		conn->progress_ms = bg_clock_now_ms();
}

void
bg_conn_link(struct bg_ingress_conn *conn)
{
	struct bg_conn_list *list = conn->list;

	conn->next = list->head;
	if (conn->next != NULL)
		conn->next->prev = conn;
	list->head = conn;
	bg_metrics_set_connections(++list->count);
	evbuffer_add_cb(
	    bufferevent_get_output(conn->bev), on_output_changed, conn);
}

void
bg_conn_unlink(struct bg_ingress_conn *conn)
{
	struct bg_conn_list *list = conn->list;

	if (conn->prev != NULL)
		conn->prev->next = conn->next;
	else
		list->head = conn->next;
	if (conn->next != NULL)
		conn->next->prev = conn->prev;
	bg_metrics_set_connections(--list->count);
	evbuffer_remove_cb(
	    bufferevent_get_output(conn->bev), on_output_changed, conn);
}

void
bg_ingress_conn_hold_response(struct bg_ingress_conn *conn, uint64_t bytes)
{
	bg_conn_recount(conn, &conn->response_bytes, bytes);
	bg_conn_list_check_memory(conn->list);
}

int
bg_ingress_conn_is_crowding(const struct bg_ingress_conn *conn, int is_refused)
{
	struct bg_conn_crowd crowd = {conn->list->count, conn->list->limit,
	    conn->input_bytes, is_refused};

	return bg_conn_is_crowding(&crowd);
}

struct bg_ingress_conn *
bg_ingress_conn_next(const struct bg_ingress_conn *conn)
{
	return conn->next;
}

enum bg_conn_activity
bg_conn_activity(const struct bg_ingress_conn *conn)
{
	if (conn->state == CONN_CLOSING)
		return BG_CONN_SERVING;
	if (evbuffer_get_length(bufferevent_get_output(conn->bev)) > 0)
		return BG_CONN_SENDING;
	if (conn->state == CONN_BUSY)
		return BG_CONN_SERVING;
	return conn->state == CONN_READING_BODY || conn->is_head_started
	    ? BG_CONN_RECEIVING
	    : BG_CONN_IDLE;
}

void
bg_ingress_conn_view(
    struct bg_conn_view *out, const struct bg_ingress_conn *conn)
{
	out->activity = bg_conn_activity(conn);
	out->progress_ms = conn->progress_ms;
	out->has_served = conn->has_served;
}
