#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

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

struct bg_tracked_move *
bg_moves_find_tracked(const struct bg_moves *mvs, const char *service)
{
	struct bg_tracked_move *trk;

	HASH_FIND_STR(mvs->tracked, service, trk);
	return trk;
}

const struct bg_move *
bg_moves_get(const struct bg_moves *mvs, const char *service)
{
	const struct bg_tracked_move *trk = bg_moves_find_tracked(mvs, service);

	return trk == NULL ? NULL : &trk->move;
}

uint64_t
bg_moves_bad_generation(const struct bg_moves *mvs, const char *service)
{
	const struct bg_tracked_move *trk = bg_moves_find_tracked(mvs, service);

	return trk != NULL && trk->is_bad_reported ? trk->move.generation : 0;
}

void
bg_moves_arm_timer(struct bg_moves *mvs)
{
	static const struct timeval tick = {0, TICK_MS * 1000};

	if (!evtimer_pending(mvs->timer, NULL))
		event_add(mvs->timer, &tick);
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
	    (version = bg_moves_find_candidate(trk)) == NULL)
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
	bg_moves_plan_input(&in, mvs, trk, now_ms);
	report_bad_version(trk, &in);
	if (!bg_plan_next(&next, &trk->move, &trk->policy, &in) &&
	    !plan_new_move(&next, trk)) {
		trk->step_due_ms = 0;
		return;
	}
	if (trk->step_due_ms == 0)
		trk->step_due_ms = now_ms;
	rank = bg_moves_node_rank(mvs, trk->service);
	if (mvs->options.writer == NULL || trk->is_writing ||
	    rank >= WRITERS_MAX || now_ms < trk->retry_at_ms ||
	    now_ms - trk->step_due_ms < (uint64_t)rank * RANK_DELAY_MS)
		return;
	write_step(trk, &next, &in);
}

int
bg_moves_is_monitored(const struct bg_tracked_move *trk, uint64_t now_ms)
{
	return bg_plan_is_monitored(
	    &trk->move, &trk->policy, now_ms - trk->step_seen_ms);
}

/* 1 if a step of the move may have to be written. */
static int
needs_evaluation(const struct bg_tracked_move *trk, uint64_t now_ms)
{
	struct bg_move next;

	return bg_moves_is_monitored(trk, now_ms) || plan_new_move(&next, trk);
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
		bg_moves_arm_timer(mvs);
	}
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
	struct bg_tracked_move *trk = bg_moves_find_tracked(mvs, service);
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
		bg_moves_suspend(mvs, 0);
	mvs->options.on_move(mvs->options.arg, service, move);
	bg_moves_arm_timer(mvs);
}

/* New servers may start a move. */
static void
on_roster(void *arg, const struct bg_roster *ros)
{
	bg_moves_arm_timer(arg);
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
	mvs->observer.observe = bg_moves_observe;
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
