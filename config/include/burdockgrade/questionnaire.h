#ifndef BURDOCKGRADE_QUESTIONNAIRE_H
#define BURDOCKGRADE_QUESTIONNAIRE_H

/** @file
 * The questionnaire: a TOML file with an operator's answers for one service,
 * from which the service contract is generated.
 */

#include <stddef.h>
#include <stdint.h>

#include "burdockgrade/contract.h"

#define BG_QUESTIONNAIRE_PATH_BYTES 256

/** A generated contract, and the source lines of answers that are checked
 * against other contracts. Lines count from 1. */
struct bg_questionnaire {
	struct bg_contract contract;
	char path[BG_QUESTIONNAIRE_PATH_BYTES];
	uint32_t name_line;
	uint32_t route_lines[BG_ROUTES_MAX]; /**< of the path of each route */
	uint32_t dependencies_line;
};

/**
 * Reads a questionnaire file, checks every key and generates the contract.
 *
 * @param out_report one "FILE:LINE: KEY: expected ..." line for each error, to
 *     be freed by the caller; NULL if there are none
 * @return 0, BG_EINVAL (invalid answers), BG_EIO (file not readable) or
 *     BG_ENOMEM
 */
int bg_questionnaire_load(struct bg_questionnaire *out, char **out_report,
    const char *path, struct bg_error *err);
/**
 * Reads a questionnaire from memory, as bg_questionnaire_load().
 *
 * @param name used in place of the path in messages
 */
int bg_questionnaire_parse(struct bg_questionnaire *out, char **out_report,
    const char *name, const char *text, size_t text_bytes,
    struct bg_error *err);

/**
 * Checks questionnaires together with the accepted contracts. A questionnaire
 * replaces the accepted contract of the same service. Errors are two
 * questionnaires for one service, a dependency on a service that does not
 * exist, a dependency cycle, and two services with the same path and method.
 *
 * @param out_report as bg_questionnaire_load()
 * @return 0, BG_EINVAL with the first line of the report in err, or BG_ENOMEM
 */
int bg_questionnaire_validate_set(char **out_report,
    const struct bg_questionnaire *qns, size_t count,
    const struct bg_contract *accepted, size_t accepted_count,
    struct bg_error *err);

/**
 * Checks questionnaires against each other only, as
 * bg_questionnaire_validate_set(), when the accepted contracts are not
 * available. A dependency on a service outside of the set is not an error.
 */
int bg_questionnaire_validate_partial_set(char **out_report,
    const struct bg_questionnaire *qns, size_t count, struct bg_error *err);

/**
 * Generates a questionnaire that explains every question. Required answers
 * are left empty, so that the template itself does not pass the check.
 *
 * @param out to be freed by the caller; NULL on error
 * @return 0, BG_EINVAL if service is not a valid name, or BG_ENOMEM
 */
int bg_questionnaire_template(char **out, const char *service);

#endif
