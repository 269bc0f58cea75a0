#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/counter.h"
#include "burdockgrade/log.h"

#include "mesh/codec.h"
#include "mesh/uplink.h"

/* The parent holds a reply this long at most; it is also the heartbeat. */
#define POLL_MS 1000
/* A parent without reply for this long is replaced. */
#define REPLY_TIMEOUT_MS 2500
/* The digests are compared again at this interval, in case an item was lost
 * by a fault that nothing else shows. */
#define DIGESTS_MS 30000

static struct bg_counter syncs =
    BG_COUNTER("burdock_mesh_syncs_total", "SYNC calls sent.");
static struct bg_counter items_sent =
    BG_COUNTER("burdock_mesh_items_sent_total", "Items sent to parents.");
static struct bg_counter items_received = BG_COUNTER(
    "burdock_mesh_items_received_total", "Items received from parents.");
static struct bg_counter attaches =
    BG_COUNTER("burdock_mesh_attaches_total", "Attaches to parents.");

struct bg_uplink {
	struct bg_link *link;
	struct bg_table *table;
	struct bg_uplink_handler handler;
	char self[BG_ADDRESS_BYTES];
	char data_centre[BG_NAME_BYTES];
	enum bg_sync_role role;
	uint64_t incarnation;
	uint64_t origin;
	uint64_t parent_incarnation;
	uint64_t cursor;      /* in the parent's log */
	uint64_t sent;	      /* in the own log */
	uint64_t confirmed;   /* in the own log */
	uint64_t bucket_mask; /* buckets the parent lacks items of */
	uint64_t digests_due_ms;
	uint32_t digests_ms;
	int is_confirm_wanted;
	uint64_t last_call; /* number of the last call */
	int is_attached;
	int is_ended;
	int asked_floor;
	uint64_t reply_number;
};

struct call {
	struct bg_uplink *upl;
	uint64_t number;
	uint64_t upto;
	int asked_floor;
};

uint64_t
bg_origin_of(const char *address)
{
	return XXH64(address, strlen(address), 1) | 1;
}

static uint32_t
scope_mask(const struct bg_uplink *upl)
{
	uint32_t other =
	    upl->role == BG_SYNC_PEER ? BG_SCOPE_RELAYS : BG_SCOPE_UP;

	return 1u << BG_SCOPE_ALL | 1u << BG_SCOPE_UP_RELAYS | 1u << other;
}

/* Ends the uplink once; the handler frees it, so nothing may follow. */
static void
end(struct bg_uplink *upl, const char *reason, const char *redirect,
    uint32_t retry_ms, int is_link_fault)
{
	if (upl->is_ended)
		return;
	upl->is_ended = 1;
	upl->handler.lost(
	    upl->handler.arg, reason, redirect, retry_ms, is_link_fault);
}

/* Items for the attach call: those that digests do not cover, and the entry of
 * this node itself. */
static int
select_attach(struct bg_xitems *out, uint64_t *upto, struct bg_uplink *upl)
{
	struct bg_table_select sel = {0};
	struct bg_item me;
	struct bg_xitem *grown;
	u_int n;
	int error;

	sel.scope_mask = scope_mask(upl) & ~(1u << BG_SCOPE_ALL);
	sel.max_bytes = BG_ITEMS_RAW_BYTES / 2;
	if ((error = bg_table_select(out, upto, upl->table, &sel)) != 0)
		return error;
	if (bg_table_get(&me, upl->table, BG_ITEM_MEMBER, upl->self) != 0)
		return 0;
	n = out->items.items_len;
	grown = realloc(out->items.items_val, (n + 1) * sizeof(*grown));
	if (grown == NULL)
		return BG_ENOMEM;
	out->items.items_val = grown;
	memset(&grown[n], 0, sizeof(*grown));
	grown[n].kind = me.kind;
	grown[n].major = me.major;
	grown[n].minor = me.minor;
	grown[n].key = strdup(me.key);
	grown[n].value.value_val = strdup(me.value);
	grown[n].value.value_len = me.value_bytes;
	out->items.items_len++;
	return 0;
}

static int
select_items(struct bg_xitems *out, uint64_t *upto, struct bg_uplink *upl)
{
	struct bg_table_select sel = {0};
	uint64_t cursor;

	if (!upl->is_attached)
		return select_attach(out, upto, upl);
	sel.max_bytes = BG_ITEMS_RAW_BYTES / 2;
	if (upl->bucket_mask == 0) {
		sel.cursor = upl->sent;
		sel.not_origin = upl->origin;
		sel.scope_mask = scope_mask(upl);
		return bg_table_select(out, upto, upl->table, &sel);
	}
	/* The changes since the attach follow with the next call. */
	*upto = upl->sent;
	sel.bucket_mask = upl->bucket_mask;
	sel.scope_mask = 1u << BG_SCOPE_ALL;
	upl->bucket_mask = 0;
	return bg_table_select(out, &cursor, upl->table, &sel);
}

static void on_reply(void *arg, int code, void *res);

static int
call_sync(struct bg_uplink *upl, struct bg_xsync_args *args,
    struct bg_xitems *items, uint64_t upto)
{
	struct bg_packed packed;
	struct call *call;
	int error;

	if ((error = bg_items_pack(&packed, items)) != 0)
		return error;
	args->items.items_val = packed.data;
	args->items.items_len = packed.bytes;
	args->raw_bytes = packed.raw_bytes;
	args->items_digest = packed.digest;
	if ((call = calloc(1, sizeof(*call))) == NULL)
		return BG_ENOMEM;
	call->upl = upl;
	call->number = ++upl->last_call;
	call->upto = upto;
	call->asked_floor = args->want_floor != 0;
	error = bg_link_call(NULL, upl->link, BG_PROC_SYNC,
	    (xdrproc_t)xdr_bg_xsync_args, args, (xdrproc_t)xdr_bg_xsync_res,
	    sizeof(struct bg_xsync_res), REPLY_TIMEOUT_MS, on_reply, call);
	if (error != 0)
		free(call);
	return error;
}

void
bg_uplink_send(struct bg_uplink *upl)
{
	uint64_t digests[BG_DIGEST_BUCKETS];
	uint64_t now_ms = bg_clock_now_ms();
	struct bg_xsync_args args;
	struct bg_xitems items;
	uint64_t upto = upl->sent;
	int is_bucket_call = upl->bucket_mask != 0;

	if (upl->is_ended || select_items(&items, &upto, upl) != 0)
		return;
	memset(&args, 0, sizeof(args));
	args.address = upl->self;
	args.incarnation = upl->incarnation;
	args.data_centre = upl->data_centre;
	args.role = upl->role;
	args.cursor_incarnation = upl->parent_incarnation;
	args.cursor = upl->cursor;
	args.want_floor = upl->handler.wants_floor(upl->handler.arg);
	if (upl->is_attached && !is_bucket_call && !upl->is_confirm_wanted)
		args.wait_ms = POLL_MS;
	upl->is_confirm_wanted = 0;
	if (now_ms >= upl->digests_due_ms) {
		upl->digests_due_ms = now_ms + upl->digests_ms;
		bg_table_digests(digests, upl->table);
		args.digests.digests_len = BG_DIGEST_BUCKETS;
		args.digests.digests_val = digests;
	}
	bg_counter_add(&syncs, 1);
	bg_counter_add(&items_sent, items.items.items_len);
	if (call_sync(upl, &args, &items, upto) == 0)
		upl->sent = upto;
	free(args.items.items_val);
	xdr_free((xdrproc_t)xdr_bg_xitems, (char *)&items);
}

void
bg_uplink_flush(struct bg_uplink *upl, int is_confirm_wanted)
{
	struct bg_table_select sel = {0};

	sel.cursor = upl->sent;
	sel.not_origin = upl->origin;
	sel.scope_mask = scope_mask(upl);
	if (!upl->is_attached || !bg_table_has_news(upl->table, &sel))
		return;
	upl->is_confirm_wanted = is_confirm_wanted;
	bg_uplink_send(upl);
}

/* Marks the buckets in which the parent's digests differ from the own ones. */
static void
compare_digests(struct bg_uplink *upl, const struct bg_xsync_res *res)
{
	uint64_t own[BG_DIGEST_BUCKETS];
	size_t i;

	if (res->digests.digests_len != BG_DIGEST_BUCKETS)
		return;
	bg_table_digests(own, upl->table);
	for (i = 0; i < BG_DIGEST_BUCKETS; i++) {
		if (own[i] != res->digests.digests_val[i])
			upl->bucket_mask |= 1ull << i;
	}
}

static int
merge_reply(struct bg_uplink *upl, const struct bg_xsync_res *res)
{
	struct bg_packed packed = {res->items.items_val, res->items.items_len,
	    res->raw_bytes, res->items_digest};
	struct bg_xitems items;
	int changed;
	int error;

	error = bg_items_unpack(&items, &packed);
	if (error == 0) {
		bg_counter_add(&items_received, items.items.items_len);
		changed = bg_table_merge_list(upl->table, &items, upl->origin);
		error = changed < 0 ? changed : 0;
		if (changed > 0)
			upl->handler.merged(upl->handler.arg);
	}
	xdr_free((xdrproc_t)xdr_bg_xitems, (char *)&items);
	return error;
}

static void
handle_ok(
    struct bg_uplink *upl, const struct call *call, struct bg_xsync_res *res)
{
	upl->asked_floor = call->asked_floor;
	upl->reply_number = call->number;
	if (upl->handler.replied(upl->handler.arg, res) != 0) {
		end(upl, "rejected", "", 0, 0);
		return;
	}
	if (merge_reply(upl, res) != 0) {
		end(upl, "invalid items", "", 0, 0);
		return;
	}
	if (!upl->is_attached) {
		upl->is_attached = 1;
		bg_counter_add(&attaches, 1);
	}
	if (call->upto > upl->confirmed)
		upl->confirmed = call->upto;
	if (res->incarnation != upl->parent_incarnation ||
	    res->cursor > upl->cursor)
		upl->cursor = res->cursor;
	upl->parent_incarnation = res->incarnation;
	compare_digests(upl, res);
	/* An earlier call was answered because a later one replaced it. */
	if (call->number == upl->last_call)
		bg_uplink_send(upl);
}

static void
on_reply(void *arg, int code, void *result)
{
	struct bg_xsync_res *res = result;
	struct call call = *(struct call *)arg;
	struct bg_uplink *upl = call.upl;

	free(arg);
	if (code == BG_ECANCELED || upl->is_ended)
		return;
	if (code != 0) {
		end(upl, bg_error_name(code), "", 0, 1);
		return;
	}
	switch (res->status) {
	case BG_XSYNC_OK:
		handle_ok(upl, &call, res);
		break;
	case BG_XSYNC_REDIRECT:
		end(upl, "redirect", res->redirect, res->retry_ms, 0);
		break;
	case BG_XSYNC_BUSY:
		end(upl, "busy", res->redirect, res->retry_ms, 0);
		break;
	case BG_XSYNC_STALE_INCARNATION:
		upl->handler.stale(upl->handler.arg, res->known_incarnation);
		end(upl, "stale incarnation", res->redirect, 1, 0);
		break;
	default:
		end(upl, "invalid status", "", 0, 0);
		break;
	}
}

static void
on_close(void *arg)
{
	end(arg, "link closed", "", 0, 1);
}

int
bg_uplink_init(struct bg_uplink **out, const struct bg_uplink_options *opts)
{
	struct bg_link_options link_opts = BG_LINK_OPTIONS_INIT;
	struct bg_uplink *upl;
	int error;

	if ((upl = calloc(1, sizeof(*upl))) == NULL)
		return BG_ENOMEM;
	upl->table = opts->table;
	upl->handler = opts->handler;
	upl->role = opts->role;
	upl->incarnation = opts->incarnation;
	upl->digests_ms = opts->digests_ms == 0 ? DIGESTS_MS : opts->digests_ms;
	upl->origin = bg_origin_of(opts->address);
	snprintf(upl->self, sizeof(upl->self), "%s", opts->self);
	snprintf(upl->data_centre, sizeof(upl->data_centre), "%s",
	    opts->data_centre);
	link_opts.local_ip = opts->local_ip;
	error = bg_link_init(&upl->link, opts->base, opts->address, &link_opts,
	    on_close, upl, NULL);
	if (error != 0) {
		free(upl);
		return error;
	}
	bg_uplink_send(upl);
	*out = upl;
	return 0;
}

void
bg_uplink_free(struct bg_uplink *upl)
{
	if (upl == NULL)
		return;
	upl->is_ended = 1;
	bg_link_free(upl->link);
	free(upl);
}

int
bg_uplink_is_attached(const struct bg_uplink *upl)
{
	return upl->is_attached;
}

const char *
bg_uplink_address(const struct bg_uplink *upl)
{
	return bg_link_address(upl->link);
}

uint64_t
bg_uplink_origin(const struct bg_uplink *upl)
{
	return upl->origin;
}

uint64_t
bg_uplink_confirmed(const struct bg_uplink *upl)
{
	return upl->confirmed;
}

uint64_t
bg_uplink_reply_number(const struct bg_uplink *upl)
{
	return upl->reply_number;
}

uint64_t
bg_uplink_call_number(const struct bg_uplink *upl)
{
	return upl->last_call;
}

int
bg_uplink_asked_floor(const struct bg_uplink *upl)
{
	return upl->asked_floor;
}
