#include <string.h>

#include "intake.h"

/* Bytes in flight are what the link carries in this time: the longest that a
 * small message waits behind bodies. */
#define WINDOW_US 20000
/* Pieces smaller than this cost more in messages than they save in waiting. */
#define PIECE_MIN_BYTES 8192
/* Bounds the size of a message. */
#define PIECE_MAX_BYTES (256u << 10)
/* Rate of a link whose rate is unknown. */
#define DEFAULT_LINK_MBPS 100
/* Part of the link that bodies get before a rate was measured; calls and
 * responses need the rest. */
#define INITIAL_RATE_SHARE 0.8
/* The measured rate is not assumed to fall below this part of the link. */
#define RATE_MIN_SHARE 0.1
/* Time over which one sample of the rate is taken. */
#define SAMPLE_US 50000
#define SAMPLE_WEIGHT 0.3

static uint32_t
clamp_u32(double value, uint32_t low, uint32_t high)
{
	if (value < low)
		return low;
	return value > high ? high : (uint32_t)value;
}

void
bg_intake_init(struct bg_intake *out, uint32_t link_mbps)
{
	memset(out, 0, sizeof(*out));
	if (link_mbps == 0)
		link_mbps = DEFAULT_LINK_MBPS;
	out->max_bytes_per_us = link_mbps / 8.0;
	out->bytes_per_us = out->max_bytes_per_us * INITIAL_RATE_SHARE;
	/* Two pieces in flight keep the link busy while a grant travels. */
	out->piece_bytes = clamp_u32(out->max_bytes_per_us * WINDOW_US / 2,
	    PIECE_MIN_BYTES, PIECE_MAX_BYTES);
	out->window_bytes = clamp_u32(out->max_bytes_per_us * WINDOW_US,
	    2 * out->piece_bytes, UINT32_MAX);
}

static uint32_t
left_bytes(const struct bg_intake_entry *e)
{
	return e->body_bytes - e->received_bytes;
}

static int
is_begun(const struct bg_intake_entry *e)
{
	return e->received_bytes > 0 || e->granted_bytes > 0;
}

/* 1 if a is received before b. Equal entries stay in order of arrival. */
static int
is_before(const struct bg_intake_entry *a, const struct bg_intake_entry *b)
{
	if (a->is_late != b->is_late)
		return b->is_late;
	if (a->priority != b->priority)
		return a->priority < b->priority;
	return a->target_us < b->target_us;
}

static void
link_entry(struct bg_intake *itk, struct bg_intake_entry *entry)
{
	struct bg_intake_entry *prev = itk->tail;

	while (prev != NULL && is_before(entry, prev))
		prev = prev->prev;
	entry->prev = prev;
	entry->next = prev == NULL ? itk->head : prev->next;
	if (entry->prev != NULL)
		entry->prev->next = entry;
	else
		itk->head = entry;
	if (entry->next != NULL)
		entry->next->prev = entry;
	else
		itk->tail = entry;
	entry->is_listed = 1;
}

void
bg_intake_remove(struct bg_intake *itk, struct bg_intake_entry *entry)
{
	if (!entry->is_listed)
		return;
	if (entry->prev != NULL)
		entry->prev->next = entry->next;
	else
		itk->head = entry->next;
	if (entry->next != NULL)
		entry->next->prev = entry->prev;
	else
		itk->tail = entry->prev;
	entry->prev = entry->next = NULL;
	entry->is_listed = 0;
	itk->granted_bytes -= entry->granted_bytes;
	entry->granted_bytes = 0;
}

static uint64_t
transfer_us(const struct bg_intake *itk, uint64_t bytes)
{
	return (uint64_t)((double)bytes / itk->bytes_per_us);
}

/* Finds a body that has not begun to arrive and would arrive too late.
 * @param only NULL: any */
static struct bg_intake_entry *
find_infeasible(const struct bg_intake *itk, const struct bg_intake_entry *only,
    uint64_t now_us)
{
	struct bg_intake_entry *e;
	uint64_t bytes = 0;

	for (e = itk->head; e != NULL; e = e->next) {
		bytes += left_bytes(e);
		if ((only == NULL || only == e) && !is_begun(e) &&
		    now_us + transfer_us(itk, bytes) > e->latest_us)
			return e;
	}
	return NULL;
}

int
bg_intake_add(
    struct bg_intake *itk, struct bg_intake_entry *entry, uint64_t now_us)
{
	entry->received_bytes = 0;
	entry->granted_bytes = 0;
	link_entry(itk, entry);
	if (find_infeasible(itk, entry, now_us) == NULL)
		return 1;
	bg_intake_remove(itk, entry);
	return 0;
}

struct bg_intake_entry *
bg_intake_find_infeasible(const struct bg_intake *itk, uint64_t now_us)
{
	return find_infeasible(itk, NULL, now_us);
}

struct bg_intake_entry *
bg_intake_grant(struct bg_intake *itk, uint64_t now_us)
{
	struct bg_intake_entry *e = itk->head;
	uint32_t bytes;

	while (e != NULL && (e->granted_bytes > 0 || left_bytes(e) == 0))
		e = e->next;
	if (e == NULL)
		return NULL;
	bytes = left_bytes(e);
	if (bytes > itk->piece_bytes)
		bytes = itk->piece_bytes;
	if (itk->granted_bytes > 0 &&
	    itk->granted_bytes + bytes > itk->window_bytes)
		return NULL;
	if (itk->granted_bytes == 0) {
		itk->sample_start_us = now_us;
		itk->sample_bytes = 0;
	}
	e->granted_bytes = bytes;
	itk->granted_bytes += bytes;
	return e;
}

/* The rate is measured only while the window is in use; a lone piece shows the
 * round trip rather than the rate. */
static void
measure_rate(struct bg_intake *itk, uint64_t now_us)
{
	uint64_t took_us = now_us - itk->sample_start_us;
	double rate;

	if (itk->sample_start_us == 0 || took_us < SAMPLE_US)
		return;
	rate = (double)itk->sample_bytes / (double)took_us;
	if (rate < itk->max_bytes_per_us * RATE_MIN_SHARE)
		rate = itk->max_bytes_per_us * RATE_MIN_SHARE;
	if (rate > itk->max_bytes_per_us)
		rate = itk->max_bytes_per_us;
	itk->bytes_per_us += (rate - itk->bytes_per_us) * SAMPLE_WEIGHT;
	itk->sample_start_us = now_us;
	itk->sample_bytes = 0;
}

void
bg_intake_receive(struct bg_intake *itk, struct bg_intake_entry *entry,
    uint32_t bytes, uint64_t now_us)
{
	int was_full = itk->granted_bytes >= itk->window_bytes / 2;

	itk->granted_bytes -= entry->granted_bytes;
	entry->granted_bytes = 0;
	entry->received_bytes += bytes;
	itk->sample_bytes += bytes;
	if (was_full)
		measure_rate(itk, now_us);
}

uint64_t
bg_intake_transfer_us(const struct bg_intake *itk, uint32_t bytes)
{
	return transfer_us(itk, bytes);
}

uint64_t
bg_intake_flight_us(const struct bg_intake *itk)
{
	return transfer_us(itk, itk->granted_bytes);
}

uint64_t
bg_intake_backlog_us(const struct bg_intake *itk)
{
	const struct bg_intake_entry *e;
	uint64_t bytes = 0;

	for (e = itk->head; e != NULL; e = e->next)
		bytes += left_bytes(e);
	return transfer_us(itk, bytes);
}

uint32_t
bg_intake_bytes_per_ms(const struct bg_intake *itk)
{
	return (uint32_t)(itk->bytes_per_us * 1000);
}
