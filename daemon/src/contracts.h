#ifndef BG_DAEMON_CONTRACTS_H
#define BG_DAEMON_CONTRACTS_H

/** @file
 * The configuration that operators make from questionnaires: where it is kept,
 * and how the moves in it are followed and written.
 */

#include "burdockgrade/mesh.h"
#include "burdockgrade/moves.h"

/** Where the document of the accepted contracts is kept. */
struct bg_config_source *bg_contracts_source(void);

/** Writes moves into the head of the document. */
struct bg_contracts_writer {
	struct bg_move_writer writer; /**< first member: the vtable */
	struct bg_store *store;
	const char *name; /**< of the writer, in the head */
};

void bg_contracts_writer_init(
    struct bg_contracts_writer *out, struct bg_store *store, const char *name);
/** Tells the moves task of all moves of a snapshot. */
void bg_contracts_update_moves(
    struct bg_moves *mvs, const struct bg_snapshot *snap);

#endif
