/* The moves task of one node, with a fake mesh and a fake writer. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/moves.h"

#include "suite.h"

#define SERVICE "atelier"
#define SELF "127.0.0.1:1"
/* Short, so that a move ends within a test. */
#define DEADLINE_MS 12000
#define TIMEOUT_MS 20000

/* Fake mesh: a roster set by the test and the last announced verdict. */
struct bg_mesh {
	struct bg_roster roster;
	struct bg_member members[8];
	struct bg_mesh_listener listener;
	const char *address;
	enum bg_verdict verdict;
	uint64_t verdict_generation;
	uint32_t verdict_step;
};

struct writer {
	struct bg_move_writer writer; /* first member */
	struct bg_move last;
	int writes;
	int code; /* result of the following writes */
	void (*done)(void *arg, int code);
	void *done_arg;
};

static struct event_base *base;
static struct bg_mesh mesh;
static struct writer wrt;
static struct bg_moves *mvs;
static struct bg_settings settings;
static struct bg_move_policy policy;
static int bad_versions;
static int move_updates;
static int is_suspended;

int
bg_mesh_add_listener(struct bg_mesh *m, const struct bg_mesh_listener *listener)
{
	m->listener = *listener;
	return 0;
}

const struct bg_roster *
bg_mesh_roster(const struct bg_mesh *m)
{
	return &m->roster;
}

const char *
bg_mesh_address(const struct bg_mesh *m)
{
	return m->address;
}

void
bg_mesh_announce_verdict(struct bg_mesh *m, enum bg_verdict verdict,
    uint64_t generation, uint32_t step)
{
	m->verdict = verdict;
	m->verdict_generation = generation;
	m->verdict_step = step;
}

size_t
bg_roster_service(const struct bg_member **out, const struct bg_roster *ros,
    const char *service)
{
	*out = ros->members;
	return ros->member_count;
}

const struct bg_member *
bg_roster_find(const struct bg_roster *ros, const char *address)
{
	size_t i;

	for (i = 0; i < ros->member_count; i++) {
		if (strcmp(ros->members[i].address, address) == 0)
			return &ros->members[i];
	}
	return NULL;
}

static void
set_verdict_steps(uint32_t step)
{
	size_t i;

	for (i = 0; i < mesh.roster.member_count; i++)
		mesh.members[i].verdict_step = step;
}

/* Like the store: first the result, then the event with the new state. */
static void
finish_write(evutil_socket_t fd, short what, void *arg)
{
	struct writer *w = arg;

	w->done(w->done_arg, w->code);
	if (w->code != 0)
		return;
	bg_moves_set(mvs, SERVICE, &w->last, &policy);
	/* The nodes come to the same verdict on the new step. */
	set_verdict_steps(w->last.step);
}

static int
write_move(struct bg_move_writer *writer, const char *service,
    const struct bg_move *from, const struct bg_move *to,
    void (*done)(void *arg, int code), void *arg)
{
	struct writer *w = (struct writer *)writer;

	w->writes++;
	w->last = *to;
	w->done = done;
	w->done_arg = arg;
	return event_base_once(base, -1, EV_TIMEOUT, finish_write, w, NULL);
}

static void
on_move(void *arg, const char *service, const struct bg_move *move)
{
	move_updates++;
}

static void
on_bad(void *arg, const char *service, const char *server_version,
    uint64_t generation)
{
	bad_versions++;
}

static void
on_suspend(void *arg, int suspended)
{
	is_suspended = suspended;
}

static void
add_member(const char *address, const char *version)
{
	struct bg_member *m = &mesh.members[mesh.roster.member_count++];

	memset(m, 0, sizeof(*m));
	snprintf(m->address, sizeof(m->address), "%s", address);
	snprintf(m->service, sizeof(m->service), SERVICE);
	snprintf(m->server_version, sizeof(m->server_version), "%s", version);
	m->state = BG_MEMBER_READY;
}

static void
setup(void)
{
	struct bg_moves_options opts = {0};

	memset(&mesh, 0, sizeof(mesh));
	memset(&wrt, 0, sizeof(wrt));
	memset(&policy, 0, sizeof(policy));
	bad_versions = move_updates = is_suspended = 0;
	base = event_base_new();
	mesh.roster.members = mesh.members;
	mesh.address = SELF;
	wrt.writer.write = write_move;
	policy.take_over_ms = DEADLINE_MS;
	policy.first_share_permille = 100;
	policy.max_error_permille = 10;
	opts.version = BG_MOVES_OPTIONS_VERSION;
	opts.base = base;
	opts.settings = &settings;
	opts.mesh = &mesh;
	opts.writer = &wrt.writer;
	opts.on_move = on_move;
	opts.on_bad_version = on_bad;
	opts.on_suspend = on_suspend;
	ck_assert_int_eq(bg_moves_init(&mvs, &opts, NULL), 0);
}

static void
teardown(void)
{
	bg_moves_free(mvs);
	event_base_free(base);
}

static void
begin_move(uint64_t generation)
{
	struct bg_move move;

	memset(&move, 0, sizeof(move));
	move.generation = generation;
	move.state = BG_MOVE_IN_PROGRESS;
	move.share_permille = 100;
	snprintf(move.to, sizeof(move.to), "v2");
	bg_moves_set(mvs, SERVICE, &move, &policy);
}

/* Reports answers of the local server; the first `failed` of them failed. */
static void
observe(int count, int failed)
{
	struct bg_observer *obs = bg_moves_observer(mvs);
	struct bg_observation seen;

	memset(&seen, 0, sizeof(seen));
	seen.service = SERVICE;
	seen.route = "lookup";
	seen.server_version = "v2";
	for (; count > 0; count--) {
		seen.is_failed = failed-- > 0;
		obs->observe(obs, &seen);
	}
}

static void
wait_for_state(enum bg_move_state state)
{
	uint64_t end_ms = bg_clock_now_ms() + TIMEOUT_MS;
	struct timeval step = {0, 20000};

	while (bg_moves_get(mvs, SERVICE)->state != state &&
	    bg_clock_now_ms() < end_ms) {
		event_base_loopexit(base, &step);
		event_base_dispatch(base);
	}
	ck_assert_int_eq(bg_moves_get(mvs, SERVICE)->state, state);
}

static void
run_ms(uint32_t ms)
{
	struct timeval tv = {ms / 1000, (suseconds_t)(ms % 1000) * 1000};

	event_base_loopexit(base, &tv);
	event_base_dispatch(base);
}

static void
set_verdicts(enum bg_verdict verdict, uint64_t generation)
{
	size_t i;

	for (i = 0; i < mesh.roster.member_count; i++) {
		mesh.members[i].verdict = verdict;
		mesh.members[i].verdict_generation = generation;
	}
}

/* Guards against a move to a good version that misses its deadline because no
 * node has the lead. */
START_TEST(good_version_is_done_without_leader)
{
	add_member(SELF, "v2");
	add_member("127.0.0.2:1", "v2");
	begin_move(5);
	set_verdicts(BG_VERDICT_GOOD, 5);
	wait_for_state(BG_MOVE_DONE);
	ck_assert_uint_eq(wrt.last.share_permille, 1000);
	ck_assert_int_eq(bad_versions, 0);
}
END_TEST

/* Guards against a bad version that is used until the store can be written
 * (invariant P4). */
START_TEST(bad_version_is_stopped_even_without_the_store)
{
	add_member(SELF, "v2");
	add_member("127.0.0.2:1", "v2");
	wrt.code = BG_EUNAVAILABLE;
	begin_move(5);
	set_verdicts(BG_VERDICT_BAD, 5);
	run_ms(600);
	ck_assert_int_eq(bad_versions, 1);
	ck_assert_uint_eq(bg_moves_bad_generation(mvs, SERVICE), 5);
	ck_assert_int_eq(
	    bg_moves_get(mvs, SERVICE)->state, BG_MOVE_IN_PROGRESS);
	wrt.code = 0;
	wait_for_state(BG_MOVE_ROLLED_BACK);
}
END_TEST

/* Guards against a bad server that gets calls until the verdicts of other nodes
 * arrive. */
START_TEST(node_stops_its_own_bad_server_at_once)
{
	add_member(SELF, "v2");
	add_member("127.0.0.2:1", "v2");
	begin_move(5);
	observe(12, 12);
	ck_assert_int_eq(mesh.verdict, BG_VERDICT_BAD);
	ck_assert_uint_eq(mesh.verdict_generation, 5);
	ck_assert_int_eq(is_suspended, 1);
	/* A new move resets the verdict. */
	begin_move(9);
	observe(1, 0);
	ck_assert_int_eq(is_suspended, 0);
}
END_TEST

/* Guards against a verdict on a small share that counts for a larger one. */
START_TEST(verdict_names_its_step)
{
	struct bg_move move;

	add_member(SELF, "v2");
	begin_move(5);
	observe(20, 0);
	ck_assert_int_eq(mesh.verdict, BG_VERDICT_GOOD);
	ck_assert_uint_eq(mesh.verdict_step, 0);
	move = *bg_moves_get(mvs, SERVICE);
	move.step = 1;
	move.share_permille = 300;
	bg_moves_set(mvs, SERVICE, &move, &policy);
	observe(19, 0);
	ck_assert_uint_eq(mesh.verdict_step, 0);
	observe(40, 0);
	ck_assert_int_eq(mesh.verdict, BG_VERDICT_GOOD);
	ck_assert_uint_eq(mesh.verdict_step, 1);
}
END_TEST

/* Guards against failures of the old version that count against the new one. */
START_TEST(only_the_new_version_is_judged)
{
	struct bg_observer *obs = bg_moves_observer(mvs);
	struct bg_observation seen;
	int i;

	add_member(SELF, "v1");
	begin_move(5);
	memset(&seen, 0, sizeof(seen));
	seen.service = SERVICE;
	seen.route = "lookup";
	seen.server_version = "v1";
	seen.is_failed = 1;
	for (i = 0; i < 50; i++)
		obs->observe(obs, &seen);
	ck_assert_int_eq(mesh.verdict, BG_VERDICT_NONE);
	ck_assert_int_eq(is_suspended, 0);
}
END_TEST

/* Guards against failures of a dependency that count against the version. */
START_TEST(dependency_faults_do_not_count)
{
	struct bg_observer *obs = bg_moves_observer(mvs);
	struct bg_observation seen;
	int i;

	add_member(SELF, "v2");
	begin_move(5);
	memset(&seen, 0, sizeof(seen));
	seen.service = SERVICE;
	seen.route = "lookup";
	seen.server_version = "v2";
	seen.is_failed = 1;
	seen.is_dependency_fault = 1;
	for (i = 0; i < 50; i++)
		obs->observe(obs, &seen);
	ck_assert_int_ne(mesh.verdict, BG_VERDICT_BAD);
}
END_TEST

/* Guards against all nodes writing the same step at once. Only the node of rank
 * 0 writes without a delay. */
START_TEST(nodes_write_in_turn)
{
	char address[BG_ADDRESS_BYTES];
	int first = 0;
	int i;

	for (i = 1; i <= 6; i++) {
		snprintf(address, sizeof(address), "127.0.0.%d:1", i);
		add_member(address, "v2");
	}
	/* Each node in turn is the local one. */
	for (i = 0; i < 6; i++) {
		mesh.address = mesh.members[i].address;
		wrt.writes = 0;
		wrt.code = BG_ECONFLICT;
		begin_move(5 + (uint64_t)i);
		set_verdicts(BG_VERDICT_BAD, 5 + (uint64_t)i);
		run_ms(350);
		first += wrt.writes > 0;
	}
	ck_assert_int_eq(first, 1);
}
END_TEST

/* Guards against a step that is not written because its writer failed. */
START_TEST(others_write_if_the_first_does_not)
{
	char address[BG_ADDRESS_BYTES];
	int i;

	for (i = 1; i <= 4; i++) {
		snprintf(address, sizeof(address), "127.0.0.%d:1", i);
		add_member(address, "v2");
	}
	for (i = 0; i < 4; i++) {
		mesh.address = mesh.members[i].address;
		wrt.writes = 0;
		begin_move(5 + (uint64_t)i);
		set_verdicts(BG_VERDICT_BAD, 5 + (uint64_t)i);
		wait_for_state(BG_MOVE_ROLLED_BACK);
		ck_assert_int_eq(wrt.writes, 1);
	}
}
END_TEST

/* Guards against a move that never completes if the service has no calls. */
START_TEST(idle_verdict_is_announced)
{
	add_member(SELF, "v2");
	begin_move(5);
	run_ms(DEADLINE_MS / 2);
	ck_assert_int_eq(mesh.verdict, BG_VERDICT_IDLE);
	ck_assert_uint_eq(mesh.verdict_generation, 5);
}
END_TEST

/* Guards against servers of a new version that wait for an operator although
 * the contract allows an automatic start. */
START_TEST(move_starts_automatically_if_allowed)
{
	struct bg_move done;

	policy.is_auto_start = 1;
	add_member(SELF, "v1");
	memset(&done, 0, sizeof(done));
	done.generation = 4;
	done.state = BG_MOVE_DONE;
	done.share_permille = 1000;
	snprintf(done.to, sizeof(done.to), "v1");
	bg_moves_set(mvs, SERVICE, &done, &policy);
	run_ms(500);
	ck_assert_int_eq(wrt.writes, 0);
	add_member("127.0.0.2:1", "v2");
	mesh.members[1].incarnation = 9;
	mesh.listener.roster(mesh.listener.arg, &mesh.roster);
	wait_for_state(BG_MOVE_IN_PROGRESS);
	ck_assert_str_eq(wrt.last.to, "v2");
	ck_assert_str_eq(wrt.last.from, "v1");
	ck_assert_uint_eq(wrt.last.generation, 5);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("moves");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_set_timeout(tc, 40);
	tcase_add_test(tc, good_version_is_done_without_leader);
	tcase_add_test(tc, bad_version_is_stopped_even_without_the_store);
	tcase_add_test(tc, node_stops_its_own_bad_server_at_once);
	tcase_add_test(tc, verdict_names_its_step);
	tcase_add_test(tc, only_the_new_version_is_judged);
	tcase_add_test(tc, dependency_faults_do_not_count);
	tcase_add_test(tc, nodes_write_in_turn);
	tcase_add_test(tc, others_write_if_the_first_does_not);
	tcase_add_test(tc, idle_verdict_is_announced);
	tcase_add_test(tc, move_starts_automatically_if_allowed);
	return run_suite_forked("moves", tc);
}
