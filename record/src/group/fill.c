#include <stdlib.h>
#include <string.h>

#include "burdockgrade/error.h"

#include "group/internal.h"

/* One message to a joining node: well below the largest message of a link, so
 * that grants do not wait long behind it. */
#define BATCH_RECORDS 512
#define BATCH_BYTES (256u << 10)
#define RECORD_WIRE_BYTES 64
#define RETRY_MS 100

void
bg_fill_init(struct bg_group *grp, uint64_t now_ms)
{
	struct target *tgt;
	size_t i;

	for (i = 0; i < grp->target_count; i++) {
		tgt = &grp->targets[i];
		if (!tgt->is_joining)
			continue;
		/* Records of later grants reach the node by their writes. */
		if (bg_record_set_list(
			&tgt->fill, &tgt->fill_count, grp->set) != 0)
			tgt->is_dropped = 1;
	}
}

void
bg_fill_free(struct bg_group *grp)
{
	size_t i;

	for (i = 0; i < grp->target_count; i++) {
		free(grp->targets[i].fill);
		grp->targets[i].fill = NULL;
	}
}

/* Collects records from fill_at on. @return their number */
static size_t
collect(struct bg_xrecord *batch, struct bg_group *grp, struct target *tgt,
    uint64_t now_ms)
{
	const struct bg_record *rec;
	size_t bytes = 0;
	size_t n = 0;

	tgt->fill_next = tgt->fill_at;
	while (tgt->fill_next < tgt->fill_count && n < BATCH_RECORDS &&
	    bytes < BATCH_BYTES) {
		rec = bg_record_set_find(grp->set, tgt->fill[tgt->fill_next]);
		if (rec != NULL) {
			/* Out of memory: the rest goes with the next batch. */
			if (bg_group_wire(&batch[n], rec, now_ms) != 0)
				break;
			bytes += RECORD_WIRE_BYTES;
			if (batch[n].answer != NULL)
				bytes += xdr_sizeof(
				    (xdrproc_t)xdr_bg_xanswer, batch[n].answer);
			n++;
		}
		tgt->fill_next++;
	}
	return n;
}

static void
send_batch(struct bg_group *grp, struct target *tgt, uint64_t now_ms)
{
	struct bg_xrecord *batch;
	struct bg_xcopy_args args;
	size_t n;
	size_t i;

	if ((batch = calloc(BATCH_RECORDS, sizeof(*batch))) == NULL) {
		tgt->fill_retry_ms = now_ms + RETRY_MS;
		return;
	}
	n = collect(batch, grp, tgt, now_ms);
	bg_group_copy_args(&args, grp);
	args.records.records_len = (u_int)n;
	args.records.records_val = batch;
	args.complete = tgt->fill_next == tgt->fill_count;
	tgt->fill_sent_last = (int)args.complete;
	tgt->fill_in_flight = 1;
	if (tgt->waiting_since_ms == 0)
		tgt->waiting_since_ms = now_ms;
	grp->io->copy(grp->io, grp, &tgt->node, FILL_ID, &args);
	for (i = 0; i < n; i++)
		bg_group_wire_free(&batch[i]);
	free(batch);
}

void
bg_fill_tick(struct bg_group *grp, uint64_t now_ms)
{
	struct target *tgt;
	size_t i;

	if (grp->is_sealed)
		return;
	for (i = 0; i < grp->target_count; i++) {
		tgt = &grp->targets[i];
		if (tgt->is_joining && !tgt->is_complete && !tgt->is_dropped &&
		    !tgt->fill_in_flight && tgt->fill_retry_ms <= now_ms)
			send_batch(grp, tgt, now_ms);
	}
}

void
bg_fill_answered(struct bg_group *grp, size_t target,
    const struct bg_xcopy_res *res, uint64_t now_ms)
{
	struct target *tgt = &grp->targets[target];

	tgt->fill_in_flight = 0;
	if (tgt->is_complete || tgt->is_dropped)
		return;
	if (res == NULL || res->epoch != grp->view.epoch || !res->accepted) {
		tgt->fill_retry_ms = now_ms + RETRY_MS;
		return;
	}
	tgt->fill_at = tgt->fill_next;
	if (!tgt->fill_sent_last) {
		send_batch(grp, tgt, now_ms);
		return;
	}
	free(tgt->fill);
	tgt->fill = NULL;
	/* From the report on, the node may become a member: every write of this
	 * epoch must reach it, and it is never dropped. */
	tgt->is_complete = 1;
	grp->io->report(grp->io, grp);
}
