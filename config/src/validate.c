#include <ctype.h>
#include <string.h>

#include "burdockgrade/contract.h"

#include "contract_limits.h"

#define METHODS_ALL                                                        \
	(BG_METHOD_GET | BG_METHOD_HEAD | BG_METHOD_POST | BG_METHOD_PUT | \
	    BG_METHOD_DELETE | BG_METHOD_PATCH)

/* Pages that the node serves itself. A route of the same path would never get a
 * call. */
static const char *const NODE_PAGES[] = {
    "/status", "/metrics", "/health", "/burn"};

int
bg_is_name(const char *text)
{
	if (!isalnum((unsigned char)text[0]))
		return 0;
	for (; *text != '\0'; text++)
		if (!isalnum((unsigned char)*text) &&
		    strchr("-_.", *text) == NULL)
			return 0;
	return 1;
}

/* Checks for "." and ".." segments, which a server may resolve to another path.
 */
static int
has_dot_segment(const char *path)
{
	const char *seg = path;
	size_t len;

	while (*seg == '/') {
		seg++;
		len = strcspn(seg, "/");
		if ((len == 1 && seg[0] == '.') ||
		    (len == 2 && seg[0] == '.' && seg[1] == '.'))
			return 1;
		seg += len;
	}
	return 0;
}

const char *
bg_prefix_check(const char *prefix)
{
	size_t len = strlen(prefix);
	size_t i;

	if (prefix[0] != '/')
		return "a path that starts with '/'";
	if (len > 1 && prefix[len - 1] == '/')
		return "a path that does not end with '/'";
	for (i = 0; i < len; i++)
		if (!isalnum((unsigned char)prefix[i]) &&
		    strchr("/-._~", prefix[i]) == NULL)
			return "a path of letters, digits and \"/-._~\"";
	if (strstr(prefix, "//") != NULL || has_dot_segment(prefix))
		return "a path without empty, '.' or '..' segments";
	for (i = 0; i < sizeof(NODE_PAGES) / sizeof(NODE_PAGES[0]); i++)
		if (strcmp(prefix, NODE_PAGES[i]) == 0)
			return "a path other than /status, /metrics, /health "
			       "and /burn, which the node serves itself";
	return NULL;
}

static int
fail(struct bg_error *err, const struct bg_contract *ctr, const char *key,
    const char *expected)
{
	return bg_error_set(err, BG_EINVAL, "validate", NULL,
	    "service %.63s: %.80s: expected %.80s", ctr->name, key, expected);
}

static int
validate_route(const struct bg_contract *ctr, const struct bg_route *rt,
    struct bg_error *err)
{
	const char *expected;

	if (!bg_is_name(rt->name))
		return fail(err, ctr, "route name", "a name");
	if ((expected = bg_prefix_check(rt->prefix)) != NULL)
		return fail(err, ctr, rt->name, expected);
	if (rt->methods == 0 || (rt->methods & ~(uint32_t)METHODS_ALL) != 0)
		return fail(err, ctr, rt->name, "at least one HTTP method");
	if (!rt->is_idempotent &&
	    (rt->methods & (BG_METHOD_GET | BG_METHOD_HEAD)) != 0)
		return fail(err, ctr, rt->name,
		    "GET and HEAD only on an idempotent route");
	if (rt->deadline_ms < 1 || rt->deadline_ms > BG_DEADLINE_MAX_MS)
		return fail(err, ctr, rt->name, "deadline_ms from 1 to 600000");
	if (rt->slow_ms < 1 || rt->slow_ms > rt->deadline_ms)
		return fail(
		    err, ctr, rt->name, "slow_ms from 1 to deadline_ms");
	if ((unsigned)rt->criticality > BG_CRITICALITY_HIGH)
		return fail(err, ctr, rt->name, "a criticality");
	return 0;
}

static int
validate_routes(const struct bg_contract *ctr, struct bg_error *err)
{
	const struct bg_route *rt = ctr->routes;
	size_t i;
	size_t j;

	if (ctr->route_count < 1 || ctr->route_count > BG_ROUTES_MAX)
		return fail(err, ctr, "routes", "1 to 16 routes");
	for (i = 0; i < ctr->route_count; i++) {
		if (validate_route(ctr, &rt[i], err) != 0)
			return BG_EINVAL;
		for (j = 0; j < i; j++) {
			if (strcmp(rt[i].name, rt[j].name) == 0)
				return fail(err, ctr, rt[i].name,
				    "no second route of this name");
			if (strcmp(rt[i].prefix, rt[j].prefix) == 0 &&
			    (rt[i].methods & rt[j].methods) != 0)
				return fail(err, ctr, rt[i].prefix,
				    "no second route of this path and method");
		}
	}
	return 0;
}

static int
validate_dependencies(const struct bg_contract *ctr, struct bg_error *err)
{
	size_t i;
	size_t j;

	if (ctr->dependency_count > BG_DEPENDENCIES_MAX)
		return fail(err, ctr, "dependencies", "at most 16");
	for (i = 0; i < ctr->dependency_count; i++) {
		if (!bg_is_name(ctr->dependencies[i]))
			return fail(err, ctr, "dependencies", "service names");
		if (strcmp(ctr->dependencies[i], ctr->name) == 0)
			return fail(err, ctr, "dependencies", "other services");
		for (j = 0; j < i; j++)
			if (strcmp(ctr->dependencies[i],
				ctr->dependencies[j]) == 0)
				return fail(err, ctr, "dependencies",
				    "each service once");
	}
	return 0;
}

int
bg_contract_validate(const struct bg_contract *ctr, struct bg_error *err)
{
	if (!bg_is_name(ctr->name))
		return fail(err, ctr, "name", "a name");
	if (validate_routes(ctr, err) != 0 ||
	    validate_dependencies(ctr, err) != 0)
		return BG_EINVAL;
	if (ctr->slots < 1 || ctr->slots > BG_SLOTS_MAX)
		return fail(err, ctr, "slots", "1 to 10000");
	if (ctr->connections < ctr->slots ||
	    ctr->connections > BG_CONNECTIONS_MAX)
		return fail(err, ctr, "connections", "slots to 10000");
	if (ctr->take_over_ms < BG_TAKE_OVER_MIN_MS ||
	    ctr->take_over_ms > BG_TAKE_OVER_MAX_MS)
		return fail(err, ctr, "take_over_ms", "1 s to 24 h");
	if (ctr->soak_ms > BG_SOAK_MAX_MS)
		return fail(err, ctr, "soak_ms", "at most 24 h");
	if (ctr->max_error_permille < 1 ||
	    ctr->max_error_permille > BG_MAX_ERROR_PERMILLE_MAX)
		return fail(err, ctr, "max_error_permille", "1 to 500");
	if (ctr->slo_permyriad < BG_SLO_MIN_PERMYRIAD ||
	    ctr->slo_permyriad > BG_SLO_MAX_PERMYRIAD)
		return fail(err, ctr, "slo_permyriad", "5000 to 9999");
	if (ctr->slo_window_days < 1 ||
	    ctr->slo_window_days > BG_SLO_WINDOW_MAX_DAYS)
		return fail(err, ctr, "slo_window_days", "1 to 90");
	return 0;
}
