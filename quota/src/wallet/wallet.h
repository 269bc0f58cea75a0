#ifndef BG_QUOTA_WALLET_H
#define BG_QUOTA_WALLET_H

/** @file
 * Tokens of one organisation that a node holds from one bucket. Pure: takes the
 * time and does no I/O.
 *
 * A node has at most one ask to a bucket under way. It never accepts the reply
 * to an ask that it has given up, and a token is used once.
 */

#include <stdint.h>

struct bg_wallet {
	uint32_t held;
	uint64_t tenure;       /**< of the owner that granted them */
	uint64_t valid_end_ms; /**< held tokens are lost at this time */
	uint64_t dry_end_ms;   /**< until then the bucket is known to be empty;
				* 0: it is not */
	uint32_t asked_held;   /**< held tokens that the ask reported */
	uint32_t asked_waiting;
	double rate_per_s;   /**< of recent arrivals */
	uint64_t arrived_ms; /**< last arrival; 0: none */
};

/** What an ask reports and wants. */
struct bg_wallet_ask {
	uint32_t held;
	uint32_t waiting;
	uint32_t spare;
};

/** The reply to an ask. */
struct bg_wallet_grant {
	uint64_t tenure;
	uint32_t kept;
	uint32_t granted;
	uint32_t valid_ms; /**< from the moment at which the ask was sent */
	uint32_t retry_after_ms;
};

/** Counts an arrival, for the number of spare tokens to ask for. */
void bg_wallet_count(struct bg_wallet *wal, uint64_t now_ms);
/** Uses a token. @return 1, or 0 if none is held */
int bg_wallet_take(struct bg_wallet *wal, uint64_t now_ms);
/** 1 if tokens should be asked for although no call waits for one. */
int bg_wallet_is_low(const struct bg_wallet *wal, uint64_t now_ms);
/** 1 if the bucket was empty a short time ago. */
int bg_wallet_is_dry(const struct bg_wallet *wal, uint64_t now_ms);
/** Fills an ask. Its reply goes to bg_wallet_settle(), unless it is given up.
 */
void bg_wallet_fill_ask(struct bg_wallet_ask *out, struct bg_wallet *wal,
    uint32_t waiting, uint64_t now_ms);
/**
 * Takes the reply to the last ask.
 *
 * @param sent_ms time at which the ask was sent
 * @return tokens for calls that waited at that time. They have to be used now
 *     or are lost.
 */
uint32_t bg_wallet_settle(struct bg_wallet *wal,
    const struct bg_wallet_grant *grant, uint64_t sent_ms, uint64_t now_ms);

#endif
