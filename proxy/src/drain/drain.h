#ifndef BG_PROXY_DRAIN_H
#define BG_PROXY_DRAIN_H

/** @file
 * Order of a graceful stop. Pure.
 */

#include <stdint.h>

enum bg_drain_state {
	BG_DRAIN_NONE,
	BG_DRAIN_ANNOUNCING, /**< serves while the news spreads */
	BG_DRAIN_LEAVING,    /**< finishes what runs, takes nothing new */
	BG_DRAIN_DONE,
};

struct bg_drain {
	enum bg_drain_state state;
	uint32_t announce_ms;
	uint32_t bound_ms;
	uint64_t began_ms;
	uint64_t announced_ms; /**< 0: not confirmed yet */
	uint32_t left_running; /**< calls that the bound cut off */
};

void bg_drain_begin(struct bg_drain *drn, uint32_t announce_ms,
    uint32_t bound_ms, uint64_t now_ms);
/**
 * Advances by at most one state.
 *
 * @param is_announced the parent confirmed the state draining
 * @param in_flight calls at the ingress and at the gatekeeper
 * @return 1 if the state changed
 */
int bg_drain_step(struct bg_drain *drn, int is_announced, uint32_t in_flight,
    uint64_t now_ms);

#endif
