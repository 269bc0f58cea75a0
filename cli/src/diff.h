#ifndef BG_CLI_DIFF_H
#define BG_CLI_DIFF_H

#include <jansson.h>

#include "burdockgrade/contract.h"

/**
 * Describes the difference of two contracts of a service. Pure.
 *
 * @param from NULL if the service is new
 * @return array of strings as "slots: 6 -> 8"; empty if nothing differs
 */
json_t *bg_cli_diff_contracts(
    const struct bg_contract *from, const struct bg_contract *to);

#endif
