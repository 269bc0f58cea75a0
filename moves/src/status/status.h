#ifndef BG_STATUS_STATUS_H
#define BG_STATUS_STATUS_H

/** @file
 * What the status text says of one service. Pure.
 */

#include <stdint.h>

#include "burdockgrade/moves.h"

/** A data centre whose summary is older than this cannot be reached. An
 * unchanged summary is renewed each 5 s. */
#define BG_STATUS_FRESH_MS 12000

#define BG_DATA_CENTRES_MAX 16

/** The summaries that a node knows. */
struct bg_status_view {
	struct bg_summary summaries[BG_DATA_CENTRES_MAX];
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

int bg_status_view_init(struct bg_status_view *out, const struct bg_table *tbl,
    uint64_t now_wall_ms);

/** 1 if every data centre that can be reached holds this version everywhere. */
int bg_status_is_confirmed(const struct bg_status_view *view, uint64_t version);

/** Decides one line. @param mark_generation of a MARK on the move's version, 0
 * if there is none */
void bg_status_line(struct bg_status_line *out, const struct bg_service *svc,
    const struct bg_status_view *view, uint64_t mark_generation);

/** Generation of the MARK on a version, 0 if there is none. */
uint64_t bg_mark_generation(const struct bg_table *tbl, const char *service,
    const char *server_version);

#endif
