#ifndef BG_PROXY_HEADERS_H
#define BG_PROXY_HEADERS_H

/** @file
 * Headers that are not forwarded, and what an answer says of a call. Pure.
 */

#include "burdockgrade/settings.h"
#include "burdockgrade/wire_xdr.h"

#include "../metrics/metrics.h"

/** 1 for headers that concern one connection only. */
int bg_header_is_hop_by_hop(const char *name);
/** 1 for headers of a request that the proxy sets itself. */
int bg_header_is_set_by_proxy(
    const char *name, const struct bg_header_names *names);
/** Value of a header, or NULL. */
const char *bg_header_find(
    const struct bg_xheader *headers, uint32_t header_count, const char *name);
/** 1 if the server says that it did not run the call. */
int bg_response_is_not_run(uint32_t http_status,
    const struct bg_xheader *headers, uint32_t header_count,
    const struct bg_header_names *names);

#endif
