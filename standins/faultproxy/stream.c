#include <event2/buffer.h>

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "stream.h"

/* Reading pauses above this many waiting bytes. */
#define QUEUE_MAX_BYTES (4u << 20)
#define MARK_BYTES 4
#define LAST_FRAGMENT 0x80000000u
/* Piece that a rate limit lets through at once. */
#define DRIP_BYTES 16

struct chunk {
	struct evbuffer *data;
	uint64_t due_us;
	struct chunk *next;
};

static void deliver(evutil_socket_t fd, short what, void *arg);

int
stream_init(struct stream *out, struct event_base *base,
    struct bufferevent *from, struct bufferevent *to, int is_rpc,
    struct bg_rand *rnd, void (*close)(void *arg), void *arg)
{
	memset(out, 0, sizeof(*out));
	out->from = from;
	out->to = to;
	out->is_rpc = is_rpc;
	out->rnd = rnd;
	out->close = close;
	out->arg = arg;
	out->tail = &out->head;
	out->timer = evtimer_new(base, deliver, out);
	return out->timer == NULL ? -1 : 0;
}

static void
drop_head(struct stream *str)
{
	struct chunk *chk = str->head;

	str->head = chk->next;
	if (str->head == NULL)
		str->tail = &str->head;
	evbuffer_free(chk->data);
	free(chk);
}

void
stream_free(struct stream *str)
{
	while (str->head != NULL)
		drop_head(str);
	if (str->timer != NULL)
		event_free(str->timer);
}

static void
schedule(struct stream *str)
{
	uint64_t now_us = bg_clock_now_us();
	uint64_t due_us;
	struct timeval tv = {0, 0};

	if (str->head == NULL || str->faults.is_partitioned)
		return;
	due_us = str->head->due_us > str->credit_us ? str->head->due_us
						    : str->credit_us;
	if (due_us > now_us) {
		tv.tv_sec = (time_t)((due_us - now_us) / 1000000);
		tv.tv_usec = (suseconds_t)((due_us - now_us) % 1000000);
	}
	evtimer_add(str->timer, &tv);
}

/* Bytes of the head chunk that may pass now. */
static size_t
allowed_bytes(struct stream *str, uint64_t now_us)
{
	size_t bytes = evbuffer_get_length(str->head->data);
	const struct faults *flt = &str->faults;

	if (flt->bytes_per_s != 0) {
		if (bytes > DRIP_BYTES)
			bytes = DRIP_BYTES;
		str->credit_us = now_us + bytes * 1000000 / flt->bytes_per_s;
	}
	if (flt->cut_after_bytes != 0 &&
	    str->passed_bytes + bytes > flt->cut_after_bytes)
		bytes = flt->cut_after_bytes > str->passed_bytes
		    ? (size_t)(flt->cut_after_bytes - str->passed_bytes)
		    : 0;
	return bytes;
}

static int
pass_head(struct stream *str, uint64_t now_us)
{
	size_t bytes = allowed_bytes(str, now_us);

	evbuffer_remove_buffer(
	    str->head->data, bufferevent_get_output(str->to), bytes);
	str->passed_bytes += bytes;
	str->queued_bytes -= bytes;
	if (str->faults.cut_after_bytes != 0 &&
	    str->passed_bytes >= str->faults.cut_after_bytes)
		return -1;
	if (evbuffer_get_length(str->head->data) == 0)
		drop_head(str);
	return 0;
}

static void
deliver(evutil_socket_t fd, short what, void *arg)
{
	struct stream *str = arg;
	uint64_t now_us = bg_clock_now_us();

	while (str->head != NULL && !str->faults.is_partitioned &&
	    str->head->due_us <= now_us && str->credit_us <= now_us) {
		if (pass_head(str, now_us) != 0) {
			bufferevent_flush(str->to, EV_WRITE, BEV_FLUSH);
			str->is_ended = 1;
			str->close(str->arg);
			return;
		}
	}
	if (str->queued_bytes < QUEUE_MAX_BYTES)
		bufferevent_enable(str->from, EV_READ);
	if (str->head == NULL && str->is_ended) {
		str->close(str->arg);
		return;
	}
	schedule(str);
}

static void
enqueue(struct stream *str, struct evbuffer *data)
{
	struct chunk *chk = calloc(1, sizeof(*chk));
	double jitter_ms = str->faults.jitter_ms *
	    (double)bg_rand_below(str->rnd, 1001) / 1000.0;
	uint64_t due_us = bg_clock_now_us() +
	    (uint64_t)((str->faults.delay_ms + jitter_ms) * 1000.0);

	if (chk == NULL)
		abort();
	if (due_us < str->last_due_us)
		due_us = str->last_due_us;
	str->last_due_us = due_us;
	chk->due_us = due_us;
	chk->data = data;
	str->queued_bytes += evbuffer_get_length(data);
	*str->tail = chk;
	str->tail = &chk->next;
}

/* Bytes of the first whole message, 0 if it is not complete yet. */
static size_t
message_bytes(struct evbuffer *in)
{
	uint32_t mark;
	size_t bytes;

	if (evbuffer_copyout(in, &mark, MARK_BYTES) != MARK_BYTES)
		return 0;
	bytes = (ntohl(mark) & ~LAST_FRAGMENT) + MARK_BYTES;
	return evbuffer_get_length(in) >= bytes ? bytes : 0;
}

static struct evbuffer *
take(struct evbuffer *in, size_t bytes)
{
	struct evbuffer *out = evbuffer_new();

	if (out == NULL)
		abort();
	evbuffer_remove_buffer(in, out, bytes);
	return out;
}

static void
read_messages(struct stream *str, struct evbuffer *in)
{
	struct evbuffer *msg;
	struct evbuffer *copy;
	size_t bytes;

	while ((bytes = message_bytes(in)) > 0) {
		msg = take(in, bytes);
		if (bg_rand_below(str->rnd, 1000) <
		    str->faults.duplicate_permille) {
			copy = evbuffer_new();
			evbuffer_add(copy, evbuffer_pullup(msg, -1), bytes);
			enqueue(str, copy);
		}
		enqueue(str, msg);
	}
}

void
stream_read(struct stream *str)
{
	struct evbuffer *in = bufferevent_get_input(str->from);

	if (str->is_silent) {
		evbuffer_drain(in, evbuffer_get_length(in));
		return;
	}
	/* Messages are told apart only where that is needed, so that a cut in
	 * the middle of one is possible. */
	if (str->is_rpc && str->faults.duplicate_permille != 0)
		read_messages(str, in);
	else if (evbuffer_get_length(in) > 0)
		enqueue(str, take(in, evbuffer_get_length(in)));
	if (str->queued_bytes >= QUEUE_MAX_BYTES)
		bufferevent_disable(str->from, EV_READ);
	schedule(str);
}

void
stream_end(struct stream *str)
{
	str->is_ended = 1;
	if (str->is_silent || str->faults.is_partitioned)
		return;
	if (str->head == NULL)
		str->close(str->arg);
}

void
stream_set(struct stream *str, const struct faults *faults)
{
	int was_partitioned = str->faults.is_partitioned;

	str->faults = *faults;
	if (was_partitioned && !faults->is_partitioned) {
		if (str->head == NULL && str->is_ended)
			str->close(str->arg);
		else
			schedule(str);
	}
}
