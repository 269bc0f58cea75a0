/* Whether the caller of a call may make it, and for which organisation. */

#include <stdlib.h>
#include <string.h>

#include "call_internal.h"

#define STATUS_UNAUTHORIZED 401
#define STATUS_UNAVAILABLE 503

int
bg_call_copy_caller(struct bg_call *call, const struct bg_caller *caller)
{
	call->caller = *caller;
	if (caller->key == NULL)
		return 0;
	call->caller.key = call->key = strdup(caller->key);
	return call->key == NULL ? BG_ENOMEM : 0;
}

void
bg_call_erase_key(struct bg_call *call)
{
	if (call->key != NULL)
		explicit_bzero(call->key, strlen(call->key));
	free(call->key);
	call->key = NULL;
	call->caller.key = NULL;
}

int
bg_call_check_access(struct bg_call *call)
{
	static struct bg_xheader challenge = {
	    (char *)"WWW-Authenticate", (char *)"ApiKey"};
	enum bg_access access = bg_access_decide(
	    &call->organisation, call->snapshot, call->rule, &call->caller);
	struct bg_call_answer ans = {0};

	bg_call_erase_key(call);
	if (access == BG_ACCESS_GRANTED)
		return 0;
	bg_access_count(access);
	if (access == BG_ACCESS_NO_PARENT) {
		bg_call_reply_error(call, BG_XOUTCOME_NOT_RUN,
		    STATUS_UNAVAILABLE, BG_RETRY_AFTER_MS,
		    bg_access_text(access));
		return -1;
	}
	ans.outcome = BG_XOUTCOME_NOT_RUN;
	ans.http_status = STATUS_UNAUTHORIZED;
	ans.headers = &challenge;
	ans.header_count = 1;
	ans.reason = bg_access_text(access);
	bg_call_reply(call, &ans);
	return -1;
}
