#ifndef BG_MESH_UPLINK_H
#define BG_MESH_UPLINK_H

/** @file
 * The calling side of SYNC: a link to a parent, or to the root of another data
 * centre.
 */

#include <event2/event.h>

#include "burdockgrade/link.h"
#include "burdockgrade/table.h"

#include "mesh/floor.h"

/** role of a SYNC call. */
enum bg_sync_role {
	BG_SYNC_CHILD = 0,
	BG_SYNC_PEER = 1,
};

struct bg_uplink;

/** Receives the events of an uplink. */
struct bg_uplink_handler {
	/** A good reply, before its items are merged. @return 0, or a code
	 * that ends the uplink with the reason "rejected" */
	int (*replied)(void *arg, const struct bg_xsync_res *res);
	/** Items of a reply changed the table. */
	void (*merged)(void *arg);
	/** The uplink ended; the owner frees it. redirect may be empty.
	 * is_link_fault: the peer did not answer, or not validly. */
	void (*lost)(void *arg, const char *reason, const char *redirect,
	    uint32_t retry_ms, int is_link_fault);
	/** The parent knows a higher incarnation of this node. */
	void (*stale)(void *arg, uint64_t known_incarnation);
	/** Whether the next call asks for the floor. */
	enum bg_floor_want (*wants_floor)(void *arg);
	void *arg;
};

struct bg_uplink_options {
	struct event_base *base;
	const char *address;
	const char *local_ip; /**< or NULL */
	const char *self;
	const char *data_centre;
	enum bg_sync_role role;
	uint64_t incarnation;
	uint32_t digests_ms; /**< interval of comparisons; 0: 30 s */
	struct bg_table *table;
	struct bg_uplink_handler handler;
};

int bg_uplink_init(
    struct bg_uplink **out, const struct bg_uplink_options *opts);
/** Safe inside the handler's functions. */
void bg_uplink_free(struct bg_uplink *upl);
/** Sends changes of the table that the parent lacks, if there are any.
 * @param is_confirm_wanted the parent replies at once instead of waiting for
 *     news, so that bg_uplink_confirmed advances */
void bg_uplink_flush(struct bg_uplink *upl, int is_confirm_wanted);
/** Sends a call now, with changes or without. */
void bg_uplink_send(struct bg_uplink *upl);
/** 1 after the first good reply. */
int bg_uplink_is_attached(const struct bg_uplink *upl);
const char *bg_uplink_address(const struct bg_uplink *upl);
/** Origin of the items received over it. */
uint64_t bg_uplink_origin(const struct bg_uplink *upl);
/** The parent has confirmed the table's changes up to this cursor. */
uint64_t bg_uplink_confirmed(const struct bg_uplink *upl);
/** Number of the call whose reply is being handled; calls count from 1. */
uint64_t bg_uplink_reply_number(const struct bg_uplink *upl);
/** Number of the last call sent. */
uint64_t bg_uplink_call_number(const struct bg_uplink *upl);
/** 1 if the call whose reply is being handled asked for the floor. */
int bg_uplink_asked_floor(const struct bg_uplink *upl);

/** Origin of the items of a peer address. */
uint64_t bg_origin_of(const char *address);

#endif
