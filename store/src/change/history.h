#ifndef BG_STORE_HISTORY_H
#define BG_STORE_HISTORY_H

/** @file
 * The history of changes. Pure.
 */

#include "burdockgrade/change.h"

/** Entries kept (section 3 of docs/design.md). */
#define BG_HISTORY_MAX 200

/** @return a new reference, or NULL if out of memory */
json_t *bg_history_encode(const struct bg_history *hist);
/** Inserts by version and drops the oldest above the maximum. */
int bg_history_add(
    struct bg_history *hist, const struct bg_history_entry *entry);
/**
 * Adds what the head shows and the history lacks, because a writer ended
 * between the two.
 *
 * @return number of entries added, or a negative code
 */
int bg_history_repair(struct bg_history *hist, const struct bg_head *head);
/**
 * The revision that was in force before the present one, without those that
 * were withdrawn.
 *
 * @return 0 if the history does not reach back far enough
 */
uint64_t bg_history_previous(
    const struct bg_history *hist, const char *service, uint64_t rev);

#endif
