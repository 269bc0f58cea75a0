#ifndef BG_CONFIG_RULE_ORDER_H
#define BG_CONFIG_RULE_ORDER_H

/** @file
 * Sort order of the services and rules of a snapshot. Rules are sorted by host,
 * then by prefix without its trailing slash, so that a binary search finds all
 * rules of one host and path next to each other.
 */

#include "burdockgrade/snapshot.h"

/** Length of a prefix without its trailing slash; 0 for the root. */
size_t bg_prefix_bytes(const char *prefix);
/**
 * Compares the sort key of a rule with a host and a path.
 *
 * @param path_bytes length of the part of the path to compare
 * @return <0, 0 or >0, as strcmp()
 */
int bg_rule_compare_key(const struct bg_rule *rule, const char *host,
    const char *path, size_t path_bytes);
/** Compares two rules by sort key, then by name.
 * @return <0, 0 or >0, as strcmp() */
int bg_rule_compare(const struct bg_rule *a, const struct bg_rule *b);
/** @return 1 if two rules have the same host and prefix and a common method */
int bg_rule_conflicts(const struct bg_rule *a, const struct bg_rule *b);

/** Compares two struct bg_service by name, for qsort(). */
int bg_service_compare(const void *a, const void *b);

#endif
