#ifndef BG_PROXY_FINISH_H
#define BG_PROXY_FINISH_H

/** @file
 * Expected times of a call at a server whose gatekeeper reports the slowness of
 * its machine and the work that it has left. Pure.
 */

#include "endpoint.h"

/** 1 if the gatekeeper reports slowness and work left. */
int bg_finish_is_known(const struct bg_endpoint *ep);
/** Time that the call will run there: the usual time there, for its cost and
 * the slowness expected at this moment.
 * @param base_us mean time of the route's calls there, without the slowness
 * @param usual_permille slowness of the service's machines on average
 * @param cost_permille cost of the call, of the route's mean; 0: unknown */
uint32_t bg_finish_service_us(const struct bg_endpoint *ep, uint32_t base_us,
    double usual_permille, uint32_t cost_permille, uint64_t now_ms);
/** Time until a call that is sent now starts there, by the last load report and
 * the calls that this node sent since.
 * @param slots of the server; 0: unknown */
uint64_t bg_finish_wait_us(const struct bg_endpoint *ep, uint32_t slots,
    uint32_t service_us, uint64_t now_ms);
/** The same by the gatekeeper's last report, less the time since. Its limit of
 * running calls may be below the slots of its server. @return 0 if the report
 * is old or the limit was not reached */
uint64_t bg_finish_reported_wait_us(
    const struct bg_endpoint *ep, uint64_t now_ms);
/** Work that is left there for each slot, by the last report, the time since
 * and the calls that this node sent since; 0: unknown.
 * @param slots of the server; 0: unknown */
uint64_t bg_finish_work_left_us(const struct bg_endpoint *ep, uint32_t slots,
    uint32_t service_us, uint64_t now_ms);

#endif
