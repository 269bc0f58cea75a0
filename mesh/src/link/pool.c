#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/link.h"

/* No link to a peer is opened for this long after one failed or was closed. */
#define RECONNECT_DELAY_MS 100
/* Limit of suspect links to one peer that are kept for their pending calls. */
#define RETIRED_MAX 2

struct pooled_link {
	struct pool_peer *peer;
	struct bg_link *link;
	struct pooled_link *next; /* in the list of retired links */
};

struct pool_peer {
	struct pooled_link *current; /* for new calls; NULL: none */
	struct pooled_link *retired; /* suspect; kept for pending calls */
	uint64_t last_closed_ms;     /* close of a current link; 0: none */
	char address[BG_ADDRESS_BYTES];
	UT_hash_handle hh;
};

struct bg_link_pool {
	struct event_base *base;
	struct bg_link_options options;
	struct pool_peer *peers;
	char local_ip[BG_ADDRESS_BYTES];
};

static void
pooled_link_free(struct pooled_link *pl)
{
	bg_link_free(pl->link);
	free(pl);
}

static void
on_close(void *arg)
{
	struct pooled_link *pl = arg;
	struct pool_peer *peer = pl->peer;
	struct pooled_link **pp = &peer->retired;

	if (peer->current == pl) {
		peer->current = NULL;
		peer->last_closed_ms = bg_clock_now_ms();
	} else {
		while (*pp != pl)
			pp = &(*pp)->next;
		*pp = pl->next;
	}
	pooled_link_free(pl);
}

static void
pool_peer_free(struct bg_link_pool *pool, struct pool_peer *peer)
{
	struct pooled_link *pl;

	HASH_DEL(pool->peers, peer);
	while ((pl = peer->retired) != NULL) {
		peer->retired = pl->next;
		pooled_link_free(pl);
	}
	if (peer->current != NULL)
		pooled_link_free(peer->current);
	free(peer);
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
	struct pool_peer *peer;
	struct pool_peer *tmp;

	if (pool == NULL)
		return;
	HASH_ITER(hh, pool->peers, peer, tmp)
	{
		pool_peer_free(pool, peer);
	}
	free(pool);
}

static struct pool_peer *
find_or_add_peer(struct bg_link_pool *pool, const char *address)
{
	struct pool_peer *peer;

	HASH_FIND_STR(pool->peers, address, peer);
	if (peer != NULL || (peer = calloc(1, sizeof(*peer))) == NULL)
		return peer;
	snprintf(peer->address, sizeof(peer->address), "%s", address);
	HASH_ADD_STR(pool->peers, address, peer);
	return peer;
}

/* Closes retired links without pending calls. @return number of links left */
static int
prune_retired(struct pool_peer *peer)
{
	struct pooled_link **pp = &peer->retired;
	struct pooled_link *pl;
	int count = 0;

	while ((pl = *pp) != NULL) {
		if (bg_link_has_pending_calls(pl->link)) {
			pp = &pl->next;
			count++;
		} else {
			*pp = pl->next;
			pooled_link_free(pl);
		}
	}
	return count;
}

/* Retires the current link if it is suspect: the network can drop the state of
 * one connection while new ones work. The calls on the link may still be
 * answered, so it is kept until they end. With RETIRED_MAX retired links, the
 * suspect link stays current. */
static void
retire_suspect(struct pool_peer *peer)
{
	struct pooled_link *pl = peer->current;

	if (pl == NULL || !bg_link_is_suspect(pl->link) ||
	    prune_retired(peer) >= RETIRED_MAX)
		return;
	peer->current = NULL;
	pl->next = peer->retired;
	peer->retired = pl;
}

static int
open_link(struct pooled_link **out, struct bg_link_pool *pool,
    struct pool_peer *peer, struct bg_error *err)
{
	struct pooled_link *pl;
	int error;

	if (peer->last_closed_ms != 0 &&
	    bg_clock_now_ms() - peer->last_closed_ms < RECONNECT_DELAY_MS) {
		bg_error_set(err, BG_EUNAVAILABLE, "connect", peer->address,
		    "connection closed recently; reconnect delay has not "
		    "elapsed");
		return BG_EUNAVAILABLE;
	}
	if ((pl = calloc(1, sizeof(*pl))) == NULL)
		return BG_ENOMEM;
	pl->peer = peer;
	error = bg_link_init(&pl->link, pool->base, peer->address,
	    &pool->options, on_close, pl, err);
	if (error != 0) {
		free(pl);
		return error;
	}
	*out = pl;
	return 0;
}

int
bg_link_pool_get(struct bg_link **out, struct bg_link_pool *pool,
    const char *address, struct bg_error *err)
{
	struct pool_peer *peer = find_or_add_peer(pool, address);
	struct pooled_link *pl;
	int error;

	if (peer == NULL)
		return BG_ENOMEM;
	retire_suspect(peer);
	if ((pl = peer->current) == NULL) {
		if ((error = open_link(&pl, pool, peer, err)) != 0)
			return error;
		peer->current = pl;
	}
	*out = pl->link;
	return 0;
}

void
bg_link_pool_remove(struct bg_link_pool *pool, const char *address)
{
	struct pool_peer *peer;

	HASH_FIND_STR(pool->peers, address, peer);
	if (peer != NULL)
		pool_peer_free(pool, peer);
}
