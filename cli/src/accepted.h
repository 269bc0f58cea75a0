#ifndef BG_CLI_ACCEPTED_H
#define BG_CLI_ACCEPTED_H

/** @file
 * Reads the accepted configuration from the platform, and the questionnaires
 * named on the command line.
 */

#include "burdockgrade/questionnaire.h"
#include "burdockgrade/snapshot.h"

#include "cli.h"

/** The accepted configuration. */
struct bg_cli_accepted {
	struct bg_head head;
	struct bg_contract *contracts; /**< one for each service of the head */
};

/**
 * Reads the head and all contracts.
 *
 * @param out empty if nothing was accepted yet, and after an error
 * @return 0 or an error with the reason in err
 */
int bg_cli_accepted_read(struct bg_cli_accepted *out,
    const struct bg_store_factory *factory, struct bg_error *err);
void bg_cli_accepted_free(struct bg_cli_accepted *acc);
/** @return NULL if the service is not accepted */
const struct bg_contract *bg_cli_accepted_find(
    const struct bg_cli_accepted *acc, const char *service);

struct bg_cli_questionnaires {
	struct bg_questionnaire *items;
	size_t count;
};

/**
 * Reads the questionnaires named by the arguments.
 *
 * @param out release it with bg_cli_questionnaires_free, also after an error
 * @param out_report errors of all files, NULL without any; free() it
 * @return 0, BG_ENOMEM, or the error of the first file that failed, which is
 *     BG_EINVAL if it is not readable
 */
int bg_cli_questionnaires_read(struct bg_cli_questionnaires *out,
    char **out_report, const struct bg_cli *cli, struct bg_error *err);
void bg_cli_questionnaires_free(struct bg_cli_questionnaires *qns);

#endif
