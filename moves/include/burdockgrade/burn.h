#ifndef BURDOCKGRADE_BURN_H
#define BURDOCKGRADE_BURN_H

/** @file
 * Error-budget burn rates. Each node counts the calls and failures of the
 * backend server beside it for each minute; a report adds up the counts of all
 * nodes and evaluates them over several windows. No I/O.
 */

#include <stddef.h>
#include <stdint.h>

#include "burdockgrade/contract.h"

/** Minutes that are kept, the longest window of the report: 3 days. */
#define BG_BURN_MINUTES (3 * 24 * 60)

struct bg_burn;

/** @return 0 or BG_ENOMEM */
int bg_burn_init(struct bg_burn **out);
void bg_burn_free(struct bg_burn *brn);
/** Counts one call. The call is dropped if memory is exhausted or a new series
 * would exceed the limit of a node.
 * @param now_minute minutes since the Unix epoch
 * @param is_bad 1 if the call failed */
void bg_burn_count(struct bg_burn *brn, const char *service, const char *route,
    const char *server_version, uint64_t now_minute, int is_bad);

/** Calls within a window. */
struct bg_burn_sum {
	uint64_t calls;
	uint64_t bad; /**< failed calls */
};

/** Sums the calls of a service in [from_minute, to_minute], minutes since the
 * Unix epoch. An empty route or version matches all. */
void bg_burn_window(struct bg_burn_sum *out, const struct bg_burn *brn,
    const char *service, const char *route, const char *server_version,
    uint64_t from_minute, uint64_t to_minute);

/** Encodes all counts as JSON. @param out free() it @return 0 or BG_ENOMEM */
int bg_burn_encode(char **out, const struct bg_burn *brn);
/** Adds the counts that another node encoded.
 * @return 0, BG_EPROTO if the JSON is malformed (nothing is added), or
 *     BG_ENOMEM if memory or the limit of series is exhausted (a part may be
 *     added) */
int bg_burn_merge(struct bg_burn *brn, const char *json, size_t json_bytes);

/** Calls fn for each (service, route, version) series, in order of creation. */
void bg_burn_foreach(const struct bg_burn *brn,
    void (*fn)(void *arg, const char *service, const char *route,
	const char *server_version),
    void *arg);

enum bg_burn_alert {
	BG_BURN_OK,
	BG_BURN_TICKET, /**< to be handled in working hours */
	BG_BURN_PAGE,	/**< to be handled at once */
};

/** Burn rate: share of failed calls divided by the error budget. A rate of 1.0
 * uses up the budget exactly at the end of the objective's window.
 * @param slo_permyriad objective in 1/10000: 9990 is 99.9% */
double bg_burn_rate(const struct bg_burn_sum *sum, uint32_t slo_permyriad);
/** Alert state for the burn rates over 5 min, 1 h, 6 h and 3 days. */
enum bg_burn_alert bg_burn_alert(
    double rate_5m, double rate_1h, double rate_6h, double rate_3d);

#endif
