/* Organisations that compete for the slots of one server. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "limiter/limiter.h"
#include "suite.h"

#define SLOTS 12
#define SERVICE_US 100000
#define TARGET_US 600000
#define DAY_US 30000000
#define TICK_US 1000
#define ORGANISATIONS 20
#define CALLS_MAX 30000

struct organisation {
	char name[16];
	double per_s;	  /* calls asked for */
	uint64_t cost_us; /* of each call */
	uint32_t asked;
	uint32_t served;
	uint64_t work_us; /* served */
};

struct call {
	struct bg_limiter_entry entry; /* first member */
	struct organisation *organisation;
};

static struct organisation orgs[ORGANISATIONS];
static struct bg_limiter lim;
static struct call *calls;
static size_t call_count;
static uint64_t seed;

static double
next_random(void)
{
	seed = seed * 6364136223846793005ULL + 1442695040888963407ULL;
	return (double)(seed >> 11) / (double)(1ULL << 53);
}

static void
arrive(struct organisation *org, uint64_t now_us)
{
	struct call *call = &calls[call_count++];

	ck_assert_uint_lt(call_count, CALLS_MAX);
	memset(call, 0, sizeof(*call));
	call->organisation = org;
	call->entry.route = "read";
	call->entry.organisation = org->name;
	call->entry.cost_us = org->cost_us;
	call->entry.priority = 1;
	call->entry.target_us = now_us + TARGET_US;
	call->entry.latest_start_us = now_us + 2 * TARGET_US;
	org->asked++;
	bg_limiter_acquire(&lim, &call->entry, now_us);
}

static void
finish_calls(uint64_t now_us)
{
	struct bg_limiter_entry *e;
	size_t i;

	for (i = 0; i < call_count; i++) {
		e = &calls[i].entry;
		if (!e->is_running ||
		    now_us - e->started_us < calls[i].organisation->cost_us)
			continue;
		calls[i].organisation->served++;
		calls[i].organisation->work_us += e->cost_us;
		bg_limiter_release(&lim, e, now_us, BG_LIMITER_OK);
	}
	while (bg_limiter_start_next(&lim, now_us) != NULL)
		;
	while ((e = bg_limiter_find_infeasible(&lim, now_us)) != NULL)
		bg_limiter_release(&lim, e, now_us, BG_LIMITER_IGNORED);
}

/* Forgets calls that have ended, so that finish_calls() stays short. */
static void
compact(void)
{
	size_t i = 0;

	while (i < call_count && !calls[i].entry.is_running &&
	    !calls[i].entry.is_queued)
		i++;
	calls += i;
	call_count -= i;
}

static void
play(void)
{
	struct call *all = calloc(CALLS_MAX, sizeof(*all));
	uint64_t now_us;
	size_t i;

	calls = all;
	call_count = 0;
	seed = 7;
	bg_limiter_init(&lim, SLOTS);
	for (now_us = 1000000; now_us < DAY_US; now_us += TICK_US) {
		for (i = 0; i < ORGANISATIONS; i++) {
			if (next_random() < orgs[i].per_s * TICK_US / 1000000.0)
				arrive(&orgs[i], now_us);
		}
		finish_calls(now_us);
		compact();
	}
	free(all);
}

static void
setup(double per_s)
{
	size_t i;

	memset(orgs, 0, sizeof(orgs));
	for (i = 0; i < ORGANISATIONS; i++) {
		snprintf(orgs[i].name, sizeof(orgs[i].name), "org-%zu", i);
		orgs[i].per_s = per_s;
		orgs[i].cost_us = SERVICE_US;
	}
}

static double
share_served(const struct organisation *org)
{
	return (double)org->served / (double)org->asked;
}

/* Load: 20 organisations ask for 80% of what the server can do, and one of them
 * for 7.5 times its usual, 106% in all. Guards against others that are refused
 * for its sake. */
START_TEST(hot_organisation_fills_what_is_left)
{
	double worst = 1;
	size_t i;

	setup(4.8);
	orgs[0].per_s = 7.5 * 4.8;
	play();
	for (i = 1; i < ORGANISATIONS; i++) {
		if (share_served(&orgs[i]) < worst)
			worst = share_served(&orgs[i]);
	}
	ck_assert(worst >= 0.95);
	/* Fairness leaves no slot idle: what is left goes to the hot one. */
	ck_assert(share_served(&orgs[0]) >= 0.5);
}
END_TEST

/* Load: all organisations ask for the same, 150% of what the server can do.
 * Guards against a worst tenth that is served much worse than the mean. */
START_TEST(worst_tenth_is_served_like_the_mean)
{
	double worst = 1;
	double mean = 0;
	size_t i;

	setup(9);
	play();
	for (i = 0; i < ORGANISATIONS; i++) {
		mean += share_served(&orgs[i]) / ORGANISATIONS;
		if (share_served(&orgs[i]) < worst)
			worst = share_served(&orgs[i]);
	}
	ck_assert(mean >= 0.6);
	ck_assert(worst >= 0.85 * mean);
}
END_TEST

/* Load: half of the organisations send calls of four times the work, and all
 * ask for far more than there is. Guards against shares by count, with which
 * heavy callers get four times the work. */
START_TEST(work_is_shared_by_cost)
{
	double light_us = 0;
	double heavy_us = 0;
	size_t i;

	setup(12);
	for (i = 0; i < ORGANISATIONS / 2; i++) {
		orgs[i].cost_us = 2 * SERVICE_US;
		orgs[i].per_s = 6;
	}
	for (; i < ORGANISATIONS; i++)
		orgs[i].cost_us = SERVICE_US / 2;
	for (i = 0; i < ORGANISATIONS; i++)
		orgs[i].per_s *= 2;
	play();
	for (i = 0; i < ORGANISATIONS; i++)
		*(i < ORGANISATIONS / 2 ? &heavy_us : &light_us) +=
		    (double)orgs[i].work_us;
	ck_assert(light_us > 0.6 * heavy_us);
	ck_assert(heavy_us > 0.6 * light_us);
}
END_TEST

/* Guards against state that grows with the number of organisations, and against
 * one that comes back and is owed what it didn't use. */
START_TEST(idle_organisations_keep_no_state)
{
	static struct bg_fair_share fair;
	struct bg_fair_flow *flow;
	char name[16];
	int used = 0;
	int i;

	memset(&fair, 0, sizeof(fair));
	for (i = 0; i < 5000; i++) {
		snprintf(name, sizeof(name), "org-%d", i);
		flow = bg_fair_share_flow(&fair, name, 1);
		ck_assert_ptr_nonnull(flow);
		bg_fair_share_charge(&fair, flow, 10);
		flow = bg_fair_share_flow(&fair, "busy", 1);
		bg_fair_share_charge(&fair, flow, 10);
	}
	for (i = 0; i < BG_FAIR_FLOWS_MAX; i++)
		used += fair.flows[i].key != 0;
	ck_assert_int_le(used, 4);
	flow = bg_fair_share_flow(&fair, "org-0", 1);
	ck_assert_uint_eq(
	    bg_fair_share_start_us(&fair, flow), fair.virtual_us[1]);
}
END_TEST

/* Guards against a failure when more organisations wait than there is state
 * for. */
START_TEST(too_many_active_organisations_share_state)
{
	static struct bg_fair_share fair;
	char name[16];
	int i;

	memset(&fair, 0, sizeof(fair));
	for (i = 0; i < 2 * BG_FAIR_FLOWS_MAX; i++) {
		snprintf(name, sizeof(name), "org-%d", i);
		bg_fair_share_flow(&fair, name, 1)->queued++;
	}
	ck_assert_ptr_nonnull(bg_fair_share_flow(&fair, "other", 1));
}
END_TEST

/* Load: more active organisations than there is state for, of two priorities.
 * Guards against one that is ordered by the virtual time of another priority,
 * and advances it. */
START_TEST(shared_state_is_of_the_same_priority)
{
	static struct bg_fair_share fair;
	struct bg_fair_flow *flow;
	char name[16];
	int i;

	memset(&fair, 0, sizeof(fair));
	for (i = 0; i < 2 * BG_FAIR_FLOWS_MAX; i++) {
		snprintf(name, sizeof(name), "org-%d", i);
		bg_fair_share_flow(&fair, name, (uint32_t)i % 2)->queued++;
	}
	for (i = 0; i < 100; i++) {
		snprintf(name, sizeof(name), "late-%d", i);
		flow = bg_fair_share_flow(&fair, name, (uint32_t)i % 3);
		ck_assert_uint_eq(flow->level, (uint32_t)i % 3);
	}
}
END_TEST

/* Load: an organisation whose calls hold their slots until the deadline and
 * fail. Guards against a charge of only what they were expected to take. */
START_TEST(failed_calls_are_charged_for_their_time)
{
	struct bg_limiter_entry e;
	struct bg_fair_flow *flow;

	memset(&e, 0, sizeof(e));
	bg_limiter_init(&lim, SLOTS);
	e.route = "read";
	e.organisation = "slow";
	e.cost_us = SERVICE_US;
	bg_limiter_acquire(&lim, &e, 1000000);
	bg_limiter_release(
	    &lim, &e, 1000000 + 10 * SERVICE_US, BG_LIMITER_FAILED);
	flow = bg_fair_share_flow(&lim.queue.fair, "slow", 0);
	ck_assert_uint_eq(flow->finish_us, 10 * SERVICE_US);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("fair share");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, hot_organisation_fills_what_is_left);
	tcase_add_test(tc, worst_tenth_is_served_like_the_mean);
	tcase_add_test(tc, work_is_shared_by_cost);
	tcase_add_test(tc, idle_organisations_keep_no_state);
	tcase_add_test(tc, too_many_active_organisations_share_state);
	tcase_add_test(tc, shared_state_is_of_the_same_priority);
	tcase_add_test(tc, failed_calls_are_charged_for_their_time);
	return run_suite("fair share", tc);
}
