#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node.h"
#include "node_list.h"

/* A node serves its own pages immediately, so a longer silence is a failure. */
#define RESPONSE_TIMEOUT_S 5
/* The counts of 256 series over three days take about 22 MiB. */
#define BODY_MAX_BYTES (32 * 1024 * 1024)
/* Well below the usual limit of 1,024 open files. */
#define CONCURRENT_FETCHES_MAX 128

struct batch {
	struct event_base *base;
	size_t pending;
};

struct fetch {
	struct batch *batch;
	struct bg_cli_node *node;
	struct evhttp_connection *conn;
};

static int
contains_address(const struct bg_cli_nodes *nodes, const char *address)
{
	size_t i;

	for (i = 0; i < nodes->count; i++)
		if (strcmp(nodes->items[i].address, address) == 0)
			return 1;
	return 0;
}

static int
add_node(struct bg_cli_nodes *nodes, const char *address, struct bg_error *err)
{
	char ip[BG_CLI_ADDRESS_BYTES];
	struct bg_cli_node *grown;
	uint16_t port;

	if (bg_cli_node_parse_address(ip, &port, address) != 0)
		return bg_error_set(err, BG_EINVAL, "node", NULL,
		    "--node: expected IP:PORT, found \"%.64s\"", address);
	if (contains_address(nodes, address))
		return 0;
	grown = realloc(nodes->items, (nodes->count + 1) * sizeof(*grown));
	if (grown == NULL)
		return bg_error_set(
		    err, BG_ENOMEM, "node", NULL, "out of memory");
	nodes->items = grown;
	memset(&grown[nodes->count], 0, sizeof(*grown));
	snprintf(grown[nodes->count].address,
	    sizeof(grown[nodes->count].address), "%s", address);
	nodes->count++;
	return 0;
}

int
bg_cli_nodes_parse(
    struct bg_cli_nodes *out, const char *list, struct bg_error *err)
{
	char address[BG_CLI_ADDRESS_BYTES];
	const char *rest = list;
	size_t len;
	int error = 0;

	memset(out, 0, sizeof(*out));
	if (list == NULL)
		return bg_error_set(err, BG_EINVAL, "node", NULL,
		    "expected the nodes' addresses by --node or "
		    "BURDOCKGRADE_NODE");
	do {
		len = strcspn(rest, ",");
		snprintf(address, sizeof(address), "%.*s", (int)len, rest);
		error = add_node(out, address, err);
		rest += len + (rest[len] == ',');
	} while (error == 0 && *rest != '\0');
	if (error != 0)
		bg_cli_nodes_free(out);
	return error;
}

static void
finish_fetch(struct fetch *fetch)
{
	if (fetch->node->is_done)
		return;
	fetch->node->is_done = 1;
	if (fetch->node->body == NULL && fetch->node->http_status == 0)
		snprintf(fetch->node->error_message,
		    sizeof(fetch->node->error_message),
		    "the node does not answer");
	else if (fetch->node->body == NULL)
		snprintf(fetch->node->error_message,
		    sizeof(fetch->node->error_message), "HTTP status %d",
		    fetch->node->http_status);
	if (--fetch->batch->pending == 0)
		event_base_loopbreak(fetch->batch->base);
}

static void
on_response(struct evhttp_request *req, void *arg)
{
	struct fetch *fetch = arg;
	struct evbuffer *buffer;
	size_t bytes;

	if (req != NULL)
		fetch->node->http_status =
		    evhttp_request_get_response_code(req);
	if (fetch->node->http_status == HTTP_OK) {
		buffer = evhttp_request_get_input_buffer(req);
		bytes = evbuffer_get_length(buffer);
		if ((fetch->node->body = calloc(1, bytes + 1)) != NULL)
			evbuffer_remove(buffer, fetch->node->body, bytes);
	}
	finish_fetch(fetch);
}

static void
start_fetch(struct fetch *fetch, const char *path)
{
	struct evhttp_request *req = evhttp_request_new(on_response, fetch);
	char ip[BG_CLI_ADDRESS_BYTES];
	uint16_t port = 0;

	/* Cannot fail: the address was validated when the list was parsed. */
	bg_cli_node_parse_address(ip, &port, fetch->node->address);
	fetch->conn =
	    evhttp_connection_base_new(fetch->batch->base, NULL, ip, port);
	if (req == NULL || fetch->conn == NULL) {
		if (req != NULL)
			evhttp_request_free(req);
		finish_fetch(fetch);
		return;
	}
	evhttp_connection_set_timeout(fetch->conn, RESPONSE_TIMEOUT_S);
	evhttp_connection_set_max_body_size(fetch->conn, BODY_MAX_BYTES);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host",
	    fetch->node->address);
	evhttp_add_header(
	    evhttp_request_get_output_headers(req), "Connection", "close");
	if (evhttp_make_request(fetch->conn, req, EVHTTP_REQ_GET, path) != 0)
		finish_fetch(fetch);
}

static int
fetch_batch(struct bg_cli_node *nodes, size_t count, const char *path)
{
	static struct fetch fetches[CONCURRENT_FETCHES_MAX];
	struct batch batch = {event_base_new(), count};
	size_t i;

	if (batch.base == NULL)
		return BG_ENOMEM;
	memset(fetches, 0, sizeof(fetches));
	for (i = 0; i < count; i++) {
		fetches[i].batch = &batch;
		fetches[i].node = &nodes[i];
		start_fetch(&fetches[i], path);
	}
	if (batch.pending > 0)
		event_base_dispatch(batch.base);
	for (i = 0; i < count; i++)
		if (fetches[i].conn != NULL)
			evhttp_connection_free(fetches[i].conn);
	event_base_free(batch.base);
	return 0;
}

int
bg_cli_nodes_fetch(struct bg_cli_nodes *nodes, const char *path)
{
	size_t count;
	size_t i;
	int error = 0;

	for (i = 0; error == 0 && i < nodes->count; i += count) {
		count = nodes->count - i;
		if (count > CONCURRENT_FETCHES_MAX)
			count = CONCURRENT_FETCHES_MAX;
		error = fetch_batch(&nodes->items[i], count, path);
	}
	return error;
}

void
bg_cli_nodes_free(struct bg_cli_nodes *nodes)
{
	size_t i;

	for (i = 0; i < nodes->count; i++)
		free(nodes->items[i].body);
	free(nodes->items);
	memset(nodes, 0, sizeof(*nodes));
}
