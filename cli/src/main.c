#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"

const char *argp_program_version = "burdockgrade 0.1.0";

const struct bg_cli_command BG_CLI_COMMANDS[] = {
    {"new", "SERVICE", "Write an empty questionnaire", 1, 1, bg_cli_cmd_new},
    {"check", "FILE...",
	"Check questionnaires\n\nWith --platform, checks them together with "
	"the accepted services.",
	1, BG_CLI_ARGS_MAX, bg_cli_cmd_check},
    {"plan", "FILE...", "Show what accepting questionnaires would change", 1,
	BG_CLI_ARGS_MAX, bg_cli_cmd_plan},
    {"accept", "FILE...", "Put questionnaires in force on all nodes", 1,
	BG_CLI_ARGS_MAX, bg_cli_cmd_accept},
    {"withdraw", "SERVICE", "Restore the configuration before the last accept",
	1, 1, bg_cli_cmd_withdraw},
    {"move", "SERVICE VERSION", "Move a service to another server version", 2,
	2, bg_cli_cmd_move},
    {"status", "[SERVICE...]", "Print the status of services as seen by a node",
	0, BG_CLI_ARGS_MAX, bg_cli_cmd_status},
    {"watch", "[SERVICE...]",
	"Print each change of the status\n\nWith services, ends once all of "
	"them are done (exit code 0) or one is rolled back (1).",
	0, BG_CLI_ARGS_MAX, bg_cli_cmd_watch},
    {"history", "[SERVICE...]", "Print the latest changes", 0, BG_CLI_ARGS_MAX,
	bg_cli_cmd_history},
    {"report", "burn",
	"Report the burn rates of the error budgets\n\nAdds up the calls of "
	"all nodes given by --node (separated by commas). If a node does not "
	"respond, the report names it and the exit code is 1.",
	1, 1, bg_cli_cmd_report},
    {"keys", "[NAME...]",
	"Print the organisations and their numbers of keys\n\nShows what is in "
	"force at a node. "
	"--node is the address of the node's metrics. Keys are never shown. "
	"Organisations that are named and not in force are reported, and the "
	"exit code is 1.",
	0, BG_CLI_ARGS_MAX, bg_cli_cmd_keys},
    {"explain", "ID FILE...",
	"Trace a request through the logs of nodes\n\nPrints the log lines of "
	"the request with this id in causal order. If there are none, prints "
	"what the logs cover, and the exit code is 1.",
	2, BG_CLI_ARGS_MAX, bg_cli_cmd_explain},
    {"where", "METHOD URL",
	"Explain where a request would go now, without sending it\n\nPrints "
	"the rule that applies and, for each service, its servers with what "
	"the node expects of them; * marks the one that would get the request. "
	"--node is the address of the node's metrics. If the request would be "
	"refused, says why, and the exit code is 1.",
	2, 2, bg_cli_cmd_where},
    {NULL, NULL, NULL, 0, 0, NULL},
};

struct main_args {
	const struct bg_cli_command *command;
	int command_index; /* in argv */
};

static const struct bg_cli_command *
find_command(const char *name)
{
	const struct bg_cli_command *cmd;

	for (cmd = BG_CLI_COMMANDS; cmd->name != NULL; cmd++)
		if (strcmp(cmd->name, name) == 0)
			return cmd;
	return NULL;
}

static error_t
parse_main(int key, char *arg, struct argp_state *state)
{
	struct main_args *args = state->input;

	switch (key) {
	case ARGP_KEY_ARG:
		if ((args->command = find_command(arg)) == NULL)
			argp_error(state, "unknown command \"%s\"", arg);
		args->command_index = state->next - 1;
		/* The subcommand parses the remaining arguments. */
		state->next = state->argc;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Help filter of argp that appends the list of commands.
 * @return text itself, or a string that argp frees */
static char *
filter_help(int key, const char *text, void *input)
{
	const struct bg_cli_command *cmd;
	size_t list_bytes;
	char *list;
	FILE *fp;

	if (key != ARGP_KEY_HELP_POST_DOC ||
	    (fp = open_memstream(&list, &list_bytes)) == NULL)
		return (char *)text;
	fputs("Commands:\n", fp);
	for (cmd = BG_CLI_COMMANDS; cmd->name != NULL; cmd++)
		fprintf(fp, "  %-9s %-15s  %.*s\n", cmd->name, cmd->args_doc,
		    (int)strcspn(cmd->doc, "\n"), cmd->doc);
	fputs("\nburdockgrade COMMAND --help explains the options. Exit codes: "
	      "0 ok, 1 failed,\n2 bad usage or input, 3 conflict, 4 platform "
	      "not reachable.",
	    fp);
	fclose(fp);
	return list;
}

int
main(int argc, char **argv)
{
	static const struct argp argp = {NULL, parse_main, "COMMAND [ARG...]",
	    "Configures the service mesh: questionnaires, versions and moves."
	    "\v ",
	    NULL, filter_help, NULL};
	char name[64];
	struct bg_cli *cli;
	struct main_args args = {NULL, 0};
	int code;

	argp_err_exit_status = BG_EXIT_USAGE;
	argp_parse(&argp, argc, argv, ARGP_IN_ORDER, NULL, &args);
	if (args.command == NULL)
		return BG_EXIT_USAGE;
	if ((cli = calloc(1, sizeof(*cli))) == NULL)
		return BG_EXIT_FAILED;
	cli->command = args.command;
	/* argp prints argv[0] in usage lines and error messages. */
	snprintf(name, sizeof(name), "burdockgrade %s", args.command->name);
	argv[args.command_index] = name;
	code = args.command->run(
	    cli, argc - args.command_index, argv + args.command_index);
	free(cli);
	return code;
}
