#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/error.h"

#include "records/internal.h"

/* A member answers within milliseconds; a link that lost a message is noticed
 * by silence after 2.5 s only. */
#define COPY_TIMEOUT_MS 1000

static void
answer(struct copy_call *call, const struct bg_xcopy_res *res)
{
	struct bg_group *grp =
	    bg_records_group(call->records, call->data_centre, call->group);

	if (grp != NULL)
		bg_group_copied(grp, &call->to, call->write_id, call->epoch,
		    res, bg_clock_now_ms());
	free(call);
}

static void
on_reply(void *arg, int code, void *res)
{
	answer(arg, code == 0 ? res : NULL);
}

void
bg_records_copy(struct bg_group_io *io, struct bg_group *grp,
    const struct bg_record_node *to, uint64_t write_id,
    const struct bg_xcopy_args *args)
{
	struct bg_records *rcs = (struct bg_records *)io;
	struct copy_call *call;
	struct bg_link *link;

	/* Without memory the write ends at its deadline, without a grant. */
	if ((call = calloc(1, sizeof(*call))) == NULL)
		return;
	call->records = rcs;
	snprintf(call->data_centre, sizeof(call->data_centre), "%s",
	    args->data_centre);
	call->group = args->group;
	call->to = *to;
	call->write_id = write_id;
	call->epoch = args->epoch;
	if (bg_link_pool_get(&link, rcs->pool, to->address, NULL) == 0 &&
	    bg_link_call(NULL, link, BG_PROC_COPY, (xdrproc_t)xdr_bg_xcopy_args,
		(void *)(uintptr_t)args, (xdrproc_t)xdr_bg_xcopy_res,
		sizeof(struct bg_xcopy_res), COPY_TIMEOUT_MS, on_reply,
		call) == 0)
		return;
	/* Groups are not re-entered from their own call. */
	DL_APPEND(rcs->failed_copies, call);
	bg_mailbox_post(rcs->mailbox, 0, NULL);
}

void
bg_records_copies_failed(struct bg_records *rcs)
{
	struct copy_call *call;

	while ((call = rcs->failed_copies) != NULL) {
		DL_DELETE(rcs->failed_copies, call);
		answer(call, NULL);
	}
}
