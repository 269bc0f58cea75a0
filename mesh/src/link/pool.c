#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/link.h"

/* A peer that refused is not tried again within this time. */
#define RECONNECT_MS 100

struct slot {
	struct bg_link_pool *pool;
	struct bg_link *link;
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
on_close(void *arg)
{
	struct slot *slot = arg;
	struct bg_link *link = slot->link;

	slot->link = NULL;
	slot->closed_ms = bg_clock_now_ms();
	bg_link_free(link);
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
		HASH_DEL(pool->slots, slot);
		bg_link_free(slot->link);
		free(slot);
	}
	free(pool);
}

int
bg_link_pool_get(struct bg_link **out, struct bg_link_pool *pool,
    const char *address, struct bg_error *err)
{
	struct slot *slot;
	int error;

	HASH_FIND_STR(pool->slots, address, slot);
	if (slot == NULL) {
		if ((slot = calloc(1, sizeof(*slot))) == NULL)
			return BG_ENOMEM;
		slot->pool = pool;
		snprintf(slot->address, sizeof(slot->address), "%s", address);
		HASH_ADD_STR(pool->slots, address, slot);
	}
	if (slot->link == NULL) {
		if (slot->closed_ms != 0 &&
		    bg_clock_now_ms() - slot->closed_ms < RECONNECT_MS)
			return bg_error_set(err, BG_EUNAVAILABLE, "connect",
			    address, "closed moments ago");
		error = bg_link_init(&slot->link, pool->base, address,
		    &pool->options, on_close, slot, err);
		if (error != 0)
			return error;
	}
	*out = slot->link;
	return 0;
}

void
bg_link_pool_drop(struct bg_link_pool *pool, const char *address)
{
	struct slot *slot;

	HASH_FIND_STR(pool->slots, address, slot);
	if (slot == NULL)
		return;
	HASH_DEL(pool->slots, slot);
	bg_link_free(slot->link);
	free(slot);
}
