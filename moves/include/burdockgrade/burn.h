#ifndef BURDOCKGRADE_BURN_H
#define BURDOCKGRADE_BURN_H

/** @file
 * Error-budget burn: calls and failures a minute, kept by the node beside each
 * backend server, and the report over several windows. Pure.
 */

#include <stddef.h>
#include <stdint.h>

#include "burdockgrade/contract.h"

/** Longest window of the report: 3 days. */
#define BG_BURN_MINUTES (3 * 24 * 60)

struct bg_burn;

int bg_burn_init(struct bg_burn **out);
void bg_burn_free(struct bg_burn *brn);
/** Counts one call. @param now_minute minutes since the Unix epoch */
void bg_burn_count(struct bg_burn *brn, const char *service, const char *route,
    const char *server_version, uint64_t now_minute, int is_bad);

/** Calls and failures within a window. */
struct bg_burn_sum {
	uint64_t calls;
	uint64_t bad;
};

/** Sums [from_minute, to_minute]. Empty route or version: all. */
void bg_burn_window(struct bg_burn_sum *out, const struct bg_burn *brn,
    const char *service, const char *route, const char *server_version,
    uint64_t from_minute, uint64_t to_minute);

/** Encodes everything kept as JSON. @param out free() it */
int bg_burn_encode(char **out, const struct bg_burn *brn);
/** Adds the JSON of a node, so that reports of many nodes add up.
 * @return 0, BG_EPROTO with nothing added, or BG_ENOMEM with a part added */
int bg_burn_merge(struct bg_burn *brn, const char *json, size_t json_bytes);

/** Calls fn for each (service, route, version) series, in order of arrival. */
void bg_burn_foreach(const struct bg_burn *brn,
    void (*fn)(void *arg, const char *service, const char *route,
	const char *server_version),
    void *arg);

enum bg_burn_alert {
	BG_BURN_OK,
	BG_BURN_TICKET, /**< look at it in working hours */
	BG_BURN_PAGE,	/**< call a person */
};

/** Burn rate: 1.0 uses up the budget exactly at the end of its window.
 * @param slo_permyriad objective, 9990 is 99.9% */
double bg_burn_rate(const struct bg_burn_sum *sum, uint32_t slo_permyriad);
/** Alert from the rates over 5 min, 1 h, 6 h and 3 d. */
enum bg_burn_alert bg_burn_alert(
    double rate_5m, double rate_1h, double rate_6h, double rate_3d);

#endif
