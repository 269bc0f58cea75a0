#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include "ingress/request_head.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes);

/* Guards against reads outside of the buffer, rejections without a reason, and
 * accepted heads with a length beyond the buffer, a body above the limit, or a
 * target that a backend server could parse differently. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes)
{
	struct bg_request_head head;
	const char *reason = NULL;
	const char *p;
	int status;

	status = bg_request_head_check(
	    &head, &reason, (const char *)data, bytes, 1 << 20);
	if (status != 0 && status != 200 && reason == NULL)
		abort();
	if (status != 200)
		return 0;
	if (head.target[0] != '/' || head.head_bytes > bytes ||
	    head.body_bytes > 1 << 20)
		abort();
	for (p = head.target; *p != '\0'; p++) {
		if ((unsigned char)*p <= ' ')
			abort();
	}
	return 0;
}
