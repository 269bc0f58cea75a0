#include <stdio.h>
#include <string.h>

#include "burdockgrade/snapshot.h"

int
bg_move_is_same_step(const struct bg_move *a, const struct bg_move *b)
{
	return a->generation == b->generation && a->state == b->state &&
	    a->step == b->step && a->share_permille == b->share_permille &&
	    strcmp(a->to, b->to) == 0;
}

const char *
bg_move_serving_version(const struct bg_move *move)
{
	return move->state == BG_MOVE_DONE ? move->to : move->from;
}

/* Looks up a version in a list separated by spaces. */
static int
contains_version(const char *list, const char *version)
{
	size_t bytes = strlen(version);
	const char *at;

	if (bytes == 0)
		return 0;
	for (at = strstr(list, version); at != NULL;
	     at = strstr(at + 1, version)) {
		if ((at == list || at[-1] == ' ') &&
		    (at[bytes] == ' ' || at[bytes] == '\0'))
			return 1;
	}
	return 0;
}

/* Appends a version that the list lacks; drops the oldest ones if needed. */
static void
append_version(char list[BG_RETIRED_BYTES], const char *version)
{
	char joined[BG_RETIRED_BYTES + BG_NAME_BYTES];
	const char *kept = joined;

	if (version[0] == '\0' || contains_version(list, version))
		return;
	snprintf(joined, sizeof(joined), "%s%s%s", list,
	    list[0] == '\0' ? "" : " ", version);
	while (strlen(kept) >= BG_RETIRED_BYTES)
		kept = strchr(kept, ' ') + 1;
	snprintf(list, BG_RETIRED_BYTES, "%s", kept);
}

void
bg_move_retire_versions(struct bg_move *next, const struct bg_move *last)
{
	snprintf(next->retired, sizeof(next->retired), "%s", last->retired);
	append_version(next->retired, last->from);
	append_version(next->retired, last->to);
}

int
bg_move_is_retired(const struct bg_move *move, const char *server_version)
{
	return strcmp(server_version, move->from) == 0 ||
	    strcmp(server_version, move->to) == 0 ||
	    contains_version(move->retired, server_version);
}
