#ifndef BG_PROXY_DRAIN_H
#define BG_PROXY_DRAIN_H

/** @file
 * State machine of a graceful stop of the node. No I/O; the caller passes the
 * time.
 */

#include <stdint.h>

enum bg_drain_state {
	BG_DRAIN_NONE,
	BG_DRAIN_SERVING, /**< reports not ready, but serves until callers have
			       noticed */
	BG_DRAIN_LEAVING, /**< completes the calls in flight */
	BG_DRAIN_DONE,
};

struct bg_drain {
	enum bg_drain_state state;
	uint32_t announce_ms;
	uint32_t timeout_ms;
	uint64_t began_ms;
	uint32_t left_running; /**< calls cut off by the timeout */
};

/**
 * Begins a stop. Does nothing if one has begun already.
 *
 * @param announce_ms time that callers need to notice the stop
 * @param timeout_ms longest duration of the whole stop
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
 * 1 if a call that is accepted now is sure to end before the stop does. The
 * timeout would cut off the calls of callers that keep using a leaving node.
 *
 * @param deadline_ms time left to the call
 */
int bg_drain_accepts_call(
    const struct bg_drain *drn, uint32_t deadline_ms, uint64_t now_ms);

#endif
