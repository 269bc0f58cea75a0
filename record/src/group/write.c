#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "burdockgrade/error.h"

#include "group/internal.h"

/* A member that has not seen the view yet learns it within milliseconds. */
#define RETRY_MS 50
/* A write that takes longer waits for a view change; the caller asks again. */
#define WRITE_MAX_MS 5000
#define WRITE_MIN_MS 100

static void
send_write(
    struct bg_group *grp, struct write *wrt, size_t target, uint64_t now_ms)
{
	struct target *tgt = &grp->targets[target];
	const struct bg_record *rec;
	struct bg_xcopy_args args;
	struct bg_xrecord xrec;

	bg_group_copy_args(&args, grp);
	if (wrt->kind != WRITE_CERTIFY) {
		rec = bg_record_set_find(grp->set, wrt->fingerprint);
		if (rec == NULL || bg_group_wire(&xrec, rec, now_ms) != 0) {
			wrt->retry_ms[target] = now_ms + RETRY_MS;
			return;
		}
		args.records.records_len = 1;
		args.records.records_val = &xrec;
	}
	wrt->flying |= 1u << target;
	if (tgt->waiting_since_ms == 0)
		tgt->waiting_since_ms = now_ms;
	grp->io->copy(grp->io, grp, &tgt->node, wrt->id, &args);
	if (wrt->kind != WRITE_CERTIFY)
		bg_group_wire_free(&xrec);
}

/* Ends a write that every target has answered in this epoch. */
static void
complete(struct bg_group *grp, struct write *wrt, uint64_t now_ms)
{
	DL_DELETE(grp->writes, wrt);
	switch (wrt->kind) {
	case WRITE_START:
		if (wrt->is_refused || wrt->token == 0) {
			bg_group_withdraw(
			    grp, wrt->fingerprint, wrt->grant, now_ms);
			if (wrt->token != 0)
				bg_group_answer(grp, wrt->token,
				    BG_XBEGIN_NOT_RUN, FULL_RETRY_MS);
			bg_group_wake(grp, wrt->fingerprint, now_ms);
		} else
			bg_group_granted(grp, wrt->token, wrt->fingerprint,
			    wrt->grant, wrt->run_ms, now_ms);
		break;
	case WRITE_CERTIFY:
		if (wrt->token != 0)
			bg_group_answer(
			    grp, wrt->token, BG_XBEGIN_NOT_RUN, FULL_RETRY_MS);
		break;
	case WRITE_FINISH:
		grp->io->finished(grp->io, grp, wrt->token, BG_FINISH_STORED);
		break;
	}
	free(wrt);
}

/* Ends a write that was not confirmed. */
static void
abort_write(struct bg_group *grp, struct write *wrt, uint64_t now_ms)
{
	DL_DELETE(grp->writes, wrt);
	if (wrt->kind == WRITE_FINISH)
		grp->io->finished(grp->io, grp, wrt->token, BG_FINISH_RETRY);
	else {
		if (wrt->kind == WRITE_START)
			bg_group_withdraw(
			    grp, wrt->fingerprint, wrt->grant, now_ms);
		if (wrt->token != 0)
			bg_group_answer(grp, wrt->token, BG_XBEGIN_UNKNOWN,
			    BG_GROUP_RETRY_MS);
	}
	free(wrt);
}

int
bg_write_start(struct bg_group *grp, const struct write *model,
    uint32_t wait_ms, uint64_t now_ms)
{
	struct write *wrt;
	size_t i;

	if ((wrt = malloc(sizeof(*wrt))) == NULL)
		return BG_ENOMEM;
	*wrt = *model;
	wrt->id = grp->next_write_id++;
	if (wait_ms < WRITE_MIN_MS)
		wait_ms = WRITE_MIN_MS;
	if (wait_ms > WRITE_MAX_MS)
		wait_ms = WRITE_MAX_MS;
	wrt->deadline_ms = now_ms + wait_ms;
	for (i = 0; i < grp->target_count; i++) {
		if (!grp->targets[i].is_dropped)
			wrt->pending |= 1u << i;
	}
	DL_APPEND(grp->writes, wrt);
	if (wrt->pending == 0) {
		complete(grp, wrt, now_ms);
		return 0;
	}
	for (i = 0; i < grp->target_count; i++) {
		if (wrt->pending & (1u << i))
			send_write(grp, wrt, i, now_ms);
	}
	return 0;
}

void
bg_write_abort_all(struct bg_group *grp, uint64_t now_ms)
{
	struct waiter *wtr;

	while (grp->writes != NULL)
		abort_write(grp, grp->writes, now_ms);
	while ((wtr = grp->waiters) != NULL) {
		DL_DELETE(grp->waiters, wtr);
		bg_group_answer(grp, wtr->request.token, BG_XBEGIN_UNKNOWN,
		    BG_GROUP_RETRY_MS);
		free(wtr);
	}
}

void
bg_write_forget(struct bg_group *grp, uint64_t token, uint64_t now_ms)
{
	struct write *wrt;

	DL_FOREACH(grp->writes, wrt)
	{
		/* Without a token the grant is withdrawn at the end. */
		if (wrt->token == token && wrt->kind != WRITE_FINISH)
			wrt->token = 0;
	}
}

void
bg_write_tick(struct bg_group *grp, uint64_t now_ms)
{
	struct write *wrt;
	struct write *tmp;
	uint64_t fingerprint;
	size_t i;

	DL_FOREACH_SAFE(grp->writes, wrt, tmp)
	{
		if (wrt->deadline_ms <= now_ms) {
			fingerprint = wrt->fingerprint;
			abort_write(grp, wrt, now_ms);
			bg_group_wake(grp, fingerprint, now_ms);
			/* Woken begins may have changed the list. */
			return;
		}
		for (i = 0; i < grp->target_count; i++) {
			if ((wrt->pending & ~wrt->flying & (1u << i)) != 0 &&
			    wrt->retry_ms[i] <= now_ms)
				send_write(grp, wrt, i, now_ms);
		}
	}
}

void
bg_write_answered(struct bg_group *grp, size_t target, uint64_t write_id,
    const struct bg_xcopy_res *res, uint64_t now_ms)
{
	struct write *wrt;

	DL_SEARCH_SCALAR(grp->writes, wrt, id, write_id);
	if (wrt == NULL)
		return;
	wrt->flying &= ~(1u << target);
	if (res == NULL || res->epoch != grp->view.epoch) {
		wrt->retry_ms[target] = now_ms + RETRY_MS;
		return;
	}
	if (!res->accepted)
		wrt->is_refused = 1;
	wrt->pending &= ~(1u << target);
	if (wrt->pending == 0)
		complete(grp, wrt, now_ms);
}

void
bg_write_drop_target(struct bg_group *grp, size_t target, uint64_t now_ms)
{
	struct write *wrt;
	struct write *tmp;

	DL_FOREACH_SAFE(grp->writes, wrt, tmp)
	{
		wrt->pending &= ~(1u << target);
	}
	/* One at a time, since completion may change the list. */
	for (;;) {
		DL_FOREACH(grp->writes, wrt)
		{
			if (wrt->pending == 0)
				break;
		}
		if (wrt == NULL)
			return;
		complete(grp, wrt, now_ms);
	}
}
