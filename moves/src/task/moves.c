#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/counter.h"
#include "burdockgrade/log.h"

#include "task.h"

/* Interval of decisions while a move is watched. */
#define TICK_MS 200
/* Each node waits this much longer than the one before it in the order for the
 * service, so that one node writes a step as a rule. */
#define RANK_DELAY_MS 400
/* Nodes behind this place leave the writing to the others. */
#define RANKS_MAX 8
/* Pause after a write that failed. */
#define REWRITE_MS 500

static struct bg_counter steps = BG_COUNTER(
    "burdock_moves_steps_total", "Steps of moves that this node wrote.");
static struct bg_counter conflicts = BG_COUNTER("burdock_moves_conflicts_total",
    "Steps of moves that another node had written.");
static struct bg_counter bad_verdicts = BG_COUNTER(
    "burdock_moves_bad_total", "Times that this node found its server bad.");

static struct bg_followed_move *
find(const struct bg_moves *mvs, const char *service)
{
	struct bg_followed_move *fol;

	HASH_FIND_STR(mvs->followed, service, fol);
	return fol;
}

const struct bg_move *
bg_moves_get(const struct bg_moves *mvs, const char *service)
{
	const struct bg_followed_move *fol = find(mvs, service);

	return fol == NULL ? NULL : &fol->move;
}

uint64_t
bg_moves_bad_generation(const struct bg_moves *mvs, const char *service)
{
	const struct bg_followed_move *fol = find(mvs, service);

	return fol != NULL && fol->is_told_bad ? fol->move.generation : 0;
}

static void
arm(struct bg_moves *mvs)
{
	static const struct timeval tick = {0, TICK_MS * 1000};

	if (!evtimer_pending(mvs->tick, NULL))
		event_add(mvs->tick, &tick);
}

/* Counts the servers of a move by what was found about them. */
static void
count_servers(struct bg_plan_input *in, const struct bg_moves *mvs,
    const struct bg_followed_move *fol)
{
	const struct bg_member *m;
	size_t count = bg_roster_service(
	    &m, bg_mesh_roster(mvs->options.mesh), fol->service);
	size_t i;

	for (i = 0; i < count; i++) {
		if (m[i].state != BG_MEMBER_READY)
			continue;
		if (strcmp(m[i].server_version, fol->move.to) != 0) {
			in->ready_old++;
			continue;
		}
		in->ready_new++;
		if (m[i].verdict_generation != fol->move.generation)
			continue;
		in->good_new += m[i].verdict == BG_VERDICT_GOOD;
		in->bad_new += m[i].verdict == BG_VERDICT_BAD;
		in->idle_new += m[i].verdict == BG_VERDICT_IDLE;
	}
}

/* Age of the move. The wall clock counts only if the move is older than this
 * process, since clocks differ and jump. */
static uint64_t
age_ms(const struct bg_followed_move *fol, uint64_t now_ms)
{
	return fol->begun_ms + (now_ms - fol->generation_ms);
}

static void
fill_input(struct bg_plan_input *out, const struct bg_moves *mvs,
    const struct bg_followed_move *fol, uint64_t now_ms)
{
	uint64_t age = age_ms(fol, now_ms);

	memset(out, 0, sizeof(*out));
	count_servers(out, mvs, fol);
	out->step_age_ms = now_ms - fol->state_ms;
	out->left_ms =
	    age < fol->terms.take_over_ms ? fol->terms.take_over_ms - age : 0;
	out->now_wall_ms = bg_clock_wall_ms();
	if (fol->move.generation == mvs->judge.generation &&
	    mvs->judge.reason[0] != '\0')
		out->reason = mvs->judge.reason;
}

/* Place of this node in the order of the nodes for a service. */
static uint32_t
rank_of_node(const struct bg_moves *mvs, const char *service)
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
	struct bg_followed_move *fol = arg;

	fol->is_writing = 0;
	fol->next_ms = bg_clock_now_ms() + REWRITE_MS;
	bg_counter_add(
	    code == 0 ? &steps : &conflicts, code == 0 || code == BG_ECONFLICT);
	bg_log_info("moves", "step written service=%s version=%s code=%s",
	    fol->service, fol->move.to, bg_error_name(code));
}

static void
write_next(struct bg_followed_move *fol, const struct bg_move *next,
    const struct bg_plan_input *in)
{
	struct bg_move_writer *writer = fol->moves->options.writer;

	bg_log_info("moves",
	    "step due service=%s version=%s generation=%" PRIu64
	    " state=%d step=%u share=%u ready_old=%u ready_new=%u good=%u "
	    "bad=%u step_age_ms=%" PRIu64 " left_ms=%" PRIu64 " reason=\"%s\"",
	    fol->service, next->to, next->generation, (int)next->state,
	    next->step, next->share_permille, in->ready_old, in->ready_new,
	    in->good_new, in->bad_new, in->step_age_ms, in->left_ms,
	    next->reason);
	fol->is_writing = writer->write(writer, fol->service, &fol->move, next,
			      on_written, fol) == 0;
	if (!fol->is_writing)
		fol->next_ms = bg_clock_now_ms() + REWRITE_MS;
}

/* A version that is bad is not used any more, whether or not the store can be
 * told. */
static void
check_bad(struct bg_followed_move *fol, const struct bg_plan_input *in)
{
	struct bg_moves *mvs = fol->moves;

	if (fol->is_told_bad || !bg_plan_is_bad(in->ready_new, in->bad_new))
		return;
	fol->is_told_bad = 1;
	bg_log_warn("moves",
	    "version is bad service=%s version=%s ready_new=%u bad=%u",
	    fol->service, fol->move.to, in->ready_new, in->bad_new);
	mvs->options.on_bad(
	    mvs->options.arg, fol->service, fol->move.to, fol->move.generation);
}

/* A new server that nobody calls cannot be judged; the others are told so. */
static void
check_idle(struct bg_followed_move *fol, uint64_t now_ms)
{
	struct bg_moves *mvs = fol->moves;
	const struct bg_member *me =
	    bg_roster_find(bg_mesh_roster(mvs->options.mesh),
		bg_mesh_address(mvs->options.mesh));

	if (me == NULL || fol->move.state != BG_MOVE_IN_PROGRESS ||
	    strcmp(me->service, fol->service) != 0 ||
	    strcmp(me->server_version, fol->move.to) != 0 ||
	    mvs->judge.generation == fol->move.generation ||
	    now_ms - fol->state_ms < bg_plan_dwell_ms(&fol->move, &fol->terms))
		return;
	bg_mesh_announce_verdict(
	    mvs->options.mesh, BG_VERDICT_IDLE, fol->move.generation);
}

/* Finds the ready version whose servers were announced last and that was not
 * tried before. */
static const char *
find_candidate(const struct bg_followed_move *fol)
{
	const struct bg_member *newest = NULL;
	const struct bg_member *m;
	size_t count = bg_roster_service(
	    &m, bg_mesh_roster(fol->moves->options.mesh), fol->service);
	size_t i;

	for (i = 0; i < count; i++) {
		if (m[i].state != BG_MEMBER_READY ||
		    bg_move_is_retired(&fol->move, m[i].server_version))
			continue;
		if (newest == NULL || m[i].incarnation > newest->incarnation)
			newest = &m[i];
	}
	return newest == NULL ? NULL : newest->server_version;
}

/* A move that begins by itself. The first version of a service has nothing to
 * move from. @return 1 if one begins */
static int
begin_move(struct bg_move *out, const struct bg_followed_move *fol)
{
	const struct bg_move *last = &fol->move;
	const char *version;

	if (last->state == BG_MOVE_IN_PROGRESS ||
	    (last->state != BG_MOVE_NONE && !fol->terms.is_auto_start) ||
	    (version = find_candidate(fol)) == NULL)
		return 0;
	bg_plan_begin(out, last, version, last->generation + 1, &fol->terms,
	    bg_clock_wall_ms());
	if (last->state == BG_MOVE_NONE) {
		out->state = BG_MOVE_DONE;
		out->share_permille = 1000;
	}
	return 1;
}

static void
decide(struct bg_followed_move *fol, uint64_t now_ms)
{
	struct bg_moves *mvs = fol->moves;
	struct bg_plan_input in;
	struct bg_move next;
	uint32_t rank;

	check_idle(fol, now_ms);
	fill_input(&in, mvs, fol, now_ms);
	check_bad(fol, &in);
	if (!bg_plan_next(&next, &fol->move, &fol->terms, &in) &&
	    !begin_move(&next, fol)) {
		fol->due_ms = 0;
		return;
	}
	if (fol->due_ms == 0)
		fol->due_ms = now_ms;
	rank = rank_of_node(mvs, fol->service);
	if (mvs->options.writer == NULL || fol->is_writing ||
	    rank >= RANKS_MAX || now_ms < fol->next_ms ||
	    now_ms - fol->due_ms < (uint64_t)rank * RANK_DELAY_MS)
		return;
	write_next(fol, &next, &in);
}

static int
is_watched(const struct bg_followed_move *fol, uint64_t now_ms)
{
	return bg_plan_is_watched(
	    &fol->move, &fol->terms, now_ms - fol->state_ms);
}

/* 1 if something may have to be written for the move. */
static int
is_active(const struct bg_followed_move *fol, uint64_t now_ms)
{
	struct bg_move next;

	return is_watched(fol, now_ms) || begin_move(&next, fol);
}

static void
on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct bg_moves *mvs = arg;
	struct bg_followed_move *fol;
	uint64_t now_ms = bg_clock_now_ms();

	for (fol = mvs->followed; fol != NULL; fol = fol->hh.next) {
		if (!is_active(fol, now_ms))
			continue;
		decide(fol, now_ms);
		arm(mvs);
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

/* 1 if the server beside this node has the new version of a move. */
static int
is_judged(const struct bg_followed_move *fol, const char *server_version)
{
	return fol != NULL && strcmp(fol->move.to, server_version) == 0 &&
	    is_watched(fol, bg_clock_now_ms());
}

static void
tell_verdict(struct bg_moves *mvs, const char *service)
{
	const struct bg_judge *jdg = &mvs->judge;

	bg_log_info("moves",
	    "verdict service=%s version=%s generation=%" PRIu64
	    " verdict=%d calls=%u failed=%u slow=%u reason=\"%s\"",
	    service, mvs->judged_version, jdg->generation, (int)jdg->verdict,
	    jdg->calls, jdg->failed, jdg->slow, jdg->reason);
	if (jdg->verdict == BG_VERDICT_BAD) {
		bg_counter_add(&bad_verdicts, 1);
		suspend(mvs, 1);
	}
	bg_mesh_announce_verdict(
	    mvs->options.mesh, jdg->verdict, jdg->generation);
	arm(mvs);
}

static void
judge(struct bg_moves *mvs, const struct bg_followed_move *fol,
    const struct bg_observation *seen)
{
	struct bg_judge_sample sample;
	enum bg_verdict before;

	if (mvs->judge.generation != fol->move.generation ||
	    strcmp(mvs->judged_version, seen->server_version) != 0) {
		bg_judge_reset(&mvs->judge, fol->move.generation);
		snprintf(mvs->judged_version, sizeof(mvs->judged_version), "%s",
		    seen->server_version);
		suspend(mvs, 0);
	}
	before = mvs->judge.verdict;
	sample.route = seen->route;
	sample.is_failed = seen->is_failed && !seen->is_dependency_fault;
	sample.is_slow = seen->is_slow && !seen->is_dependency_fault;
	sample.has_time = !seen->is_cold;
	if (bg_judge_count(
		&mvs->judge, &sample, fol->terms.max_error_permille) != before)
		tell_verdict(mvs, fol->service);
}

static void
observe(struct bg_observer *obs, const struct bg_observation *seen)
{
	struct bg_moves *mvs = (struct bg_moves *)obs;
	const struct bg_followed_move *fol = find(mvs, seen->service);

	bg_burn_count(mvs->burn, seen->service, seen->route,
	    seen->server_version, bg_clock_wall_ms() / 60000, seen->is_failed);
	if (is_judged(fol, seen->server_version))
		judge(mvs, fol, seen);
}

static struct bg_followed_move *
add_followed(struct bg_moves *mvs, const char *service)
{
	struct bg_followed_move *fol = calloc(1, sizeof(*fol));

	if (fol == NULL)
		return NULL;
	fol->moves = mvs;
	snprintf(fol->service, sizeof(fol->service), "%s", service);
	HASH_ADD_STR(mvs->followed, service, fol);
	return fol;
}

/* Age of a move that began before this process saw it. */
static uint64_t
begun_before_ms(const struct bg_move *move, const struct bg_move_terms *terms)
{
	uint64_t wall_ms = bg_clock_wall_ms();

	if (move->started_ms == 0 || wall_ms <= move->started_ms)
		return 0;
	if (wall_ms - move->started_ms > terms->take_over_ms)
		return terms->take_over_ms;
	return wall_ms - move->started_ms;
}

static void
take_move(struct bg_followed_move *fol, const struct bg_move *move,
    const struct bg_move_terms *terms)
{
	uint64_t now_ms = bg_clock_now_ms();
	int is_other = fol->move.generation != move->generation ||
	    strcmp(fol->move.to, move->to) != 0;

	if (is_other) {
		fol->generation_ms = now_ms;
		fol->begun_ms = begun_before_ms(move, terms);
		fol->is_told_bad = 0;
	}
	if (is_other || fol->move.state != move->state ||
	    fol->move.step != move->step) {
		fol->state_ms = now_ms;
		fol->due_ms = 0;
		fol->next_ms = 0;
	}
	fol->move = *move;
	fol->terms = *terms;
}

void
bg_moves_set(struct bg_moves *mvs, const char *service,
    const struct bg_move *move, const struct bg_move_terms *terms)
{
	struct bg_followed_move *fol = find(mvs, service);
	struct bg_move before;

	if (fol == NULL && (fol = add_followed(mvs, service)) == NULL) {
		bg_log_error(
		    "moves", "not followed service=%s reason=memory", service);
		return;
	}
	before = fol->move;
	take_move(fol, move, terms);
	if (bg_move_is_same_step(&before, &fol->move))
		return;
	bg_log_info("moves",
	    "move service=%s version=%s generation=%" PRIu64
	    " state=%d step=%u share=%u",
	    service, move->to, move->generation, (int)move->state, move->step,
	    move->share_permille);
	if (move->state != BG_MOVE_IN_PROGRESS &&
	    strcmp(move->to, mvs->judged_version) == 0)
		suspend(mvs, 0);
	mvs->options.on_move(mvs->options.arg, service, move);
	arm(mvs);
}

/* New servers may begin a move. */
static void
on_roster(void *arg, const struct bg_roster *ros)
{
	arm(arg);
}

int
bg_moves_init(struct bg_moves **out, const struct bg_moves_options *opts,
    struct bg_error *err)
{
	struct bg_mesh_listener listener = {NULL, on_roster, NULL, NULL};
	struct bg_moves *mvs;

	if ((mvs = calloc(1, sizeof(*mvs))) == NULL)
		return BG_ENOMEM;
	mvs->observer.observe = observe;
	mvs->options = *opts;
	mvs->tick = evtimer_new(opts->base, on_tick, mvs);
	listener.arg = mvs;
	if (mvs->tick == NULL || bg_burn_init(&mvs->burn) != 0 ||
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
	struct bg_followed_move *fol;
	struct bg_followed_move *tmp;

	if (mvs == NULL)
		return;
	if (mvs->tick != NULL)
		event_free(mvs->tick);
	HASH_ITER(hh, mvs->followed, fol, tmp)
	{
		HASH_DEL(mvs->followed, fol);
		free(fol);
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
