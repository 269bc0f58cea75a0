#ifndef BURDOCKGRADE_ANNOUNCE_H
#define BURDOCKGRADE_ANNOUNCE_H

/** @file
 * Announcement of a backend server to the node on the same VM: a heartbeat, a
 * deregistration, or the result of a probe.
 */

#include <stdint.h>

#include "burdockgrade/contract.h"

enum bg_announced_state {
	BG_ANNOUNCED_READY,
	BG_ANNOUNCED_DRAINING, /**< will leave */
	BG_ANNOUNCED_GONE,     /**< deregistered; is about to exit */
};

struct bg_announcement {
	char server_id[BG_NAME_BYTES]; /**< identifies this start of the server
					*/
	char service[BG_NAME_BYTES];
	char address[BG_ADDRESS_BYTES];
	char server_version[BG_NAME_BYTES];
	enum bg_announced_state state;
	uint32_t slots;
	uint32_t warmup_left_ms; /**< remaining time for which the server is
				      cold; 0: it is warm */
	uint64_t started_ms;	 /**< wall clock time of the server's start; set
				      to the current time if not announced */
	uint64_t sequence;	 /**< rises with each heartbeat since that
				      start */
	int has_warmup_left;	 /**< 0 if the announcement does not say it */
	int has_started_ms;	 /**< 0 if not announced, which only a
				      deregistration may omit */
};

#endif
