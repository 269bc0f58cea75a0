#ifndef BG_STATUS_STATUS_H
#define BG_STATUS_STATUS_H

/** @file
 * What the status text says of one service. Pure.
 */

#include <stdint.h>

#include "burdockgrade/moves.h"

/** A data centre whose summary is older than this cannot be reached. */
#define BG_STATUS_FRESH_MS 12000

/** The summaries of a census. */
struct bg_status_view {
	struct bg_state_summary summaries[BG_DATA_CENTRES_MAX];
	size_t summary_count;
	uint64_t now_ms; /**< wall clock */
};

/** One line. */
struct bg_status_line {
	const char *state; /**< "done", "in progress" or "rolled back" */
	const char *service;
	const char *server_version; /**< what the line is about, or "-" */
	const char *serving;	    /**< version that serves now, or "-" */
	uint64_t config_version;
	uint64_t since_ms;
	uint64_t age_ms; /**< of the oldest summary */
	int is_late;
	const char *note;   /**< fixed word, or NULL */
	const char *reason; /**< of a rollback or refusal, or NULL */
};

void bg_status_view_init(struct bg_status_view *out,
    const struct bg_state_summary *summaries, size_t count,
    uint64_t now_wall_ms);

/** 1 if every data centre that can be reached holds this version everywhere. */
int bg_status_is_confirmed(const struct bg_status_view *view, uint64_t version);

/** Decides one line. @param bad_generation move whose version this node knows
 * to be bad, 0 if there is none */
void bg_status_line(struct bg_status_line *out, const struct bg_service *svc,
    const struct bg_status_view *view, uint64_t bad_generation);

#endif
