#include <stdio.h>
#include <string.h>

#include "server.h"

static int
is_leaving(enum bg_server_state state)
{
	return state == BG_SERVER_DRAINING || state == BG_SERVER_GONE;
}

static enum bg_server_state
state_of(enum bg_announced_state state)
{
	switch (state) {
	case BG_ANNOUNCED_READY:
		return BG_SERVER_READY;
	case BG_ANNOUNCED_DRAINING:
		return BG_SERVER_DRAINING;
	default:
		return BG_SERVER_GONE;
	}
}

static int
is_new_lifetime(const struct bg_server *srv, const struct bg_announcement *ann)
{
	return srv->id[0] == '\0' ||
	    (ann->has_started_ms && ann->started_ms > srv->started_ms);
}

/* A farewell has no sequence and may lack the time of birth. */
static int
is_farewell(const struct bg_server *srv, const struct bg_announcement *ann)
{
	return ann->state == BG_ANNOUNCED_GONE &&
	    strcmp(srv->id, ann->server_id) == 0 &&
	    (!ann->has_started_ms || ann->started_ms == srv->started_ms);
}

static int
is_successor(const struct bg_server *srv, const struct bg_announcement *ann)
{
	return strcmp(srv->id, ann->server_id) == 0 &&
	    ann->started_ms == srv->started_ms &&
	    ann->sequence > srv->sequence && srv->state != BG_SERVER_GONE;
}

static void
take(struct bg_server *srv, const struct bg_announcement *ann)
{
	snprintf(srv->id, sizeof(srv->id), "%s", ann->server_id);
	if (ann->state == BG_ANNOUNCED_GONE) {
		/* A later lifetime starts after the farewell. */
		if (srv->started_ms == 0)
			srv->started_ms = ann->started_ms;
		return;
	}
	snprintf(srv->version, sizeof(srv->version), "%s", ann->server_version);
	srv->started_ms = ann->started_ms;
	srv->sequence = ann->sequence;
	srv->slots = ann->slots;
}

int
bg_announcement_is_of(const struct bg_announcement *ann, const char *service)
{
	if (ann->state == BG_ANNOUNCED_GONE && ann->service[0] == '\0')
		return 1;
	return strcmp(ann->service, service) == 0;
}

enum bg_announce_result
bg_server_announce(
    struct bg_server *srv, const struct bg_announcement *ann, uint64_t now_ms)
{
	enum bg_server_state state = state_of(ann->state);
	struct bg_server before = *srv;

	if (is_farewell(srv, ann) || is_successor(srv, ann)) {
		/* A server that leaves does not come back in this lifetime. */
		if (is_leaving(srv->state) && state == BG_SERVER_READY)
			state = srv->state;
	} else if (is_new_lifetime(srv, ann)) {
		srv->leaving_ms = 0;
	} else
		return BG_ANNOUNCE_OLD;
	take(srv, ann);
	srv->heard_ms = now_ms;
	srv->state = state;
	if (is_leaving(state) && srv->leaving_ms == 0)
		srv->leaving_ms = now_ms;
	return before.state == srv->state && before.slots == srv->slots &&
		strcmp(before.id, srv->id) == 0 &&
		strcmp(before.version, srv->version) == 0
	    ? BG_ANNOUNCE_SAME
	    : BG_ANNOUNCE_TAKEN;
}

void
bg_server_lose(struct bg_server *srv)
{
	if (srv->state == BG_SERVER_READY)
		srv->state = BG_SERVER_LOST;
}

int
bg_server_regain(struct bg_server *srv)
{
	if (srv->state != BG_SERVER_LOST)
		return 0;
	srv->state = BG_SERVER_READY;
	return 1;
}

int
bg_server_takes_calls(
    const struct bg_server *srv, uint32_t drain_ms, uint64_t now_ms)
{
	if (srv->state == BG_SERVER_READY)
		return 1;
	return is_leaving(srv->state) && now_ms - srv->leaving_ms < drain_ms;
}
