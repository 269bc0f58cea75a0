#include <ctype.h>
#include <string.h>

#include "burdockgrade/snapshot.h"

#include "enum_names.h"
#include "rule_order.h"

/* Longer paths match no rule. Common servers have the same limit of 8 KiB. */
#define PATH_MAX_BYTES 8192

static int
hex_value(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	c = (char)tolower((unsigned char)c);
	return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

/* Decodes a percent-encoded unreserved character (RFC 3986), since a server
 * treats both forms as the same path. @return the character, or -1 if the text
 * does not start with one */
static int
decode_unreserved(const char *text)
{
	int high = text[0] == '%' ? hex_value(text[1]) : -1;
	int low = high >= 0 ? hex_value(text[2]) : -1;
	int c = high * 16 + low;

	if (low < 0 || (!isalnum(c) && (c == 0 || strchr("-._~", c) == NULL)))
		return -1;
	return c;
}

/* Paths with "." or ".." segments are rejected: a server may resolve them to a
 * path of another route. */
static int
ends_with_dot_segment(const char *path, size_t len)
{
	if (len >= 2 && path[len - 1] == '.' && path[len - 2] == '/')
		return 1;
	return len >= 3 && memcmp(path + len - 3, "/..", 3) == 0;
}

/* Copies the path without query and fragment and decodes unreserved characters.
 * @return 0, or -1 if the path cannot match any rule */
static int
normalize_path(char out[PATH_MAX_BYTES], const char *path)
{
	size_t len = 0;
	int c;

	if (path[0] != '/')
		return -1;
	while (*path != '\0' && *path != '?' && *path != '#') {
		if (len + 1 >= PATH_MAX_BYTES)
			return -1;
		if (*path == '/' && ends_with_dot_segment(out, len))
			return -1;
		if ((c = decode_unreserved(path)) >= 0) {
			out[len++] = (char)c;
			path += 3;
		} else {
			out[len++] = *path++;
		}
	}
	out[len] = '\0';
	return ends_with_dot_segment(out, len) ? -1 : 0;
}

static uint32_t
method_bit(const char *method)
{
	size_t i;

	for (i = 0; BG_METHOD_NAMES[i] != NULL; i++)
		if (strcmp(method, BG_METHOD_NAMES[i]) == 0)
			return 1U << i;
	return 0;
}

size_t
bg_prefix_bytes(const char *prefix)
{
	size_t bytes = strlen(prefix);

	return bytes > 0 && prefix[bytes - 1] == '/' ? bytes - 1 : bytes;
}

int
bg_rule_compare_key(const struct bg_rule *rule, const char *host,
    const char *path, size_t path_bytes)
{
	size_t bytes = bg_prefix_bytes(rule->prefix);
	int order = strcmp(rule->host, host);

	if (order == 0)
		order = memcmp(rule->prefix, path,
		    bytes < path_bytes ? bytes : path_bytes);
	if (order != 0)
		return order;
	return (bytes > path_bytes) - (bytes < path_bytes);
}

int
bg_rule_compare(const struct bg_rule *a, const struct bg_rule *b)
{
	int order = bg_rule_compare_key(
	    a, b->host, b->prefix, bg_prefix_bytes(b->prefix));

	return order != 0 ? order : strcmp(a->name, b->name);
}

int
bg_rule_conflicts(const struct bg_rule *a, const struct bg_rule *b)
{
	uint32_t all = ~0U;

	return bg_rule_compare_key(
		   a, b->host, b->prefix, bg_prefix_bytes(b->prefix)) == 0 &&
	    strlen(a->prefix) == strlen(b->prefix) &&
	    ((a->methods == 0 ? all : a->methods) &
		(b->methods == 0 ? all : b->methods)) != 0;
}

/* Index of the first rule whose key is not less than the given one. */
static size_t
lower_bound(const struct bg_snapshot *snap, const char *host, const char *path,
    size_t path_bytes)
{
	size_t low = 0;
	size_t high = snap->rule_count;
	size_t mid;

	while (low < high) {
		mid = low + (high - low) / 2;
		if (bg_rule_compare_key(
			&snap->rules[mid], host, path, path_bytes) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

struct lookup {
	const struct bg_snapshot *snap;
	const char *path;
	uint32_t method_bit; /* 0: unknown method */
	int is_path_matched; /* a rule matched, whatever its methods */
};

/* Finds a rule for the method whose prefix is the first path_bytes of the path,
 * apart from a trailing slash. */
static const struct bg_rule *
find_rule_of_prefix(struct lookup *lookup, const char *host, size_t path_bytes)
{
	const struct bg_snapshot *snap = lookup->snap;
	const struct bg_rule *rule;
	size_t i = lower_bound(snap, host, lookup->path, path_bytes);

	for (; i < snap->rule_count; i++) {
		rule = &snap->rules[i];
		if (bg_rule_compare_key(rule, host, lookup->path, path_bytes) !=
		    0)
			break;
		if (strlen(rule->prefix) > path_bytes &&
		    lookup->path[path_bytes] != '/')
			continue;
		lookup->is_path_matched = 1;
		if (rule->methods == 0 || (rule->methods & lookup->method_bit))
			return rule;
	}
	return NULL;
}

/* Tries the whole path, then each shorter part of it that ends before a slash.
 */
static const struct bg_rule *
find_longest_prefix(struct lookup *lookup, const char *host)
{
	const struct bg_rule *rule;
	size_t bytes = strlen(lookup->path);

	for (;;) {
		if ((rule = find_rule_of_prefix(lookup, host, bytes)) != NULL)
			return rule;
		if (bytes == 0)
			return NULL;
		while (bytes > 0 && lookup->path[--bytes] != '/')
			;
	}
}

int
bg_snapshot_route(const struct bg_rule **out, const struct bg_snapshot *snap,
    const char *host, const char *method, const char *path)
{
	char normalized[PATH_MAX_BYTES];
	struct lookup lookup = {snap, normalized, method_bit(method), 0};

	*out = NULL;
	if (normalize_path(normalized, path) != 0)
		return BG_ENOTFOUND;
	if (host[0] != '\0')
		*out = find_longest_prefix(&lookup, host);
	if (*out == NULL)
		*out = find_longest_prefix(&lookup, "");
	if (*out != NULL)
		return 0;
	return lookup.is_path_matched ? BG_EINVAL : BG_ENOTFOUND;
}
