#include <stdio.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"

#include "gate_status.h"
#include "headers.h"

/* Shorter than the second for which a server waits for the answer to its
 * heartbeat, which is held until then. */
#define STATUS_TIMEOUT_MS 500

int
bg_gate_status_is_serving(
    const struct bg_exchange_result *res, const char *id_header, const char *id)
{
	const char *sender;

	if (res->code != 0 || res->http_status / 100 != 2)
		return 0;
	sender = bg_header_find(res->headers, res->header_count, id_header);
	return sender == NULL || strcmp(sender, id) == 0;
}

static void
finish(struct bg_gatekeeper *gk, int is_serving)
{
	gk->status_exchange = NULL;
	event_del(gk->status_timer);
	bg_gate_on_status(gk, is_serving);
}

static void
on_response(void *arg, const struct bg_exchange_result *res)
{
	struct bg_gatekeeper *gk = arg;
	int is_serving = bg_gate_status_is_serving(
	    res, gk->settings->headers.server_id, gk->held.server_id);

	bg_log_info("gatekeeper",
	    "server status id=%s code=%d http=%u serving=%d",
	    gk->held.server_id, res->code, res->http_status, is_serving);
	finish(gk, is_serving);
}

static void
on_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct bg_gatekeeper *gk = arg;

	bg_log_info("gatekeeper", "server status id=%s timeout_ms=%d",
	    gk->held.server_id, STATUS_TIMEOUT_MS);
	bg_backend_cancel(gk->status_exchange);
	finish(gk, 0);
}

int
bg_gate_status_init(struct bg_gatekeeper *gk)
{
	gk->status_timer = evtimer_new(gk->base, on_timeout, gk);
	return gk->status_timer == NULL ? BG_ENOMEM : 0;
}

void
bg_gate_status_free(struct bg_gatekeeper *gk)
{
	if (gk->status_exchange != NULL)
		bg_backend_cancel(gk->status_exchange);
	if (gk->status_timer != NULL)
		event_free(gk->status_timer);
}

static int
send_request(struct bg_gatekeeper *gk)
{
	static const struct timeval timeout = {0, STATUS_TIMEOUT_MS * 1000};
	struct bg_exchange_options opts;
	struct bg_xheader id_header;
	char id[BG_REQUEST_ID_BYTES];
	int error;

	snprintf(id, sizeof(id), "status-%llu",
	    (unsigned long long)bg_clock_wall_ms());
	id_header.name = (char *)gk->settings->headers.request_id;
	id_header.value = id;
	memset(&opts, 0, sizeof(opts));
	opts.method = "GET";
	opts.path = gk->status_path;
	opts.host = gk->settings->server.address;
	opts.request_id = id;
	opts.headers = &id_header;
	opts.header_count = 1;
	opts.needs_fresh_connection = 1;
	opts.may_lack_request_id = 1;
	error = bg_backend_send(
	    &gk->status_exchange, gk->backend, &opts, on_response, gk);
	if (error == 0)
		event_add(gk->status_timer, &timeout);
	return error;
}

int
bg_gate_status_ask(struct bg_gatekeeper *gk)
{
	if (gk->status_exchange != NULL || !gk->is_status_path_known)
		return 0;
	if (gk->status_path[0] == '\0')
		return BG_ENOTFOUND;
	return send_request(gk);
}

/* 1 if a heartbeat is held until the health path is known. Until the record of
 * an earlier process is known, it is held for that. */
static int
is_waiting_for_path(const struct bg_gatekeeper *gk)
{
	return gk->has_held && gk->is_recovered && gk->status_exchange == NULL;
}

void
bg_gate_status_configure(struct bg_gatekeeper *gk, const struct bg_service *svc)
{
	int error;

	snprintf(
	    gk->status_path, sizeof(gk->status_path), "%s", svc->probe_path);
	gk->is_status_path_known = 1;
	if (!is_waiting_for_path(gk))
		return;
	error = bg_gate_status_ask(gk);
	if (error != 0)
		bg_gate_on_status(gk, error == BG_ENOTFOUND);
}
