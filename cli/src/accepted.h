#ifndef BG_CLI_ACCEPTED_H
#define BG_CLI_ACCEPTED_H

/** @file
 * What is accepted at the platform, and questionnaires to be compared with it.
 */

#include "burdockgrade/questionnaire.h"
#include "burdockgrade/snapshot.h"

#include "cli.h"

struct bg_cli_accepted {
	struct bg_head head;
	struct bg_contract *contracts; /**< one for each service of the head */
};

/** Reads head and contracts. @return 0 or a code with err set */
int bg_cli_accepted_read(struct bg_cli_accepted *out,
    const struct bg_store_factory *factory, struct bg_error *err);
void bg_cli_accepted_free(struct bg_cli_accepted *acc);
/** Accepted contract of a service, or NULL. */
const struct bg_contract *bg_cli_accepted_find(
    const struct bg_cli_accepted *acc, const char *service);

struct bg_cli_questionnaires {
	struct bg_questionnaire *items;
	size_t count;
};

/**
 * Reads the questionnaires named by the arguments.
 *
 * @param out_report errors of all files, NULL without any; free() it
 * @return 0 or the code of the first faulty file
 */
int bg_cli_questionnaires_read(struct bg_cli_questionnaires *out,
    char **out_report, const struct bg_cli *cli, struct bg_error *err);
void bg_cli_questionnaires_free(struct bg_cli_questionnaires *qns);

#endif
