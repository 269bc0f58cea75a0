#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "retry.h"

#define PERMILLE 1000
/* Part of the budget that nodes spend: their windows are not the same, they do
 * not see each other leave at once, and a gatekeeper repeats a call on a new
 * connection. */
#define SPENT_SHARE 0.9

void
bg_retry_init(
    struct bg_retry_budget *out, const struct bg_retry_settings *settings)
{
	memset(out, 0, sizeof(*out));
	out->settings = *settings;
	out->nodes = 1;
}

void
bg_retry_free(struct bg_retry_budget *bud)
{
	struct bg_retry_service *svc;
	struct bg_retry_service *tmp;

	HASH_ITER(hh, bud->services, svc, tmp)
	{
		HASH_DEL(bud->services, svc);
		free(svc);
	}
}

void
bg_retry_set_nodes(struct bg_retry_budget *bud, uint32_t nodes)
{
	bud->nodes = nodes == 0 ? 1 : nodes;
}

/* Clears the parts that left the window. */
static void
advance(struct bg_retry_service *svc, uint32_t window_ms, uint64_t now_ms)
{
	uint64_t part = now_ms / (window_ms / BG_RETRY_PARTS);
	uint64_t p;

	if (part - svc->part >= BG_RETRY_PARTS) {
		memset(svc->calls, 0, sizeof(svc->calls));
		memset(svc->repeats, 0, sizeof(svc->repeats));
	} else {
		for (p = svc->part + 1; p <= part; p++) {
			svc->calls[p % BG_RETRY_PARTS] = 0;
			svc->repeats[p % BG_RETRY_PARTS] = 0;
		}
	}
	svc->part = part;
}

static struct bg_retry_service *
find(struct bg_retry_budget *bud, const char *service, uint64_t now_ms)
{
	struct bg_retry_service *svc;

	HASH_FIND_STR(bud->services, service, svc);
	if (svc == NULL) {
		if ((svc = calloc(1, sizeof(*svc))) == NULL)
			return NULL;
		snprintf(svc->service, sizeof(svc->service), "%s", service);
		HASH_ADD_STR(bud->services, service, svc);
	}
	advance(svc, bud->settings.window_ms, now_ms);
	return svc;
}

void
bg_retry_call(struct bg_retry_budget *bud, const char *service, uint64_t now_ms)
{
	struct bg_retry_service *svc = find(bud, service, now_ms);

	if (svc != NULL)
		svc->calls[svc->part % BG_RETRY_PARTS]++;
}

int
bg_retry_take(struct bg_retry_budget *bud, const char *service, uint64_t now_ms)
{
	struct bg_retry_service *svc = find(bud, service, now_ms);
	uint64_t calls = 0;
	uint64_t repeats = 0;
	uint64_t limit;
	int i;

	if (svc == NULL)
		return 0;
	for (i = 0; i < BG_RETRY_PARTS; i++) {
		calls += svc->calls[i];
		repeats += svc->repeats[i];
	}
	limit = calls * bud->settings.share_permille / PERMILLE +
	    bud->settings.slack / bud->nodes;
	if (repeats >= limit * SPENT_SHARE)
		return 0;
	svc->repeats[svc->part % BG_RETRY_PARTS]++;
	return 1;
}

int
bg_retry_is_permitted(const struct bg_retry_case *rc)
{
	if (rc->sent >= rc->attempts)
		return 0;
	if (rc->outcome == BG_XOUTCOME_NOT_RUN)
		return 1;
	return rc->is_idempotent &&
	    (rc->outcome == BG_XOUTCOME_UNKNOWN || rc->http_status >= 500);
}
