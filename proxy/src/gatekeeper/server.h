#ifndef BG_PROXY_SERVER_H
#define BG_PROXY_SERVER_H

/** @file
 * State of the backend server beside this node, from its heartbeats or from
 * probes. A server that starts again is a new lifetime, in which it knows
 * nothing of before. Pure.
 */

#include <stdint.h>

#include "burdockgrade/announce.h"

enum bg_server_state {
	BG_SERVER_UNKNOWN, /**< nothing was heard since this process started */
	BG_SERVER_READY,
	BG_SERVER_DRAINING, /**< it said that it will leave */
	BG_SERVER_GONE,	    /**< it said that it has left */
	BG_SERVER_LOST,	    /**< it does not answer */
};

struct bg_server {
	enum bg_server_state state;
	char id[BG_NAME_BYTES];
	char version[BG_NAME_BYTES];
	uint64_t started_ms; /**< start of this lifetime, as the server says */
	uint64_t sequence;
	uint32_t slots;
	uint64_t last_announced_ms;
	uint64_t leaving_since_ms; /**< since when it drains or is gone; 0:
				      neither */
};

enum bg_announce_result {
	BG_ANNOUNCE_CHANGED,   /**< the state changed */
	BG_ANNOUNCE_UNCHANGED, /**< nothing new */
	BG_ANNOUNCE_STALE,     /**< from an earlier lifetime, or overtaken */
	BG_ANNOUNCE_REJECTED,  /**< another writer's, or not readable */
};

/** 1 if the announcement comes from a server of the service. A farewell may
 * leave its service out: its id names the server. */
int bg_announcement_matches_service(
    const struct bg_announcement *ann, const char *service);
/** Takes a heartbeat or a farewell. @param now_ms monotonic clock */
enum bg_announce_result bg_server_update(
    struct bg_server *srv, const struct bg_announcement *ann, uint64_t now_ms);
/** Another server answers at the address, or none. */
void bg_server_mark_lost(struct bg_server *srv);
/** A server that was lost answers again. @return 1 if the state changed */
int bg_server_recover(struct bg_server *srv);
/**
 * 1 if a call may be sent to the server.
 *
 * @param drain_ms how long a leaving server takes new calls
 */
int bg_server_accepts_calls(
    const struct bg_server *srv, uint32_t drain_ms, uint64_t now_ms);

#endif
