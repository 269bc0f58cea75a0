#ifndef BURDOCKGRADE_ORGANISATIONS_H
#define BURDOCKGRADE_ORGANISATIONS_H

/** @file
 * The organisations of a configuration, and the table that maps a key to its
 * organisation. A set is immutable and shared by all snapshots whose
 * organisations are the same. Keys are secrets: no function returns one, and no
 * message contains one.
 */

#include <stddef.h>

#include "burdockgrade/error.h"
#include "burdockgrade/snapshot.h"

/** Longest key. A longer one is invalid in a configuration, and unknown in a
 * request. */
#define BG_KEY_MAX_BYTES 256

struct bg_organisations;

/** Input of bg_organisations_init(). */
struct bg_organisation_draft {
	struct bg_organisation organisation;
	const char *const *keys;
	size_t key_count;
};

/**
 * Builds a set. Each name and key must have visible ASCII characters only, so
 * that it can be the value of a header. A key that two organisations share is
 * refused, since it would not tell who calls. An organisation may have no key.
 *
 * @param out to be released by bg_organisations_release(); NULL on error
 * @param drafts copied; names are unique
 * @return 0, BG_EINVAL or BG_ENOMEM, with the reason in err
 */
int bg_organisations_init(struct bg_organisations **out,
    const struct bg_organisation_draft *drafts, size_t count,
    struct bg_error *err);
/** Adds a reference. @param set may be NULL @return set */
struct bg_organisations *bg_organisations_acquire(struct bg_organisations *set);
/** Drops a reference; the last one erases the keys and frees the set.
 * @param set may be NULL */
void bg_organisations_release(struct bg_organisations *set);

/** @return 1 if both sets have the same organisations, with the same keys in
 *     the same order */
int bg_organisations_equal(
    const struct bg_organisations *a, const struct bg_organisations *b);
/** The organisations, sorted by name. */
struct bg_organisation *bg_organisations_items(
    const struct bg_organisations *set, size_t *out_count);
/** Number of keys of the organisation with this index. */
size_t bg_organisations_key_count(
    const struct bg_organisations *set, size_t index);
/**
 * Finds the organisation that holds a key, by one hash look-up. The time does
 * not depend on how much of the key equals a known one.
 *
 * @return NULL if no organisation holds it
 */
const struct bg_organisation *bg_organisations_find(
    const struct bg_organisations *set, const char *key);

/**
 * Renders the organisations of a snapshot as JSON, with key counts and without
 * keys, for operators.
 *
 * @param out free() it; NULL on error
 * @param snap NULL: no configuration is in force
 * @return 0 or BG_ENOMEM
 */
int bg_organisations_render(char **out, const struct bg_snapshot *snap);

#endif
