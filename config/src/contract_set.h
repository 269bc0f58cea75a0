#ifndef BG_CONFIG_CONTRACT_SET_H
#define BG_CONFIG_CONTRACT_SET_H

#include "burdockgrade/contract.h"

/** Finds a contract by service name, or NULL. */
const struct bg_contract *bg_contract_set_find(
    const struct bg_contract *const *set, size_t count, const char *name);
/**
 * Finds a route of another service with the same prefix and a common method.
 *
 * @return the contract of that service, or NULL
 */
const struct bg_contract *bg_contract_set_find_conflict(
    const struct bg_contract *const *set, size_t count,
    const struct bg_contract *ctr, const struct bg_route *rt);
/**
 * Checks that each dependency is present and that no two services share a
 * route. Cycles are left to the check before an accept: the call depth bounds
 * them on a node.
 */
int bg_contract_set_check(
    const struct bg_contract *const *set, size_t count, struct bg_error *err);
/**
 * Finds a dependency cycle that passes through a service.
 *
 * @param out_path text like "a -> b -> a", filled if there is one
 * @return 1 if there is one, 0, or BG_ENOMEM
 */
int bg_contract_set_cycle(char *out_path, size_t out_path_bytes,
    const struct bg_contract *const *set, size_t count, const char *name);

#endif
