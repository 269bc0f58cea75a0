#ifndef BG_PROXY_VALUE_H
#define BG_PROXY_VALUE_H

/** @file
 * What sending a call to one server is expected to be worth, in parts of the
 * worth of an answer within its target. Pure.
 */

#include <stdint.h>

/** What is known when a server is weighed. */
struct bg_value_input {
	uint32_t service_us;   /**< average time of such a call there */
	uint64_t delay_us;     /**< wait and way before the call starts */
	uint64_t target_us;    /**< left until the answer is worth less; 0:
				    there is no target */
	uint64_t left_us;      /**< left until nobody waits any more */
	uint32_t bad_permille; /**< share of calls that fail there */
	int is_remote;	       /**< in another data centre */
};

/** Worth of an answer after its target. */
#define BG_VALUE_LATE 0.3
/** What the bytes of a call to another data centre cost. */
#define BG_VALUE_REMOTE_COST 0.06

/** @return 1 for a certain answer in time by a near server; may be negative */
double bg_expected_value(const struct bg_value_input *in);

#endif
