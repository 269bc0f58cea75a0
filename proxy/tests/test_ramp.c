/* Model of a service whose servers are all cold at once: routers of the
 * callers' nodes, limiters of the gatekeepers, and callers that come again
 * once. Without a network; one step is one millisecond. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"

#include "call/cold_call.h"
#include "limiter/limiter.h"
#include "router/router.h"
#include "suite.h"

#define SERVERS 19
#define NODES 58
#define SLOTS 6
#define CALLS_PER_S 300
#define WARMUP_MS 3000
#define RATE_MILLI 7200
#define BURST 5
/* Bound of any second: the rate, a half of it, and 8 calls. */
#define SECOND_MAX 18
#define WARM_US 130000
#define COLD_FACTOR 2
#define TARGET_US 500000
#define DEADLINE_US 2000000
#define RUN_MS 9000
#define CALLS_MAX 8192
#define PICKS_MAX 6
#define RETRY_MAX_MS 2000
#define QUEUE_FROM_PICK 3
#define START_MS 1000000ULL
#define WALL_OFFSET_MS 1790000000000ULL

struct call {
	struct bg_limiter_entry entry; /* first member */
	int server;
	int node;
	uint64_t arrived_us;
	uint64_t retry_at_us;
	uint64_t ends_us; /* 0: not running */
	int is_retry;
	int is_done;
};

struct server {
	struct bg_limiter limiter;
	uint64_t starts_us[CALLS_MAX];
	size_t start_count;
};

static struct call calls[CALLS_MAX];
static size_t call_count;
static struct server servers[SERVERS];
static struct bg_member members[SERVERS];
static struct bg_router routers[NODES];
static struct bg_rand rnd;
static uint64_t now_us;
static uint32_t arrived[RUN_MS / 1000 + 1];
static uint32_t on_time[RUN_MS / 1000 + 1];
static uint32_t attempts; /* messages to gatekeepers */

static int
is_cold(void)
{
	return now_us < (START_MS + WARMUP_MS) * 1000;
}

static void
start_gatekeeper(struct server *srv)
{
	bg_limiter_init(&srv->limiter, SLOTS);
	bg_warmup_configure(
	    &srv->limiter.warmup, WARMUP_MS, RATE_MILLI, BURST, now_us);
	bg_warmup_report(&srv->limiter.warmup,
	    is_cold() ? (uint32_t)(START_MS + WARMUP_MS - now_us / 1000) : 0,
	    now_us);
}

static void
setup(void)
{
	int i;

	memset(calls, 0, sizeof(calls));
	memset(servers, 0, sizeof(servers));
	memset(members, 0, sizeof(members));
	memset(arrived, 0, sizeof(arrived));
	memset(on_time, 0, sizeof(on_time));
	call_count = attempts = 0;
	now_us = START_MS * 1000;
	bg_rand_init(&rnd, 7);
	for (i = 0; i < SERVERS; i++) {
		snprintf(members[i].address, BG_ADDRESS_BYTES, "127.0.0.%d:1",
		    i + 1);
		members[i].state = BG_MEMBER_READY;
		members[i].slots = SLOTS;
		members[i].server_started_ms = START_MS + WALL_OFFSET_MS;
		start_gatekeeper(&servers[i]);
	}
	for (i = 0; i < NODES; i++)
		bg_router_init(&routers[i], (uint64_t)i + 1);
}

static void
teardown(void)
{
	int i;

	for (i = 0; i < NODES; i++)
		bg_router_free(&routers[i]);
}

static void
answer(const struct call *call)
{
	const struct bg_limiter *lim = &servers[call->server].limiter;
	struct bg_load load = {.running = lim->running,
	    .queued = lim->queue.length,
	    .slots = lim->slots,
	    .wait_us = (uint32_t)bg_limiter_wait_us(lim, now_us),
	    .service_us = (uint32_t)bg_limiter_service_us(lim, "r")};

	if (bg_warmup_is_limited(&lim->warmup, now_us)) {
		load.cold_left_ms = bg_warmup_left_ms(&lim->warmup, now_us);
		load.cold_starts_milli_per_s = RATE_MILLI;
		load.cold_starts_left =
		    bg_warmup_starts_left(&lim->warmup, now_us);
	}
	bg_endpoint_answered(bg_endpoint_get(&routers[call->node].endpoints,
				 members[call->server].address),
	    "r", &load, now_us / 1000);
}

/* Service times between half of the mean and one and a half times it. */
static void
run(struct call *call)
{
	struct server *srv = &servers[call->server];
	uint64_t mean_us = WARM_US * (is_cold() ? COLD_FACTOR : 1);

	call->ends_us = now_us + mean_us / 2 + bg_rand_below(&rnd, mean_us + 1);
	srv->starts_us[srv->start_count++] = now_us;
}

static int
pick_server(struct bg_pick *out, const struct call *call,
    const char *const *avoid, size_t avoid_count)
{
	struct bg_pick_query q = {.members = members,
	    .member_count = SERVERS,
	    .route = "r",
	    .data_centre = "",
	    .avoid = avoid,
	    .avoid_count = avoid_count,
	    .now_ms = now_us / 1000,
	    .wall_ms = now_us / 1000 + WALL_OFFSET_MS,
	    .cold = {WARMUP_MS, RATE_MILLI}};

	q.left_us = call->arrived_us + DEADLINE_US - now_us;
	q.target_us = call->arrived_us + TARGET_US > now_us
	    ? call->arrived_us + TARGET_US - now_us
	    : 0;
	return bg_router_pick(out, &routers[call->node], &q);
}

/* Offers a call to one gatekeeper. @return 0 if it was refused */
static int
offer(struct call *call, const struct bg_pick *pick, uint32_t picks)
{
	struct bg_limiter *lim;

	call->server = (int)(pick->member - members);
	lim = &servers[call->server].limiter;
	memset(&call->entry, 0, sizeof(call->entry));
	call->entry.route = "r";
	call->entry.target_us = call->arrived_us + TARGET_US;
	call->entry.latest_start_us = now_us + 5000;
	if (pick->wait_us != 0 || pick->cold_left_ms != 0 ||
	    picks >= QUEUE_FROM_PICK)
		call->entry.latest_start_us =
		    call->arrived_us + DEADLINE_US - pick->service_us;
	attempts++;
	bg_endpoint_sent(pick->endpoint);
	switch (bg_limiter_acquire(lim, &call->entry, now_us)) {
	case BG_LIMITER_STARTED:
		run(call);
		return 1;
	case BG_LIMITER_QUEUED:
		return 1;
	default:
		answer(call);
		return 0;
	}
}

static void
refuse(struct call *call, uint32_t cold_left_ms)
{
	if (call->is_retry)
		return;
	call->is_retry = 1;
	call->retry_at_us = now_us +
	    bg_cold_call_retry_ms(&rnd, 140, cold_left_ms, RETRY_MAX_MS) *
		1000ULL;
	/* Callers wait for a third of their time at most. */
	if (call->retry_at_us > now_us + DEADLINE_US / 3)
		call->retry_at_us = now_us + DEADLINE_US / 3;
}

static void
send_call(struct call *call)
{
	const char *avoid[PICKS_MAX];
	uint64_t useful_us = call->arrived_us + TARGET_US > now_us
	    ? call->arrived_us + TARGET_US - now_us
	    : call->arrived_us + DEADLINE_US - now_us;
	struct bg_pick pick;
	uint32_t picks;

	call->retry_at_us = 0;
	for (picks = 0; picks < PICKS_MAX; picks++) {
		if (pick_server(&pick, call, avoid, picks) != 0 ||
		    bg_cold_call_is_hopeless(&pick, picks, useful_us))
			break;
		if (offer(call, &pick, picks))
			return;
		avoid[picks] = pick.member->address;
	}
	refuse(call, pick.cold_left_ms);
}

static void
finish(struct call *call)
{
	uint64_t second = (call->arrived_us / 1000 - START_MS) / 1000;

	bg_limiter_release(&servers[call->server].limiter, &call->entry, now_us,
	    BG_LIMITER_OK);
	answer(call);
	call->ends_us = 0;
	call->is_done = 1;
	on_time[second] += now_us <= call->arrived_us + TARGET_US;
}

static void
step_server(struct server *srv)
{
	struct bg_limiter_entry *entry;

	while ((entry = bg_limiter_start_next(&srv->limiter, now_us)) != NULL)
		run((struct call *)entry);
	while ((entry = bg_limiter_find_infeasible(&srv->limiter, now_us)) !=
	    NULL) {
		bg_limiter_release(
		    &srv->limiter, entry, now_us, BG_LIMITER_IGNORED);
		answer((struct call *)entry);
		refuse((struct call *)entry, 0);
	}
}

static void
arrive(void)
{
	struct call *call = &calls[call_count++];

	ck_assert_uint_lt(call_count, CALLS_MAX);
	call->arrived_us = now_us;
	call->node = (int)bg_rand_below(&rnd, NODES);
	arrived[(now_us / 1000 - START_MS) / 1000]++;
	send_call(call);
}

/* A new process beside a running server: its calls are lost, and the server
 * goes on with them. */
static void
restart_gatekeeper(int server)
{
	size_t i;

	for (i = 0; i < call_count; i++) {
		if (calls[i].server == server)
			calls[i].ends_us = 0;
	}
	start_gatekeeper(&servers[server]);
}

static void
step(uint64_t ms)
{
	size_t i;

	if (ms == 700 || ms == 1500)
		restart_gatekeeper(ms == 700 ? 3 : 11);
	if (ms % 1000 == 0) {
		for (i = 0; i < SERVERS; i++)
			bg_warmup_report(&servers[i].limiter.warmup,
			    ms < WARMUP_MS ? (uint32_t)(WARMUP_MS - ms) : 0,
			    now_us);
	}
	for (i = 0; i < call_count; i++) {
		if (calls[i].ends_us != 0 && calls[i].ends_us <= now_us)
			finish(&calls[i]);
		else if (calls[i].retry_at_us != 0 &&
		    calls[i].retry_at_us <= now_us)
			send_call(&calls[i]);
	}
	for (i = 0; i < SERVERS; i++)
		step_server(&servers[i]);
	if (bg_rand_below(&rnd, 1000) < CALLS_PER_S)
		arrive();
}

static void
play(void)
{
	uint64_t ms;

	for (ms = 0; ms < RUN_MS; ms++, now_us += 1000)
		step(ms);
}

/* Most starts within a second while the server was cold. */
static size_t
most_in_a_second(const struct server *srv)
{
	uint64_t end_us = (START_MS + WARMUP_MS) * 1000;
	size_t most = 0;
	size_t i, j;

	for (i = 0, j = 0; j < srv->start_count; j++) {
		if (srv->starts_us[j] >= end_us)
			break;
		while (srv->starts_us[j] - srv->starts_us[i] >= 1000000)
			i++;
		if (j - i + 1 > most)
			most = j - i + 1;
	}
	return most;
}

/* Load: 300 calls a second for servers that bear 137 while they are cold; two
 * gatekeepers are restarted midway. Guards against a server that gets more than
 * it bears, which ends it and begins its warm-up anew. */
START_TEST(no_server_gets_more_than_it_bears)
{
	int i;

	play();
	for (i = 0; i < SERVERS; i++) {
		ck_assert_uint_gt(servers[i].start_count, 0);
		ck_assert_uint_le(
		    most_in_a_second(&servers[i]), RATE_MILLI / 1000 + BURST);
		ck_assert_uint_le(most_in_a_second(&servers[i]), SECOND_MAX);
	}
}
END_TEST

/* Load: as above. Guards against servers that stand idle in the ramp because
 * callers do not find them, and against callers that keep the service full
 * after it. */
START_TEST(service_recovers_after_the_warmup)
{
	uint32_t second;
	uint32_t starts = 0;
	int i;
	size_t j;

	play();
	for (i = 0; i < SERVERS; i++) {
		for (j = 0; j < servers[i].start_count; j++)
			starts += servers[i].starts_us[j] <
			    (START_MS + WARMUP_MS) * 1000;
	}
	/* At least four fifths of what the servers bear. */
	ck_assert_uint_ge(
	    starts, SERVERS * RATE_MILLI / 1000 * WARMUP_MS / 1000 * 4 / 5);
	for (second = WARMUP_MS / 1000 + 3; second < RUN_MS / 1000 - 1;
	     second++)
		ck_assert_uint_ge(on_time[second], arrived[second] * 95 / 100);
}
END_TEST

/* Load: as above. Guards against calls that go from gatekeeper to gatekeeper
 * while all of them refuse. */
START_TEST(refused_calls_do_not_wander)
{
	play();
	ck_assert_uint_le(attempts, call_count * 2);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("ramp");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, no_server_gets_more_than_it_bears);
	tcase_add_test(tc, service_recovers_after_the_warmup);
	tcase_add_test(tc, refused_calls_do_not_wander);
	return run_suite("ramp", tc);
}
