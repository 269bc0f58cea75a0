#ifndef BG_CONFIG_RULE_ORDER_H
#define BG_CONFIG_RULE_ORDER_H

/** @file
 * Order of what a snapshot holds. Rules are sorted by host, then by prefix
 * without its trailing slash, so that a lookup finds the rules of one path side
 * by side.
 */

#include "burdockgrade/snapshot.h"

/** Length of a prefix without its trailing slash; 0 for the root. */
size_t bg_prefix_bytes(const char *prefix);
/** Compares a rule with a host and a path of some length.
 * @return <0, 0 or >0, as strcmp */
int bg_rule_compare_key(const struct bg_rule *rule, const char *host,
    const char *path, size_t path_bytes);
/** Order of two rules. */
int bg_rule_compare(const struct bg_rule *a, const struct bg_rule *b);
/** 1 if two rules, neighbours in their order, match the same calls. */
int bg_rule_conflicts(const struct bg_rule *a, const struct bg_rule *b);

/** Order of two services by name, for qsort. */
int bg_service_compare(const void *a, const void *b);

#endif
