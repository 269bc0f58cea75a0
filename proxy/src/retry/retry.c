#include <string.h>

#include "retry.h"

void
bg_retry_init(struct bg_retry_budget *out)
{
	memset(out, 0, sizeof(*out));
}

/* Clears the seconds that left the window. */
static void
advance(struct bg_retry_budget *bud, uint64_t now_ms)
{
	uint64_t second = now_ms / 1000;
	uint64_t s;

	if (second <= bud->second)
		return;
	if (second - bud->second >= BG_RETRY_WINDOW_S)
		bg_retry_init(bud);
	else {
		for (s = bud->second + 1; s <= second; s++) {
			bud->calls[s % BG_RETRY_WINDOW_S] = 0;
			bud->retries[s % BG_RETRY_WINDOW_S] = 0;
		}
	}
	bud->second = second;
}

void
bg_retry_call(struct bg_retry_budget *bud, uint64_t now_ms)
{
	advance(bud, now_ms);
	bud->calls[bud->second % BG_RETRY_WINDOW_S]++;
}

int
bg_retry_take(struct bg_retry_budget *bud, uint64_t now_ms)
{
	uint64_t calls = 0;
	uint64_t retries = 0;
	int i;

	advance(bud, now_ms);
	for (i = 0; i < BG_RETRY_WINDOW_S; i++) {
		calls += bud->calls[i];
		retries += bud->retries[i];
	}
	if (retries >= BG_RETRY_FLOOR + calls * BG_RETRY_PERMILLE / 1000)
		return 0;
	bud->retries[bud->second % BG_RETRY_WINDOW_S]++;
	return 1;
}

int
bg_retry_is_permitted(const struct bg_retry_case *rc)
{
	if (rc->depth > 0 || rc->attempt >= BG_RETRY_ATTEMPTS)
		return 0;
	if (rc->outcome == BG_XOUTCOME_NOT_RUN)
		return 1;
	if (!rc->is_idempotent)
		return 0;
	/* 500 is the application's own answer; these come from a server that
	 * sheds, drains or lost something that it depends on. */
	return rc->outcome == BG_XOUTCOME_UNKNOWN || rc->http_status == 502 ||
	    rc->http_status == 503 || rc->http_status == 504;
}
