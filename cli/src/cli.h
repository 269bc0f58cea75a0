#ifndef BG_CLI_CLI_H
#define BG_CLI_CLI_H

/** @file
 * Subcommands of burdockgrade, the options that they share, and their output.
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

/** Maximum number of arguments of a subcommand. Enough for the questionnaires
 * of all services at the target size (140) in one command. */
#define BG_CLI_ARGS_MAX 256

struct bg_cli;

struct bg_cli_command {
	const char *name;
	const char *args_doc; /**< synopsis of the arguments */
	const char *doc;      /**< help text; its first line is shown in the
				   list of commands */
	size_t min_args;
	size_t max_args;
	/** Parses argv with bg_cli_parse_options() and runs the command.
	 * @param argv argv[0] is "burdockgrade" and the name of the command,
	 *     which argp prints in usage lines and error messages
	 * @return enum bg_exit */
	int (*run)(struct bg_cli *cli, int argc, char **argv);
};

/** Command line of one run. A subcommand with options of its own stores them in
 * a struct that starts with this one, since its parser and the parser of the
 * common options get the same input pointer. */
struct bg_cli {
	const struct bg_cli_command *command;
	int is_json; /**< print JSON instead of text */
	/** "ip:port" from --platform, else from the environment variable
	 * BURDOCKGRADE_PLATFORM; NULL if that is unset or empty, too. */
	const char *platform_address;
	/** "ip:port,..." from --node, else from the environment variable
	 * BURDOCKGRADE_NODE; NULL if that is unset or empty, too. */
	const char *node_addresses;
	const char *operator_name; /**< recorded in the history */
	const char *args[BG_CLI_ARGS_MAX];
	size_t arg_count;
};

/** Terminated by an entry whose name is NULL. */
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
int bg_cli_cmd_keys(struct bg_cli *cli, int argc, char **argv);
int bg_cli_cmd_explain(struct bg_cli *cli, int argc, char **argv);
int bg_cli_cmd_where(struct bg_cli *cli, int argc, char **argv);

/**
 * Parses the common options, those of the subcommand, and the arguments.
 * If the command line is invalid, argp prints an error and exits with
 * argp_err_exit_status, which main() sets to BG_EXIT_USAGE.
 *
 * @param options of the subcommand, or NULL
 * @param parser of these options, or NULL. Its input is cli, which it has to
 *     pass on as child_inputs[0] on ARGP_KEY_INIT.
 */
void bg_cli_parse_options(struct bg_cli *cli, const struct argp_option *options,
    argp_parser_t parser, int argc, char **argv);
/**
 * Parses the value of an option as a decimal number. Exits in
 * the same way as bg_cli_parse_options() if it is not a number from 0 to max or
 * has more than 18 digits.
 *
 * @param max less than UINT64_MAX
 * @param option_name for the error message
 */
uint64_t bg_cli_parse_number(const char *text, uint64_t max,
    const char *option_name, struct argp_state *state);

/** Sets up access to the platform, without connecting to it.
 * @return 0, or BG_EXIT_USAGE after reporting that cli->platform_address is
 *     NULL */
int bg_cli_store_factory(struct bg_store_factory *out, struct bg_cli *cli);

/**
 * Reports an error as text on standard error or, with --json, as JSON on
 * standard output.
 *
 * @param report one line for each invalid answer of the questionnaires; may be
 *     NULL. As text it is printed in place of err. JSON output has both: err,
 *     and the lines of the report as the array "errors".
 * @return the exit code for err->code, enum bg_exit
 */
int bg_cli_fail(
    const struct bg_cli *cli, const struct bg_error *err, const char *report);
/** Prints a JSON value and a newline. @param value the reference is stolen */
void bg_cli_print_json(json_t *value);

#endif
