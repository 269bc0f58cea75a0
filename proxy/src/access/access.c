#include <string.h>

#include "burdockgrade/counter.h"

#include "access.h"

#define REFUSED "burdock_access_refused_total"
#define HELP "Calls that were refused for want of a valid key."

static struct bg_counter counters[BG_ACCESS_COUNT] = {
    BG_COUNTER(REFUSED "{reason=\"none\"}", HELP),
    BG_COUNTER(REFUSED "{reason=\"no-key\"}", HELP),
    BG_COUNTER(REFUSED "{reason=\"unknown-key\"}", HELP),
    BG_COUNTER(REFUSED "{reason=\"several-keys\"}", HELP),
    BG_COUNTER(REFUSED "{reason=\"no-parent\"}", HELP),
};

static const char *const TEXTS[BG_ACCESS_COUNT] = {
    "granted",
    "the route needs a key, and the request has none",
    "no organisation has this key",
    "the request has several different keys",
    "the call has no key, and the request that made it is not running",
};

void
bg_caller_add_key(struct bg_caller *caller, const char *key)
{
	if (caller->key == NULL)
		caller->key = key;
	else if (strcmp(caller->key, key) != 0)
		caller->is_contradicted = 1;
}

enum bg_origin
bg_access_origin(const char *request_id, int extends_running)
{
	if (extends_running)
		return BG_ORIGIN_SERVER;
	return strchr(request_id, '.') == NULL ? BG_ORIGIN_CUSTOMER
					       : BG_ORIGIN_ENDED;
}

static enum bg_access
decide_without_key(enum bg_origin origin)
{
	switch (origin) {
	case BG_ORIGIN_SERVER:
		return BG_ACCESS_GRANTED;
	case BG_ORIGIN_ENDED:
		return BG_ACCESS_NO_PARENT;
	default:
		return BG_ACCESS_NO_KEY;
	}
}

enum bg_access
bg_access_decide(const struct bg_organisation **out,
    const struct bg_snapshot *snap, const struct bg_rule *rule,
    const struct bg_caller *caller)
{
	*out = NULL;
	if (snap->organisation_set == NULL || rule->is_public)
		return BG_ACCESS_GRANTED;
	if (caller->is_contradicted)
		return BG_ACCESS_SEVERAL_KEYS;
	if (caller->key == NULL || caller->key[0] == '\0')
		return decide_without_key(caller->origin);
	*out = bg_organisations_find(snap->organisation_set, caller->key);
	return *out == NULL ? BG_ACCESS_UNKNOWN_KEY : BG_ACCESS_GRANTED;
}

uint32_t
bg_access_priority(
    const struct bg_organisation *org, const struct bg_rule *rule)
{
	return org != NULL && org->has_priority ? org->priority
						: rule->priority;
}

const char *
bg_access_text(enum bg_access access)
{
	return TEXTS[access];
}

void
bg_access_count(enum bg_access access)
{
	bg_counter_add(&counters[access], 1);
}
