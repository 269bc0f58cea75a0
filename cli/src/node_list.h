#ifndef BG_CLI_NODE_LIST_H
#define BG_CLI_NODE_LIST_H

/** @file
 * Fetches a page from each of several nodes concurrently.
 */

#include "cli.h"

/** A node and the result of fetching its page. */
struct bg_cli_node {
	char address[64];
	int is_done;
	int http_status;	/**< 0 if there was no response */
	char *body;		/**< NULL if the fetch failed */
	char error_message[96]; /**< empty if the page is usable */
};

struct bg_cli_nodes {
	struct bg_cli_node *items;
	size_t count;
};

/**
 * Parses a comma-separated list of addresses. Duplicates are dropped, so that
 * the calls of a node are not counted twice.
 *
 * @param list "ip:port,..."; may be NULL, which is an error
 * @return 0, BG_EINVAL or BG_ENOMEM with err set
 */
int bg_cli_nodes_parse(
    struct bg_cli_nodes *out, const char *list, struct bg_error *err);
/**
 * Fetches a page from each node. The error_message of a node is set if its
 * fetch fails, also if the node is silent for 5 s.
 *
 * @param path such as "/burn"
 * @return 0 or BG_ENOMEM
 */
int bg_cli_nodes_fetch(struct bg_cli_nodes *nodes, const char *path);
void bg_cli_nodes_free(struct bg_cli_nodes *nodes);

#endif
