/* Announcements of the backend server: what they say becomes the state of the
 * server, and is announced to the mesh. */

#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/log.h"

#include "gate_call.h"
#include "gate_status.h"
#include "gate_warmup.h"

/* An announcement that was held for longer is dropped; the server repeats it.
 */
#define HELD_MAX_MS 2000

/* 1 if a server that reports to be ready may be one that left while an earlier
 * process ran. What that process announced has to be known first. */
static int
must_hold(const struct bg_gatekeeper *gk, const struct bg_announcement *ann)
{
	return !gk->is_recovered && ann->state == BG_ANNOUNCED_READY;
}

static void
hold(struct bg_gatekeeper *gk, const struct bg_announcement *ann)
{
	if (!gk->has_held)
		bg_log_info("gatekeeper",
		    "server held id=%s born=%llu seq=%llu recovered=%d",
		    ann->server_id, (unsigned long long)ann->started_ms,
		    (unsigned long long)ann->sequence, gk->is_recovered);
	gk->held = *ann;
	gk->held_ms = bg_clock_now_ms();
	gk->has_held = 1;
}

static void
release_held(struct bg_gatekeeper *gk)
{
	enum bg_announce_result result = BG_ANNOUNCE_UNCONFIRMED;
	uint64_t held_ms = bg_clock_now_ms() - gk->held_ms;
	struct bg_announcement *ann = &gk->held;

	if (!gk->has_held)
		return;
	gk->has_held = 0;
	ann->warmup_left_ms = ann->warmup_left_ms > held_ms
	    ? ann->warmup_left_ms - (uint32_t)held_ms
	    : 0;
	if (held_ms < HELD_MAX_MS)
		result = bg_gatekeeper_announce(gk, ann);
	if (result != BG_ANNOUNCE_HELD)
		gk->on_decided(gk->decided_arg, result);
}

static void
restore_server(struct bg_gatekeeper *gk, const struct bg_server_record *record)
{
	enum bg_server_state before = gk->server.state;

	if (!bg_server_restore(&gk->server, record, bg_clock_now_ms()))
		return;
	bg_log_info("gatekeeper",
	    "server restored id=%s state=%d before=%d born=%llu", gk->server.id,
	    (int)gk->server.state, (int)before,
	    (unsigned long long)gk->server.started_ms);
	/* Other nodes know the state that the earlier process announced. */
	if (before != BG_SERVER_UNKNOWN)
		bg_gate_publish(gk);
}

void
bg_gatekeeper_restore(
    struct bg_gatekeeper *gk, const struct bg_server_record *record)
{
	gk->is_recovered = 1;
	if (!gk->settings->server.sends_heartbeats)
		return;
	if (record != NULL)
		restore_server(gk, record);
	release_held(gk);
}

void
bg_gate_on_status(struct bg_gatekeeper *gk, int is_serving)
{
	if (!gk->has_held)
		return;
	if (is_serving) {
		bg_challenge_confirm(&gk->challenge, &gk->held);
		release_held(gk);
		return;
	}
	gk->has_held = 0;
	gk->on_decided(gk->decided_arg, BG_ANNOUNCE_UNCONFIRMED);
}

static void
log_unconfirmed(
    const struct bg_gatekeeper *gk, const struct bg_announcement *ann)
{
	bg_log_info("gatekeeper",
	    "server unconfirmed id=%s born=%llu seq=%llu refused_seq=%llu",
	    ann->server_id, (unsigned long long)ann->started_ms,
	    (unsigned long long)ann->sequence,
	    (unsigned long long)gk->challenge.sequence);
}

/* Decides whether an announcement waits for the record of an earlier process or
 * for the status of the server (BG_ANNOUNCE_HELD), has to be repeated
 * (BG_ANNOUNCE_UNCONFIRMED), or may be applied (BG_ANNOUNCE_CHANGED). */
static enum bg_announce_result
check_announcement(struct bg_gatekeeper *gk, const struct bg_announcement *ann)
{
	enum bg_challenge_result check;
	int error;

	if (!gk->settings->server.sends_heartbeats)
		return BG_ANNOUNCE_CHANGED;
	check = bg_challenge_check(
	    &gk->challenge, &gk->server, ann, bg_clock_now_ms());
	/* Before the record is known, so that the server has repeated it by
	 * then. */
	if (check == BG_CHALLENGE_REFUSED)
		return BG_ANNOUNCE_UNCONFIRMED;
	if (must_hold(gk, ann))
		return BG_ANNOUNCE_HELD;
	if (check == BG_CHALLENGE_ACCEPTED)
		return BG_ANNOUNCE_CHANGED;
	error = bg_gate_status_ask(gk);
	if (error == BG_ENOTFOUND)
		return BG_ANNOUNCE_CHANGED;
	return error == 0 ? BG_ANNOUNCE_HELD : BG_ANNOUNCE_UNCONFIRMED;
}

static void
start_drain_timer(struct bg_gatekeeper *gk)
{
	static const struct timeval tv = {0, BG_GATE_DRAIN_GRACE_MS * 1000};

	event_add(gk->drain_timer, &tv);
}

static void
reset_for_new_server(struct bg_gatekeeper *gk)
{
	bg_limiter_reset(&gk->limiter);
	memset(&gk->work, 0, sizeof(gk->work));
	bg_backend_close_idle(gk->backend);
}

static int
is_new_lifetime(
    const struct bg_gatekeeper *gk, const struct bg_server *previous)
{
	return previous->state == BG_SERVER_UNKNOWN ||
	    strcmp(previous->id, gk->server.id) != 0 ||
	    previous->started_ms != gk->server.started_ms;
}

enum bg_announce_result
bg_gatekeeper_announce(
    struct bg_gatekeeper *gk, const struct bg_announcement *ann)
{
	struct bg_server previous = gk->server;
	struct bg_announcement copy = *ann;
	enum bg_announce_result result;
	int is_new;

	if (gk->backend == NULL ||
	    !bg_announcement_matches_service(ann, gk->settings->server.service))
		return BG_ANNOUNCE_REJECTED;
	if (!copy.has_started_ms)
		copy.started_ms = bg_clock_wall_ms();
	result = check_announcement(gk, &copy);
	if (result == BG_ANNOUNCE_HELD)
		hold(gk, &copy);
	else if (result == BG_ANNOUNCE_UNCONFIRMED)
		log_unconfirmed(gk, &copy);
	if (result != BG_ANNOUNCE_CHANGED)
		return result;
	result = bg_server_update(&gk->server, &copy, bg_clock_now_ms());
	is_new = is_new_lifetime(gk, &previous);
	if (result == BG_ANNOUNCE_UNCHANGED)
		bg_gate_warmup_announced(gk, &copy, is_new);
	if (result != BG_ANNOUNCE_CHANGED)
		return result;
	bg_log_info("gatekeeper",
	    "server id=%s version=%s state=%d before=%d slots=%u born=%llu "
	    "seq=%llu",
	    gk->server.id, gk->server.version, (int)gk->server.state,
	    (int)previous.state, gk->server.slots,
	    (unsigned long long)gk->server.started_ms,
	    (unsigned long long)gk->server.sequence);
	if (is_new)
		reset_for_new_server(gk);
	bg_limiter_set_slots(&gk->limiter, gk->server.slots);
	gk->connect_failures = 0;
	if (gk->server.leaving_since_ms != 0 && previous.leaving_since_ms == 0)
		start_drain_timer(gk);
	bg_gate_publish(gk);
	/* Starts queued calls, so the slots must be set. */
	bg_gate_warmup_announced(gk, &copy, is_new);
	return result;
}
