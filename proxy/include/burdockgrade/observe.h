#ifndef BURDOCKGRADE_OBSERVE_H
#define BURDOCKGRADE_OBSERVE_H

/** @file
 * What the gatekeeper observed of one call, for verdicts and reports.
 */

#include <stdint.h>

#include "burdockgrade/contract.h"

struct bg_observation {
	const char *service;
	const char *route;
	const char *server_version;
	int is_failed; /**< 5xx, broken answer or deadline; not a refusal */
	int is_slow;   /**< own time above the route's slow_ms */
	int is_dependency_fault; /**< failed or slow by a dependency's fault */
	int is_cold;		 /**< within the slow start of the server */
	uint32_t own_time_us;	 /**< without the time of dependency calls */
};

/** Receives observations. First member of what implements it. */
struct bg_observer {
	void (*observe)(
	    struct bg_observer *self, const struct bg_observation *obs);
};

#endif
