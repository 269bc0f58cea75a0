#ifndef STANDIN_FAULT_PROXY_H
#define STANDIN_FAULT_PROXY_H

/** @file
 * Mappings and their connections.
 */

#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include "burdockgrade/clock.h"

#include "rules.h"

#define MAPS_MAX 1024

struct connection;

struct map {
	struct proxy *proxy;
	struct evconnlistener *listener;
	struct sockaddr_in target;
	char target_ip[INET_ADDRSTRLEN];
	int is_rpc;
};

struct proxy {
	struct event_base *base;
	struct evhttp *control;
	struct map maps[MAPS_MAX];
	size_t map_count;
	struct connection *connections;
	struct rules rules;
	struct bg_rand rnd;
	uint64_t accepted;
	uint64_t cut;
};

/** Adds "LISTEN=TARGET[,rpc]". @return 0, or -1 with a message on stderr */
int proxy_map(struct proxy *prx, const char *text);
/** Takes new rules into account, one-time actions included. */
void proxy_apply(struct proxy *prx);
void proxy_free(struct proxy *prx);

/** Listens for POST /control and GET /stats. @return 0 or -1 */
int control_init(struct proxy *prx, const char *address);

/** Parses "ip:port". @return 0 or -1 */
int parse_address(struct sockaddr_in *out, const char *text);

#endif
