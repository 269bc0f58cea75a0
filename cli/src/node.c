#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node.h"

/* A node serves its own pages immediately, so a longer silence is a failure. */
#define RESPONSE_TIMEOUT_S 5
/* Ample: the status of 140 services takes less than 64 KiB. */
#define BODY_MAX_BYTES (16 * 1024 * 1024)

struct fetch {
	struct event_base *base;
	char *body;
	int status;
};

static void
on_response(struct evhttp_request *req, void *arg)
{
	struct fetch *fetch = arg;
	struct evbuffer *buffer;
	size_t bytes;

	event_base_loopbreak(fetch->base);
	if (req == NULL ||
	    (fetch->status = evhttp_request_get_response_code(req)) != 200)
		return;
	buffer = evhttp_request_get_input_buffer(req);
	bytes = evbuffer_get_length(buffer);
	if ((fetch->body = calloc(1, bytes + 1)) != NULL)
		evbuffer_remove(buffer, fetch->body, bytes);
}

int
bg_cli_node_parse_address(
    char ip[BG_CLI_ADDRESS_BYTES], uint16_t *port, const char *address)
{
	const char *colon = strrchr(address, ':');
	struct in_addr addr;
	char *end;
	unsigned long number;

	if (colon == NULL || (size_t)(colon - address) >= BG_CLI_ADDRESS_BYTES)
		return BG_EINVAL;
	snprintf(
	    ip, BG_CLI_ADDRESS_BYTES, "%.*s", (int)(colon - address), address);
	number = strtoul(colon + 1, &end, 10);
	if (colon[1] < '0' || colon[1] > '9' || *end != '\0' || number == 0 ||
	    number > UINT16_MAX || inet_pton(AF_INET, ip, &addr) != 1)
		return BG_EINVAL;
	*port = (uint16_t)number;
	return 0;
}

static int
run_request(struct fetch *fetch, struct evhttp_connection *conn,
    const char *host, const char *path)
{
	struct evhttp_request *req = evhttp_request_new(on_response, fetch);

	if (req == NULL)
		return BG_ENOMEM;
	evhttp_connection_set_timeout(conn, RESPONSE_TIMEOUT_S);
	evhttp_connection_set_max_body_size(conn, BODY_MAX_BYTES);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host", host);
	evhttp_add_header(
	    evhttp_request_get_output_headers(req), "Connection", "close");
	if (evhttp_make_request(conn, req, EVHTTP_REQ_GET, path) != 0)
		return BG_EIO;
	event_base_dispatch(fetch->base);
	return 0;
}

static int
fetch_page(char **out_body, const char *address, const char *path,
    struct bg_error *err)
{
	struct fetch fetch = {NULL, NULL, 0};
	struct evhttp_connection *conn = NULL;
	char ip[BG_CLI_ADDRESS_BYTES];
	uint16_t port = 0;

	if (bg_cli_node_parse_address(ip, &port, address) != 0)
		return bg_error_set(err, BG_EINVAL, "node", NULL,
		    "--node: expected IP:PORT, found \"%.64s\"", address);
	if ((fetch.base = event_base_new()) != NULL)
		conn = evhttp_connection_base_new(fetch.base, NULL, ip, port);
	if (conn != NULL)
		run_request(&fetch, conn, address, path);
	if (conn != NULL)
		evhttp_connection_free(conn);
	if (fetch.base != NULL)
		event_base_free(fetch.base);
	if (fetch.body == NULL && fetch.status != 0)
		return bg_error_set(err, BG_EIO, "node", address,
		    "%s: HTTP status %d", path, fetch.status);
	if (fetch.body == NULL)
		return bg_error_set(
		    err, BG_EIO, "node", address, "the node does not answer");
	*out_body = fetch.body;
	return 0;
}

int
bg_cli_node_fetch(char **out_body, const struct bg_cli *cli, const char *path,
    struct bg_error *err)
{
	char address[BG_CLI_ADDRESS_BYTES];
	const char *rest = cli->node_addresses;
	size_t len;
	int error = BG_EINVAL;

	*out_body = NULL;
	if (rest == NULL || rest[0] == '\0')
		return bg_error_set(err, BG_EINVAL, "node", NULL,
		    "expected a node's address by --node or "
		    "BURDOCKGRADE_NODE");
	while (*rest != '\0') {
		len = strcspn(rest, ",");
		snprintf(address, sizeof(address), "%.*s", (int)len, rest);
		error = fetch_page(out_body, address, path, err);
		if (error == 0 || error == BG_EINVAL)
			return error;
		rest += len + (rest[len] == ',');
	}
	return error;
}
