#ifndef BURDOCKGRADE_SETTINGS_H
#define BURDOCKGRADE_SETTINGS_H

/** @file
 * Settings of burdockgraded, read from a TOML file in which every key is
 * validated.
 */

#include <stddef.h>
#include <stdint.h>

#include "burdockgrade/error.h"

/** Size of a string setting with its terminating NUL. */
#define BG_SETTING_BYTES 64
/** Size of a header name with its terminating NUL. */
#define BG_HEADER_NAME_BYTES 64

/** Names of the headers exchanged by the proxy, callers and backend servers. */
struct bg_header_names {
	char request_id[BG_HEADER_NAME_BYTES];
	/** Time that the caller will wait for the response, in ms. */
	char deadline_ms[BG_HEADER_NAME_BYTES];
	/** Service of the VM that a call comes from; set by the proxy. */
	char caller_service[BG_HEADER_NAME_BYTES];
	/** ID of the backend server process that a call is sent to. */
	char expected_server[BG_HEADER_NAME_BYTES];
	/** ID of the backend server process that responds. */
	char server_id[BG_HEADER_NAME_BYTES];
	/** Present if the backend server did not run the call. */
	char not_run[BG_HEADER_NAME_BYTES];
	/** Load of a backend server: calls running, calls waiting, slots and,
	 * from some servers, the time that work takes at this moment, in
	 * percent of the usual; empty name: not read. */
	char server_load[BG_HEADER_NAME_BYTES];
	/** Number of calls above this one in a chain; empty name: not sent. */
	char call_depth[BG_HEADER_NAME_BYTES];
	/** Key by which a caller identifies its organisation; never passed
	 * on. Empty: callers have no keys. */
	char key[BG_HEADER_NAME_BYTES];
	/** Organisation of the caller, set by the proxy; empty: not sent. */
	char organisation[BG_HEADER_NAME_BYTES];
	/** Remaining time for which a backend server is cold, in ms, in the
	 * responses to probes; empty name: not read. */
	char warmup_left[BG_HEADER_NAME_BYTES];
};

/** Retry budget of each service: a share of its calls plus a slack. */
struct bg_retry_settings {
	uint32_t share_permille; /**< share of the calls in the window */
	uint32_t slack;		 /**< retries in the window, for all nodes */
	uint32_t window_ms;	 /**< length of the sliding window */
};

/** Limits of a move to another version of a backend server. */
struct bg_move_settings {
	/** Traffic share of a version that is not yet proven. */
	uint32_t first_share_permille;
};

/** What the platform tolerates in one second beyond the rate of a cold backend
 * server. */
struct bg_warmup_settings {
	uint32_t excess_permille; /**< share of the rate */
	uint32_t excess_starts;	  /**< calls, whatever the rate */
};

/** Caps on the use of organisations, which hold over all nodes: in any window
 * at most (rate x window + burst) x (1 + share) + slack calls. shares and
 * groups have to be the same on all nodes. */
struct bg_quota_settings {
	uint32_t window_ms;	 /**< 0: caps are not enforced */
	uint32_t share_permille; /**< allowed beyond the cap */
	uint32_t slack;		 /**< calls allowed beyond the cap */
	/** Parts of each cap, whose owners are placed in the data centres in
	 * turn. */
	uint32_t shares;
	/** Groups of organisations, each with an owner for each share. */
	uint32_t groups;
};

struct bg_settings {
	struct {
		char address[BG_SETTING_BYTES]; /**< own IPv4 address */
		char data_centre[BG_SETTING_BYTES];
		char region[BG_SETTING_BYTES];
		uint16_t customer_port; /**< 0: any free port */
		uint16_t mesh_port;	/**< 0: any free port */
		/** "ip:port" at which other nodes reach the mesh port; default
		 * address:mesh_port; empty if mesh_port is 0. */
		char advertise[BG_SETTING_BYTES];
	} node;
	struct {
		char address[BG_SETTING_BYTES]; /**< "ip:port" */
		uint32_t timeout_ms;		/**< time limit of a call */
		/** Data centres that operators empty in the store get no new
		 * calls; 0: the store is not asked for any. */
		int follows_emptied;
	} platform;
	struct {
		/** "ip:port"; empty if the node has no backend server. */
		char address[BG_SETTING_BYTES];
		char service[BG_SETTING_BYTES];
		/** The server reports its version, slots and state in
		 * heartbeats, so that version, slots and probe_path are not
		 * used. */
		int sends_heartbeats;
		char version[BG_SETTING_BYTES];
		uint32_t slots;	      /**< limit of running calls */
		uint32_t connections; /**< limit of open connections */
		char probe_path[BG_SETTING_BYTES];
	} server;
	struct {
		/** Largest body of a request or response. */
		uint32_t body_bytes;
		/** Memory for all bodies that the node buffers. */
		uint64_t buffered_bytes;
		/** Largest number of connections of callers; 0: bounded by
		 * buffered_bytes only. */
		uint32_t caller_connections;
		/** Rate of the VM's link, in Mbit/s; 0: unknown. */
		uint32_t link_mbps;
		/** Longest duration of a graceful stop. */
		uint32_t drain_ms;
		/** The node serves as before for this long after a graceful
		 * stop began, so that callers can notice the stop. */
		uint32_t announce_ms;
		/** Retry-After has fractions of a second; only for callers that
		 * parse them. */
		int has_fractional_retry_after;
	} limits;
	struct bg_header_names headers;
	struct bg_retry_settings retry;
	struct bg_move_settings move;
	struct bg_warmup_settings warmup;
	struct bg_quota_settings quota;
	struct {
		char level[BG_SETTING_BYTES];
	} log;
};

/** Sets every setting to its default. */
void bg_settings_init(struct bg_settings *out);

/**
 * Loads and validates a settings file.
 *
 * @param out settings without a valid value in the file keep their default
 * @param err message has one line per error, with file, line, key and what was
 *     expected, for as many errors as fit
 * @return 0, BG_EINVAL if the file is not valid, BG_EIO if it cannot be read,
 *     or BG_ENOMEM
 */
int bg_settings_load(
    struct bg_settings *out, const char *path, struct bg_error *err);

/**
 * As bg_settings_load(), with a complete list of the errors.
 *
 * @param out_report one line per error, to be freed with free(); NULL if there
 *     are none or memory ran out
 */
int bg_settings_load_report(struct bg_settings *out, char **out_report,
    const char *path, struct bg_error *err);

#endif
