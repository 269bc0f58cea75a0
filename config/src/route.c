#include <ctype.h>
#include <string.h>

#include "burdockgrade/snapshot.h"

#include "words.h"

/* Longer paths match no route; common servers stop at 8 KiB as well. */
#define PATH_MAX_BYTES 8192

static int
hex_value(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	c = (char)tolower((unsigned char)c);
	return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

/* Decodes "%2E" and the like where the character needs no escape, since a
 * server treats both spellings alike. @return the character or -1 */
static int
unescape(const char *at)
{
	int high = at[0] == '%' ? hex_value(at[1]) : -1;
	int low = high >= 0 ? hex_value(at[2]) : -1;
	int c = high * 16 + low;

	if (low < 0 || (!isalnum(c) && (c == 0 || strchr("-._~", c) == NULL)))
		return -1;
	return c;
}

/* A server may resolve these to a path of another route. */
static int
ends_dot_segment(const char *path, size_t len)
{
	if (len >= 2 && path[len - 1] == '.' && path[len - 2] == '/')
		return 1;
	return len >= 3 && memcmp(path + len - 3, "/..", 3) == 0;
}

/* Copies the path without query. @return 0, or -1 if it can match no route */
static int
normalize(char out[PATH_MAX_BYTES], const char *path)
{
	size_t len = 0;
	int c;

	if (path[0] != '/')
		return -1;
	while (*path != '\0' && *path != '?' && *path != '#') {
		if (len + 1 >= PATH_MAX_BYTES)
			return -1;
		if (*path == '/' && ends_dot_segment(out, len))
			return -1;
		if ((c = unescape(path)) >= 0) {
			out[len++] = (char)c;
			path += 3;
		} else {
			out[len++] = *path++;
		}
	}
	out[len] = '\0';
	return ends_dot_segment(out, len) ? -1 : 0;
}

static uint32_t
method_bit(const char *method)
{
	size_t i;

	for (i = 0; BG_METHOD_WORDS[i] != NULL; i++)
		if (strcmp(method, BG_METHOD_WORDS[i]) == 0)
			return 1U << i;
	return 0;
}

/* A prefix matches whole segments. @return its length, 0 without a match */
static size_t
match(const char *prefix, const char *path)
{
	size_t len = strlen(prefix);

	if (strncmp(prefix, path, len) != 0)
		return 0;
	if (len == 1 || path[len] == '\0' || path[len] == '/')
		return len;
	return 0;
}

int
bg_snapshot_route(const struct bg_service **out_service,
    const struct bg_route **out_route, const struct bg_snapshot *snap,
    const char *method, const char *path)
{
	const struct bg_route *rt;
	char clean[PATH_MAX_BYTES];
	uint32_t bit = method_bit(method);
	size_t best = 0;
	size_t len;
	size_t i;
	size_t j;
	int is_path_known = 0;

	*out_service = NULL;
	*out_route = NULL;
	if (normalize(clean, path) != 0)
		return BG_ENOTFOUND;
	for (i = 0; i < snap->service_count; i++) {
		for (j = 0; j < snap->services[i].contract.route_count; j++) {
			rt = &snap->services[i].contract.routes[j];
			len = match(rt->prefix, clean);
			is_path_known |= len > 0;
			if (len <= best || (rt->methods & bit) == 0)
				continue;
			best = len;
			*out_service = &snap->services[i];
			*out_route = rt;
		}
	}
	if (*out_route != NULL)
		return 0;
	return is_path_known ? BG_EINVAL : BG_ENOTFOUND;
}
