#ifndef BURDOCKGRADE_RECORD_H
#define BURDOCKGRADE_RECORD_H

/** @file
 * At-most-once records: the task that holds record groups of this node and
 * asks the holders of others. See section 7 of docs/design.md.
 */

#include <event2/event.h>

#include "burdockgrade/link.h"
#include "burdockgrade/mesh.h"
#include "burdockgrade/platform.h"
#include "burdockgrade/settings.h"

/** Groups of a data centre; fixed, since keys are placed by hash. */
#define BG_RECORD_GROUPS 64
/** Members that hold all records of a group. */
#define BG_RECORD_MEMBERS 3

struct bg_records;

struct bg_records_options {
	uint32_t version;
	struct event_base *base;
	const struct bg_settings *settings;
	struct bg_mesh *mesh;	       /**< VIEW items, roster, relay role */
	struct bg_platform *platform;  /**< records/DC, used by the relay */
	struct bg_link_server *server; /**< BEGIN, FINISH, COPY */
};

#define BG_RECORDS_OPTIONS_VERSION 1
#define BG_RECORDS_OPTIONS_INIT                                          \
	{                                                                \
		BG_RECORDS_OPTIONS_VERSION, NULL, NULL, NULL, NULL, NULL \
	}

int bg_records_init(struct bg_records **out,
    const struct bg_records_options *opts, struct bg_error *err);
void bg_records_free(struct bg_records *rcs);

/** Result of a begin. Exactly one of the statuses of enum bg_xbegin_status. */
struct bg_begin_result {
	enum bg_xbegin_status status;
	uint64_t grant; /**< BG_XBEGIN_GRANTED: pass it to the gatekeeper */
	uint32_t retry_after_ms; /**< BG_XBEGIN_NOT_RUN, BG_XBEGIN_RUNNING */
	const struct bg_xanswer
	    *answer;	    /**< BG_XBEGIN_DONE; NULL if not kept */
	const char *reason; /**< short text for logs and the answer */
};

typedef void (*bg_begin_fn)(void *arg, const struct bg_begin_result *res);

/**
 * Asks for permission to run the call with this key. The callback runs once,
 * from the loop.
 *
 * @param key scoped by the caller: "SERVICE/ROUTE/IDEMPOTENCY-KEY" with an
 *     optional home data centre prefix "DC/" in IDEMPOTENCY-KEY
 * @param request_digest xxh64 of method, path and body; another digest under
 *     the same key gives BG_XBEGIN_MISMATCH
 * @param wait_ms how long to wait for the outcome of a running call
 */
int bg_records_begin(struct bg_records *rcs, const char *key,
    uint64_t request_digest, uint32_t wait_ms, bg_begin_fn fn, void *arg);

/**
 * Stores the outcome of a granted call.
 *
 * @param outcome BG_XOUTCOME_NOT_RUN only if certainly nothing ran
 * @param answer may be NULL (too large, or none)
 */
int bg_records_finish(struct bg_records *rcs, const char *key, uint64_t grant,
    enum bg_xoutcome outcome, const struct bg_xanswer *answer);

/** Hands the records of this node over before a stop; done is called once
 * every group of this node has another member, or after the bound. */
void bg_records_drain(struct bg_records *rcs, uint32_t bound_ms,
    void (*done)(void *arg), void *arg);

#endif
