/* The burn report as text and as JSON. */

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "burdockgrade/clock.h"

#include "burn.h"

#define CELL_BYTES 48
#define PERCENT 100.0

/* Widths of the columns whose content is a name. */
struct widths {
	int service;
	int route;
};

static int
wider(int width, const char *text)
{
	int len = (int)strlen(text);

	return len > width ? len : width;
}

static struct widths
measure(const struct bg_cli_burn *rep)
{
	struct widths w = {(int)strlen("SERVICE"), (int)strlen("ROUTE")};
	size_t i;

	for (i = 0; i < rep->route_count; i++) {
		w.service = wider(w.service, rep->routes[i].service);
		w.route = wider(w.route, rep->routes[i].route);
	}
	return w;
}

static void
write_nodes(FILE *fp, const struct bg_cli_burn *rep)
{
	size_t i;

	fprintf(fp, "nodes: %zu of %zu answered\n",
	    rep->nodes->count - bg_cli_burn_missing(rep), rep->nodes->count);
	for (i = 0; i < rep->nodes->count; i++)
		if (rep->nodes->items[i].fault[0] != '\0')
			fprintf(fp, "missing node %s: %s\n",
			    rep->nodes->items[i].address,
			    rep->nodes->items[i].fault);
}

static void
write_window(FILE *fp, const struct bg_cli_burn_route *rt, size_t at)
{
	char rate[CELL_BYTES] = "-";

	if (rt->has_objective)
		snprintf(rate, sizeof(rate), "%.2f", rt->rates[at]);
	fprintf(fp, "  %9" PRIu64 " %7" PRIu64 " %7s", rt->sums[at].calls,
	    rt->sums[at].bad, rate);
}

static void
write_routes(FILE *fp, const struct bg_cli_burn *rep)
{
	const struct bg_cli_burn_route *rt;
	struct widths w = measure(rep);
	char cell[CELL_BYTES];
	size_t i;
	size_t at;

	fprintf(fp, "\n%-*s  %-*s  %-12s  %9s", w.service, "SERVICE", w.route,
	    "ROUTE", "ALERT", "OBJECTIVE");
	for (at = 0; at < BG_CLI_WINDOWS; at++) {
		snprintf(
		    cell, sizeof(cell), "CALLS/%s", BG_CLI_WINDOW_NAMES[at]);
		fprintf(fp, "  %9s %7s %7s", cell, "FAILED", "BURN");
	}
	fputc('\n', fp);
	for (i = 0; i < rep->route_count; i++) {
		rt = &rep->routes[i];
		snprintf(cell, sizeof(cell), "-");
		if (rt->has_objective)
			snprintf(cell, sizeof(cell), "%.2f%%",
			    rt->slo_permyriad / PERCENT);
		fprintf(fp, "%-*s  %-*s  %-12s  %9s", w.service, rt->service,
		    w.route, rt->route, bg_cli_burn_alert_name(rt), cell);
		for (at = 0; at < BG_CLI_WINDOWS; at++)
			write_window(fp, rt, at);
		fputc('\n', fp);
	}
}

static void
write_moves(FILE *fp, const struct bg_cli_burn *rep)
{
	const struct bg_cli_burn_move *move;
	char when[BG_RFC3339_BYTES];
	size_t i;

	fputs(rep->move_count == 0 ? "\nno moves\n" : "\nmoves:\n", fp);
	for (i = 0; i < rep->move_count; i++) {
		move = &rep->moves[i];
		bg_clock_format(when, move->started_ms);
		fprintf(fp, "%s  %s ", when, move->service);
		if (move->from[0] != '\0')
			fprintf(fp, "%s -> ", move->from);
		fprintf(fp,
		    "%s  %s  calls=%" PRIu64 " failed=%" PRIu64 " budget=",
		    move->to, move->state, move->sum.calls, move->sum.bad);
		if (move->has_share)
			fprintf(fp, "%.1f%%", move->share * PERCENT);
		else
			fputc('-', fp);
		if (move->reason[0] != '\0')
			fprintf(fp, " reason=\"%s\"", move->reason);
		fputc('\n', fp);
	}
}

int
bg_cli_burn_text(char **out, const struct bg_cli_burn *rep)
{
	char when[BG_RFC3339_BYTES];
	size_t bytes;
	FILE *fp;

	*out = NULL;
	if ((fp = open_memstream(out, &bytes)) == NULL)
		return BG_ENOMEM;
	bg_clock_format(when, rep->now_ms);
	fprintf(fp, "burn report at %s\n", when);
	write_nodes(fp, rep);
	write_routes(fp, rep);
	write_moves(fp, rep);
	return fclose(fp) == 0 ? 0 : BG_ENOMEM;
}

static json_t *
route_json(const struct bg_cli_burn_route *rt)
{
	json_t *windows = json_object();
	size_t i;

	for (i = 0; i < BG_CLI_WINDOWS; i++)
		json_object_set_new(windows, BG_CLI_WINDOW_NAMES[i],
		    json_pack("{s:I, s:I, s:o}", "calls",
			(json_int_t)rt->sums[i].calls, "failed",
			(json_int_t)rt->sums[i].bad, "burn",
			rt->has_objective ? json_real(rt->rates[i])
					  : json_null()));
	return json_pack("{s:s, s:s, s:s, s:o, s:o}", "service", rt->service,
	    "route", rt->route, "alert", bg_cli_burn_alert_name(rt),
	    "objective_percent",
	    rt->has_objective ? json_real(rt->slo_permyriad / PERCENT)
			      : json_null(),
	    "windows", windows);
}

static json_t *
move_json(const struct bg_cli_burn_move *move)
{
	return json_pack("{s:s, s:s, s:s, s:s, s:s, s:I, s:I, s:I, s:o}",
	    "service", move->service, "from", move->from, "to", move->to,
	    "state", move->state, "reason", move->reason, "started_ms",
	    (json_int_t)move->started_ms, "calls", (json_int_t)move->sum.calls,
	    "failed", (json_int_t)move->sum.bad, "budget_share",
	    move->has_share ? json_real(move->share) : json_null());
}

json_t *
bg_cli_burn_json(const struct bg_cli_burn *rep)
{
	json_t *missing = json_array();
	json_t *routes = json_array();
	json_t *moves = json_array();
	size_t i;

	for (i = 0; i < rep->nodes->count; i++)
		if (rep->nodes->items[i].fault[0] != '\0')
			json_array_append_new(missing,
			    json_pack("{s:s, s:s}", "node",
				rep->nodes->items[i].address, "reason",
				rep->nodes->items[i].fault));
	for (i = 0; i < rep->route_count; i++)
		json_array_append_new(routes, route_json(&rep->routes[i]));
	for (i = 0; i < rep->move_count; i++)
		json_array_append_new(moves, move_json(&rep->moves[i]));
	return json_pack("{s:b, s:I, s:I, s:o, s:o, s:o}", "ok",
	    json_array_size(missing) == 0, "time_ms", (json_int_t)rep->now_ms,
	    "nodes", (json_int_t)rep->nodes->count, "missing", missing,
	    "routes", routes, "moves", moves);
}
