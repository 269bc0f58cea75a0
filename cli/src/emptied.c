#include <stdlib.h>

#include "burdockgrade/clock.h"

#include "emptied.h"
#include "node.h"

#define PATH_STATUS "/status.json"

int
bg_cli_emptied_fetch(
    json_t **out, const struct bg_cli *cli, struct bg_error *err)
{
	struct bg_cli_status_lines lines;
	char *body;
	int error;

	*out = NULL;
	if ((error = bg_cli_node_fetch(&body, cli, PATH_STATUS, err)) != 0)
		return error;
	error = bg_cli_status_lines_parse(&lines, body, 1);
	free(body);
	if (error != 0)
		return bg_error_set(err, error, "node", cli->node_addresses,
		    PATH_STATUS ": cannot parse the status");
	/* A node of an earlier build tells of none. */
	*out =
	    lines.emptied != NULL ? json_incref(lines.emptied) : json_array();
	bg_cli_status_lines_free(&lines);
	return 0;
}

void
bg_cli_emptied_print(
    FILE *fp, const json_t *emptied, const char *before, const char *after)
{
	char since[BG_RFC3339_BYTES];
	const char *name;
	json_int_t since_ms;
	json_t *running;
	json_t *one;
	size_t i;

	json_array_foreach(emptied, i, one)
	{
		if (json_unpack(one, "{s:s, s:I, s:o}", "data_centre", &name,
			"since_ms", &since_ms, "running", &running) != 0)
			continue;
		bg_clock_format(since, (uint64_t)since_ms);
		fprintf(fp, "%sdata centre %s is emptied since %s, ", before,
		    name, since);
		if (json_is_integer(running))
			fprintf(fp, "%" JSON_INTEGER_FORMAT " calls run%s",
			    json_integer_value(running), after);
		else
			fprintf(fp, "calls running there unknown%s", after);
	}
}
