#include <string.h>

#include "limiter/queue.h"
#include "suite.h"

#define ENTRIES 4096
#define LONG_US 60000000
#define SERVICE_US 100000
#define INTERVAL_US 25000

static struct bg_queue queue;
static struct bg_limiter_entry entries[ENTRIES];
static uint64_t now_us;

static void
setup(void)
{
	memset(&queue, 0, sizeof(queue));
	memset(entries, 0, sizeof(entries));
	now_us = 1000000;
}

/* @param target_us from now; 0: none */
static struct bg_limiter_entry *
insert(int i, uint32_t priority, uint64_t target_us)
{
	struct bg_limiter_entry *e = &entries[i];

	memset(e, 0, sizeof(*e));
	e->route = "r";
	e->priority = priority;
	e->service_us = SERVICE_US;
	e->latest_start_us = now_us + LONG_US;
	e->target_us = target_us == 0 ? 0 : now_us + target_us;
	bg_queue_insert(&queue, e, now_us);
	return e;
}

static int
is_infeasible(const struct bg_limiter_entry *e)
{
	return bg_queue_is_infeasible(&queue, e, INTERVAL_US, now_us);
}

static int
take_next(void)
{
	struct bg_limiter_entry *e = bg_queue_next(&queue, now_us);

	bg_queue_remove(&queue, e);
	return (int)(e - entries);
}

/* Pattern: demand above capacity for the whole day. Guards against a queue in
 * which every call waits so long that half of them are answered late: of those
 * that are admitted, each keeps twice its service time for running. */
START_TEST(queue_ends_where_answers_would_be_late)
{
	int i;

	for (i = 0; i < 100; i++) {
		if (is_infeasible(insert(i, 1, 400000))) {
			bg_queue_remove(&queue, &entries[i]);
			break;
		}
	}
	/* 400 ms less twice 100 ms are 200 ms, or 8 starts. */
	ck_assert_int_eq(i, 8);
}
END_TEST

/* Guards against a slow server whose slots run empty between two calls because
 * it may have no queue at all. */
START_TEST(tight_target_still_allows_a_short_wait)
{
	ck_assert(!is_infeasible(insert(0, 1, SERVICE_US + 60000)));
	ck_assert(is_infeasible(insert(1, 1, SERVICE_US + 60000)));
}
END_TEST

/* Pattern: demand above capacity. Guards against calls that are late already
 * and wait for slots that others need to be on time. */
START_TEST(call_past_its_target_does_not_wait)
{
	insert(0, 1, 400000);
	ck_assert(is_infeasible(insert(1, 1, 1)));
}
END_TEST

/* Guards against a call that is refused only at its deadline. */
START_TEST(wait_ends_when_the_target_is_missed)
{
	struct bg_limiter_entry *e = insert(0, 1, 400000);

	ck_assert_uint_eq(bg_queue_latest_start_us(e), now_us + 300000);
	e->is_dependency = 1;
	ck_assert_uint_eq(bg_queue_latest_start_us(e), now_us + LONG_US);
}
END_TEST

/* Guards against a running request that fails because its call is refused: the
 * work of the request would be lost. */
START_TEST(dependency_waits_past_its_target)
{
	struct bg_limiter_entry *e = insert(0, 1, 1);

	e->is_dependency = 1;
	ck_assert(!is_infeasible(e));
}
END_TEST

/* Guards against an order that changes with the order of arrival. */
START_TEST(earliest_target_is_served_first)
{
	insert(0, 1, 600000);
	insert(1, 1, 300000);
	insert(2, 0, 900000);
	insert(3, 1, 50000);
	ck_assert_int_eq(take_next(), 2);
	ck_assert_int_eq(take_next(), 1);
	ck_assert_int_eq(take_next(), 0);
	ck_assert_int_eq(take_next(), 3);
}
END_TEST

/* Pattern: thousands of calls wait. Guards against a cost per arrival that
 * grows with the square of the queue: nodes with a fifth of a core spent
 * several milliseconds on each call then, and every call became late. The time
 * limit of the test is the check; the quadratic cost took minutes. */
START_TEST(cost_of_an_arrival_is_linear)
{
	int round;
	int i;

	for (i = 0; i < ENTRIES; i++)
		insert(i, (uint32_t)i % 3, 0);
	for (round = 0; round < 1000; round++) {
		i = take_next();
		insert(i, (uint32_t)i % 3, 0);
		ck_assert_ptr_null(bg_queue_find_infeasible(&queue, 1, now_us));
	}
}
END_TEST

/* Pattern: thousands of calls of many organisations wait. Guards against the
 * same cost where the order by target is not the order of service. */
START_TEST(cost_of_an_arrival_is_low_with_organisations)
{
	static const char *const NAMES[] = {"a", "b", "c", "d", "e"};
	struct bg_limiter_entry *e;
	int round;
	int i;

	for (i = 0; i < ENTRIES; i++) {
		e = insert(i, (uint32_t)i % 3, 0);
		bg_queue_remove(&queue, e);
		e->organisation = NAMES[i % 5];
		bg_queue_insert(&queue, e, now_us);
	}
	for (round = 0; round < 1000; round++) {
		e = bg_queue_next(&queue, now_us);
		bg_queue_remove(&queue, e);
		bg_queue_insert(&queue, e, now_us);
		ck_assert_ptr_null(bg_queue_find_infeasible(&queue, 1, now_us));
	}
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("queue");

	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_test(tc, queue_ends_where_answers_would_be_late);
	tcase_add_test(tc, tight_target_still_allows_a_short_wait);
	tcase_add_test(tc, call_past_its_target_does_not_wait);
	tcase_add_test(tc, wait_ends_when_the_target_is_missed);
	tcase_add_test(tc, dependency_waits_past_its_target);
	tcase_add_test(tc, earliest_target_is_served_first);
	tcase_add_test(tc, cost_of_an_arrival_is_linear);
	tcase_add_test(tc, cost_of_an_arrival_is_low_with_organisations);
	return run_suite_forked("queue", tc);
}
