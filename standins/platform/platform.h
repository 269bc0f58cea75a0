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

/** What a watch reports as the store's revision. */
enum watch_at {
	WATCH_AT_DATA, /**< revision of the data that it sees */
	WATCH_AT_NOW,  /**< revision of the store, even if the data is older */
	WATCH_AT_CHANGE, /**< revision of its last event */
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
	uint32_t jitter_ms;	  /**< random delay before a call is executed */
	uint32_t page_objects;	  /**< objects of one page of a list */
	enum watch_at watch_at;
	int sends_every_change;	 /**< also those that a later one replaces */
	int is_chunked;		 /**< answers have no length */
	int closes_connections;	 /**< after each answer */
	int is_quiet;		 /**< watches hear of no change */
	int is_at_now_if_quiet;	 /**< quiet watches report the store's revision
				  */
	uint64_t quiet_revision; /**< at which the quiet began */
	uint32_t lose_next_write_answers;
	int is_mute_due; /**< open connections go silent after this answer */
	uint64_t lost_answers;
	uint64_t stale_reads;
	char cuts[CUTS_MAX][PREFIX_BYTES];
	size_t cut_count;
	char refused[CUTS_MAX][PREFIX_BYTES]; /**< they get 503 */
	size_t refused_count;
};

/** Serves the object API; arg is the struct platform. */
void platform_on_request(evhtp_request_t *req, void *arg);
/** POST /control and GET /stats. */
void platform_control(struct platform *plt, evhtp_request_t *req);
void platform_stats(struct platform *plt, evhtp_request_t *req);

/** 1 if calls from this address are swallowed. */
int platform_is_cut(const struct platform *plt, const char *ip);
/** 1 if calls from this address get 503. */
int platform_is_refused(const struct platform *plt, const char *ip);
/** Cuts all watches and refuses those that begin before now. */
void platform_drop_history(struct platform *plt);
/** The same; watches from the current revision are served. */
void platform_compact(struct platform *plt);
/** Begins or ends a time in which watches hear of no change. */
void platform_set_quiet(struct platform *plt, int is_quiet);
/** Answers or forgets the waiting watches after a switch changed. */
void platform_review_watches(struct platform *plt);

#endif
