#ifndef BG_CLI_NODE_H
#define BG_CLI_NODE_H

/** @file
 * Fetches a page from one of several nodes, and parses the status in it.
 */

#include "cli.h"

/**
 * Fetches a page from the first of cli->node_addresses that responds with
 * status 200. They are tried in order; one that is silent for 5 s has failed.
 *
 * @param out_body free() it; NULL after an error
 * @return 0, BG_EINVAL (missing or invalid address) or BG_EIO (every node
 *     failed; err is the error of the last one)
 */
int bg_cli_node_fetch(char **out_body, const struct bg_cli *cli,
    const char *path, struct bg_error *err);

#define BG_CLI_ADDRESS_BYTES 64

/** Parses "ip:port" with an IPv4 address. @return 0 or BG_EINVAL */
int bg_cli_node_parse_address(
    char ip[BG_CLI_ADDRESS_BYTES], uint16_t *port, const char *address);

/** Status of one service (docs/status-text.md). */
struct bg_cli_status_line {
	const char *state; /**< "done", "in progress" or "rolled back" */
	char service[64];
	uint64_t config_version; /**< of the last change of the service */
	char *text_without_age;	 /**< for comparison: the age grows even if
				      nothing changes */
	char *text;		 /**< as printed: the line, or a JSON object */
};

struct bg_cli_status_lines {
	struct bg_cli_status_line *items;
	size_t count;
	int is_synced; /**< 0: the node has no configuration yet */
	/** Emptied data centres: an array of lines, or of JSON objects. NULL:
	 * the node tells of none. */
	json_t *emptied;
	/** Cold backend servers, in the same way. */
	json_t *cold;
};

/**
 * Parses the body of /status or /status.json.
 *
 * @param out empty after an error
 * @return 0, BG_EPROTO or BG_ENOMEM
 */
int bg_cli_status_lines_parse(
    struct bg_cli_status_lines *out, const char *body, int is_json);
void bg_cli_status_lines_free(struct bg_cli_status_lines *lines);
/** @return NULL if there is no line of the service */
const struct bg_cli_status_line *bg_cli_status_lines_find(
    const struct bg_cli_status_lines *lines, const char *service);

#endif
