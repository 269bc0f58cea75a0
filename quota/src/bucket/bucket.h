#ifndef BG_QUOTA_BUCKET_H
#define BG_QUOTA_BUCKET_H

/** @file
 * Token bucket of one organisation, from which its owner leases calls to the
 * nodes that ask.
 *
 * The tokens in the bucket and those that a node may still use never exceed
 * the capacity together: the bucket is refilled only as far as there is room.
 * So at most rate x window + capacity calls are admitted in any window,
 * whatever becomes of the messages. Pure: takes the time and does no I/O.
 */

#include <stddef.h>
#include <stdint.h>

/** Tokens are counted in millionths of a call, so that a rate in thousandths of
 * a call a second times milliseconds is a whole number. */
#define BG_QUOTA_MICRO 1000000ULL
/** Time for which a node may use tokens of a lease that it holds. An owner that
 * starts gives nothing out for as long; a node with steady load asks again
 * within half of it. */
#define BG_QUOTA_LEASE_MS 600
/** The same while the bucket is nearly empty. Tokens that were used count as
 * leased until then, and would otherwise keep it from being refilled. */
#define BG_QUOTA_SHORT_LEASE_MS 250
/** Time in which a node gives up waiting for the reply to an ask. Tokens that
 * were granted for waiting calls are used or dropped within it. */
#define BG_QUOTA_ASK_TIMEOUT_MS 200

/** Share of an organisation's cap that one bucket has. */
struct bg_bucket_limits {
	uint64_t rate_milli_per_s; /**< calls a second, in thousandths */
	uint64_t capacity_micro;   /**< calls, in millionths */
};

/** Rule on the sum of all buckets of an organisation: in any window at most
 * (rate x window + burst) x (1 + share) + slack calls. */
struct bg_quota_rule {
	uint32_t window_ms;
	uint32_t share_permille;
	uint32_t slack;	 /**< calls */
	uint32_t shares; /**< buckets that divide the cap */
};

/** Part of a cap that each bucket gets: in a window, the rates and capacities
 * of all shares together stay within the rule. @param rule window_ms and shares
 * are not 0 */
void bg_bucket_limits_init(struct bg_bucket_limits *out,
    const struct bg_quota_rule *rule, uint32_t rate_milli_per_s,
    uint32_t burst);

/** What a node may still use. */
struct bg_lease {
	uint64_t holder;  /**< identifies a process of a node */
	uint64_t seq;	  /**< of the last ask */
	uint32_t kept;	  /**< tokens usable until kept_end_ms */
	uint32_t instant; /**< further ones, usable until instant_end_ms */
	uint64_t kept_end_ms;
	uint64_t instant_end_ms;
};

struct bg_bucket {
	struct bg_bucket_limits limits;
	struct bg_bucket_limits lower; /**< that will hold from lower_due_ms */
	uint64_t lower_due_ms;	       /**< 0: there are none */
	uint64_t level_micro;
	uint64_t refilled_ms;
	struct bg_lease *leases;
	size_t lease_count;
	size_t lease_room;
};

/** An ask of a node for one organisation. */
struct bg_bucket_ask {
	uint64_t holder;
	uint64_t seq;	  /**< rises with each ask of the holder */
	uint32_t held;	  /**< tokens of earlier grants that are unused */
	uint32_t waiting; /**< calls that wait for a token */
	uint32_t spare;	  /**< tokens wanted for calls to come */
};

struct bg_bucket_grant {
	uint32_t kept;	  /**< of the held tokens, may be used on */
	uint32_t granted; /**< new tokens, first for the waiting calls */
	/** Use of the tokens, from when the ask was sent. */
	uint32_t valid_ms;
	uint32_t retry_after_ms; /**< if less was granted than waits: time
				  * until there is a token */
};

/** Creates a bucket that is refilled from a time on. @param level_micro tokens
 * at that time, at most the capacity */
void bg_bucket_init(struct bg_bucket *out,
    const struct bg_bucket_limits *limits, uint64_t level_micro,
    uint64_t now_ms);
/**
 * Creates the bucket of an owner. What earlier owners granted may be in use for
 * the length of a lease, and they may have granted a whole capacity just
 * before: the bucket starts empty after that, or full once a window has passed
 * as well.
 *
 * @param clean_ms earlier owners granted nothing after this
 */
void bg_bucket_start(struct bg_bucket *out,
    const struct bg_bucket_limits *limits, uint32_t window_ms,
    uint64_t clean_ms, uint64_t now_ms);
void bg_bucket_free(struct bg_bucket *bucket);
/**
 * Changes the limits. A raised cap is used at once. A lowered one binds after a
 * delay, since calls are owed by the old one until all nodes can know of the
 * new one; leases of the old cap have ended by then.
 */
void bg_bucket_set_limits(struct bg_bucket *bucket,
    const struct bg_bucket_limits *limits, uint32_t delay_ms, uint64_t now_ms);
/** The limits that were set last, also if they do not hold yet. */
const struct bg_bucket_limits *bg_bucket_last_limits(
    const struct bg_bucket *bucket);
/**
 * Grants tokens, and extends the lease of the kept ones.
 *
 * An ask that is not newer than the last one of its holder gets nothing.
 *
 * @return 0, or BG_ENOMEM if nothing was granted or kept
 */
int bg_bucket_ask(struct bg_bucket_grant *out, struct bg_bucket *bucket,
    const struct bg_bucket_ask *ask, uint64_t now_ms);
/** Tokens in the bucket and with nodes that may still use them, in millionths
 * of a call. */
uint64_t bg_bucket_usable_micro(const struct bg_bucket *bucket);
/** 1 if the bucket is full and no node holds a token of it. */
int bg_bucket_is_full(struct bg_bucket *bucket, uint64_t now_ms);

#endif
