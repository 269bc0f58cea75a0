#ifndef BURDOCKGRADE_MOVES_H
#define BURDOCKGRADE_MOVES_H

/** @file
 * The moves task. Each node judges the server beside it while its version is
 * new, and announces the verdict. From these verdicts and the time every node
 * can tell the next step of a move; one of them writes it, under the condition
 * that the move is as it was, so that no lease and no holder is needed.
 */

#include <event2/event.h>

#include "burdockgrade/mesh.h"
#include "burdockgrade/observe.h"
#include "burdockgrade/settings.h"

struct bg_moves;

/** What a move promises and allows. */
struct bg_move_terms {
	uint32_t take_over_ms; /**< promised time */
	uint32_t soak_ms;      /**< a done move stays watched this long */
	uint32_t first_share_permille;
	uint32_t max_error_permille; /**< above this a version is bad */
	/** A move begins by itself once servers of a version are ready that was
	 * not tried before. */
	int is_auto_start;
};

/** Writes the next state of a move. First member of what implements it. */
struct bg_move_writer {
	/**
	 * Replaces `from` by `to` unless another node changed the move.
	 *
	 * @param done runs once if 0 was returned, never within this function;
	 *     code BG_ECONFLICT: the move is another one by now
	 * @return 0 or a code
	 */
	int (*write)(struct bg_move_writer *writer, const char *service,
	    const struct bg_move *from, const struct bg_move *to,
	    void (*done)(void *arg, int code), void *arg);
};

struct bg_moves_options {
	uint32_t version;
	struct event_base *base;
	const struct bg_settings *settings;
	struct bg_mesh *mesh;
	struct bg_move_writer *writer; /**< NULL: moves are only followed */
	/** Tells the proxy of a move and of a bad version. */
	void (*on_move)(
	    void *arg, const char *service, const struct bg_move *move);
	void (*on_bad)(void *arg, const char *service,
	    const char *server_version, uint64_t generation);
	/** The server beside this node is not to be sent calls, or is again. */
	void (*on_suspend)(void *arg, int is_suspended);
	void *arg;
};

#define BG_MOVES_OPTIONS_VERSION 2

int bg_moves_init(struct bg_moves **out, const struct bg_moves_options *opts,
    struct bg_error *err);
void bg_moves_free(struct bg_moves *mvs);
/** The observer to be given to the proxy. */
struct bg_observer *bg_moves_observer(struct bg_moves *mvs);

/** Takes a move as the store has it. */
void bg_moves_set(struct bg_moves *mvs, const char *service,
    const struct bg_move *move, const struct bg_move_terms *terms);
/** The move of a service, or NULL. */
const struct bg_move *bg_moves_get(
    const struct bg_moves *mvs, const char *service);

/** Generation of the service's move if its version is known to be bad, else
 * 0. */
uint64_t bg_moves_bad_generation(
    const struct bg_moves *mvs, const char *service);

/** What the status text is made of. */
struct bg_status_knowledge {
	const struct bg_snapshot *snapshot; /**< NULL: not synced */
	const struct bg_moves *moves;
	const struct bg_state_summary *summaries; /**< of a census */
	size_t summary_count;
	uint64_t now_wall_ms; /**< for the age */
};

/** Renders the status text of docs/status-text.md. @param out free() it */
int bg_status_render(char **out, const struct bg_status_knowledge *know);
/** The same as JSON, for `burdockgrade status --json`. */
int bg_status_render_json(char **out, const struct bg_status_knowledge *know);

/** Burn data of this node as JSON, for `burdockgrade report burn`; served at
 * /burn. @param out free() it */
int bg_moves_burn_json(
    char **out, const struct bg_moves *mvs, uint64_t now_wall_ms);

#endif
