#ifndef BURDOCKGRADE_ANNOUNCE_H
#define BURDOCKGRADE_ANNOUNCE_H

/** @file
 * What a backend server says of itself to the node beside it.
 */

#include <stdint.h>

#include "burdockgrade/contract.h"

enum bg_announced_state {
	BG_ANNOUNCED_READY,
	BG_ANNOUNCED_DRAINING, /**< it will leave */
	BG_ANNOUNCED_GONE,     /**< it is about to exit */
};

struct bg_announcement {
	char server_id[BG_NAME_BYTES]; /**< of this start of the server */
	char service[BG_NAME_BYTES];
	char address[BG_ADDRESS_BYTES];
	char server_version[BG_NAME_BYTES];
	enum bg_announced_state state;
	uint32_t slots;
	uint32_t warmup_left_ms; /**< how much longer it is slow */
	uint64_t started_ms;	 /**< wall clock of its start, or of now if the
				      farewell lacks it */
	uint64_t sequence;	 /**< rises within a start */
	int has_started_ms;	 /**< a farewell may lack it */
};

#endif
