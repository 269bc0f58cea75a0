/* The task: looks after the slots, and admits calls. */

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/counter.h"

#include "task/internal.h"

/* A process that was started again has its slots back early; the roster is
 * known by then as a rule. */
#define FIRST_TICK_MS 100

static struct bg_counter admitted =
    BG_COUNTER("burdock_quota_admitted_total", "Calls admitted by a token.");
static struct bg_counter waited = BG_COUNTER("burdock_quota_waited_total",
    "Calls that waited for the reply of an owner.");
static struct bg_counter refused_over = BG_COUNTER(
    "burdock_quota_refused_total{reason=\"over\"}", "Calls over a cap.");
static struct bg_counter refused_no_owner = BG_COUNTER(
    "burdock_quota_refused_total{reason=\"no-owner\"}", "Calls over a cap.");
static struct bg_counter held_tokens =
    BG_GAUGE("burdock_quota_held", "Tokens that the node holds.");
static struct bg_counter owned_slots =
    BG_GAUGE("burdock_quota_owned_slots", "Slots that the node owns.");

int
bg_quota_is_active(const struct bg_quota *quota)
{
	size_t i;

	if (quota->rule.window_ms == 0 || quota->snapshot == NULL)
		return 0;
	for (i = 0; i < quota->snapshot->organisation_count; i++) {
		if (quota->snapshot->organisations[i].rate_milli_per_s != 0)
			return 1;
	}
	return 0;
}

static int
compare_name(const void *key, const void *element)
{
	const struct bg_organisation *org = element;

	return strcmp(key, org->name);
}

const struct bg_organisation *
bg_quota_find_organisation(const struct bg_quota *quota, const char *name)
{
	const struct bg_snapshot *snap = quota->snapshot;

	if (snap == NULL || snap->organisation_count == 0)
		return NULL;
	return bsearch(name, snap->organisations, snap->organisation_count,
	    sizeof(snap->organisations[0]), compare_name);
}

static void
place_slots(struct bg_quota *quota)
{
	size_t i;

	quota->is_roster_changed = 0;
	quota->home_share = bg_candidates_home_share(quota->roster,
	    quota->settings->node.data_centre, quota->rule.shares);
	for (i = 0; i < quota->slot_count; i++)
		bg_candidates_find(&quota->slots[i].candidates, quota->roster,
		    quota->slots[i].share, quota->slots[i].group);
}

static void
update_gauges(struct bg_quota *quota, uint64_t now_ms)
{
	uint32_t held = 0;
	size_t i;

	for (i = 0; i < quota->slot_count; i++)
		held += bg_client_held(&quota->slots[i], now_ms);
	bg_counter_set(&held_tokens, held);
	bg_counter_set(&owned_slots, bg_quota_owned_slots(quota));
}

static int
arm_timer(struct bg_quota *quota, uint32_t ms)
{
	struct timeval tv = {0, (suseconds_t)ms * 1000};

	return event_add(quota->timer, &tv);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct bg_quota *quota = arg;
	uint64_t now_ms = bg_clock_now_ms();
	size_t i;

	if (quota->is_roster_changed)
		place_slots(quota);
	for (i = 0; i < quota->slot_count; i++) {
		bg_slot_step(&quota->slots[i], now_ms);
		bg_owner_sweep(&quota->slots[i], now_ms);
		bg_client_sweep(&quota->slots[i], now_ms);
	}
	update_gauges(quota, now_ms);
	arm_timer(quota, BG_QUOTA_TICK_MS);
}

static int
init_slots(struct bg_quota *quota)
{
	uint32_t groups = quota->settings->quota.groups;
	struct bg_quota_slot *slot;
	size_t i;

	quota->slots = calloc(quota->slot_count, sizeof(*quota->slots));
	if (quota->slots == NULL)
		return BG_ENOMEM;
	for (i = 0; i < quota->slot_count; i++) {
		slot = &quota->slots[i];
		slot->quota = quota;
		slot->share = (uint32_t)i / groups;
		slot->group = (uint32_t)i % groups;
		bg_tenure_init(&slot->tenure, quota->address, quota->holder,
		    quota->start_ms);
		slot->local_event =
		    event_new(quota->base, -1, 0, bg_client_on_local, slot);
		if (slot->local_event == NULL)
			return BG_ENOMEM;
	}
	return 0;
}

static void
handle_quota(void *arg, struct bg_rpc *rpc, void *args)
{
	struct bg_xquota_grant grants[BG_QUOTA_ENTRIES_MAX];
	struct bg_xquota_res res;

	memset(grants, 0, sizeof(grants));
	res.grants.grants_val = grants;
	bg_owner_answer(arg, args, &res);
	bg_rpc_reply(rpc, (xdrproc_t)xdr_bg_xquota_res, &res);
}

static int
init_events(struct bg_quota *quota, struct bg_link_server *server)
{
	struct bg_rpc_handler handler = {BG_PROC_QUOTA,
	    (xdrproc_t)xdr_bg_xquota_args, sizeof(struct bg_xquota_args),
	    handle_quota, quota};

	quota->timer = event_new(quota->base, -1, 0, on_timer, quota);
	if (quota->timer == NULL)
		return BG_ENOMEM;
	return bg_link_server_add_handler(server, &handler);
}

int
bg_quota_init(struct bg_quota **out, const struct bg_quota_options *opts)
{
	const struct bg_quota_settings *set = &opts->settings->quota;
	struct bg_quota *quota;
	int error;

	assert(opts->version == BG_QUOTA_OPTIONS_VERSION);
	if ((quota = calloc(1, sizeof(*quota))) == NULL)
		return BG_ENOMEM;
	quota->base = opts->base;
	quota->settings = opts->settings;
	quota->store = opts->store;
	quota->links = opts->links;
	bg_rand_init(&quota->rand, 0);
	quota->holder = bg_rand_next(&quota->rand);
	quota->start_ms = bg_clock_now_ms();
	snprintf(quota->address, sizeof(quota->address), "%s", opts->address);
	quota->rule.window_ms = set->window_ms;
	quota->rule.share_permille = set->share_permille;
	quota->rule.slack = set->slack;
	quota->rule.shares = set->shares;
	quota->slot_count = (size_t)set->shares * set->groups;
	if ((error = init_slots(quota)) != 0 ||
	    (error = init_events(quota, opts->server)) != 0) {
		bg_quota_free(quota);
		return error;
	}
	*out = quota;
	return 0;
}

void
bg_quota_free(struct bg_quota *quota)
{
	size_t i;

	if (quota == NULL)
		return;
	for (i = 0; quota->slots != NULL && i < quota->slot_count; i++) {
		bg_owner_clear(&quota->slots[i]);
		bg_client_clear(&quota->slots[i]);
		if (quota->slots[i].local_event != NULL)
			event_free(quota->slots[i].local_event);
	}
	free(quota->slots);
	if (quota->timer != NULL)
		event_free(quota->timer);
	bg_snapshot_release(quota->snapshot);
	free(quota);
}

/* Runs the timer only where there is a cap. Leases run out without it. */
static void
update_timer(struct bg_quota *quota)
{
	if (!bg_quota_is_active(quota))
		event_del(quota->timer);
	else if (!event_pending(quota->timer, EV_TIMEOUT, NULL) &&
	    arm_timer(quota, FIRST_TICK_MS) != 0)
		bg_log_error(
		    "quota", "slots not kept reason=\"out of memory\"");
}

void
bg_quota_set_snapshot(struct bg_quota *quota, struct bg_snapshot *snap)
{
	struct bg_snapshot *last = quota->snapshot;
	size_t i;

	quota->snapshot = bg_snapshot_acquire(snap);
	bg_snapshot_release(last);
	for (i = 0; i < quota->slot_count; i++)
		bg_owner_apply_limits(&quota->slots[i]);
	update_timer(quota);
}

void
bg_quota_set_roster(struct bg_quota *quota, const struct bg_roster *ros)
{
	quota->roster = ros;
	quota->is_roster_changed = 1;
}

static void
on_snapshot(void *arg, struct bg_snapshot *snap)
{
	bg_quota_set_snapshot(arg, snap);
}

static void
on_roster(void *arg, const struct bg_roster *ros)
{
	bg_quota_set_roster(arg, ros);
}

int
bg_quota_follow(struct bg_quota *quota, struct bg_mesh *mesh)
{
	struct bg_mesh_listener listener = {
	    on_snapshot, on_roster, NULL, NULL, NULL, quota};

	return bg_mesh_add_listener(mesh, &listener);
}

static void
count(enum bg_quota_verdict verdict)
{
	if (verdict == BG_QUOTA_ADMITTED)
		bg_counter_add(&admitted, 1);
	else if (verdict == BG_QUOTA_OVER)
		bg_counter_add(&refused_over, 1);
	else if (verdict == BG_QUOTA_NO_OWNER)
		bg_counter_add(&refused_no_owner, 1);
	else
		bg_counter_add(&waited, 1);
}

void
bg_quota_finish(struct bg_quota_ticket *ticket, enum bg_quota_verdict verdict)
{
	struct bg_quota *quota = ticket->quota;
	uint32_t retry_after_ms = 0;
	bg_quota_fn fn = ticket->fn;
	void *arg = ticket->arg;

	if (verdict != BG_QUOTA_ADMITTED)
		retry_after_ms =
		    bg_client_retry_after_ms(quota, ticket->organisation);
	count(verdict);
	free(ticket);
	fn(arg, verdict, retry_after_ms);
}

static enum bg_quota_verdict
admit_by_ask(struct bg_quota_ticket **out, struct bg_quota *quota,
    const struct bg_organisation *org, bg_quota_fn fn, void *arg)
{
	struct bg_quota_ticket *ticket = calloc(1, sizeof(*ticket));
	enum bg_quota_verdict verdict;

	if (ticket == NULL) {
		bg_log_error("quota",
		    "not admitted organisation=%s reason=\"out of memory\"",
		    org->name);
		return BG_QUOTA_NO_OWNER;
	}
	ticket->quota = quota;
	ticket->fn = fn;
	ticket->arg = arg;
	snprintf(ticket->organisation, sizeof(ticket->organisation), "%s",
	    org->name);
	verdict = bg_client_advance(ticket);
	if (verdict == BG_QUOTA_PENDING)
		*out = ticket;
	else
		free(ticket);
	return verdict;
}

enum bg_quota_verdict
bg_quota_admit(struct bg_quota_ticket **out, uint32_t *out_retry_after_ms,
    struct bg_quota *quota, const struct bg_organisation *org, bg_quota_fn fn,
    void *arg)
{
	enum bg_quota_verdict verdict = BG_QUOTA_ADMITTED;

	*out = NULL;
	*out_retry_after_ms = 0;
	if (quota->rule.window_ms == 0 || org->rate_milli_per_s == 0)
		return BG_QUOTA_ADMITTED;
	if (quota->is_roster_changed)
		place_slots(quota);
	bg_client_count(quota, org->name);
	if (!bg_client_take(quota, org->name))
		verdict = admit_by_ask(out, quota, org, fn, arg);
	if (verdict == BG_QUOTA_OVER || verdict == BG_QUOTA_NO_OWNER)
		*out_retry_after_ms =
		    bg_client_retry_after_ms(quota, org->name);
	count(verdict);
	return verdict;
}

void
bg_quota_cancel(struct bg_quota_ticket *ticket)
{
	if (ticket == NULL)
		return;
	bg_client_remove(ticket);
	free(ticket);
}

void
bg_quota_leave(struct bg_quota *quota)
{
	uint64_t now_ms = bg_clock_now_ms();
	size_t i;

	quota->is_leaving = 1;
	for (i = 0; i < quota->slot_count; i++) {
		quota->slots[i].is_release_pending = 1;
		bg_slot_step(&quota->slots[i], now_ms);
	}
}

uint32_t
bg_quota_owned_slots(const struct bg_quota *quota)
{
	uint64_t now_ms = bg_clock_now_ms();
	uint32_t owned = 0;
	size_t i;

	for (i = 0; i < quota->slot_count; i++)
		owned +=
		    bg_tenure_is_owner(&quota->slots[i].tenure, now_ms) != 0;
	return owned;
}
