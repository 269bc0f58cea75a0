#ifndef BG_PROXY_HEADERS_H
#define BG_PROXY_HEADERS_H

/** @file
 * Rules for the headers of forwarded requests and responses. No I/O.
 */

#include "burdockgrade/settings.h"
#include "burdockgrade/wire_xdr.h"

#include "../metrics/metrics.h"

/** 1 for headers that apply to a single connection and are not forwarded. */
int bg_header_is_hop_by_hop(const char *name);
/** 1 for request headers that are not forwarded, because the proxy sets them
 * itself or they are hop-by-hop. */
int bg_header_is_set_by_proxy(
    const char *name, const struct bg_header_names *names);
/** Value of the first header of a name, compared without case, or NULL. */
const char *bg_header_find(
    const struct bg_xheader *headers, uint32_t header_count, const char *name);
/** 1 if the response states that the server did not run the call. */
int bg_response_is_not_run(uint32_t http_status,
    const struct bg_xheader *headers, uint32_t header_count,
    const struct bg_header_names *names);

#endif
