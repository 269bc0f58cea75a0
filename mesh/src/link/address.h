#ifndef BG_LINK_ADDRESS_H
#define BG_LINK_ADDRESS_H

#include <netinet/in.h>

#include <event2/util.h>

/** Parses "ip:port" with an IPv4 address. @return 0 or BG_EINVAL */
int bg_parse_address(struct sockaddr_in *out, const char *address);

/**
 * Binds a socket to a source address.
 *
 * @param ip IPv4 address; with NULL or "" the socket is left unbound
 * @return 0, BG_EINVAL if the address is not valid, or BG_EIO
 */
int bg_bind_source(evutil_socket_t fd, const char *ip);

/** Disables Nagle's algorithm, so that small messages are sent at once. */
void bg_set_nodelay(evutil_socket_t fd);

#endif
