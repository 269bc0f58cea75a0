#ifndef BG_PROXY_RESULT_H
#define BG_PROXY_RESULT_H

/** @file
 * Validates the result of a call that another node sent. Its build may be older
 * or newer than this one. Pure.
 */

#include "burdockgrade/wire_xdr.h"

/** 1 if this build knows the outcome and the refusal, and HTTP allows the
 * status, the names and the values. */
int bg_call_result_is_valid(const struct bg_xcall_res *res);

#endif
