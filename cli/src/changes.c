/* Subcommands that change the head: accept, withdraw and move. */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/change.h"

#include "accepted.h"

/* 24 h, as for take_over_s in a questionnaire. A longer time is taken for a
 * typing error. */
#define WITHIN_MAX_S 86400
#define OPTION_EXPECT 'e'
#define OPTION_WITHIN 'w'

struct change_options {
	struct bg_cli cli;
	uint64_t expected_version; /* of the head; 0: any */
	uint32_t within_s;	   /* 0: as in the questionnaire */
};

static error_t
parse_change_option(int key, char *arg, struct argp_state *state)
{
	struct change_options *opts = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = state->input;
		return 0;
	case OPTION_EXPECT:
		opts->expected_version =
		    bg_cli_parse_number(arg, INT64_MAX, "--expect", state);
		return 0;
	case OPTION_WITHIN:
		opts->within_s = (uint32_t)bg_cli_parse_number(
		    arg, WITHIN_MAX_S, "--within", state);
		if (opts->within_s == 0)
			argp_error(state, "--within: expected at least 1");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option EXPECT_OPTIONS[] = {
    {"expect", OPTION_EXPECT, "VERSION", 0,
	"Refuse with exit code 3 unless this config version, as printed by "
	"plan, is still in force",
	0},
    {NULL, 0, NULL, 0, NULL, 0},
};

static const struct argp_option MOVE_OPTIONS[] = {
    {"within", OPTION_WITHIN, "SECONDS", 0,
	"Promised duration of the move; default from the questionnaire", 0},
    {NULL, 0, NULL, 0, NULL, 0},
};

static int
print_result(const struct bg_cli *cli, uint64_t version)
{
	size_t i;

	if (cli->is_json) {
		bg_cli_print_json(json_pack(
		    "{s:b, s:I}", "ok", 1, "config", (json_int_t)version));
		return BG_EXIT_OK;
	}
	printf("%s", cli->command->name);
	/* File names, of which there may be many, are left out. */
	for (i = 0; i < cli->arg_count && cli->command->max_args <= 2; i++)
		printf(" %s", cli->args[i]);
	printf(": config=%" PRIu64 "\n", version);
	return BG_EXIT_OK;
}

/* Validates the questionnaires together with the accepted contracts, which
 * reports errors by file and line, and accepts them. bg_operation_accept
 * validates again against the head that it updates. */
static int
accept_questionnaires(uint64_t *out_version, const struct change_options *opts,
    const struct bg_store_factory *factory,
    const struct bg_cli_questionnaires *qns, char **report,
    struct bg_error *err)
{
	struct bg_cli_accepted acc;
	struct bg_contract *contracts;
	size_t i;
	int error;

	if ((error = bg_cli_accepted_read(&acc, factory, err)) != 0)
		return error;
	error = bg_questionnaire_validate_set(report, qns->items, qns->count,
	    acc.contracts, acc.head.service_count, err);
	bg_cli_accepted_free(&acc);
	if (error != 0)
		return error;
	contracts = calloc(qns->count, sizeof(*contracts));
	if (contracts == NULL)
		return bg_error_set(
		    err, BG_ENOMEM, "accept", NULL, "out of memory");
	for (i = 0; i < qns->count; i++)
		contracts[i] = qns->items[i].contract;
	error = bg_operation_accept(out_version, factory, contracts, qns->count,
	    opts->expected_version, opts->cli.operator_name, err);
	free(contracts);
	return error;
}

int
bg_cli_cmd_accept(struct bg_cli *cli, int argc, char **argv)
{
	struct change_options opts = {*cli, 0, 0};
	struct bg_store_factory factory;
	struct bg_error err = {0};
	struct bg_cli_questionnaires qns;
	uint64_t version = 0;
	char *report = NULL;
	int code;

	bg_cli_parse_options(
	    &opts.cli, EXPECT_OPTIONS, parse_change_option, argc, argv);
	if ((code = bg_cli_store_factory(&factory, &opts.cli)) != 0)
		return code;
	if (bg_cli_questionnaires_read(&qns, &report, &opts.cli, &err) != 0 ||
	    accept_questionnaires(
		&version, &opts, &factory, &qns, &report, &err) != 0)
		code = bg_cli_fail(&opts.cli, &err, report);
	else
		code = print_result(&opts.cli, version);
	free(report);
	bg_cli_questionnaires_free(&qns);
	return code;
}

int
bg_cli_cmd_withdraw(struct bg_cli *cli, int argc, char **argv)
{
	struct change_options opts = {*cli, 0, 0};
	struct bg_store_factory factory;
	struct bg_error err = {0};
	uint64_t version = 0;
	int code;

	bg_cli_parse_options(
	    &opts.cli, EXPECT_OPTIONS, parse_change_option, argc, argv);
	if ((code = bg_cli_store_factory(&factory, &opts.cli)) != 0)
		return code;
	if (bg_operation_withdraw(&version, &factory, opts.cli.args[0],
		opts.expected_version, opts.cli.operator_name, &err) != 0)
		return bg_cli_fail(&opts.cli, &err, NULL);
	return print_result(&opts.cli, version);
}

/* Reads the promised duration of a move from the accepted contract. */
static int
read_take_over_time(uint32_t *out_ms, const char *service,
    const struct bg_store_factory *factory, struct bg_error *err)
{
	const struct bg_contract *ctr;
	struct bg_cli_accepted acc;
	int error;

	if ((error = bg_cli_accepted_read(&acc, factory, err)) != 0)
		return error;
	if ((ctr = bg_cli_accepted_find(&acc, service)) == NULL)
		error = bg_error_set(err, BG_ENOTFOUND, "move", NULL,
		    "service %s: not accepted yet", service);
	else
		*out_ms = ctr->take_over_ms;
	bg_cli_accepted_free(&acc);
	return error;
}

int
bg_cli_cmd_move(struct bg_cli *cli, int argc, char **argv)
{
	struct change_options opts = {*cli, 0, 0};
	struct bg_store_factory factory;
	struct bg_error err = {0};
	uint32_t take_over_ms;
	uint64_t version = 0;
	int code;

	bg_cli_parse_options(
	    &opts.cli, MOVE_OPTIONS, parse_change_option, argc, argv);
	if ((code = bg_cli_store_factory(&factory, &opts.cli)) != 0)
		return code;
	take_over_ms = opts.within_s * 1000;
	if ((take_over_ms == 0 &&
		read_take_over_time(
		    &take_over_ms, opts.cli.args[0], &factory, &err) != 0) ||
	    bg_operation_move(&version, &factory, opts.cli.args[0],
		opts.cli.args[1], take_over_ms, opts.cli.operator_name,
		&err) != 0)
		return bg_cli_fail(&opts.cli, &err, NULL);
	return print_result(&opts.cli, version);
}
