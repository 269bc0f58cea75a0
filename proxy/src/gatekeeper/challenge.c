#include <stdio.h>
#include <string.h>

#include "challenge.h"

/* A server this much older than the process of its node may have left before.
 * A younger one had no time to start, to leave and to have its node restarted.
 */
#define OLDER_MIN_MS 1000
/* Heartbeats come late by seconds. Those that go on for longer after the first
 * one that was refused were sent after it. */
#define LATE_MAX_MS 10000

static int
is_lifetime(
    const char *id, uint64_t started_ms, const struct bg_announcement *ann)
{
	return strcmp(id, ann->server_id) == 0 && started_ms == ann->started_ms;
}

/* 1 if an earlier process may have acknowledged that this server leaves. */
static int
may_have_left(const struct bg_challenge *chl, const struct bg_server *srv,
    const struct bg_announcement *ann)
{
	/* In any other state, this process knows the lifetime. */
	if (is_lifetime(srv->id, srv->started_ms, ann))
		return srv->state == BG_SERVER_UNKNOWN;
	/* bg_server_update() does not take it for a new lifetime. */
	if (srv->id[0] != '\0' && ann->started_ms <= srv->started_ms)
		return 0;
	return ann->started_ms + OLDER_MIN_MS < chl->node_started_ms;
}

/* 1 if no late heartbeat is expected any more. */
static int
has_waited(const struct bg_challenge *chl, uint64_t now_ms)
{
	return now_ms - chl->refused_ms >= LATE_MAX_MS;
}

static void
refuse(struct bg_challenge *chl, const struct bg_announcement *ann,
    uint64_t now_ms)
{
	snprintf(chl->id, sizeof(chl->id), "%s", ann->server_id);
	chl->started_ms = ann->started_ms;
	chl->sequence = ann->sequence;
	chl->refused_ms = now_ms;
	chl->is_confirmed = 0;
}

void
bg_challenge_init(struct bg_challenge *chl, uint64_t node_started_ms)
{
	memset(chl, 0, sizeof(*chl));
	chl->node_started_ms = node_started_ms;
}

enum bg_challenge_result
bg_challenge_check(struct bg_challenge *chl, const struct bg_server *srv,
    const struct bg_announcement *ann, uint64_t now_ms)
{
	if (ann->state != BG_ANNOUNCED_READY || !may_have_left(chl, srv, ann))
		return BG_CHALLENGE_ACCEPTED;
	if (!is_lifetime(chl->id, chl->started_ms, ann)) {
		/* Late heartbeats of an earlier lifetime may come in between;
		 * after the clock was set back, it is the current one. */
		if (ann->started_ms >= chl->started_ms ||
		    has_waited(chl, now_ms))
			refuse(chl, ann, now_ms);
		return BG_CHALLENGE_REFUSED;
	}
	if (ann->sequence <= chl->sequence)
		return BG_CHALLENGE_REFUSED;
	if (chl->is_confirmed || has_waited(chl, now_ms))
		return BG_CHALLENGE_ACCEPTED;
	return BG_CHALLENGE_ASK_SERVER;
}

void
bg_challenge_confirm(
    struct bg_challenge *chl, const struct bg_announcement *ann)
{
	if (is_lifetime(chl->id, chl->started_ms, ann))
		chl->is_confirmed = 1;
}
