#include <stdio.h>
#include <string.h>

#include "gatekeeper/server.h"
#include "suite.h"

#define DRAIN_MS 500

static struct bg_server srv;
static uint64_t now_ms;

static void
setup(void)
{
	memset(&srv, 0, sizeof(srv));
	now_ms = 1000;
}

static struct bg_announcement
make_announcement(const char *id, uint64_t started_ms, uint64_t sequence,
    enum bg_announced_state state)
{
	struct bg_announcement ann;

	memset(&ann, 0, sizeof(ann));
	snprintf(ann.server_id, sizeof(ann.server_id), "%s", id);
	snprintf(ann.server_version, sizeof(ann.server_version), "v1");
	ann.started_ms = started_ms;
	ann.has_started_ms = 1;
	ann.sequence = sequence;
	ann.slots = 6;
	ann.state = state;
	return ann;
}

static enum bg_announce_result
announce(const char *id, uint64_t started_ms, uint64_t sequence,
    enum bg_announced_state state)
{
	struct bg_announcement ann =
	    make_announcement(id, started_ms, sequence, state);

	return bg_server_update(&srv, &ann, now_ms);
}

static enum bg_announce_result
announce_ready(const char *id, uint64_t started_ms, uint64_t sequence)
{
	return announce(id, started_ms, sequence, BG_ANNOUNCED_READY);
}

START_TEST(first_heartbeat_makes_it_ready)
{
	ck_assert_int_eq(bg_server_accepts_calls(&srv, DRAIN_MS, now_ms), 0);
	ck_assert_int_eq(announce_ready("a", 50, 1), BG_ANNOUNCE_CHANGED);
	ck_assert_int_eq(bg_server_accepts_calls(&srv, DRAIN_MS, now_ms), 1);
	ck_assert_int_eq(announce_ready("a", 50, 2), BG_ANNOUNCE_UNCHANGED);
	ck_assert_uint_eq(srv.slots, 6);
}
END_TEST

/* Guards against a delayed heartbeat that overwrites a newer one. */
START_TEST(reordered_heartbeat_is_ignored)
{
	announce_ready("a", 50, 7);
	ck_assert_int_eq(
	    announce("a", 50, 8, BG_ANNOUNCED_DRAINING), BG_ANNOUNCE_CHANGED);
	ck_assert_int_eq(announce_ready("a", 50, 6), BG_ANNOUNCE_STALE);
	ck_assert_int_eq(srv.state, BG_SERVER_DRAINING);
}
END_TEST

/* Guards against calls to a draining server whose next heartbeat reports ready
 * again. */
START_TEST(draining_is_final_within_a_lifetime)
{
	announce_ready("a", 50, 1);
	announce("a", 50, 2, BG_ANNOUNCED_DRAINING);
	announce_ready("a", 50, 3);
	ck_assert_int_eq(srv.state, BG_SERVER_DRAINING);
	now_ms += DRAIN_MS;
	ck_assert_int_eq(bg_server_accepts_calls(&srv, DRAIN_MS, now_ms), 0);
}
END_TEST

/* Guards against sending calls to a server long after it announced that it is
 * leaving (P8), and against refusing calls that were on their way to it. */
START_TEST(leaving_server_accepts_calls_in_grace_period)
{
	announce_ready("a", 50, 1);
	now_ms = 5000;
	announce("a", 50, 2, BG_ANNOUNCED_DRAINING);
	ck_assert_int_eq(bg_server_accepts_calls(&srv, DRAIN_MS, 5499), 1);
	ck_assert_int_eq(bg_server_accepts_calls(&srv, DRAIN_MS, 5500), 0);
	/* A later deregistration does not begin a new grace period. */
	now_ms = 6000;
	announce("a", 50, 0, BG_ANNOUNCED_GONE);
	ck_assert_int_eq(bg_server_accepts_calls(&srv, DRAIN_MS, 6000), 0);
}
END_TEST

/* A server that does not announce draining deregisters directly. */
START_TEST(deregistration_without_body_is_applied)
{
	struct bg_announcement ann;

	announce_ready("a", 50, 1);
	memset(&ann, 0, sizeof(ann));
	snprintf(ann.server_id, sizeof(ann.server_id), "a");
	ann.state = BG_ANNOUNCED_GONE;
	ck_assert_int_eq(
	    bg_server_update(&srv, &ann, now_ms), BG_ANNOUNCE_CHANGED);
	ck_assert_int_eq(srv.state, BG_SERVER_GONE);
	ck_assert_int_eq(announce_ready("a", 50, 2), BG_ANNOUNCE_STALE);
}
END_TEST

/* Guards against a restarted node that receives a deregistration first and then
 * takes a delayed heartbeat for a new start of the server (bench: DRAIN,
 * Bélanger trouble-2 seed 396914109657). */
START_TEST(deregistration_as_first_message_is_final)
{
	struct bg_announcement ann =
	    make_announcement("a", 9000, 0, BG_ANNOUNCED_GONE);

	ann.has_started_ms = 0;
	ck_assert_int_eq(
	    bg_server_update(&srv, &ann, now_ms), BG_ANNOUNCE_CHANGED);
	ck_assert_int_eq(announce_ready("a", 50, 7), BG_ANNOUNCE_STALE);
	ck_assert_int_eq(srv.state, BG_SERVER_GONE);
	ck_assert_int_eq(announce_ready("a", 9500, 1), BG_ANNOUNCE_CHANGED);
	ck_assert_int_eq(srv.state, BG_SERVER_READY);
	snprintf(ann.server_id, sizeof(ann.server_id), "b");
	ann.started_ms = 9900;
	ck_assert_int_eq(
	    bg_server_update(&srv, &ann, now_ms), BG_ANNOUNCE_STALE);
}
END_TEST

/* Guards against rejecting a deregistration without a body because its service
 * is missing. A server that had not announced draining repeated it endlessly,
 * while it went on receiving calls. */
START_TEST(deregistration_may_omit_the_service)
{
	struct bg_announcement ann =
	    make_announcement("a", 50, 1, BG_ANNOUNCED_GONE);

	ck_assert_int_eq(bg_announcement_matches_service(&ann, "tents"), 1);
	snprintf(ann.service, sizeof(ann.service), "nets");
	ck_assert_int_eq(bg_announcement_matches_service(&ann, "tents"), 0);
	ck_assert_int_eq(bg_announcement_matches_service(&ann, "nets"), 1);
	ann.state = BG_ANNOUNCED_READY;
	ann.service[0] = '\0';
	ck_assert_int_eq(bg_announcement_matches_service(&ann, "tents"), 0);
}
END_TEST

/* Guards against a heartbeat that a partition delayed until its sender had
 * crashed and another server had started at the address. */
START_TEST(earlier_lifetime_is_ignored)
{
	announce_ready("b", 90, 1);
	ck_assert_int_eq(announce_ready("a", 50, 99), BG_ANNOUNCE_STALE);
	ck_assert_int_eq(
	    announce("a", 50, 100, BG_ANNOUNCED_GONE), BG_ANNOUNCE_STALE);
	ck_assert_str_eq(srv.id, "b");
	ck_assert_int_eq(srv.state, BG_SERVER_READY);
}
END_TEST

/* Guards against ignoring a server that restarted under the same id, because
 * its sequence starts again. */
START_TEST(new_lifetime_under_the_same_id_is_accepted)
{
	announce_ready("a", 50, 40);
	announce("a", 50, 0, BG_ANNOUNCED_GONE);
	ck_assert_int_eq(announce_ready("a", 90, 1), BG_ANNOUNCE_CHANGED);
	ck_assert_int_eq(srv.state, BG_SERVER_READY);
	ck_assert_uint_eq(srv.leaving_since_ms, 0);
	ck_assert_int_eq(
	    announce("a", 50, 41, BG_ANNOUNCED_GONE), BG_ANNOUNCE_STALE);
	ck_assert_int_eq(srv.state, BG_SERVER_READY);
}
END_TEST

/* Guards against a lost server that is never used again, and a leaving one that
 * is used again because it responds. */
START_TEST(lost_server_recovers_with_next_heartbeat)
{
	announce_ready("a", 50, 1);
	bg_server_mark_lost(&srv);
	ck_assert_int_eq(bg_server_accepts_calls(&srv, DRAIN_MS, now_ms), 0);
	ck_assert_int_eq(announce_ready("a", 50, 2), BG_ANNOUNCE_CHANGED);
	ck_assert_int_eq(bg_server_accepts_calls(&srv, DRAIN_MS, now_ms), 1);
	bg_server_mark_lost(&srv);
	ck_assert_int_eq(bg_server_recover(&srv), 1);
	ck_assert_int_eq(bg_server_recover(&srv), 0);
	announce("a", 50, 3, BG_ANNOUNCED_DRAINING);
	bg_server_mark_lost(&srv);
	ck_assert_int_eq(srv.state, BG_SERVER_DRAINING);
}
END_TEST

static int
restore(const char *id, uint64_t started_ms, int has_left)
{
	struct bg_server_record record = {id, "v1", started_ms, has_left};

	return bg_server_restore(&srv, &record, now_ms);
}

/* Guards against a server that has left and is used again after a restart of
 * its node, because a delayed heartbeat is the first message of the new process
 * (review/1: DRAIN). */
START_TEST(server_that_left_is_not_ready_after_a_restart)
{
	ck_assert_int_eq(restore("a", 50, 1), 1);
	ck_assert_int_eq(announce_ready("a", 50, 7), BG_ANNOUNCE_STALE);
	ck_assert_int_eq(announce_ready("b", 40, 9), BG_ANNOUNCE_STALE);
	ck_assert_int_eq(bg_server_accepts_calls(&srv, DRAIN_MS, now_ms), 0);
	ck_assert_uint_ne(srv.leaving_since_ms, 0);
}
END_TEST

/* Guards against the same fault if the record is found after the heartbeat. */
START_TEST(record_that_is_found_late_stops_calls)
{
	announce_ready("a", 50, 7);
	ck_assert_int_eq(restore("a", 50, 1), 1);
	ck_assert_int_eq(bg_server_accepts_calls(&srv, DRAIN_MS, now_ms), 0);
	ck_assert_int_eq(announce_ready("a", 50, 8), BG_ANNOUNCE_STALE);
	ck_assert_int_eq(restore("a", 50, 1), 0);
}
END_TEST

/* Guards against a server that is shut out after a restart of its node: one
 * that goes on, and one that starts anew under the same or another id. */
START_TEST(record_does_not_shut_out_a_server)
{
	restore("a", 50, 0);
	ck_assert_int_eq(announce_ready("a", 50, 7), BG_ANNOUNCE_CHANGED);
	ck_assert_int_eq(bg_server_accepts_calls(&srv, DRAIN_MS, now_ms), 1);
	ck_assert_int_eq(restore("a", 50, 0), 0);
	ck_assert_int_eq(restore("z", 40, 1), 0);
	ck_assert_int_eq(bg_server_accepts_calls(&srv, DRAIN_MS, now_ms), 1);
	memset(&srv, 0, sizeof(srv));
	restore("a", 50, 1);
	ck_assert_int_eq(announce_ready("a", 60, 1), BG_ANNOUNCE_CHANGED);
	ck_assert_int_eq(bg_server_accepts_calls(&srv, DRAIN_MS, now_ms), 1);
	memset(&srv, 0, sizeof(srv));
	restore("a", 50, 1);
	ck_assert_int_eq(announce_ready("b", 60, 1), BG_ANNOUNCE_CHANGED);
	ck_assert_int_eq(bg_server_accepts_calls(&srv, DRAIN_MS, now_ms), 1);
}
END_TEST

/* Guards against a server of an older release, whose record has no start time,
 * that is shut out by it. */
START_TEST(record_without_start_time_is_ignored)
{
	ck_assert_int_eq(restore("a", 0, 1), 0);
	ck_assert_int_eq(announce_ready("a", 50, 7), BG_ANNOUNCE_CHANGED);
}
END_TEST

/* Guards against a server that is shut out, and whose leaving is ignored, since
 * the clock was set back before it started. */
START_TEST(lower_start_time_is_accepted_if_heartbeats_go_on)
{
	announce_ready("a", 5000, 4);
	ck_assert_int_eq(announce_ready("a", 4000, 1), BG_ANNOUNCE_STALE);
	now_ms += 1500;
	ck_assert_int_eq(announce_ready("a", 4000, 2), BG_ANNOUNCE_STALE);
	now_ms += 1500;
	ck_assert_int_eq(announce_ready("a", 4000, 3), BG_ANNOUNCE_CHANGED);
	ck_assert_uint_eq(srv.started_ms, 4000);
	ck_assert_int_eq(
	    announce("a", 4000, 4, BG_ANNOUNCED_DRAINING), BG_ANNOUNCE_CHANGED);
	ck_assert_int_eq(srv.state, BG_SERVER_DRAINING);
}
END_TEST

/* Guards against a server that has ended and is taken for the current one: its
 * late heartbeats come all at once, or while the current one sends its own. */
START_TEST(late_heartbeats_do_not_replace_a_lifetime)
{
	uint64_t i;

	announce_ready("b", 5000, 1);
	for (i = 1; i <= 5; i++)
		ck_assert_int_eq(
		    announce_ready("a", 4000, i), BG_ANNOUNCE_STALE);
	for (i = 2; i <= 5; i++) {
		now_ms += 1500;
		announce_ready("b", 5000, i);
		ck_assert_int_eq(
		    announce_ready("a", 4000, 5 + i), BG_ANNOUNCE_STALE);
	}
	ck_assert_str_eq(srv.id, "b");
	ck_assert_int_eq(srv.state, BG_SERVER_READY);
}
END_TEST

/* Guards against a server that has left, under the id of a lifetime that
 * crashed before, and is sent calls again since heartbeats of that one are
 * late. */
START_TEST(late_heartbeats_of_a_crashed_lifetime_are_not_accepted)
{
	uint64_t i;

	announce_ready("a", 4000, 3);
	announce_ready("a", 5000, 1);
	announce("a", 5000, 0, BG_ANNOUNCED_GONE);
	for (i = 4; i <= 8; i++) {
		now_ms += 1500;
		ck_assert_int_eq(
		    announce_ready("a", 4000, i), BG_ANNOUNCE_STALE);
	}
	ck_assert_int_eq(bg_server_accepts_calls(&srv, DRAIN_MS, now_ms), 0);
	/* The same if the later lifetime is known by its record only. */
	memset(&srv, 0, sizeof(srv));
	announce_ready("a", 4000, 3);
	restore("a", 5000, 1);
	for (i = 4; i <= 8; i++) {
		now_ms += 1500;
		ck_assert_int_eq(
		    announce_ready("a", 4000, i), BG_ANNOUNCE_STALE);
	}
}
END_TEST

/* Guards against a server that is shut out for good: it started after the clock
 * was set back, and a heartbeat of its predecessor comes late. */
START_TEST(lifetime_after_a_set_back_clock_is_not_taken_for_a_crashed_one)
{
	uint64_t i;

	announce_ready("a", 5000, 4);
	for (i = 1; i <= 3; i++) {
		announce_ready("a", 4000, i);
		now_ms += 1500;
	}
	ck_assert_uint_eq(srv.started_ms, 4000);
	announce_ready("a", 5000, 5);
	for (i = 4; i <= 6; i++) {
		announce_ready("a", 4000, i);
		now_ms += 1500;
	}
	ck_assert_uint_eq(srv.started_ms, 4000);
	ck_assert_int_eq(srv.state, BG_SERVER_READY);
}
END_TEST

/* Guards against a leaving that is refused because it was accepted before. */
START_TEST(repeated_leaving_is_accepted)
{
	announce_ready("a", 50, 1);
	announce("a", 50, 0, BG_ANNOUNCED_GONE);
	ck_assert_int_eq(
	    announce("a", 50, 2, BG_ANNOUNCED_DRAINING), BG_ANNOUNCE_UNCHANGED);
	ck_assert_int_eq(
	    announce("a", 40, 9, BG_ANNOUNCED_DRAINING), BG_ANNOUNCE_STALE);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("server");

	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_test(tc, first_heartbeat_makes_it_ready);
	tcase_add_test(tc, reordered_heartbeat_is_ignored);
	tcase_add_test(tc, draining_is_final_within_a_lifetime);
	tcase_add_test(tc, leaving_server_accepts_calls_in_grace_period);
	tcase_add_test(tc, deregistration_without_body_is_applied);
	tcase_add_test(tc, deregistration_as_first_message_is_final);
	tcase_add_test(tc, deregistration_may_omit_the_service);
	tcase_add_test(tc, earlier_lifetime_is_ignored);
	tcase_add_test(tc, new_lifetime_under_the_same_id_is_accepted);
	tcase_add_test(tc, lost_server_recovers_with_next_heartbeat);
	tcase_add_test(tc, server_that_left_is_not_ready_after_a_restart);
	tcase_add_test(tc, record_that_is_found_late_stops_calls);
	tcase_add_test(tc, record_does_not_shut_out_a_server);
	tcase_add_test(tc, record_without_start_time_is_ignored);
	tcase_add_test(tc, lower_start_time_is_accepted_if_heartbeats_go_on);
	tcase_add_test(tc, late_heartbeats_do_not_replace_a_lifetime);
	tcase_add_test(
	    tc, late_heartbeats_of_a_crashed_lifetime_are_not_accepted);
	tcase_add_test(
	    tc, lifetime_after_a_set_back_clock_is_not_taken_for_a_crashed_one);
	tcase_add_test(tc, repeated_leaving_is_accepted);
	return run_suite("server", tc);
}
