#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/counter.h"
#include "burdockgrade/log.h"

#include "mesh/admission.h"
#include "mesh/children.h"
#include "mesh/codec.h"
#include "mesh/floor.h"
#include "mesh/liveness.h"
#include "mesh/offer.h"
#include "mesh/uplink.h"

/* A child may ask the parent to wait this long at most. */
#define WAIT_MAX_MS 1000
/* Time after which a node without root may be asked again. Below the time a
 * relay needs to be replaced. */
#define BUSY_RETRY_MS 200

static struct bg_counter admitted =
    BG_COUNTER("burdock_mesh_children_attached_total", "Children attached.");
static struct bg_counter deferred = BG_COUNTER(
    "burdock_mesh_attaches_deferred_total", "Attaches told to come later.");
static struct bg_counter redirected =
    BG_COUNTER("burdock_mesh_redirects_total", "Attaches sent elsewhere.");
static struct bg_counter replies =
    BG_COUNTER("burdock_mesh_replies_total", "SYNC replies sent.");
static struct bg_counter offered =
    BG_COUNTER("burdock_mesh_items_offered_total", "Items sent to children.");
static struct bg_counter child_gauge =
    BG_GAUGE("burdock_mesh_children", "Sessions with children and peers.");

struct session {
	struct bg_children *owner;
	struct bg_rpc *waiting;
	char address[BG_ADDRESS_BYTES];
	char data_centre[BG_NAME_BYTES];
	char socket[BG_ADDRESS_BYTES]; /* of the connection last used */
	enum bg_sync_role role;
	uint64_t incarnation;
	uint64_t origin;
	uint64_t cursor;       /* in the own log, sent on this connection */
	uint64_t acknowledged; /* in the own log, stated by the child */
	uint64_t reply_by_ms;
	uint64_t heard_ms;
	uint64_t floor_request;
	UT_hash_handle hh;
};

struct bg_children {
	struct bg_table *table;
	struct session *sessions;
	struct bg_admission admission;
	struct bg_offers offers;
	struct bg_children_handler handler;
	char self[BG_ADDRESS_BYTES];
	char data_centre[BG_NAME_BYTES];
	uint64_t incarnation;
	uint32_t fanout;
	uint32_t next_redirect;
};

static uint32_t
scope_mask(const struct session *s)
{
	if (s->role == BG_SYNC_PEER)
		return 1u << BG_SCOPE_ALL | 1u << BG_SCOPE_RELAYS |
		    1u << BG_SCOPE_UP_RELAYS;
	return 1u << BG_SCOPE_ALL;
}

static struct session *
find_session(const struct bg_children *chn, const char *address)
{
	struct session *s;

	HASH_FIND_STR(chn->sessions, address, s);
	return s;
}

/* Fields of a reply that do not depend on the child. */
static void
fill_view(struct bg_xsync_res *res, struct bg_root_view *view,
    const struct bg_children *chn)
{
	uint64_t now_ms = bg_clock_now_ms();

	memset(res, 0, sizeof(*res));
	chn->handler.view(chn->handler.arg, view);
	res->redirect = (char *)"";
	res->address = (char *)chn->self;
	res->incarnation = chn->incarnation;
	res->lease_holder = view->address;
	res->lease_term = view->term;
	res->lease_object_version = view->object_version;
	if (view->expires_ms > now_ms)
		res->lease_remaining_ms = (u_int)(view->expires_ms - now_ms);
	else
		res->lease_holder = (char *)"";
}

static void
refuse(struct bg_children *chn, struct bg_rpc *rpc, bg_xsync_status status,
    const char *redirect, uint32_t retry_ms, uint64_t known_incarnation)
{
	struct bg_root_view view;
	struct bg_xsync_res res;

	fill_view(&res, &view, chn);
	res.status = status;
	res.redirect = (char *)redirect;
	res.retry_ms = retry_ms;
	res.known_incarnation = known_incarnation;
	bg_counter_add(
	    status == BG_XSYNC_REDIRECT ? &redirected : &deferred, 1);
	bg_rpc_reply(rpc, (xdrproc_t)xdr_bg_xsync_res, &res);
}

static void
session_free(struct session *s)
{
	HASH_DEL(s->owner->sessions, s);
	bg_counter_set(&child_gauge, HASH_COUNT(s->owner->sessions));
	if (s->waiting != NULL)
		bg_rpc_drop(s->waiting);
	free(s);
}

/* The connection of a waiting call is gone; the session stays until it has
 * been silent for too long, since the child may come back. */
static void
on_cancel(void *arg)
{
	struct session *s = arg;
	struct bg_rpc *rpc = s->waiting;

	s->waiting = NULL;
	if (rpc != NULL)
		bg_rpc_drop(rpc);
}

/* Answers the waiting call with an encoded list. */
static void
answer(struct session *s, const struct bg_offer *offer, int with_digests)
{
	struct bg_children *chn = s->owner;
	uint64_t digests[BG_DIGEST_BUCKETS];
	struct bg_root_view view;
	struct bg_xsync_res res;
	struct bg_rpc *rpc = s->waiting;

	s->waiting = NULL;
	bg_rpc_on_cancel(rpc, NULL, NULL);
	fill_view(&res, &view, chn);
	res.status = BG_XSYNC_OK;
	res.cursor = offer->cursor;
	res.items.items_val = offer->packed.data;
	res.items.items_len = offer->packed.bytes;
	res.raw_bytes = offer->packed.raw_bytes;
	res.items_digest = offer->packed.digest;
	if (with_digests) {
		bg_table_digests(digests, chn->table);
		res.digests.digests_val = digests;
		res.digests.digests_len = BG_DIGEST_BUCKETS;
	}
	if (s->floor_request != 0) {
		res.floor_version = chn->handler.floor_reply(
		    chn->handler.arg, s->floor_request);
		if (res.floor_version != 0)
			s->floor_request = 0;
	}
	s->cursor = offer->cursor;
	bg_counter_add(&replies, 1);
	bg_counter_add(&offered, offer->item_count);
	bg_rpc_reply(rpc, (xdrproc_t)xdr_bg_xsync_res, &res);
}

/* Answers with the items behind the session's cursor. */
static void
answer_news(struct session *s)
{
	struct bg_children *chn = s->owner;
	struct bg_table_select sel = {0};
	struct bg_offer offer;

	sel.cursor = s->cursor;
	sel.scope_mask = scope_mask(s);
	if (bg_table_has_origin(chn->table, s->cursor, s->origin))
		sel.not_origin = s->origin;
	if (bg_offers_get(&offer, &chn->offers, chn->table, &sel,
		chn->handler.refused_version(chn->handler.arg)) != 0) {
		bg_log_error("mesh", "reply not encoded child=%s", s->address);
		return;
	}
	answer(s, &offer, 0);
	bg_offer_release(&offer);
}

/* Answers a call that carried digests: items of the buckets that differ, after
 * an attach instead of the log, later in addition to it. */
static void
answer_buckets(
    struct session *s, const struct bg_xsync_args *args, int is_attach)
{
	struct bg_children *chn = s->owner;
	uint64_t own[BG_DIGEST_BUCKETS];
	struct bg_table_select sel = {0};
	struct bg_offer offer = {0};
	size_t i;

	bg_table_digests(own, chn->table);
	for (i = 0; i < BG_DIGEST_BUCKETS; i++) {
		if (own[i] != args->digests.digests_val[i])
			sel.bucket_mask |= 1ull << i;
	}
	if (!is_attach && sel.bucket_mask == 0) {
		answer_news(s);
		return;
	}
	/* Items that came from this address are not left out: its process may
	 * have been replaced by one with empty memory. */
	sel.scope_mask = scope_mask(s);
	if (sel.bucket_mask == 0)
		sel.scope_mask &= ~(1u << BG_SCOPE_ALL);
	offer.cursor = bg_table_cursor(chn->table);
	if (sel.scope_mask != 0 &&
	    bg_offers_get(&offer, &chn->offers, chn->table, &sel,
		chn->handler.refused_version(chn->handler.arg)) != 0)
		return;
	/* What the log holds besides the buckets is sent by the next reply. */
	if (!is_attach)
		offer.cursor = s->cursor;
	answer(s, &offer, 1);
	bg_offer_release(&offer);
}

static size_t
count_role(const struct bg_children *chn, enum bg_sync_role role)
{
	const struct session *s;
	size_t count = 0;

	for (s = chn->sessions; s != NULL; s = s->hh.next)
		count += s->role == role;
	return count;
}

/* A child to which another node is redirected, each in turn. */
static const struct session *
next_child(struct bg_children *chn, const char *except)
{
	const struct session *s;
	size_t count = count_role(chn, BG_SYNC_CHILD);
	size_t skip;

	if (count == 0)
		return NULL;
	skip = chn->next_redirect++ % count;
	for (s = chn->sessions; s != NULL; s = s->hh.next) {
		if (s->role != BG_SYNC_CHILD)
			continue;
		if (skip == 0)
			return strcmp(s->address, except) == 0 ? NULL : s;
		skip--;
	}
	return NULL;
}

/* Decides about a node without session. @return 1 if it was refused */
static int
refuse_attach(struct bg_children *chn, struct bg_rpc *rpc,
    const struct bg_xsync_args *args, int is_known)
{
	const char *parent = chn->handler.parent(chn->handler.arg);
	int is_root = chn->handler.is_root(chn->handler.arg);
	const struct session *child;
	struct bg_root_view view;
	uint32_t retry_ms;

	if (!bg_admission_take(&retry_ms, &chn->admission, bg_clock_now_ms())) {
		refuse(chn, rpc, BG_XSYNC_BUSY, "", retry_ms, 0);
		return 1;
	}
	chn->handler.view(chn->handler.arg, &view);
	if ((!is_root && parent == NULL) ||
	    view.expires_ms <= bg_clock_now_ms() ||
	    strcmp(view.address, args->address) == 0 ||
	    (parent != NULL && strcmp(parent, args->address) == 0)) {
		refuse(chn, rpc, BG_XSYNC_BUSY, "", BUSY_RETRY_MS, 0);
		return 1;
	}
	if (args->role == BG_SYNC_PEER) {
		if (is_root && strcmp(args->data_centre, chn->data_centre) != 0)
			return 0;
		refuse(chn, rpc, BG_XSYNC_REDIRECT, view.address, 0, 0);
		return 1;
	}
	/* A child belongs to its own data centre's tree. */
	if (strcmp(args->data_centre, chn->data_centre) != 0) {
		refuse(chn, rpc, BG_XSYNC_BUSY, "", BUSY_RETRY_MS, 0);
		return 1;
	}
	if (is_known || count_role(chn, BG_SYNC_CHILD) < chn->fanout)
		return 0;
	child = next_child(chn, args->address);
	if (child == NULL)
		refuse(chn, rpc, BG_XSYNC_BUSY, "", BUSY_RETRY_MS, 0);
	else
		refuse(chn, rpc, BG_XSYNC_REDIRECT, child->address, 0, 0);
	return 1;
}

static struct session *
session_new(struct bg_children *chn, const struct bg_xsync_args *args)
{
	struct session *s;

	if ((s = calloc(1, sizeof(*s))) == NULL)
		return NULL;
	s->owner = chn;
	s->role = args->role == BG_SYNC_PEER ? BG_SYNC_PEER : BG_SYNC_CHILD;
	s->origin = bg_origin_of(args->address);
	snprintf(s->address, sizeof(s->address), "%s", args->address);
	snprintf(
	    s->data_centre, sizeof(s->data_centre), "%s", args->data_centre);
	HASH_ADD_STR(chn->sessions, address, s);
	bg_counter_add(&admitted, 1);
	bg_counter_set(&child_gauge, HASH_COUNT(chn->sessions));
	bg_log_info("mesh", "attached %s=%s dc=%s",
	    s->role == BG_SYNC_PEER ? "peer" : "child", s->address,
	    s->data_centre);
	return s;
}

static int
merge_args(struct bg_children *chn, const struct bg_xsync_args *args)
{
	struct bg_packed packed = {args->items.items_val, args->items.items_len,
	    args->raw_bytes, args->items_digest};
	struct bg_xitems items;
	int changed;

	changed = bg_items_unpack(&items, &packed);
	if (changed == 0)
		changed = bg_table_merge_list(
		    chn->table, &items, bg_origin_of(args->address));
	xdr_free((xdrproc_t)xdr_bg_xitems, (char *)&items);
	if (changed > 0)
		chn->handler.merged(chn->handler.arg);
	return changed < 0 ? changed : 0;
}

/* Records the call as the one that waits; an earlier one is answered, since a
 * child waits for its last call only. */
static void
replace_waiting(struct session *s, struct bg_rpc *rpc)
{
	struct bg_offer nothing = {0};

	if (s->waiting != NULL) {
		nothing.cursor = s->cursor;
		answer(s, &nothing, 0);
	}
	s->waiting = rpc;
	bg_rpc_on_cancel(rpc, on_cancel, s);
}

static void
take_call(struct session *s, struct bg_rpc *rpc,
    const struct bg_xsync_args *args, int is_attach)
{
	uint64_t now_ms = bg_clock_now_ms();
	uint32_t wait_ms =
	    args->wait_ms < WAIT_MAX_MS ? args->wait_ms : WAIT_MAX_MS;

	s->heard_ms = now_ms;
	s->role = args->role == BG_SYNC_PEER ? BG_SYNC_PEER : BG_SYNC_CHILD;
	s->incarnation = args->incarnation;
	s->acknowledged = is_attach ? 0 : args->cursor;
	if (is_attach)
		s->cursor = 0;
	else if (strcmp(s->socket, bg_rpc_peer(rpc)) != 0 ||
	    args->cursor > s->cursor)
		s->cursor = args->cursor;
	snprintf(s->socket, sizeof(s->socket), "%s", bg_rpc_peer(rpc));
	replace_waiting(s, rpc);
	s->reply_by_ms = now_ms + wait_ms;
	if (args->want_floor == BG_FLOOR_NO)
		s->floor_request = 0;
	else if (args->want_floor == BG_FLOOR_ANEW || is_attach ||
	    s->floor_request == 0)
		s->floor_request =
		    s->owner->handler.floor_request(s->owner->handler.arg);
	if (args->digests.digests_len == BG_DIGEST_BUCKETS)
		answer_buckets(s, args, is_attach);
	else if (wait_ms == 0)
		answer_news(s);
}

static int
is_stale(const struct bg_children *chn, const struct bg_xsync_args *args,
    uint64_t *known)
{
	struct bg_item item;

	if (bg_table_get(&item, chn->table, BG_ITEM_MEMBER, args->address) != 0)
		return 0;
	*known = item.major;
	return item.major > args->incarnation;
}

static void
handle_sync(void *arg, struct bg_rpc *rpc, void *raw)
{
	struct bg_children *chn = arg;
	const struct bg_xsync_args *args = raw;
	struct session *s = find_session(chn, args->address);
	uint64_t known = 0;
	int is_attach = args->cursor_incarnation != chn->incarnation;

	if (is_stale(chn, args, &known)) {
		refuse(chn, rpc, BG_XSYNC_STALE_INCARNATION, "", 0, known);
		return;
	}
	if (merge_args(chn, args) != 0 ||
	    strcmp(args->address, chn->self) == 0) {
		refuse(chn, rpc, BG_XSYNC_BUSY, "", BUSY_RETRY_MS, 0);
		return;
	}
	if ((s == NULL || is_attach) &&
	    refuse_attach(chn, rpc, args, s != NULL))
		return;
	/* Without digests there is nothing to resume from. */
	if (is_attach && args->digests.digests_len != BG_DIGEST_BUCKETS) {
		refuse(chn, rpc, BG_XSYNC_BUSY, "", 1, 0);
		return;
	}
	if (s == NULL && (s = session_new(chn, args)) == NULL) {
		bg_rpc_drop(rpc);
		return;
	}
	take_call(s, rpc, args, is_attach);
}

void
bg_children_flush(struct bg_children *chn)
{
	struct bg_table_select sel = {0};
	struct session *s;
	struct session *tmp;

	HASH_ITER(hh, chn->sessions, s, tmp)
	{
		if (s->waiting == NULL)
			continue;
		sel.cursor = s->cursor;
		sel.not_origin = s->origin;
		sel.scope_mask = scope_mask(s);
		if (bg_table_has_news(chn->table, &sel) ||
		    (s->floor_request != 0 &&
			chn->handler.floor_reply(
			    chn->handler.arg, s->floor_request) != 0))
			answer_news(s);
	}
}

void
bg_children_tick(struct bg_children *chn, uint64_t now_ms)
{
	struct session *s;
	struct session *tmp;

	HASH_ITER(hh, chn->sessions, s, tmp)
	{
		if (s->waiting != NULL && now_ms >= s->reply_by_ms)
			answer_news(s);
		if (now_ms - s->heard_ms < BG_DEAD_AFTER_MS)
			continue;
		bg_log_warn("mesh", "silent %s=%s",
		    s->role == BG_SYNC_PEER ? "peer" : "child", s->address);
		if (s->role == BG_SYNC_CHILD)
			chn->handler.silent(
			    chn->handler.arg, s->address, s->incarnation);
		session_free(s);
	}
}

void
bg_children_resumed(struct bg_children *chn, uint64_t now_ms)
{
	struct session *s;

	for (s = chn->sessions; s != NULL; s = s->hh.next)
		s->heard_ms = now_ms;
}

void
bg_children_redirect(struct bg_children *chn, const char *address)
{
	struct session *s;
	struct session *tmp;
	struct bg_rpc *rpc;

	HASH_ITER(hh, chn->sessions, s, tmp)
	{
		rpc = s->waiting;
		s->waiting = NULL;
		if (rpc != NULL) {
			bg_rpc_on_cancel(rpc, NULL, NULL);
			refuse(chn, rpc, BG_XSYNC_REDIRECT, address, 0, 0);
		}
		session_free(s);
	}
}

int
bg_children_has(const struct bg_children *chn, const char *address)
{
	const struct session *s = find_session(chn, address);

	return s != NULL && s->role == BG_SYNC_CHILD;
}

int
bg_children_has_peer(const struct bg_children *chn, const char *data_centre)
{
	const struct session *s;

	for (s = chn->sessions; s != NULL; s = s->hh.next) {
		if (s->role == BG_SYNC_PEER &&
		    strcmp(s->data_centre, data_centre) == 0)
			return 1;
	}
	return 0;
}

size_t
bg_children_count(const struct bg_children *chn)
{
	return count_role(chn, BG_SYNC_CHILD);
}

int
bg_children_confirmed(const struct bg_children *chn, uint64_t cursor)
{
	const struct session *s;

	for (s = chn->sessions; s != NULL; s = s->hh.next) {
		if (s->acknowledged < cursor)
			return 0;
	}
	return 1;
}

int
bg_children_init(
    struct bg_children **out, const struct bg_children_options *opts)
{
	struct bg_rpc_handler sync = {BG_PROC_SYNC,
	    (xdrproc_t)xdr_bg_xsync_args, sizeof(struct bg_xsync_args),
	    handle_sync, NULL};
	struct bg_children *chn;
	int error;

	if ((chn = calloc(1, sizeof(*chn))) == NULL)
		return BG_ENOMEM;
	chn->table = opts->table;
	chn->handler = opts->handler;
	chn->incarnation = opts->incarnation;
	chn->fanout = opts->fanout;
	snprintf(chn->self, sizeof(chn->self), "%s", opts->self);
	snprintf(chn->data_centre, sizeof(chn->data_centre), "%s",
	    opts->data_centre);
	sync.arg = chn;
	if ((error = bg_link_server_handle(opts->server, &sync)) != 0) {
		free(chn);
		return error;
	}
	*out = chn;
	return 0;
}

void
bg_children_free(struct bg_children *chn)
{
	struct session *s;
	struct session *tmp;

	if (chn == NULL)
		return;
	HASH_ITER(hh, chn->sessions, s, tmp)
	{
		session_free(s);
	}
	bg_offers_free(&chn->offers);
	free(chn);
}
