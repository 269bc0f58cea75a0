#ifndef BG_LINK_ADDRESS_H
#define BG_LINK_ADDRESS_H

#include <netinet/in.h>

#include <event2/util.h>

/** Parses "ip:port". @return 0 or BG_EINVAL */
int bg_parse_address(struct sockaddr_in *out, const char *address);

/** Binds the source address of a socket; ip may be NULL. */
int bg_bind_source(evutil_socket_t fd, const char *ip);

/** Sends small messages at once. */
void bg_set_nodelay(evutil_socket_t fd);

#endif
