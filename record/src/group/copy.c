#include <stdlib.h>
#include <string.h>

#include "burdockgrade/error.h"

#include "group/internal.h"

int
bg_group_wire(
    struct bg_xrecord *out, const struct bg_record *rec, uint64_t now_ms)
{
	static char no_key[] = "";

	memset(out, 0, sizeof(*out));
	out->key = no_key; /* members need the fingerprint only */
	out->fingerprint = rec->fingerprint;
	out->request_digest = rec->request_digest;
	out->grant = rec->grant;
	out->state = rec->state;
	out->age_ms = bg_record_age_ms(rec, now_ms);
	if (rec->answer == NULL)
		return 0;
	if ((out->answer = calloc(1, sizeof(*out->answer))) == NULL)
		return BG_ENOMEM;
	if (bg_kept_answer_decode(out->answer, rec->answer) != 0) {
		free(out->answer);
		out->answer = NULL;
	}
	return 0;
}

void
bg_group_wire_free(struct bg_xrecord *xrec)
{
	if (xrec->answer == NULL)
		return;
	xdr_free((xdrproc_t)xdr_bg_xanswer, (char *)xrec->answer);
	free(xrec->answer);
	xrec->answer = NULL;
}

void
bg_group_copy_args(struct bg_xcopy_args *out, struct bg_group *grp)
{
	memset(out, 0, sizeof(*out));
	out->data_centre = grp->data_centre;
	out->group = grp->index;
	out->epoch = grp->view.epoch;
	out->holder = grp->self.address;
}

static int
merge_record(
    struct bg_group *grp, const struct bg_xrecord *xrec, uint64_t now_ms)
{
	struct bg_record rec;

	if (xrec->state < BG_RECORD_STARTED || xrec->state > BG_RECORD_DONE)
		return BG_EPROTO;
	memset(&rec, 0, sizeof(rec));
	rec.fingerprint = xrec->fingerprint;
	rec.request_digest = xrec->request_digest;
	rec.grant = xrec->grant;
	rec.state = (uint8_t)xrec->state;
	rec.born_s = bg_record_born_s(now_ms, xrec->age_ms);
	return bg_record_set_merge(grp->set, &rec, xrec->answer, now_ms);
}

void
bg_group_copy(struct bg_xcopy_res *out, struct bg_group *grp,
    const struct bg_xcopy_args *args, uint64_t now_ms)
{
	u_int i;

	out->accepted = 0;
	out->epoch = grp->view.epoch;
	/* A refusal with the same epoch proves to the holder that this node
	 * knows no higher one. A process that is not listed proves nothing: its
	 * predecessor at this address may have known more. */
	if (args->epoch >= grp->view.epoch && !bg_group_is_listed(grp))
		out->epoch = 0;
	if (args->epoch != grp->view.epoch || out->epoch == 0)
		return;
	if (grp->is_holder ||
	    strcmp(args->holder, grp->view.holder.address) != 0) {
		out->epoch = 0;
		return;
	}
	for (i = 0; i < args->records.records_len; i++) {
		if (merge_record(grp, &args->records.records_val[i], now_ms) !=
		    0)
			return;
	}
	out->accepted = 1;
}

/* A joining node that does not answer or has no room must not delay grants. It
 * was not reported as complete, so that it cannot become a member. */
static void
drop_joining(struct bg_group *grp, size_t target, uint64_t now_ms)
{
	struct target *tgt = &grp->targets[target];

	tgt->is_dropped = 1;
	tgt->is_silent = 1;
	bg_write_drop_target(grp, target, now_ms);
	grp->io->report(grp->io, grp);
}

void
bg_group_notice(struct bg_group *grp, size_t target, int heard, uint64_t now_ms)
{
	struct target *tgt = &grp->targets[target];
	int was_silent = tgt->is_silent;

	if (grp->is_sealed || tgt->is_dropped)
		return;
	if (heard) {
		tgt->waiting_since_ms = 0;
		tgt->is_silent = 0;
	} else if (tgt->waiting_since_ms != 0 &&
	    now_ms - tgt->waiting_since_ms >= BG_GROUP_SILENT_MS)
		tgt->is_silent = 1;
	if (tgt->is_silent == was_silent)
		return;
	if (tgt->is_silent && tgt->is_joining && !tgt->is_complete)
		drop_joining(grp, target, now_ms);
	else
		grp->io->report(grp->io, grp);
}

void
bg_group_copied(struct bg_group *grp, const struct bg_record_node *from,
    uint64_t write_id, uint64_t epoch, const struct bg_xcopy_res *res,
    uint64_t now_ms)
{
	size_t i;

	if (!grp->is_holder || epoch != grp->view.epoch || grp->is_sealed)
		return;
	if (res != NULL && res->epoch > epoch) {
		bg_group_seal(grp, now_ms);
		return;
	}
	for (i = 0; i < grp->target_count; i++) {
		if (bg_record_node_equal(&grp->targets[i].node, from))
			break;
	}
	if (i == grp->target_count || grp->targets[i].is_dropped)
		return;
	if (res != NULL && res->epoch == epoch && !res->accepted &&
	    grp->targets[i].is_joining && !grp->targets[i].is_complete) {
		drop_joining(grp, i, now_ms);
		return;
	}
	bg_group_notice(grp, i, res != NULL && res->epoch == epoch, now_ms);
	if (write_id == FILL_ID)
		bg_fill_answered(grp, i, res, now_ms);
	else if (write_id != UNTRACKED_ID)
		bg_write_answered(grp, i, write_id, res, now_ms);
}

void
bg_group_report(struct bg_view_report *out, const struct bg_group *grp)
{
	const struct target *tgt;
	size_t i;

	memset(out, 0, sizeof(*out));
	out->epoch = grp->view.epoch;
	for (i = 0; i < grp->target_count; i++) {
		tgt = &grp->targets[i];
		if (tgt->is_complete)
			out->complete[out->complete_count++] = tgt->node;
		if (tgt->is_silent)
			out->silent[out->silent_count++] = tgt->node;
	}
}
