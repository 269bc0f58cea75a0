#ifndef BG_CLI_CLI_H
#define BG_CLI_CLI_H

/** @file
 * The operators' command: subcommands, their common options and output.
 */

#include <argp.h>
#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "burdockgrade/error.h"
#include "burdockgrade/platform.h"

/** Exit codes (section 10 of docs/design.md). */
enum bg_exit {
	BG_EXIT_OK = 0,
	BG_EXIT_FAILED = 1,
	BG_EXIT_USAGE = 2,
	BG_EXIT_CONFLICT = 3,
	BG_EXIT_UNREACHABLE = 4,
};

/** More questionnaires than services at the target size. */
#define BG_CLI_ARGS_MAX 256

struct bg_cli;

struct bg_cli_command {
	const char *name;
	const char *args_doc;
	const char *doc; /**< first line is shown in the list of commands */
	size_t min_args;
	size_t max_args;
	/** Parses argv by bg_cli_parse and acts. @return enum bg_exit */
	int (*run)(struct bg_cli *cli, int argc, char **argv);
};

/** One call of the command. Own options of a subcommand follow it in a struct
 * whose first member this is, since parsers share the input. */
struct bg_cli {
	const struct bg_cli_command *command;
	int is_json;
	const char *platform_address;
	const char *node_addresses;
	const char *operator_name;
	const char *args[BG_CLI_ARGS_MAX];
	size_t arg_count;
};

/** The subcommands; the last one has no name. */
extern const struct bg_cli_command BG_CLI_COMMANDS[];

int bg_cli_cmd_new(struct bg_cli *cli, int argc, char **argv);
int bg_cli_cmd_check(struct bg_cli *cli, int argc, char **argv);
int bg_cli_cmd_plan(struct bg_cli *cli, int argc, char **argv);
int bg_cli_cmd_accept(struct bg_cli *cli, int argc, char **argv);
int bg_cli_cmd_withdraw(struct bg_cli *cli, int argc, char **argv);
int bg_cli_cmd_move(struct bg_cli *cli, int argc, char **argv);
int bg_cli_cmd_status(struct bg_cli *cli, int argc, char **argv);
int bg_cli_cmd_watch(struct bg_cli *cli, int argc, char **argv);
int bg_cli_cmd_history(struct bg_cli *cli, int argc, char **argv);
int bg_cli_cmd_report(struct bg_cli *cli, int argc, char **argv);
int bg_cli_cmd_explain(struct bg_cli *cli, int argc, char **argv);

/**
 * Parses the options of a subcommand. Bad usage ends the process with
 * BG_EXIT_USAGE.
 *
 * @param options own options besides the common ones, or NULL
 * @param parser of the own options, or NULL; it is called with cli as input
 */
void bg_cli_parse_options(struct bg_cli *cli, const struct argp_option *options,
    argp_parser_t parser, int argc, char **argv);
/** Parses a number of an option; a wrong one ends the process. */
uint64_t bg_cli_parse_number(const char *text, uint64_t max,
    const char *option_name, struct argp_state *state);

/** Options of the platform. @return 0, or BG_EXIT_USAGE if none was given */
int bg_cli_store_factory(struct bg_store_factory *out, struct bg_cli *cli);

/** Reports an error on standard error, or as JSON on standard output.
 * @param report complete list of errors, or NULL @return enum bg_exit */
int bg_cli_fail(
    const struct bg_cli *cli, const struct bg_error *err, const char *report);
/** Prints a JSON value and a line feed, and releases it. */
void bg_cli_print_json(json_t *value);

#endif
