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

/** A contract and the lines of the answers it came from. */
struct bg_questionnaire {
	struct bg_contract contract;
	char path[BG_QUESTIONNAIRE_PATH_BYTES];
	uint32_t name_line;
	uint32_t route_lines[BG_ROUTES_MAX]; /**< of each route's path */
	uint32_t dependencies_line;
};

/**
 * Reads a file, checks every key and generates the contract.
 *
 * @param out_report one "FILE:LINE: KEY: expected ..." line for each error;
 *     NULL without any; free() it
 * @return 0, BG_EINVAL (wrong answers), BG_EIO (not readable) or BG_ENOMEM
 */
int bg_questionnaire_load(struct bg_questionnaire *out, char **out_report,
    const char *path, struct bg_error *err);
/** The same from memory. @param name stands for the path in messages */
int bg_questionnaire_parse(struct bg_questionnaire *out, char **out_report,
    const char *name, const char *text, size_t text_bytes,
    struct bg_error *err);

/**
 * Checks questionnaires together with the accepted contracts. A questionnaire
 * replaces the accepted contract of the same service. Errors are: a service
 * answered twice, a dependency on a service that does not exist, a dependency
 * cycle, two services with one path and method.
 *
 * @param out_report as above
 * @return 0, BG_EINVAL or BG_ENOMEM
 */
int bg_questionnaire_validate_set(char **out_report,
    const struct bg_questionnaire *qns, size_t count,
    const struct bg_contract *accepted, size_t accepted_count,
    struct bg_error *err);

/** Checks questionnaires among themselves, without what is accepted. A
 * dependency on a service outside of the set is no error then. */
int bg_questionnaire_validate_partial_set(char **out_report,
    const struct bg_questionnaire *qns, size_t count, struct bg_error *err);

/**
 * Writes a questionnaire in which every question is explained and every
 * required answer is empty, so that it does not pass the check as it is.
 *
 * @param out free() it
 * @return 0, BG_EINVAL if service is not a name, or BG_ENOMEM
 */
int bg_questionnaire_template(char **out, const char *service);

#endif
