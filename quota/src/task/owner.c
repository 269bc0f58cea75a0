/* The owner's side: buckets of the organisations of a slot. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "task/internal.h"

/* Retry of an organisation that this node's configuration does not have yet. */
#define UNKNOWN_RETRY_MS 150

static void
set_limits(struct bg_bucket_limits *out, const struct bg_quota *quota,
    const struct bg_organisation *org)
{
	bg_bucket_limits_init(
	    out, &quota->rule, org->rate_milli_per_s, org->burst);
}

/* @return NULL if memory is exhausted */
static struct bg_account *
get_account(struct bg_quota_slot *slot, const struct bg_organisation *org,
    uint64_t now_ms)
{
	struct bg_bucket_limits limits;
	struct bg_account *acc;

	HASH_FIND_STR(slot->accounts, org->name, acc);
	if (acc != NULL)
		return acc;
	if ((acc = calloc(1, sizeof(*acc))) == NULL)
		return NULL;
	snprintf(acc->organisation, sizeof(acc->organisation), "%s", org->name);
	set_limits(&limits, slot->quota, org);
	bg_bucket_start(&acc->bucket, &limits, slot->quota->rule.window_ms,
	    slot->tenure.clean_ms, now_ms);
	HASH_ADD_STR(slot->accounts, organisation, acc);
	return acc;
}

static void
answer_one(struct bg_xquota_grant *out, struct bg_quota_slot *slot,
    const struct bg_xquota_args *args, const struct bg_xquota_ask *entry)
{
	const struct bg_organisation *org =
	    bg_quota_find_organisation(slot->quota, entry->organisation);
	uint64_t now_ms = bg_clock_now_ms();
	struct bg_bucket_grant grant = {0};
	struct bg_bucket_ask ask;
	struct bg_account *acc;

	memset(out, 0, sizeof(*out));
	out->retry_after_ms = UNKNOWN_RETRY_MS;
	if (org == NULL)
		return;
	if (org->rate_milli_per_s == 0) {
		out->kept = entry->held;
		out->granted = entry->waiting + entry->spare;
		out->valid_ms = BG_QUOTA_LEASE_MS;
		out->retry_after_ms = 0;
		return;
	}
	ask.holder = args->holder;
	ask.seq = args->seq;
	ask.held = args->tenure == slot->tenure.tenure ? entry->held : 0;
	ask.waiting = entry->waiting;
	ask.spare = entry->spare;
	if ((acc = get_account(slot, org, now_ms)) == NULL ||
	    bg_bucket_ask(&grant, &acc->bucket, &ask, now_ms) != 0) {
		bg_log_error("quota",
		    "no grant organisation=%s reason=\"out of memory\"",
		    org->name);
		return;
	}
	out->kept = grant.kept;
	out->granted = grant.granted;
	out->valid_ms = grant.valid_ms;
	out->retry_after_ms = grant.retry_after_ms;
}

/* Tells the owner, if this node knows it from the store. */
static void
refer(struct bg_xquota_res *res, struct bg_quota_slot *slot)
{
	const struct bg_tenure_record *rec = &slot->tenure.record;

	if (slot->tenure.is_read && rec->revision != 0 && !rec->is_released &&
	    strcmp(rec->owner, slot->quota->address) != 0)
		res->owner = slot->tenure.record.owner;
}

void
bg_owner_answer(struct bg_quota *quota, const struct bg_xquota_args *args,
    struct bg_xquota_res *res)
{
	struct bg_quota_slot *slot;
	uint64_t now_ms;
	u_int i;

	res->is_owner = 0;
	res->owner = (char *)"";
	res->tenure = 0;
	res->grants.grants_len = 0;
	if (args->share >= quota->rule.shares ||
	    args->group >= quota->settings->quota.groups)
		return;
	slot = &quota->slots[args->share * quota->settings->quota.groups +
	    args->group];
	now_ms = bg_clock_now_ms();
	if (!bg_tenure_is_owner(&slot->tenure, now_ms)) {
		bg_slot_asked(slot, now_ms);
		refer(res, slot);
		return;
	}
	res->is_owner = 1;
	res->tenure = slot->tenure.tenure;
	res->grants.grants_len = args->asks.asks_len;
	for (i = 0; i < args->asks.asks_len; i++)
		answer_one(&res->grants.grants_val[i], slot, args,
		    &args->asks.asks_val[i]);
}

void
bg_owner_apply_limits(struct bg_quota_slot *slot)
{
	const struct bg_organisation *org;
	struct bg_bucket_limits limits;
	struct bg_account *acc;
	struct bg_account *tmp;
	uint64_t now_ms = bg_clock_now_ms();

	HASH_ITER(hh, slot->accounts, acc, tmp)
	{
		org =
		    bg_quota_find_organisation(slot->quota, acc->organisation);
		if (org == NULL || org->rate_milli_per_s == 0)
			continue;
		set_limits(&limits, slot->quota, org);
		if (memcmp(&limits, bg_bucket_last_limits(&acc->bucket),
			sizeof(limits)) == 0)
			continue;
		bg_log_info("quota",
		    "cap changed organisation=%s share=%u rate_milli_per_s=%u "
		    "burst=%u",
		    acc->organisation, slot->share, org->rate_milli_per_s,
		    org->burst);
		bg_bucket_set_limits(
		    &acc->bucket, &limits, slot->quota->rule.window_ms, now_ms);
	}
}

static void
free_account(struct bg_quota_slot *slot, struct bg_account *acc)
{
	/* The analyzer does not know that acc is in the table. */
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	HASH_DEL(slot->accounts, acc);
	bg_bucket_free(&acc->bucket);
	free(acc);
}

void
bg_owner_clear(struct bg_quota_slot *slot)
{
	struct bg_account *acc;
	struct bg_account *tmp;

	HASH_ITER(hh, slot->accounts, acc, tmp)
	free_account(slot, acc);
}

void
bg_owner_sweep(struct bg_quota_slot *slot, uint64_t now_ms)
{
	struct bg_account *acc;
	struct bg_account *tmp;

	HASH_ITER(hh, slot->accounts, acc, tmp)
	{
		if (bg_bucket_is_full(&acc->bucket, now_ms))
			free_account(slot, acc);
	}
}
