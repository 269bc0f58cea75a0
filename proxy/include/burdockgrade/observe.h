#ifndef BURDOCKGRADE_OBSERVE_H
#define BURDOCKGRADE_OBSERVE_H

/** @file
 * Observations of the gatekeeper: one for each call that was sent to the
 * backend server. They are used to judge server versions and to report
 * error-budget burn.
 */

#include <stdint.h>

#include "burdockgrade/contract.h"

struct bg_observation {
	const char *service;
	const char *route;
	const char *server_version;
	/** 5xx other than 504, lost connection or unusable response. Missed
	 * deadlines and shed calls are not failures of a server version. */
	int is_failed;
	/** The own time is several times the usual one at other versions or, if
	 * that is unknown, at least the route's slow_ms. */
	int is_slow;
	int is_dependency_fault; /**< failed or slow, and a dependency failed */
	int is_cold;		 /**< within the warm-up of the server */
	uint32_t own_time_us;	 /**< without waiting for dependency calls */
};

/** Receives observations; the first member of a struct that implements it. */
struct bg_observer {
	/** @param obs valid during the callback only */
	void (*observe)(
	    struct bg_observer *self, const struct bg_observation *obs);
};

#endif
