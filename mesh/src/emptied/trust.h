#ifndef BG_MESH_TRUST_H
#define BG_MESH_TRUST_H

/** @file
 * Decides whether a node may rely on what it knows of emptied data centres. A
 * process that has just started, or did not run for a while, may have missed
 * that its own data centre was emptied. No I/O; the caller passes the time.
 */

#include <stdint.h>

/** Longest time between two ticks of a process that runs. Ticks come every 1.2
 * s at most; a slow machine may be late by as much again. */
#define BG_TRUST_PAUSE_MS 2500
/** Time after a pause in which the process gets its knowledge confirmed. If
 * nobody answers, the node is cut off and serves with what it has. */
#define BG_TRUST_PAUSE_DOUBT_MS 2000
/** The same after the start, where nothing is known at all. */
#define BG_TRUST_START_DOUBT_MS 10000

struct bg_trust {
	uint64_t tick_ms;
	uint64_t doubt_end_ms; /**< end of the doubt if it is not confirmed
				    before */
	int is_starting;       /**< in doubt since the start */
	int is_doubted;
};

/** The process starts: what it knows is in doubt. */
void bg_trust_init(struct bg_trust *out, uint64_t now_ms);
/** The process runs. @return 1 if it had paused and doubt begins */
int bg_trust_tick(struct bg_trust *tr, uint64_t now_ms);
/** The store was read exactly: the doubt ends. */
void bg_trust_confirm_by_store(struct bg_trust *tr);
/**
 * The replicated table was compared with that of a peer. It ends the doubt
 * after a pause. After the start it does so only without the store, since all
 * nodes may have started at the same time.
 */
void bg_trust_confirm_by_peer(struct bg_trust *tr, int is_store_reachable);
/** 1 if the node may rely on what it knows. */
int bg_trust_holds(const struct bg_trust *tr, uint64_t now_ms);

#endif
