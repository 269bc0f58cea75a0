#ifndef BURDOCKGRADE_EMPTIED_H
#define BURDOCKGRADE_EMPTIED_H

/** @file
 * Emptied data centres: the operator asks that no new call is sent to the
 * backend servers of a data centre, until that is taken back. A report of
 * either travels as an item of the replicated table, ordered by the store's
 * revision. No I/O.
 */

#include <stddef.h>
#include <stdint.h>

#include "burdockgrade/contract.h"
#include "burdockgrade/table.h"

/** Kind of the store's objects that are named after emptied data centres, where
 * no platform has a kind of its own. */
#define BG_EMPTIED_KIND "burdock-emptied"
/** Data centres of which reports are kept. */
#define BG_EMPTIED_MAX 16

/** What the store showed of one data centre. */
struct bg_emptied {
	char data_centre[BG_NAME_BYTES];
	uint64_t revision; /**< of the store, as of which the report holds */
	int is_emptied;	   /**< 0: taken back */
	uint64_t since_ms; /**< wall clock of the node that first knew of the
				emptying; 0 if it was taken back */
};

/** The latest report of each data centre. Zero-initialized, it is empty. */
struct bg_emptied_set {
	struct bg_emptied reports[BG_EMPTIED_MAX];
	size_t count;
};

enum bg_emptied_change {
	BG_EMPTIED_UNCHANGED,
	BG_EMPTIED_STARTED,
	BG_EMPTIED_REPEATED, /**< taken back and emptied again in between */
	BG_EMPTIED_ENDED,
};

/**
 * Fills the item of a report. Of two reports as of one revision the taking back
 * wins, and of two of one emptying the earlier time.
 *
 * @param out its key points into report; it has no value
 */
void bg_emptied_to_item(struct bg_item *out, const struct bg_emptied *report);
/** Decodes an item. @return 0, or BG_EPROTO if the key is too long */
int bg_emptied_from_item(struct bg_emptied *out, const struct bg_item *item);

/**
 * Applies a report, unless a newer one of its data centre is known.
 *
 * @param out_change set in any case
 * @return 0, or BG_ELIMIT if BG_EMPTIED_MAX other data centres are known
 */
int bg_emptied_set_apply(enum bg_emptied_change *out_change,
    struct bg_emptied_set *set, const struct bg_emptied *report);
/** Latest report of a data centre, or NULL. */
const struct bg_emptied *bg_emptied_set_find(
    const struct bg_emptied_set *set, const char *data_centre);
/** 1 if the data centre is emptied. */
int bg_emptied_set_contains(
    const struct bg_emptied_set *set, const char *data_centre);
/** Number of emptied data centres. */
size_t bg_emptied_set_count(const struct bg_emptied_set *set);

#endif
