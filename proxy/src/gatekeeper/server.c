#include <stdio.h>
#include <string.h>

#include "server.h"

/* Heartbeats, and the time that they span, after which a lifetime with a lower
 * start time is taken for the current one. A server sends one every 1.5 s; late
 * ones of a server that has ended do not go on for so long while no other sends
 * any. */
#define CANDIDATE_COUNT_MIN 3
#define CANDIDATE_SPAN_MS 2000

static int
is_leaving(enum bg_server_state state)
{
	return state == BG_SERVER_DRAINING || state == BG_SERVER_GONE;
}

static enum bg_server_state
server_state(enum bg_announced_state state)
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

/* 1 for a deregistration of this lifetime, which has no sequence and may lack
 * the start time. */
static int
is_deregistration(
    const struct bg_server *srv, const struct bg_announcement *ann)
{
	return ann->state == BG_ANNOUNCED_GONE &&
	    strcmp(srv->id, ann->server_id) == 0 &&
	    (!ann->has_started_ms || ann->started_ms == srv->started_ms);
}

static int
is_newer_report(const struct bg_server *srv, const struct bg_announcement *ann)
{
	return strcmp(srv->id, ann->server_id) == 0 &&
	    ann->started_ms == srv->started_ms &&
	    ann->sequence > srv->sequence && srv->state != BG_SERVER_GONE;
}

/* 1 if a lifetime that has reported that it leaves does so again. */
static int
is_repeated_leaving(
    const struct bg_server *srv, const struct bg_announcement *ann)
{
	return is_leaving(srv->state) && ann->state != BG_ANNOUNCED_READY &&
	    strcmp(srv->id, ann->server_id) == 0 &&
	    (!ann->has_started_ms || ann->started_ms == srv->started_ms);
}

/* 1 if a later lifetime under the same id is known to have replaced this one.
 */
static int
has_ended(const struct bg_server *srv, const struct bg_announcement *ann)
{
	size_t i;

	if (strcmp(srv->id, ann->server_id) != 0 || ann->started_ms == 0)
		return 0;
	for (i = 0; i < BG_SERVER_ENDED_MAX; i++) {
		if (srv->ended_ms[i] == ann->started_ms)
			return 1;
	}
	return 0;
}

/* Replaces the current lifetime by one under the id. */
static void
begin_lifetime(struct bg_server *srv, const char *id)
{
	if (strcmp(srv->id, id) != 0)
		memset(srv->ended_ms, 0, sizeof(srv->ended_ms));
	srv->leaving_since_ms = 0;
	srv->is_drained = 0;
	srv->is_set_back = 0;
}

/* Replaces the current lifetime by a later one under the id. */
static void
begin_later_lifetime(struct bg_server *srv, const char *id)
{
	/* After the clock was set back, what seems to be later may be a late
	 * heartbeat from before. */
	if (!srv->is_set_back) {
		srv->ended_ms[srv->next_ended] = srv->started_ms;
		srv->next_ended = (srv->next_ended + 1) % BG_SERVER_ENDED_MAX;
	}
	begin_lifetime(srv, id);
}

/* Counts an announcement of a lifetime with a lower start time. @return 1 if it
 * is the current one */
static int
update_candidate(
    struct bg_server *srv, const struct bg_announcement *ann, uint64_t now_ms)
{
	struct bg_server_candidate *cand = &srv->candidate;

	if (ann->state == BG_ANNOUNCED_GONE || !ann->has_started_ms ||
	    ann->started_ms >= srv->started_ms || has_ended(srv, ann))
		return 0;
	if (strcmp(cand->id, ann->server_id) != 0 ||
	    cand->started_ms != ann->started_ms) {
		memset(cand, 0, sizeof(*cand));
		snprintf(cand->id, sizeof(cand->id), "%s", ann->server_id);
		cand->started_ms = ann->started_ms;
		cand->since_ms = now_ms;
	} else if (ann->sequence <= cand->sequence)
		return 0;
	cand->sequence = ann->sequence;
	cand->count++;
	return cand->count >= CANDIDATE_COUNT_MIN &&
	    now_ms - cand->since_ms >= CANDIDATE_SPAN_MS;
}

static void
store_announcement(struct bg_server *srv, const struct bg_announcement *ann)
{
	snprintf(srv->id, sizeof(srv->id), "%s", ann->server_id);
	if (ann->state == BG_ANNOUNCED_GONE) {
		/* Without a start time, which is the current time then, and
		 * without an earlier announcement, only lifetimes that start
		 * after the deregistration are accepted. */
		if (ann->has_started_ms || srv->started_ms == 0)
			srv->started_ms = ann->started_ms;
		return;
	}
	snprintf(srv->version, sizeof(srv->version), "%s", ann->server_version);
	srv->started_ms = ann->started_ms;
	srv->sequence = ann->sequence;
	srv->slots = ann->slots;
}

int
bg_announcement_matches_service(
    const struct bg_announcement *ann, const char *service)
{
	if (ann->state == BG_ANNOUNCED_GONE && ann->service[0] == '\0')
		return 1;
	return strcmp(ann->service, service) == 0;
}

enum bg_announce_result
bg_server_update(
    struct bg_server *srv, const struct bg_announcement *ann, uint64_t now_ms)
{
	enum bg_server_state state = server_state(ann->state);
	struct bg_server previous = *srv;

	if (is_deregistration(srv, ann) || is_newer_report(srv, ann)) {
		/* Leaving is final within a lifetime. */
		if (is_leaving(srv->state) && state == BG_SERVER_READY)
			state = srv->state;
	} else if (is_new_lifetime(srv, ann)) {
		begin_later_lifetime(srv, ann->server_id);
	} else if (update_candidate(srv, ann, now_ms)) {
		begin_lifetime(srv, ann->server_id);
		srv->is_set_back = 1;
	} else
		return is_repeated_leaving(srv, ann) ? BG_ANNOUNCE_UNCHANGED
						     : BG_ANNOUNCE_STALE;
	memset(&srv->candidate, 0, sizeof(srv->candidate));
	store_announcement(srv, ann);
	srv->last_announced_ms = now_ms;
	srv->state = state;
	if (is_leaving(state) && srv->leaving_since_ms == 0)
		srv->leaving_since_ms = now_ms;
	return previous.state == srv->state && previous.slots == srv->slots &&
		previous.started_ms == srv->started_ms &&
		strcmp(previous.id, srv->id) == 0 &&
		strcmp(previous.version, srv->version) == 0
	    ? BG_ANNOUNCE_UNCHANGED
	    : BG_ANNOUNCE_CHANGED;
}

static int
is_recorded_lifetime(
    const struct bg_server *srv, const struct bg_server_record *record)
{
	return strcmp(srv->id, record->id) == 0 &&
	    srv->started_ms == record->started_ms;
}

static void
set_left(struct bg_server *srv, uint64_t now_ms)
{
	srv->state = BG_SERVER_GONE;
	srv->leaving_since_ms = now_ms;
	srv->is_drained = 1;
}

int
bg_server_restore(struct bg_server *srv, const struct bg_server_record *record,
    uint64_t now_ms)
{
	if (record->started_ms == 0)
		return 0;
	if (is_recorded_lifetime(srv, record)) {
		if (!record->has_left || is_leaving(srv->state))
			return 0;
		set_left(srv, now_ms);
		return 1;
	}
	if (srv->id[0] != '\0' && srv->started_ms >= record->started_ms)
		return 0;
	begin_later_lifetime(srv, record->id);
	srv->state = BG_SERVER_UNKNOWN;
	srv->sequence = 0;
	srv->slots = 0;
	srv->last_announced_ms = 0;
	memset(&srv->candidate, 0, sizeof(srv->candidate));
	snprintf(srv->id, sizeof(srv->id), "%s", record->id);
	snprintf(srv->version, sizeof(srv->version), "%s", record->version);
	srv->started_ms = record->started_ms;
	if (record->has_left)
		set_left(srv, now_ms);
	return 1;
}

void
bg_server_mark_lost(struct bg_server *srv)
{
	if (srv->state == BG_SERVER_READY)
		srv->state = BG_SERVER_LOST;
}

int
bg_server_recover(struct bg_server *srv)
{
	if (srv->state != BG_SERVER_LOST)
		return 0;
	srv->state = BG_SERVER_READY;
	return 1;
}

int
bg_server_accepts_calls(
    const struct bg_server *srv, uint32_t drain_ms, uint64_t now_ms)
{
	if (srv->state == BG_SERVER_READY)
		return 1;
	return is_leaving(srv->state) && !srv->is_drained &&
	    now_ms - srv->leaving_since_ms < drain_ms;
}
