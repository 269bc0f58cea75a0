#ifndef BG_STORE_HISTORY_H
#define BG_STORE_HISTORY_H

/** @file
 * The history of changes. No I/O.
 */

#include "burdockgrade/change.h"

/** Entries kept (section 3 of docs/design.md). */
#define BG_HISTORY_MAX 200

/** @return a new reference, or NULL if out of memory */
json_t *bg_history_encode(const struct bg_history *hist);
/**
 * Inserts an entry in order of version, and drops the oldest one if there are
 * more than BG_HISTORY_MAX.
 *
 * @return 0 or BG_ENOMEM
 */
int bg_history_add(
    struct bg_history *hist, const struct bg_history_entry *entry);
/**
 * Adds entries for changes in the head that the history lacks because their
 * writer stopped after the update of the head.
 *
 * @return number of entries added, or a negative error code
 */
int bg_history_repair(struct bg_history *hist, const struct bg_head *head);
/**
 * Finds the revision that was in force before rev, leaving out revisions that
 * were withdrawn.
 *
 * @param rev revision in force
 * @return the revision, or 0 if the history does not contain it or rev
 */
uint64_t bg_history_previous(
    const struct bg_history *hist, const char *service, uint64_t rev);

#endif
