#include <stdlib.h>
#include <string.h>

#include "cli.h"

/* argp takes a letter as a short option, too. A subcommand must not use one of
 * these letters for its own options, since argp would prefer them to the common
 * ones. The key of --operator is not a character: it has no short option. */
#define OPTION_PLATFORM 'p'
#define OPTION_NODE 'n'
#define OPTION_JSON 'j'
#define OPTION_OPERATOR 1000

static const struct argp_option COMMON_OPTIONS[] = {
    {"platform", OPTION_PLATFORM, "ADDR", 0,
	"Address of the platform as IP:PORT; default from the environment "
	"variable BURDOCKGRADE_PLATFORM",
	10},
    {"node", OPTION_NODE, "ADDR", 0,
	"Customer address of a node as IP:PORT, or addresses of several nodes "
	"separated by commas; default from the environment variable "
	"BURDOCKGRADE_NODE",
	10},
    {"json", OPTION_JSON, NULL, 0, "Print JSON", 10},
    {"operator", OPTION_OPERATOR, "NAME", 0,
	"Name recorded in the history; default from the environment variable "
	"USER",
	10},
    {NULL, 0, NULL, 0, NULL, 0},
};

static void
check_min_args(const struct bg_cli *cli, struct argp_state *state)
{
	if (cli->arg_count < cli->command->min_args)
		argp_error(state, "expected %s", cli->command->args_doc);
}

static error_t
parse_common(int key, char *arg, struct argp_state *state)
{
	struct bg_cli *cli = state->input;

	switch (key) {
	case OPTION_PLATFORM:
		cli->platform_address = arg;
		return 0;
	case OPTION_NODE:
		cli->node_addresses = arg;
		return 0;
	case OPTION_JSON:
		cli->is_json = 1;
		return 0;
	case OPTION_OPERATOR:
		cli->operator_name = arg;
		return 0;
	case ARGP_KEY_ARG:
		if (cli->arg_count == cli->command->max_args)
			argp_error(state, "unexpected argument \"%s\"", arg);
		cli->args[cli->arg_count++] = arg;
		return 0;
	case ARGP_KEY_END:
		check_min_args(cli, state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp COMMON_ARGP = {
    COMMON_OPTIONS, parse_common, NULL, NULL, NULL, NULL, NULL};

/* Parser of a subcommand without own options: passes the input on to the parser
 * of the common options. */
static error_t
parse_no_options(int key, char *arg, struct argp_state *state)
{
	if (key == ARGP_KEY_INIT) {
		state->child_inputs[0] = state->input;
		return 0;
	}
	return ARGP_ERR_UNKNOWN;
}

static const char *
getenv_nonempty(const char *name)
{
	const char *text = getenv(name);

	return text == NULL || text[0] == '\0' ? NULL : text;
}

void
bg_cli_parse_options(struct bg_cli *cli, const struct argp_option *options,
    argp_parser_t parser, int argc, char **argv)
{
	const struct argp_child children[] = {
	    {&COMMON_ARGP, 0, NULL, 0}, {NULL, 0, NULL, 0}};
	const struct argp argp = {options,
	    parser != NULL ? parser : parse_no_options, cli->command->args_doc,
	    cli->command->doc, children, NULL, NULL};

	cli->platform_address = getenv_nonempty("BURDOCKGRADE_PLATFORM");
	cli->node_addresses = getenv_nonempty("BURDOCKGRADE_NODE");
	cli->operator_name = getenv_nonempty("USER");
	if (cli->operator_name == NULL)
		cli->operator_name = "unknown";
	argp_parse(&argp, argc, argv, 0, NULL, cli);
}

uint64_t
bg_cli_parse_number(const char *text, uint64_t max, const char *option_name,
    struct argp_state *state)
{
	unsigned long long value = 0;
	size_t digits = strspn(text, "0123456789");

	/* Every number of 18 digits fits into a signed 64-bit integer; not
	 * every one of 19 digits does. */
	if (digits > 0 && digits <= 18 && text[digits] == '\0')
		value = strtoull(text, NULL, 10);
	else
		value = UINT64_MAX;
	if (value > max)
		argp_error(state,
		    "%s: expected a number from 0 to %llu, "
		    "found \"%s\"",
		    option_name, (unsigned long long)max, text);
	return value;
}
