#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "burdockgrade/error.h"

#include "store/store.h"

/* Slots of a new set: groups that are rarely used stay below 2 KiB. */
#define FIRST_SLOTS 40
/* A set grows by a quarter when seven eighths of it are used. This keeps the
 * memory for a record near 50 bytes; doubling would take up to 90. */
#define FULL_NUMERATOR 7
#define FULL_DENOMINATOR 8
#define GROWTH_DIVISOR 4

struct bg_kept_answer {
	struct bg_kept_answer *prev;
	struct bg_kept_answer *next;
	struct bg_record_set *set;
	uint64_t fingerprint;
	uint64_t born_ms;
	uint32_t data_bytes;
	char data[];
};

struct bg_store {
	struct bg_kept_answer *answers; /* oldest first */
	size_t limit_bytes;
	size_t used_bytes;
	size_t set_count;
};

struct bg_record_set {
	struct bg_store *store;
	struct bg_record *slots;
	size_t slot_count;
	size_t count;
	size_t sweep_at;
};

uint32_t
bg_record_born_s(uint64_t now_ms, uint64_t age_ms)
{
	if (age_ms > BG_RECORD_KEEP_MS)
		age_ms = BG_RECORD_KEEP_MS;
	return (uint32_t)((now_ms + BG_RECORD_KEEP_MS - age_ms) / 1000);
}

uint64_t
bg_record_age_ms(const struct bg_record *rec, uint64_t now_ms)
{
	uint64_t born_ms = rec->born_s * 1000ull;

	now_ms += BG_RECORD_KEEP_MS;
	return now_ms > born_ms ? now_ms - born_ms : 0;
}

int
bg_store_init(struct bg_store **out, size_t limit_bytes)
{
	struct bg_store *sto;

	if ((sto = calloc(1, sizeof(*sto))) == NULL)
		return BG_ENOMEM;
	sto->limit_bytes = limit_bytes;
	*out = sto;
	return 0;
}

void
bg_store_free(struct bg_store *sto)
{
	if (sto == NULL)
		return;
	assert(sto->set_count == 0);
	free(sto);
}

size_t
bg_store_used_bytes(const struct bg_store *sto)
{
	return sto->used_bytes;
}

/* Position of a fingerprint: its high bits scaled to the slot count. */
static size_t
home_slot(const struct bg_record_set *set, uint64_t fingerprint)
{
	return (
	    size_t)(((unsigned __int128)fingerprint * set->slot_count) >> 64);
}

static size_t
find_slot(const struct bg_record_set *set, uint64_t fingerprint)
{
	size_t i = home_slot(set, fingerprint);

	while (set->slots[i].state != 0 &&
	    set->slots[i].fingerprint != fingerprint)
		i = i + 1 == set->slot_count ? 0 : i + 1;
	return i;
}

static void
drop_answer(struct bg_store *sto, struct bg_kept_answer *kept)
{
	size_t i = find_slot(kept->set, kept->fingerprint);

	if (kept->set->slots[i].state != 0)
		kept->set->slots[i].answer = NULL;
	DL_DELETE(sto->answers, kept);
	sto->used_bytes -= sizeof(*kept) + kept->data_bytes;
	free(kept);
}

void
bg_store_expire(struct bg_store *sto, uint64_t now_ms)
{
	while (sto->answers != NULL &&
	    sto->answers->born_ms + BG_ANSWER_KEEP_MS <= now_ms)
		drop_answer(sto, sto->answers);
}

/* Drops the oldest answers until the bytes fit. */
static int
make_room(struct bg_store *sto, size_t bytes)
{
	while (
	    sto->used_bytes + bytes > sto->limit_bytes && sto->answers != NULL)
		drop_answer(sto, sto->answers);
	return sto->used_bytes + bytes <= sto->limit_bytes ? 0 : BG_ELIMIT;
}

static int
resize(struct bg_record_set *set, size_t slot_count)
{
	struct bg_record *old = set->slots;
	size_t old_count = set->slot_count;
	size_t added = (slot_count - old_count) * sizeof(*old);
	size_t i;
	int error;

	if ((error = make_room(set->store, added)) != 0)
		return error;
	if ((set->slots = calloc(slot_count, sizeof(*old))) == NULL) {
		set->slots = old;
		return BG_ELIMIT;
	}
	set->slot_count = slot_count;
	for (i = 0; i < old_count; i++) {
		if (old[i].state != 0)
			set->slots[find_slot(set, old[i].fingerprint)] = old[i];
	}
	set->store->used_bytes += added;
	free(old);
	return 0;
}

int
bg_record_set_init(struct bg_record_set **out, struct bg_store *sto)
{
	struct bg_record_set *set;
	int error;

	if ((set = calloc(1, sizeof(*set))) == NULL)
		return BG_ENOMEM;
	set->store = sto;
	if ((error = resize(set, FIRST_SLOTS)) != 0) {
		free(set);
		return error;
	}
	sto->set_count++;
	*out = set;
	return 0;
}

static void
drop_answers(struct bg_record_set *set)
{
	size_t i;

	for (i = 0; i < set->slot_count; i++) {
		if (set->slots[i].answer != NULL)
			drop_answer(set->store, set->slots[i].answer);
	}
}

void
bg_record_set_clear(struct bg_record_set *set)
{
	struct bg_record *slots = calloc(FIRST_SLOTS, sizeof(*slots));

	drop_answers(set);
	set->count = 0;
	set->sweep_at = 0;
	if (slots == NULL) {
		memset(set->slots, 0, set->slot_count * sizeof(*slots));
		return;
	}
	set->store->used_bytes -=
	    (set->slot_count - FIRST_SLOTS) * sizeof(*slots);
	free(set->slots);
	set->slots = slots;
	set->slot_count = FIRST_SLOTS;
}

void
bg_record_set_free(struct bg_record_set *set)
{
	if (set == NULL)
		return;
	drop_answers(set);
	set->store->used_bytes -= set->slot_count * sizeof(*set->slots);
	set->store->set_count--;
	free(set->slots);
	free(set);
}

size_t
bg_record_set_count(const struct bg_record_set *set)
{
	return set->count;
}

const struct bg_record *
bg_record_set_find(const struct bg_record_set *set, uint64_t fingerprint)
{
	size_t i = find_slot(set, fingerprint);

	return set->slots[i].state == 0 ? NULL : &set->slots[i];
}

static void
keep_answer(struct bg_record_set *set, uint64_t fingerprint,
    const struct bg_xanswer *ans, uint64_t born_ms)
{
	uint32_t bytes = (uint32_t)xdr_sizeof(
	    (xdrproc_t)xdr_bg_xanswer, (void *)(uintptr_t)ans);
	struct bg_kept_answer *kept;
	size_t i;
	XDR xdrs;

	if (bytes > BG_ANSWER_BYTES ||
	    make_room(set->store, sizeof(*kept) + bytes) != 0 ||
	    (kept = calloc(1, sizeof(*kept) + bytes)) == NULL)
		return;
	xdrmem_create(&xdrs, kept->data, bytes, XDR_ENCODE);
	if (!xdr_bg_xanswer(&xdrs, (struct bg_xanswer *)(uintptr_t)ans)) {
		free(kept);
		return;
	}
	kept->set = set;
	kept->fingerprint = fingerprint;
	kept->born_ms = born_ms;
	kept->data_bytes = bytes;
	i = find_slot(set, fingerprint);
	set->slots[i].answer = kept;
	DL_APPEND(set->store->answers, kept);
	set->store->used_bytes += sizeof(*kept) + bytes;
}

static int
is_newer(const struct bg_record *rec, const struct bg_record *held)
{
	if (rec->grant != held->grant)
		return rec->grant > held->grant;
	return rec->state > held->state;
}

int
bg_record_set_merge(struct bg_record_set *set, const struct bg_record *rec,
    const struct bg_xanswer *ans, uint64_t now_ms)
{
	size_t i = find_slot(set, rec->fingerprint);
	int error;

	assert(rec->state != 0);
	if (set->slots[i].state == 0) {
		if ((set->count + 1) * FULL_DENOMINATOR >
		    set->slot_count * FULL_NUMERATOR) {
			error = resize(set,
			    set->slot_count + set->slot_count / GROWTH_DIVISOR);
			if (error != 0)
				return error;
			i = find_slot(set, rec->fingerprint);
		}
		set->count++;
	} else if (!is_newer(rec, &set->slots[i]))
		return 0;
	if (set->slots[i].answer != NULL)
		drop_answer(set->store, set->slots[i].answer);
	set->slots[i] = *rec;
	set->slots[i].answer = NULL;
	if (ans != NULL && rec->state == BG_RECORD_DONE)
		keep_answer(set, rec->fingerprint, ans, now_ms);
	return 0;
}

/* Removes a slot and moves back the records that were displaced by it. */
static void
remove_slot(struct bg_record_set *set, size_t hole)
{
	size_t i = hole;
	size_t home;

	if (set->slots[hole].answer != NULL)
		drop_answer(set->store, set->slots[hole].answer);
	set->count--;
	for (;;) {
		i = i + 1 == set->slot_count ? 0 : i + 1;
		if (set->slots[i].state == 0)
			break;
		home = home_slot(set, set->slots[i].fingerprint);
		/* The record may move if its home is not within (hole, i]. */
		if (hole <= i ? home > hole && home <= i
			      : home > hole || home <= i)
			continue;
		set->slots[hole] = set->slots[i];
		hole = i;
	}
	memset(&set->slots[hole], 0, sizeof(set->slots[hole]));
}

void
bg_record_set_sweep(struct bg_record_set *set, uint64_t now_ms, size_t slots)
{
	const struct bg_record *rec;

	if (slots > set->slot_count)
		slots = set->slot_count;
	for (; slots > 0; slots--) {
		if (set->sweep_at >= set->slot_count)
			set->sweep_at = 0;
		rec = &set->slots[set->sweep_at];
		if (rec->state != 0 &&
		    bg_record_age_ms(rec, now_ms) > BG_RECORD_KEEP_MS + 1000)
			remove_slot(set, set->sweep_at);
		else
			set->sweep_at++;
	}
}

int
bg_record_set_list(
    uint64_t **out, size_t *out_count, const struct bg_record_set *set)
{
	size_t i;
	size_t n = 0;

	if ((*out = calloc(set->count + 1, sizeof(**out))) == NULL)
		return BG_ENOMEM;
	for (i = 0; i < set->slot_count; i++) {
		if (set->slots[i].state != 0)
			(*out)[n++] = set->slots[i].fingerprint;
	}
	*out_count = n;
	return 0;
}

int
bg_kept_answer_decode(struct bg_xanswer *out, const struct bg_kept_answer *kept)
{
	XDR xdrs;

	memset(out, 0, sizeof(*out));
	xdrmem_create(
	    &xdrs, (char *)(uintptr_t)kept->data, kept->data_bytes, XDR_DECODE);
	if (!xdr_bg_xanswer(&xdrs, out)) {
		xdr_free((xdrproc_t)xdr_bg_xanswer, (char *)out);
		return BG_EPROTO;
	}
	return 0;
}
