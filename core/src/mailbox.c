#include <assert.h>
#include <stdlib.h>

#include "burdockgrade/error.h"
#include "burdockgrade/mailbox.h"

struct entry {
	struct bg_message message;
	struct entry *next;
};

struct bg_mailbox {
	struct event *wakeup;
	bg_mailbox_fn fn;
	void *arg;
	struct entry *head;
	struct entry **tail;
};

static void
deliver(evutil_socket_t fd, short what, void *arg)
{
	struct bg_mailbox *mb = arg;
	struct entry *batch = mb->head;
	struct entry *next;

	/* Messages that a handler posts go to a new list. A later call of this
	 * function delivers them, which may be in the same iteration of the
	 * event loop. */
	mb->head = NULL;
	mb->tail = &mb->head;
	for (; batch != NULL; batch = next) {
		next = batch->next;
		mb->fn(mb->arg, &batch->message);
		free(batch);
	}
}

int
bg_mailbox_init(struct bg_mailbox **out, struct event_base *base,
    bg_mailbox_fn fn, void *arg)
{
	struct bg_mailbox *mb;

	assert(fn != NULL);
	if ((mb = calloc(1, sizeof(*mb))) == NULL)
		return BG_ENOMEM;
	mb->fn = fn;
	mb->arg = arg;
	mb->tail = &mb->head;
	if ((mb->wakeup = event_new(base, -1, 0, deliver, mb)) == NULL) {
		free(mb);
		return BG_ENOMEM;
	}
	*out = mb;
	return 0;
}

void
bg_mailbox_free(struct bg_mailbox *mb)
{
	struct entry *e;
	struct entry *next;

	if (mb == NULL)
		return;
	for (e = mb->head; e != NULL; e = next) {
		next = e->next;
		free(e->message.data);
		free(e);
	}
	event_free(mb->wakeup);
	free(mb);
}

int
bg_mailbox_post(struct bg_mailbox *mb, int type, void *data)
{
	struct entry *e;

	if ((e = calloc(1, sizeof(*e))) == NULL)
		return BG_ENOMEM;
	e->message.type = type;
	e->message.data = data;
	*mb->tail = e;
	mb->tail = &e->next;
	event_active(mb->wakeup, EV_TIMEOUT, 0);
	return 0;
}
