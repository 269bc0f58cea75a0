/* Subcommands that print the status known to a node: status and watch. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "burdockgrade/clock.h"

#include "node.h"

/* Short compared with the 1 s in which a change reaches every node. */
#define POLL_INTERVAL_MS 250
#define TIMEOUT_MAX_S (365 * 86400)
#define OPTION_CONFIG 'c'
#define OPTION_TIMEOUT 't'

static int
fetch_status(struct bg_cli_status_lines *out, const struct bg_cli *cli,
    struct bg_error *err)
{
	const char *path = cli->is_json ? "/status.json" : "/status";
	char *body;
	int error;

	memset(out, 0, sizeof(*out));
	if ((error = bg_cli_node_fetch(&body, cli, path, err)) != 0)
		return error;
	if ((error = bg_cli_status_lines_parse(out, body, cli->is_json)) != 0)
		bg_error_set(err, error, "node", cli->node_addresses,
		    "%s: cannot parse the status", path);
	free(body);
	return error;
}

static int
is_selected(const struct bg_cli *cli, const char *service)
{
	size_t i;

	for (i = 0; i < cli->arg_count; i++)
		if (strcmp(cli->args[i], service) == 0)
			return 1;
	return cli->arg_count == 0;
}

static void
print_comments(const json_t *comments)
{
	size_t i;

	for (i = 0; i < json_array_size(comments); i++)
		puts(json_string_value(json_array_get(comments, i)));
}

static void
print_status(const struct bg_cli *cli, const struct bg_cli_status_lines *lines)
{
	json_t *services = json_array();
	size_t i;

	if (!cli->is_json) {
		print_comments(lines->emptied);
		print_comments(lines->cold);
	}
	for (i = 0; i < lines->count; i++) {
		if (!is_selected(cli, lines->items[i].service))
			continue;
		if (cli->is_json)
			json_array_append_new(services,
			    json_loads(lines->items[i].text, 0, NULL));
		else
			puts(lines->items[i].text);
	}
	if (cli->is_json)
		bg_cli_print_json(json_pack("{s:b, s:o, s:O*, s:O*}", "synced",
		    lines->is_synced, "services", services, "emptied",
		    lines->emptied, "cold", lines->cold));
	else
		json_decref(services);
}

/* Reports a node that is not synced, and selected services without a status
 * line, whose state is unknown. @return the exit code */
static int
report_missing_services(
    const struct bg_cli *cli, const struct bg_cli_status_lines *lines)
{
	int code = BG_EXIT_OK;
	size_t i;

	if (!lines->is_synced) {
		fputs("burdockgrade status: the node is not synced\n", stderr);
		return BG_EXIT_FAILED;
	}
	for (i = 0; i < cli->arg_count; i++) {
		if (bg_cli_status_lines_find(lines, cli->args[i]) != NULL)
			continue;
		fprintf(stderr,
		    "burdockgrade status: the node knows no service %s\n",
		    cli->args[i]);
		code = BG_EXIT_FAILED;
	}
	return code;
}

int
bg_cli_cmd_status(struct bg_cli *cli, int argc, char **argv)
{
	struct bg_error err = {0};
	struct bg_cli_status_lines lines;
	int code;

	bg_cli_parse_options(cli, NULL, NULL, argc, argv);
	if (fetch_status(&lines, cli, &err) != 0)
		return bg_cli_fail(cli, &err, NULL);
	print_status(cli, &lines);
	code = report_missing_services(cli, &lines);
	bg_cli_status_lines_free(&lines);
	return code;
}

struct watch_options {
	struct bg_cli cli;
	uint64_t config_version; /* lines with an older one are ignored */
	uint64_t timeout_s;	 /* 0: no timeout */
};

static error_t
parse_watch_option(int key, char *arg, struct argp_state *state)
{
	struct watch_options *opts = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = state->input;
		return 0;
	case OPTION_CONFIG:
		opts->config_version =
		    bg_cli_parse_number(arg, INT64_MAX, "--config", state);
		return 0;
	case OPTION_TIMEOUT:
		opts->timeout_s =
		    bg_cli_parse_number(arg, TIMEOUT_MAX_S, "--timeout", state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Prints the lines that differ from the previous ones in more than the age. */
static void
print_changes(const struct bg_cli *cli,
    const struct bg_cli_status_lines *previous,
    const struct bg_cli_status_lines *lines)
{
	const struct bg_cli_status_line *old;
	size_t i;

	for (i = 0; i < lines->count; i++) {
		if (!is_selected(cli, lines->items[i].service))
			continue;
		old =
		    bg_cli_status_lines_find(previous, lines->items[i].service);
		if (old == NULL ||
		    strcmp(old->text_without_age,
			lines->items[i].text_without_age) != 0)
			puts(lines->items[i].text);
	}
	fflush(stdout);
}

/* @return BG_EXIT_OK if all selected services are done, BG_EXIT_FAILED if one
 * is rolled back, or -1 to go on waiting */
static int
watch_result(
    const struct watch_options *opts, const struct bg_cli_status_lines *lines)
{
	const struct bg_cli_status_line *line;
	size_t done_count = 0;
	size_t i;

	for (i = 0; i < opts->cli.arg_count; i++) {
		line = bg_cli_status_lines_find(lines, opts->cli.args[i]);
		if (line == NULL || line->config_version < opts->config_version)
			continue;
		if (strcmp(line->state, "rolled back") == 0)
			return BG_EXIT_FAILED;
		done_count += strcmp(line->state, "done") == 0;
	}
	return done_count > 0 && done_count == opts->cli.arg_count ? BG_EXIT_OK
								   : -1;
}

static int
fail_timeout(const struct bg_cli *cli, struct bg_error *err)
{
	if (err->code == 0)
		bg_error_set(err, BG_EIO, "watch", NULL,
		    "the services were not done in time");
	return bg_cli_fail(cli, err, NULL);
}

/* Polls the status until the result is known. A node that does not respond may
 * come back or be replaced, so only the timeout ends the watch then. An invalid
 * address ends it immediately. */
static int
poll_status(const struct watch_options *opts)
{
	const struct timespec interval = {0, POLL_INTERVAL_MS * 1000000L};
	uint64_t end_ms = bg_clock_now_ms() + opts->timeout_s * 1000;
	struct bg_cli_status_lines previous = {0};
	struct bg_cli_status_lines lines;
	struct bg_error err;
	int code = -1;

	while (code < 0) {
		err.code = 0;
		if (fetch_status(&lines, &opts->cli, &err) == 0) {
			print_changes(&opts->cli, &previous, &lines);
			bg_cli_status_lines_free(&previous);
			previous = lines;
			code = watch_result(opts, &lines);
		} else if (err.code == BG_EINVAL) {
			code = bg_cli_fail(&opts->cli, &err, NULL);
		}
		if (code < 0 && opts->timeout_s != 0 &&
		    bg_clock_now_ms() >= end_ms)
			code = fail_timeout(&opts->cli, &err);
		if (code < 0)
			nanosleep(&interval, NULL);
	}
	bg_cli_status_lines_free(&previous);
	return code;
}

int
bg_cli_cmd_watch(struct bg_cli *cli, int argc, char **argv)
{
	static const struct argp_option options[] = {
	    {"config", OPTION_CONFIG, "VERSION", 0,
		"Wait for this config version, as printed by accept, "
		"withdraw and move, or a later one",
		0},
	    {"timeout", OPTION_TIMEOUT, "SECONDS", 0,
		"Stop waiting after this time, with exit code 1", 0},
	    {NULL, 0, NULL, 0, NULL, 0},
	};
	struct watch_options opts = {*cli, 0, 0};

	bg_cli_parse_options(
	    &opts.cli, options, parse_watch_option, argc, argv);
	return poll_status(&opts);
}
