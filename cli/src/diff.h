#ifndef BG_CLI_DIFF_H
#define BG_CLI_DIFF_H

#include <jansson.h>

#include "burdockgrade/contract.h"

/**
 * Describes the differences between two contracts of a service. No I/O.
 *
 * @param from NULL if the service is new
 * @return array of strings such as "slots a server: 6 -> 8"; empty if the
 *     contracts are the same
 */
json_t *bg_cli_diff_contracts(
    const struct bg_contract *from, const struct bg_contract *to);

#endif
