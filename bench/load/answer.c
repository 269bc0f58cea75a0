#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

#include "load.h"

/* The answer ends with the checksum of what is before it, in hexadecimal. */
#define SUM_BYTES 16

int
bg_load_check_answer(
    const char *request_id, const char *body, size_t body_bytes)
{
	char sum[SUM_BYTES + 1];
	char wanted[BG_LOAD_TEXT_BYTES + 32];
	size_t text_bytes;

	if (body == NULL || body_bytes < SUM_BYTES)
		return 0;
	text_bytes = body_bytes - SUM_BYTES;
	snprintf(sum, sizeof(sum), "%016" PRIx64,
	    (uint64_t)XXH64(body, text_bytes, 0));
	snprintf(wanted, sizeof(wanted), "\"request_id\":\"%s\"", request_id);
	return memcmp(sum, body + text_bytes, SUM_BYTES) == 0 &&
	    memmem(body, text_bytes, wanted, strlen(wanted)) != NULL;
}
