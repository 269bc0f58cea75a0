#ifndef BURDOCKGRADE_SETTINGS_H
#define BURDOCKGRADE_SETTINGS_H

/** @file
 * Settings of burdockgraded: a TOML file in which every key is checked.
 */

#include <stddef.h>
#include <stdint.h>

#include "burdockgrade/error.h"

#define BG_SETTING_BYTES 64
#define BG_SEEDS_MAX 32

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
		char address[BG_SETTING_BYTES]; /**< "ip:port" */
		uint32_t timeout_ms;
	} platform;
	struct {
		char seeds[BG_SEEDS_MAX][BG_SETTING_BYTES];
		size_t seed_count;
		uint32_t fanout;
		int direct_watch; /**< baseline: each node watches the platform
				   */
	} mesh;
	struct {
		char address[BG_SETTING_BYTES]; /**< "ip:port"; empty: none */
		char service[BG_SETTING_BYTES];
		char version[BG_SETTING_BYTES];
		uint32_t slots;
		uint32_t connections;
		char probe_path[BG_SETTING_BYTES];
	} server;
	struct {
		uint32_t body_bytes;	 /**< largest body */
		uint64_t buffered_bytes; /**< all bodies of the node */
		uint32_t drain_ms;	 /**< bound of a graceful stop */
		uint32_t announce_ms;	 /**< wait after a stop was announced */
	} limits;
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
