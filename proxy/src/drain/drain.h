#ifndef BG_PROXY_DRAIN_H
#define BG_PROXY_DRAIN_H

/** @file
 * Order of a graceful stop. Pure.
 */

#include <stdint.h>

enum bg_drain_state {
	BG_DRAIN_NONE,
	BG_DRAIN_SERVING, /**< not ready any more, but serves until callers have
			       noticed */
	BG_DRAIN_LEAVING, /**< finishes what runs */
	BG_DRAIN_DONE,
};

struct bg_drain {
	enum bg_drain_state state;
	uint32_t announce_ms;
	uint32_t timeout_ms;
	uint64_t began_ms;
	uint32_t left_running; /**< calls that the bound cut off */
};

/**
 * @param announce_ms how long callers need to notice
 * @param bound_ms longest time of the whole stop
 */
void bg_drain_begin(struct bg_drain *drn, uint32_t announce_ms,
    uint32_t timeout_ms, uint64_t now_ms);
/**
 * Advances by at most one state.
 *
 * @param in_flight calls at the ingress and at the gatekeeper
 * @return 1 if the state changed
 */
int bg_drain_step(struct bg_drain *drn, uint32_t in_flight, uint64_t now_ms);
/**
 * 1 if a call that is taken now ends before the stop does. Callers that still
 * come to a leaving node would be cut off at the bound otherwise.
 *
 * @param deadline_ms left to the call
 */
int bg_drain_accepts_call(
    const struct bg_drain *drn, uint32_t deadline_ms, uint64_t now_ms);

#endif
