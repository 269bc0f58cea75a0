/* Ownership of slots: the objects in the store. */

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "task/internal.h"

#define KIND_SLOTS "burdock-quota"
#define SLOT_NAME_BYTES 32
#define PROCESS_BYTES 20
#define HEX_BASE 16

static void
slot_name(char out[SLOT_NAME_BYTES], const struct bg_quota_slot *slot)
{
	snprintf(out, SLOT_NAME_BYTES, "%u.%u.%u", slot->quota->rule.shares,
	    slot->share, slot->group);
}

static void
read_record(struct bg_tenure_record *out, const struct bg_store_object *obj)
{
	const char *owner =
	    json_string_value(json_object_get(obj->spec, "owner"));
	const char *process =
	    json_string_value(json_object_get(obj->spec, "process"));

	memset(out, 0, sizeof(*out));
	out->revision = obj->revision;
	if (owner != NULL)
		snprintf(out->owner, sizeof(out->owner), "%s", owner);
	if (process != NULL)
		out->process = strtoull(process, NULL, HEX_BASE);
	out->is_released = json_is_true(json_object_get(obj->spec, "released"));
}

static void
log_end(struct bg_quota_slot *slot, int was_owner)
{
	if (was_owner && slot->tenure.lease_end_ms == 0)
		bg_log_warn("quota", "slot lost share=%u group=%u owner=%s",
		    slot->share, slot->group, slot->tenure.record.owner);
}

static void
observe(struct bg_quota_slot *slot, const struct bg_tenure_record *record)
{
	int was_owner = slot->tenure.lease_end_ms != 0;

	bg_tenure_observe(&slot->tenure, record, bg_clock_now_ms());
	log_end(slot, was_owner);
}

static void
on_read(void *arg, const struct bg_store_response *res)
{
	struct bg_quota_slot *slot = arg;
	struct bg_tenure_record record = {0};

	if (res->code == BG_ECANCELED)
		return;
	slot->is_store_call_pending = 0;
	if (res->code == 0 && res->object_count > 0 &&
	    !res->objects[0].is_deleted)
		read_record(&record, &res->objects[0]);
	else if (res->code != BG_ENOTFOUND) {
		slot->tenure.read_ms = bg_clock_now_ms();
		return;
	}
	observe(slot, &record);
	bg_slot_step(slot, bg_clock_now_ms());
}

static void
on_written(void *arg, const struct bg_store_response *res)
{
	struct bg_quota_slot *slot = arg;
	struct bg_tenure *tnr = &slot->tenure;
	struct bg_tenure_record record;
	uint64_t now_ms = bg_clock_now_ms();
	uint64_t tenure = tnr->tenure;

	if (res->code == BG_ECANCELED)
		return;
	slot->is_store_call_pending = 0;
	if (res->code != 0) {
		bg_log_info("quota",
		    "slot not written share=%u group=%u reason=%s", slot->share,
		    slot->group, bg_error_name(res->code));
		bg_tenure_forget(tnr, now_ms);
		if (res->code == BG_ECONFLICT && res->object_count > 0) {
			read_record(&record, &res->objects[0]);
			observe(slot, &record);
		}
		return;
	}
	bg_tenure_written(tnr, res->revision, slot->write_sent_ms, now_ms);
	if (tnr->tenure == tenure)
		return;
	bg_owner_clear(slot);
	bg_log_info("quota", "slot owned share=%u group=%u tenure=%" PRIu64,
	    slot->share, slot->group, tnr->tenure);
}

static void
on_released(void *arg, const struct bg_store_response *res)
{
	struct bg_quota_slot *slot = arg;

	if (res->code == BG_ECANCELED)
		return;
	slot->is_store_call_pending = 0;
	if (res->code != 0)
		bg_log_info("quota",
		    "slot not released share=%u group=%u reason=%s",
		    slot->share, slot->group, bg_error_name(res->code));
}

static void
start_read(struct bg_quota_slot *slot)
{
	char name[SLOT_NAME_BYTES];
	struct bg_store_query query = {0};

	slot_name(name, slot);
	query.kind = KIND_SLOTS;
	query.name = name;
	/* Cheaper. An old record delays a takeover, and its condition fails. */
	query.may_be_stale = !bg_tenure_needs_exact_read(&slot->tenure);
	if (bg_store_read(slot->quota->store, &query, on_read, slot) == 0)
		slot->is_store_call_pending = 1;
	else
		slot->tenure.read_ms = bg_clock_now_ms();
}

static void
start_write(struct bg_quota_slot *slot, int is_released)
{
	char name[SLOT_NAME_BYTES];
	char process[PROCESS_BYTES];
	struct bg_store_change change = {0};
	int error;

	slot_name(name, slot);
	snprintf(process, sizeof(process), "%016" PRIx64, slot->tenure.process);
	change.action = slot->tenure.record.revision == 0 ? BG_STORE_CREATE
							  : BG_STORE_REPLACE;
	change.kind = KIND_SLOTS;
	change.name = name;
	change.expected_revision = slot->tenure.record.revision;
	/* The sequence makes each renewal a change with a new revision. */
	change.value = json_pack("{s:s, s:s, s:b, s:I}", "owner",
	    slot->quota->address, "process", process, "released", is_released,
	    "seq", (json_int_t)bg_clock_now_ms());
	slot->write_sent_ms = bg_clock_now_ms();
	error = change.value == NULL
	    ? BG_ENOMEM
	    : bg_store_write(slot->quota->store, &change,
		  is_released ? on_released : on_written, slot);
	json_decref(change.value);
	if (error == 0)
		slot->is_store_call_pending = 1;
	else
		bg_tenure_forget(&slot->tenure, slot->write_sent_ms);
}

static void
release(struct bg_quota_slot *slot, uint64_t now_ms)
{
	slot->is_release_pending = 0;
	if (!bg_tenure_is_owner(&slot->tenure, now_ms))
		return;
	bg_tenure_release(&slot->tenure);
	bg_owner_clear(slot);
	if (slot->tenure.is_read)
		start_write(slot, 1);
}

/* Place of this node among the candidates that may take the slot. A node that
 * gave it up is still in the rosters while it drains. */
static int
own_rank(const struct bg_quota_slot *slot)
{
	const struct bg_tenure_record *rec = &slot->tenure.record;

	if (slot->quota->is_leaving)
		return -1;
	return bg_candidates_rank_without(&slot->candidates,
	    slot->quota->address, rec->is_released ? rec->owner : "");
}

void
bg_slot_asked(struct bg_quota_slot *slot, uint64_t now_ms)
{
	bg_tenure_asked(&slot->tenure);
	bg_slot_step(slot, now_ms);
}

void
bg_slot_step(struct bg_quota_slot *slot, uint64_t now_ms)
{
	struct bg_quota *quota = slot->quota;

	if (quota->store == NULL || slot->is_store_call_pending)
		return;
	if (slot->is_release_pending) {
		release(slot, now_ms);
		return;
	}
	switch (bg_tenure_next(&slot->tenure, own_rank(slot), now_ms)) {
	case BG_TENURE_READ:
		start_read(slot);
		break;
	case BG_TENURE_WRITE:
		start_write(slot, 0);
		break;
	case BG_TENURE_WAIT:
		break;
	}
}
