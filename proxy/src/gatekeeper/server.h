#ifndef BG_PROXY_SERVER_H
#define BG_PROXY_SERVER_H

/** @file
 * State of the backend server on the same VM, from its announcements:
 * heartbeats and deregistrations, or the results of probes. Each start of the
 * server process begins a new lifetime, whose announcements are unrelated to
 * earlier ones. No I/O; the caller passes the time.
 */

#include <stdint.h>

#include "burdockgrade/announce.h"

enum bg_server_state {
	BG_SERVER_UNKNOWN, /**< no announcement since this node started */
	BG_SERVER_READY,
	BG_SERVER_DRAINING, /**< announced that it will leave */
	BG_SERVER_GONE,	    /**< deregistered */
	BG_SERVER_LOST,	    /**< does not respond, or another server has its
			       address */
};

/** Announcements of a lifetime that seems to be an earlier one. If they go on
 * while the known lifetime is silent, the wall clock was set back. */
struct bg_server_candidate {
	char id[BG_NAME_BYTES];
	uint64_t started_ms;
	uint64_t sequence; /**< of the last announcement */
	uint64_t since_ms; /**< monotonic time of the first one */
	uint32_t count;
};

/** Most lifetimes under one id that are remembered as ended. */
#define BG_SERVER_ENDED_MAX 4

struct bg_server {
	enum bg_server_state state;
	char id[BG_NAME_BYTES];
	char version[BG_NAME_BYTES];
	uint64_t started_ms; /**< start of this lifetime, as the server
				announces it */
	uint64_t sequence;   /**< of the last heartbeat */
	uint32_t slots;
	uint64_t last_announced_ms; /**< monotonic clock */
	uint64_t leaving_since_ms;  /**< monotonic time at which it began to
				 leave  (draining or gone); 0: it has not */
	int is_drained;		    /**< it left before this process started */
	struct bg_server_candidate candidate;
	int is_set_back; /**< this lifetime was a candidate */
	/** Starts of the last lifetimes under this id that ended when a later
	 * one began; 0: none. */
	uint64_t ended_ms[BG_SERVER_ENDED_MAX];
	uint32_t next_ended; /**< index of the oldest one */
};

/** What an earlier process of this node has announced of the server. */
struct bg_server_record {
	const char *id;
	const char *version;
	uint64_t started_ms; /**< 0: unknown; the record is not used then */
	int has_left;
};

enum bg_announce_result {
	BG_ANNOUNCE_CHANGED,
	BG_ANNOUNCE_UNCHANGED, /**< accepted, but nothing changed */
	BG_ANNOUNCE_STALE,     /**< from an earlier lifetime, or out of order */
	BG_ANNOUNCE_REJECTED,  /**< from a server of another service, or this
				  node has no backend server */
	BG_ANNOUNCE_HELD, /**< decided once it is known what an earlier process
			     of the node announced, or what the server says of
			     itself */
	BG_ANNOUNCE_UNCONFIRMED, /**< the server may have left; accepted if it
				    is repeated and the server says that it
				    serves */
};

/** 1 if the announcement comes from a server of the service. A deregistration
 * may omit the service, since its id identifies the server. */
int bg_announcement_matches_service(
    const struct bg_announcement *ann, const char *service);
/**
 * Applies a heartbeat or a deregistration.
 *
 * @param now_ms monotonic clock
 */
enum bg_announce_result bg_server_update(
    struct bg_server *srv, const struct bg_announcement *ann, uint64_t now_ms);
/**
 * Applies the record of an earlier process, before or after announcements of
 * the server were applied. A server that has left stays so, and announcements
 * of lifetimes before the recorded one are stale.
 *
 * @param now_ms monotonic clock
 * @return 1 if the server changed
 */
int bg_server_restore(struct bg_server *srv,
    const struct bg_server_record *record, uint64_t now_ms);
/** Marks a ready server as lost, since none or another one responds at its
 * address. */
void bg_server_mark_lost(struct bg_server *srv);
/** Marks a lost server as ready, since it responds again.
 * @return 1 if the state changed */
int bg_server_recover(struct bg_server *srv);
/**
 * 1 if a call may be sent to the server.
 *
 * @param drain_ms how long a leaving server accepts new calls
 * @param now_ms monotonic clock
 */
int bg_server_accepts_calls(
    const struct bg_server *srv, uint32_t drain_ms, uint64_t now_ms);

#endif
