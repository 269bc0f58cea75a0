#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"

/* Significant digits. With 17, an objective of 99.9 would be printed as
 * 99.900000000000006. */
#define REAL_PRECISION 9

static int
exit_code(int code)
{
	switch (code) {
	case BG_OK:
		return BG_EXIT_OK;
	case BG_EINVAL:
	case BG_ENOTFOUND:
		return BG_EXIT_USAGE;
	case BG_ECONFLICT:
	case BG_ESTALE:
		return BG_EXIT_CONFLICT;
	case BG_EUNAVAILABLE:
	case BG_ETIMEOUT:
		return BG_EXIT_UNREACHABLE;
	default:
		return BG_EXIT_FAILED;
	}
}

int
bg_cli_store_factory(struct bg_store_factory *out, struct bg_cli *cli)
{
	const struct bg_store_options defaults = BG_STORE_OPTIONS_INIT;
	struct bg_error err;

	out->open = bg_platform_store_init;
	out->options = defaults;
	out->options.address = cli->platform_address;
	if (cli->platform_address != NULL)
		return 0;
	bg_error_set(&err, BG_EINVAL, cli->command->name, NULL,
	    "expected the platform's address by --platform or "
	    "BURDOCKGRADE_PLATFORM");
	return bg_cli_fail(cli, &err, NULL);
}

static json_t *
split_lines(const char *report)
{
	json_t *array = json_array();
	size_t len;

	while (report != NULL && *report != '\0') {
		len = strcspn(report, "\n");
		json_array_append_new(array, json_stringn(report, len));
		report += len + (report[len] == '\n');
	}
	return array;
}

int
bg_cli_fail(
    const struct bg_cli *cli, const struct bg_error *err, const char *report)
{
	const char *peer = err->peer[0] != '\0' ? err->peer : NULL;

	if (cli->is_json) {
		bg_cli_print_json(json_pack("{s:b, s:s, s:s, s:s?, s:s, s:o}",
		    "ok", 0, "code", bg_error_name(err->code), "step",
		    err->step, "peer", peer, "message", err->message, "errors",
		    split_lines(report)));
	} else if (report != NULL) {
		fputs(report, stderr);
	} else {
		fprintf(stderr, "burdockgrade %s: %s%s%s (%s)\n",
		    cli->command->name, peer == NULL ? "" : peer,
		    peer == NULL ? "" : ": ", err->message,
		    bg_error_name(err->code));
	}
	return exit_code(err->code);
}

void
bg_cli_print_json(json_t *value)
{
	char *text = json_dumps(value,
	    JSON_INDENT(2) | JSON_SORT_KEYS |
		JSON_REAL_PRECISION(REAL_PRECISION));

	if (text != NULL)
		puts(text);
	free(text);
	json_decref(value);
}
