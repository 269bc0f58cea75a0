#include <string.h>

#include "load.h"

int
bg_load_check_answer(
    const char *request_id, const char *body, size_t body_bytes)
{
	return body != NULL &&
	    memmem(body, body_bytes, request_id, strlen(request_id)) != NULL;
}
