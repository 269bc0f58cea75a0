/* The client's side: tokens in hand, asks to the owners of slots, and the calls
 * that wait for a reply. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/counter.h"

#include "task/internal.h"

/* Shortest interval between two asks to a slot that no call waits for. */
#define AHEAD_INTERVAL_MS 100
/* A slot whose owner did not reply is not asked for this long. Its other
 * candidate is asked next. */
#define DOWN_MS 150
/* An organisation without calls for this long has no purse. */
#define IDLE_MS 10000
#define RETRY_DEFAULT_MS 200

static struct bg_counter asks =
    BG_COUNTER("burdock_quota_asks_total", "Asks for tokens.");
static struct bg_counter failed_asks = BG_COUNTER(
    "burdock_quota_failed_asks_total", "Asks that no owner answered.");

static void flush(struct bg_quota_slot *slot);

static struct bg_quota_slot *
find_slot(struct bg_quota *quota, uint32_t share, const char *organisation)
{
	uint32_t groups = quota->settings->quota.groups;

	return &quota->slots[share * groups +
	    bg_candidates_group(organisation, groups)];
}

static struct bg_purse *
find_purse(struct bg_quota_slot *slot, const char *organisation)
{
	struct bg_purse *purse;

	HASH_FIND_STR(slot->purses, organisation, purse);
	return purse;
}

/* @return NULL if memory is exhausted */
static struct bg_purse *
get_purse(struct bg_quota_slot *slot, const char *organisation)
{
	struct bg_purse *purse = find_purse(slot, organisation);

	if (purse != NULL || (purse = calloc(1, sizeof(*purse))) == NULL)
		return purse;
	purse->slot = slot;
	snprintf(purse->organisation, sizeof(purse->organisation), "%s",
	    organisation);
	HASH_ADD_STR(slot->purses, organisation, purse);
	return purse;
}

static void
append_ticket(struct bg_purse *purse, struct bg_quota_ticket *ticket)
{
	ticket->purse = purse;
	ticket->next = NULL;
	ticket->prev = purse->last;
	if (purse->last != NULL)
		purse->last->next = ticket;
	else
		purse->first = ticket;
	purse->last = ticket;
	purse->waiting_count++;
}

void
bg_client_remove(struct bg_quota_ticket *ticket)
{
	struct bg_purse *purse = ticket->purse;

	if (purse == NULL)
		return;
	if (ticket->prev != NULL)
		ticket->prev->next = ticket->next;
	else
		purse->first = ticket->next;
	if (ticket->next != NULL)
		ticket->next->prev = ticket->prev;
	else
		purse->last = ticket->prev;
	ticket->purse = NULL;
	purse->waiting_count--;
}

void
bg_client_count(struct bg_quota *quota, const char *organisation)
{
	struct bg_purse *purse = get_purse(
	    find_slot(quota, quota->home_share, organisation), organisation);

	if (purse != NULL)
		bg_wallet_count(&purse->wallet, bg_clock_now_ms());
}

/* Uses a token, and asks for more where calls come steadily. */
static int
take(struct bg_purse *purse, uint64_t now_ms)
{
	struct bg_quota_slot *slot = purse->slot;

	if (!bg_wallet_take(&purse->wallet, now_ms))
		return 0;
	if (bg_wallet_is_low(&purse->wallet, now_ms) &&
	    now_ms >= slot->asked_ms + AHEAD_INTERVAL_MS)
		flush(slot);
	return 1;
}

int
bg_client_take(struct bg_quota *quota, const char *organisation)
{
	uint64_t now_ms = bg_clock_now_ms();
	struct bg_purse *purse;
	uint32_t share;

	for (share = 0; share < quota->rule.shares; share++) {
		purse = find_purse(
		    find_slot(quota, share, organisation), organisation);
		if (purse != NULL && take(purse, now_ms))
			return 1;
	}
	return 0;
}

uint32_t
bg_client_retry_after_ms(struct bg_quota *quota, const char *organisation)
{
	uint64_t now_ms = bg_clock_now_ms();
	uint64_t shortest = UINT64_MAX;
	struct bg_purse *purse;
	uint32_t share;

	for (share = 0; share < quota->rule.shares; share++) {
		purse = find_purse(
		    find_slot(quota, share, organisation), organisation);
		if (purse != NULL && bg_wallet_is_dry(&purse->wallet, now_ms) &&
		    purse->wallet.dry_end_ms - now_ms < shortest)
			shortest = purse->wallet.dry_end_ms - now_ms;
	}
	return shortest == UINT64_MAX ? RETRY_DEFAULT_MS : (uint32_t)shortest;
}

enum bg_quota_verdict
bg_client_advance(struct bg_quota_ticket *ticket)
{
	struct bg_quota *quota = ticket->quota;
	uint64_t now_ms = bg_clock_now_ms();
	struct bg_quota_slot *slot;
	struct bg_purse *purse;
	uint32_t share;
	uint32_t i;

	for (i = 0; i < quota->rule.shares; i++) {
		share = (quota->home_share + i) % quota->rule.shares;
		if (ticket->tried_shares & 1u << share)
			continue;
		ticket->tried_shares |= 1u << share;
		slot = find_slot(quota, share, ticket->organisation);
		if ((purse = get_purse(slot, ticket->organisation)) == NULL)
			continue;
		if (take(purse, now_ms))
			return BG_QUOTA_ADMITTED;
		if (bg_wallet_is_dry(&purse->wallet, now_ms)) {
			ticket->is_over = 1;
			continue;
		}
		if (now_ms < slot->down_end_ms)
			continue;
		append_ticket(purse, ticket);
		flush(slot);
		return BG_QUOTA_PENDING;
	}
	return ticket->is_over ? BG_QUOTA_OVER : BG_QUOTA_NO_OWNER;
}

/* Lets a call that got no token here try the other shares. */
static void
move_on(struct bg_quota_ticket *ticket, int is_over)
{
	enum bg_quota_verdict verdict;

	bg_client_remove(ticket);
	ticket->is_over |= is_over;
	verdict = bg_client_advance(ticket);
	if (verdict != BG_QUOTA_PENDING)
		bg_quota_finish(ticket, verdict);
}

/* None of the calls comes back here, since each tries a share once. */
static void
move_all_on(struct bg_purse *purse, int is_over)
{
	while (purse->first != NULL)
		move_on(purse->first, is_over);
}

static void
serve(struct bg_purse *purse, uint32_t tokens)
{
	struct bg_quota_ticket *ticket;

	while (tokens-- > 0 && (ticket = purse->first) != NULL) {
		bg_client_remove(ticket);
		bg_quota_finish(ticket, BG_QUOTA_ADMITTED);
	}
}

static void
settle(struct bg_quota_slot *slot, const struct bg_xquota_res *res)
{
	const struct bg_xquota_grant *x;
	struct bg_wallet_grant grant;
	struct bg_purse *purse;
	uint32_t tokens;
	size_t i;

	slot->tenure_seen = res->tenure;
	snprintf(slot->owner, sizeof(slot->owner), "%s", slot->asked_address);
	slot->down_end_ms = 0;
	slot->is_redirected = 0;
	for (i = 0; i < slot->asked_count; i++) {
		x = &res->grants.grants_val[i];
		purse = slot->asked[i];
		grant.tenure = res->tenure;
		grant.kept = x->kept;
		grant.granted = x->granted;
		grant.valid_ms = x->valid_ms;
		grant.retry_after_ms = x->retry_after_ms;
		tokens = bg_wallet_settle(
		    &purse->wallet, &grant, slot->asked_ms, bg_clock_now_ms());
		serve(purse, tokens);
		if (bg_wallet_is_dry(&purse->wallet, bg_clock_now_ms()))
			move_all_on(purse, 1);
	}
}

/* No owner answered. The next ask goes to the node that it was referred to, or
 * to another candidate; calls go on to the other shares, unless this node was
 * referred. */
static void
handle_failure(struct bg_quota_slot *slot, const char *owner)
{
	struct bg_purse *purse;
	struct bg_purse *tmp;

	bg_counter_add(&failed_asks, 1);
	slot->owner[0] = '\0';
	if (owner != NULL && owner[0] != '\0' && !slot->is_redirected) {
		snprintf(slot->owner, sizeof(slot->owner), "%s", owner);
		slot->is_redirected = 1;
		return;
	}
	slot->is_redirected = 0;
	slot->rank++;
	slot->down_end_ms = bg_clock_now_ms() + DOWN_MS;
	HASH_ITER(hh, slot->purses, purse, tmp)
	move_all_on(purse, 0);
}

static int
is_waited_for(const struct bg_quota_slot *slot)
{
	const struct bg_purse *purse;

	for (purse = slot->purses; purse != NULL; purse = purse->hh.next) {
		if (purse->first != NULL)
			return 1;
	}
	return 0;
}

/* @param res NULL if the ask failed */
static void
handle_reply(struct bg_quota_slot *slot, const struct bg_xquota_res *res)
{
	slot->is_asking = 0;
	slot->is_settling = 1;
	if (res != NULL && res->is_owner &&
	    res->grants.grants_len == slot->asked_count)
		settle(slot, res);
	else
		handle_failure(slot, res == NULL ? NULL : res->owner);
	slot->is_settling = 0;
	if (is_waited_for(slot))
		flush(slot);
}

static void
on_reply(void *arg, int code, void *res)
{
	if (code != BG_ECANCELED)
		handle_reply(arg, code == 0 ? res : NULL);
}

/* Adds a purse to the ask. */
static void
add_ask(struct bg_quota_slot *slot, struct bg_xquota_ask *entries,
    struct bg_purse *purse, uint64_t now_ms)
{
	struct bg_xquota_ask *entry = &entries[slot->asked_count];
	struct bg_wallet_ask ask;

	bg_wallet_fill_ask(&ask, &purse->wallet, purse->waiting_count, now_ms);
	entry->organisation = purse->organisation;
	/* The owner can keep only what it has granted itself. */
	entry->held = purse->wallet.tenure == slot->tenure_seen ? ask.held : 0;
	entry->waiting = ask.waiting;
	entry->spare = ask.spare;
	slot->asked[slot->asked_count++] = purse;
}

/* Fills an ask for the calls that wait and the purses that run low. */
static void
fill_args(struct bg_xquota_args *out, struct bg_xquota_ask *entries,
    struct bg_quota_slot *slot, uint64_t now_ms)
{
	struct bg_purse *purse;
	int pass;

	slot->asked_count = 0;
	for (pass = 0; pass < 2; pass++) {
		for (purse = slot->purses; purse != NULL;
		     purse = purse->hh.next) {
			if (slot->asked_count == BG_QUOTA_ENTRIES_MAX)
				break;
			if (pass == 0 ? purse->first != NULL
				      : purse->first == NULL &&
				    bg_wallet_is_low(&purse->wallet, now_ms))
				add_ask(slot, entries, purse, now_ms);
		}
	}
	out->share = slot->share;
	out->group = slot->group;
	out->holder = slot->quota->holder;
	out->tenure = slot->tenure_seen;
	out->seq = ++slot->quota->ask_seq;
	out->asks.asks_val = entries;
	out->asks.asks_len = (u_int)slot->asked_count;
}

/* Node to ask: the owner, or a candidate. @return NULL if there is none */
static const char *
address_to_ask(const struct bg_quota_slot *slot, uint64_t now_ms)
{
	const struct bg_candidates *cands = &slot->candidates;

	if (bg_tenure_is_owner(&slot->tenure, now_ms))
		return slot->quota->address;
	if (slot->owner[0] != '\0')
		return slot->owner;
	return cands->count == 0 ? NULL
				 : cands->addresses[slot->rank % cands->count];
}

/* Answers an ask to this node itself, or ends one that could not be sent. */
void
bg_client_on_local(evutil_socket_t fd, short what, void *arg)
{
	struct bg_xquota_grant grants[BG_QUOTA_ENTRIES_MAX];
	struct bg_xquota_ask entries[BG_QUOTA_ENTRIES_MAX];
	struct bg_quota_slot *slot = arg;
	struct bg_xquota_args args;
	struct bg_xquota_res res;

	if (slot->has_send_failed) {
		slot->has_send_failed = 0;
		handle_reply(slot, NULL);
		return;
	}
	slot->asked_ms = bg_clock_now_ms();
	slot->asked_address[0] = '\0';
	fill_args(&args, entries, slot, slot->asked_ms);
	memset(grants, 0, sizeof(grants));
	res.grants.grants_val = grants;
	bg_owner_answer(slot->quota, &args, &res);
	handle_reply(slot, &res);
}

static int
send_ask(struct bg_quota_slot *slot, const char *address)
{
	struct bg_xquota_ask entries[BG_QUOTA_ENTRIES_MAX];
	struct bg_xquota_args args;
	struct bg_link *link;
	int error;

	error = bg_link_pool_get(&link, slot->quota->links, address, NULL);
	if (error != 0)
		return error;
	slot->asked_ms = bg_clock_now_ms();
	snprintf(
	    slot->asked_address, sizeof(slot->asked_address), "%s", address);
	fill_args(&args, entries, slot, slot->asked_ms);
	return bg_link_call(NULL, link, BG_PROC_QUOTA,
	    (xdrproc_t)xdr_bg_xquota_args, &args, (xdrproc_t)xdr_bg_xquota_res,
	    sizeof(struct bg_xquota_res), BG_QUOTA_ASK_TIMEOUT_MS, on_reply,
	    slot);
}

/* Sends an ask, unless one is under way. */
static void
flush(struct bg_quota_slot *slot)
{
	uint64_t now_ms = bg_clock_now_ms();
	const char *address;

	if (slot->is_asking || slot->is_settling)
		return;
	bg_counter_add(&asks, 1);
	slot->is_asking = 1;
	address = address_to_ask(slot, now_ms);
	if (address != NULL && strcmp(address, slot->quota->address) == 0)
		event_active(slot->local_event, EV_TIMEOUT, 0);
	else if (address == NULL || send_ask(slot, address) != 0) {
		/* Ends in the event loop, as a reply does. */
		slot->has_send_failed = 1;
		event_active(slot->local_event, EV_TIMEOUT, 0);
	}
}

void
bg_client_sweep(struct bg_quota_slot *slot, uint64_t now_ms)
{
	struct bg_purse *purse;
	struct bg_purse *tmp;

	if (slot->is_asking || slot->is_settling)
		return;
	HASH_ITER(hh, slot->purses, purse, tmp)
	{
		if (purse->first != NULL ||
		    now_ms < purse->wallet.arrived_ms + IDLE_MS ||
		    now_ms < purse->wallet.valid_end_ms)
			continue;
		HASH_DEL(slot->purses, purse);
		free(purse);
	}
}

void
bg_client_clear(struct bg_quota_slot *slot)
{
	struct bg_quota_ticket *ticket;
	struct bg_purse *purse;
	struct bg_purse *tmp;

	HASH_ITER(hh, slot->purses, purse, tmp)
	{
		while ((ticket = purse->first) != NULL) {
			bg_client_remove(ticket);
			free(ticket);
		}
		HASH_DEL(slot->purses, purse);
		free(purse);
	}
}

uint32_t
bg_client_held(const struct bg_quota_slot *slot, uint64_t now_ms)
{
	const struct bg_purse *purse;
	uint32_t held = 0;

	for (purse = slot->purses; purse != NULL; purse = purse->hh.next) {
		if (now_ms < purse->wallet.valid_end_ms)
			held += purse->wallet.held;
	}
	return held;
}
