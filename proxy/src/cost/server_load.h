#ifndef BG_PROXY_SERVER_LOAD_H
#define BG_PROXY_SERVER_LOAD_H

/** @file
 * Decoder of the header in which backend servers report their load: calls
 * running, calls waiting, slots and, from some, the time that work takes on
 * their machine at this moment, in percent of the usual. Pure.
 */

#include <stdint.h>

struct bg_server_load {
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t slowness_permille; /**< 0: not reported */
};

/** @param text of the header, for example "3,0,12,250"
 * @return 0, or BG_EINVAL if it is not three or four decimal numbers with
 *     commas between them, and blanks around them */
int bg_server_load_parse(struct bg_server_load *out, const char *text);

#endif
