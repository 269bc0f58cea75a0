#ifndef BG_CLI_NODE_H
#define BG_CLI_NODE_H

/** @file
 * Reads pages of a node and the status in them.
 */

#include "cli.h"

/**
 * Reads a page. --node may name several nodes separated by commas; the first
 * that answers counts.
 *
 * @param out_body free() it
 * @return 0, BG_EINVAL (no or wrong address) or BG_EIO (no node answered)
 */
int bg_cli_node_fetch(char **out_body, const struct bg_cli *cli,
    const char *path, struct bg_error *err);

#define BG_CLI_ADDRESS_BYTES 64

/** Splits IP:PORT. @return 0 or BG_EINVAL */
int bg_cli_node_parse_address(
    char ip[BG_CLI_ADDRESS_BYTES], uint16_t *port, const char *address);

/** The status of one service. */
struct bg_cli_status_line {
	const char *state; /**< "done", "in progress" or "rolled back" */
	char service[64];
	uint64_t config_version;
	char *text_without_age; /**< text that changes with the state, not its
				   age */
	char *text;		/**< as it is printed */
};

struct bg_cli_status_lines {
	struct bg_cli_status_line *items;
	size_t count;
	int is_synced; /**< 0: the node knows nothing */
};

/** Reads the lines of the status text or of its JSON form.
 * @return 0, BG_EPROTO or BG_ENOMEM */
int bg_cli_status_lines_parse(
    struct bg_cli_status_lines *out, const char *body, int is_json);
void bg_cli_status_lines_free(struct bg_cli_status_lines *lines);
const struct bg_cli_status_line *bg_cli_status_lines_find(
    const struct bg_cli_status_lines *lines, const char *service);

#endif
