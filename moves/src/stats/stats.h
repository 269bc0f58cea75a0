#ifndef BG_STATS_STATS_H
#define BG_STATS_STATS_H

/** @file
 * Statistics of calls: of one node (STAT), and of a data centre (DCSTAT).
 * Counters are cumulative; a receiver works with the difference to what it saw
 * last from the same source. Pure.
 */

#include <stddef.h>
#include <stdint.h>

#include "burdockgrade/contract.h"
#include "burdockgrade/snapshot.h"
#include "burdockgrade/table.h"

#include "verdict/verdict.h"

/** Counters of one backend server version, by route. */
struct bg_stat {
	char service[BG_NAME_BYTES];
	char server_version[BG_NAME_BYTES];
	size_t route_count;
	struct {
		char name[BG_NAME_BYTES];
		struct bg_tally tally;
	} routes[BG_ROUTES_MAX];
};

/** Finds or adds the tally of a route. @return NULL if there are too many */
struct bg_tally *bg_stat_route(struct bg_stat *stat, const char *route);

/** Encodes as JSON. @param out free() it */
int bg_stat_encode(char **out, const struct bg_stat *stats, size_t count);
/** Decodes at most max stats. */
int bg_stat_decode(struct bg_stat *out, size_t *out_count, size_t max,
    const char *json, size_t json_bytes);

/** Adds up the reports of many sources for one service. */
struct bg_stat_sum;

/** @param service the sum ignores reports of others */
int bg_stat_sum_init(struct bg_stat_sum **out, const char *service);
void bg_stat_sum_free(struct bg_stat_sum *sum);
/**
 * Takes a report.
 *
 * @param source names the sender
 * @param epoch changes when the sender's counters start anew
 * @param count_first 1: the first report of a source counts from zero, 0: it
 *     is the starting point (the receiver is younger than the source)
 */
int bg_stat_sum_take(struct bg_stat_sum *sum, const char *source,
    uint64_t epoch, const struct bg_stat *stat, int count_first);
/** Adds what has come since the last call to *out and clears it.
 * @param server_version which version's calls */
void bg_stat_sum_drain(
    struct bg_stat *out, struct bg_stat_sum *sum, const char *server_version);
/** Cumulative totals of the sum, one stat a version. @return count */
size_t bg_stat_sum_totals(
    const struct bg_stat **out, const struct bg_stat_sum *sum);

/** Cells of one move generation of a service, in one data centre or in all. */
struct bg_judge {
	uint64_t generation;
	struct bg_cell routes[BG_ROUTES_MAX];
	struct bg_cell service;
	char reason[BG_REASON_BYTES]; /**< if bad */
};

/** Starts a new generation. */
void bg_judge_reset(struct bg_judge *jdg, uint64_t generation);
/** 1 if some evidence speaks against the new version, short of a verdict. */
int bg_judge_is_doubtful(const struct bg_judge *jdg);
/**
 * Compares the calls of both versions since the last update.
 *
 * @param scopes data centres and their union, for the false alarm bound
 */
enum bg_verdict bg_judge_update(struct bg_judge *jdg,
    const struct bg_contract *ctr, struct bg_stat *old_delta,
    struct bg_stat *new_delta, uint32_t scopes, const char *where);

#endif
