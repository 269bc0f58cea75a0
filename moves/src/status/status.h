#ifndef BG_STATUS_STATUS_H
#define BG_STATUS_STATUS_H

/** @file
 * Computes the fields of a service's status line. No I/O.
 */

#include <stdint.h>

#include "burdockgrade/moves.h"

/** A data centre whose summary is older than this counts as unreachable. */
#define BG_STATUS_SUMMARY_MAX_AGE_MS 12000

/** Summaries of all data centres. */
struct bg_status_view {
	struct bg_state_summary summaries[BG_DATA_CENTRES_MAX];
	size_t summary_count;
	uint64_t now_ms; /**< wall clock */
};

/** Fields of one status line; docs/status-text.md defines them. */
struct bg_status_line {
	const char *state; /**< "done", "in progress" or "rolled back" */
	const char *service;
	const char *server_version; /**< subject of the line, or "-" */
	const char *serving;	    /**< version that serves now, or "-" */
	uint64_t config_version;
	uint64_t since_ms;  /**< wall clock */
	uint64_t age_ms;    /**< of the oldest summary */
	int is_late;	    /**< the deadline cannot be met safely */
	const char *note;   /**< one of the fixed words, or NULL */
	const char *reason; /**< of a rollback or refusal, or NULL */
};

/** @param summaries copied, at most BG_DATA_CENTRES_MAX */
void bg_status_view_init(struct bg_status_view *out,
    const struct bg_state_summary *summaries, size_t count,
    uint64_t now_wall_ms);

/** 1 if all reachable data centres confirmed at least this version; 0 also if
 * none is reachable. */
int bg_status_is_confirmed(const struct bg_status_view *view, uint64_t version);

/** Computes the line of a service.
 * @param out refers to strings of svc and view
 * @param bad_generation generation of the move whose version this node knows
 *     to be bad, or 0 */
void bg_status_line(struct bg_status_line *out, const struct bg_service *svc,
    const struct bg_status_view *view, uint64_t bad_generation);

#endif
