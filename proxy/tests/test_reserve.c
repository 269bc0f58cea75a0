/* Short urgent calls beside long patient ones at the slots of one server. */

#include <string.h>

#include "limiter/limiter.h"
#include "suite.h"

#define SLOTS 12
#define URGENT_US 70000
#define URGENT_TARGET_US 200000
#define LONG_US 430000
#define LONG_TARGET_US 2000000
#define SECOND_US 1000000

static const struct bg_reserve_call URGENT = {
    "hint", 0, URGENT_US, URGENT_TARGET_US};
static const struct bg_reserve_call LONG = {
    "album", 2, LONG_US, LONG_TARGET_US};

static struct bg_reserve rsv;
static uint64_t now_us;

static void
setup(void)
{
	memset(&rsv, 0, sizeof(rsv));
	now_us = SECOND_US;
}

static void
arrive(const struct bg_reserve_call *call, int per_s, int seconds)
{
	int i;

	for (i = 0; i < per_s * seconds; i++) {
		now_us += SECOND_US / (uint64_t)per_s;
		bg_reserve_record_arrival(&rsv, call, now_us);
	}
}

static uint32_t
slots_for(const struct bg_reserve_call *call)
{
	return bg_reserve_slots(&rsv, call, SLOTS, now_us);
}

/* Load: 20 urgent calls a second, 1.4 running on average. Guards against slots
 * that are all taken by long calls when the next urgent one comes. */
START_TEST(long_work_leaves_room_for_what_is_likely_to_come)
{
	setup();
	arrive(&URGENT, 20, 20);
	ck_assert_uint_eq(slots_for(&LONG), 2);
	ck_assert_uint_eq(slots_for(&URGENT), 0);
	bg_reserve_record_start(&rsv, URGENT.route, URGENT.priority);
	ck_assert_uint_eq(slots_for(&LONG), 1);
	bg_reserve_record_end(&rsv, URGENT.route, URGENT.priority);
	ck_assert_uint_eq(slots_for(&LONG), 2);
}
END_TEST

/* Load: the priority is that of the organisation, so that urgent and long calls
 * share it. Guards against a reserve that needs a difference in priority, and
 * against one for the calls of an organisation of lower priority. */
START_TEST(each_priority_is_counted_by_itself)
{
	struct bg_reserve_call call = URGENT;

	setup();
	call.priority = LONG.priority;
	arrive(&call, 20, 20);
	ck_assert_uint_eq(slots_for(&LONG), 2);
	call.priority = LONG.priority + 1;
	arrive(&call, 200, 1);
	ck_assert_uint_le(slots_for(&LONG), 2);
}
END_TEST

/* Guards against a fixed share: slots that stay free when no urgent call has
 * come for a while, and half of the slots as the bound of a burst. */
START_TEST(reserve_follows_the_rate)
{
	setup();
	arrive(&URGENT, 400, 10);
	ck_assert_uint_eq(slots_for(&LONG), SLOTS / 2);
	now_us += 20 * SECOND_US;
	ck_assert_uint_eq(slots_for(&LONG), 0);
	arrive(&URGENT, 1, 5);
	ck_assert_uint_eq(slots_for(&LONG), 0);
}
END_TEST

/* Guards against a reserve in deployments without such a load: urgent calls
 * that can wait for a long one, calls that are as long, a lower priority, or no
 * target. */
START_TEST(nothing_is_reserved_without_need)
{
	static const struct bg_reserve_call OTHERS[] = {
	    {"patient", 0, URGENT_US, URGENT_US + LONG_US},
	    {"as-long", 0, LONG_US / 2, URGENT_TARGET_US + LONG_US / 2},
	    {"lower", 3, URGENT_US, URGENT_TARGET_US},
	    {"no-target", 0, URGENT_US, 0},
	};
	size_t i;

	for (i = 0; i < sizeof(OTHERS) / sizeof(OTHERS[0]); i++) {
		setup();
		arrive(&OTHERS[i], 50, 10);
		ck_assert_uint_eq(slots_for(&LONG), 0);
	}
}
END_TEST

/* Load: a route that can wait for long calls, with single late attempts that
 * cannot. Guards against a reserve for the whole route because of the last
 * one. */
START_TEST(late_attempt_does_not_make_a_route_urgent)
{
	struct bg_reserve_call patient = URGENT;

	setup();
	patient.target_us = LONG_TARGET_US;
	arrive(&patient, 50, 10);
	patient.target_us = URGENT_TARGET_US;
	bg_reserve_record_arrival(&rsv, &patient, now_us);
	ck_assert_uint_eq(slots_for(&LONG), 0);
}
END_TEST

static struct bg_limiter lim;
static struct bg_limiter_entry entries[64];

static enum bg_limiter_admission
acquire_for(int i, const struct bg_reserve_call *call, const char *organisation)
{
	memset(&entries[i], 0, sizeof(entries[i]));
	entries[i].route = call->route;
	entries[i].organisation = organisation;
	entries[i].priority = call->priority;
	entries[i].target_us = now_us + call->target_us;
	entries[i].latest_start_us = now_us + 4 * call->target_us;
	return bg_limiter_acquire(&lim, &entries[i], now_us);
}

static enum bg_limiter_admission
acquire(int i, const struct bg_reserve_call *call)
{
	return acquire_for(i, call, "");
}

/* Runs some calls at the same time. */
static void
run(int count, const struct bg_reserve_call *call)
{
	int i;

	for (i = 0; i < count; i++)
		ck_assert_int_eq(acquire(i, call), BG_LIMITER_STARTED);
	now_us += call->service_us;
	for (i = 0; i < count; i++)
		bg_limiter_release(&lim, &entries[i], now_us, BG_LIMITER_OK);
}

/* Load: long calls queue for slots of which some are kept for urgent ones.
 * Guards against an urgent call that finds none, and against long calls that
 * wait for ever for a reserve that nobody uses. */
START_TEST(urgent_call_finds_a_slot_under_load)
{
	int started = 0;
	int i;

	now_us = SECOND_US;
	bg_limiter_init(&lim, SLOTS);
	run(1, &LONG);
	for (i = 0; i < 60; i++)
		run(2, &URGENT);
	for (i = 0; i < 2 * SLOTS; i++)
		started += acquire(i, &LONG) == BG_LIMITER_STARTED;
	ck_assert_int_lt(started, SLOTS);
	ck_assert_int_ge(started, SLOTS / 2);
	ck_assert_uint_gt(lim.queue.length, 0);
	ck_assert_int_eq(acquire(40, &URGENT), BG_LIMITER_STARTED);
	ck_assert_int_eq(acquire(41, &URGENT), BG_LIMITER_STARTED);
	now_us += 20 * SECOND_US;
	for (i = 0; i < 2 * SLOTS; i++) {
		if (entries[i].is_running)
			bg_limiter_release(
			    &lim, &entries[i], now_us, BG_LIMITER_IGNORED);
	}
	while (bg_limiter_start_next(&lim, now_us) != NULL)
		;
	ck_assert_uint_eq(lim.running, SLOTS);
}
END_TEST

/* Starts long calls of one organisation and queues one of another, which is
 * held back by the reserve. */
static void
hold_back_a_long_call(const struct bg_reserve_call *urgent)
{
	int i;

	now_us = SECOND_US;
	bg_limiter_init(&lim, SLOTS);
	run(1, &LONG);
	for (i = 0; i < 60; i++)
		run(2, urgent);
	for (i = 0; acquire_for(i, &LONG, "a") == BG_LIMITER_STARTED; i++)
		;
	bg_limiter_release(&lim, &entries[i], now_us, BG_LIMITER_IGNORED);
	ck_assert_int_lt(i, SLOTS);
	ck_assert_int_eq(acquire_for(i, &LONG, "c"), BG_LIMITER_QUEUED);
}

/* Load: urgent and long calls of one priority wait in one queue. Guards against
 * a reserved slot that stays free because the long call, which is next in the
 * queue, must not take it. */
START_TEST(queued_urgent_call_takes_the_reserved_slot)
{
	struct bg_reserve_call urgent = URGENT;
	int i = 20;

	urgent.priority = LONG.priority;
	hold_back_a_long_call(&urgent);
	while (acquire_for(i, &urgent, "b") == BG_LIMITER_STARTED)
		i++;
	ck_assert(entries[i].is_queued);
	ck_assert_uint_eq(lim.running, SLOTS);
	now_us += URGENT_US;
	bg_limiter_release(&lim, &entries[20], now_us, BG_LIMITER_OK);
	ck_assert_ptr_eq(bg_limiter_start_next(&lim, now_us), &entries[i]);
}
END_TEST

/* Load: short calls that can wait, beside long ones that are held back for
 * urgent ones. Guards against slots that are reserved for urgent calls and
 * taken by others, which starves the long calls. */
START_TEST(other_calls_do_not_take_reserved_slots)
{
	static const struct bg_reserve_call SHORT[] = {
	    {"patient", 2, URGENT_US, LONG_TARGET_US},
	    {"lower", 3, URGENT_US, URGENT_TARGET_US},
	};
	size_t i;

	for (i = 0; i < sizeof(SHORT) / sizeof(SHORT[0]); i++) {
		hold_back_a_long_call(&URGENT);
		ck_assert_int_ne(acquire(40, &SHORT[i]), BG_LIMITER_STARTED);
		ck_assert_int_eq(acquire(41, &URGENT), BG_LIMITER_STARTED);
	}
}
END_TEST

static enum bg_limiter_admission
acquire_dependency(int i, const struct bg_reserve_call *call)
{
	memset(&entries[i], 0, sizeof(entries[i]));
	entries[i].route = call->route;
	entries[i].priority = call->priority;
	entries[i].is_dependency = 1;
	entries[i].target_us = now_us + call->target_us;
	entries[i].latest_start_us = now_us + 4 * call->target_us;
	return bg_limiter_acquire(&lim, &entries[i], now_us);
}

/* Load: short calls with tight targets that running requests wait for, beside
 * long work. They are served first, and most deployments have them. Guards
 * against a reserve for them. */
START_TEST(dependency_calls_reserve_nothing)
{
	int i;

	now_us = SECOND_US;
	bg_limiter_init(&lim, SLOTS);
	run(1, &LONG);
	for (i = 0; i < 100; i++) {
		ck_assert_int_eq(
		    acquire_dependency(0, &URGENT), BG_LIMITER_STARTED);
		now_us += URGENT_US;
		bg_limiter_release(&lim, &entries[0], now_us, BG_LIMITER_OK);
	}
	for (i = 0; i < SLOTS; i++)
		ck_assert_int_eq(acquire(i, &LONG), BG_LIMITER_STARTED);
}
END_TEST

/* Load: long calls are held back. Guards against a dependency call or one of a
 * higher priority that is held back as well. */
START_TEST(preceding_calls_take_reserved_slots)
{
	static const struct bg_reserve_call BRIEF = {
	    "brief", 1, URGENT_US, LONG_TARGET_US};

	hold_back_a_long_call(&URGENT);
	ck_assert_int_eq(acquire_dependency(40, &LONG), BG_LIMITER_STARTED);
	hold_back_a_long_call(&URGENT);
	ck_assert_int_eq(acquire(40, &BRIEF), BG_LIMITER_STARTED);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("reserve");

	tcase_add_test(tc, long_work_leaves_room_for_what_is_likely_to_come);
	tcase_add_test(tc, each_priority_is_counted_by_itself);
	tcase_add_test(tc, reserve_follows_the_rate);
	tcase_add_test(tc, nothing_is_reserved_without_need);
	tcase_add_test(tc, late_attempt_does_not_make_a_route_urgent);
	tcase_add_test(tc, urgent_call_finds_a_slot_under_load);
	tcase_add_test(tc, queued_urgent_call_takes_the_reserved_slot);
	tcase_add_test(tc, other_calls_do_not_take_reserved_slots);
	tcase_add_test(tc, dependency_calls_reserve_nothing);
	tcase_add_test(tc, preceding_calls_take_reserved_slots);
	return run_suite("reserve", tc);
}
