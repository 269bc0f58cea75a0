/* Subcommands that do not change the configuration: new, check and plan. */

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "accepted.h"
#include "diff.h"

struct new_options {
	struct bg_cli cli;
	const char *output;
};

static error_t
parse_new_option(int key, char *arg, struct argp_state *state)
{
	struct new_options *opts = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = state->input;
		return 0;
	case 'o':
		opts->output = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Fails if the file exists, so that filled-in answers are not overwritten. */
static int
create_file(const char *path, const char *text, struct bg_error *err)
{
	size_t bytes = strlen(text);
	ssize_t written;
	int fd;

	if ((fd = open(path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0666)) <
	    0)
		return bg_error_set(err, errno == EEXIST ? BG_EINVAL : BG_EIO,
		    "new", NULL, "%s: %s", path, strerror(errno));
	written = write(fd, text, bytes);
	if (close(fd) != 0 || written != (ssize_t)bytes)
		return bg_error_set(
		    err, BG_EIO, "new", NULL, "%s: write failed", path);
	return 0;
}

int
bg_cli_cmd_new(struct bg_cli *cli, int argc, char **argv)
{
	static const struct argp_option options[] = {
	    {"output", 'o', "FILE", 0,
		"Name of the new file, \"-\" for standard output; default "
		"SERVICE.toml",
		0},
	    {NULL, 0, NULL, 0, NULL, 0},
	};
	struct new_options opts = {*cli, NULL};
	struct bg_error err = {0};
	char path[BG_NAME_BYTES + 8];
	char *text;
	int error;

	bg_cli_parse_options(&opts.cli, options, parse_new_option, argc, argv);
	error = bg_questionnaire_template(&text, opts.cli.args[0]);
	if (error != 0) {
		bg_error_set(&err, error, "new", NULL,
		    "service: expected letters, digits, '-', '_' and '.', "
		    "found \"%s\"",
		    opts.cli.args[0]);
		return bg_cli_fail(&opts.cli, &err, NULL);
	}
	snprintf(path, sizeof(path), "%s.toml", opts.cli.args[0]);
	if (opts.output == NULL)
		opts.output = path;
	if (strcmp(opts.output, "-") == 0)
		fputs(text, stdout);
	else
		error = create_file(opts.output, text, &err);
	free(text);
	if (error != 0)
		return bg_cli_fail(&opts.cli, &err, NULL);
	if (strcmp(opts.output, "-") == 0)
		return BG_EXIT_OK;
	if (opts.cli.is_json)
		bg_cli_print_json(json_pack("{s:b, s:s, s:s}", "ok", 1, "file",
		    opts.output, "service", opts.cli.args[0]));
	else
		printf("%s: fill in the answers, then run burdockgrade check\n",
		    opts.output);
	return BG_EXIT_OK;
}

static void
print_checked(const struct bg_cli *cli, const struct bg_cli_questionnaires *qns)
{
	json_t *array = json_array();
	size_t i;

	for (i = 0; i < qns->count; i++)
		json_array_append_new(array,
		    json_pack("{s:s, s:s}", "file", qns->items[i].path,
			"service", qns->items[i].contract.name));
	if (cli->is_json) {
		bg_cli_print_json(
		    json_pack("{s:b, s:b, s:o}", "ok", 1, "with_accepted",
			cli->platform_address != NULL, "files", array));
		return;
	}
	json_decref(array);
	for (i = 0; i < qns->count; i++)
		printf("%s: service %s: ok\n", qns->items[i].path,
		    qns->items[i].contract.name);
	if (cli->platform_address == NULL)
		puts("not compared with the accepted services: no --platform");
}

/* Without a platform the accepted services are unknown, so dependencies on
 * services outside of the files are not checked. */
static int
validate(struct bg_cli *cli, const struct bg_cli_questionnaires *qns,
    char **report, struct bg_error *err)
{
	struct bg_store_factory factory;
	struct bg_cli_accepted acc;
	int error;

	if (cli->platform_address == NULL)
		return bg_questionnaire_validate_partial_set(
		    report, qns->items, qns->count, err);
	bg_cli_store_factory(&factory, cli);
	if ((error = bg_cli_accepted_read(&acc, &factory, err)) != 0)
		return error;
	error = bg_questionnaire_validate_set(report, qns->items, qns->count,
	    acc.contracts, acc.head.service_count, err);
	bg_cli_accepted_free(&acc);
	return error;
}

int
bg_cli_cmd_check(struct bg_cli *cli, int argc, char **argv)
{
	struct bg_error err = {0};
	struct bg_cli_questionnaires qns;
	char *report = NULL;
	int code = BG_EXIT_OK;

	bg_cli_parse_options(cli, NULL, NULL, argc, argv);
	if (bg_cli_questionnaires_read(&qns, &report, cli, &err) != 0 ||
	    validate(cli, &qns, &report, &err) != 0)
		code = bg_cli_fail(cli, &err, report);
	else
		print_checked(cli, &qns);
	free(report);
	bg_cli_questionnaires_free(&qns);
	return code;
}

static const char *
plan_action(const struct bg_contract *current, const json_t *details)
{
	if (current == NULL)
		return "add";
	return json_array_size(details) > 0 ? "change" : "none";
}

static void
print_change(const char *action, const char *service, const json_t *details)
{
	size_t i;

	if (strcmp(action, "none") == 0)
		printf("service %s: no change\n", service);
	else
		printf("%s service %s\n", action, service);
	for (i = 0; i < json_array_size(details); i++)
		printf("  %s\n", json_string_value(json_array_get(details, i)));
}

static void
print_plan(const struct bg_cli *cli, const struct bg_cli_accepted *acc,
    const struct bg_cli_questionnaires *qns)
{
	const struct bg_contract *current;
	const struct bg_contract *ctr;
	json_t *changes = json_array();
	json_t *details;
	const char *action;
	size_t i;

	for (i = 0; i < qns->count; i++) {
		ctr = &qns->items[i].contract;
		current = bg_cli_accepted_find(acc, ctr->name);
		details = bg_cli_diff_contracts(current, ctr);
		action = plan_action(current, details);
		if (!cli->is_json)
			print_change(action, ctr->name, details);
		json_array_append_new(changes,
		    json_pack("{s:s, s:s, s:s, s:o}", "service", ctr->name,
			"file", qns->items[i].path, "action", action, "details",
			details));
	}
	if (cli->is_json) {
		bg_cli_print_json(
		    json_pack("{s:b, s:I, s:o}", "ok", 1, "config",
			(json_int_t)acc->head.version, "changes", changes));
		return;
	}
	json_decref(changes);
	printf("planned against config=%" PRIu64, acc->head.version);
	if (acc->head.version != 0)
		printf("; accept --expect %" PRIu64
		       " fails if it has changed since",
		    acc->head.version);
	putchar('\n');
}

int
bg_cli_cmd_plan(struct bg_cli *cli, int argc, char **argv)
{
	struct bg_store_factory factory;
	struct bg_cli_accepted acc = {0};
	struct bg_error err = {0};
	struct bg_cli_questionnaires qns;
	char *report = NULL;
	int code;

	bg_cli_parse_options(cli, NULL, NULL, argc, argv);
	if ((code = bg_cli_store_factory(&factory, cli)) != 0)
		return code;
	if (bg_cli_questionnaires_read(&qns, &report, cli, &err) != 0 ||
	    bg_cli_accepted_read(&acc, &factory, &err) != 0 ||
	    bg_questionnaire_validate_set(&report, qns.items, qns.count,
		acc.contracts, acc.head.service_count, &err) != 0)
		code = bg_cli_fail(cli, &err, report);
	else
		print_plan(cli, &acc, &qns);
	free(report);
	bg_cli_accepted_free(&acc);
	bg_cli_questionnaires_free(&qns);
	return code;
}
