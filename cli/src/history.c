#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/change.h"
#include "burdockgrade/clock.h"

#include "cli.h"

/* The stored history has at most 200 entries. */
#define LIMIT_DEFAULT 200
#define LIMIT_MAX 1000

struct history_options {
	struct bg_cli cli;
	size_t limit;
};

static error_t
parse_history_option(int key, char *arg, struct argp_state *state)
{
	struct history_options *opts = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = state->input;
		return 0;
	case 'l':
		opts->limit = (size_t)bg_cli_parse_number(
		    arg, LIMIT_MAX, "--limit", state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
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

/* Returns the index of the first entry to print, so that at most opts->limit
 * selected entries are printed. */
static size_t
first_entry(const struct history_options *opts, const struct bg_history *hist)
{
	size_t selected = 0;
	size_t i;

	for (i = hist->entry_count; i > 0; i--)
		if (is_selected(&opts->cli, hist->entries[i - 1].service) &&
		    ++selected > opts->limit)
			return i;
	return 0;
}

static json_t *
entry_json(const struct bg_history_entry *e)
{
	return json_pack("{s:I, s:I, s:s, s:s, s:s, s:I, s:s}", "config",
	    (json_int_t)e->version, "time_ms", (json_int_t)e->time_ms,
	    "service", e->service, "action", e->action, "operator",
	    e->operator_name, "rev", (json_int_t)e->rev, "to", e->to);
}

static void
print_entry(const struct bg_history_entry *e)
{
	char timestamp[BG_RFC3339_BYTES];

	bg_clock_format(timestamp, e->time_ms);
	printf("config=%" PRIu64 " time=%s %s %s", e->version, timestamp,
	    e->action, e->service);
	if (e->rev != 0)
		printf(" rev=%" PRIu64, e->rev);
	if (e->to[0] != '\0')
		printf(" version=%s", e->to);
	printf(" operator=%s\n", e->operator_name);
}

static void
print_history(const struct history_options *opts, const struct bg_history *hist)
{
	json_t *changes = json_array();
	size_t i;

	for (i = first_entry(opts, hist); i < hist->entry_count; i++) {
		if (!is_selected(&opts->cli, hist->entries[i].service))
			continue;
		if (opts->cli.is_json)
			json_array_append_new(
			    changes, entry_json(&hist->entries[i]));
		else
			print_entry(&hist->entries[i]);
	}
	if (opts->cli.is_json)
		bg_cli_print_json(
		    json_pack("{s:b, s:o}", "ok", 1, "changes", changes));
	else
		json_decref(changes);
}

int
bg_cli_cmd_history(struct bg_cli *cli, int argc, char **argv)
{
	static const struct argp_option options[] = {
	    {"limit", 'l', "COUNT", 0, "Print only the latest COUNT changes",
		0},
	    {NULL, 0, NULL, 0, NULL, 0},
	};
	struct history_options opts = {*cli, LIMIT_DEFAULT};
	struct bg_store_factory factory;
	struct bg_history hist = {0};
	struct bg_error err = {0};
	int error;

	bg_cli_parse_options(
	    &opts.cli, options, parse_history_option, argc, argv);
	if ((error = bg_cli_store_factory(&factory, &opts.cli)) != 0)
		return error;
	if (bg_read_history(&hist, &factory, &err) != 0)
		return bg_cli_fail(&opts.cli, &err, NULL);
	print_history(&opts, &hist);
	bg_history_free(&hist);
	return BG_EXIT_OK;
}
