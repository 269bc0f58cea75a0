#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"

#include "backend.h"
#include "health.h"
#include "probe.h"

#define PROBE_BODY_BYTES 65536
#define PROBE_PATH "/health"

struct bg_health {
	struct event_base *base;
	struct bg_mesh *mesh;
	struct bg_backend *backend; /* probes do not take a call's connection */
	struct bg_exchange *exchange;
	struct event *timer;
	struct bg_probe probe;
	struct bg_rand rand;
	uint64_t ready_since_ms;
	int is_stopped;
	char path[BG_SETTING_BYTES];
	char version[BG_NAME_BYTES];
};

static void
arm(struct bg_health *hlt, uint32_t delay_ms)
{
	struct timeval tv = {delay_ms / 1000, (delay_ms % 1000) * 1000};

	event_add(hlt->timer, &tv);
}

static void
take_version(struct bg_health *hlt, const char *version)
{
	if (version == NULL || version[0] == '\0' ||
	    strlen(version) >= sizeof(hlt->version) ||
	    strcmp(hlt->version, version) == 0)
		return;
	bg_log_info("gatekeeper", "server version from=%s to=%s", hlt->version,
	    version);
	snprintf(hlt->version, sizeof(hlt->version), "%s", version);
	bg_mesh_set_server_version(hlt->mesh, version);
}

static void
take_result(struct bg_health *hlt, enum bg_probe_result result)
{
	if (!bg_probe_result(&hlt->probe, result, bg_clock_now_ms()))
		return;
	if (hlt->probe.is_ready)
		hlt->ready_since_ms = bg_clock_wall_ms();
	bg_log_info("gatekeeper", "backend server state=%s",
	    hlt->probe.is_ready ? "ready" : "starting");
	if (!hlt->is_stopped)
		bg_mesh_set_state(hlt->mesh,
		    hlt->probe.is_ready ? BG_MEMBER_READY : BG_MEMBER_STARTING);
}

static void
on_probe(void *arg, const struct bg_exchange_result *res)
{
	struct bg_health *hlt = arg;
	enum bg_probe_result result = BG_PROBE_BAD;

	hlt->exchange = NULL;
	if (res->code == 0 && res->http_status / 100 == 2) {
		/* The version is announced before the state, so that no call
		 * is routed to a ready server under its old version. */
		take_version(hlt, res->version);
		result = BG_PROBE_GOOD;
	} else if (res->code == BG_EUNAVAILABLE)
		result = BG_PROBE_REFUSED;
	take_result(hlt, result);
	arm(hlt, bg_probe_interval_ms(&hlt->probe));
}

static void
send_probe(struct bg_health *hlt)
{
	struct bg_exchange_options opts;
	char id[BG_REQUEST_ID_BYTES];

	memset(&opts, 0, sizeof(opts));
	snprintf(id, sizeof(id), "probe-%016llx",
	    (unsigned long long)bg_rand_next(&hlt->rand));
	opts.method = "GET";
	opts.path = hlt->path;
	opts.request_id = id;
	opts.deadline_ms = BG_PROBE_TIMEOUT_MS;
	opts.depth = 1;
	opts.is_fresh_needed = 1;
	opts.is_probe = 1;
	if (bg_backend_send(
		&hlt->exchange, hlt->backend, &opts, on_probe, hlt) == 0) {
		arm(hlt, BG_PROBE_TIMEOUT_MS);
		return;
	}
	take_result(hlt, BG_PROBE_REFUSED);
	arm(hlt, bg_probe_interval_ms(&hlt->probe));
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct bg_health *hlt = arg;

	if (hlt->exchange != NULL) {
		bg_backend_cancel(hlt->exchange);
		hlt->exchange = NULL;
		take_result(hlt, BG_PROBE_BAD);
	}
	send_probe(hlt);
}

void
bg_health_answered(struct bg_health *hlt, const char *version)
{
	bg_probe_answered(&hlt->probe, bg_clock_now_ms());
	take_version(hlt, version);
}

void
bg_health_suspect(struct bg_health *hlt)
{
	if (hlt->exchange == NULL)
		arm(hlt, 0);
}

void
bg_health_stop(struct bg_health *hlt)
{
	hlt->is_stopped = 1;
}

int
bg_health_is_ready(const struct bg_health *hlt)
{
	return hlt->probe.is_ready;
}

uint64_t
bg_health_ready_since_ms(const struct bg_health *hlt)
{
	return hlt->ready_since_ms;
}

const char *
bg_health_version(const struct bg_health *hlt)
{
	return hlt->version;
}

int
bg_health_init(struct bg_health **out, struct event_base *base,
    const struct bg_settings *settings, struct bg_mesh *mesh,
    struct bg_error *err)
{
	struct bg_health *hlt;
	const char *path = settings->server.probe_path;
	int error;

	if ((hlt = calloc(1, sizeof(*hlt))) == NULL)
		return BG_ENOMEM;
	hlt->base = base;
	hlt->mesh = mesh;
	bg_rand_init(&hlt->rand, 0);
	snprintf(hlt->path, sizeof(hlt->path), "%s",
	    path[0] != '\0' ? path : PROBE_PATH);
	snprintf(
	    hlt->version, sizeof(hlt->version), "%s", settings->server.version);
	error = bg_backend_init(&hlt->backend, base, settings->server.address,
	    1, PROBE_BODY_BYTES, err);
	if (error != 0)
		goto on_error;
	error = BG_ENOMEM;
	if ((hlt->timer = event_new(base, -1, 0, on_timer, hlt)) == NULL)
		goto on_error;
	arm(hlt, 0);
	*out = hlt;
	return 0;
on_error:
	bg_health_free(hlt);
	return error;
}

void
bg_health_free(struct bg_health *hlt)
{
	if (hlt == NULL)
		return;
	bg_backend_free(hlt->backend);
	if (hlt->timer != NULL)
		event_free(hlt->timer);
	free(hlt);
}
