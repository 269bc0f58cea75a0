#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/questionnaire.h"
#include "burdockgrade/toml.h"

#include "contract_limits.h"
#include "enum_names.h"

#define MS_PER_S 1000
/* Answers are given in percent. */
#define PERMILLE_PER_PERCENT 10
#define PERMYRIAD_PER_PERCENT 100

#define DEFAULT_SOAK_MS (10 * 60 * 1000)
#define DEFAULT_SLO_WINDOW_DAYS 30
#define METHODS_COUNT 6

/* Indexed by bg_contract.move_auto_start. */
static const char *const START_MODES[] = {"operator", "auto", NULL};

static int
read_name(char out[BG_NAME_BYTES], struct bg_toml *doc,
    const struct bg_toml_table *tbl)
{
	char text[BG_NAME_BYTES];

	if (!bg_toml_string(
		text, sizeof(text), doc, tbl, "name", BG_TOML_REQUIRED))
		return 0;
	if (!bg_is_name(text)) {
		bg_toml_fail(doc, tbl, "name",
		    "expected letters, digits, '-', '_' and '.', found \"%s\"",
		    text);
		return 0;
	}
	memcpy(out, text, sizeof(text));
	return 1;
}

static void
read_methods(
    uint32_t *out, struct bg_toml *doc, const struct bg_toml_table *tbl)
{
	char name[BG_NAME_BYTES];
	size_t count = bg_toml_array_count(
	    doc, tbl, "methods", METHODS_COUNT, BG_TOML_REQUIRED);
	size_t i;
	size_t j;

	if (count == 0 && bg_toml_has(tbl, "methods"))
		bg_toml_fail(
		    doc, tbl, "methods", "expected at least one HTTP method");
	for (i = 0; i < count; i++) {
		if (!bg_toml_string_at(
			name, sizeof(name), doc, tbl, "methods", i))
			continue;
		for (j = 0; BG_METHOD_NAMES[j] != NULL; j++)
			if (strcmp(name, BG_METHOD_NAMES[j]) == 0)
				break;
		if (BG_METHOD_NAMES[j] == NULL)
			bg_toml_fail_at(doc, tbl, "methods", i,
			    "expected GET, HEAD, POST, PUT, DELETE or PATCH, "
			    "found \"%s\"",
			    name);
		else if ((*out & (1U << j)) != 0)
			bg_toml_fail_at(doc, tbl, "methods", i,
			    "expected each method once, found \"%s\" again",
			    name);
		else
			*out |= 1U << j;
	}
}

static void
read_path(
    struct bg_route *rt, struct bg_toml *doc, const struct bg_toml_table *tbl)
{
	const char *expected;

	if (!bg_toml_string(rt->prefix, sizeof(rt->prefix), doc, tbl, "path",
		BG_TOML_REQUIRED))
		return;
	if ((expected = bg_prefix_check(rt->prefix)) != NULL)
		bg_toml_fail(doc, tbl, "path", "expected %s, found \"%.40s\"",
		    expected, rt->prefix);
}

static void
read_times(
    struct bg_route *rt, struct bg_toml *doc, const struct bg_toml_table *tbl)
{
	int are_valid;

	are_valid = bg_toml_u32(&rt->deadline_ms, doc, tbl, "deadline_ms", 1,
	    BG_DEADLINE_MAX_MS, BG_TOML_REQUIRED);
	are_valid &= bg_toml_u32(&rt->slow_ms, doc, tbl, "slow_ms", 1,
	    BG_DEADLINE_MAX_MS, BG_TOML_REQUIRED);
	if (are_valid && rt->slow_ms > rt->deadline_ms)
		bg_toml_fail(doc, tbl, "slow_ms",
		    "expected at most deadline_ms (%u), found %u",
		    rt->deadline_ms, rt->slow_ms);
}

static void
read_route(
    struct bg_route *rt, struct bg_toml *doc, const struct bg_toml_table *tbl)
{
	int criticality = BG_CRITICALITY_NORMAL;

	read_name(rt->name, doc, tbl);
	read_path(rt, doc, tbl);
	read_methods(&rt->methods, doc, tbl);
	if (bg_toml_bool(
		&rt->is_idempotent, doc, tbl, "idempotent", BG_TOML_REQUIRED) &&
	    !rt->is_idempotent &&
	    (rt->methods & (BG_METHOD_GET | BG_METHOD_HEAD)) != 0)
		bg_toml_fail(doc, tbl, "idempotent",
		    "expected true, since GET and HEAD may be repeated by "
		    "any client, found false");
	read_times(rt, doc, tbl);
	bg_toml_enum(&criticality, doc, tbl, "criticality",
	    BG_CRITICALITY_NAMES, BG_TOML_REQUIRED);
	rt->criticality = (enum bg_criticality)criticality;
}

/* Reports a route that has the name, or a path and method, of an earlier one.
 */
static void
check_route_is_distinct(const struct bg_contract *ctr, size_t index,
    struct bg_toml *doc, const struct bg_toml_table *tbl)
{
	const struct bg_route *rt = &ctr->routes[index];
	const struct bg_route *other;
	size_t i;

	for (i = 0; i < index; i++) {
		other = &ctr->routes[i];
		if (rt->name[0] != '\0' && strcmp(rt->name, other->name) == 0)
			bg_toml_fail(doc, tbl, "name",
			    "expected another name than the route before, "
			    "found \"%s\"",
			    rt->name);
		if (rt->prefix[0] != '\0' &&
		    (rt->methods & other->methods) != 0 &&
		    strcmp(rt->prefix, other->prefix) == 0)
			bg_toml_fail(doc, tbl, "path",
			    "expected another path or method than route "
			    "\"%s\", found \"%.40s\"",
			    other->name, rt->prefix);
	}
}

static void
read_routes(struct bg_questionnaire *qn, struct bg_toml *doc,
    const struct bg_toml_table *root)
{
	struct bg_contract *ctr = &qn->contract;
	const struct bg_toml_table *tbl;
	size_t count =
	    bg_toml_table_count(doc, root, "route", BG_TOML_REQUIRED);
	size_t i;

	if (count > BG_ROUTES_MAX) {
		bg_toml_fail(doc, root, "route",
		    "expected at most %d routes, found %zu", BG_ROUTES_MAX,
		    count);
		return;
	}
	for (i = 0; i < count; i++) {
		tbl = bg_toml_table_at(doc, root, "route", i);
		read_route(&ctr->routes[i], doc, tbl);
		qn->route_lines[i] = bg_toml_line(tbl, "path");
		check_route_is_distinct(ctr, i, doc, tbl);
		ctr->route_count++;
	}
}

static void
read_dependencies(struct bg_questionnaire *qn, struct bg_toml *doc,
    const struct bg_toml_table *root)
{
	struct bg_contract *ctr = &qn->contract;
	char name[BG_NAME_BYTES];
	size_t count = bg_toml_array_count(
	    doc, root, "dependencies", BG_DEPENDENCIES_MAX, BG_TOML_OPTIONAL);
	size_t i;
	size_t j;

	qn->dependencies_line = bg_toml_line(root, "dependencies");
	for (i = 0; i < count; i++) {
		if (!bg_toml_string_at(
			name, sizeof(name), doc, root, "dependencies", i))
			continue;
		for (j = 0; j < ctr->dependency_count; j++)
			if (strcmp(ctr->dependencies[j], name) == 0)
				break;
		if (!bg_is_name(name))
			bg_toml_fail_at(doc, root, "dependencies", i,
			    "expected a service name, found \"%s\"", name);
		else if (strcmp(name, ctr->name) == 0)
			bg_toml_fail_at(doc, root, "dependencies", i,
			    "expected another service, found \"%s\" itself",
			    name);
		else if (j < ctr->dependency_count)
			bg_toml_fail_at(doc, root, "dependencies", i,
			    "expected each service once, found \"%s\" again",
			    name);
		else
			memcpy(ctr->dependencies[ctr->dependency_count++], name,
			    sizeof(name));
	}
}

static void
read_servers(struct bg_contract *ctr, struct bg_toml *doc,
    const struct bg_toml_table *tbl)
{
	int are_valid;

	are_valid = bg_toml_u32(
	    &ctr->slots, doc, tbl, "slots", 1, BG_SLOTS_MAX, BG_TOML_REQUIRED);
	are_valid &= bg_toml_u32(&ctr->connections, doc, tbl, "connections", 1,
	    BG_CONNECTIONS_MAX, BG_TOML_REQUIRED);
	if (are_valid && ctr->connections < ctr->slots)
		bg_toml_fail(doc, tbl, "connections",
		    "expected at least servers.slots (%u), found %u",
		    ctr->slots, ctr->connections);
}

static void
read_move(struct bg_contract *ctr, struct bg_toml *doc,
    const struct bg_toml_table *tbl)
{
	uint32_t seconds;

	bg_toml_enum(&ctr->move_auto_start, doc, tbl, "start", START_MODES,
	    BG_TOML_REQUIRED);
	if (bg_toml_u32(&seconds, doc, tbl, "take_over_s",
		BG_TAKE_OVER_MIN_MS / MS_PER_S, BG_TAKE_OVER_MAX_MS / MS_PER_S,
		BG_TOML_REQUIRED))
		ctr->take_over_ms = seconds * MS_PER_S;
	if (bg_toml_u32(&seconds, doc, tbl, "soak_s", 0,
		BG_SOAK_MAX_MS / MS_PER_S, BG_TOML_OPTIONAL))
		ctr->soak_ms = seconds * MS_PER_S;
	bg_toml_scaled(&ctr->max_error_permille, doc, tbl, "max_error_percent",
	    PERMILLE_PER_PERCENT, 1, BG_MAX_ERROR_PERMILLE_MAX,
	    BG_TOML_REQUIRED);
}

static void
read_objective(struct bg_contract *ctr, struct bg_toml *doc,
    const struct bg_toml_table *tbl)
{
	bg_toml_scaled(&ctr->slo_permyriad, doc, tbl, "availability_percent",
	    PERMYRIAD_PER_PERCENT, BG_SLO_MIN_PERMYRIAD, BG_SLO_MAX_PERMYRIAD,
	    BG_TOML_REQUIRED);
	bg_toml_u32(&ctr->slo_window_days, doc, tbl, "window_days", 1,
	    BG_SLO_WINDOW_MAX_DAYS, BG_TOML_OPTIONAL);
}

static void
read_answers(struct bg_questionnaire *qn, struct bg_toml *doc)
{
	const struct bg_toml_table *root = bg_toml_root(doc);
	struct bg_contract *ctr = &qn->contract;

	ctr->soak_ms = DEFAULT_SOAK_MS;
	ctr->slo_window_days = DEFAULT_SLO_WINDOW_DAYS;
	read_name(ctr->name, doc, root);
	qn->name_line = bg_toml_line(root, "name");
	read_dependencies(qn, doc, root);
	read_routes(qn, doc, root);
	read_servers(
	    ctr, doc, bg_toml_subtable(doc, root, "servers", BG_TOML_REQUIRED));
	read_move(
	    ctr, doc, bg_toml_subtable(doc, root, "move", BG_TOML_REQUIRED));
	read_objective(ctr, doc,
	    bg_toml_subtable(doc, root, "objective", BG_TOML_REQUIRED));
}

static int
read_document(struct bg_questionnaire *out, char **out_report, const char *path,
    struct bg_toml *doc, struct bg_error *err)
{
	int error;

	memset(out, 0, sizeof(*out));
	snprintf(out->path, sizeof(out->path), "%s", path);
	read_answers(out, doc);
	error = bg_toml_finish_report(out_report, doc, err);
	/* Checks the same limits as the functions above, so it fails only if
	 * the two differ. Nodes have this check alone. */
	if (error == 0)
		error = bg_contract_validate(&out->contract, err);
	return error;
}

int
bg_questionnaire_load(struct bg_questionnaire *out, char **out_report,
    const char *path, struct bg_error *err)
{
	struct bg_toml *doc;
	int error;

	*out_report = NULL;
	if ((error = bg_toml_load(&doc, path)) != 0)
		return bg_error_set(err, error, "questionnaire", NULL,
		    "%s: out of memory", path);
	error = read_document(out, out_report, path, doc, err);
	bg_toml_free(doc);
	return error;
}

int
bg_questionnaire_parse(struct bg_questionnaire *out, char **out_report,
    const char *name, const char *text, size_t text_bytes, struct bg_error *err)
{
	struct bg_toml *doc;
	int error;

	*out_report = NULL;
	if ((error = bg_toml_parse(&doc, name, text, text_bytes)) != 0)
		return bg_error_set(err, error, "questionnaire", NULL,
		    "%s: out of memory", name);
	error = read_document(out, out_report, name, doc, err);
	bg_toml_free(doc);
	return error;
}
