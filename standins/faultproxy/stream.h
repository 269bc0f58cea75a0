#ifndef STANDIN_FAULT_STREAM_H
#define STANDIN_FAULT_STREAM_H

/** @file
 * One direction of a connection: bytes that wait for their time.
 */

#include <event2/bufferevent.h>
#include <event2/event.h>

#include "burdockgrade/clock.h"

#include "rules.h"

struct chunk;

struct stream {
	struct bufferevent *to;
	struct bufferevent *from;
	struct event *timer;
	struct chunk *head;
	struct chunk **tail;
	size_t queued_bytes;
	uint64_t last_due_us; /**< delays never reorder bytes */
	uint64_t passed_bytes;
	uint64_t credit_us; /**< when the rate limit allows more */
	struct faults faults;
	struct bg_rand *rnd;
	int is_rpc;    /**< record-marked messages, which can be duplicated */
	int is_silent; /**< swallows bytes for good */
	int is_ended;  /**< no more bytes come; closes when empty */
	void (*close)(void *arg); /**< called once to end the connection */
	void *arg;
};

int stream_init(struct stream *out, struct event_base *base,
    struct bufferevent *from, struct bufferevent *to, int is_rpc,
    struct bg_rand *rnd, void (*close)(void *arg), void *arg);
void stream_free(struct stream *str);
/** Takes what arrived at `from`. */
void stream_read(struct stream *str);
/** No more bytes will arrive; close once the queue is empty. */
void stream_end(struct stream *str);
/** Applies other faults to bytes that are not delivered yet. */
void stream_set(struct stream *str, const struct faults *faults);

#endif
