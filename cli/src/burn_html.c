/* Renders the burn report as an HTML page without external resources. */

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "burdockgrade/clock.h"

#include "burn.h"

/* Size of a plot in SVG user units: 10 for each of 72 hours. */
#define HOUR_WIDTH 10
#define PLOT_WIDTH (BG_CLI_PLOT_HOURS * HOUR_WIDTH)
#define PLOT_HEIGHT 100
#define TEXT_HEIGHT 14
#define HOUR_MS 3600000
/* Lower bound of the upper end of the scale, so that a burn rate near 0 is
 * not drawn at full height. */
#define PLOT_MAXIMUM_MIN 1.0
#define PERCENT 100.0

static const char PAGE_HEAD[] =
    "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n"
    "<title>Burn report</title>\n<style>\n"
    "body{font:14px sans-serif;margin:2em}\n"
    "table{border-collapse:collapse;margin:1em 0}\n"
    "th,td{border:1px solid #bbb;padding:2px 8px;text-align:right}\n"
    "th,td.name{text-align:left}\n"
    ".page{background:#f3b0b0}.ticket{background:#f7e3a1}\n"
    ".missing{color:#a00000}svg{width:100%;max-width:900px;height:auto}\n"
    "text{font:11px sans-serif}\n"
    "</style></head><body>\n";

/* Escapes text for HTML. Names and reasons come from operators and nodes and
 * are not trusted. */
static void
write_escaped(FILE *fp, const char *text)
{
	for (; *text != '\0'; text++) {
		switch (*text) {
		case '<':
			fputs("&lt;", fp);
			break;
		case '>':
			fputs("&gt;", fp);
			break;
		case '&':
			fputs("&amp;", fp);
			break;
		case '"':
			fputs("&quot;", fp);
			break;
		default:
			fputc(*text, fp);
		}
	}
}

static void
write_text_cell(FILE *fp, const char *text)
{
	fputs("<td class=\"name\">", fp);
	write_escaped(fp, text);
	fputs("</td>", fp);
}

static void
write_nodes(FILE *fp, const struct bg_cli_burn_report *rep)
{
	char timestamp[BG_RFC3339_BYTES];
	size_t i;

	bg_clock_format(timestamp, rep->now_ms);
	fprintf(fp,
	    "<h1>Burn report at %s</h1>\n<p>%zu of %zu nodes answered.</p>\n",
	    timestamp, rep->nodes->count - bg_cli_burn_missing_nodes(rep),
	    rep->nodes->count);
	bg_cli_conditions_print(fp, &rep->conditions, "<p>", "</p>\n");
	for (i = 0; i < rep->nodes->count; i++) {
		if (rep->nodes->items[i].error_message[0] == '\0')
			continue;
		fputs("<p class=\"missing\">Missing node ", fp);
		write_escaped(fp, rep->nodes->items[i].address);
		fputs(": ", fp);
		write_escaped(fp, rep->nodes->items[i].error_message);
		fputs("</p>\n", fp);
	}
}

static void
write_route(FILE *fp, const struct bg_cli_burn_route *rt)
{
	const char *alert = bg_cli_burn_alert_name(rt);
	size_t i;

	fputs("<tr>", fp);
	write_text_cell(fp, rt->service);
	write_text_cell(fp, rt->route);
	fprintf(fp, "<td class=\"name %s\">%s</td>", alert, alert);
	if (rt->has_objective)
		fprintf(fp, "<td>%.2f%%</td>", rt->slo_permyriad / PERCENT);
	else
		fputs("<td>-</td>", fp);
	for (i = 0; i < BG_CLI_WINDOW_COUNT; i++) {
		fprintf(fp, "<td>%" PRIu64 "</td><td>%" PRIu64 "</td>",
		    rt->sums[i].calls, rt->sums[i].bad);
		if (rt->has_objective)
			fprintf(fp, "<td>%.2f</td>", rt->rates[i]);
		else
			fputs("<td>-</td>", fp);
	}
	fputs("</tr>\n", fp);
}

static void
write_routes(FILE *fp, const struct bg_cli_burn_report *rep)
{
	size_t i;

	fputs("<h2>Routes</h2>\n<table><tr><th>service</th><th>route</th>"
	      "<th>alert</th><th>objective</th>",
	    fp);
	for (i = 0; i < BG_CLI_WINDOW_COUNT; i++)
		fprintf(fp, "<th>calls %s</th><th>failed</th><th>burn</th>",
		    BG_CLI_WINDOW_NAMES[i]);
	fputs("</tr>\n", fp);
	for (i = 0; i < rep->route_count; i++)
		write_route(fp, &rep->routes[i]);
	fputs("</table>\n", fp);
}

static void
write_moves(FILE *fp, const struct bg_cli_burn_report *rep)
{
	const struct bg_cli_burn_move *move;
	char timestamp[BG_RFC3339_BYTES];
	size_t i;

	fputs("<h2>Moves</h2>\n<table><tr><th>started</th><th>service</th>"
	      "<th>from</th><th>to</th><th>state</th><th>calls</th>"
	      "<th>failed</th><th>share of the 3 d budget</th>"
	      "<th>reason</th></tr>\n",
	    fp);
	for (i = 0; i < rep->move_count; i++) {
		move = &rep->moves[i];
		bg_clock_format(timestamp, move->started_ms);
		fprintf(fp, "<tr><td class=\"name\">%s</td>", timestamp);
		write_text_cell(fp, move->service);
		write_text_cell(fp, move->from);
		write_text_cell(fp, move->to);
		write_text_cell(fp, move->state);
		fprintf(fp, "<td>%" PRIu64 "</td><td>%" PRIu64 "</td>",
		    move->sum.calls, move->sum.bad);
		if (move->has_budget_share)
			fprintf(fp, "<td>%.1f%%</td>",
			    move->budget_share * PERCENT);
		else
			fputs("<td>-</td>", fp);
		write_text_cell(fp, move->reason);
		fputs("</tr>\n", fp);
	}
	fputs("</table>\n", fp);
}

/* Draws a vertical line at the start of each move of the service. */
static void
write_move_markers(
    FILE *fp, const struct bg_cli_burn_report *rep, const char *service)
{
	const uint64_t span_ms = (uint64_t)BG_CLI_PLOT_HOURS * HOUR_MS;
	const double width = (double)PLOT_WIDTH;
	const struct bg_cli_burn_move *move;
	uint64_t age_ms;
	double x;
	size_t i;

	for (i = 0; i < rep->move_count; i++) {
		move = &rep->moves[i];
		if (strcmp(move->service, service) != 0 ||
		    move->started_ms > rep->now_ms ||
		    (age_ms = rep->now_ms - move->started_ms) > span_ms)
			continue;
		x = width - (double)age_ms * width / (double)span_ms;
		fprintf(fp,
		    "<line class=\"move\" x1=\"%.1f\" x2=\"%.1f\" y1=\"0\" "
		    "y2=\"%d\" stroke=\"#0050b0\"/><text x=\"%.1f\" y=\"%d\" "
		    "text-anchor=\"%s\" fill=\"#0050b0\">",
		    x, x, PLOT_HEIGHT, x, TEXT_HEIGHT,
		    x > width / 2.0 ? "end" : "start");
		write_escaped(fp, move->to);
		fputs("</text>\n", fp);
	}
}

static double
plot_maximum(const struct bg_cli_burn_route *rt)
{
	double maximum = PLOT_MAXIMUM_MIN;
	size_t i;

	for (i = 0; i < BG_CLI_PLOT_HOURS; i++)
		if (rt->hourly_rates[i] > maximum)
			maximum = rt->hourly_rates[i];
	return maximum;
}

static void
write_plot(FILE *fp, const struct bg_cli_burn_report *rep,
    const struct bg_cli_burn_route *rt)
{
	double maximum = plot_maximum(rt);
	size_t i;

	fputs("<h3>", fp);
	write_escaped(fp, rt->service);
	fputs(" / ", fp);
	write_escaped(fp, rt->route);
	fprintf(fp,
	    "</h3>\n<svg viewBox=\"0 -4 %d %d\">"
	    "<rect width=\"%d\" height=\"%d\" fill=\"#f6f6f6\"/>\n"
	    "<polyline fill=\"none\" stroke=\"#b03000\" points=\"",
	    PLOT_WIDTH, PLOT_HEIGHT + TEXT_HEIGHT + 8, PLOT_WIDTH, PLOT_HEIGHT);
	for (i = 0; i < BG_CLI_PLOT_HOURS; i++)
		fprintf(fp, "%zu,%.1f ", i * HOUR_WIDTH + HOUR_WIDTH / 2,
		    PLOT_HEIGHT * (1.0 - rt->hourly_rates[i] / maximum));
	fprintf(fp,
	    "\"/>\n<line x1=\"0\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" "
	    "stroke=\"#888\" stroke-dasharray=\"4\"/>\n",
	    PLOT_WIDTH, PLOT_HEIGHT * (1.0 - 1.0 / maximum),
	    PLOT_HEIGHT * (1.0 - 1.0 / maximum));
	write_move_markers(fp, rep, rt->service);
	fprintf(fp,
	    "<text x=\"0\" y=\"%d\">3 days ago; burn of each hour, highest "
	    "%.2f, dashed 1.0</text><text x=\"%d\" y=\"%d\" "
	    "text-anchor=\"end\">now</text></svg>\n",
	    PLOT_HEIGHT + TEXT_HEIGHT, maximum, PLOT_WIDTH,
	    PLOT_HEIGHT + TEXT_HEIGHT);
}

int
bg_cli_burn_report_html(char **out, const struct bg_cli_burn_report *rep)
{
	size_t bytes;
	size_t i;
	FILE *fp;

	*out = NULL;
	if ((fp = open_memstream(out, &bytes)) == NULL)
		return BG_ENOMEM;
	fputs(PAGE_HEAD, fp);
	write_nodes(fp, rep);
	write_routes(fp, rep);
	write_moves(fp, rep);
	fputs("<h2>Burn over time</h2>\n", fp);
	for (i = 0; i < rep->route_count; i++)
		if (rep->routes[i].has_objective)
			write_plot(fp, rep, &rep->routes[i]);
	fputs("</body></html>\n", fp);
	return fclose(fp) == 0 ? 0 : BG_ENOMEM;
}
