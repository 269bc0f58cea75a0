#ifndef BURDOCKGRADE_SETTINGS_H
#define BURDOCKGRADE_SETTINGS_H

/** @file
 * Settings of burdockgraded: a TOML file in which every key is checked.
 */

#include <stddef.h>
#include <stdint.h>

#include "burdockgrade/error.h"

#define BG_SETTING_BYTES 64
/** Room for the name of a header with its end. */
#define BG_HEADER_NAME_BYTES 64

/** Headers by which the proxy, callers and backend servers understand each
 * other. */
struct bg_header_names {
	char request_id[BG_HEADER_NAME_BYTES];
	char
	    deadline_ms[BG_HEADER_NAME_BYTES]; /**< what the caller will wait */
	/** Service from whose VM a call comes; the proxy sets it. */
	char caller_service[BG_HEADER_NAME_BYTES];
	/** Start of the backend server that a call is for. */
	char expected_server[BG_HEADER_NAME_BYTES];
	/** Start of the backend server that answers. */
	char server_id[BG_HEADER_NAME_BYTES];
	/** Present if the backend server did not run the call. */
	char not_run[BG_HEADER_NAME_BYTES];
	/** Calls above this one in a chain; empty: not told. */
	char call_depth[BG_HEADER_NAME_BYTES];
};

/** Bound on calls that reach a service beyond the first time. */
struct bg_retry_settings {
	uint32_t share_permille; /**< of the calls of the window */
	uint32_t slack;		 /**< calls a window, over all nodes */
	uint32_t window_ms;
};

/** Bounds of a move to another version of a backend server. */
struct bg_move_settings {
	uint32_t first_share_permille; /**< share of an unproven version */
};

struct bg_settings {
	struct {
		char address[BG_SETTING_BYTES]; /**< own IP number */
		char data_centre[BG_SETTING_BYTES];
		char region[BG_SETTING_BYTES];
		uint16_t customer_port; /**< 0: any free port */
		uint16_t mesh_port;
		char advertise[BG_SETTING_BYTES]; /**< "ip:port" for the mesh;
						       default address:mesh_port
						   */
	} node;
	struct {
		char address[BG_SETTING_BYTES]; /**< "ip:port"; empty: none */
		uint32_t timeout_ms;
	} platform;
	struct {
		char address[BG_SETTING_BYTES]; /**< "ip:port"; empty: none */
		char service[BG_SETTING_BYTES];
		/** Version, slots and state come from the server's own
		 * heartbeats, not from these settings and probes. */
		int sends_heartbeats;
		char version[BG_SETTING_BYTES];
		uint32_t slots;
		uint32_t connections;
		char probe_path[BG_SETTING_BYTES];
	} server;
	struct {
		uint32_t body_bytes;	 /**< largest body */
		uint64_t buffered_bytes; /**< all bodies of the node */
		uint32_t drain_ms;	 /**< bound of a graceful stop */
		uint32_t announce_ms; /**< new calls are taken this long after
					   a stop began */
		/** Retry-After with fractions of a second, for callers that
		 * read them. */
		int has_fractional_retry_after;
	} limits;
	struct bg_header_names headers;
	struct bg_retry_settings retry;
	struct bg_move_settings move;
	struct {
		char level[BG_SETTING_BYTES];
	} log;
};

/** Sets the defaults. */
void bg_settings_init(struct bg_settings *out);

/**
 * Reads and checks a file.
 *
 * @param err message names file, line, key and what was expected; all errors
 *     are joined by newlines as far as they fit
 * @return 0, BG_EINVAL or BG_EIO
 */
int bg_settings_load(
    struct bg_settings *out, const char *path, struct bg_error *err);

/**
 * The same with the complete list of errors.
 *
 * @param out_report one line for each error; NULL without any; free() it
 */
int bg_settings_load_report(struct bg_settings *out, char **out_report,
    const char *path, struct bg_error *err);

#endif
