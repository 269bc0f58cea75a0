/* Anti-entropy: periodic comparison of the table with peers. While the store is
 * reachable, all tables are equal and a round costs one small exchange. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/log.h"

#include "mesh/codec.h"
#include "mesh/gossip_items.h"
#include "mesh/internal.h"

/* Interval of rounds, and the random time added to it. */
#define ROUND_MS 1000
#define ROUND_SPREAD_MS 200
/* Time limit of one exchange. */
#define SYNC_TIMEOUT_MS 1000
/* Peers to which a change is pushed immediately. A peer that cannot reach the
 * store forwards it to as many. */
#define PUSH_PEERS 4
/* On average, one round in this many goes to another data centre, because
 * traffic between data centres costs money. */
#define REMOTE_ROUND_INTERVAL 4
/* A version installed more recently than this is not sent to a peer, which
 * reads it from the store at about the same time. */
#define CONFIG_SETTLED_MS 500
static struct bg_counter rounds =
    BG_COUNTER("burdock_gossip_rounds_total", "Comparisons begun with a peer.");
static struct bg_counter repairs = BG_COUNTER(
    "burdock_gossip_repairs_total", "Comparisons that found a difference.");
static struct bg_counter received =
    BG_COUNTER("burdock_gossip_items_total", "Items that a peer knew first.");

/* An exchange in progress. */
struct exchange {
	struct bg_gossip *gossip;
	struct exchange *prev;
	struct exchange *next;
	uint64_t bucket_mask;  /* buckets sent; 0: root digests or a push */
	uint64_t own_seq;      /* last announcement of this node that the peer
				  has after it; 0: none */
	int is_round;	       /* a comparison, not a push */
	int is_without_config; /* the peer sends no configuration */
	char peer[BG_ADDRESS_BYTES];
};

struct bg_gossip {
	struct bg_mesh *mesh;
	struct event *timer;
	struct exchange *exchanges;
	struct bg_config_cache config;
};

static void on_sync(void *arg, int code, void *res);

static int
is_config_settled(const struct bg_mesh *mesh)
{
	return bg_clock_now_ms() - mesh->installed_ms >= CONFIG_SETTLED_MS;
}

static void
exchange_free(struct exchange *xch)
{
	if (xch->prev != NULL)
		xch->prev->next = xch->next;
	else
		xch->gossip->exchanges = xch->next;
	if (xch->next != NULL)
		xch->next->prev = xch->prev;
	free(xch);
}

static struct exchange *
exchange_new(struct bg_gossip *gsp, const char *peer)
{
	struct exchange *xch;

	if ((xch = calloc(1, sizeof(*xch))) == NULL)
		return NULL;
	xch->gossip = gsp;
	snprintf(xch->peer, sizeof(xch->peer), "%s", peer);
	xch->next = gsp->exchanges;
	if (xch->next != NULL)
		xch->next->prev = xch;
	gsp->exchanges = xch;
	return xch;
}

int
bg_gossip_pack_config(struct bg_packed *out, struct bg_gossip *gsp)
{
	return bg_config_cache_pack(out, &gsp->config, gsp->mesh->table);
}

int
bg_gossip_merge(
    struct bg_gossip *gsp, const struct bg_packed *packed, const char *peer)
{
	struct bg_xitems items;
	int changed;

	changed = bg_items_unpack(&items, packed);
	if (changed == 0)
		changed = bg_table_merge_list(gsp->mesh->table, &items);
	xdr_free((xdrproc_t)xdr_bg_xitems, (char *)&items);
	if (changed < 0)
		bg_log_warn("gossip", "items refused peer=%s code=%s", peer,
		    bg_error_name(changed));
	if (changed > 0) {
		bg_counter_add(&received, changed);
		bg_mesh_schedule_update(gsp->mesh);
	}
	return changed;
}

static int
send_sync(
    struct exchange *xch, struct bg_xsync_args *args, struct bg_packed *packed)
{
	struct bg_mesh *mesh = xch->gossip->mesh;
	struct bg_link *link;
	int error;

	args->address = mesh->self.address;
	args->root = bg_table_root_digest(mesh->table);
	args->config_version =
	    xch->is_without_config ? UINT64_MAX : bg_mesh_config_version(mesh);
	args->items.items_val = packed->data;
	args->items.items_len = packed->bytes;
	args->raw_bytes = packed->raw_bytes;
	args->items_digest = packed->digest;
	error = bg_link_pool_get(&link, mesh->links, xch->peer, NULL);
	if (error == 0)
		error = bg_link_call(NULL, link, BG_PROC_SYNC,
		    (xdrproc_t)xdr_bg_xsync_args, args,
		    (xdrproc_t)xdr_bg_xsync_res, sizeof(struct bg_xsync_res),
		    SYNC_TIMEOUT_MS, on_sync, xch);
	free(packed->data);
	return error;
}

/* Compares root digests with a peer: one small exchange if the tables are
 * equal. */
static void
start_round(struct bg_gossip *gsp, const char *peer, int is_without_config)
{
	struct bg_xsync_args args = {0};
	struct bg_packed none = {0};
	struct exchange *xch = exchange_new(gsp, peer);

	if (xch == NULL)
		return;
	xch->is_round = 1;
	xch->is_without_config = is_without_config;
	xch->own_seq = gsp->mesh->self.seq;
	bg_counter_add(&rounds, 1);
	if (send_sync(xch, &args, &none) != 0)
		exchange_free(xch);
}

/* Ends an exchange that a peer has answered.
 * @param is_complete 1 if all that was to be exchanged has been */
static void
exchange_end(struct exchange *xch, int is_complete)
{
	struct bg_mesh *mesh = xch->gossip->mesh;
	uint64_t own_seq = xch->own_seq;
	int is_round = xch->is_round;

	exchange_free(xch);
	if (!is_complete)
		return;
	if (own_seq > mesh->copied_seq) {
		mesh->copied_seq = own_seq;
		bg_mesh_durable_update(mesh);
	}
	if (is_round)
		bg_mesh_recovery_handle_comparison(mesh);
}

/* Sends the differing buckets and requests those of the peer. */
static void
send_buckets(struct exchange *xch, uint64_t bucket_mask)
{
	struct bg_gossip *gsp = xch->gossip;
	struct bg_xsync_args args = {0};
	struct bg_packed packed;
	uint64_t digests[BG_DIGEST_BUCKETS];

	xch->bucket_mask = bucket_mask;
	bg_table_digests(digests, gsp->mesh->table);
	args.digests.digests_len = BG_DIGEST_BUCKETS;
	args.digests.digests_val = (u_quad_t *)digests;
	if (bg_gossip_pack_items(&packed, gsp->mesh->table, bucket_mask, 0) !=
		0 ||
	    send_sync(xch, &args, &packed) != 0)
		exchange_free(xch);
}

/* Sends the configuration to a peer that holds an older one. */
static void
push_config(struct bg_gossip *gsp, const char *peer)
{
	struct bg_xsync_args args = {0};
	struct bg_packed packed;
	struct exchange *xch = exchange_new(gsp, peer);

	if (xch == NULL)
		return;
	args.is_push = BG_PUSH_STORED;
	if (bg_gossip_pack_config(&packed, gsp) != 0 ||
	    send_sync(xch, &args, &packed) != 0)
		exchange_free(xch);
}

static void
on_sync(void *arg, int code, void *result)
{
	struct exchange *xch = arg;
	struct bg_xsync_res *res = result;
	struct bg_packed packed;
	uint64_t mask;
	int merged;

	if (code != 0) {
		bg_log_debug("gossip", "exchange failed peer=%s code=%s",
		    xch->peer, bg_error_name(code));
		exchange_free(xch);
		return;
	}
	bg_gossip_set_packed(&packed, res->items.items_val,
	    res->items.items_len, res->raw_bytes, res->items_digest);
	merged = bg_gossip_merge(xch->gossip, &packed, xch->peer);
	if (xch->is_round && is_config_settled(xch->gossip->mesh) &&
	    res->config_version < bg_mesh_config_version(xch->gossip->mesh))
		push_config(xch->gossip, xch->peer);
	if (xch->bucket_mask == 0 &&
	    res->digests.digests_len == BG_DIGEST_BUCKETS) {
		mask = bg_gossip_differing_buckets(
		    xch->gossip->mesh->table, res->digests.digests_val);
		if (mask != 0) {
			bg_counter_add(&repairs, 1);
			send_buckets(xch, mask);
			return;
		}
	}
	/* A reply to root digests with items has the configuration only. */
	exchange_end(xch,
	    merged >= 0 &&
		(!xch->is_round || xch->bucket_mask != 0 || packed.bytes == 0));
}

/* Picks a random member, from this node's data centre or from another one. */
static const struct bg_member *
pick_peer(struct bg_gossip *gsp, int is_remote)
{
	const struct bg_mesh *mesh = gsp->mesh;
	const struct bg_roster *ros = &mesh->roster;
	const struct bg_member *m;
	size_t first;
	size_t i;

	if (ros->member_count == 0)
		return NULL;
	first = bg_rand_below(&gsp->mesh->rand, ros->member_count);
	for (i = 0; i < ros->member_count; i++) {
		m = &ros->members[(first + i) % ros->member_count];
		if (strcmp(m->address, mesh->self.address) != 0 &&
		    (strcmp(m->data_centre, mesh->self.data_centre) != 0) ==
			is_remote)
			return m;
	}
	return NULL;
}

static void
schedule_round(struct bg_gossip *gsp)
{
	uint64_t ms =
	    ROUND_MS + bg_rand_below(&gsp->mesh->rand, ROUND_SPREAD_MS);
	struct timeval tv = {
	    (time_t)(ms / 1000), (suseconds_t)(ms % 1000) * 1000};

	event_add(gsp->timer, &tv);
}

static void
compare(struct bg_gossip *gsp, int is_without_config)
{
	const struct bg_member *peer;
	int is_remote =
	    bg_rand_below(&gsp->mesh->rand, REMOTE_ROUND_INTERVAL) == 0;

	peer = pick_peer(gsp, is_remote);
	if (peer == NULL)
		peer = pick_peer(gsp, !is_remote);
	if (peer != NULL)
		start_round(gsp, peer->address, is_without_config);
}

void
bg_gossip_compare_members(struct bg_gossip *gsp)
{
	compare(gsp, 1);
}

static void
on_round(evutil_socket_t fd, short what, void *arg)
{
	struct bg_gossip *gsp = arg;

	schedule_round(gsp);
	bg_emptying_tick(gsp->mesh);
	compare(gsp, 0);
}

static void
push_to(struct bg_gossip *gsp, const char *peer, uint64_t cursor,
    uint64_t own_seq, enum bg_push push)
{
	struct bg_xsync_args args = {0};
	struct bg_packed packed;
	struct exchange *xch = exchange_new(gsp, peer);

	if (xch == NULL)
		return;
	args.is_push = (u_int)push;
	xch->own_seq = own_seq;
	if (bg_gossip_pack_items(&packed, gsp->mesh->table, 0, cursor) != 0 ||
	    send_sync(xch, &args, &packed) != 0)
		exchange_free(xch);
}

static void
push_to_peers(struct bg_gossip *gsp, uint64_t cursor, uint64_t own_seq,
    enum bg_push push, const char *sender)
{
	const struct bg_member *peer;
	int i;

	for (i = 0; i < PUSH_PEERS; i++) {
		peer = pick_peer(gsp, i == 0);
		if (peer != NULL && strcmp(peer->address, sender) != 0)
			push_to(gsp, peer->address, cursor, own_seq, push);
	}
}

void
bg_gossip_push(
    struct bg_gossip *gsp, uint64_t cursor, uint64_t own_seq, enum bg_push push)
{
	push_to_peers(gsp, cursor, own_seq, push, "");
}

static void
set_items(struct bg_xsync_res *res, const struct bg_packed *packed)
{
	res->items.items_val = packed->data;
	res->items.items_len = packed->bytes;
	res->raw_bytes = packed->raw_bytes;
	res->items_digest = packed->digest;
}

/* Builds the response to a comparison of root digests or buckets. If the caller
 * holds an older configuration, only the configuration is sent; the other items
 * follow in its next round. */
static void
fill_response(struct bg_gossip *gsp, const struct bg_xsync_args *args,
    struct bg_xsync_res *res, uint64_t *digests)
{
	struct bg_packed packed;
	uint64_t mask;

	res->config_version = bg_mesh_config_version(gsp->mesh);
	if (args->is_push)
		return;
	if (args->config_version < res->config_version &&
	    is_config_settled(gsp->mesh) &&
	    bg_gossip_pack_config(&packed, gsp) == 0) {
		set_items(res, &packed);
		return;
	}
	if (args->root == bg_table_root_digest(gsp->mesh->table))
		return;
	if (args->digests.digests_len != BG_DIGEST_BUCKETS) {
		bg_table_digests(digests, gsp->mesh->table);
		res->digests.digests_len = BG_DIGEST_BUCKETS;
		res->digests.digests_val = (u_quad_t *)digests;
		return;
	}
	mask = bg_gossip_differing_buckets(
	    gsp->mesh->table, args->digests.digests_val);
	if (mask != 0 &&
	    bg_gossip_pack_items(&packed, gsp->mesh->table, mask, 0) == 0)
		set_items(res, &packed);
}

/* 1 if this node holds all items of the caller after the merge: the tables are
 * equal, or the caller sent its items of the differing buckets. */
static int
is_whole_comparison(
    const struct bg_gossip *gsp, const struct bg_xsync_args *args)
{
	return !args->is_push &&
	    (args->digests.digests_len == BG_DIGEST_BUCKETS ||
		args->root == bg_table_root_digest(gsp->mesh->table));
}

static void
handle_sync(void *arg, struct bg_rpc *rpc, void *data)
{
	struct bg_gossip *gsp = arg;
	struct bg_xsync_args *args = data;
	struct bg_xsync_res res = {0};
	struct bg_packed packed;
	uint64_t digests[BG_DIGEST_BUCKETS];
	uint64_t cursor = bg_table_cursor(gsp->mesh->table);
	int is_comparison = is_whole_comparison(gsp, args);
	int changed;

	/* The response is built before the merge, so that it does not return
	 * the items just received. */
	fill_response(gsp, args, &res, digests);
	bg_gossip_set_packed(&packed, args->items.items_val,
	    args->items.items_len, args->raw_bytes, args->items_digest);
	changed = bg_gossip_merge(gsp, &packed, args->address);
	if (changed < 0) {
		/* The caller would take a reply for a copy of its items. */
		free(res.items.items_val);
		bg_rpc_drop(rpc);
		return;
	}
	if (is_comparison)
		bg_mesh_recovery_handle_comparison(gsp->mesh);
	/* With a reachable store, every node reads the change from the store,
	 * unless its sender knows that it may come late or not at all. */
	if (args->is_push && changed > 0 &&
	    (args->is_push == BG_PUSH_FORWARD ||
		!bg_mesh_is_store_reachable(gsp->mesh)))
		push_to_peers(
		    gsp, cursor, 0, (enum bg_push)args->is_push, args->address);
	bg_rpc_reply(rpc, (xdrproc_t)xdr_bg_xsync_res, &res);
	free(res.items.items_val);
}

int
bg_gossip_init(struct bg_gossip **out, struct bg_mesh *mesh)
{
	struct bg_rpc_handler handler = {BG_PROC_SYNC,
	    (xdrproc_t)xdr_bg_xsync_args, sizeof(struct bg_xsync_args),
	    handle_sync, NULL};
	struct bg_gossip *gsp;

	if ((gsp = calloc(1, sizeof(*gsp))) == NULL)
		return BG_ENOMEM;
	gsp->mesh = mesh;
	handler.arg = gsp;
	gsp->timer = evtimer_new(mesh->base, on_round, gsp);
	if (gsp->timer == NULL ||
	    bg_link_server_add_handler(mesh->server, &handler) != 0) {
		bg_gossip_free(gsp);
		return BG_ENOMEM;
	}
	*out = gsp;
	return 0;
}

void
bg_gossip_start(struct bg_gossip *gsp)
{
	schedule_round(gsp);
}

void
bg_gossip_free(struct bg_gossip *gsp)
{
	struct exchange *xch;

	if (gsp == NULL)
		return;
	if (gsp->timer != NULL)
		event_free(gsp->timer);
	while ((xch = gsp->exchanges) != NULL)
		exchange_free(xch);
	bg_config_cache_free(&gsp->config);
	free(gsp);
}
