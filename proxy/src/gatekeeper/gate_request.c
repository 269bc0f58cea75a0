#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "gate_request.h"

/* Maximum number of headers that the gatekeeper adds to a request. */
#define ADDED_HEADERS 5

/* Storage for values of added headers. */
struct added_headers {
	char deadline[16];
	char depth[16];
};

/* Copies the headers of the call. A node of an earlier build passes on what the
 * caller sent as its key or as the name of an organisation. */
static uint32_t
copy_headers(struct bg_xheader *out, const struct bg_xcall_args *args,
    const struct bg_header_names *names)
{
	const struct bg_xheader *header = args->headers.headers_val;
	const struct bg_xheader *end = header + args->headers.headers_len;
	uint32_t n = 0;

	for (; header < end; header++) {
		if (strcasecmp(header->name, names->key) != 0 &&
		    strcasecmp(header->name, names->organisation) != 0)
			out[n++] = *header;
	}
	return n;
}

static uint32_t
add_headers(struct bg_xheader *out, struct bg_gate_call *call,
    struct added_headers *values, uint32_t left_ms)
{
	const struct bg_xcall_args *args = call->args;
	struct bg_gatekeeper *gk = call->gatekeeper;
	const struct bg_header_names *names = &gk->settings->headers;
	uint32_t n = copy_headers(out, args, names);

	snprintf(values->deadline, sizeof(values->deadline), "%u", left_ms);
	out[n].name = (char *)names->deadline_ms;
	out[n++].value = values->deadline;
	out[n].name = (char *)names->expected_server;
	out[n++].value = gk->server.id;
	if (args->caller_service[0] != '\0') {
		out[n].name = (char *)names->caller_service;
		out[n++].value = args->caller_service;
	}
	if (names->organisation[0] != '\0' &&
	    args->extension.organisation[0] != '\0') {
		out[n].name = (char *)names->organisation;
		out[n++].value = args->extension.organisation;
	}
	if (names->call_depth[0] != '\0') {
		snprintf(values->depth, sizeof(values->depth), "%u",
		    args->depth + 1);
		out[n].name = (char *)names->call_depth;
		out[n++].value = values->depth;
	}
	return n;
}

int
bg_gate_request_send(struct bg_gate_call *call, uint32_t left_ms,
    int needs_new_connection, bg_exchange_fn fn)
{
	struct bg_xheader headers[BG_HEADERS_MAX + ADDED_HEADERS];
	const struct bg_xcall_args *args = call->args;
	struct bg_exchange_options opts;
	struct added_headers values;

	memset(&opts, 0, sizeof(opts));
	opts.method = args->method;
	opts.path = args->path;
	opts.host = args->host;
	opts.request_id = args->request_id;
	opts.headers = headers;
	opts.header_count = add_headers(headers, call, &values, left_ms);
	opts.body = args->body.body_val;
	opts.body_bytes = args->body.body_len;
	opts.needs_fresh_connection = !args->idempotent;
	opts.needs_new_connection = needs_new_connection;
	opts.may_lack_request_id =
	    !call->gatekeeper->settings->server.sends_heartbeats;
	return bg_backend_send(
	    &call->exchange, call->gatekeeper->backend, &opts, fn, call);
}
