#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "retry.h"

#define PERMILLE 1000
/* Share of the budget that nodes use. The rest is a margin: their windows are
 * not aligned, they do not see at once that a node has left, and a gatekeeper
 * may retry a call on a new connection. */
#define USABLE_SHARE 0.9

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

/* Clears the buckets that have left the window. */
static void
advance_window(
    struct bg_retry_service *svc, uint32_t window_ms, uint64_t now_ms)
{
	uint64_t bucket = now_ms / (window_ms / BG_RETRY_BUCKETS);
	uint64_t b;

	if (bucket - svc->bucket >= BG_RETRY_BUCKETS) {
		memset(svc->calls, 0, sizeof(svc->calls));
		memset(svc->retries, 0, sizeof(svc->retries));
	} else {
		for (b = svc->bucket + 1; b <= bucket; b++) {
			svc->calls[b % BG_RETRY_BUCKETS] = 0;
			svc->retries[b % BG_RETRY_BUCKETS] = 0;
		}
	}
	svc->bucket = bucket;
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
	advance_window(svc, bud->settings.window_ms, now_ms);
	return svc;
}

void
bg_retry_count_call(
    struct bg_retry_budget *bud, const char *service, uint64_t now_ms)
{
	struct bg_retry_service *svc = find(bud, service, now_ms);

	if (svc != NULL)
		svc->calls[svc->bucket % BG_RETRY_BUCKETS]++;
}

void
bg_retry_count_repeat(
    struct bg_retry_budget *bud, const char *service, uint64_t now_ms)
{
	struct bg_retry_service *svc = find(bud, service, now_ms);

	if (svc != NULL)
		svc->retries[svc->bucket % BG_RETRY_BUCKETS]++;
}

int
bg_retry_take(struct bg_retry_budget *bud, const char *service, uint64_t now_ms)
{
	struct bg_retry_service *svc = find(bud, service, now_ms);
	uint64_t calls = 0;
	uint64_t retries = 0;
	uint64_t limit;
	int i;

	if (svc == NULL)
		return 0;
	for (i = 0; i < BG_RETRY_BUCKETS; i++) {
		calls += svc->calls[i];
		retries += svc->retries[i];
	}
	limit = calls * bud->settings.share_permille / PERMILLE +
	    bud->settings.slack / bud->nodes;
	if (retries >= limit * USABLE_SHARE)
		return 0;
	svc->retries[svc->bucket % BG_RETRY_BUCKETS]++;
	return 1;
}

int
bg_retry_is_permitted(const struct bg_retry_context *rc)
{
	if (rc->sent >= rc->attempts)
		return 0;
	if (rc->outcome == BG_XOUTCOME_NOT_RUN)
		return 1;
	/* Another server would make the same calls again, and each of them uses
	 * the budget of its service. */
	return rc->is_idempotent && !rc->is_dependency_failure &&
	    (rc->outcome == BG_XOUTCOME_UNKNOWN || rc->http_status >= 500);
}
