#ifndef BG_STORE_UPDATE_H
#define BG_STORE_UPDATE_H

/** @file
 * Identity of an update of the head: the writer and nonce in the head show
 * whether an update took effect if the response to it was lost. No I/O.
 */

#include "burdockgrade/snapshot.h"

/** Generates a random nonce. */
void bg_update_nonce(char out[BG_NONCE_BYTES]);
/**
 * Combines all changes since base_version into one update: the version of the
 * head is base_version + 1, and the head carries writer and nonce.
 */
void bg_update_finalize(struct bg_head *head, uint64_t base_version,
    const char *writer, const char *nonce);

enum bg_update_state {
	BG_UPDATE_APPLIED,    /**< the head contains the update */
	BG_UPDATE_PENDING,    /**< the document is unchanged; the write may
				   still take effect */
	BG_UPDATE_SUPERSEDED, /**< the head is that of another update */
};

/**
 * Determines the state of an update from the head that was read back.
 *
 * @param revision of the document that was read back
 * @param base_revision of the document that the update was based on
 */
enum bg_update_state bg_update_state(const struct bg_head *head,
    uint64_t revision, uint64_t base_revision, const char *writer,
    const char *nonce);

#endif
