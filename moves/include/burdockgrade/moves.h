#ifndef BURDOCKGRADE_MOVES_H
#define BURDOCKGRADE_MOVES_H

/** @file
 * The moves task: statistics of this node, the verdict of its data centre when
 * it is the root, and the move holder role when it holds lease/moves.
 */

#include <event2/event.h>

#include "burdockgrade/mesh.h"
#include "burdockgrade/observe.h"
#include "burdockgrade/platform.h"
#include "burdockgrade/settings.h"

struct bg_moves;

struct bg_moves_options {
	uint32_t version;
	struct event_base *base;
	const struct bg_settings *settings;
	struct bg_mesh *mesh;
	struct bg_platform *platform;
};

#define BG_MOVES_OPTIONS_VERSION 1
#define BG_MOVES_OPTIONS_INIT                                    \
	{                                                        \
		BG_MOVES_OPTIONS_VERSION, NULL, NULL, NULL, NULL \
	}

int bg_moves_init(struct bg_moves **out, const struct bg_moves_options *opts,
    struct bg_error *err);
void bg_moves_free(struct bg_moves *mvs);
/** The observer to be given to the proxy. */
struct bg_observer *bg_moves_observer(struct bg_moves *mvs);

/**
 * Renders the status text of docs/status-text.md. Pure.
 *
 * @param snap may be NULL (not synced)
 * @param now_wall_ms wall clock, for the age
 * @param out free() it
 */
int bg_status_render(char **out, const struct bg_snapshot *snap,
    const struct bg_table *tbl, uint64_t now_wall_ms);
/** The same as JSON, for `burdockgrade status --json`. */
int bg_status_render_json(char **out, const struct bg_snapshot *snap,
    const struct bg_table *tbl, uint64_t now_wall_ms);

/** Burn data of this node as JSON, for `burdockgrade report burn`; served at
 * /burn. @param out free() it */
int bg_moves_burn_json(
    char **out, const struct bg_moves *mvs, uint64_t now_wall_ms);

#endif
