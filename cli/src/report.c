/* Subcommand report burn: fetches the counts of all nodes, builds the report
 * and prints it. */

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"

#include "accepted.h"
#include "burn.h"
#include "conditions.h"

#define PATH_BURN "/burn"
#define OPTION_HTML 'H'

struct report_options {
	struct bg_cli cli;
	const char *html;
};

/* Inputs of the report. */
struct report_data {
	struct bg_cli_nodes nodes;
	struct bg_burn *counts;
	struct bg_cli_accepted accepted;
	struct bg_history history;
	struct bg_cli_conditions conditions;
};

static error_t
parse_report_option(int key, char *arg, struct argp_state *state)
{
	struct report_options *opts = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = state->input;
		return 0;
	case OPTION_HTML:
		opts->html = arg;
		return 0;
	case ARGP_KEY_SUCCESS:
		if (strcmp(opts->cli.args[0], "burn") != 0)
			argp_error(
			    state, "unknown report \"%s\"", opts->cli.args[0]);
		if (opts->html != NULL && opts->cli.is_json)
			argp_error(
			    state, "--html and --json are mutually exclusive");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Adds up the counts of the nodes. A node whose counts are malformed is treated
 * as missing. */
static int
merge_counts(struct report_data *data, struct bg_error *err)
{
	struct bg_cli_node *node;
	size_t i;
	int error;

	for (i = 0; i < data->nodes.count; i++) {
		node = &data->nodes.items[i];
		if (node->body == NULL)
			continue;
		error =
		    bg_burn_merge(data->counts, node->body, strlen(node->body));
		if (error == BG_ENOMEM)
			return bg_error_set(err, error, "report", NULL,
			    "out of memory or too many series");
		if (error != 0)
			snprintf(node->error_message,
			    sizeof(node->error_message),
			    PATH_BURN ": not a burn report");
	}
	return 0;
}

static int
fetch_counts(struct report_data *data, struct bg_error *err)
{
	if (bg_cli_nodes_fetch(&data->nodes, PATH_BURN) != 0 ||
	    bg_burn_init(&data->counts) != 0)
		return bg_error_set(
		    err, BG_ENOMEM, "report", NULL, "out of memory");
	return merge_counts(data, err);
}

/* Without them the report is as useful, so an error is only named. */
static void
fetch_conditions(const struct report_options *opts, struct report_data *data)
{
	struct bg_error err = {0};

	if (bg_cli_conditions_fetch(&data->conditions, &opts->cli, &err) != 0)
		fprintf(stderr,
		    "burdockgrade report: emptied data centres and cold "
		    "servers unknown: %s\n",
		    err.message);
}

static int
write_file(const char *path, const char *text, struct bg_error *err)
{
	FILE *fp = fopen(path, "w");
	int is_written;

	if (fp == NULL)
		return bg_error_set(err, BG_EIO, "report", NULL, "%s: %s", path,
		    strerror(errno));
	is_written = fputs(text, fp) >= 0;
	if (fclose(fp) != 0 || !is_written)
		return bg_error_set(
		    err, BG_EIO, "report", NULL, "%s: write failed", path);
	return 0;
}

static int
print_report(const struct report_options *opts,
    const struct bg_cli_burn_report *rep, struct bg_error *err)
{
	char *text = NULL;
	int error;

	if (opts->cli.is_json) {
		bg_cli_print_json(bg_cli_burn_report_json(rep));
		return 0;
	}
	error = opts->html != NULL ? bg_cli_burn_report_html(&text, rep)
				   : bg_cli_burn_report_text(&text, rep);
	if (error != 0)
		bg_error_set(err, error, "report", NULL, "out of memory");
	else if (opts->html != NULL && strcmp(opts->html, "-") != 0)
		error = write_file(opts->html, text, err);
	else
		fputs(text, stdout);
	free(text);
	return error;
}

/* With --html the report may go to a file, so missing nodes are also named on
 * standard error. @return the exit code */
static int
report_missing_nodes(
    const struct report_options *opts, const struct bg_cli_burn_report *rep)
{
	size_t i;

	if (opts->html != NULL)
		for (i = 0; i < rep->nodes->count; i++)
			if (rep->nodes->items[i].error_message[0] != '\0')
				fprintf(stderr, "burdockgrade report: %s: %s\n",
				    rep->nodes->items[i].address,
				    rep->nodes->items[i].error_message);
	return bg_cli_burn_missing_nodes(rep) == 0 ? BG_EXIT_OK
						   : BG_EXIT_FAILED;
}

static int
create_report(const struct report_options *opts, struct report_data *data)
{
	struct bg_cli_burn_input in = {data->counts, &data->accepted.head,
	    data->accepted.contracts, &data->history, &data->nodes,
	    bg_clock_wall_ms()};
	struct bg_cli_burn_report rep;
	struct bg_error err = {0};
	int code;

	if (bg_cli_burn_report_build(&rep, &in) != 0) {
		bg_error_set(&err, BG_ENOMEM, "report", NULL, "out of memory");
		return bg_cli_fail(&opts->cli, &err, NULL);
	}
	rep.conditions = data->conditions;
	if (print_report(opts, &rep, &err) != 0)
		code = bg_cli_fail(&opts->cli, &err, NULL);
	else
		code = report_missing_nodes(opts, &rep);
	bg_cli_burn_report_free(&rep);
	return code;
}

int
bg_cli_cmd_report(struct bg_cli *cli, int argc, char **argv)
{
	static const struct argp_option options[] = {
	    {"html", OPTION_HTML, "FILE", 0,
		"Write an HTML page with plots, \"-\" for standard output", 0},
	    {NULL, 0, NULL, 0, NULL, 0},
	};
	struct report_options opts = {*cli, NULL};
	struct bg_store_factory factory;
	struct report_data data = {0};
	struct bg_error err = {0};
	int code;

	bg_cli_parse_options(
	    &opts.cli, options, parse_report_option, argc, argv);
	if ((code = bg_cli_store_factory(&factory, &opts.cli)) != 0)
		return code;
	if (bg_cli_nodes_parse(&data.nodes, opts.cli.node_addresses, &err) !=
		0 ||
	    bg_cli_accepted_read(&data.accepted, &factory, &err) != 0 ||
	    bg_read_history(&data.history, &factory, &err) != 0 ||
	    fetch_counts(&data, &err) != 0)
		code = bg_cli_fail(&opts.cli, &err, NULL);
	else {
		fetch_conditions(&opts, &data);
		code = create_report(&opts, &data);
	}
	bg_cli_conditions_free(&data.conditions);
	bg_history_free(&data.history);
	bg_cli_accepted_free(&data.accepted);
	bg_burn_free(data.counts);
	bg_cli_nodes_free(&data.nodes);
	return code;
}
