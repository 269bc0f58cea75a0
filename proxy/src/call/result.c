#include <string.h>

#include "../http/syntax.h"
#include "../metrics/metrics.h"
#include "result.h"

/* Statuses of final responses (RFC 9110, section 15). */
#define FINAL_STATUS_MIN 200
#define FINAL_STATUS_MAX 599

static int
is_final_status(uint32_t status)
{
	return status >= FINAL_STATUS_MIN && status <= FINAL_STATUS_MAX;
}

static int
has_valid_headers(const struct bg_xcall_res *res)
{
	const struct bg_xheader *header;
	u_int i;

	for (i = 0; i < res->headers.headers_len; i++) {
		header = &res->headers.headers_val[i];
		if (!bg_http_is_token(header->name, strlen(header->name)) ||
		    !bg_http_is_value(header->value, strlen(header->value)))
			return 0;
	}
	return 1;
}

int
bg_call_result_is_valid(const struct bg_xcall_res *res)
{
	switch (res->outcome) {
	case BG_XOUTCOME_DONE:
	case BG_XOUTCOME_UNKNOWN:
		return is_final_status(res->http_status) &&
		    has_valid_headers(res);
	case BG_XOUTCOME_NOT_RUN:
		return (uint32_t)res->refusal < BG_REFUSAL_COUNT;
	case BG_XOUTCOME_CONTINUE:
		return 1;
	default:
		return 0;
	}
}
