#ifndef BG_QUOTA_INTERNAL_H
#define BG_QUOTA_INTERNAL_H

/** @file
 * State of the quota task. A slot is one share of the caps of one group of
 * organisations. Every node is a client of each slot, and its owner has the
 * buckets.
 */

#include <uthash.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"
#include "burdockgrade/quota.h"

#include "bucket/bucket.h"
#include "task/candidates.h"
#include "tenure/tenure.h"
#include "wallet/wallet.h"

/** Interval at which slots are looked after. */
#define BG_QUOTA_TICK_MS 500

struct bg_quota_slot;

/** Bucket of one organisation at the owner of a slot. */
struct bg_account {
	char organisation[BG_NAME_BYTES];
	struct bg_bucket bucket;
	UT_hash_handle hh;
};

/** Tokens of one organisation from one slot, and calls that wait for some. */
struct bg_purse {
	char organisation[BG_NAME_BYTES];
	struct bg_quota_slot *slot;
	struct bg_wallet wallet;
	struct bg_quota_ticket *first; /**< waiting calls */
	struct bg_quota_ticket *last;
	uint32_t waiting_count;
	UT_hash_handle hh;
};

struct bg_quota_ticket {
	struct bg_quota *quota;
	struct bg_quota_ticket *prev;
	struct bg_quota_ticket *next;
	struct bg_purse *purse; /**< where it waits */
	uint32_t tried_shares;	/**< bits */
	int is_over;		/**< one of them was empty */
	char organisation[BG_NAME_BYTES];
	bg_quota_fn fn;
	void *arg;
};

struct bg_quota_slot {
	struct bg_quota *quota;
	uint32_t share;
	uint32_t group;
	struct bg_candidates candidates;

	/* owner.c and slots.c */
	struct bg_tenure tenure;
	struct bg_account *accounts;
	int is_store_call_pending;
	uint64_t write_sent_ms;
	int is_release_pending;

	/* client.c */
	struct bg_purse *purses;
	struct bg_purse *asked[BG_QUOTA_ENTRIES_MAX]; /**< of the ask under way
						       */
	size_t asked_count;
	uint64_t asked_ms; /**< when the last ask was sent */
	int is_asking;
	int has_send_failed;
	int is_settling;	   /**< the reply is being processed */
	struct event *local_event; /**< ask to this node itself, or one that
				    * could not be sent */
	char asked_address[BG_ADDRESS_BYTES]; /**< empty: this node */
	char owner[BG_ADDRESS_BYTES]; /**< as last known; empty: unknown */
	uint32_t rank;		      /**< candidate to ask if it is unknown */
	uint64_t down_end_ms;	      /**< not asked until then */
	uint64_t tenure_seen;	      /**< of the owner that last granted */
	int is_redirected;	      /**< since the last grant */
};

struct bg_quota {
	struct event_base *base;
	const struct bg_settings *settings;
	struct bg_store *store;
	struct bg_link_pool *links;
	struct bg_rand rand;
	char address[BG_ADDRESS_BYTES];
	uint64_t holder; /**< identifies this process */
	uint64_t ask_seq;
	uint64_t start_ms;
	struct bg_quota_rule rule;
	struct bg_snapshot *snapshot;
	const struct bg_roster *roster;
	int is_roster_changed;
	uint32_t home_share;
	int is_leaving;
	struct event *timer;
	struct bg_quota_slot *slots; /**< share by share */
	size_t slot_count;
};

/** 1 if the settings ask for caps and an organisation has one. */
int bg_quota_is_active(const struct bg_quota *quota);
/** Finds an organisation in the snapshot in force. @return NULL if there is
 * none */
const struct bg_organisation *bg_quota_find_organisation(
    const struct bg_quota *quota, const char *name);

/* owner.c */
/** Answers an ask. @param res grants have room for those of all asks */
void bg_owner_answer(struct bg_quota *quota, const struct bg_xquota_args *args,
    struct bg_xquota_res *res);
/** Adapts the buckets of a slot to the snapshot in force. */
void bg_owner_apply_limits(struct bg_quota_slot *slot);
/** Drops the buckets, when the slot changes its owner. */
void bg_owner_clear(struct bg_quota_slot *slot);
/** Drops buckets that are full, as new ones are. */
void bg_owner_sweep(struct bg_quota_slot *slot, uint64_t now_ms);

/* slots.c */
/** Reads and writes the object of a slot when that is due. */
void bg_slot_step(struct bg_quota_slot *slot, uint64_t now_ms);
/** Another node asked for tokens of a slot that this one does not own. */
void bg_slot_asked(struct bg_quota_slot *slot, uint64_t now_ms);

/* quota.c */
/** Gives a call that waited its verdict, and frees the ticket. */
void bg_quota_finish(
    struct bg_quota_ticket *ticket, enum bg_quota_verdict verdict);

/* client.c */
/** Event of an ask to this node itself. */
void bg_client_on_local(evutil_socket_t fd, short what, void *arg);
/** Tries the shares that the call has not tried yet. */
enum bg_quota_verdict bg_client_advance(struct bg_quota_ticket *ticket);
/** Uses a token in hand. @return 1, or 0 if none is */
int bg_client_take(struct bg_quota *quota, const char *organisation);
/** Time until one of the empty shares has room. */
uint32_t bg_client_retry_after_ms(
    struct bg_quota *quota, const char *organisation);
/** Counts an arrival of the organisation. */
void bg_client_count(struct bg_quota *quota, const char *organisation);
void bg_client_remove(struct bg_quota_ticket *ticket);
/** Drops purses of organisations that are idle. */
void bg_client_sweep(struct bg_quota_slot *slot, uint64_t now_ms);
/** Drops all purses and the calls that wait for them. */
void bg_client_clear(struct bg_quota_slot *slot);
/** Tokens held, for the metric. */
uint32_t bg_client_held(const struct bg_quota_slot *slot, uint64_t now_ms);

#endif
