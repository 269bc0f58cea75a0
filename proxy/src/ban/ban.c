#include <stdio.h>
#include <stdlib.h>
#include <uthash.h>

#include "burdockgrade/error.h"

#include "ban.h"

#define KEY_BYTES (2 * BG_NAME_BYTES)

struct bg_ban {
	char key[KEY_BYTES];
	uint64_t generation;
	UT_hash_handle hh;
};

void
bg_bans_init(struct bg_bans *out)
{
	out->by_version = NULL;
}

void
bg_bans_free(struct bg_bans *bans)
{
	struct bg_ban *ban;
	struct bg_ban *tmp;

	HASH_ITER(hh, bans->by_version, ban, tmp)
	{
		HASH_DEL(bans->by_version, ban);
		free(ban);
	}
}

static struct bg_ban *
find(const struct bg_bans *bans, const char *service, const char *version)
{
	struct bg_ban *ban;
	char key[KEY_BYTES];

	snprintf(key, sizeof(key), "%s/%s", service, version);
	HASH_FIND_STR(bans->by_version, key, ban);
	return ban;
}

int
bg_bans_add(struct bg_bans *bans, const char *service, const char *version,
    uint64_t generation)
{
	struct bg_ban *ban = find(bans, service, version);

	if (ban == NULL) {
		if ((ban = calloc(1, sizeof(*ban))) == NULL)
			return BG_ENOMEM;
		snprintf(ban->key, sizeof(ban->key), "%s/%s", service, version);
		HASH_ADD_STR(bans->by_version, key, ban);
	}
	if (generation > ban->generation)
		ban->generation = generation;
	return 0;
}

int
bg_bans_has(const struct bg_bans *bans, const char *service,
    const char *version, uint64_t generation)
{
	const struct bg_ban *ban = find(bans, service, version);

	return ban != NULL && ban->generation >= generation;
}
