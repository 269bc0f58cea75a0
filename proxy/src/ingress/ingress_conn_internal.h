#ifndef BG_PROXY_INGRESS_CONN_INTERNAL_H
#define BG_PROXY_INGRESS_CONN_INTERNAL_H

/** @file
 * State of a connection of a caller, shared by ingress_conn.c, which reads and
 * answers, and conn_account.c, which counts what the connection holds.
 */

#include "chunked_input.h"
#include "ingress_conn.h"

enum conn_state {
	CONN_READING_HEAD, /* buffers input until the head is complete */
	CONN_READING_BODY, /* forwards head and body to libevhtp */
	CONN_BUSY,	   /* from the complete request until its response
			      has been written */
	CONN_CLOSING,	   /* rejected; discards input until the close */
};

struct bg_ingress_conn {
	struct evhtp_connection *evhtp_conn;
	struct bufferevent *bev;
	bufferevent_data_cb evhtp_read;
	bufferevent_data_cb evhtp_write;
	bufferevent_event_cb evhtp_event;
	void *evhtp_arg;
	struct evbuffer *pipelined; /* input after the current request */
	struct event *timer;
	struct bg_request_head head;
	struct bg_chunked_input chunks;
	uint64_t body_left_bytes;  /* not used for a chunked body */
	uint64_t body_input_bytes; /* of the body so far, with its framing */
	uint64_t body_max_bytes;
	struct bg_conn_list *list;
	struct bg_buffers *buffers;
	uint64_t counted_bytes;	 /* of the body so far, in buffers */
	uint64_t input_bytes;	 /* of input and pipelined, in buffers */
	uint64_t response_bytes; /* of the response, in buffers */
	uint64_t progress_ms;	 /* time at which a byte last moved */
	enum conn_state state;
	struct bg_ingress_conn *prev;
	struct bg_ingress_conn *next;
	void (*on_request_end)(void *arg); /* NULL: none, or already called */
	void *on_request_end_arg;
	int has_served;	     /* a request has ended */
	int is_head_started; /* part of a head was received */
	int callback_depth;  /* nested callbacks in which conn is in use */
	int is_free_pending; /* freed when the outermost callback ends */
};

/** Replaces the number of bytes that a buffer of the connection counts for. */
void bg_conn_recount(
    struct bg_ingress_conn *conn, uint64_t *counted_bytes, uint64_t bytes);
/** Counts the input that was not forwarded, and stops reading more of it while
 * memory is short. */
void bg_conn_count_input(struct bg_ingress_conn *conn);
enum bg_conn_activity bg_conn_activity(const struct bg_ingress_conn *conn);
/** Adds the connection to its list. */
void bg_conn_link(struct bg_ingress_conn *conn);
void bg_conn_unlink(struct bg_ingress_conn *conn);

#endif
