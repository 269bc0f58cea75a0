#ifndef BG_CLI_CONDITIONS_H
#define BG_CLI_CONDITIONS_H

/** @file
 * What limits the fleet at this moment, as a node's status shows it: emptied
 * data centres and cold backend servers. For the burn report.
 */

#include <stdio.h>

#include "cli.h"

/** Arrays of JSON objects. NULL: unknown. */
struct bg_cli_conditions {
	json_t *emptied;
	json_t *cold;
};

/**
 * Fetches the conditions from the first node that responds. A node of an
 * earlier build tells of none.
 *
 * @param out both NULL after an error
 * @return 0, or the error of bg_cli_node_fetch or BG_EPROTO, with a message
 */
int bg_cli_conditions_fetch(struct bg_cli_conditions *out,
    const struct bg_cli *cli, struct bg_error *err);
void bg_cli_conditions_free(struct bg_cli_conditions *cond);
/** Prints a sentence for each condition, between two texts. */
void bg_cli_conditions_print(FILE *fp, const struct bg_cli_conditions *cond,
    const char *before, const char *after);

#endif
