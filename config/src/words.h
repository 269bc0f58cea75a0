#ifndef BG_CONFIG_WORDS_H
#define BG_CONFIG_WORDS_H

#include "burdockgrade/contract.h"

/** Words of enum bg_criticality, in its order, and NULL. */
extern const char *const BG_CRITICALITY_WORDS[];
/** Words of enum bg_method, in the order of the bits, and NULL. */
extern const char *const BG_METHOD_WORDS[];

#endif
