#ifndef BG_STATUS_COLD_H
#define BG_STATUS_COLD_H

/** @file
 * The servers in their warm-up, for the status text and its JSON. No I/O but to
 * the given stream.
 */

#include <jansson.h>
#include <stdio.h>

#include "burdockgrade/members.h"
#include "burdockgrade/snapshot.h"

/**
 * Prints a comment for each server that has started within the warm-up of its
 * service. A server that turned cold without a start is not known here; the
 * metrics of its node show it.
 *
 * @param now_ms wall clock
 */
void bg_status_print_cold(FILE *fp, const struct bg_snapshot *snap,
    const struct bg_roster *ros, uint64_t now_ms);
/** The same servers as an array. @return a new reference */
json_t *bg_status_cold_json(const struct bg_snapshot *snap,
    const struct bg_roster *ros, uint64_t now_ms);

#endif
