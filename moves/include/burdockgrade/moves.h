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
	/** Time from the start of the move to its deadline. A move that is
	 * still in progress then is rolled back. */
	uint32_t take_over_ms;
	uint32_t soak_ms; /**< monitoring period after a move is done */
	uint32_t first_share_permille; /**< traffic share of the first step */
	uint32_t max_error_permille;   /**< tolerated share of failed calls */
	/** Start a move without an operator when a ready server has a version
	 * that neither served nor was tried before. The first version of a
	 * service takes over at once, even if this is 0. */
	int is_auto_start;
};

/** Writes the steps of moves to the store. Implementations embed this as their
 * first member. */
struct bg_move_writer {
	/**
	 * Replaces the stored move `from` by `to`. Fails with BG_ECONFLICT if
	 * the stored move differs from `from` in its generation, state or step,
	 * whether another node or an operator changed it. An implementation may
	 * report BG_ECONFLICT for other changes of the stored object, too.
	 *
	 * @param service,from,to copied; need to be valid during the call only
	 * @param done called once if 0 was returned, never from within this
	 *     function; code is 0, BG_ECONFLICT or another error code
	 * @return 0 or an error code, BG_ECONFLICT included
	 */
	int (*write)(struct bg_move_writer *writer, const char *service,
	    const struct bg_move *from, const struct bg_move *to,
	    void (*done)(void *arg, int code), void *arg);
};

struct bg_moves_options {
	uint32_t version; /**< set to BG_MOVES_OPTIONS_VERSION */
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

/** Version of struct bg_moves_options. Raise it when a field is added, removed
 * or given another meaning. bg_moves_init() does not check it. */
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
/** @return the move of a service, or NULL if none was set. The pointer is valid
 * until bg_moves_free(); bg_moves_set() overwrites the move it points to. */
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
	const struct bg_roster *roster; /**< NULL: cold servers are not named */
	/** One for each data centre. */
	const struct bg_state_summary *summaries;
	size_t summary_count;
	const struct bg_emptied_set *emptied; /**< NULL: none */
	/** Time of the report by the wall clock. Only the ages of the summaries
	 * are computed from it; the age of a service's line is that of the
	 * oldest summary. */
	uint64_t now_wall_ms;
};

/** Renders the text that docs/status-text.md specifies.
 * @param out the caller frees it, also after an error
 * @return 0 or BG_ENOMEM */
int bg_status_render(char **out, const struct bg_status_input *in);
/** Renders the JSON that `burdockgrade status --json` prints.
 * @param out the caller frees it; NULL after an error
 * @return 0 or BG_ENOMEM */
int bg_status_render_json(char **out, const struct bg_status_input *in);

/**
 * Renders as JSON the calls and failed calls of the backend server beside this
 * node, by service, route, server version and minute. Served at /burn;
 * `burdockgrade report burn` adds up the counts of all nodes and compares them
 * with the failures that the objective of each service allows (burn.h).
 *
 * @param out the caller frees it; NULL after an error
 * @param now_wall_ms ignored, since each count carries its minute; any value
 * may be passed
 * @return 0 or BG_ENOMEM
 */
int bg_moves_burn_json(
    char **out, const struct bg_moves *mvs, uint64_t now_wall_ms);

#endif
