#ifndef BG_CLI_EMPTIED_H
#define BG_CLI_EMPTIED_H

/** @file
 * Emptied data centres in the burn report, as a node's status shows them.
 */

#include <stdio.h>

#include "cli.h"

/**
 * Fetches the emptied data centres from the first node that responds.
 *
 * @param out a new array, empty if there are none; NULL after an error
 * @return 0, or the error of bg_cli_node_fetch or BG_EPROTO, with a message
 */
int bg_cli_emptied_fetch(
    json_t **out, const struct bg_cli *cli, struct bg_error *err);
/** Prints a sentence for each emptied data centre, between two texts.
 * @param emptied NULL: unknown, nothing is printed */
void bg_cli_emptied_print(
    FILE *fp, const json_t *emptied, const char *before, const char *after);

#endif
