#ifndef BG_PROXY_VALUE_H
#define BG_PROXY_VALUE_H

/** @file
 * Expected value of sending a call to a server, where an answer within its
 * target has the value 1. Pure.
 */

#include <stdint.h>

#include "../cost/shape.h"

/** Inputs of the estimate for one server. */
struct bg_value_input {
	uint32_t service_us;   /**< mean service time of the call there */
	uint64_t delay_us;     /**< queueing and network delay before the
				    call starts */
	uint64_t target_us;    /**< time left until the target; 0: it has
				    passed. Equals left_us without a target */
	uint64_t left_us;      /**< time left until the deadline */
	uint32_t bad_permille; /**< share of calls that fail there */
	int is_remote;	       /**< in another data centre */
	const struct bg_shape *shape; /**< distribution of service times; NULL:
					   unknown, a log-normal one */
	double shape_mean;	      /**< as from bg_shape_mean */
};

/** Value of an answer after its target. */
#define BG_VALUE_LATE 0.3
/** Cost of the bytes that a call sends to another data centre. */
#define BG_VALUE_REMOTE_COST 0.06

/** Estimates the value of a call. @return 1 for a certain answer within the
 *     target by a server in the same data centre; may be negative */
double bg_expected_value(const struct bg_value_input *in);

#endif
