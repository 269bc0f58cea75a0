#ifndef BG_PROXY_FAIR_SHARE_H
#define BG_PROXY_FAIR_SHARE_H

/** @file
 * Start-time fair queueing (Goyal, Vin, Cheng 1996) of the calls of
 * organisations at one backend server. Organisations of one priority that want
 * more than there is room for get equal shares of the work, and what one does
 * not ask for goes to the others (max-min fairness). Work is measured by the
 * expected cost of a call, corrected by what it took. Pure.
 *
 * Each call gets a virtual start: the virtual time of its priority, or the
 * virtual finish of the organisation's previous call if that is later. The call
 * with the earliest virtual start is served next, and the virtual time follows.
 *
 * An organisation that has no queued call and whose virtual finish has passed
 * keeps no state. While more organisations are active than there is state for,
 * some of one priority share theirs.
 */

#include <stdint.h>

/** Organisations with state, over all priorities. */
#define BG_FAIR_FLOWS_MAX 256
/** Priorities with a virtual time of their own; less urgent ones share the last
 * one. */
#define BG_FAIR_LEVELS_MAX 8

/** The calls of one organisation at one priority. */
struct bg_fair_flow {
	uint64_t key; /**< hash of the organisation; 0: not in use */
	uint32_t level;
	uint32_t queued;    /**< calls that wait */
	uint64_t finish_us; /**< virtual finish of the last call started */
	uint64_t next_us;   /**< virtual start of the next call while the order
			       of a queue is computed */
};

struct bg_fair_share {
	struct bg_fair_flow flows[BG_FAIR_FLOWS_MAX];
	struct bg_fair_flow shared[BG_FAIR_LEVELS_MAX]; /**< by level, while all
				flows are of other levels */
	uint64_t virtual_us[BG_FAIR_LEVELS_MAX];	/**< by level */
};

/** Finds the flow of an organisation, or begins a new one.
 * @param organisation "" for callers without one, which are one flow
 * @return never NULL; valid while it has queued calls */
struct bg_fair_flow *bg_fair_share_flow(
    struct bg_fair_share *fair, const char *organisation, uint32_t priority);
/** Virtual start of the flow's next call. */
uint64_t bg_fair_share_start_us(
    const struct bg_fair_share *fair, const struct bg_fair_flow *flow);
/** Charges a flow for a call that starts. */
void bg_fair_share_charge(
    struct bg_fair_share *fair, struct bg_fair_flow *flow, uint64_t cost_us);
/** Corrects what a flow was charged by what its call took.
 * @param charged_us as passed to bg_fair_share_charge() */
void bg_fair_share_settle(struct bg_fair_share *fair, const char *organisation,
    uint32_t priority, uint64_t charged_us, uint64_t took_us);

#endif
