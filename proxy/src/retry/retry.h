#ifndef BG_PROXY_RETRY_H
#define BG_PROXY_RETRY_H

/** @file
 * Which calls may be sent again, and the budget for it: a share of the calls of
 * a service, and a slack that all nodes divide among them. Pure.
 */

#include <stdint.h>

#include <uthash.h>

#include "burdockgrade/contract.h"
#include "burdockgrade/settings.h"
#include "burdockgrade/wire_xdr.h"

/** Parts into which the window is divided. */
#define BG_RETRY_BUCKETS 10

struct bg_retry_service {
	char service[BG_NAME_BYTES];
	uint64_t bucket; /**< number of the current part since time 0 */
	uint32_t calls[BG_RETRY_BUCKETS];
	uint32_t retries[BG_RETRY_BUCKETS];
	UT_hash_handle hh;
};

struct bg_retry_budget {
	struct bg_retry_settings settings;
	uint32_t nodes; /**< that share the slack */
	struct bg_retry_service *services;
};

void bg_retry_init(
    struct bg_retry_budget *out, const struct bg_retry_settings *settings);
void bg_retry_free(struct bg_retry_budget *bud);
/** Sets the number of nodes among which the slack is divided. */
void bg_retry_set_nodes(struct bg_retry_budget *bud, uint32_t nodes);
/** Counts a call of a service. */
void bg_retry_count_call(
    struct bg_retry_budget *bud, const char *service, uint64_t now_ms);
/** Takes one repeat from the budget. @return 1 if there was one */
int bg_retry_take(
    struct bg_retry_budget *bud, const char *service, uint64_t now_ms);

/** A call of which one try ended. */
struct bg_retry_context {
	enum bg_xoutcome outcome;
	uint32_t http_status; /**< 0: no answer */
	uint32_t sent;	      /**< servers that the call was written to */
	uint32_t attempts;    /**< servers that it may be written to */
	int is_idempotent;
};

/** 1 if the call may be sent to another server. */
int bg_retry_is_permitted(const struct bg_retry_context *rc);

#endif
