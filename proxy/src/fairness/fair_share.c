#include <stddef.h>
#include <string.h>
#include <xxhash.h>

#include "fair_share.h"

static uint32_t
level_of(uint32_t priority)
{
	return priority < BG_FAIR_LEVELS_MAX ? priority
					     : BG_FAIR_LEVELS_MAX - 1;
}

/* 0 marks a flow that is not in use. */
static uint64_t
key_of(const char *organisation)
{
	return XXH3_64bits(organisation, strlen(organisation)) | 1;
}

static int
is_idle(const struct bg_fair_share *fair, const struct bg_fair_flow *flow)
{
	return flow->key == 0 ||
	    (flow->queued == 0 &&
		flow->finish_us <= fair->virtual_us[flow->level]);
}

static struct bg_fair_flow *
find(struct bg_fair_share *fair, uint64_t key, uint32_t level)
{
	size_t i;

	for (i = 0; i < BG_FAIR_FLOWS_MAX; i++) {
		if (fair->flows[i].key == key && fair->flows[i].level == level)
			return &fair->flows[i];
	}
	return NULL;
}

/* Flow of an organisation while all are active: as in stochastic fair queueing,
 * it shares that of another one, of the same level. */
static struct bg_fair_flow *
shared_flow(struct bg_fair_share *fair, uint64_t key, uint32_t level)
{
	struct bg_fair_flow *flow;
	size_t i;

	for (i = 0; i < BG_FAIR_FLOWS_MAX; i++) {
		flow = &fair->flows[((key >> 1) + i) % BG_FAIR_FLOWS_MAX];
		if (flow->level == level)
			return flow;
	}
	fair->shared[level].level = level;
	return &fair->shared[level];
}

struct bg_fair_flow *
bg_fair_share_flow(
    struct bg_fair_share *fair, const char *organisation, uint32_t priority)
{
	uint64_t key = key_of(organisation);
	uint32_t level = level_of(priority);
	struct bg_fair_flow *flow = find(fair, key, level);
	size_t i;

	if (flow != NULL)
		return flow;
	for (i = 0; i < BG_FAIR_FLOWS_MAX; i++) {
		flow = &fair->flows[i];
		if (!is_idle(fair, flow))
			continue;
		memset(flow, 0, sizeof(*flow));
		flow->key = key;
		flow->level = level;
		return flow;
	}
	return shared_flow(fair, key, level);
}

uint64_t
bg_fair_share_start_us(
    const struct bg_fair_share *fair, const struct bg_fair_flow *flow)
{
	uint64_t virtual_us = fair->virtual_us[flow->level];

	return flow->finish_us > virtual_us ? flow->finish_us : virtual_us;
}

void
bg_fair_share_charge(
    struct bg_fair_share *fair, struct bg_fair_flow *flow, uint64_t cost_us)
{
	uint64_t start_us = bg_fair_share_start_us(fair, flow);

	fair->virtual_us[flow->level] = start_us;
	flow->finish_us = start_us + cost_us;
}

void
bg_fair_share_settle(struct bg_fair_share *fair, const char *organisation,
    uint32_t priority, uint64_t charged_us, uint64_t took_us)
{
	struct bg_fair_flow *flow =
	    find(fair, key_of(organisation), level_of(priority));

	/* Without state, the organisation has fallen behind its share, and is
	 * owed nothing. */
	if (flow == NULL)
		return;
	flow->finish_us += took_us;
	flow->finish_us -=
	    charged_us < flow->finish_us ? charged_us : flow->finish_us;
}
