#include <string.h>

#include "rejection.h"

static const char *
reason_phrase(int status)
{
	switch (status) {
	case 408:
		return "Request Timeout";
	case 413:
		return "Content Too Large";
	case 414:
		return "URI Too Long";
	case 431:
		return "Request Header Fields Too Large";
	case 503:
		return "Service Unavailable";
	case 505:
		return "HTTP Version Not Supported";
	default:
		return "Bad Request";
	}
}

void
bg_rejection_write(struct evbuffer *out, const struct bg_rejection *rejection)
{
	evbuffer_add_printf(out,
	    "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\n"
	    "Content-Length: %zu\r\nConnection: close\r\n%s"
	    "Burdock-Outcome: not-run\r\n\r\n%s\n",
	    rejection->http_status, reason_phrase(rejection->http_status),
	    strlen(rejection->reason) + 1, rejection->headers,
	    rejection->reason);
}
