#ifndef BG_STORE_UPDATE_H
#define BG_STORE_UPDATE_H

/** @file
 * The marks of one update of the head.
 */

#include "burdockgrade/snapshot.h"

/** Fills a random nonce. */
void bg_update_nonce(char out[BG_NONCE_BYTES]);
/**
 * Turns the changes since base_version into one update: one version, with the
 * marks by which a lost answer is settled.
 */
void bg_update_finalize(struct bg_head *head, uint64_t base_version,
    const char *writer, const char *nonce);

enum bg_update_state {
	BG_UPDATE_APPLIED,    /**< the head carries the update */
	BG_UPDATE_PENDING,    /**< head unchanged: the write may still come */
	BG_UPDATE_SUPERSEDED, /**< another update was made */
};

/** Compares a head that was read back with the update of this writer. */
enum bg_update_state bg_update_state(const struct bg_head *head,
    uint64_t revision, uint64_t base_revision, const char *writer,
    const char *nonce);

#endif
