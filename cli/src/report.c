/* report burn: gathers, decides and prints. */

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"

#include "accepted.h"
#include "burn.h"

#define PATH_BURN "/burn"
#define OPTION_HTML 'H'

struct report_options {
	struct bg_cli cli;
	const char *html;
};

/* What was gathered. */
struct gathered {
	struct bg_cli_nodes nodes;
	struct bg_burn *burn;
	struct bg_cli_state state;
	struct bg_history history;
};

static error_t
parse_report(int key, char *arg, struct argp_state *state)
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
		if (opts->html != NULL && opts->cli.json)
			argp_error(state,
			    "--html and --json exclude each "
			    "other");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Adds the reports of the nodes; one that is not valid counts as missing. */
static int
merge_nodes(struct gathered *got, struct bg_error *err)
{
	struct bg_cli_node *node;
	size_t i;
	int error;

	for (i = 0; i < got->nodes.count; i++) {
		node = &got->nodes.items[i];
		if (node->body == NULL)
			continue;
		error =
		    bg_burn_merge(got->burn, node->body, strlen(node->body));
		if (error == BG_ENOMEM)
			return bg_error_set(err, error, "report", NULL,
			    "more series than a report holds");
		if (error != 0)
			snprintf(node->fault, sizeof(node->fault),
			    PATH_BURN ": not a burn report");
	}
	return 0;
}

static int
read_nodes(struct gathered *got, struct bg_error *err)
{
	if (bg_cli_nodes_get(&got->nodes, PATH_BURN) != 0 ||
	    bg_burn_init(&got->burn) != 0)
		return bg_error_set(
		    err, BG_ENOMEM, "report", NULL, "out of memory");
	return merge_nodes(got, err);
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
		    err, BG_EIO, "report", NULL, "%s: not written", path);
	return 0;
}

static int
print_report(const struct report_options *opts, const struct bg_cli_burn *rep,
    struct bg_error *err)
{
	char *text = NULL;
	int error;

	if (opts->cli.json) {
		bg_cli_print_json(bg_cli_burn_json(rep));
		return 0;
	}
	error = opts->html != NULL ? bg_cli_burn_html(&text, rep)
				   : bg_cli_burn_text(&text, rep);
	if (error != 0)
		bg_error_set(err, error, "report", NULL, "out of memory");
	else if (opts->html != NULL && strcmp(opts->html, "-") != 0)
		error = write_file(opts->html, text, err);
	else
		fputs(text, stdout);
	free(text);
	return error;
}

/* Names missing nodes also if the report went into a file. */
static int
report_missing(const struct report_options *opts, const struct bg_cli_burn *rep)
{
	size_t i;

	if (opts->html != NULL)
		for (i = 0; i < rep->nodes->count; i++)
			if (rep->nodes->items[i].fault[0] != '\0')
				fprintf(stderr, "burdockgrade report: %s: %s\n",
				    rep->nodes->items[i].address,
				    rep->nodes->items[i].fault);
	return bg_cli_burn_missing(rep) == 0 ? BG_EXIT_OK : BG_EXIT_FAILED;
}

static int
report(const struct report_options *opts, struct gathered *got)
{
	struct bg_cli_burn_input in = {got->burn, &got->state.head,
	    got->state.contracts, &got->history, &got->nodes,
	    bg_clock_wall_ms()};
	struct bg_cli_burn rep;
	struct bg_error err = {0};
	int code;

	if (bg_cli_burn_decide(&rep, &in) != 0) {
		bg_error_set(&err, BG_ENOMEM, "report", NULL, "out of memory");
		return bg_cli_fail(&opts->cli, &err, NULL);
	}
	if (print_report(opts, &rep, &err) != 0)
		code = bg_cli_fail(&opts->cli, &err, NULL);
	else
		code = report_missing(opts, &rep);
	bg_cli_burn_free(&rep);
	return code;
}

int
bg_cli_report(struct bg_cli *cli, int argc, char **argv)
{
	static const struct argp_option options[] = {
	    {"html", OPTION_HTML, "FILE", 0,
		"Write an HTML page with plots, \"-\" for standard output", 0},
	    {NULL, 0, NULL, 0, NULL, 0},
	};
	struct report_options opts = {*cli, NULL};
	struct bg_store_factory plt;
	struct gathered got = {0};
	struct bg_error err = {0};
	int code;

	bg_cli_parse(&opts.cli, options, parse_report, argc, argv);
	if ((code = bg_cli_platform(&plt, &opts.cli)) != 0)
		return code;
	if (bg_cli_nodes_parse(&got.nodes, opts.cli.node, &err) != 0 ||
	    bg_cli_state_read(&got.state, &plt, &err) != 0 ||
	    bg_read_history(&got.history, &plt, &err) != 0 ||
	    read_nodes(&got, &err) != 0)
		code = bg_cli_fail(&opts.cli, &err, NULL);
	else
		code = report(&opts, &got);
	bg_history_free(&got.history);
	bg_cli_state_free(&got.state);
	bg_burn_free(got.burn);
	bg_cli_nodes_free(&got.nodes);
	return code;
}
