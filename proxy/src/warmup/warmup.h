#ifndef BG_PROXY_WARMUP_H
#define BG_PROXY_WARMUP_H

/** @file
 * Warm-up of the backend server on the same VM: whether the server is cold, and
 * how many calls may start there meanwhile. Pure; the caller passes the time of
 * the monotonic clock.
 *
 * Within any span of one second, at most the rate of a cold server plus the
 * burst starts. The allowance is counted at all times, so that a server that
 * turns cold under load begins with none, and it begins with none in a new
 * process, which does not know what the earlier one has sent.
 *
 * A limit applies only to services that have a rate. Their servers count as
 * cold unless a recent report says otherwise.
 */

#include <stdint.h>

#include "burdockgrade/settings.h"

/** A server of a service with a rate counts as cold if its last report is
 * older. Servers report every 1.5 s; after a pause of the process, a server may
 * have turned cold unnoticed. */
#define BG_WARMUP_REPORT_MAX_AGE_MS 4000

/** All zero: no limit, warm, and no allowance yet. */
struct bg_warmup {
	uint32_t duration_ms;	   /**< of a server that has started; 0:
					unknown */
	uint32_t rate_milli_per_s; /**< calls that a cold server bears, in
					thousandths of a call a second; 0: no
					limit */
	uint32_t burst;		   /**< starts at once beyond the rate */
	uint64_t cold_until_us;	   /**< 0: the server is warm */
	uint64_t reported_us;	   /**< last report of the server; 0: never */
	uint64_t allowance;	   /**< in parts of BG_WARMUP_START_PARTS */
	uint64_t counted_us;	   /**< time up to which allowance is counted */
};

/** Parts of the allowance that one start takes: thousandths of a call a second,
 * times microseconds. */
#define BG_WARMUP_START_PARTS 1000000000ULL

/** Burst of a service: half of what the platform tolerates in one second beyond
 * the rate, since calls can be delayed on their way and arrive closer together
 * than they were sent. At least one call. */
uint32_t bg_warmup_burst(
    const struct bg_warmup_settings *settings, uint32_t rate_milli_per_s);

/** Sets what the configuration says of the service.
 * @param duration_ms 0: unknown @param rate_milli_per_s 0: no limit */
void bg_warmup_configure(struct bg_warmup *wu, uint32_t duration_ms,
    uint32_t rate_milli_per_s, uint32_t burst, uint64_t now_us);
/** Applies a report of the server. A time above the configured duration is
 * reduced to it. @param left_ms 0: the server is warm */
void bg_warmup_report(struct bg_warmup *wu, uint32_t left_ms, uint64_t now_us);
/** Records a sign of life that does not say whether the server is warm. */
void bg_warmup_heard(struct bg_warmup *wu, uint64_t now_us);
/** Takes the server for one that has just turned cold, until its next report.
 */
void bg_warmup_doubt(struct bg_warmup *wu, uint64_t now_us);

/** 1 while the server is cold or has to be taken for it. */
int bg_warmup_is_cold(const struct bg_warmup *wu, uint64_t now_us);
/** 1 while the server is cold and its starts are limited. */
int bg_warmup_is_limited(const struct bg_warmup *wu, uint64_t now_us);
/** Time until the server is expected to be warm; 0: it is. */
uint32_t bg_warmup_left_ms(const struct bg_warmup *wu, uint64_t now_us);
/** Time until the limit ends, or begins because no report has come; 0: there is
 * no rate. While no report comes, the time of a whole warm-up. */
uint64_t bg_warmup_next_change_us(const struct bg_warmup *wu, uint64_t now_us);
/** 1 if a call may start now. */
int bg_warmup_may_start(const struct bg_warmup *wu, uint64_t now_us);
/** Calls that may start at once; UINT32_MAX without a limit. */
uint32_t bg_warmup_starts_left(const struct bg_warmup *wu, uint64_t now_us);
/** Time until the next call may start; 0: now. */
uint64_t bg_warmup_wait_us(const struct bg_warmup *wu, uint64_t now_us);
/** Expected time between two starts while the allowance is used up; 0 without a
 * limit. */
uint64_t bg_warmup_interval_us(const struct bg_warmup *wu, uint64_t now_us);
/** Counts a start. */
void bg_warmup_start(struct bg_warmup *wu, uint64_t now_us);
/** Takes back a start that did not reach the server. */
void bg_warmup_refund(struct bg_warmup *wu, uint64_t now_us);

#endif
