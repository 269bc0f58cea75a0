#ifndef BURDOCKGRADE_QUOTA_H
#define BURDOCKGRADE_QUOTA_H

/** @file
 * The quota task of a node: keeps the use of each organisation under its cap,
 * over all nodes together. docs/design/cap.md describes the protocol.
 *
 * A call is admitted with a token that the node holds. Tokens come from the
 * owners of the organisation's slots, ahead of demand where it is steady.
 */

#include <event2/event.h>

#include "burdockgrade/link.h"
#include "burdockgrade/mesh.h"
#include "burdockgrade/settings.h"
#include "burdockgrade/snapshot.h"
#include "burdockgrade/store.h"

struct bg_quota;
struct bg_quota_ticket;

enum bg_quota_verdict {
	BG_QUOTA_ADMITTED,
	BG_QUOTA_OVER,	   /**< the organisation is over its cap */
	BG_QUOTA_NO_OWNER, /**< no owner of a slot can be reached, so that it is
			    * not known whether it is */
	BG_QUOTA_PENDING,  /**< the verdict comes by the callback */
};

struct bg_quota_options {
	uint32_t version;
	struct event_base *base;
	const struct bg_settings *settings;
	struct bg_store *store;	       /**< NULL: this node owns no slots */
	struct bg_link_server *server; /**< gets the QUOTA handler */
	struct bg_link_pool *links;
	const char *address; /**< of this node in the roster; copied */
};

#define BG_QUOTA_OPTIONS_VERSION 1
#define BG_QUOTA_OPTIONS_INIT                                                \
	{                                                                    \
		BG_QUOTA_OPTIONS_VERSION, NULL, NULL, NULL, NULL, NULL, NULL \
	}

/**
 * Creates the task. It does not take ownership of the objects in opts.
 *
 * @return 0, BG_ENOMEM, or the error of bg_link_server_add_handler()
 */
int bg_quota_init(struct bg_quota **out, const struct bg_quota_options *opts);
/** Drops waiting calls without a verdict. Free the store and the link pool
 * before, whose pending calls refer to the task. NULL is ignored. */
void bg_quota_free(struct bg_quota *quota);

/** Follows the snapshots and rosters of a mesh.
 * @return 0 or the error of bg_mesh_add_listener() */
int bg_quota_follow(struct bg_quota *quota, struct bg_mesh *mesh);
/** Sets the snapshot; a reference is kept. */
void bg_quota_set_snapshot(struct bg_quota *quota, struct bg_snapshot *snap);
/** Sets the roster, which stays valid until the next one is set. */
void bg_quota_set_roster(struct bg_quota *quota, const struct bg_roster *ros);

/** @param retry_after_ms if it is not admitted: time until there is room */
typedef void (*bg_quota_fn)(
    void *arg, enum bg_quota_verdict verdict, uint32_t retry_after_ms);

/**
 * Asks whether a call of an organisation may be admitted. One call is one
 * token, also if it does not run in the end, and each repeat at a further
 * backend server is one more.
 *
 * @param out set if the verdict is pending, for bg_quota_cancel()
 * @param out_retry_after_ms set if the call is not admitted
 * @param fn runs once, after this function, if the verdict is pending
 */
enum bg_quota_verdict bg_quota_admit(struct bg_quota_ticket **out,
    uint32_t *out_retry_after_ms, struct bg_quota *quota,
    const struct bg_organisation *org, bg_quota_fn fn, void *arg);
/** Withdraws a call that waits for its verdict. NULL is ignored. */
void bg_quota_cancel(struct bg_quota_ticket *ticket);
/** Gives up the slots of this node, before it stops. */
void bg_quota_leave(struct bg_quota *quota);
/** Number of slots that this node owns now. */
uint32_t bg_quota_owned_slots(const struct bg_quota *quota);

#endif
