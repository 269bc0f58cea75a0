#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"

#include "conditions.h"
#include "node.h"

#define PATH_STATUS "/status.json"

static json_t *
or_empty(json_t *array)
{
	return array != NULL ? json_incref(array) : json_array();
}

int
bg_cli_conditions_fetch(struct bg_cli_conditions *out, const struct bg_cli *cli,
    struct bg_error *err)
{
	struct bg_cli_status_lines lines;
	char *body;
	int error;

	memset(out, 0, sizeof(*out));
	if ((error = bg_cli_node_fetch(&body, cli, PATH_STATUS, err)) != 0)
		return error;
	error = bg_cli_status_lines_parse(&lines, body, 1);
	free(body);
	if (error != 0)
		return bg_error_set(err, error, "node", cli->node_addresses,
		    PATH_STATUS ": cannot parse the status");
	out->emptied = or_empty(lines.emptied);
	out->cold = or_empty(lines.cold);
	bg_cli_status_lines_free(&lines);
	return 0;
}

void
bg_cli_conditions_free(struct bg_cli_conditions *cond)
{
	json_decref(cond->emptied);
	json_decref(cond->cold);
}

static void
print_emptied(
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

static void
print_cold(FILE *fp, const json_t *cold, const char *before, const char *after)
{
	const char *service;
	const char *node;
	const char *dc;
	json_int_t left_ms;
	json_t *one;
	size_t i;

	json_array_foreach(cold, i, one)
	{
		if (json_unpack(one, "{s:s, s:s, s:s, s:I}", "service",
			&service, "node", &node, "data_centre", &dc, "left_ms",
			&left_ms) != 0)
			continue;
		fprintf(fp,
		    "%sbackend server of %s at node %s in data centre %s is "
		    "cold for another %" JSON_INTEGER_FORMAT " ms%s",
		    before, service, node, dc, left_ms, after);
	}
}

void
bg_cli_conditions_print(FILE *fp, const struct bg_cli_conditions *cond,
    const char *before, const char *after)
{
	print_emptied(fp, cond->emptied, before, after);
	print_cold(fp, cond->cold, before, after);
}
