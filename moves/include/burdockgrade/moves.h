#ifndef BURDOCKGRADE_MOVES_H
#define BURDOCKGRADE_MOVES_H

/** @file
 * The moves task: canary analysis and stepwise rollout of server versions.
 *
 * A move shifts the traffic of a service to a new backend server version. Each
 * node judges the answers of the backend server beside it and announces a
 * verdict to the mesh. The next step of a move is a function of the verdicts
 * and the time, so every node computes the same step. One of them writes it,
 * under the condition that the stored move is unchanged; neither a lease nor a
 * leader is needed.
 */

#include <event2/event.h>

#include "burdockgrade/mesh.h"
#include "burdockgrade/observe.h"
#include "burdockgrade/settings.h"

struct bg_moves;

/** Limits of a move. */
struct bg_move_policy {
	uint32_t take_over_ms; /**< time from the start to the deadline */
	uint32_t soak_ms;      /**< monitoring period after a move is done */
	uint32_t first_share_permille; /**< traffic share of the first step */
	uint32_t max_error_permille;   /**< tolerated share of failed calls */
	/** Start a move without an operator once servers of a version are ready
	 * that was not tried before. */
	int is_auto_start;
};

/** Writes the steps of moves to the store. Implementations embed this as their
 * first member. */
struct bg_move_writer {
	/**
	 * Replaces `from` by `to` unless another node has changed the move.
	 *
	 * @param done called once if 0 was returned, never from within this
	 *     function; code is 0, BG_ECONFLICT if the stored move no longer is
	 *     `from`, or another error code
	 * @return 0 or an error code, BG_ECONFLICT included
	 */
	int (*write)(struct bg_move_writer *writer, const char *service,
	    const struct bg_move *from, const struct bg_move *to,
	    void (*done)(void *arg, int code), void *arg);
};

struct bg_moves_options {
	uint32_t version; /**< BG_MOVES_OPTIONS_VERSION */
	struct event_base *base;
	const struct bg_settings *settings;
	struct bg_mesh *mesh;
	struct bg_move_writer *writer; /**< NULL: steps are not written */
	/** A move is new or reached another step or state. */
	void (*on_move)(
	    void *arg, const char *service, const struct bg_move *move);
	/** The verdicts show that a version is bad; once for each move. */
	void (*on_bad_version)(void *arg, const char *service,
	    const char *server_version, uint64_t generation);
	/** Calls to the server beside this node must stop (1) or may resume. */
	void (*on_suspend)(void *arg, int is_suspended);
	void *arg;
};

#define BG_MOVES_OPTIONS_VERSION 2

/** @param opts copied @return 0 or BG_ENOMEM */
int bg_moves_init(struct bg_moves **out, const struct bg_moves_options *opts,
    struct bg_error *err);
void bg_moves_free(struct bg_moves *mvs);
/** Observer to pass to the proxy, owned by mvs. */
struct bg_observer *bg_moves_observer(struct bg_moves *mvs);

/** Sets the state of a service's move, as read from the store. If memory is
 * exhausted, the error is logged and a new service is not tracked. */
void bg_moves_set(struct bg_moves *mvs, const char *service,
    const struct bg_move *move, const struct bg_move_policy *policy);
/** @return the move of a service, or NULL if none was set; bg_moves_set()
 * changes it */
const struct bg_move *bg_moves_get(
    const struct bg_moves *mvs, const char *service);

/** @return generation of the service's move if its version is known to be bad,
 * else 0 */
uint64_t bg_moves_bad_generation(
    const struct bg_moves *mvs, const char *service);

/** Data that a status report is rendered from. */
struct bg_status_input {
	const struct bg_snapshot *snapshot; /**< NULL: not synced */
	const struct bg_moves *moves;
	const struct bg_state_summary
	    *summaries; /**< one for each data centre */
	size_t summary_count;
	uint64_t now_wall_ms; /**< wall clock, for the age of the summaries */
};

/** Renders the text that docs/status-text.md specifies.
 * @param out free() it @return 0 or BG_ENOMEM */
int bg_status_render(char **out, const struct bg_status_input *in);
/** Renders the JSON that `burdockgrade status --json` prints.
 * @param out free() it @return 0 or BG_ENOMEM */
int bg_status_render_json(char **out, const struct bg_status_input *in);

/** Renders the error-budget counts of this node as JSON, served at /burn for
 * `burdockgrade report burn`.
 * @param out free() it @param now_wall_ms not used @return 0 or BG_ENOMEM */
int bg_moves_burn_json(
    char **out, const struct bg_moves *mvs, uint64_t now_wall_ms);

#endif
