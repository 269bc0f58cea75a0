#ifndef BG_CONFIG_CONTRACT_SET_H
#define BG_CONFIG_CONTRACT_SET_H

/** @file
 * Checks across the contracts of several services.
 */

#include "burdockgrade/contract.h"

/** Finds a contract by service name. @return NULL if there is none */
const struct bg_contract *bg_contract_set_find(
    const struct bg_contract *const *set, size_t count, const char *name);
/**
 * Finds another service with a route of the same prefix and a common method.
 *
 * @return the contract of that service, or NULL
 */
const struct bg_contract *bg_contract_set_find_conflict(
    const struct bg_contract *const *set, size_t count,
    const struct bg_contract *ctr, const struct bg_route *rt);
/**
 * Checks that every dependency is in the set and that no two services have
 * conflicting routes. Dependency cycles are not checked here: the check before
 * an accept rejects them, and on a node the limit of the call depth bounds
 * them.
 *
 * @return 0, or BG_EINVAL with the reason in err
 */
int bg_contract_set_check(
    const struct bg_contract *const *set, size_t count, struct bg_error *err);
/**
 * Finds the shortest dependency cycle that contains a service.
 *
 * @param out_path filled with text such as "a -> b -> a" if there is a cycle; a
 *     cycle of more than BG_DEPENDENCIES_MAX services is abbreviated by "..."
 * @return 1 if there is a cycle, 0 if there is none, or BG_ENOMEM
 */
int bg_contract_set_cycle(char *out_path, size_t out_path_bytes,
    const struct bg_contract *const *set, size_t count, const char *name);

#endif
