/* Builds the burn report from call counts, contracts, history and head. */

#include <stdlib.h>
#include <string.h>

#include "burn.h"

#define MINUTE_MS 60000
/* Tolerance for matching a move in the head with its history entry: the start
 * time in the head is taken shortly before the time of the entry. */
#define SAME_MOVE_TOLERANCE_MS 60000

#define STATE_NOT_RECORDED "not recorded"
/* A version first called within this time after the start of the window is
 * assumed to have been called before it as well, since a route without calls
 * for an hour is rare. */
#define ESTABLISHED_MINUTES 60

const char *const BG_CLI_WINDOW_NAMES[BG_CLI_WINDOW_COUNT] = {
    "5m", "1h", "6h", "3d"};
static const uint64_t WINDOW_MINUTES[BG_CLI_WINDOW_COUNT] = {
    5, 60, 360, BG_BURN_MINUTES};

struct builder {
	const struct bg_cli_burn_input *in;
	struct bg_cli_burn_report *rep;
	int error;
};

static const struct bg_contract *
find_contract(const struct bg_cli_burn_input *in, const char *service)
{
	size_t i;

	for (i = 0; i < in->head->service_count; i++)
		if (strcmp(in->head->services[i].name, service) == 0)
			return &in->contracts[i];
	return NULL;
}

static void
add_route(struct builder *bld, const char *service, const char *route)
{
	struct bg_cli_burn_report *rep = bld->rep;
	struct bg_cli_burn_route *grown;
	size_t i;

	for (i = 0; i < rep->route_count; i++)
		if (strcmp(rep->routes[i].service, service) == 0 &&
		    strcmp(rep->routes[i].route, route) == 0)
			return;
	grown = realloc(rep->routes, (rep->route_count + 1) * sizeof(*grown));
	if (grown == NULL) {
		bld->error = BG_ENOMEM;
		return;
	}
	rep->routes = grown;
	grown += rep->route_count++;
	memset(grown, 0, sizeof(*grown));
	snprintf(grown->service, sizeof(grown->service), "%s", service);
	snprintf(grown->route, sizeof(grown->route), "%s", route);
}

static void
add_series_route(void *arg, const char *service, const char *route,
    const char *server_version)
{
	/* bg_burn_window takes an empty route as all routes of the service. */
	if (route[0] != '\0')
		add_route(arg, service, route);
}

static uint64_t
first_minute(uint64_t now_minute, uint64_t minutes)
{
	return now_minute < minutes ? 0 : now_minute - minutes + 1;
}

static void
evaluate_route(struct bg_cli_burn_route *rt, const struct bg_cli_burn_input *in)
{
	const struct bg_contract *ctr = find_contract(in, rt->service);
	uint64_t now = in->now_ms / MINUTE_MS;
	struct bg_burn_sum sum;
	uint64_t end;
	size_t i;

	rt->has_objective = ctr != NULL;
	rt->slo_permyriad = ctr == NULL ? 0 : ctr->slo_permyriad;
	for (i = 0; i < BG_CLI_WINDOW_COUNT; i++)
		bg_burn_window(&rt->sums[i], in->counts, rt->service, rt->route,
		    "", first_minute(now, WINDOW_MINUTES[i]), now);
	if (ctr == NULL)
		return;
	for (i = 0; i < BG_CLI_WINDOW_COUNT; i++)
		rt->rates[i] = bg_burn_rate(&rt->sums[i], ctr->slo_permyriad);
	rt->alert = bg_burn_alert(rt->rates[BG_CLI_WINDOW_5M],
	    rt->rates[BG_CLI_WINDOW_1H], rt->rates[BG_CLI_WINDOW_6H],
	    rt->rates[BG_CLI_WINDOW_3D]);
	for (i = 0; i < BG_CLI_PLOT_HOURS && rt->sums[BG_CLI_WINDOW_3D].bad > 0;
	     i++) {
		end = now - 60 * (BG_CLI_PLOT_HOURS - 1 - i);
		bg_burn_window(&sum, in->counts, rt->service, rt->route, "",
		    end - 59, end);
		rt->hourly_rates[i] = bg_burn_rate(&sum, ctr->slo_permyriad);
	}
}

static int
is_same_move(
    const struct bg_cli_burn_move *move, const char *to, uint64_t started_ms)
{
	uint64_t distance_ms = move->started_ms > started_ms
	    ? move->started_ms - started_ms
	    : started_ms - move->started_ms;

	return strcmp(move->to, to) == 0 &&
	    distance_ms <= SAME_MOVE_TOLERANCE_MS;
}

static struct bg_cli_burn_move *
add_move(struct builder *bld, const char *service, const char *to,
    uint64_t started_ms)
{
	struct bg_cli_burn_report *rep = bld->rep;
	struct bg_cli_burn_move *move;
	size_t i;

	for (i = 0; i < rep->move_count; i++)
		if (strcmp(rep->moves[i].service, service) == 0 &&
		    is_same_move(&rep->moves[i], to, started_ms))
			return &rep->moves[i];
	move = realloc(rep->moves, (rep->move_count + 1) * sizeof(*move));
	if (move == NULL) {
		bld->error = BG_ENOMEM;
		return NULL;
	}
	rep->moves = move;
	move += rep->move_count++;
	memset(move, 0, sizeof(*move));
	snprintf(move->service, sizeof(move->service), "%s", service);
	snprintf(move->to, sizeof(move->to), "%s", to);
	move->state = "replaced";
	move->started_ms = started_ms;
	return move;
}

static const char *
state_name(enum bg_move_state state)
{
	switch (state) {
	case BG_MOVE_IN_PROGRESS:
		return "in progress";
	case BG_MOVE_DONE:
		return "done";
	case BG_MOVE_ROLLED_BACK:
		return "rolled back";
	default:
		return "none";
	}
}

/* Finds the first minute of the last 3 days with calls to a version by binary
 * search. @return minutes since the Unix epoch; 0 if there were no calls */
static uint64_t
first_call_minute(const struct bg_cli_burn_input *in, const char *service,
    const char *server_version)
{
	uint64_t now = in->now_ms / MINUTE_MS;
	uint64_t start = first_minute(now, BG_BURN_MINUTES);
	uint64_t low = start;
	uint64_t high = now + 1;
	struct bg_burn_sum sum;
	uint64_t mid;

	while (low < high) {
		mid = low + (high - low) / 2;
		bg_burn_window(
		    &sum, in->counts, service, "", server_version, start, mid);
		if (sum.calls > 0)
			high = mid;
		else
			low = mid + 1;
	}
	return low > now ? 0 : low;
}

/* Infers a move that is neither in the history nor in the head from the calls
 * to its version: it started automatically, and a later move has replaced it in
 * the head. A version that was called from the start of the window on is no
 * sign of a move. */
static void
add_unrecorded_move(void *arg, const char *service, const char *route,
    const char *server_version)
{
	struct builder *bld = arg;
	const struct bg_cli_burn_report *rep = bld->rep;
	struct bg_cli_burn_move *move;
	uint64_t minute;
	size_t i;

	if (server_version[0] == '\0')
		return;
	for (i = 0; i < rep->move_count; i++)
		if (strcmp(rep->moves[i].service, service) == 0 &&
		    strcmp(rep->moves[i].to, server_version) == 0)
			return;
	minute = first_call_minute(bld->in, service, server_version);
	if (minute <
	    first_minute(bld->in->now_ms / MINUTE_MS, BG_BURN_MINUTES) +
		ESTABLISHED_MINUTES)
		return;
	move = add_move(bld, service, server_version, minute * MINUTE_MS);
	if (move != NULL)
		move->state = STATE_NOT_RECORDED;
}

/* A move started by an operator is in the history. One that started
 * automatically is only in the head, and only until the next move. */
static void
collect_moves(struct builder *bld)
{
	const struct bg_history *hist = bld->in->history;
	const struct bg_head *head = bld->in->head;
	const struct bg_move *last;
	struct bg_cli_burn_move *move;
	size_t i;

	for (i = 0; i < hist->entry_count; i++)
		if (strcmp(hist->entries[i].action, "move") == 0)
			add_move(bld, hist->entries[i].service,
			    hist->entries[i].to, hist->entries[i].time_ms);
	for (i = 0; i < head->service_count; i++) {
		last = &head->services[i].move;
		if (last->state == BG_MOVE_NONE || last->started_ms == 0)
			continue;
		move = add_move(
		    bld, head->services[i].name, last->to, last->started_ms);
		if (move == NULL)
			return;
		move->state = state_name(last->state);
		snprintf(move->from, sizeof(move->from), "%s", last->from);
		snprintf(
		    move->reason, sizeof(move->reason), "%s", last->reason);
	}
}

/* Returns the minute in which the next move to the same version starts;
 * UINT64_MAX if there is none. A move to another version is not considered,
 * since the old version still gets calls while traffic moves away from it. */
static uint64_t
next_move_minute(const struct bg_cli_burn_report *rep, size_t index)
{
	size_t i;

	for (i = index + 1; i < rep->move_count; i++)
		if (strcmp(rep->moves[i].service, rep->moves[index].service) ==
			0 &&
		    strcmp(rep->moves[i].to, rep->moves[index].to) == 0)
			return rep->moves[i].started_ms / MINUTE_MS;
	return UINT64_MAX;
}

static void
evaluate_move(struct bg_cli_burn_report *rep, size_t index,
    const struct bg_cli_burn_input *in)
{
	struct bg_cli_burn_move *move = &rep->moves[index];
	const struct bg_contract *ctr = find_contract(in, move->service);
	uint64_t now = in->now_ms / MINUTE_MS;
	uint64_t from = move->started_ms / MINUTE_MS;
	uint64_t end = next_move_minute(rep, index);
	struct bg_burn_sum service_sum;
	double budget;

	/* Counts are kept by the minute, so a move that is repeated within its
	 * first minute is given that whole minute. */
	if (end <= from)
		end = from + 1;
	if (from <= now)
		bg_burn_window(&move->sum, in->counts, move->service, "",
		    move->to, from, end > now ? now : end - 1);
	if (ctr == NULL)
		return;
	bg_burn_window(&service_sum, in->counts, move->service, "", "",
	    first_minute(now, BG_BURN_MINUTES), now);
	budget = (double)service_sum.calls * (10000.0 - ctr->slo_permyriad) /
	    10000.0;
	/* There is no budget without calls or with an objective of 100%. */
	move->has_budget_share = budget > 0.0;
	if (move->has_budget_share)
		move->budget_share = (double)move->sum.bad / budget;
}

/* A move that started before the window is listed if its version had failures
 * within the window. A move inferred from calls may not be one, so it is listed
 * only if it had failures. */
static int
is_listed(
    const struct bg_cli_burn_report *rep, const struct bg_cli_burn_move *move)
{
	uint64_t window_ms = (uint64_t)BG_BURN_MINUTES * MINUTE_MS;

	return move->sum.bad > 0 ||
	    (strcmp(move->state, STATE_NOT_RECORDED) != 0 &&
		move->started_ms + window_ms >= rep->now_ms);
}

static void
remove_unlisted_moves(struct bg_cli_burn_report *rep)
{
	size_t kept = 0;
	size_t i;

	for (i = 0; i < rep->move_count; i++)
		if (is_listed(rep, &rep->moves[i]))
			rep->moves[kept++] = rep->moves[i];
	rep->move_count = kept;
}

static int
compare_routes(const void *one, const void *two)
{
	const struct bg_cli_burn_route *a = one;
	const struct bg_cli_burn_route *b = two;
	int order = strcmp(a->service, b->service);

	return order != 0 ? order : strcmp(a->route, b->route);
}

static int
compare_moves(const void *one, const void *two)
{
	const struct bg_cli_burn_move *a = one;
	const struct bg_cli_burn_move *b = two;

	if (a->started_ms != b->started_ms)
		return a->started_ms < b->started_ms ? -1 : 1;
	return strcmp(a->service, b->service);
}

static void
collect_routes(struct builder *bld)
{
	const struct bg_contract *ctr;
	size_t i;
	size_t r;

	for (i = 0; i < bld->in->head->service_count; i++) {
		ctr = &bld->in->contracts[i];
		for (r = 0; r < ctr->route_count; r++)
			add_route(bld, ctr->name, ctr->routes[r].name);
	}
	bg_burn_foreach(bld->in->counts, add_series_route, bld);
}

int
bg_cli_burn_report_build(
    struct bg_cli_burn_report *out, const struct bg_cli_burn_input *in)
{
	struct builder bld = {in, out, 0};
	size_t i;

	memset(out, 0, sizeof(*out));
	out->now_ms = in->now_ms;
	out->nodes = in->nodes;
	collect_routes(&bld);
	collect_moves(&bld);
	bg_burn_foreach(in->counts, add_unrecorded_move, &bld);
	if (bld.error != 0) {
		bg_cli_burn_report_free(out);
		return bld.error;
	}
	if (out->route_count > 0)
		qsort(out->routes, out->route_count, sizeof(*out->routes),
		    compare_routes);
	if (out->move_count > 0)
		qsort(out->moves, out->move_count, sizeof(*out->moves),
		    compare_moves);
	for (i = 0; i < out->route_count; i++)
		evaluate_route(&out->routes[i], in);
	for (i = 0; i < out->move_count; i++)
		evaluate_move(out, i, in);
	remove_unlisted_moves(out);
	return 0;
}

void
bg_cli_burn_report_free(struct bg_cli_burn_report *rep)
{
	free(rep->routes);
	free(rep->moves);
	memset(rep, 0, sizeof(*rep));
}

const char *
bg_cli_burn_alert_name(const struct bg_cli_burn_route *rt)
{
	static const char *const names[] = {"ok", "ticket", "page"};

	return rt->has_objective ? names[rt->alert] : "no objective";
}

size_t
bg_cli_burn_missing_nodes(const struct bg_cli_burn_report *rep)
{
	size_t missing = 0;
	size_t i;

	for (i = 0; i < rep->nodes->count; i++)
		missing += rep->nodes->items[i].error_message[0] != '\0';
	return missing;
}
