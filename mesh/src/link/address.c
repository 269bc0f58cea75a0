#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "burdockgrade/error.h"

#include "address.h"

#ifndef IP_BIND_ADDRESS_NO_PORT
#define IP_BIND_ADDRESS_NO_PORT 24
#endif

int
bg_parse_address(struct sockaddr_in *out, const char *address)
{
	const char *colon = strrchr(address, ':');
	char ip[INET_ADDRSTRLEN];
	char *end;
	unsigned long port;

	memset(out, 0, sizeof(*out));
	if (colon == NULL || (size_t)(colon - address) >= sizeof(ip) ||
	    colon[1] < '0' || colon[1] > '9')
		return BG_EINVAL;
	memcpy(ip, address, (size_t)(colon - address));
	ip[colon - address] = '\0';
	port = strtoul(colon + 1, &end, 10);
	/* Port 0 is valid: it selects a free port for a listener. */
	if (*end != '\0' || port > UINT16_MAX)
		return BG_EINVAL;
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, ip, &out->sin_addr) == 1 ? 0 : BG_EINVAL;
}

int
bg_bind_source(evutil_socket_t fd, const char *ip)
{
	struct sockaddr_in sin;
	int on = 1;

	if (ip == NULL || ip[0] == '\0')
		return 0;
	memset(&sin, 0, sizeof(sin));
	sin.sin_family = AF_INET;
	if (inet_pton(AF_INET, ip, &sin.sin_addr) != 1)
		return BG_EINVAL;
	/* bind() would reserve a port for this socket alone, and ports could
	 * run out. With this option the kernel selects the port in connect(),
	 * and connections to different peers can have the same one. An error is
	 * ignored, since the socket also works with a reserved port. */
	setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0)
		return BG_EIO;
	return 0;
}

void
bg_set_nodelay(evutil_socket_t fd)
{
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}
