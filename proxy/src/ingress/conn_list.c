#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"

#include "../metrics/metrics.h"
#include "conn_list.h"
#include "ingress_conn.h"

/* Interval at which stalled connections are looked for while the node is short
 * of memory. */
#define SWEEP_INTERVAL_MS 250

static void
close_stalled(struct bg_conn_list *list)
{
	struct bg_ingress_conn *conn;
	struct bg_ingress_conn *next;
	struct bg_conn_view view;
	uint64_t held_bytes = list->buffers->bytes;
	uint64_t now_ms = bg_clock_now_ms();
	uint32_t closed = 0;

	for (conn = list->head; conn != NULL; conn = next) {
		next = bg_ingress_conn_next(conn);
		bg_ingress_conn_view(&view, conn);
		if (!bg_conn_has_stalled(&view, now_ms))
			continue;
		bg_metrics_count_closed(BG_CLOSE_STALLED);
		bg_ingress_conn_close(conn);
		closed++;
	}
	if (closed > 0)
		bg_log_warn("ingress",
		    "short of memory held_bytes=%llu limit_bytes=%llu "
		    "connections=%u closed_stalled=%u",
		    (unsigned long long)held_bytes,
		    (unsigned long long)list->buffers->limit_bytes, list->count,
		    closed);
}

static void
on_sweep(evutil_socket_t fd, short what, void *arg)
{
	struct bg_conn_list *list = arg;

	close_stalled(list);
	bg_conn_list_check_memory(list);
}

void
bg_conn_list_check_memory(struct bg_conn_list *list)
{
	static const struct timeval interval = {0, SWEEP_INTERVAL_MS * 1000};

	if (bg_buffers_is_short(list->buffers) &&
	    !evtimer_pending(list->sweep_timer, NULL))
		evtimer_add(list->sweep_timer, &interval);
}

static struct bg_ingress_conn *
find_replaceable(const struct bg_conn_list *list)
{
	struct bg_ingress_conn *conn;
	struct bg_ingress_conn *best = NULL;
	struct bg_conn_view best_view;
	struct bg_conn_view view;
	uint64_t now_ms = bg_clock_now_ms();

	for (conn = list->head; conn != NULL;
	     conn = bg_ingress_conn_next(conn)) {
		bg_ingress_conn_view(&view, conn);
		if (!bg_conn_is_replaceable(&view, now_ms) ||
		    (best != NULL &&
			!bg_conn_is_replaced_before(&view, &best_view)))
			continue;
		best = conn;
		best_view = view;
	}
	return best;
}

int
bg_conn_list_make_room(struct bg_conn_list *list)
{
	struct bg_ingress_conn *conn;

	if (list->count < list->limit)
		return 1;
	if ((conn = find_replaceable(list)) != NULL) {
		/* With a response it would take up room until that is read. */
		bg_metrics_count_closed(BG_CLOSE_REPLACED);
		bg_ingress_conn_abort(conn);
		return 1;
	}
	bg_metrics_count_closed(BG_CLOSE_REFUSED);
	bg_log_info("ingress", "connection refused open=%u limit=%u",
	    list->count, list->limit);
	return 0;
}

int
bg_conn_list_init(struct bg_conn_list *out, struct event_base *base,
    struct bg_buffers *buffers, uint32_t limit)
{
	memset(out, 0, sizeof(*out));
	out->buffers = buffers;
	out->limit = limit;
	out->sweep_timer = evtimer_new(base, on_sweep, out);
	return out->sweep_timer == NULL ? -1 : 0;
}

void
bg_conn_list_free(struct bg_conn_list *list)
{
	while (list->head != NULL)
		bg_ingress_conn_abort(list->head);
	if (list->sweep_timer != NULL)
		event_free(list->sweep_timer);
	list->sweep_timer = NULL;
}
