#ifndef BG_STATUS_COLD_H
#define BG_STATUS_COLD_H

/** @file
 * Comments of the status text that name the servers in their warm-up. No I/O
 * but to the given stream.
 */

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

#endif
