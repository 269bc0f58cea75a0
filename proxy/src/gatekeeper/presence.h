#ifndef BG_PROXY_PRESENCE_H
#define BG_PROXY_PRESENCE_H

/** @file
 * Checks whether a server still listens at its address.
 */

#include <event2/event.h>

/** Limit of the check. The server is on the same VM. */
#define BG_PRESENCE_TIMEOUT_MS 200

/** @param is_listening 0 if the connection was refused; 1 if it was
 *     established, or if that is unknown */
typedef void (*bg_presence_fn)(void *arg, int is_listening);

/**
 * Connects to an address and closes the connection.
 *
 * @param address "ip:port"
 * @param fn runs once, in this function or later
 */
void bg_presence_check(
    struct event_base *base, const char *address, bg_presence_fn fn, void *arg);

#endif
