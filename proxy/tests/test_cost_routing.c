/* Compares ways to choose a server, on the same arrivals: servers of different
 * speed on machines that turn slow several times a second, calls of which a few
 * cost a multiple, and callers whose news of a server is as old as the last
 * answer from there. No network; prints the figures. */

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cost/work.h"
#include "router/router.h"
#include "router/value.h"
#include "suite.h"

#define SERVERS 9
#define CALLERS 8
#define SLOTS 12
#define QUEUE_MAX 512
#define SIM_MS 60000
#define CALL_US 140000
#define TARGET_US 500000
#define DEADLINE_US 2000000
#define EPOCH_MS 600
#define SLOW_FACTOR 2.5
#define HEAVY_FACTOR 7
#define CALLS_MAX 50000
/* As in the gatekeeper: how it hands a call back, and its mean service time. */
#define HAND_BACK_LOSS 0.05
#define HAND_BACKS_MAX 2
#define EWMA_WEIGHT 0.1

enum policy { LEAST, TWO, MEANS, FINISH, ORACLE, POLICIES };

struct sim_call {
	double left_us; /* at a usual server */
	uint32_t cost_us;
	int caller;
	uint32_t sent_ms;
	uint32_t started_ms;
};

struct sim_server {
	double speed;
	double slowness;
	struct sim_call running[SLOTS];
	struct sim_call queue[QUEUE_MAX];
	int running_count;
	int queued_count;
	uint64_t load_sum;
	double mean_us;
	struct bg_work work;
};

struct figures {
	double in_target;
	double p99_ms;
	double busiest; /* of the mean */
};

static struct sim_server servers[SERVERS];
static struct bg_router routers[CALLERS];
static struct bg_member members[SERVERS];
static uint32_t times_ms[CALLS_MAX];
static size_t done;
static struct bg_shape shape; /* of the time taken, of that expected */
static struct bg_rand rnd;

static double
uniform(void)
{
	return ((double)bg_rand_below(&rnd, 1U << 30) + 0.5) / (1U << 30);
}

static uint32_t
draw_cost_us(void)
{
	double us = CALL_US * (0.6 + 0.5 * uniform());

	return (uint32_t)(uniform() < 0.03 ? us * HEAVY_FACTOR : us);
}

static void
start(struct sim_server *srv, const struct sim_call *call, uint32_t now_ms)
{
	srv->running[srv->running_count] = *call;
	srv->running[srv->running_count++].started_ms = now_ms;
}

static void
fill_load(struct bg_load *out, const struct sim_server *srv, uint32_t now_ms)
{
	struct bg_work_left sum = {0, 0};
	int i;

	memset(out, 0, sizeof(*out));
	for (i = 0; i < srv->running_count; i++)
		bg_work_add_running(&sum, &srv->work, "r", CALL_US,
		    (uint64_t)(now_ms - srv->running[i].started_ms) * 1000,
		    now_ms);
	for (i = 0; i < srv->queued_count; i++)
		bg_work_add_queued(&sum, &srv->work, "r", CALL_US, now_ms);
	out->running = (uint32_t)srv->running_count;
	out->queued = (uint32_t)srv->queued_count;
	out->slots = SLOTS;
	out->service_us = (uint32_t)bg_work_base_slot_us(&srv->work, "r");
	if (srv->running_count == SLOTS)
		out->wait_us = (uint32_t)bg_work_start_interval_us(&sum) *
		    (out->queued + 1);
	out->work_left_us = (uint32_t)(sum.total_us / SLOTS) + 1;
	out->slowness_permille = (uint32_t)(srv->slowness * 1000);
}

static struct bg_endpoint *
endpoint(int caller, int server)
{
	return bg_endpoint_get(
	    &routers[caller].endpoints, members[server].address);
}

static void
end_call(int server, int slot, uint32_t now_ms, int reports_finish)
{
	struct sim_server *srv = &servers[server];
	struct sim_call call = srv->running[slot];
	uint64_t took_us = (uint64_t)(now_ms - call.started_ms) * 1000;
	struct bg_work_sample smp = {
	    "r", CALL_US, took_us, took_us, (uint32_t)(srv->slowness * 1000)};
	struct bg_load load;

	srv->running[slot] = srv->running[--srv->running_count];
	if (done < CALLS_MAX)
		times_ms[done++] = now_ms - call.sent_ms;
	bg_slowness_report(
	    &srv->work.pace.slowness, (uint32_t)(srv->slowness * 1000), now_ms);
	bg_work_record(&srv->work, &smp);
	fill_load(&load, srv, now_ms);
	srv->mean_us += (took_us - srv->mean_us) * EWMA_WEIGHT;
	if (!reports_finish) {
		load.slowness_permille = load.work_left_us = 0;
		load.service_us = (uint32_t)srv->mean_us;
	} else
		bg_shape_record(
		    &shape, took_us / (load.service_us * srv->slowness));
	bg_endpoint_answered(endpoint(call.caller, server), "r", &load, now_ms);
}

static void
step_server(int server, uint32_t now_ms, int reports_finish)
{
	struct sim_server *srv = &servers[server];
	int i;

	if ((now_ms + (uint32_t)server * 67) % EPOCH_MS == 0)
		srv->slowness = uniform() < 0.15 ? SLOW_FACTOR : 1;
	for (i = srv->running_count - 1; i >= 0; i--) {
		srv->running[i].left_us -= 1000 / (srv->speed * srv->slowness);
		if (srv->running[i].left_us <= 0)
			end_call(server, i, now_ms, reports_finish);
	}
	while (srv->running_count < SLOTS && srv->queued_count > 0) {
		start(srv, &srv->queue[0], now_ms);
		memmove(&srv->queue[0], &srv->queue[1],
		    (size_t)--srv->queued_count * sizeof(srv->queue[0]));
	}
	srv->load_sum += (uint64_t)(srv->running_count + srv->queued_count);
}

/* Finish of a call by what only the servers know. */
static double
true_finish_us(const struct sim_server *srv, uint32_t cost_us)
{
	double left_us = cost_us;
	int i;

	if (srv->running_count < SLOTS)
		return left_us * srv->speed * srv->slowness;
	for (i = 0; i < srv->running_count; i++)
		left_us += srv->running[i].left_us / SLOTS;
	for (i = 0; i < srv->queued_count; i++)
		left_us += srv->queue[i].left_us / SLOTS;
	return left_us * srv->speed * srv->slowness;
}

static double
seen_cost(
    enum policy policy, int caller, int server, uint32_t cost_us, uint32_t ms)
{
	if (policy == ORACLE)
		return true_finish_us(&servers[server], cost_us);
	return bg_endpoint_load(endpoint(caller, server), ms) + uniform();
}

static int
pick_by_router(int caller, uint32_t now_ms)
{
	struct bg_pick_query q;
	struct bg_pick pick;

	memset(&q, 0, sizeof(q));
	q.members = members;
	q.member_count = SERVERS;
	q.route = "r";
	q.data_centre = "a";
	q.now_ms = now_ms;
	q.target_us = TARGET_US;
	q.left_us = DEADLINE_US;
	if (bg_shape_is_known(&shape)) {
		q.shape = &shape;
		q.shape_mean = bg_shape_mean(&shape);
	}
	ck_assert_int_eq(bg_router_pick(&pick, &routers[caller], &q), 0);
	return (int)(pick.member - members);
}

static double
value_of(double service_us)
{
	struct bg_value_input in = {
	    (uint32_t)service_us + 1, 0, TARGET_US, DEADLINE_US, 0, 0, NULL, 0};

	if (bg_shape_is_known(&shape)) {
		in.shape = &shape;
		in.shape_mean = bg_shape_mean(&shape);
	}
	return bg_expected_value(&in);
}

/* Picks a server that does not hand the call back. */
static int
pick_accepting(int caller, uint32_t now_ms)
{
	int server = pick_by_router(caller, now_ms);
	struct bg_load load;
	double usual_us;
	int i;

	for (i = 0; i < HAND_BACKS_MAX; i++) {
		fill_load(&load, &servers[server], now_ms);
		usual_us = load.service_us *
		    servers[server].work.pace.slowness.usual_permille / 1000;
		if (value_of(usual_us) -
			value_of(load.service_us * servers[server].slowness) <=
		    HAND_BACK_LOSS)
			break;
		bg_endpoint_sent(endpoint(caller, server));
		bg_endpoint_answered(
		    endpoint(caller, server), "r", &load, now_ms);
		server = pick_by_router(caller, now_ms);
	}
	return server;
}

static int
pick_server(enum policy policy, int caller, uint32_t cost_us, uint32_t now_ms)
{
	int best = (int)bg_rand_below(&rnd, SERVERS);
	int tries = policy == TWO ? 1 : SERVERS;
	int other;
	int i;

	if (policy == FINISH)
		return pick_accepting(caller, now_ms);
	if (policy == MEANS)
		return pick_by_router(caller, now_ms);
	for (i = 0; i < tries; i++) {
		other = policy == TWO ? (int)bg_rand_below(&rnd, SERVERS) : i;
		if (seen_cost(policy, caller, other, cost_us, now_ms) <
		    seen_cost(policy, caller, best, cost_us, now_ms))
			best = other;
	}
	return best;
}

static void
arrive(enum policy policy, uint32_t now_ms)
{
	struct sim_call call;
	struct sim_server *srv;
	int server;

	memset(&call, 0, sizeof(call));
	call.cost_us = draw_cost_us();
	call.left_us = call.cost_us;
	call.sent_ms = now_ms;
	call.caller = (int)bg_rand_below(&rnd, CALLERS);
	server = pick_server(policy, call.caller, call.cost_us, now_ms);
	bg_endpoint_sent(endpoint(call.caller, server));
	srv = &servers[server];
	if (srv->running_count < SLOTS)
		start(srv, &call, now_ms);
	else if (srv->queued_count < QUEUE_MAX)
		srv->queue[srv->queued_count++] = call;
}

static void
reset(void)
{
	static const double speeds[] = {0.6, 1.0, 1.6};
	int i;

	bg_rand_init(&rnd, 5);
	memset(servers, 0, sizeof(servers));
	memset(members, 0, sizeof(members));
	memset(&shape, 0, sizeof(shape));
	done = 0;
	for (i = 0; i < SERVERS; i++) {
		snprintf(
		    members[i].address, BG_ADDRESS_BYTES, "10.0.0.%d:1", i + 1);
		snprintf(members[i].data_centre, BG_NAME_BYTES, "a");
		members[i].state = BG_MEMBER_READY;
		members[i].slots = SLOTS;
		servers[i].speed = speeds[i % 3];
		servers[i].slowness = 1;
		servers[i].mean_us = CALL_US;
	}
	for (i = 0; i < CALLERS; i++)
		bg_router_init(&routers[i], (uint64_t)i + 1);
}

static int
compare_times(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

static void
evaluate(struct figures *out)
{
	uint64_t most = 0;
	uint64_t sum = 0;
	size_t good = 0;
	size_t i;

	for (i = 0; i < done; i++)
		good += times_ms[i] * 1000 <= TARGET_US;
	qsort(times_ms, done, sizeof(times_ms[0]), compare_times);
	for (i = 0; i < SERVERS; i++) {
		sum += servers[i].load_sum;
		if (servers[i].load_sum > most)
			most = servers[i].load_sum;
	}
	out->in_target = (double)good / (double)done;
	out->p99_ms = times_ms[done * 99 / 100];
	out->busiest = (double)most * SERVERS / (double)sum;
}

/* @param per_ms mean of arrivals in a millisecond */
static void
simulate(struct figures *out, enum policy policy, double per_ms)
{
	uint32_t now_ms;
	int i;

	reset();
	for (now_ms = 1000; now_ms < 1000 + SIM_MS; now_ms++) {
		for (i = 0; i < SERVERS; i++)
			step_server(i, now_ms, policy == FINISH);
		for (i = 0; i < 4; i++) {
			if (uniform() < per_ms / 4)
				arrive(policy, now_ms);
		}
	}
	evaluate(out);
	for (i = 0; i < CALLERS; i++)
		bg_router_free(&routers[i]);
}

static void
compare(struct figures figures[POLICIES], double per_ms)
{
	static const char *const names[POLICIES] = {"least requests",
	    "two choices", "mean times", "expected finish", "oracle"};
	int i;

	for (i = 0; i < POLICIES; i++) {
		simulate(&figures[i], (enum policy)i, per_ms);
		printf("%.2f calls/ms %-15s in target %.3f p99 %.0f ms "
		       "busiest %.2f\n",
		    per_ms, names[i], figures[i].in_target, figures[i].p99_ms,
		    figures[i].busiest);
	}
}

/* Guards against a choice by what is learned that is no better than one by
 * counts, at a usual load. */
START_TEST(expected_finish_beats_counts_at_usual_load)
{
	struct figures f[POLICIES];

	compare(f, 0.3);
	ck_assert_double_gt(f[FINISH].in_target, f[TWO].in_target);
	ck_assert_double_gt(f[FINISH].in_target, f[LEAST].in_target);
	ck_assert_double_gt(f[FINISH].in_target, f[MEANS].in_target);
}
END_TEST

/* Guards against herds at servers that were fast, which queue at high load. */
START_TEST(expected_finish_beats_counts_at_high_load)
{
	struct figures f[POLICIES];

	compare(f, 0.5);
	ck_assert_double_gt(f[FINISH].in_target, f[TWO].in_target);
	ck_assert_double_gt(f[FINISH].in_target, f[LEAST].in_target);
	ck_assert_double_gt(f[FINISH].in_target, f[MEANS].in_target);
	ck_assert_double_lt(f[FINISH].p99_ms, f[TWO].p99_ms);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("cost_routing");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, expected_finish_beats_counts_at_usual_load);
	tcase_add_test(tc, expected_finish_beats_counts_at_high_load);
	return run_suite("cost_routing", tc);
}
