#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/counter.h"
#include "burdockgrade/log.h"

#include "task.h"

/* Evaluation interval while a move is monitored or about to start. */
#define TICK_MS 200
/* Write delay for each rank in the order of nodes for a service: as a rule one
 * node writes a step, and the next one writes it if that node fails. */
#define RANK_DELAY_MS 400
/* Nodes of this rank or above leave the writing to the others. */
#define WRITERS_MAX 8
/* Delay before a step that is still due is written again. */
#define WRITE_RETRY_MS 500

static struct bg_counter steps = BG_COUNTER(
    "burdock_moves_steps_total", "Steps of moves that this node wrote.");
static struct bg_counter conflicts = BG_COUNTER("burdock_moves_conflicts_total",
    "Steps of moves that another node had written.");
static struct bg_counter bad_verdicts = BG_COUNTER(
    "burdock_moves_bad_total", "Times that this node found its server bad.");

static struct bg_tracked_move *
find_tracked(const struct bg_moves *mvs, const char *service)
{
	struct bg_tracked_move *trk;

	HASH_FIND_STR(mvs->tracked, service, trk);
	return trk;
}

const struct bg_move *
bg_moves_get(const struct bg_moves *mvs, const char *service)
{
	const struct bg_tracked_move *trk = find_tracked(mvs, service);

	return trk == NULL ? NULL : &trk->move;
}

uint64_t
bg_moves_bad_generation(const struct bg_moves *mvs, const char *service)
{
	const struct bg_tracked_move *trk = find_tracked(mvs, service);

	return trk != NULL && trk->is_bad_reported ? trk->move.generation : 0;
}

static void
arm_timer(struct bg_moves *mvs)
{
	static const struct timeval tick = {0, TICK_MS * 1000};

	if (!evtimer_pending(mvs->timer, NULL))
		event_add(mvs->timer, &tick);
}

static void
count_verdict(
    struct bg_plan_input *in, const struct bg_member *m, uint32_t step)
{
	int is_of_step = m->verdict_step == step ||
	    m->verdict_step == BG_VERDICT_STEP_UNKNOWN;

	in->bad_new += m->verdict == BG_VERDICT_BAD;
	if (!is_of_step)
		return;
	in->bad_in_step += m->verdict == BG_VERDICT_BAD;
	in->good_new += m->verdict == BG_VERDICT_GOOD;
	in->idle_new += m->verdict == BG_VERDICT_IDLE;
}

/* Counts the ready servers of a service by version and verdict. */
static void
count_servers(struct bg_plan_input *in, const struct bg_moves *mvs,
    const struct bg_tracked_move *trk)
{
	const struct bg_member *m;
	size_t count = bg_roster_service(
	    &m, bg_mesh_roster(mvs->options.mesh), trk->service);
	size_t i;

	for (i = 0; i < count; i++) {
		if (m[i].state != BG_MEMBER_READY)
			continue;
		if (strcmp(m[i].server_version, trk->move.to) != 0) {
			in->ready_old++;
			continue;
		}
		in->ready_new++;
		if (m[i].verdict_generation == trk->move.generation)
			count_verdict(in, &m[i], trk->move.step);
	}
}

/* Age of the move. Only its age when this process first saw it comes from the
 * wall clock, since the clocks of nodes differ and may jump. */
static uint64_t
move_age_ms(const struct bg_tracked_move *trk, uint64_t now_ms)
{
	return trk->initial_age_ms + (now_ms - trk->first_seen_ms);
}

static void
fill_input(struct bg_plan_input *out, const struct bg_moves *mvs,
    const struct bg_tracked_move *trk, uint64_t now_ms)
{
	uint64_t age = move_age_ms(trk, now_ms);

	memset(out, 0, sizeof(*out));
	count_servers(out, mvs, trk);
	out->step_age_ms = now_ms - trk->step_seen_ms;
	out->left_ms =
	    age < trk->policy.take_over_ms ? trk->policy.take_over_ms - age : 0;
	out->now_wall_ms = bg_clock_wall_ms();
	if (trk->move.generation == mvs->judge.generation &&
	    mvs->judge.reason[0] != '\0')
		out->reason = mvs->judge.reason;
}

/* Rank of this node in the order of nodes for a service. The order is by hash
 * of the address, seeded with the service. */
static uint32_t
node_rank(const struct bg_moves *mvs, const char *service)
{
	const struct bg_roster *ros = bg_mesh_roster(mvs->options.mesh);
	const char *self = bg_mesh_address(mvs->options.mesh);
	uint64_t seed = XXH64(service, strlen(service), 0);
	uint64_t own = XXH64(self, strlen(self), seed);
	uint32_t rank = 0;
	size_t i;

	for (i = 0; i < ros->member_count; i++)
		rank += XXH64(ros->members[i].address,
			    strlen(ros->members[i].address), seed) < own;
	return rank;
}

static void
on_written(void *arg, int code)
{
	struct bg_tracked_move *trk = arg;

	trk->is_writing = 0;
	trk->retry_at_ms = bg_clock_now_ms() + WRITE_RETRY_MS;
	bg_counter_add(
	    code == 0 ? &steps : &conflicts, code == 0 || code == BG_ECONFLICT);
	bg_log_info("moves",
	    "step write finished service=%s version=%s code=%s", trk->service,
	    trk->move.to, bg_error_name(code));
}

static void
write_step(struct bg_tracked_move *trk, const struct bg_move *next,
    const struct bg_plan_input *in)
{
	struct bg_move_writer *writer = trk->moves->options.writer;

	bg_log_info("moves",
	    "writing step service=%s version=%s generation=%" PRIu64
	    " state=%d step=%u share=%u ready_old=%u ready_new=%u good=%u "
	    "bad=%u step_age_ms=%" PRIu64 " left_ms=%" PRIu64 " reason=\"%s\"",
	    trk->service, next->to, next->generation, (int)next->state,
	    next->step, next->share_permille, in->ready_old, in->ready_new,
	    in->good_new, in->bad_new, in->step_age_ms, in->left_ms,
	    next->reason);
	trk->is_writing = writer->write(writer, trk->service, &trk->move, next,
			      on_written, trk) == 0;
	if (!trk->is_writing)
		trk->retry_at_ms = bg_clock_now_ms() + WRITE_RETRY_MS;
}

/* Stops the use of a bad version on this node, even if the store cannot be
 * written. */
static void
report_bad_version(struct bg_tracked_move *trk, const struct bg_plan_input *in)
{
	struct bg_moves *mvs = trk->moves;

	if (trk->is_bad_reported || !bg_plan_is_bad(&trk->move, in))
		return;
	trk->is_bad_reported = 1;
	bg_log_warn("moves",
	    "version is bad service=%s version=%s ready_new=%u bad=%u",
	    trk->service, trk->move.to, in->ready_new, in->bad_new);
	mvs->options.on_bad_version(
	    mvs->options.arg, trk->service, trk->move.to, trk->move.generation);
}

/* 1 if the judge has not had enough answers in the present step of a move. */
static int
is_idle(const struct bg_moves *mvs, const struct bg_move *move)
{
	const struct bg_judge *jdg = &mvs->judge;

	if (jdg->generation != move->generation)
		return 1;
	if (jdg->verdict == BG_VERDICT_BAD)
		return 0;
	return jdg->step != move->step || bg_judge_is_idle(jdg);
}

/* Announces that the new server beside this node got too few calls during a
 * step and thus cannot be judged. */
static void
announce_idle(struct bg_tracked_move *trk, uint64_t now_ms)
{
	struct bg_moves *mvs = trk->moves;
	const struct bg_member *me =
	    bg_roster_find(bg_mesh_roster(mvs->options.mesh),
		bg_mesh_address(mvs->options.mesh));

	if (me == NULL || trk->move.state != BG_MOVE_IN_PROGRESS ||
	    strcmp(me->service, trk->service) != 0 ||
	    strcmp(me->server_version, trk->move.to) != 0 ||
	    !is_idle(mvs, &trk->move) ||
	    now_ms - trk->step_seen_ms <
		bg_plan_step_duration_ms(&trk->move, &trk->policy))
		return;
	bg_mesh_announce_verdict(mvs->options.mesh, BG_VERDICT_IDLE,
	    trk->move.generation, trk->move.step);
}

/* Finds the version to move to: that of the latest ready server, by
 * incarnation, whose version was not tried before. */
static const char *
find_candidate(const struct bg_tracked_move *trk)
{
	const struct bg_member *newest = NULL;
	const struct bg_member *m;
	size_t count = bg_roster_service(
	    &m, bg_mesh_roster(trk->moves->options.mesh), trk->service);
	size_t i;

	for (i = 0; i < count; i++) {
		if (m[i].state != BG_MEMBER_READY ||
		    bg_move_is_retired(&trk->move, m[i].server_version))
			continue;
		if (newest == NULL || m[i].incarnation > newest->incarnation)
			newest = &m[i];
	}
	return newest == NULL ? NULL : newest->server_version;
}

/* Plans a move that starts without an operator. The first version of a service
 * is done at once, since there is no version to move from.
 * @return 1 if a move starts */
static int
plan_new_move(struct bg_move *out, const struct bg_tracked_move *trk)
{
	const struct bg_move *last = &trk->move;
	const char *version;

	if (last->state == BG_MOVE_IN_PROGRESS ||
	    (last->state != BG_MOVE_NONE && !trk->policy.is_auto_start) ||
	    (version = find_candidate(trk)) == NULL)
		return 0;
	bg_plan_begin(out, last, version, last->generation + 1, &trk->policy,
	    bg_clock_wall_ms());
	if (last->state == BG_MOVE_NONE) {
		out->state = BG_MOVE_DONE;
		out->share_permille = 1000;
	}
	return 1;
}

static void
evaluate_move(struct bg_tracked_move *trk, uint64_t now_ms)
{
	struct bg_moves *mvs = trk->moves;
	struct bg_plan_input in;
	struct bg_move next;
	uint32_t rank;

	announce_idle(trk, now_ms);
	fill_input(&in, mvs, trk, now_ms);
	report_bad_version(trk, &in);
	if (!bg_plan_next(&next, &trk->move, &trk->policy, &in) &&
	    !plan_new_move(&next, trk)) {
		trk->step_due_ms = 0;
		return;
	}
	if (trk->step_due_ms == 0)
		trk->step_due_ms = now_ms;
	rank = node_rank(mvs, trk->service);
	if (mvs->options.writer == NULL || trk->is_writing ||
	    rank >= WRITERS_MAX || now_ms < trk->retry_at_ms ||
	    now_ms - trk->step_due_ms < (uint64_t)rank * RANK_DELAY_MS)
		return;
	write_step(trk, &next, &in);
}

static int
is_monitored(const struct bg_tracked_move *trk, uint64_t now_ms)
{
	return bg_plan_is_monitored(
	    &trk->move, &trk->policy, now_ms - trk->step_seen_ms);
}

/* 1 if a step of the move may have to be written. */
static int
needs_evaluation(const struct bg_tracked_move *trk, uint64_t now_ms)
{
	struct bg_move next;

	return is_monitored(trk, now_ms) || plan_new_move(&next, trk);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct bg_moves *mvs = arg;
	struct bg_tracked_move *trk;
	uint64_t now_ms = bg_clock_now_ms();

	for (trk = mvs->tracked; trk != NULL; trk = trk->hh.next) {
		if (!needs_evaluation(trk, now_ms))
			continue;
		evaluate_move(trk, now_ms);
		arm_timer(mvs);
	}
}

static void
suspend(struct bg_moves *mvs, int is_suspended)
{
	if (mvs->is_suspended == is_suspended)
		return;
	mvs->is_suspended = is_suspended;
	mvs->options.on_suspend(mvs->options.arg, is_suspended);
}

/* 1 if server_version is the new version of a monitored move. */
static int
is_judged(const struct bg_tracked_move *trk, const char *server_version)
{
	return trk != NULL && strcmp(trk->move.to, server_version) == 0 &&
	    is_monitored(trk, bg_clock_now_ms());
}

static void
announce_verdict(struct bg_moves *mvs, const char *service)
{
	const struct bg_judge *jdg = &mvs->judge;

	bg_log_info("moves",
	    "verdict changed service=%s version=%s generation=%" PRIu64
	    " step=%u verdict=%d calls=%u failed=%u slow=%u reason=\"%s\"",
	    service, mvs->judged_version, jdg->generation, jdg->step,
	    (int)jdg->verdict, jdg->calls, jdg->failed, jdg->slow, jdg->reason);
	if (jdg->verdict == BG_VERDICT_BAD) {
		bg_counter_add(&bad_verdicts, 1);
		suspend(mvs, 1);
	}
	bg_mesh_announce_verdict(
	    mvs->options.mesh, jdg->verdict, jdg->generation, jdg->step);
	arm_timer(mvs);
}

static void
judge_answer(struct bg_moves *mvs, const struct bg_tracked_move *trk,
    const struct bg_observation *seen)
{
	struct bg_judge_sample sample;
	enum bg_verdict before;

	if (mvs->judge.generation != trk->move.generation ||
	    strcmp(mvs->judged_version, seen->server_version) != 0) {
		bg_judge_reset(&mvs->judge, trk->move.generation);
		snprintf(mvs->judged_version, sizeof(mvs->judged_version), "%s",
		    seen->server_version);
		suspend(mvs, 0);
	}
	if (mvs->judge.step != trk->move.step)
		bg_judge_begin_step(&mvs->judge, trk->move.step);
	before = mvs->judge.verdict;
	sample.route = seen->route;
	sample.is_failed = seen->is_failed && !seen->is_dependency_fault;
	sample.is_slow = seen->is_slow && !seen->is_dependency_fault;
	sample.has_latency = !seen->is_cold;
	if (bg_judge_add_sample(
		&mvs->judge, &sample, trk->policy.max_error_permille) != before)
		announce_verdict(mvs, trk->service);
}

static void
on_observation(struct bg_observer *obs, const struct bg_observation *seen)
{
	struct bg_moves *mvs = (struct bg_moves *)obs;
	const struct bg_tracked_move *trk = find_tracked(mvs, seen->service);

	bg_burn_count(mvs->burn, seen->service, seen->route,
	    seen->server_version, bg_clock_wall_ms() / 60000, seen->is_failed);
	if (is_judged(trk, seen->server_version))
		judge_answer(mvs, trk, seen);
}

static struct bg_tracked_move *
add_tracked(struct bg_moves *mvs, const char *service)
{
	struct bg_tracked_move *trk = calloc(1, sizeof(*trk));

	if (trk == NULL)
		return NULL;
	trk->moves = mvs;
	snprintf(trk->service, sizeof(trk->service), "%s", service);
	HASH_ADD_STR(mvs->tracked, service, trk);
	return trk;
}

/* Age of a move by the wall clock, at most the time to its deadline. */
static uint64_t
wall_age_ms(const struct bg_move *move, const struct bg_move_policy *policy)
{
	uint64_t wall_ms = bg_clock_wall_ms();

	if (move->started_ms == 0 || wall_ms <= move->started_ms)
		return 0;
	if (wall_ms - move->started_ms > policy->take_over_ms)
		return policy->take_over_ms;
	return wall_ms - move->started_ms;
}

static void
update_tracked(struct bg_tracked_move *trk, const struct bg_move *move,
    const struct bg_move_policy *policy)
{
	uint64_t now_ms = bg_clock_now_ms();
	int is_new_move = trk->move.generation != move->generation ||
	    strcmp(trk->move.to, move->to) != 0;

	if (is_new_move) {
		trk->first_seen_ms = now_ms;
		trk->initial_age_ms = wall_age_ms(move, policy);
		trk->is_bad_reported = 0;
	}
	if (is_new_move || trk->move.state != move->state ||
	    trk->move.step != move->step) {
		trk->step_seen_ms = now_ms;
		trk->step_due_ms = 0;
		trk->retry_at_ms = 0;
	}
	trk->move = *move;
	trk->policy = *policy;
}

void
bg_moves_set(struct bg_moves *mvs, const char *service,
    const struct bg_move *move, const struct bg_move_policy *policy)
{
	struct bg_tracked_move *trk = find_tracked(mvs, service);
	struct bg_move before;

	if (trk == NULL && (trk = add_tracked(mvs, service)) == NULL) {
		bg_log_error("moves",
		    "move not tracked service=%s reason=no-memory", service);
		return;
	}
	before = trk->move;
	update_tracked(trk, move, policy);
	if (bg_move_is_same_step(&before, &trk->move))
		return;
	bg_log_info("moves",
	    "move updated service=%s version=%s generation=%" PRIu64
	    " state=%d step=%u share=%u",
	    service, move->to, move->generation, (int)move->state, move->step,
	    move->share_permille);
	if (move->state != BG_MOVE_IN_PROGRESS &&
	    strcmp(move->to, mvs->judged_version) == 0)
		suspend(mvs, 0);
	mvs->options.on_move(mvs->options.arg, service, move);
	arm_timer(mvs);
}

/* New servers may start a move. */
static void
on_roster(void *arg, const struct bg_roster *ros)
{
	arm_timer(arg);
}

int
bg_moves_init(struct bg_moves **out, const struct bg_moves_options *opts,
    struct bg_error *err)
{
	struct bg_mesh_listener listener = {
	    NULL, on_roster, NULL, NULL, NULL, NULL};
	struct bg_moves *mvs;

	if ((mvs = calloc(1, sizeof(*mvs))) == NULL)
		return BG_ENOMEM;
	mvs->observer.observe = on_observation;
	mvs->options = *opts;
	mvs->timer = evtimer_new(opts->base, on_tick, mvs);
	listener.arg = mvs;
	if (mvs->timer == NULL || bg_burn_init(&mvs->burn) != 0 ||
	    bg_mesh_add_listener(opts->mesh, &listener) != 0) {
		bg_moves_free(mvs);
		return bg_error_set(
		    err, BG_ENOMEM, "moves", NULL, "out of memory");
	}
	*out = mvs;
	return 0;
}

void
bg_moves_free(struct bg_moves *mvs)
{
	struct bg_tracked_move *trk;
	struct bg_tracked_move *tmp;

	if (mvs == NULL)
		return;
	if (mvs->timer != NULL)
		event_free(mvs->timer);
	HASH_ITER(hh, mvs->tracked, trk, tmp)
	{
		HASH_DEL(mvs->tracked, trk);
		free(trk);
	}
	bg_burn_free(mvs->burn);
	free(mvs);
}

struct bg_observer *
bg_moves_observer(struct bg_moves *mvs)
{
	return &mvs->observer;
}

int
bg_moves_burn_json(char **out, const struct bg_moves *mvs, uint64_t now_wall_ms)
{
	return bg_burn_encode(out, mvs->burn);
}
