#ifndef BG_STATUS_EMPTIED_H
#define BG_STATUS_EMPTIED_H

/** @file
 * Emptied data centres in the status of a node, with the calls that still run
 * there.
 */

#include <jansson.h>
#include <stdio.h>

#include "burdockgrade/moves.h"

/** Prints a comment for each emptied data centre. */
void bg_status_print_emptied(FILE *fp, const struct bg_status_input *in);
/** @return a new array, or NULL if memory is exhausted */
json_t *bg_status_emptied_json(const struct bg_status_input *in);

#endif
