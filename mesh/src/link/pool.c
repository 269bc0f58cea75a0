#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/link.h"

/* A peer that refused is not tried again within this time. */
#define RECONNECT_MS 100
/* Links to one peer that went silent and whose calls still wait. */
#define RETIRED_MAX 2

/* A link of the pool. */
struct pooled {
	struct slot *slot;
	struct bg_link *link;
	struct pooled *next; /* among the retired ones */
};

struct slot {
	struct pooled *current; /* for new calls; NULL: none */
	struct pooled *retired; /* went silent; their calls may be answered */
	uint64_t closed_ms;
	char address[BG_ADDRESS_BYTES];
	UT_hash_handle hh;
};

struct bg_link_pool {
	struct event_base *base;
	struct bg_link_options options;
	struct slot *slots;
	char local_ip[BG_ADDRESS_BYTES];
};

static void
pooled_free(struct pooled *pld)
{
	bg_link_free(pld->link);
	free(pld);
}

static void
on_close(void *arg)
{
	struct pooled *pld = arg;
	struct slot *slot = pld->slot;
	struct pooled **at = &slot->retired;

	if (slot->current == pld) {
		slot->current = NULL;
		slot->closed_ms = bg_clock_now_ms();
	} else {
		while (*at != pld)
			at = &(*at)->next;
		*at = pld->next;
	}
	pooled_free(pld);
}

static void
slot_free(struct bg_link_pool *pool, struct slot *slot)
{
	struct pooled *pld;

	HASH_DEL(pool->slots, slot);
	while ((pld = slot->retired) != NULL) {
		slot->retired = pld->next;
		pooled_free(pld);
	}
	if (slot->current != NULL)
		pooled_free(slot->current);
	free(slot);
}

int
bg_link_pool_init(struct bg_link_pool **out, struct event_base *base,
    const struct bg_link_options *opts)
{
	struct bg_link_pool *pool;

	if ((pool = calloc(1, sizeof(*pool))) == NULL)
		return BG_ENOMEM;
	pool->base = base;
	pool->options = *opts;
	if (opts->local_ip != NULL) {
		snprintf(pool->local_ip, sizeof(pool->local_ip), "%s",
		    opts->local_ip);
		pool->options.local_ip = pool->local_ip;
	}
	*out = pool;
	return 0;
}

void
bg_link_pool_free(struct bg_link_pool *pool)
{
	struct slot *slot;
	struct slot *tmp;

	if (pool == NULL)
		return;
	HASH_ITER(hh, pool->slots, slot, tmp)
	{
		slot_free(pool, slot);
	}
	free(pool);
}

static struct slot *
find_or_add(struct bg_link_pool *pool, const char *address)
{
	struct slot *slot;

	HASH_FIND_STR(pool->slots, address, slot);
	if (slot != NULL || (slot = calloc(1, sizeof(*slot))) == NULL)
		return slot;
	snprintf(slot->address, sizeof(slot->address), "%s", address);
	HASH_ADD_STR(pool->slots, address, slot);
	return slot;
}

/* Closes retired links whose calls have all ended. @return those left */
static int
sweep_retired(struct slot *slot)
{
	struct pooled **at = &slot->retired;
	struct pooled *pld;
	int count = 0;

	while ((pld = *at) != NULL) {
		if (bg_link_has_pending_calls(pld->link)) {
			at = &pld->next;
			count++;
		} else {
			*at = pld->next;
			pooled_free(pld);
		}
	}
	return count;
}

/* A network may have forgotten a connection while new ones work. The calls on
 * it may still be answered, so it is kept until they end. */
static void
retire_silent(struct slot *slot)
{
	struct pooled *pld = slot->current;

	if (pld == NULL || !bg_link_is_suspect(pld->link) ||
	    sweep_retired(slot) >= RETIRED_MAX)
		return;
	slot->current = NULL;
	pld->next = slot->retired;
	slot->retired = pld;
}

static int
open_link(struct pooled **out, struct bg_link_pool *pool, struct slot *slot,
    struct bg_error *err)
{
	struct pooled *pld;
	int error;

	if (slot->closed_ms != 0 &&
	    bg_clock_now_ms() - slot->closed_ms < RECONNECT_MS) {
		bg_error_set(err, BG_EUNAVAILABLE, "connect", slot->address,
		    "closed moments ago");
		return BG_EUNAVAILABLE;
	}
	if ((pld = calloc(1, sizeof(*pld))) == NULL)
		return BG_ENOMEM;
	pld->slot = slot;
	error = bg_link_init(&pld->link, pool->base, slot->address,
	    &pool->options, on_close, pld, err);
	if (error != 0) {
		free(pld);
		return error;
	}
	*out = pld;
	return 0;
}

int
bg_link_pool_get(struct bg_link **out, struct bg_link_pool *pool,
    const char *address, struct bg_error *err)
{
	struct slot *slot = find_or_add(pool, address);
	struct pooled *pld;
	int error;

	if (slot == NULL)
		return BG_ENOMEM;
	retire_silent(slot);
	if ((pld = slot->current) == NULL) {
		if ((error = open_link(&pld, pool, slot, err)) != 0)
			return error;
		slot->current = pld;
	}
	*out = pld->link;
	return 0;
}

void
bg_link_pool_remove(struct bg_link_pool *pool, const char *address)
{
	struct slot *slot;

	HASH_FIND_STR(pool->slots, address, slot);
	if (slot != NULL)
		slot_free(pool, slot);
}
