#ifndef BG_CONFIG_WORDS_H
#define BG_CONFIG_WORDS_H

#include <jansson.h>

#include "burdockgrade/contract.h"

/** Words of enum bg_criticality, in its order, and NULL. */
extern const char *const BG_CRITICALITY_WORDS[];
/** Words of enum bg_method, in the order of the bits, and NULL. */
extern const char *const BG_METHOD_WORDS[];

/** @return NULL if a string is not UTF-8 or memory is exhausted */
json_t *bg_contract_to_json(const struct bg_contract *ctr);
int bg_contract_from_json(
    struct bg_contract *out, const json_t *value, struct bg_error *err);

#endif
