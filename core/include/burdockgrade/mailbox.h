#ifndef BURDOCKGRADE_MAILBOX_H
#define BURDOCKGRADE_MAILBOX_H

/** @file
 * Message queue of a task on the event loop of the process.
 *
 * A task owns its state; other tasks change it only by posting a message. A
 * message is handled in a later turn of the loop, so a sender is never
 * re-entered by its receiver.
 */

#include <event2/event.h>

struct bg_mailbox;

/** A message; the receiver takes over data and frees it. */
struct bg_message {
	int type; /**< meaning is fixed by the receiving task */
	void *data;
};

typedef void (*bg_mailbox_fn)(void *arg, const struct bg_message *msg);

/** @return 0 or BG_ENOMEM */
int bg_mailbox_init(struct bg_mailbox **out, struct event_base *base,
    bg_mailbox_fn fn, void *arg);
/** Discards queued messages; their data is released with free(). */
void bg_mailbox_free(struct bg_mailbox *mb);

/** Queues a message. @return 0 or BG_ENOMEM, then data stays the caller's */
int bg_mailbox_post(struct bg_mailbox *mb, int type, void *data);

#endif
