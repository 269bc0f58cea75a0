#include <stdio.h>
#include <string.h>

#include "gatekeeper/challenge.h"
#include "suite.h"

#define NODE_STARTED_MS 1790000100000ULL
#define OLD_MS (NODE_STARTED_MS - 60000)

static struct bg_challenge challenge;
static struct bg_server srv;
static uint64_t now_ms;
static int is_serving; /* what the server says if it is asked */
static uint32_t asked; /* how often it was */

static void
setup(void)
{
	memset(&srv, 0, sizeof(srv));
	now_ms = 1000;
	is_serving = 1;
	asked = 0;
	bg_challenge_init(&challenge, NODE_STARTED_MS);
}

/* Applies an announcement if it is accepted. @return 1 if it was */
static int
announce(const char *id, uint64_t started_ms, uint64_t sequence,
    enum bg_announced_state state)
{
	struct bg_announcement ann = {.started_ms = started_ms,
	    .has_started_ms = 1,
	    .sequence = sequence,
	    .state = state};

	snprintf(ann.server_id, sizeof(ann.server_id), "%s", id);
	if (bg_challenge_check(&challenge, &srv, &ann, now_ms) ==
	    BG_CHALLENGE_ASK_SERVER) {
		asked++;
		if (is_serving)
			bg_challenge_confirm(&challenge, &ann);
	}
	if (bg_challenge_check(&challenge, &srv, &ann, now_ms) !=
	    BG_CHALLENGE_ACCEPTED)
		return 0;
	bg_server_update(&srv, &ann, now_ms);
	return 1;
}

static int
announce_ready(const char *id, uint64_t started_ms, uint64_t sequence)
{
	return announce(id, started_ms, sequence, BG_ANNOUNCED_READY);
}

/* Guards against a late heartbeat that brings back a server whose leaving
 * nobody remembers (review/9: DRAIN). */
START_TEST(late_heartbeat_alone_is_refused)
{
	struct bg_server_record ready = {"a", "v1", OLD_MS, 0};

	bg_server_restore(&srv, &ready, 1000);
	ck_assert(!announce_ready("a", OLD_MS, 7));
	ck_assert(!announce_ready("a", OLD_MS, 7));
	ck_assert(!announce_ready("a", OLD_MS, 6));
	ck_assert_int_eq(srv.state, BG_SERVER_UNKNOWN);
	ck_assert_uint_eq(asked, 0);
	/* The same if no record names the lifetime: it began in an outage. */
	setup();
	ck_assert(!announce_ready("a", OLD_MS, 7));
	ck_assert_int_eq(srv.state, BG_SERVER_UNKNOWN);
}
END_TEST

/* Guards against a sound server that stays idle after a loss of power. */
START_TEST(repeated_heartbeat_is_accepted)
{
	ck_assert(!announce_ready("a", OLD_MS, 7));
	ck_assert(announce_ready("a", OLD_MS, 8));
	ck_assert_int_eq(srv.state, BG_SERVER_READY);
	ck_assert(announce_ready("a", OLD_MS, 9));
	ck_assert_uint_eq(asked, 1);
}
END_TEST

/* Heartbeats of a server that does not say that it serves are refused. */
static void
refuse_heartbeats(uint64_t count)
{
	uint64_t i;

	is_serving = 0;
	for (i = 1; i <= count; i++) {
		ck_assert(!announce_ready("a", OLD_MS, i));
		now_ms += 1500;
	}
}

/* Guards against a server that has left and is used again, since the second of
 * its late heartbeats looks like a repetition. */
START_TEST(series_of_late_heartbeats_is_refused)
{
	refuse_heartbeats(6);
	ck_assert_uint_eq(asked, 5);
}
END_TEST

/* Guards against a server that is idle for good, since it sends heartbeats but
 * does not say at its health path that it serves. */
START_TEST(heartbeats_that_go_on_are_accepted)
{
	refuse_heartbeats(7);
	ck_assert(announce_ready("a", OLD_MS, 8));
}
END_TEST

/* Guards against a server that is shut out for good: it started after the clock
 * was set back, and a late heartbeat of its predecessor came first. */
START_TEST(later_lifetime_that_has_ended_does_not_shut_out_the_server)
{
	ck_assert(!announce_ready("a", OLD_MS + 5000, 7));
	ck_assert(!announce_ready("a", OLD_MS, 1));
	ck_assert(!announce_ready("a", OLD_MS, 2));
	now_ms += 10500;
	ck_assert(!announce_ready("a", OLD_MS, 9));
	ck_assert(announce_ready("a", OLD_MS, 10));
}
END_TEST

/* Guards against a delay of servers that start together with their node. */
START_TEST(young_server_is_accepted_at_once)
{
	ck_assert(announce_ready("a", NODE_STARTED_MS - 500, 1));
	ck_assert(announce_ready("b", NODE_STARTED_MS + 500, 1));
	ck_assert_str_eq(srv.id, "b");
}
END_TEST

/* Guards against a clock that was set back between the starts: the record shows
 * that the server is older than this process. */
START_TEST(recorded_lifetime_is_challenged_whatever_the_clock_says)
{
	struct bg_server_record ready = {"a", "v1", NODE_STARTED_MS + 900, 0};

	bg_server_restore(&srv, &ready, 1000);
	ck_assert(!announce_ready("a", NODE_STARTED_MS + 900, 7));
}
END_TEST

/* A server that leaves is not asked to repeat that. */
START_TEST(leaving_is_accepted_at_once)
{
	ck_assert(announce("a", OLD_MS, 7, BG_ANNOUNCED_DRAINING));
	ck_assert_int_eq(srv.state, BG_SERVER_DRAINING);
	ck_assert(announce_ready("a", OLD_MS, 6));
	ck_assert_int_eq(srv.state, BG_SERVER_DRAINING);
}
END_TEST

/* Guards against late heartbeats of an earlier lifetime that keep the server
 * out by coming between its own. */
START_TEST(earlier_lifetime_does_not_disturb_the_challenge)
{
	ck_assert(!announce_ready("a", OLD_MS, 40));
	ck_assert(!announce_ready("a", OLD_MS + 5000, 1));
	ck_assert(!announce_ready("a", OLD_MS, 41));
	ck_assert(announce_ready("a", OLD_MS + 5000, 2));
	ck_assert_uint_eq(srv.started_ms, OLD_MS + 5000);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("challenge");

	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_test(tc, late_heartbeat_alone_is_refused);
	tcase_add_test(tc, repeated_heartbeat_is_accepted);
	tcase_add_test(tc, series_of_late_heartbeats_is_refused);
	tcase_add_test(tc, heartbeats_that_go_on_are_accepted);
	tcase_add_test(
	    tc, later_lifetime_that_has_ended_does_not_shut_out_the_server);
	tcase_add_test(tc, young_server_is_accepted_at_once);
	tcase_add_test(
	    tc, recorded_lifetime_is_challenged_whatever_the_clock_says);
	tcase_add_test(tc, leaving_is_accepted_at_once);
	tcase_add_test(tc, earlier_lifetime_does_not_disturb_the_challenge);
	return run_suite("challenge", tc);
}
