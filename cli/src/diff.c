#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "diff.h"

#define LINE_BYTES 512
#define METHODS_BYTES 48

static const char *const METHOD_NAMES[] = {
    "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH"};
static const char *const CRITICALITY_NAMES[] = {"low", "normal", "high"};

static void add_line(json_t *out, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

static void
add_line(json_t *out, const char *fmt, ...)
{
	char line[LINE_BYTES];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(line, sizeof(line), fmt, ap);
	va_end(ap);
	json_array_append_new(out, json_string(line));
}

/* Describes a change of a number, which is divided by scale for display. If the
 * service is new, only the new value is shown. */
static void
add_number(json_t *out, const char *name, uint32_t from, uint32_t to,
    uint32_t scale, const char *unit, int is_new)
{
	if (is_new)
		add_line(out, "%s: %g%s", name, (double)to / scale, unit);
	else if (from != to)
		add_line(out, "%s: %g%s -> %g%s", name, (double)from / scale,
		    unit, (double)to / scale, unit);
}

static void
add_duration(json_t *out, const char *prefix, const char *name,
    uint32_t from_ms, uint32_t to_ms)
{
	if (from_ms != to_ms)
		add_line(
		    out, "%s%s: %u ms -> %u ms", prefix, name, from_ms, to_ms);
}

static void
add_text(json_t *out, const char *prefix, const char *name, const char *from,
    const char *to)
{
	if (strcmp(from, to) != 0)
		add_line(out, "%s%s: %s -> %s", prefix, name, from, to);
}

static const char *
methods_text(char out[METHODS_BYTES], uint32_t methods)
{
	size_t len = 0;
	size_t i;

	out[0] = '\0';
	for (i = 0; i < sizeof(METHOD_NAMES) / sizeof(METHOD_NAMES[0]); i++)
		if (methods & (1U << i))
			len += (size_t)snprintf(out + len, METHODS_BYTES - len,
			    "%s%s", len > 0 ? "," : "", METHOD_NAMES[i]);
	return out;
}

static const char *
delivery_text(int is_idempotent)
{
	return is_idempotent ? "idempotent" : "at most once";
}

static void
add_route(json_t *out, const char *sign, const struct bg_route *rt)
{
	char methods[METHODS_BYTES];

	add_line(out,
	    "%s route %s: %s %s, %s, deadline %u ms, slow above %u ms, "
	    "criticality %s",
	    sign, rt->name, methods_text(methods, rt->methods), rt->prefix,
	    delivery_text(rt->is_idempotent), rt->deadline_ms, rt->slow_ms,
	    CRITICALITY_NAMES[rt->criticality]);
}

static void
diff_route(json_t *out, const struct bg_route *from, const struct bg_route *to)
{
	char prefix[BG_NAME_BYTES + 16];
	char before[METHODS_BYTES];
	char after[METHODS_BYTES];

	snprintf(prefix, sizeof(prefix), "route %s ", to->name);
	add_text(out, prefix, "path", from->prefix, to->prefix);
	add_text(out, prefix, "methods", methods_text(before, from->methods),
	    methods_text(after, to->methods));
	add_text(out, prefix, "runs", delivery_text(from->is_idempotent),
	    delivery_text(to->is_idempotent));
	add_duration(
	    out, prefix, "deadline", from->deadline_ms, to->deadline_ms);
	add_duration(out, prefix, "slow above", from->slow_ms, to->slow_ms);
	add_text(out, prefix, "criticality",
	    CRITICALITY_NAMES[from->criticality],
	    CRITICALITY_NAMES[to->criticality]);
}

static const struct bg_route *
find_route(const struct bg_contract *ctr, const char *name)
{
	size_t i;

	for (i = 0; i < ctr->route_count; i++)
		if (strcmp(ctr->routes[i].name, name) == 0)
			return &ctr->routes[i];
	return NULL;
}

static void
diff_routes(
    json_t *out, const struct bg_contract *from, const struct bg_contract *to)
{
	const struct bg_route *old;
	size_t i;

	for (i = 0; i < from->route_count; i++)
		if (find_route(to, from->routes[i].name) == NULL)
			add_route(out, "-", &from->routes[i]);
	for (i = 0; i < to->route_count; i++) {
		old = find_route(from, to->routes[i].name);
		if (old == NULL)
			add_route(out, "+", &to->routes[i]);
		else
			diff_route(out, old, &to->routes[i]);
	}
}

static int
depends_on(const struct bg_contract *ctr, const char *name)
{
	size_t i;

	for (i = 0; i < ctr->dependency_count; i++)
		if (strcmp(ctr->dependencies[i], name) == 0)
			return 1;
	return 0;
}

static void
diff_dependencies(
    json_t *out, const struct bg_contract *from, const struct bg_contract *to)
{
	size_t i;

	for (i = 0; i < from->dependency_count; i++)
		if (!depends_on(to, from->dependencies[i]))
			add_line(out, "- dependency %s", from->dependencies[i]);
	for (i = 0; i < to->dependency_count; i++)
		if (!depends_on(from, to->dependencies[i]))
			add_line(out, "+ dependency %s", to->dependencies[i]);
}

json_t *
bg_cli_diff_contracts(
    const struct bg_contract *from, const struct bg_contract *to)
{
	static const struct bg_contract empty;
	json_t *out = json_array();
	int is_new = from == NULL;

	if (is_new)
		from = &empty;
	diff_routes(out, from, to);
	diff_dependencies(out, from, to);
	add_number(
	    out, "slots a server", from->slots, to->slots, 1, "", is_new);
	add_number(out, "connections a server", from->connections,
	    to->connections, 1, "", is_new);
	if (is_new || from->move_auto_start != to->move_auto_start)
		add_line(out, "moves start: %s",
		    to->move_auto_start ? "auto" : "operator");
	add_number(out, "promised time of a move", from->take_over_ms,
	    to->take_over_ms, 1000, " s", is_new);
	add_number(out, "soak after a move", from->soak_ms, to->soak_ms, 1000,
	    " s", is_new);
	add_number(out, "worst error ratio", from->max_error_permille,
	    to->max_error_permille, 10, "%", is_new);
	add_number(out, "availability objective", from->slo_permyriad,
	    to->slo_permyriad, 100, "%", is_new);
	add_number(out, "objective window", from->slo_window_days,
	    to->slo_window_days, 1, " days", is_new);
	return out;
}
