#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"

#include "backend.h"
#include "headers.h"
#include "probe.h"

/* Largest body of a response to a probe. Such responses are short; a probe with
 * a larger one fails. */
#define PROBE_BODY_BYTES 65536
/* Probes are sent one at a time. */
#define PROBE_CONNECTIONS 1
#define VERSION_HEADER "X-Version"

struct bg_probe {
	const struct bg_settings *settings;
	struct bg_probe_handler handler;
	struct bg_backend *backend; /* separate from that of the calls */
	struct bg_exchange *exchange;
	struct event *timer; /* timeout while exchange is set, else the time of
				the next probe */
	struct bg_rand rand;
	uint64_t sequence;
	uint64_t lifetime; /* counter, incremented when a lost server is back;
			      reported in place of its start time */
	uint32_t consecutive_failures;
	int is_lost;
	char version[BG_NAME_BYTES];
};

static void
set_timer(struct bg_probe *prb, uint32_t ms)
{
	struct timeval tv = {ms / 1000, (suseconds_t)(ms % 1000) * 1000};

	event_add(prb->timer, &tv);
}

/* Reads how long the server stays cold. A response without the header, or with
 * one that is not a number, does not say it. */
static void
read_warmup(struct bg_announcement *out, const struct bg_probe *prb,
    const struct bg_exchange_result *res)
{
	const char *name = prb->settings->headers.warmup_left;
	const char *text = name[0] == '\0'
	    ? NULL
	    : bg_header_find(res->headers, res->header_count, name);
	unsigned long long ms;
	char *end;

	if (text == NULL || !isdigit((unsigned char)text[0]))
		return;
	ms = strtoull(text, &end, 10);
	/* A fraction of a millisecond is ignored. */
	if (*end != '\0' && *end != '.')
		return;
	out->warmup_left_ms = ms > UINT32_MAX ? UINT32_MAX : (uint32_t)ms;
	out->has_warmup_left = 1;
}

static void
report_success(struct bg_probe *prb, const struct bg_exchange_result *res)
{
	const struct bg_settings *set = prb->settings;
	struct bg_announcement ann;

	if (prb->is_lost) {
		prb->is_lost = 0;
		prb->lifetime++;
		prb->sequence = 0;
	}
	memset(&ann, 0, sizeof(ann));
	/* An "ip:port" has at most 21 characters. The limit of 40 leaves room
	 * for '.' and the 20 digits of a lifetime. */
	snprintf(ann.server_id, sizeof(ann.server_id), "%.40s.%llu",
	    set->server.address, (unsigned long long)prb->lifetime);
	snprintf(ann.service, sizeof(ann.service), "%.*s", BG_NAME_BYTES - 1,
	    set->server.service);
	snprintf(
	    ann.server_version, sizeof(ann.server_version), "%s", prb->version);
	ann.state = BG_ANNOUNCED_READY;
	ann.slots = set->server.slots;
	/* Probes do not show the time at which the server started. A counter
	 * serves as well: announcements with a higher value belong to a new
	 * lifetime (bg_server_update()). */
	ann.started_ms = prb->lifetime;
	ann.has_started_ms = 1;
	ann.sequence = ++prb->sequence;
	read_warmup(&ann, prb, res);
	prb->handler.announce(prb->handler.arg, &ann);
}

/* Counts a failed probe. The server is lost at once if no connection to it can
 * be opened. Otherwise it is lost after BG_PROBE_FAILURES_MAX failures in a
 * row, unless it responded to a call recently: then it is alive, even if its
 * health page says otherwise.
 *
 * @param is_connect_failure 1 if no connection was established: refused, timed
 *     out, or not attempted for lack of memory */
static void
report_failure(struct bg_probe *prb, int is_connect_failure)
{
	prb->consecutive_failures++;
	if (prb->is_lost)
		return;
	if (!is_connect_failure &&
	    (prb->consecutive_failures < BG_PROBE_FAILURES_MAX ||
		prb->handler.has_recent_response(prb->handler.arg)))
		return;
	prb->is_lost = 1;
	prb->handler.lost(prb->handler.arg);
}

static void
on_response(void *arg, const struct bg_exchange_result *res)
{
	struct bg_probe *prb = arg;
	const char *version;

	prb->exchange = NULL;
	if (res->code == 0 && res->http_status / 100 == 2) {
		version = bg_header_find(
		    res->headers, res->header_count, VERSION_HEADER);
		if (version != NULL)
			snprintf(prb->version, sizeof(prb->version), "%.*s",
			    BG_NAME_BYTES - 1, version);
		prb->consecutive_failures = 0;
		report_success(prb, res);
	} else
		report_failure(prb, res->code == BG_EUNAVAILABLE);
	set_timer(prb,
	    prb->consecutive_failures == 0 && !prb->is_lost
		? BG_PROBE_INTERVAL_MS
		: BG_PROBE_UNREADY_INTERVAL_MS);
}

static void
send_probe(struct bg_probe *prb)
{
	struct bg_exchange_options opts;
	char id[BG_REQUEST_ID_BYTES];

	memset(&opts, 0, sizeof(opts));
	snprintf(id, sizeof(id), "probe-%016llx",
	    (unsigned long long)bg_rand_next(&prb->rand));
	opts.method = "GET";
	opts.path = prb->settings->server.probe_path;
	opts.host = prb->settings->server.address;
	opts.request_id = id;
	/* A connection that was idle for more than BG_CONNECTION_IDLE_MAX_MS
	 * may be dead, and a probe on it would fail although the server is
	 * alive. */
	opts.needs_fresh_connection = 1;
	opts.may_lack_request_id = 1;
	if (bg_backend_send(
		&prb->exchange, prb->backend, &opts, on_response, prb) == 0) {
		set_timer(prb, BG_PROBE_TIMEOUT_MS);
		return;
	}
	report_failure(prb, 1);
	set_timer(prb, BG_PROBE_UNREADY_INTERVAL_MS);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct bg_probe *prb = arg;

	if (prb->exchange != NULL) {
		/* No response within BG_PROBE_TIMEOUT_MS. */
		bg_backend_cancel(prb->exchange);
		prb->exchange = NULL;
		report_failure(prb, 0);
	}
	send_probe(prb);
}

void
bg_probe_trigger(struct bg_probe *prb)
{
	if (prb->exchange == NULL)
		set_timer(prb, 0);
}

int
bg_probe_init(struct bg_probe **out, struct event_base *base,
    const struct bg_settings *settings, const struct bg_probe_handler *handler,
    struct bg_error *err)
{
	struct bg_backend_options opts = {base, settings->server.address,
	    &settings->headers, PROBE_CONNECTIONS, PROBE_BODY_BYTES, NULL};
	struct bg_probe *prb;
	int error;

	if ((prb = calloc(1, sizeof(*prb))) == NULL)
		return BG_ENOMEM;
	prb->settings = settings;
	prb->handler = *handler;
	prb->lifetime = 1;
	bg_rand_init(&prb->rand, 0); /* 0: seeded by the operating system */
	snprintf(prb->version, sizeof(prb->version), "%.*s", BG_NAME_BYTES - 1,
	    settings->server.version);
	if ((error = bg_backend_init(&prb->backend, &opts, err)) != 0)
		goto on_error;
	error = BG_ENOMEM;
	if ((prb->timer = evtimer_new(base, on_timer, prb)) == NULL)
		goto on_error;
	set_timer(prb, 0);
	*out = prb;
	return 0;
on_error:
	bg_probe_free(prb);
	return error;
}

void
bg_probe_free(struct bg_probe *prb)
{
	if (prb == NULL)
		return;
	bg_backend_free(prb->backend);
	if (prb->timer != NULL)
		event_free(prb->timer);
	free(prb);
}
