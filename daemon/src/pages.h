#ifndef BG_DAEMON_PAGES_H
#define BG_DAEMON_PAGES_H

#include "node.h"

/** Registers the pages that every node serves on its customer port. */
int bg_pages_init(struct bg_node *node);

#endif
