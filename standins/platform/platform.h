#ifndef BG_STANDIN_PLATFORM_H
#define BG_STANDIN_PLATFORM_H

/** @file
 * State of the stand-in for the platform.
 */

#include "rate.h"
#include "serve.h"
#include "store.h"

#define CUTS_MAX 32
#define PREFIX_BYTES 32

enum outage {
	OUTAGE_NONE,
	OUTAGE_REFUSE, /**< answers 503 */
	OUTAGE_SILENT, /**< accepts and never answers */
};

struct call;

struct platform {
	struct serve serve;
	struct store store;
	struct rate reads;
	struct rate writes;
	struct call *watches; /**< waiting */
	uint32_t watch_count;
	enum outage outage;
	uint32_t delay_ms;	  /**< before a call is executed */
	uint32_t write_delay_ms;  /**< the same for writes, in addition */
	uint32_t answer_delay_ms; /**< after it was executed */
	uint32_t stale_lag_ms;	  /**< age of what stale watches see */
	uint32_t lose_next_write_answers;
	int is_mute_due; /**< open connections go silent after this answer */
	uint64_t lost_answers;
	uint64_t stale_reads;
	char cuts[CUTS_MAX][PREFIX_BYTES];
	size_t cut_count;
};

/** Serves the object API; arg is the struct platform. */
void platform_on_request(evhtp_request_t *req, void *arg);
/** POST /control and GET /stats. */
void platform_control(struct platform *plt, evhtp_request_t *req);
void platform_stats(struct platform *plt, evhtp_request_t *req);

/** 1 if calls from this address are swallowed. */
int platform_is_cut(const struct platform *plt, const char *ip);
/** Cuts all watches and refuses those that begin before now. */
void platform_drop_history(struct platform *plt);
/** Answers or forgets the waiting watches after a switch changed. */
void platform_review_watches(struct platform *plt);

#endif
