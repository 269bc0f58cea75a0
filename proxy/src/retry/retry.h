#ifndef BG_PROXY_RETRY_H
#define BG_PROXY_RETRY_H

/** @file
 * Retry budget of a node and the rule that decides on a retry. Pure.
 */

#include <stdint.h>

#include "burdockgrade/wire_xdr.h"

/** Seconds of calls on which the budget is based. */
#define BG_RETRY_WINDOW_S 10
/** Retries for each 1000 calls of the window. */
#define BG_RETRY_PERMILLE 100
/** Retries allowed in the window whatever the number of calls, so that a node
 * with little traffic can replace a failed call. */
#define BG_RETRY_FLOOR 3
/** Attempts of one call, the first included. */
#define BG_RETRY_ATTEMPTS 3

struct bg_retry_budget {
	uint64_t second;
	uint32_t calls[BG_RETRY_WINDOW_S];
	uint32_t retries[BG_RETRY_WINDOW_S];
};

void bg_retry_init(struct bg_retry_budget *out);
/** Counts a call that entered at this node. */
void bg_retry_call(struct bg_retry_budget *bud, uint64_t now_ms);
/** Takes one retry out of the budget. @return 1 if there was one */
int bg_retry_take(struct bg_retry_budget *bud, uint64_t now_ms);

struct bg_retry_case {
	enum bg_xoutcome outcome;
	uint32_t http_status;
	uint32_t attempt; /**< attempts made so far */
	uint32_t depth;	  /**< above 0: the entry node of the chain retries */
	int is_idempotent;
};

/** 1 if a retry is permitted by the rules, the budget aside. */
int bg_retry_is_permitted(const struct bg_retry_case *rc);

#endif
