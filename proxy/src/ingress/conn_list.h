#ifndef BG_PROXY_INGRESS_CONN_LIST_H
#define BG_PROXY_INGRESS_CONN_LIST_H

/** @file
 * The open connections of callers. Bounds their number, and closes those that
 * have stalled while the node is short of memory.
 */

#include <event2/event.h>

#include "../limiter/buffers.h"

struct bg_ingress_conn;

struct bg_conn_list {
	struct bg_ingress_conn *head;
	uint32_t count;
	uint32_t limit;
	struct bg_buffers *buffers;
	struct event *sweep_timer;
};

/** @param limit largest number of connections
 * @return 0 or -1 if out of memory */
int bg_conn_list_init(struct bg_conn_list *out, struct event_base *base,
    struct bg_buffers *buffers, uint32_t limit);
/** Closes all connections. */
void bg_conn_list_free(struct bg_conn_list *list);
/** Makes room for a new connection, by closing another one if need be.
 * @return 1 if there is room */
int bg_conn_list_make_room(struct bg_conn_list *list);
/** Closes stalled connections from now on until the node is no longer short.
 * Does nothing if it is not. */
void bg_conn_list_check_memory(struct bg_conn_list *list);

#endif
