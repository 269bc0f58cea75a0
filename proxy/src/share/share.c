#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "share.h"

#define KEY_BYTES (2 * BG_NAME_BYTES)
#define PERMILLE 1000

struct bg_share_entry {
	char key[KEY_BYTES];
	uint64_t generation;
	uint32_t permille;
	uint64_t total;
	uint64_t sent_new;
	UT_hash_handle hh;
};

void
bg_share_init(struct bg_share *out)
{
	out->entries = NULL;
}

void
bg_share_free(struct bg_share *shr)
{
	struct bg_share_entry *e;
	struct bg_share_entry *tmp;

	HASH_ITER(hh, shr->entries, e, tmp)
	{
		HASH_DEL(shr->entries, e);
		free(e);
	}
}

static struct bg_share_entry *
find(const struct bg_share *shr, const char *service, const char *route)
{
	struct bg_share_entry *e;
	char key[KEY_BYTES];

	snprintf(key, sizeof(key), "%s/%s", service, route);
	HASH_FIND_STR(shr->entries, key, e);
	return e;
}

static int
is_current(const struct bg_share_entry *e, const struct bg_move *move)
{
	return e != NULL && e->generation == move->generation &&
	    e->permille == move->share_permille;
}

int
bg_share_allows(const struct bg_share *shr, const char *service,
    const struct bg_rule *route, const struct bg_move *move)
{
	const struct bg_share_entry *e = find(shr, service, route->name);
	uint64_t total = 0;
	uint64_t sent_new = 0;

	if (!route->is_idempotent &&
	    move->share_permille < BG_SHARE_NON_IDEMPOTENT_PERMILLE)
		return 0;
	if (is_current(e, move)) {
		total = e->total;
		sent_new = e->sent_new;
	}
	return (sent_new + 1) * PERMILLE <= (total + 1) * move->share_permille;
}

int
bg_share_count(struct bg_share *shr, const char *service,
    const struct bg_rule *route, const struct bg_move *move, int is_new)
{
	struct bg_share_entry *e = find(shr, service, route->name);

	if (e == NULL) {
		if ((e = calloc(1, sizeof(*e))) == NULL)
			return BG_ENOMEM;
		snprintf(e->key, sizeof(e->key), "%s/%s", service, route->name);
		HASH_ADD_STR(shr->entries, key, e);
	}
	/* The counts restart at each step, since a higher share would otherwise
	 * cause a burst to the new version. The cap over the whole move still
	 * holds: shares only rise within a generation. */
	if (!is_current(e, move)) {
		e->generation = move->generation;
		e->permille = move->share_permille;
		e->total = 0;
		e->sent_new = 0;
	}
	e->total++;
	e->sent_new += is_new != 0;
	return 0;
}
