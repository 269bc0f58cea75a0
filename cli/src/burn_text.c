/* Renders the burn report as text and as JSON. */

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "burdockgrade/clock.h"

#include "burn.h"

#define CELL_BYTES 48
#define PERCENT 100.0

/* Widths of the columns that hold names. */
struct column_widths {
	int service;
	int route;
};

static int
max_width(int width, const char *text)
{
	int len = (int)strlen(text);

	return len > width ? len : width;
}

static struct column_widths
measure_columns(const struct bg_cli_burn_report *rep)
{
	struct column_widths w = {(int)strlen("SERVICE"), (int)strlen("ROUTE")};
	size_t i;

	for (i = 0; i < rep->route_count; i++) {
		w.service = max_width(w.service, rep->routes[i].service);
		w.route = max_width(w.route, rep->routes[i].route);
	}
	return w;
}

static void
write_nodes(FILE *fp, const struct bg_cli_burn_report *rep)
{
	size_t i;

	bg_cli_conditions_print(fp, &rep->conditions, "", "\n");
	fprintf(fp, "nodes: %zu of %zu answered\n",
	    rep->nodes->count - bg_cli_burn_missing_nodes(rep),
	    rep->nodes->count);
	for (i = 0; i < rep->nodes->count; i++)
		if (rep->nodes->items[i].error_message[0] != '\0')
			fprintf(fp, "missing node %s: %s\n",
			    rep->nodes->items[i].address,
			    rep->nodes->items[i].error_message);
}

static void
write_window(FILE *fp, const struct bg_cli_burn_route *rt, size_t window)
{
	char rate[CELL_BYTES] = "-";

	if (rt->has_objective)
		snprintf(rate, sizeof(rate), "%.2f", rt->rates[window]);
	fprintf(fp, "  %9" PRIu64 " %7" PRIu64 " %7s", rt->sums[window].calls,
	    rt->sums[window].bad, rate);
}

static void
write_routes(FILE *fp, const struct bg_cli_burn_report *rep)
{
	const struct bg_cli_burn_route *rt;
	struct column_widths w = measure_columns(rep);
	char cell[CELL_BYTES];
	size_t i;
	size_t window;

	fprintf(fp, "\n%-*s  %-*s  %-12s  %9s", w.service, "SERVICE", w.route,
	    "ROUTE", "ALERT", "OBJECTIVE");
	for (window = 0; window < BG_CLI_WINDOW_COUNT; window++) {
		snprintf(cell, sizeof(cell), "CALLS/%s",
		    BG_CLI_WINDOW_NAMES[window]);
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
		for (window = 0; window < BG_CLI_WINDOW_COUNT; window++)
			write_window(fp, rt, window);
		fputc('\n', fp);
	}
}

static void
write_moves(FILE *fp, const struct bg_cli_burn_report *rep)
{
	const struct bg_cli_burn_move *move;
	char timestamp[BG_RFC3339_BYTES];
	size_t i;

	fputs(rep->move_count == 0 ? "\nno moves\n" : "\nmoves:\n", fp);
	for (i = 0; i < rep->move_count; i++) {
		move = &rep->moves[i];
		bg_clock_format(timestamp, move->started_ms);
		fprintf(fp, "%s  %s ", timestamp, move->service);
		if (move->from[0] != '\0')
			fprintf(fp, "%s -> ", move->from);
		fprintf(fp,
		    "%s  %s  calls=%" PRIu64 " failed=%" PRIu64 " budget=",
		    move->to, move->state, move->sum.calls, move->sum.bad);
		if (move->has_budget_share)
			fprintf(fp, "%.1f%%", move->budget_share * PERCENT);
		else
			fputc('-', fp);
		if (move->reason[0] != '\0')
			fprintf(fp, " reason=\"%s\"", move->reason);
		fputc('\n', fp);
	}
}

int
bg_cli_burn_report_text(char **out, const struct bg_cli_burn_report *rep)
{
	char timestamp[BG_RFC3339_BYTES];
	size_t bytes;
	FILE *fp;

	*out = NULL;
	if ((fp = open_memstream(out, &bytes)) == NULL)
		return BG_ENOMEM;
	bg_clock_format(timestamp, rep->now_ms);
	fprintf(fp, "burn report at %s\n", timestamp);
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

	for (i = 0; i < BG_CLI_WINDOW_COUNT; i++)
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
	    move->has_budget_share ? json_real(move->budget_share)
				   : json_null());
}

json_t *
bg_cli_burn_report_json(const struct bg_cli_burn_report *rep)
{
	json_t *missing = json_array();
	json_t *routes = json_array();
	json_t *moves = json_array();
	size_t i;

	for (i = 0; i < rep->nodes->count; i++)
		if (rep->nodes->items[i].error_message[0] != '\0')
			json_array_append_new(missing,
			    json_pack("{s:s, s:s}", "node",
				rep->nodes->items[i].address, "reason",
				rep->nodes->items[i].error_message));
	for (i = 0; i < rep->route_count; i++)
		json_array_append_new(routes, route_json(&rep->routes[i]));
	for (i = 0; i < rep->move_count; i++)
		json_array_append_new(moves, move_json(&rep->moves[i]));
	return json_pack("{s:b, s:I, s:I, s:o, s:o, s:o, s:O*, s:O*}", "ok",
	    json_array_size(missing) == 0, "time_ms", (json_int_t)rep->now_ms,
	    "nodes", (json_int_t)rep->nodes->count, "missing", missing,
	    "routes", routes, "moves", moves, "emptied",
	    rep->conditions.emptied, "cold", rep->conditions.cold);
}
