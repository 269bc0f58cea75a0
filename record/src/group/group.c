#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "burdockgrade/error.h"

#include "group/internal.h"

/* Added to the caller's own deadline before a call without outcome counts as
 * unknown: the time that its FINISH may take. */
#define FINISH_MARGIN_MS 2000
#define RUN_MIN_MS 1000
/* Deadline of a call that another holder granted; it is not in the record. */
#define RUN_DEFAULT_MS 30000
/* Tolerated difference between the clocks of customers and of the relay. */
#define CLOCK_SKEW_MS 10000
/* A report is repeated, since a new relay does not know earlier ones. */
#define REPORT_MS 5000
/* Slots looked at for expired records in one tick (50 ms): a set of a million
 * records is swept within 15 min. */
#define SWEEP_SLOTS 64

int
bg_group_init(struct bg_group **out, const struct bg_group_options *opts)
{
	struct bg_group *grp;
	int error;

	if ((grp = calloc(1, sizeof(*grp))) == NULL)
		return BG_ENOMEM;
	if ((error = bg_record_set_init(&grp->set, opts->store)) != 0) {
		free(grp);
		return error;
	}
	snprintf(grp->data_centre, sizeof(grp->data_centre), "%s",
	    opts->data_centre);
	grp->index = opts->group;
	grp->self = opts->self;
	grp->io = opts->io;
	grp->store = opts->store;
	grp->next_write_id = FILL_ID + 1;
	*out = grp;
	return 0;
}

void
bg_group_free(struct bg_group *grp)
{
	struct waiter *wtr;
	struct waiter *wtr_tmp;
	struct write *wrt;
	struct write *wrt_tmp;
	struct running *run;
	struct running *run_tmp;

	if (grp == NULL)
		return;
	DL_FOREACH_SAFE(grp->waiters, wtr, wtr_tmp)
	{
		free(wtr);
	}
	DL_FOREACH_SAFE(grp->writes, wrt, wrt_tmp)
	{
		free(wrt);
	}
	HASH_ITER(hh, grp->running, run, run_tmp)
	{
		HASH_DEL(grp->running, run);
		free(run);
	}
	bg_fill_free(grp);
	bg_record_set_free(grp->set);
	free(grp);
}

const struct bg_view *
bg_group_view(const struct bg_group *grp)
{
	return &grp->view;
}

uint32_t
bg_group_index(const struct bg_group *grp)
{
	return grp->index;
}

const char *
bg_group_data_centre(const struct bg_group *grp)
{
	return grp->data_centre;
}

void
bg_group_close(struct bg_group *grp, uint64_t now_ms)
{
	if (grp == NULL)
		return;
	bg_group_seal(grp, now_ms);
	bg_group_free(grp);
}

size_t
bg_group_record_count(const struct bg_group *grp)
{
	return bg_record_set_count(grp->set);
}

int
bg_group_is_holder(const struct bg_group *grp)
{
	return grp->is_holder;
}

int
bg_group_is_listed(const struct bg_group *grp)
{
	return bg_view_has_member(&grp->view, &grp->self) ||
	    bg_view_has_joining(&grp->view, &grp->self);
}

/* Sends an answer that carries the recorded one. */
static void
answer_done(struct bg_group *grp, uint64_t token, const struct bg_record *rec)
{
	struct bg_xbegin_res res;
	struct bg_xanswer ans;

	memset(&res, 0, sizeof(res));
	res.status = BG_XBEGIN_DONE;
	res.epoch = grp->view.epoch;
	res.grant = rec->grant;
	if (rec->answer != NULL &&
	    bg_kept_answer_decode(&ans, rec->answer) == 0)
		res.answer = &ans;
	grp->io->begun(grp->io, grp, token, &res);
	if (res.answer != NULL)
		xdr_free((xdrproc_t)xdr_bg_xanswer, (char *)&ans);
}

void
bg_group_answer(struct bg_group *grp, uint64_t token,
    enum bg_xbegin_status status, uint32_t retry_after_ms)
{
	struct bg_xbegin_res res;

	memset(&res, 0, sizeof(res));
	res.status = status;
	res.epoch = grp->view.epoch;
	res.retry_after_ms = retry_after_ms;
	grp->io->begun(grp->io, grp, token, &res);
}

static int
set_state(struct bg_group *grp, uint64_t fingerprint, uint64_t digest,
    uint64_t grant, enum bg_record_state state, const struct bg_xanswer *ans,
    uint64_t now_ms)
{
	const struct bg_record *held;
	struct bg_record rec;

	memset(&rec, 0, sizeof(rec));
	held = bg_record_set_find(grp->set, fingerprint);
	rec.fingerprint = fingerprint;
	rec.request_digest = held != NULL && held->grant == grant
	    ? held->request_digest
	    : digest;
	rec.grant = grant;
	rec.state = (uint8_t)state;
	rec.born_s = bg_record_born_s(now_ms, 0);
	return bg_record_set_merge(grp->set, &rec, ans, now_ms);
}

void
bg_group_granted(struct bg_group *grp, uint64_t token, uint64_t fingerprint,
    uint64_t grant, uint32_t run_ms, uint64_t now_ms)
{
	struct bg_xbegin_res res;
	struct running *run;

	HASH_FIND(hh, grp->running, &fingerprint, sizeof(fingerprint), run);
	if (run == NULL) {
		/* Without an entry the record becomes unknown by its age. */
		if ((run = calloc(1, sizeof(*run))) != NULL) {
			run->fingerprint = fingerprint;
			HASH_ADD(hh, grp->running, fingerprint,
			    sizeof(fingerprint), run);
		}
	}
	if (run != NULL)
		run->until_ms = now_ms + run_ms;
	memset(&res, 0, sizeof(res));
	res.status = BG_XBEGIN_GRANTED;
	res.epoch = grp->view.epoch;
	res.grant = grant;
	grp->io->begun(grp->io, grp, token, &res);
}

void
bg_group_wake(struct bg_group *grp, uint64_t fingerprint, uint64_t now_ms)
{
	struct waiter *wtr;
	struct waiter *tmp;
	struct waiter *woken = NULL;

	DL_FOREACH_SAFE(grp->waiters, wtr, tmp)
	{
		if (wtr->request.fingerprint != fingerprint)
			continue;
		/* The analyzer does not see that the list holds it. */
		/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
		DL_DELETE(grp->waiters, wtr);
		DL_APPEND(woken, wtr);
	}
	DL_FOREACH_SAFE(woken, wtr, tmp)
	{
		wtr->request.wait_ms = wtr->until_ms > now_ms
		    ? (uint32_t)(wtr->until_ms - now_ms)
		    : 0;
		bg_group_begin(grp, &wtr->request, now_ms, grp->wall_ms);
		free(wtr);
	}
}

void
bg_group_withdraw(
    struct bg_group *grp, uint64_t fingerprint, uint64_t grant, uint64_t now_ms)
{
	struct bg_xcopy_args args;
	struct bg_xrecord xrec;
	size_t i;

	set_state(grp, fingerprint, 0, grant, BG_RECORD_NOT_RUN, NULL, now_ms);
	if (grp->is_sealed ||
	    bg_group_wire(
		&xrec, bg_record_set_find(grp->set, fingerprint), now_ms) != 0)
		return;
	/* Only spares callers an "unknown" after a change of the holder. */
	bg_group_copy_args(&args, grp);
	args.records.records_len = 1;
	args.records.records_val = &xrec;
	for (i = 0; i < grp->target_count; i++) {
		if (!grp->targets[i].is_dropped)
			grp->io->copy(grp->io, grp, &grp->targets[i].node,
			    UNTRACKED_ID, &args);
	}
	bg_group_wire_free(&xrec);
}

void
bg_group_seal(struct bg_group *grp, uint64_t now_ms)
{
	grp->is_sealed = 1;
	bg_write_abort_all(grp, now_ms);
}

static void
set_targets(struct bg_group *grp)
{
	struct target *tgt;
	size_t i;

	memset(grp->targets, 0, sizeof(grp->targets));
	grp->target_count = 0;
	for (i = 0; i < grp->view.member_count + grp->view.joining_count; i++) {
		tgt = &grp->targets[grp->target_count];
		tgt->is_joining = i >= grp->view.member_count;
		tgt->node = tgt->is_joining
		    ? grp->view.joining[i - grp->view.member_count]
		    : grp->view.members[i];
		if (bg_record_node_equal(&tgt->node, &grp->self))
			continue;
		assert(grp->target_count < TARGETS_MAX);
		grp->target_count++;
	}
}

void
bg_group_adopt(
    struct bg_group *grp, const struct bg_view *view, uint64_t now_ms)
{
	if (view->epoch <= grp->view.epoch)
		return;
	bg_group_seal(grp, now_ms);
	bg_fill_free(grp);
	grp->view = *view;
	grp->is_holder = bg_record_node_equal(&view->holder, &grp->self);
	grp->is_sealed = 0;
	grp->target_count = 0;
	if (!bg_group_is_listed(grp))
		bg_record_set_clear(grp->set);
	if (!grp->is_holder)
		return;
	/* Numbers of a later epoch are above all of an earlier one. */
	grp->next_grant = (view->epoch << 32) + 1;
	set_targets(grp);
	bg_fill_init(grp, now_ms);
}

static uint32_t
run_ms(uint32_t wait_ms)
{
	return (wait_ms < RUN_MIN_MS ? RUN_MIN_MS : wait_ms) + FINISH_MARGIN_MS;
}

/* Asks all members to confirm the epoch, to prove that no other holder can
 * have granted the key; only then the refusal is "not-run". */
static void
refuse_proved(
    struct bg_group *grp, const struct bg_group_request *req, uint64_t now_ms)
{
	struct write model;

	memset(&model, 0, sizeof(model));
	model.kind = WRITE_CERTIFY;
	model.fingerprint = req->fingerprint;
	model.token = req->token;
	if (bg_write_start(grp, &model, req->wait_ms, now_ms) != 0)
		bg_group_answer(
		    grp, req->token, BG_XBEGIN_UNKNOWN, BG_GROUP_RETRY_MS);
}

static void
start(struct bg_group *grp, const struct bg_group_request *req, uint64_t now_ms)
{
	struct write model;

	memset(&model, 0, sizeof(model));
	model.kind = WRITE_START;
	model.fingerprint = req->fingerprint;
	model.token = req->token;
	model.grant = grp->next_grant++;
	model.run_ms = run_ms(req->wait_ms);
	if (set_state(grp, req->fingerprint, req->request_digest, model.grant,
		BG_RECORD_STARTED, NULL, now_ms) != 0) {
		refuse_proved(grp, req, now_ms);
		return;
	}
	if (bg_write_start(grp, &model, req->wait_ms, now_ms) == 0)
		return;
	bg_group_withdraw(grp, req->fingerprint, model.grant, now_ms);
	bg_group_answer(grp, req->token, BG_XBEGIN_UNKNOWN, BG_GROUP_RETRY_MS);
}

static void
wait_for_outcome(
    struct bg_group *grp, const struct bg_group_request *req, uint64_t now_ms)
{
	struct waiter *wtr;

	if (req->wait_ms == 0 || (wtr = calloc(1, sizeof(*wtr))) == NULL) {
		bg_group_answer(
		    grp, req->token, BG_XBEGIN_RUNNING, BG_GROUP_RETRY_MS);
		return;
	}
	wtr->request = *req;
	wtr->until_ms = now_ms + req->wait_ms;
	DL_APPEND(grp->waiters, wtr);
}

static int
is_running(
    const struct bg_group *grp, const struct bg_record *rec, uint64_t now_ms)
{
	const struct write *wrt;
	struct running *run;

	HASH_FIND(
	    hh, grp->running, &rec->fingerprint, sizeof(rec->fingerprint), run);
	if (run != NULL)
		return run->until_ms > now_ms;
	DL_FOREACH(grp->writes, wrt)
	{
		if (wrt->kind == WRITE_START &&
		    wrt->fingerprint == rec->fingerprint)
			return 1;
	}
	return bg_record_age_ms(rec, now_ms) < RUN_DEFAULT_MS;
}

static void
begin_known(struct bg_group *grp, const struct bg_group_request *req,
    const struct bg_record *rec, uint64_t now_ms)
{
	if (rec->request_digest != req->request_digest) {
		bg_group_answer(grp, req->token, BG_XBEGIN_MISMATCH, 0);
		return;
	}
	switch (rec->state) {
	case BG_RECORD_DONE:
		answer_done(grp, req->token, rec);
		return;
	case BG_RECORD_STARTED:
		if (is_running(grp, rec, now_ms)) {
			wait_for_outcome(grp, req, now_ms);
			return;
		}
		set_state(grp, rec->fingerprint, 0, rec->grant,
		    BG_RECORD_UNKNOWN, NULL, now_ms);
		break;
	default:
		break;
	}
	bg_group_answer(grp, req->token, BG_XBEGIN_UNKNOWN, 0);
}

/* A key without record may have had one that was lost or that has expired. */
static int
may_have_run(const struct bg_group *grp, const struct bg_group_request *req,
    uint64_t now_wall_ms)
{
	uint64_t created_ms = req->created_ms;

	/* A time in the future says nothing about the past. */
	if (created_ms > now_wall_ms + CLOCK_SKEW_MS)
		created_ms = 0;
	if (created_ms != 0 && created_ms + BG_RECORD_KEEP_MS < now_wall_ms)
		return 1;
	if (grp->view.lost_ms == 0 ||
	    grp->view.lost_ms + BG_RECORD_KEEP_MS + CLOCK_SKEW_MS < now_wall_ms)
		return 0;
	return created_ms < grp->view.lost_ms + CLOCK_SKEW_MS;
}

void
bg_group_begin(struct bg_group *grp, const struct bg_group_request *req,
    uint64_t now_ms, uint64_t now_wall_ms)
{
	const struct bg_record *rec;

	grp->wall_ms = now_wall_ms;
	if (!grp->is_holder || grp->is_sealed) {
		bg_group_answer(
		    grp, req->token, BG_XBEGIN_UNKNOWN, BG_GROUP_RETRY_MS);
		return;
	}
	rec = bg_record_set_find(grp->set, req->fingerprint);
	if (rec != NULL && rec->state != BG_RECORD_NOT_RUN)
		begin_known(grp, req, rec, now_ms);
	else if (rec == NULL && may_have_run(grp, req, now_wall_ms))
		bg_group_answer(grp, req->token, BG_XBEGIN_UNKNOWN, 0);
	else
		start(grp, req, now_ms);
}

void
bg_group_forget(struct bg_group *grp, uint64_t token, uint64_t now_ms)
{
	struct waiter *wtr;
	struct waiter *tmp;

	DL_FOREACH_SAFE(grp->waiters, wtr, tmp)
	{
		if (wtr->request.token != token)
			continue;
		/* The analyzer does not see that the list holds it. */
		/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
		DL_DELETE(grp->waiters, wtr);
		free(wtr);
	}
	bg_write_forget(grp, token, now_ms);
}

static enum bg_record_state
state_of(enum bg_xoutcome outcome)
{
	if (outcome == BG_XOUTCOME_DONE)
		return BG_RECORD_DONE;
	if (outcome == BG_XOUTCOME_NOT_RUN)
		return BG_RECORD_NOT_RUN;
	return BG_RECORD_UNKNOWN;
}

void
bg_group_finish(struct bg_group *grp, uint64_t token, uint64_t fingerprint,
    uint64_t grant, enum bg_xoutcome outcome, const struct bg_xanswer *ans,
    uint64_t now_ms)
{
	const struct bg_record *rec;
	struct running *run;
	struct write model;

	if (!grp->is_holder || grp->is_sealed) {
		grp->io->finished(grp->io, grp, token, BG_FINISH_RETRY);
		return;
	}
	rec = bg_record_set_find(grp->set, fingerprint);
	if (rec == NULL || rec->grant != grant) {
		grp->io->finished(grp->io, grp, token, BG_FINISH_REFUSED);
		return;
	}
	set_state(grp, fingerprint, rec->request_digest, grant,
	    state_of(outcome), ans, now_ms);
	HASH_FIND(hh, grp->running, &fingerprint, sizeof(fingerprint), run);
	if (run != NULL) {
		HASH_DEL(grp->running, run);
		free(run);
	}
	memset(&model, 0, sizeof(model));
	model.kind = WRITE_FINISH;
	model.fingerprint = fingerprint;
	model.grant = grant;
	model.token = token;
	if (bg_write_start(grp, &model, RUN_MIN_MS, now_ms) != 0)
		grp->io->finished(grp->io, grp, token, BG_FINISH_RETRY);
	bg_group_wake(grp, fingerprint, now_ms);
}

static void
expire_running(struct bg_group *grp, uint64_t now_ms)
{
	const struct bg_record *rec;
	struct running *run;
	struct running *tmp;
	uint64_t fingerprint;

	HASH_ITER(hh, grp->running, run, tmp)
	{
		if (run->until_ms > now_ms)
			continue;
		fingerprint = run->fingerprint;
		HASH_DEL(grp->running, run);
		free(run);
		rec = bg_record_set_find(grp->set, fingerprint);
		if (rec == NULL || rec->state != BG_RECORD_STARTED)
			continue;
		set_state(grp, fingerprint, 0, rec->grant, BG_RECORD_UNKNOWN,
		    NULL, now_ms);
		bg_group_wake(grp, fingerprint, now_ms);
	}
}

static void
expire_waiters(struct bg_group *grp, uint64_t now_ms)
{
	struct waiter *wtr;
	struct waiter *tmp;

	DL_FOREACH_SAFE(grp->waiters, wtr, tmp)
	{
		if (wtr->until_ms > now_ms)
			continue;
		DL_DELETE(grp->waiters, wtr);
		bg_group_answer(grp, wtr->request.token, BG_XBEGIN_RUNNING,
		    BG_GROUP_RETRY_MS);
		free(wtr);
	}
}

static void
repeat_report(struct bg_group *grp, uint64_t now_ms)
{
	size_t i;

	if (!grp->is_holder || grp->is_sealed || now_ms < grp->next_report_ms)
		return;
	grp->next_report_ms = now_ms + REPORT_MS;
	for (i = 0; i < grp->target_count; i++) {
		if (grp->targets[i].is_complete || grp->targets[i].is_silent) {
			grp->io->report(grp->io, grp);
			return;
		}
	}
}

void
bg_group_tick(struct bg_group *grp, uint64_t now_ms)
{
	size_t i;

	for (i = 0; i < grp->target_count; i++)
		bg_group_notice(grp, i, 0, now_ms);
	bg_write_tick(grp, now_ms);
	bg_fill_tick(grp, now_ms);
	expire_running(grp, now_ms);
	expire_waiters(grp, now_ms);
	repeat_report(grp, now_ms);
	bg_record_set_sweep(grp->set, now_ms, SWEEP_SLOTS);
}
