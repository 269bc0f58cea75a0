#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "cli.h"
#include "trace.h"

static int
read_logs(struct bg_trace *trace, const struct bg_cli *cli)
{
	struct bg_error err;
	FILE *fp;
	size_t i;
	int error;

	for (i = 1; i < cli->arg_count; i++) {
		if ((fp = fopen(cli->args[i], "r")) == NULL) {
			bg_error_set(&err, BG_EIO, "read", NULL, "%s: %s",
			    cli->args[i], strerror(errno));
			return bg_cli_fail(cli, &err, NULL);
		}
		error = bg_trace_read_log(trace, fp);
		fclose(fp);
		if (error != 0) {
			bg_error_set(&err, error, "read", NULL,
			    "%s: cannot read the log", cli->args[i]);
			return bg_cli_fail(cli, &err, NULL);
		}
	}
	return BG_EXIT_OK;
}

static void
print_json(const struct bg_trace *trace)
{
	json_t *lines = json_array();
	json_t *nodes = json_array();
	size_t i;

	for (i = 0; i < trace->line_count; i++)
		json_array_append_new(lines,
		    json_pack("{s:s, s:s, s:s}", "node", trace->lines[i].node,
			"time", trace->lines[i].time, "text",
			trace->lines[i].text));
	for (i = 0; i < trace->node_count; i++)
		json_array_append_new(nodes,
		    json_pack("{s:s, s:s, s:s, s:I, s:I}", "node",
			trace->nodes[i].node, "first",
			trace->nodes[i].first_time, "last",
			trace->nodes[i].last_time, "lines",
			(json_int_t)trace->nodes[i].line_count, "dropped",
			(json_int_t)trace->nodes[i].dropped_lines));
	bg_cli_print_json(json_pack("{s:s, s:o, s:o}", "request",
	    trace->request_id, "lines", lines, "nodes", nodes));
}

static void
print_text(const struct bg_trace *trace)
{
	size_t i;

	for (i = 0; i < trace->line_count; i++)
		printf("%s %s %s\n", trace->lines[i].time, trace->lines[i].node,
		    trace->lines[i].text);
	if (trace->line_count > 0)
		return;
	printf(
	    "no log lines of request %s; the logs cover:\n", trace->request_id);
	for (i = 0; i < trace->node_count; i++)
		printf("%s from %s to %s lines=%zu dropped=%llu\n",
		    trace->nodes[i].node, trace->nodes[i].first_time,
		    trace->nodes[i].last_time, trace->nodes[i].line_count,
		    (unsigned long long)trace->nodes[i].dropped_lines);
}

int
bg_cli_cmd_explain(struct bg_cli *cli, int argc, char **argv)
{
	struct bg_trace trace;
	int code;

	bg_cli_parse_options(cli, NULL, NULL, argc, argv);
	bg_trace_init(&trace, cli->args[0]);
	if ((code = read_logs(&trace, cli)) == BG_EXIT_OK) {
		bg_trace_sort(&trace);
		if (cli->is_json)
			print_json(&trace);
		else
			print_text(&trace);
		if (trace.line_count == 0)
			code = BG_EXIT_FAILED;
	}
	bg_trace_free(&trace);
	return code;
}
