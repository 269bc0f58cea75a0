#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "burdockgrade/log.h"
#include "burdockgrade/settings.h"

#include "node.h"

/* Exit codes. The operators' command, burdockgrade, uses the same values for
 * them (enum bg_exit in cli/src/cli.h). */
#define EXIT_OK 0
#define EXIT_FAILED 1
#define EXIT_USAGE 2

#define OPTION_CHECK 1

const char *argp_program_version = "burdockgraded 0.1.0";

struct arguments {
	const char *config;
	int is_check;
};

/** Settings of a node. */
struct loaded_settings {
	struct bg_settings settings;
	struct bg_platform_settings platform; /**< if is_platform_managed */
	int is_platform_managed; /**< started with the platform's settings */
};

static const struct argp_option OPTIONS[] = {
    {"config", 'c', "FILE", 0,
	"Settings file (TOML); default: the platform's settings file", 0},
    {"check-settings", OPTION_CHECK, NULL, 0,
	"Check the settings file and exit", 0},
    {NULL, 0, NULL, 0, NULL, 0},
};

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
	struct arguments *args = state->input;

	switch (key) {
	case 'c':
		args->config = value;
		return 0;
	case OPTION_CHECK:
		args->is_check = 1;
		return 0;
	case ARGP_KEY_ARG:
		argp_error(state, "unexpected argument: %s", value);
		return EINVAL;
	case ARGP_KEY_END:
		/* The default of --config is the path in the environment, which
		 * is set if the platform manages the process. Without it there
		 * is no default. */
		if (args->config == NULL && bg_platform_settings_path() == NULL)
			argp_error(state, "--config FILE is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp PARSER = {OPTIONS, parse_option, NULL,
    "Node of burdockgrade: proxy, configuration and membership beside one "
    "backend server.",
    NULL, NULL, NULL};

static int
load_settings(struct loaded_settings *out, const char *path)
{
	struct bg_error err = {0};
	char *report = NULL;
	int error;

	out->is_platform_managed = path == NULL;
	if (out->is_platform_managed)
		error = bg_platform_settings_load(&out->settings,
		    &out->platform, &report, bg_platform_settings_path(), &err);
	else
		error = bg_settings_load_report(
		    &out->settings, &report, path, &err);
	if (error != 0)
		fprintf(stderr, "%s\n", report != NULL ? report : err.message);
	free(report);
	return error;
}

static int
run_node(const struct loaded_settings *set)
{
	static struct bg_node node;
	struct bg_node_options opts = {0};
	struct bg_error err = {0};
	int error;

	opts.settings = &set->settings;
	opts.platform = set->is_platform_managed ? &set->platform : NULL;
	if ((error = bg_node_init(&node, &opts, &err)) != 0) {
		bg_log_error("node", "not started step=%s peer=%s reason=%s",
		    err.step, err.peer, err.message);
		return error;
	}
	error = bg_node_run(&node);
	bg_node_free(&node);
	return error;
}

int
main(int argc, char **argv)
{
	struct arguments args = {0};
	static struct loaded_settings set;
	int error;

	argp_err_exit_status = EXIT_USAGE;
	argp_parse(&PARSER, argc, argv, 0, NULL, &args);
	if (load_settings(&set, args.config) != 0)
		return EXIT_USAGE;
	if (args.is_check) {
		printf("%s: settings are valid\n",
		    args.config != NULL ? args.config
					: bg_platform_settings_path());
		return EXIT_OK;
	}
	/* Fails only if the log level is unknown, which is an error in the
	 * settings like those above. */
	if (bg_log_init(set.settings.log.level, set.settings.node.address) != 0)
		return EXIT_USAGE;
	error = run_node(&set);
	bg_log_free();
	return error == 0 ? EXIT_OK : EXIT_FAILED;
}
