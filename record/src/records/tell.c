#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/error.h"
#include "burdockgrade/log.h"

#include "records/internal.h"

/* An outcome is repeated this long, which covers a change of the holder (lease
 * 3 s, view update). After that the record becomes unknown. */
#define FINISH_TRY_MS 10000
#define FINISH_REPLY_MS 2000
#define RETRY_MS 100

static struct bg_counter lost = BG_COUNTER("burdock_record_finish_lost_total",
    "Outcomes that did not reach the record group.");

static void
finish_free(struct finish *fin)
{
	if (fin->has_answer)
		xdr_free((xdrproc_t)xdr_bg_xanswer, (char *)&fin->answer);
	free(fin->key);
	free(fin);
}

void
bg_records_finish_done(struct finish *fin, enum bg_finish_status status)
{
	struct bg_records *rcs = fin->request.records;

	fin->in_flight = 0;
	if (status == BG_FINISH_RETRY) {
		fin->next_ms = bg_clock_now_ms() + RETRY_MS;
		return;
	}
	if (status == BG_FINISH_REFUSED) {
		bg_counter_add(&lost, 1);
		bg_log_warn("record", "outcome refused group=%u grant=%llu",
		    fin->place.group, (unsigned long long)fin->grant);
	}
	DL_DELETE(rcs->finishes, fin);
	finish_free(fin);
}

static void
on_reply(void *arg, int code, void *res)
{
	const struct bg_xfinish_res *reply = res;

	bg_records_finish_done(arg,
	    code == 0 ? (enum bg_finish_status)reply->accepted
		      : BG_FINISH_RETRY);
}

static int
send_finish(struct finish *fin, const char *address)
{
	struct bg_records *rcs = fin->request.records;
	struct bg_xfinish_args args;
	struct bg_link *link;
	int error;

	args.data_centre = fin->place.data_centre;
	args.group = fin->place.group;
	args.key = fin->key;
	args.grant = fin->grant;
	args.outcome = fin->outcome;
	args.answer = fin->has_answer ? &fin->answer : NULL;
	if ((error = bg_link_pool_get(&link, rcs->pool, address, NULL)) != 0)
		return error;
	return bg_link_call(NULL, link, BG_PROC_FINISH,
	    (xdrproc_t)xdr_bg_xfinish_args, &args,
	    (xdrproc_t)xdr_bg_xfinish_res, sizeof(struct bg_xfinish_res),
	    FINISH_REPLY_MS, on_reply, fin);
}

static void
try_finish(struct finish *fin, uint64_t now_ms)
{
	struct bg_records *rcs = fin->request.records;
	struct home *home = bg_records_home(rcs, fin->place.data_centre);
	const struct bg_view *view;
	struct bg_group *grp;

	fin->next_ms = now_ms + RETRY_MS;
	if (home == NULL)
		return;
	view = &home->views.groups[fin->place.group];
	if (view->epoch == 0)
		return;
	grp = home->groups[fin->place.group];
	fin->in_flight = 1;
	if (!bg_record_node_equal(&view->holder, &rcs->self)) {
		if (send_finish(fin, view->holder.address) != 0)
			fin->in_flight = 0;
	} else if (grp == NULL)
		fin->in_flight = 0;
	else
		bg_group_finish(grp, (uintptr_t)&fin->request,
		    fin->place.fingerprint, fin->grant, fin->outcome,
		    fin->has_answer ? &fin->answer : NULL, now_ms);
}

void
bg_records_finish_tick(struct bg_records *rcs, uint64_t now_ms)
{
	struct finish *fin;
	struct finish *tmp;

	DL_FOREACH_SAFE(rcs->finishes, fin, tmp)
	{
		if (fin->in_flight || now_ms < fin->next_ms)
			continue;
		if (now_ms < fin->deadline_ms) {
			try_finish(fin, now_ms);
			continue;
		}
		bg_counter_add(&lost, 1);
		bg_log_warn("record", "outcome lost group=%u grant=%llu",
		    fin->place.group, (unsigned long long)fin->grant);
		/* The analyzer does not see that the list holds it. */
		/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
		DL_DELETE(rcs->finishes, fin);
		finish_free(fin);
	}
}

void
bg_records_finish_free(struct bg_records *rcs)
{
	struct finish *fin;

	while ((fin = rcs->finishes) != NULL) {
		DL_DELETE(rcs->finishes, fin);
		finish_free(fin);
	}
}

/* Copies an answer that is small enough to be recorded. */
static void
keep_answer(struct finish *fin, const struct bg_xanswer *ans)
{
	void *in = (void *)(uintptr_t)ans;
	uint32_t bytes = (uint32_t)xdr_sizeof((xdrproc_t)xdr_bg_xanswer, in);
	char *buf;
	XDR xdrs;

	if (bytes > BG_ANSWER_BYTES || (buf = malloc(bytes + 1)) == NULL)
		return;
	xdrmem_create(&xdrs, buf, bytes, XDR_ENCODE);
	if (xdr_bg_xanswer(&xdrs, in)) {
		xdrmem_create(&xdrs, buf, bytes, XDR_DECODE);
		fin->has_answer = xdr_bg_xanswer(&xdrs, &fin->answer);
		if (!fin->has_answer)
			xdr_free(
			    (xdrproc_t)xdr_bg_xanswer, (char *)&fin->answer);
	}
	free(buf);
}

int
bg_records_finish(struct bg_records *rcs, const char *key, uint64_t grant,
    enum bg_xoutcome outcome, const struct bg_xanswer *answer)
{
	uint64_t now_ms = bg_clock_now_ms();
	struct finish *fin;
	int error;

	if ((fin = calloc(1, sizeof(*fin))) == NULL)
		return BG_ENOMEM;
	if ((error = bg_place_key(&fin->place, &rcs->map, key)) != 0) {
		free(fin);
		return error;
	}
	if ((fin->key = strdup(key)) == NULL) {
		free(fin);
		return BG_ENOMEM;
	}
	fin->request.kind = REQUEST_FINISH;
	fin->request.records = rcs;
	fin->grant = grant;
	fin->outcome = outcome;
	fin->deadline_ms = now_ms + FINISH_TRY_MS;
	if (answer != NULL && outcome == BG_XOUTCOME_DONE)
		keep_answer(fin, answer);
	DL_APPEND(rcs->finishes, fin);
	try_finish(fin, now_ms);
	return 0;
}
