#include <stdlib.h>
#include <string.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/error.h"

#include "records/internal.h"

static void
reply_retry(struct bg_records *rcs, struct bg_rpc *rpc,
    const struct bg_xbegin_args *args)
{
	struct home *home = bg_records_home(rcs, args->data_centre);
	struct bg_xbegin_res res;

	memset(&res, 0, sizeof(res));
	res.status = BG_XBEGIN_UNKNOWN;
	res.retry_after_ms = BG_GROUP_RETRY_MS;
	if (home != NULL && args->group < BG_RECORD_GROUPS)
		res.epoch = home->views.groups[args->group].epoch;
	bg_rpc_reply(rpc, (xdrproc_t)xdr_bg_xbegin_res, &res);
}

static void
on_cancel(void *arg)
{
	struct served *served = arg;

	bg_group_forget(
	    served->group, (uintptr_t)&served->request, bg_clock_now_ms());
	bg_rpc_drop(served->rpc);
	free(served);
}

static struct served *
new_served(struct bg_records *rcs, struct bg_rpc *rpc, struct bg_group *grp)
{
	struct served *served;

	if ((served = calloc(1, sizeof(*served))) == NULL)
		return NULL;
	served->request.kind = REQUEST_SERVED;
	served->request.records = rcs;
	served->rpc = rpc;
	served->group = grp;
	return served;
}

static void
handle_begin(void *arg, struct bg_rpc *rpc, void *xargs)
{
	const struct bg_xbegin_args *args = xargs;
	struct bg_records *rcs = arg;
	struct bg_group *grp =
	    bg_records_group(rcs, args->data_centre, args->group);
	struct bg_group_request req;
	struct served *served;
	struct bg_place place;

	/* The place is computed here as well: two nodes with different maps
	 * must not find two homes for one key. */
	if (grp == NULL || bg_place_key(&place, &rcs->map, args->key) != 0 ||
	    strcmp(place.data_centre, args->data_centre) != 0 ||
	    place.group != args->group ||
	    (served = new_served(rcs, rpc, grp)) == NULL) {
		reply_retry(rcs, rpc, args);
		return;
	}
	bg_rpc_on_cancel(rpc, on_cancel, served);
	req.token = (uintptr_t)&served->request;
	req.fingerprint = place.fingerprint;
	req.request_digest = args->request_digest;
	req.created_ms = place.created_ms;
	req.wait_ms = args->wait_ms;
	bg_group_begin(grp, &req, bg_clock_now_ms(), bg_clock_wall_ms());
}

void
bg_records_served_begun(struct served *served, const struct bg_xbegin_res *res)
{
	bg_rpc_reply(
	    served->rpc, (xdrproc_t)xdr_bg_xbegin_res, (void *)(uintptr_t)res);
	free(served);
}

static void
reply_finish(struct bg_rpc *rpc, enum bg_finish_status status, uint64_t epoch)
{
	struct bg_xfinish_res res;

	res.accepted = (u_int)status;
	res.epoch = epoch;
	bg_rpc_reply(rpc, (xdrproc_t)xdr_bg_xfinish_res, &res);
}

static void
handle_finish(void *arg, struct bg_rpc *rpc, void *xargs)
{
	const struct bg_xfinish_args *args = xargs;
	struct bg_records *rcs = arg;
	struct bg_group *grp =
	    bg_records_group(rcs, args->data_centre, args->group);
	struct served *served;
	struct bg_place place;

	if (grp == NULL || bg_place_key(&place, &rcs->map, args->key) != 0 ||
	    place.group != args->group ||
	    (served = new_served(rcs, rpc, grp)) == NULL) {
		reply_finish(rpc, BG_FINISH_RETRY, 0);
		return;
	}
	bg_group_finish(grp, (uintptr_t)&served->request, place.fingerprint,
	    args->grant, args->outcome, args->answer, bg_clock_now_ms());
}

void
bg_records_served_finished(struct served *served, enum bg_finish_status status)
{
	reply_finish(served->rpc, status, bg_group_view(served->group)->epoch);
	free(served);
}

static void
handle_copy(void *arg, struct bg_rpc *rpc, void *xargs)
{
	const struct bg_xcopy_args *args = xargs;
	struct bg_records *rcs = arg;
	struct bg_group *grp =
	    bg_records_group(rcs, args->data_centre, args->group);
	struct home *home = bg_records_home(rcs, args->data_centre);
	struct bg_xcopy_res res = {0, 0};

	if (grp != NULL)
		bg_group_copy(&res, grp, args, bg_clock_now_ms());
	else if (home != NULL && args->group < BG_RECORD_GROUPS &&
	    home->views.groups[args->group].epoch > args->epoch)
		/* Tells a former holder that a later view exists. */
		res.epoch = home->views.groups[args->group].epoch;
	bg_rpc_reply(rpc, (xdrproc_t)xdr_bg_xcopy_res, &res);
}

int
bg_records_serve(struct bg_records *rcs, struct bg_link_server *srv)
{
	const struct bg_rpc_handler handlers[] = {
	    {BG_PROC_BEGIN, (xdrproc_t)xdr_bg_xbegin_args,
		sizeof(struct bg_xbegin_args), handle_begin, rcs},
	    {BG_PROC_FINISH, (xdrproc_t)xdr_bg_xfinish_args,
		sizeof(struct bg_xfinish_args), handle_finish, rcs},
	    {BG_PROC_COPY, (xdrproc_t)xdr_bg_xcopy_args,
		sizeof(struct bg_xcopy_args), handle_copy, rcs},
	};
	size_t i;
	int error;

	for (i = 0; i < sizeof(handlers) / sizeof(handlers[0]); i++) {
		if ((error = bg_link_server_handle(srv, &handlers[i])) != 0)
			return error;
	}
	return 0;
}
