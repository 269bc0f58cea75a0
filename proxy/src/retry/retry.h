#ifndef BG_PROXY_RETRY_H
#define BG_PROXY_RETRY_H

/** @file
 * Decides which calls may be retried, and keeps the retry budget of each
 * service: a share of its calls, plus a slack that is divided among all nodes.
 * Pure.
 */

#include <stdint.h>

#include <uthash.h>

#include "burdockgrade/contract.h"
#include "burdockgrade/settings.h"
#include "burdockgrade/wire_xdr.h"

/** Number of buckets in the sliding window. */
#define BG_RETRY_BUCKETS 10

struct bg_retry_service {
	char service[BG_NAME_BYTES];
	uint64_t bucket; /**< number of the current bucket since time 0 */
	uint32_t calls[BG_RETRY_BUCKETS];
	uint32_t retries[BG_RETRY_BUCKETS];
	UT_hash_handle hh;
};

struct bg_retry_budget {
	struct bg_retry_settings settings;
	uint32_t nodes; /**< among which the slack is divided */
	struct bg_retry_service *services;
};

void bg_retry_init(
    struct bg_retry_budget *out, const struct bg_retry_settings *settings);
void bg_retry_free(struct bg_retry_budget *bud);
/** Sets the number of nodes among which the slack is divided. */
void bg_retry_set_nodes(struct bg_retry_budget *bud, uint32_t nodes);
/** Counts a call, which adds to the budget of its service. */
void bg_retry_count_call(
    struct bg_retry_budget *bud, const char *service, uint64_t now_ms);
/** Counts a call that is made because another call was repeated. It is made in
 * any case, and uses the budget all the same. */
void bg_retry_count_repeat(
    struct bg_retry_budget *bud, const char *service, uint64_t now_ms);
/** Takes one retry from the budget. @return 1, or 0 if the budget is spent */
int bg_retry_take(
    struct bg_retry_budget *bud, const char *service, uint64_t now_ms);

/** State of a call after an attempt ended. */
struct bg_retry_context {
	enum bg_xoutcome outcome;
	uint32_t http_status; /**< 0: no answer */
	uint32_t sent;	      /**< backend servers the call was sent to */
	uint32_t attempts;    /**< backend servers it may be sent to */
	int is_idempotent;
	int is_dependency_failure; /**< a call that the backend server made
					failed */
};

/** 1 if the call may be sent to another server. */
int bg_retry_is_permitted(const struct bg_retry_context *rc);

#endif
