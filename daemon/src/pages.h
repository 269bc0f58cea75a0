#ifndef BG_DAEMON_PAGES_H
#define BG_DAEMON_PAGES_H

/** @file
 * The pages /metrics and /health on the customer port. The renderers have the
 * type bg_page_fn, so that the proxy can serve them.
 */

#include "burdockgrade/error.h"

struct bg_node;
struct bg_pages;

int bg_pages_init(
    struct bg_pages **out, struct bg_node *node, struct bg_error *err);
void bg_pages_free(struct bg_pages *pages);

/** Counters in the text exposition format. @param arg not used */
int bg_page_metrics(void *arg, char **out, const char **content_type);
/** 200 while the node is synced and not stopping, else 503.
 * @param arg struct bg_node */
int bg_page_health(void *arg, char **out, const char **content_type);

#endif
