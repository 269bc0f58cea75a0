#ifndef BG_CLI_STATE_H
#define BG_CLI_STATE_H

/** @file
 * What is accepted at the platform, and questionnaires to be compared with it.
 */

#include "burdockgrade/questionnaire.h"
#include "burdockgrade/snapshot.h"

#include "cli.h"

struct bg_cli_state {
	struct bg_head head;
	struct bg_contract *contracts; /**< one for each service of the head */
};

/** Reads head and contracts. @return 0 or a code with err set */
int bg_cli_state_read(struct bg_cli_state *out,
    const struct bg_store_factory *place, struct bg_error *err);
void bg_cli_state_free(struct bg_cli_state *state);
/** Accepted contract of a service, or NULL. */
const struct bg_contract *bg_cli_state_find(
    const struct bg_cli_state *state, const char *service);

struct bg_cli_files {
	struct bg_questionnaire *items;
	size_t count;
};

/**
 * Reads the questionnaires named by the arguments.
 *
 * @param out_report errors of all files, NULL without any; free() it
 * @return 0 or the code of the first faulty file
 */
int bg_cli_files_read(struct bg_cli_files *out, char **out_report,
    const struct bg_cli *cli, struct bg_error *err);
void bg_cli_files_free(struct bg_cli_files *files);

#endif
