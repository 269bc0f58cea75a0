#ifndef BG_CLI_NODE_LIST_H
#define BG_CLI_NODE_LIST_H

/** @file
 * Reads one page of many nodes at the same time.
 */

#include "cli.h"

/** A node and the result of reading its page. */
struct bg_cli_node {
	char address[64];
	int is_done;
	int http_status;	/**< HTTP status, 0 without an answer */
	char *body;		/**< NULL without a page */
	char error_message[96]; /**< why there is no usable page, else empty */
};

struct bg_cli_nodes {
	struct bg_cli_node *items;
	size_t count;
};

/** Splits a list of addresses separated by commas. An address that is named
 * twice is kept once, so that its calls are not counted twice.
 * @return 0, BG_EINVAL or BG_ENOMEM with err set */
int bg_cli_nodes_parse(
    struct bg_cli_nodes *out, const char *list, struct bg_error *err);
/** Reads the page of each node; a failure is noted in its fault.
 * @return 0 or BG_ENOMEM */
int bg_cli_nodes_fetch(struct bg_cli_nodes *nodes, const char *path);
void bg_cli_nodes_free(struct bg_cli_nodes *nodes);

#endif
