#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "burdockgrade/error.h"

#include "version.h"

struct bg_version_service {
	char service[BG_NAME_BYTES];
	struct bg_move move;
	UT_hash_handle hh;
};

void
bg_versions_init(struct bg_versions *out)
{
	out->services = NULL;
	bg_share_init(&out->share);
	bg_bans_init(&out->bans);
}

void
bg_versions_free(struct bg_versions *vs)
{
	struct bg_version_service *svc;
	struct bg_version_service *tmp;

	HASH_ITER(hh, vs->services, svc, tmp)
	{
		HASH_DEL(vs->services, svc);
		free(svc);
	}
	bg_share_free(&vs->share);
	bg_bans_free(&vs->bans);
}

static struct bg_version_service *
find(const struct bg_versions *vs, const char *service)
{
	struct bg_version_service *svc;

	HASH_FIND_STR(vs->services, service, svc);
	return svc;
}

int
bg_versions_set_move(
    struct bg_versions *vs, const char *service, const struct bg_move *move)
{
	struct bg_version_service *svc = find(vs, service);

	if (svc == NULL) {
		if ((svc = calloc(1, sizeof(*svc))) == NULL)
			return BG_ENOMEM;
		snprintf(svc->service, sizeof(svc->service), "%s", service);
		HASH_ADD_STR(vs->services, service, svc);
	}
	svc->move = *move;
	return 0;
}

const struct bg_move *
bg_versions_get_move(const struct bg_versions *vs, const char *service)
{
	const struct bg_version_service *svc = find(vs, service);

	return svc == NULL ? NULL : &svc->move;
}

static int
is_banned(const struct bg_versions *vs, const char *service,
    const struct bg_move *move)
{
	return bg_bans_has(&vs->bans, service, move->to, move->generation);
}

static void
choose_new(struct bg_version_choice *out, const struct bg_move *move)
{
	memset(out, 0, sizeof(*out));
	out->only = move->to;
	out->is_new = 1;
	out->move = move;
}

static void
choose_old(struct bg_version_choice *out, const struct bg_move *move)
{
	memset(out, 0, sizeof(*out));
	out->except = move->to;
}

void
bg_versions_choose(struct bg_version_choice *out, const struct bg_versions *vs,
    const char *service, const struct bg_rule *rule)
{
	const struct bg_move *move = bg_versions_get_move(vs, service);

	memset(out, 0, sizeof(*out));
	if (move == NULL || move->state == BG_MOVE_NONE)
		return;
	if (move->state != BG_MOVE_ROLLED_BACK &&
	    !is_banned(vs, service, move) &&
	    (move->state == BG_MOVE_DONE ||
		bg_share_allows(&vs->share, service, rule, move)))
		choose_new(out, move);
	else
		choose_old(out, move);
}

int
bg_versions_choose_fallback(struct bg_version_choice *out,
    const struct bg_versions *vs, const char *service,
    const struct bg_version_choice *primary)
{
	const struct bg_move *move = bg_versions_get_move(vs, service);

	if (move == NULL || move->state == BG_MOVE_NONE)
		return BG_ENOTFOUND;
	if (primary->is_new) {
		choose_old(out, move);
		return 0;
	}
	/* A version found bad gets no calls, even if no server of another
	 * version can take them. */
	if (move->state == BG_MOVE_ROLLED_BACK || is_banned(vs, service, move))
		return BG_ENOTFOUND;
	choose_new(out, move);
	return 0;
}

void
bg_versions_sent(struct bg_versions *vs, const char *service,
    const struct bg_rule *rule, const char *server_version)
{
	const struct bg_move *move = bg_versions_get_move(vs, service);

	if (move == NULL || move->state != BG_MOVE_IN_PROGRESS)
		return;
	/* If memory is exhausted, the call is not counted. The cap holds all
	 * the same: without counts, bg_share_allows() lets a call go to the new
	 * version only at a share of 1000 permille. */
	(void)bg_share_count(&vs->share, service, rule, move,
	    strcmp(server_version, move->to) == 0);
}
