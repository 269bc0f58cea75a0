#ifndef BURDOCKGRADE_MAILBOX_H
#define BURDOCKGRADE_MAILBOX_H

/** @file
 * Message queue of a task that runs on the event loop of the process.
 *
 * A task owns its state; other tasks change it only by posting a message.
 * Messages are delivered from the event loop and never from
 * bg_mailbox_post(), so that a receiver cannot re-enter its sender.
 */

#include <event2/event.h>

struct bg_mailbox;

struct bg_message {
	int type;   /**< defined by the receiving task */
	void *data; /**< owned by the receiver once delivered */
};

/** Handles one message. Must not free the mailbox. */
typedef void (*bg_mailbox_fn)(void *arg, const struct bg_message *msg);

/** Creates a mailbox whose messages are delivered to fn in the order in which
 * they were posted. @return 0 or BG_ENOMEM */
int bg_mailbox_init(struct bg_mailbox **out, struct event_base *base,
    bg_mailbox_fn fn, void *arg);
/** Discards queued messages and releases their data with free(). */
void bg_mailbox_free(struct bg_mailbox *mb);

/**
 * Queues a message.
 *
 * @param data released by the receiver; remains owned by the caller on error
 * @return 0 or BG_ENOMEM
 */
int bg_mailbox_post(struct bg_mailbox *mb, int type, void *data);

#endif
