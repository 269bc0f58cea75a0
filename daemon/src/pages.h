#ifndef BG_DAEMON_PAGES_H
#define BG_DAEMON_PAGES_H

#include "node.h"

/** Registers the pages that a node serves on its customer port unless the
 * platform manages it: status, metrics, health and error budgets.
 * @return 0 or an error code */
int bg_pages_init(struct bg_node *node);

#endif
