#ifndef BG_DAEMON_CONTRACTS_H
#define BG_DAEMON_CONTRACTS_H

/** @file
 * The product's own configuration, which operators make from questionnaires:
 * its source, and the tracking and writing of the moves in it. A node that the
 * platform manages uses bg_platform_config_source() and bg_platform_rollouts
 * instead.
 */

#include "burdockgrade/mesh.h"
#include "burdockgrade/moves.h"

/** Source of the document of the accepted contracts.
 * @return a static object */
struct bg_config_source *bg_contracts_source(void);

/** Writes the steps of moves to the head of the document. */
struct bg_contracts_writer {
	struct bg_move_writer writer; /**< first member: the vtable */
	struct bg_store *store;
	const char *name; /**< of this writer, recorded in the head */
};

/** @param name not copied */
void bg_contracts_writer_init(
    struct bg_contracts_writer *out, struct bg_store *store, const char *name);
/** Passes the moves of all services of a snapshot to the moves task. */
void bg_contracts_update_moves(
    struct bg_moves *mvs, const struct bg_snapshot *snap);

#endif
