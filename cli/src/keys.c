/* Subcommand keys: prints the organisations in force at a node. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node.h"

#define PATH "/organisations.json"

static int
is_selected(const struct bg_cli *cli, const char *name)
{
	size_t i;

	for (i = 0; i < cli->arg_count; i++)
		if (strcmp(cli->args[i], name) == 0)
			return 1;
	return cli->arg_count == 0;
}

static int
print_line(const json_t *value)
{
	const json_t *priority = json_object_get(value, "priority");
	const char *name;
	json_int_t keys;
	json_int_t burst;
	double rate;

	if (json_unpack((json_t *)value, "{s:s, s:I, s:F, s:I}", "name", &name,
		"keys", &keys, "rate_per_s", &rate, "burst", &burst) != 0)
		return BG_EPROTO;
	printf("%s keys=%lld priority=", name, (long long)keys);
	if (json_is_integer(priority))
		printf("%lld", (long long)json_integer_value(priority));
	else
		printf("route");
	if (rate > 0)
		printf(" rate=%.3f/s burst=%lld\n", rate, (long long)burst);
	else
		printf(" rate=unlimited\n");
	return 0;
}

/* Prints nothing if the node is not synced: it cannot tell who needs a key. */
static int
print_text(const struct bg_cli *cli, json_t *doc, const json_t *list)
{
	json_t *value;
	size_t i;

	if (!json_is_true(json_object_get(doc, "synced")))
		return 0;
	printf("version %lld: %s\n",
	    (long long)json_integer_value(json_object_get(doc, "version")),
	    json_is_true(json_object_get(doc, "keys_needed"))
		? "callers need a key"
		: "callers need no key");
	json_array_foreach(list, i, value)
	{
		if (is_selected(cli,
			json_string_value(json_object_get(value, "name"))) &&
		    print_line(value) != 0)
			return BG_EPROTO;
	}
	return 0;
}

static void
remove_unselected(const struct bg_cli *cli, json_t *list)
{
	size_t i = json_array_size(list);

	while (i-- > 0) {
		if (!is_selected(cli,
			json_string_value(
			    json_object_get(json_array_get(list, i), "name"))))
			json_array_remove(list, i);
	}
}

static int
is_listed(const json_t *list, const char *name)
{
	const json_t *value;
	size_t i;

	json_array_foreach(list, i, value)
	{
		if (strcmp(json_string_value(json_object_get(value, "name")),
			name) == 0)
			return 1;
	}
	return 0;
}

/* @return the exit code */
static int
report_missing(const struct bg_cli *cli, const json_t *doc, const json_t *list)
{
	int code = BG_EXIT_OK;
	size_t i;

	if (!json_is_true(json_object_get(doc, "synced"))) {
		fputs("burdockgrade keys: the node is not synced\n", stderr);
		return BG_EXIT_FAILED;
	}
	for (i = 0; i < cli->arg_count; i++) {
		if (is_listed(list, cli->args[i]))
			continue;
		fprintf(stderr, "burdockgrade keys: %s is not in force\n",
		    cli->args[i]);
		code = BG_EXIT_FAILED;
	}
	return code;
}

/* Parses the page. Each organisation must have a name.
 * @return NULL if it is not valid */
static json_t *
parse(const char *body)
{
	json_t *doc = json_loads(body, 0, NULL);
	json_t *list = json_object_get(doc, "organisations");
	json_t *value;
	size_t i;
	int is_valid = json_is_array(list);

	json_array_foreach(list, i, value) is_valid =
	    is_valid && json_is_string(json_object_get(value, "name"));
	if (is_valid)
		return doc;
	json_decref(doc);
	return NULL;
}

int
bg_cli_cmd_keys(struct bg_cli *cli, int argc, char **argv)
{
	struct bg_error err = {0};
	json_t *doc;
	json_t *list;
	char *body;
	int code;

	bg_cli_parse_options(cli, NULL, NULL, argc, argv);
	if (bg_cli_node_fetch(&body, cli, PATH, &err) != 0)
		return bg_cli_fail(cli, &err, NULL);
	doc = parse(body);
	free(body);
	list = json_object_get(doc, "organisations");
	if (doc == NULL || (!cli->is_json && print_text(cli, doc, list) != 0)) {
		json_decref(doc);
		bg_error_set(&err, BG_EPROTO, "node", cli->node_addresses,
		    "%s: cannot parse the organisations", PATH);
		return bg_cli_fail(cli, &err, NULL);
	}
	code = report_missing(cli, doc, list);
	if (cli->is_json) {
		remove_unselected(cli, list);
		bg_cli_print_json(doc);
	} else {
		json_decref(doc);
	}
	return code;
}
