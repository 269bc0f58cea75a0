#ifndef BG_MESH_CHILDREN_H
#define BG_MESH_CHILDREN_H

/** @file
 * The answering side of SYNC: sessions with children and with the roots of
 * other data centres.
 */

#include <event2/event.h>

#include "burdockgrade/link.h"
#include "burdockgrade/table.h"

struct bg_children;

/** What a node can currently say of the root of its data centre. */
struct bg_root_view {
	char address[BG_ADDRESS_BYTES]; /**< empty: unknown */
	uint64_t term;
	uint64_t object_version; /**< of the lease; 0: root without lease */
	uint64_t expires_ms;	 /**< monotonic clock */
};

struct bg_children_handler {
	/** The view at this moment; asked before each answer, so that a
	 * holder that was paused does not answer as such. */
	void (*view)(void *arg, struct bg_root_view *out);
	/** 1 if this node is the root. */
	int (*is_root)(void *arg);
	/** Address of the own parent, or NULL if not attached. */
	const char *(*parent)(void *arg);
	/** A request for the floor. @return its number */
	uint64_t (*floor_request)(void *arg);
	/** Wire value for that number. */
	uint64_t (*floor_reply)(void *arg, uint64_t number);
	/** HEAD version that is not offered, or 0. */
	uint64_t (*refused_version)(void *arg);
	/** Items of a call changed the table. */
	void (*merged)(void *arg);
	/** A child was silent for too long. */
	void (*silent)(void *arg, const char *address, uint64_t incarnation);
	void *arg;
};

struct bg_children_options {
	struct event_base *base;
	struct bg_link_server *server;
	struct bg_table *table;
	const char *self;
	const char *data_centre;
	uint64_t incarnation;
	uint32_t fanout;
	struct bg_children_handler handler;
};

int bg_children_init(
    struct bg_children **out, const struct bg_children_options *opts);
void bg_children_free(struct bg_children *chn);
/** Answers every waiting call for which there is something to say. */
void bg_children_flush(struct bg_children *chn);
/** Ends waits that are over and sessions that went silent. */
void bg_children_tick(struct bg_children *chn, uint64_t now_ms);
/** Prolongs all sessions, since this process did not run for a while. */
void bg_children_resumed(struct bg_children *chn, uint64_t now_ms);
/** Sends all sessions to another root, since this node no longer is one. */
void bg_children_redirect(struct bg_children *chn, const char *address);
/** 1 if there is a child session with this address. */
int bg_children_has(const struct bg_children *chn, const char *address);
/** 1 if there is a session with a root of this data centre. */
int bg_children_has_peer(
    const struct bg_children *chn, const char *data_centre);
size_t bg_children_count(const struct bg_children *chn);
/** 1 if every child received the own log up to this cursor. */
int bg_children_confirmed(const struct bg_children *chn, uint64_t cursor);

#endif
