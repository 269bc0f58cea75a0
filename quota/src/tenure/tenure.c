#include <stdio.h>
#include <string.h>

#include "tenure.h"

/* Added to the lease of another owner, for clocks that differ in rate. */
#define LEASE_MARGIN_MS 2000
/* Interval at which candidates look for an owner that is gone. */
#define POLL_MS 5000
/* The same while other nodes ask this one for tokens: the owner may have given
 * the slot up. */
#define ASKED_POLL_MS 1000
/* A slot that never had an owner is taken this long after the start of the
 * process: while a fleet starts, rosters are incomplete, and its owner would
 * not be among the candidates later. */
#define SETTLE_MS 2000
/* After a failed call to the store. */
#define RETRY_MS 500
/* A candidate leaves this much time to each one before it. */
#define RANK_DELAY_MS 700

void
bg_tenure_init(struct bg_tenure *out, const char *address, uint64_t process,
    uint64_t process_start_ms)
{
	memset(out, 0, sizeof(*out));
	out->address = address;
	out->process = process;
	out->process_start_ms = process_start_ms;
}

int
bg_tenure_is_owner(const struct bg_tenure *tnr, uint64_t now_ms)
{
	return now_ms < tnr->lease_end_ms;
}

static int
is_own_address(const struct bg_tenure *tnr)
{
	return tnr->record.revision != 0 && !tnr->record.is_released &&
	    strcmp(tnr->record.owner, tnr->address) == 0;
}

/* Time from which on this node may take the slot. */
static uint64_t
free_from_ms(const struct bg_tenure *tnr, int rank)
{
	uint64_t delay_ms = (uint64_t)rank * RANK_DELAY_MS;

	/* The process that had this address before has ended. */
	if (is_own_address(tnr))
		return tnr->seen_ms;
	if (tnr->record.revision == 0 &&
	    tnr->seen_ms < tnr->process_start_ms + SETTLE_MS)
		return tnr->process_start_ms + SETTLE_MS + delay_ms;
	if (tnr->record.revision == 0 || tnr->record.is_released)
		return tnr->seen_ms + delay_ms;
	return tnr->seen_ms + BG_TENURE_LEASE_MS + LEASE_MARGIN_MS + delay_ms;
}

static enum bg_tenure_action
next_of_owner(const struct bg_tenure *tnr, uint64_t now_ms)
{
	uint64_t due_ms =
	    tnr->lease_end_ms - BG_TENURE_LEASE_MS + BG_TENURE_RENEW_MS;

	if (!tnr->is_read)
		return now_ms >= tnr->read_ms + RETRY_MS ? BG_TENURE_READ
							 : BG_TENURE_WAIT;
	return now_ms >= due_ms ? BG_TENURE_WRITE : BG_TENURE_WAIT;
}

enum bg_tenure_action
bg_tenure_next(struct bg_tenure *tnr, int rank, uint64_t now_ms)
{
	if (bg_tenure_is_owner(tnr, now_ms))
		return next_of_owner(tnr, now_ms);
	if (rank < 0)
		return BG_TENURE_WAIT;
	if (!tnr->is_read)
		return tnr->read_ms == 0 || now_ms >= tnr->read_ms + RETRY_MS
		    ? BG_TENURE_READ
		    : BG_TENURE_WAIT;
	if (now_ms >= free_from_ms(tnr, rank))
		return BG_TENURE_WRITE;
	return now_ms >=
		tnr->read_ms + (tnr->is_asked ? ASKED_POLL_MS : POLL_MS)
	    ? BG_TENURE_READ
	    : BG_TENURE_WAIT;
}

void
bg_tenure_asked(struct bg_tenure *tnr)
{
	tnr->is_asked = 1;
}

int
bg_tenure_needs_exact_read(const struct bg_tenure *tnr)
{
	return tnr->is_asked || (!tnr->is_read && tnr->read_ms != 0);
}

void
bg_tenure_observe(struct bg_tenure *tnr, const struct bg_tenure_record *record,
    uint64_t now_ms)
{
	if (tnr->seen_ms == 0 || record->revision != tnr->record.revision)
		tnr->seen_ms = now_ms;
	tnr->is_asked = 0;
	tnr->record = *record;
	tnr->is_read = 1;
	tnr->read_ms = now_ms;
	/* Another node took the slot, after this node's lease had ended. */
	if (record->process != tnr->process)
		tnr->lease_end_ms = 0;
}

/* The owner before has granted nothing since then. */
static uint64_t
clean_from_ms(const struct bg_tenure *tnr, uint64_t sent_ms)
{
	if (is_own_address(tnr) && tnr->record.process != tnr->process)
		return tnr->process_start_ms;
	/* This process granted until its own lease ended, which may be after it
	 * sent the write. */
	return sent_ms > tnr->lease_end_ms ? sent_ms : tnr->lease_end_ms;
}

void
bg_tenure_written(
    struct bg_tenure *tnr, uint64_t revision, uint64_t sent_ms, uint64_t now_ms)
{
	if (!bg_tenure_is_owner(tnr, now_ms)) {
		tnr->clean_ms = clean_from_ms(tnr, sent_ms);
		tnr->tenure = revision;
	}
	tnr->lease_end_ms = sent_ms + BG_TENURE_LEASE_MS;
	tnr->record.revision = revision;
	tnr->record.process = tnr->process;
	tnr->record.is_released = 0;
	snprintf(
	    tnr->record.owner, sizeof(tnr->record.owner), "%s", tnr->address);
	tnr->is_read = 1;
	tnr->seen_ms = now_ms;
	tnr->read_ms = now_ms;
}

void
bg_tenure_forget(struct bg_tenure *tnr, uint64_t now_ms)
{
	tnr->is_read = 0;
	tnr->read_ms = now_ms;
}

void
bg_tenure_release(struct bg_tenure *tnr)
{
	tnr->lease_end_ms = 0;
}
