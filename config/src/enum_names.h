#ifndef BG_CONFIG_ENUM_NAMES_H
#define BG_CONFIG_ENUM_NAMES_H

/** @file
 * Names of enum values in JSON and in questionnaires. Each array ends with
 * NULL.
 */

#include "burdockgrade/contract.h"

/** Indexed by enum bg_criticality. */
extern const char *const BG_CRITICALITY_NAMES[];
/** Indexed by the bit number of enum bg_method. */
extern const char *const BG_METHOD_NAMES[];

#endif
