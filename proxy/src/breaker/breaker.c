#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "breaker.h"

#define KEY_BYTES (2 * BG_NAME_BYTES)

struct bg_ban {
	char key[KEY_BYTES];
	uint64_t generation;
	UT_hash_handle hh;
};

/* The last results of one version; bit i is 1 for a failure. */
struct window {
	uint32_t bits;
	uint32_t count;
};

struct bg_breaker_service {
	char service[BG_NAME_BYTES];
	uint64_t generation;
	struct window from;
	struct window to;
	UT_hash_handle hh;
};

void
bg_breaker_init(struct bg_breaker *out)
{
	memset(out, 0, sizeof(*out));
}

void
bg_breaker_free(struct bg_breaker *brk)
{
	struct bg_breaker_service *svc;
	struct bg_breaker_service *svc_tmp;
	struct bg_ban *ban;
	struct bg_ban *ban_tmp;

	HASH_ITER(hh, brk->bans, ban, ban_tmp)
	{
		HASH_DEL(brk->bans, ban);
		free(ban);
	}
	HASH_ITER(hh, brk->services, svc, svc_tmp)
	{
		HASH_DEL(brk->services, svc);
		free(svc);
	}
}

static struct bg_ban *
find_ban(const struct bg_breaker *brk, const char *service, const char *version)
{
	struct bg_ban *ban;
	char key[KEY_BYTES];

	snprintf(key, sizeof(key), "%s/%s", service, version);
	HASH_FIND_STR(brk->bans, key, ban);
	return ban;
}

int
bg_breaker_ban(struct bg_breaker *brk, const char *service, const char *version,
    uint64_t generation)
{
	struct bg_ban *ban = find_ban(brk, service, version);

	if (ban == NULL) {
		if ((ban = calloc(1, sizeof(*ban))) == NULL)
			return BG_ENOMEM;
		snprintf(ban->key, sizeof(ban->key), "%s/%s", service, version);
		HASH_ADD_STR(brk->bans, key, ban);
	}
	if (generation > ban->generation)
		ban->generation = generation;
	return 0;
}

int
bg_breaker_is_banned(const struct bg_breaker *brk, const char *service,
    const char *version, uint64_t generation)
{
	const struct bg_ban *ban = find_ban(brk, service, version);

	return ban != NULL && ban->generation >= generation;
}

static struct bg_breaker_service *
find_service(
    struct bg_breaker *brk, const char *service, const struct bg_move *move)
{
	struct bg_breaker_service *svc;

	HASH_FIND_STR(brk->services, service, svc);
	if (svc == NULL) {
		if ((svc = calloc(1, sizeof(*svc))) == NULL)
			return NULL;
		snprintf(svc->service, sizeof(svc->service), "%s", service);
		HASH_ADD_STR(brk->services, service, svc);
	}
	if (svc->generation != move->generation) {
		svc->generation = move->generation;
		memset(&svc->from, 0, sizeof(svc->from));
		memset(&svc->to, 0, sizeof(svc->to));
	}
	return svc;
}

static void
push(struct window *win, int is_failed)
{
	win->bits = (win->bits << 1 | (is_failed != 0)) &
	    ((1u << BG_BREAKER_WINDOW) - 1);
	if (win->count < BG_BREAKER_WINDOW)
		win->count++;
}

static int
failures(const struct window *win)
{
	return __builtin_popcount(win->bits);
}

int
bg_breaker_result(struct bg_breaker *brk, const char *service,
    const struct bg_move *move, const char *version, int is_failed)
{
	struct bg_breaker_service *svc;

	if (move->state != BG_MOVE_IN_PROGRESS && move->state != BG_MOVE_DONE)
		return 0;
	if ((svc = find_service(brk, service, move)) == NULL)
		return 0;
	if (strcmp(version, move->to) == 0)
		push(&svc->to, is_failed);
	else if (strcmp(version, move->from) == 0)
		push(&svc->from, is_failed);
	else
		return 0;
	if (failures(&svc->to) < BG_BREAKER_FAILURES || svc->from.count == 0 ||
	    failures(&svc->from) > BG_BREAKER_OLD_FAILURES ||
	    bg_breaker_is_banned(brk, service, move->to, move->generation))
		return 0;
	return bg_breaker_ban(brk, service, move->to, move->generation) == 0;
}
