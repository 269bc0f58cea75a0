/* Subcommand where: explains where a request would go now. */

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/http.h>

#include "node.h"

#define PATH "/where.json"
#define OPTION_ORGANISATION 'o'
#define HOST_BYTES 256
#define PATH_BYTES 16384
#define US_PER_MS 1000.0

struct where_options {
	struct bg_cli cli;
	const char *organisation;
};

static error_t
parse_where_option(int key, char *arg, struct argp_state *state)
{
	struct where_options *opts = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = state->input;
		return 0;
	case OPTION_ORGANISATION:
		opts->organisation = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Splits "http://HOST[:PORT]/PATH" or "HOST[:PORT]/PATH". The host is put into
 * lower case, without its port. @return the path, or NULL if there is none */
static const char *
split_url(char host[HOST_BYTES], const char *url)
{
	const char *scheme_end = strstr(url, "://");
	const char *text = scheme_end == NULL ? url : scheme_end + 3;
	const char *path = strchr(text, '/');
	size_t bytes;
	size_t i;

	if (path == NULL)
		return NULL;
	bytes = strcspn(text, ":/");
	if (bytes >= HOST_BYTES)
		return NULL;
	for (i = 0; i < bytes; i++)
		host[i] = (char)tolower((unsigned char)text[i]);
	host[bytes] = '\0';
	return path;
}

/* Builds the path of the node's page. @return 0 or BG_ELIMIT */
static int
build_page_path(char out[PATH_BYTES], const struct where_options *opts,
    const char *host, const char *path)
{
	char *values[] = {evhttp_uriencode(opts->cli.args[0], -1, 0),
	    evhttp_uriencode(host, -1, 0), evhttp_uriencode(path, -1, 0),
	    evhttp_uriencode(opts->organisation, -1, 0)};
	int bytes = PATH_BYTES;
	size_t i;

	if (values[0] != NULL && values[1] != NULL && values[2] != NULL &&
	    values[3] != NULL)
		bytes = snprintf(out, PATH_BYTES,
		    PATH "?method=%s&host=%s&path=%s&organisation=%s",
		    values[0], values[1], values[2], values[3]);
	for (i = 0; i < sizeof(values) / sizeof(values[0]); i++)
		free(values[i]);
	return bytes >= PATH_BYTES ? BG_ELIMIT : 0;
}

static json_int_t
number(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

static const char *
text(const json_t *object, const char *key)
{
	const char *value = json_string_value(json_object_get(object, key));

	return value == NULL ? "" : value;
}

static void
print_rule(const json_t *doc)
{
	const json_t *rule = json_object_get(doc, "route");
	const json_t *org = json_object_get(doc, "organisation");

	if (rule == NULL)
		return;
	printf("route %s: %s, priority %lld, target %lld ms, timeout %lld ms, "
	       "attempts %lld\n",
	    text(rule, "name"),
	    json_is_true(json_object_get(rule, "idempotent"))
		? "idempotent"
		: "not idempotent",
	    (long long)number(rule, "priority"),
	    (long long)number(rule, "target_ms"),
	    (long long)number(rule, "timeout_ms"),
	    (long long)number(rule, "attempts"));
	if (!json_is_object(org))
		return;
	printf("organisation %s: ", text(org, "name"));
	if (number(org, "rate_milli_per_s") == 0)
		printf("no cap\n");
	else
		printf("cap %.3f/s burst %lld\n",
		    (double)number(org, "rate_milli_per_s") / 1000,
		    (long long)number(org, "burst"));
}

static void
print_server(const json_t *server)
{
	const char *excluded = text(server, "excluded");
	const json_t *age = json_object_get(server, "report_age_ms");

	printf("%c %-21s %-14s %-10s",
	    json_is_true(json_object_get(server, "picked")) ? '*' : ' ',
	    text(server, "node"), text(server, "data_centre"),
	    text(server, "version"));
	if (json_object_get(server, "value") != NULL) {
		printf(" value=%.3f wait=%.1fms service=%.1fms load=%lld/%lld",
		    json_number_value(json_object_get(server, "value")),
		    (double)number(server, "wait_us") / US_PER_MS,
		    (double)number(server, "service_us") / US_PER_MS,
		    (long long)number(server, "load"),
		    (long long)number(server, "slots"));
		if (number(server, "slowness_permille") != 0)
			printf(" slowness=%.2f",
			    (double)number(server, "slowness_permille") / 1000);
		if (number(server, "cold_left_ms") != 0)
			printf(" cold=%lldms",
			    (long long)number(server, "cold_left_ms"));
		if (age == NULL)
			printf(" report=none");
		else
			printf(" report=%lldms old",
			    (long long)json_integer_value(age));
	}
	if (excluded[0] != '\0')
		printf(" excluded: %s", excluded);
	putchar('\n');
}

static void
print_service(const json_t *service)
{
	const json_t *move = json_object_get(service, "move");
	const json_t *server;
	size_t i;

	printf("service %s, %.1f%% of the route, expected cost %.1f ms by %s\n",
	    text(service, "service"),
	    (double)number(service, "share_permille") / 10,
	    (double)number(service, "cost_us") / US_PER_MS,
	    text(service, "cost_by"));
	if (json_is_object(move))
		printf("  moving to version %s, at most %.1f%% of its calls\n",
		    text(move, "to"),
		    (double)number(move, "share_permille") / 10);
	if (text(service, "refused")[0] != '\0')
		printf("  refused: %s\n", text(service, "refused"));
	json_array_foreach(json_object_get(service, "servers"), i, server)
	    print_server(server);
}

static void
print_text(const json_t *doc)
{
	const json_t *service;
	size_t i;

	printf("version %lld\n", (long long)number(doc, "version"));
	print_rule(doc);
	if (text(doc, "refused")[0] != '\0')
		printf("refused: %s\n", text(doc, "refused"));
	json_array_foreach(json_object_get(doc, "services"), i, service)
	    print_service(service);
}

/* BG_EXIT_OK if a server would get the request. */
static int
exit_code(const json_t *doc)
{
	const json_t *services = json_object_get(doc, "services");
	const json_t *service;
	size_t i;

	if (!json_is_true(json_object_get(doc, "synced"))) {
		fputs("burdockgrade where: the node is not synced\n", stderr);
		return BG_EXIT_FAILED;
	}
	json_array_foreach(services, i, service)
	{
		if (json_is_string(json_object_get(service, "refused")))
			return BG_EXIT_FAILED;
	}
	return json_array_size(services) > 0 ? BG_EXIT_OK : BG_EXIT_FAILED;
}

static int
report(const struct where_options *opts, const char *body)
{
	json_t *doc = json_loads(body, 0, NULL);
	struct bg_error err = {0};
	int code;

	if (!json_is_object(doc)) {
		json_decref(doc);
		bg_error_set(&err, BG_EPROTO, "node", opts->cli.node_addresses,
		    "%s: cannot parse the answer", PATH);
		return bg_cli_fail(&opts->cli, &err, NULL);
	}
	code = exit_code(doc);
	if (opts->cli.is_json)
		bg_cli_print_json(doc);
	else {
		if (json_is_true(json_object_get(doc, "synced")))
			print_text(doc);
		json_decref(doc);
	}
	return code;
}

int
bg_cli_cmd_where(struct bg_cli *cli, int argc, char **argv)
{
	static const struct argp_option options[] = {
	    {"organisation", OPTION_ORGANISATION, "NAME", 0,
		"Organisation of the caller", 0},
	    {NULL, 0, NULL, 0, NULL, 0},
	};
	struct where_options opts = {*cli, ""};
	char page_path[PATH_BYTES];
	char host[HOST_BYTES];
	struct bg_error err = {0};
	const char *path;
	char *body;
	int code;

	bg_cli_parse_options(
	    &opts.cli, options, parse_where_option, argc, argv);
	path = split_url(host, opts.cli.args[1]);
	if (path == NULL ||
	    build_page_path(page_path, &opts, host, path) != 0) {
		bg_error_set(&err, BG_EINVAL, "url", NULL,
		    "expected a URL with a host and a path, found \"%.64s\"",
		    opts.cli.args[1]);
		return bg_cli_fail(&opts.cli, &err, NULL);
	}
	if (bg_cli_node_fetch(&body, &opts.cli, page_path, &err) != 0)
		return bg_cli_fail(&opts.cli, &err, NULL);
	code = report(&opts, body);
	free(body);
	return code;
}
